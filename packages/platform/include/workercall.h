#ifndef CATKINHILL_WORKERCALL_H
#define CATKINHILL_WORKERCALL_H

#include <stddef.h>
#include <stdint.h>

#include "loop.h"
#include "message.h"

/*
 * NAME
 *	workercall - client of the worker that a runner serves
 *
 * NOTES
 *	Each call ends in one callback unless workercall_delete() or
 *	workercall_cancel() is called first.
 *	Outcomes passed as err:
 *	0		 done; for a start also when the run is there already
 *	ERR_FENCED	 the worker knows a higher fence
 *	ERR_NOT_FOUND	 the worker at the address has another id
 *	ERR_EXISTS	 the worker already had the run or a later one of its
 *			 task
 *	ERR_TIMEOUT	 the lease that was given has expired already
 *	ERR_FULL	 no capacity, or unhealthy: nothing was done
 *	ERR_INVALID	 the order cannot be carried out
 *	ERR_UNAVAILABLE	 not sent
 *	ERR_UNKNOWN	 may have been carried out, or may be seconds later
 *	Times of the worker are milliseconds on its own clock.
 */
struct workercall;

/* Addressed worker, and the fencing token of the call. */
struct worker_target {
	char id[ID_SIZE];
	uint64_t fence;
};

struct worker_response {
	int err;
	int64_t clock_ms;	  /* of the worker; -1: not given */
	uint64_t worker_start_ms; /* ms since 1970; 0: not given */
	/* Of workercall_poll() only. */
	const struct run_status *runs;
	size_t run_count;
	const struct ended_run *ends;
	size_t end_count;
	/*
	 * Flag: there may be more ends, which are listed once these are
	 * acknowledged. A run in neither list may have ended then.
	 */
	int has_more_ends;
};

typedef void (*workercall_fn)(void *arg,
			      const struct worker_response *response);

struct workercall *workercall_new(struct loop *loop, const char *address,
				  int64_t timeout_ms);
void workercall_delete(struct workercall *client);

/* No callback follows for calls that were started with arg. */
void workercall_cancel(struct workercall *client, const void *arg);

void workercall_start(struct workercall *client,
		      const struct worker_target *target,
		      const struct run_order *order, int64_t until_ms,
		      workercall_fn fn, void *arg);
void workercall_stop(struct workercall *client,
		     const struct worker_target *target,
		     const struct task_id *task, uint32_t run, workercall_fn fn,
		     void *arg);
void workercall_set_pace(struct workercall *client,
			 const struct worker_target *target,
			 const struct task_id *task, uint32_t run,
			 uint32_t percent, workercall_fn fn, void *arg);

/* What a reading of the lists asks for, besides the lists. */
struct worker_poll {
	int64_t until_ms;	   /* extends the lease of all runs; 0: not */
	uint64_t after_end_number; /* ends up to it are forgotten */
	int64_t wait_ms;	   /* longest wait for an end */
	/*
	 * Flag: only on the connection of the last answered poll, which leads
	 * to the process that answered; ERR_UNAVAILABLE if it is closed.
	 */
	int same_connection;
};

/* One at a time. */
void workercall_poll(struct workercall *client,
		     const struct worker_target *target,
		     const struct worker_poll *poll, workercall_fn fn,
		     void *arg);

/* Whether the connection of polls is open: the worker has not restarted. */
int workercall_is_connected(const struct workercall *client);

/* Reads the lists without any effect, whichever worker answers. */
void workercall_identify(struct workercall *client,
			 const struct worker_target *target, workercall_fn fn,
			 void *arg);

#endif
