#ifndef CATKINHILL_WORKERCALL_H
#define CATKINHILL_WORKERCALL_H

#include <stddef.h>
#include <stdint.h>

#include "loop.h"
#include "message.h"

/*
 * NAME
 *	workercall - orders to the worker beside a runner
 *
 * NOTES
 *	Each call ends in one callback unless workercall_delete() comes first.
 *	Outcomes passed as err:
 *	0		 done; for a start also when the run is there already
 *	ERR_FENCED	 a higher fence is known, or another worker answered
 *	ERR_EXISTS	 the run, or a later one of its task, has been there
 *	ERR_TIMEOUT	 the lease that was given has expired already
 *	ERR_FULL	 no room, or unhealthy: nothing was done
 *	ERR_INVALID	 the order cannot be carried out
 *	ERR_UNAVAILABLE	 not sent
 *	ERR_UNKNOWN	 may have been carried out, or may be, seconds later
 *	Times of the worker are milliseconds on its own clock.
 */
struct workercall;

/* Which worker, and under which fence. */
struct worker_target {
	char id[ID_SIZE];
	uint64_t fence;
};

struct worker_response {
	int err;
	int64_t clock_ms;	  /* of the worker; -1: not told */
	uint64_t worker_start_ms; /* start of the worker, ms since 1970; 0: not
				     told */
	/* Of workercall_hold() only. */
	const struct run_status *runs;
	size_t run_count;
	const struct ended_run *ends;
	size_t end_count;
};

typedef void (*workercall_fn)(void *arg, const struct worker_response *answer);

struct workercall *workercall_new(struct loop *loop, const char *address,
				  int64_t timeout_ms);
void workercall_delete(struct workercall *calls);

/* No callback follows for calls that were started with arg. */
void workercall_cancel(struct workercall *calls, const void *arg);

void workercall_start(struct workercall *calls,
		      const struct worker_target *target,
		      const struct run_order *order, int64_t until_ms,
		      workercall_fn fn, void *arg);
void workercall_stop(struct workercall *calls,
		     const struct worker_target *target,
		     const struct task_id *task, uint32_t run, workercall_fn fn,
		     void *arg);
void workercall_set_pace(struct workercall *calls,
			 const struct worker_target *target,
			 const struct task_id *task, uint32_t run,
			 uint32_t percent, workercall_fn fn, void *arg);

/*
 * Lists what runs and what has ended after ends_seen, and extends the lease of
 * all runs to until_ms (0: not). Waits up to wait_ms for an end.
 */
void workercall_poll(struct workercall *calls,
		     const struct worker_target *target, int64_t until_ms,
		     uint64_t ends_seen, int64_t wait_ms, workercall_fn fn,
		     void *arg);

#endif
