#ifndef CATKINHILL_ESTIMATE_H
#define CATKINHILL_ESTIMATE_H

#include <stdint.h>

#include "message.h"
#include "mstime.h"

/*
 * NAME
 *	estimate - what a run will use, learned from runs of its class
 *
 * NOTES
 *	Declared sizes are far off. A class is a team and the first word of a
 *	command. For each class the peaks of runs go into a histogram of
 *	exponential buckets whose weights halve every ESTIMATE_HALF_LIFE_MS;
 *	the estimate is a high percentile of what the runs of a VM use
 *	together, plus a margin. A class with few samples is charged for its
 *	uncertainty: its declared size times a factor that falls with each
 *	sample. The table is bounded; the class unused for longest is dropped.
 *
 * SOURCE
 *	Rzadca et al., Autopilot: workload autoscaling at Google, EuroSys 2020.
 */
#define ESTIMATE_HALF_LIFE_MS (12 * 3600 * 1000)
#define ESTIMATE_CLASSES_MAX 1024

struct estimate;

struct estimate *estimate_new(void);
void estimate_delete(struct estimate *estimate);

/*
 * Adds the peak of a run: once ESTIMATE_SAMPLE_DELAY_MS after its start, so
 * that a new class is known before its first runs end, and once more at its end
 * if the peak has grown by then.
 */
#define ESTIMATE_SAMPLE_DELAY_MS 30000
void estimate_observe(struct estimate *estimate, const char *team,
		      const char *command, const struct resources *peak,
		      struct mstime now);

/*
 * Gives what to reserve, at most bound in each resource. Accelerators are
 * whole and declared exactly.
 */
void estimate_need(struct estimate *estimate, const char *team,
		   const char *command, const struct resources *declared,
		   const struct resources *bound, struct mstime now,
		   struct resources *need);

#endif
