#ifndef CATKINHILL_TASKHEALTH_H
#define CATKINHILL_TASKHEALTH_H

#include <stddef.h>
#include <stdint.h>

#include "mstime.h"

/*
 * NAME
 *	taskhealth - ejects workers at which every task fails
 *
 * NOTES
 *	A worker at which TASKHEALTH_EJECTION_FAILURES runs of different jobs
 *	in a row failed is ejected from placement for TASKHEALTH_EJECTION_MS,
 *	doubled each time up to TASKHEALTH_EJECTION_MAX_MS, and is blamed for
 *	these failures until a run finishes there. The first ejection is shorter
 *	than most runs, as jobs that fail everywhere may be the cause; a run
 *	that fails at a blamed worker is not held against its job. At most half
 *of the workers are blamed at a time, so that jobs that fail everywhere cannot
 *eject them all.
 */
#define TASKHEALTH_EJECTION_FAILURES 3
#define TASKHEALTH_EJECTION_MS 10000
#define TASKHEALTH_EJECTION_MAX_MS 960000

struct taskhealth;

struct taskhealth *taskhealth_new(void);
void taskhealth_delete(struct taskhealth *health);

/*
 * Records a successful run. agent and job, here and below, are hash_str() of
 * their ids.
 */
void taskhealth_finished(struct taskhealth *health, uint64_t agent);

/*
 * Records a failed run; workers is the number of all workers.
 *
 * RETURN VALUE
 *	1 if the worker is ejected by this failure, otherwise 0.
 */
int taskhealth_failed(struct taskhealth *health, uint64_t agent, uint64_t job,
		      uint32_t workers, struct mstime now);

/* RETURN VALUE: 1 while the worker gets no tasks. */
int taskhealth_ejected(const struct taskhealth *health, uint64_t agent,
		       struct mstime now);

/* Hashes of the workers that are blamed; valid until the next call. */
const uint64_t *taskhealth_blamed(struct taskhealth *health, size_t *count);

#endif
