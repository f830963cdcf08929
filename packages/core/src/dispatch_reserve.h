#ifndef CATKINHILL_DISPATCH_RESERVE_H
#define CATKINHILL_DISPATCH_RESERVE_H

#include "dispatch.h"

/*
 * NAME
 *	dispatch_reserve - keeps room for large tasks
 *
 * NOTES
 *	Load pattern: small tasks fill each gap, and a task that needs several
 *	of these gaps waits as long as small ones arrive. A step that has waited
 *	for room for a part of its objective gets the worker where it can start
 *	soonest by what ends there. Until it starts, other tasks of the same or
 *	lower priority start there only if they are expected to end before it,
 *	or fit beside it. At most a few workers are reserved, and none while a
 *	failure domain is evacuated.
 *
 * SOURCE
 *	EASY backfilling: Lifka, The ANL/IBM SP scheduling system, JSSPP 1995.
 */
#define RESERVATIONS_MAX 4

/* What is in use at a worker. */
struct worker_use {
	struct resources used; /* without the CPU of best-effort runs */
	uint32_t best_effort_cpu_milli;
};

struct reservation {
	struct worker *worker; /* NULL: not in use */
	struct workflow *workflow;
	struct task_id task; /* the first of the step that waits */
	struct mstime made_at, waits_since;
	struct mstime start_at; /* expected; never moves to a later time */
	struct worker_use use;	/* then, with the task */
};

struct reservations {
	struct reservation items[RESERVATIONS_MAX];
	size_t count;
	struct mstime sought_at, updated_at;
	/* Tasks of this size or a smaller one need no reservation. */
	struct resources small;
	struct mstime small_at;
	/* The largest step that has had one lately. */
	struct resources large;
	unsigned large_is_best_effort : 1;
	struct mstime large_at;
};

struct placement_request;
struct run;

/*
 * Considers a reservation for a task that has found no worker; blocks counts
 * what ruled the workers out.
 */
void dispatch_consider_reservation(struct dispatch *dispatch,
				   const struct placement_request *request,
				   uint32_t index, const uint32_t *blocks,
				   struct mstime now);

/* Ends those that are over, and updates what the others expect. */
void dispatch_update_reservations(struct dispatch *dispatch, struct mstime now);

/* Whether a reservation of the worker, if it has one, lets the task start. */
int dispatch_reservation_allows(const struct dispatch *dispatch,
				const struct worker *worker,
				const struct placement_request *request,
				struct mstime now);

/*
 * Whether the task would take the room of a worker that has enough for a task
 * as large as the last ones that had to wait.
 */
int dispatch_breaks_gap(const struct dispatch *dispatch,
			const struct worker *worker,
			const struct placement_request *request,
			struct mstime now);

/* A run was assigned: ends the reservation of its step. */
void dispatch_reservation_note_run(struct dispatch *dispatch,
				   const struct run *run, struct mstime now);

/* Ends what the workflow or the worker has; for one that goes away. */
void dispatch_release_workflow(struct dispatch *dispatch,
			       struct workflow *workflow, const char *reason);
void dispatch_release_worker(struct dispatch *dispatch,
			     const struct worker *worker);

/* Longest time that a task with a reservation has waited, in ms. */
int64_t dispatch_reserved_wait_ms(const struct dispatch *dispatch,
				  struct mstime now);

#endif
