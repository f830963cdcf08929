#ifndef BENCH_BATCH_NEVER_H
#define BENCH_BATCH_NEVER_H

#include <stdint.h>

/*
 * Simulates jobs that can never run among others, with partition, placement
 * and taskhealth combined as in the owner. A sixth of the jobs are larger than
 * every worker, and a sixth fail 2 s after each start.
 */
struct unrunnable_result {
	int unrunnable, explained; /* all, and those ended with a reason */
	uint32_t runs_max;	   /* of a job that can never run */
	int others, others_done;
	int others_total_s; /* sum of the times from submission to end */
};

/* with_unrunnable: 0 leaves out the jobs that can never run. */
void simulate_unrunnable_jobs(struct unrunnable_result *result,
			      int with_unrunnable, uint64_t seed);

#endif
