#ifndef CATKINHILL_DISPATCH_ROOM_H
#define CATKINHILL_DISPATCH_ROOM_H

#include "dispatch.h"
#include "dispatch_reserve.h"

/*
 * NAME
 *	dispatch_room - the room that a worker will have, by what ends there
 */
/* When a worker has room for a task, by what ends there. */
struct expected_start {
	int64_t in_ms;
	size_t ends;	       /* of runs, before it */
	struct worker_use use; /* then, without the task */
};

struct worker_use worker_use_of(const struct worker *worker);
void worker_use_add(struct worker_use *use, const struct resources *need,
		    int best_effort);

/* Whether a needs no more of anything than b. */
int resources_are_at_most(const struct resources *a, const struct resources *b);

/*
 * Sets *start to when a task of the step has room at the worker if nothing else
 * starts there, with the median times of the runs. Each run counts as an
 * evaluation.
 *
 * RETURN VALUE
 *	Whether it will have room.
 */
int dispatch_expect_start(struct dispatch *dispatch,
			  const struct worker *worker,
			  const struct workflow_step *step,
			  struct expected_start *start, struct mstime now);

#endif
