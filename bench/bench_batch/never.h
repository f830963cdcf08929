#ifndef BENCH_BATCH_NEVER_H
#define BENCH_BATCH_NEVER_H

#include <stdint.h>

/*
 * Jobs that can never run between others, with the partition, the placement
 * and the health of workers as the owner joins them: a sixth of the jobs are
 * larger than every worker, and a sixth fail 2 s after each start.
 */
struct never_result {
	int bad, named; /* jobs that cannot run; those ended with a reason */
	uint32_t most_runs; /* of a job that cannot run */
	int good, done;
	int waited_s; /* all good jobs together, until their ends */
};

/* with_bad: 0 leaves the jobs out that cannot run. */
void never_run(struct never_result *result, int with_bad, uint64_t seed);

#endif
