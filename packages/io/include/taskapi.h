#ifndef CATKINHILL_TASKAPI_H
#define CATKINHILL_TASKAPI_H

#include <stddef.h>
#include <stdint.h>

#include "loop.h"
#include "message.h"
#include "mstime.h"

/*
 * NAME
 *	taskapi - client of the worker's task interface
 *
 * NOTES
 *	See docs/worker-interface.md. Every call is idempotent by (job, run),
 *	so a call with outcome ERR_UNKNOWN may be repeated. Outcomes:
 *	0		 done
 *	ERR_FENCED	 the worker has seen a higher run number of this
 *			 job
 *	ERR_NOT_FOUND	 the worker does not know the task
 *	ERR_CONFLICT	 the task has already ended by itself; the list has
 *			 its state
 *	ERR_FULL	 the worker refused to start the task
 *	ERR_TIMEOUT	 the call reached the worker at or after not_after and
 *			 changed nothing
 *	ERR_INVALID	 the worker rejected the call as malformed
 *	ERR_UNAVAILABLE	 not sent
 *	ERR_UNKNOWN	 sent, no response
 */
struct taskapi;

/*
 * The worker accepts a start or renewal only before not_after, the end of the
 * grant on the clock of sysclock_now(), which agent and worker share.
 */
struct taskapi_lease {
	int64_t lease_ms;
	struct mstime not_after;
};

struct taskapi_start {
	const char *job;
	uint64_t run;
	struct taskapi_lease lease;
	struct resources reserved;
	const char *checkpoint; /* "" to start from the beginning */
	const char *command;
};

typedef void (*taskapi_fn)(void *arg, int err);
/* checkpoint is "" when there is none; valid during the callback. */
typedef void (*taskapi_checkpoint_fn)(void *arg, int err,
				      const char *checkpoint);

/* One task of the list; texts are valid during the callback. */
struct taskapi_task {
	struct task_status status;
	struct resources declared; /* when the task was started */
};

#define TASKAPI_LIST_MAX 4096

typedef void (*taskapi_list_fn)(void *arg, int err,
				const struct taskapi_task *tasks, size_t count);

/* No callback runs inside the function that starts its call. */
struct taskapi *taskapi_new(struct loop *loop, const char *address,
			    int64_t timeout_ms);

/* Pending calls end without a callback. */
void taskapi_delete(struct taskapi *api);

void taskapi_start(struct taskapi *api, const struct taskapi_start *start,
		   taskapi_fn fn, void *arg);
void taskapi_renew(struct taskapi *api, const char *job, uint64_t run,
		   const struct taskapi_lease *lease, taskapi_fn fn, void *arg);
void taskapi_checkpoint(struct taskapi *api, const char *job, uint64_t run,
			taskapi_checkpoint_fn fn, void *arg);
void taskapi_throttle(struct taskapi *api, const char *job, uint64_t run,
		      uint32_t percent, taskapi_fn fn, void *arg);

/* With checkpoint set, the worker writes one and stops in a single step. */
void taskapi_stop(struct taskapi *api, const char *job, uint64_t run,
		  int checkpoint, taskapi_checkpoint_fn fn, void *arg);
void taskapi_list(struct taskapi *api, taskapi_list_fn fn, void *arg);

#endif
