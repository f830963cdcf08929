#ifndef CATKINHILL_ESTIMATE_H
#define CATKINHILL_ESTIMATE_H

#include <stdint.h>

#include "message.h"
#include "mstime.h"

/*
 * NAME
 *	estimate - predicts the resource usage of a run from runs of its class
 *
 * NOTES
 *	Declared sizes differ widely from the usage. A class is a team and the
 *	first word of a command. For each class the peaks of its runs are
 *	counted in a histogram with exponential buckets whose weights halve
 *	every ESTIMATE_HALF_LIFE_MS; the estimate is a high percentile of the
 *	total usage of such runs on a VM, plus a margin. A class with few
 *	samples is estimated from its declared size times a factor that falls
 *	with each sample, because its usage is uncertain. The table is bounded;
 *	the least recently used class is evicted.
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
 * Adds the peak usage of a run: once ESTIMATE_SAMPLE_DELAY_MS after its start,
 * so that a new class has samples before its first runs end, and again at its
 * end if the peak has grown by then.
 */
#define ESTIMATE_SAMPLE_DELAY_MS 30000
void estimate_observe(struct estimate *estimate, const char *team,
		      const char *command, const struct resources *peak,
		      struct mstime now);

/*
 * Sets need to what to reserve, at most bound of each resource. Accelerators
 * are indivisible and declared exactly, so their number is not estimated.
 */
void estimate_need(struct estimate *estimate, const char *team,
		   const char *command, const struct resources *declared,
		   const struct resources *bound, struct mstime now,
		   struct resources *need);

#endif
