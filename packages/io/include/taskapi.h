#ifndef CATKINHILL_TASKAPI_H
#define CATKINHILL_TASKAPI_H

#include "loop.h"
#include "message.h"

/*
 * NAME
 *	taskapi - client of the worker's task interface
 *
 * NOTES
 *	See docs/worker-interface.md. Every call is idempotent by (job, run),
 *	so a call with outcome ERR_UNKNOWN may be repeated. Outcomes:
 *	0		 done
 *	ERR_FENCED	 the worker has seen a higher run of this job
 *	ERR_NOT_FOUND	 the worker does not know the task
 *	ERR_FULL	 the worker refused to start it
 *	ERR_UNAVAILABLE	 not sent
 *	ERR_UNKNOWN	 sent, no answer
 */
struct taskapi;

struct taskapi_start {
	const char *job;
	uint64_t run;
	int64_t lease_ms;
	struct resources need;
	const char *checkpoint; /* "" to start from the beginning */
	const char *command;
};

typedef void (*taskapi_fn)(void *arg, int err);
/* checkpoint is "" when there is none; valid during the call. */
typedef void (*taskapi_checkpoint_fn)(void *arg, int err,
				      const char *checkpoint);
typedef void (*taskapi_list_fn)(void *arg, int err,
				const struct task_list *tasks);

struct taskapi *taskapi_new(struct loop *loop, const char *address,
			    int64_t timeout_ms);
void taskapi_delete(struct taskapi *api);

void taskapi_start(struct taskapi *api, const struct taskapi_start *start,
		   taskapi_fn fn, void *arg);
void taskapi_renew(struct taskapi *api, const char *job, uint64_t run,
		   int64_t lease_ms, taskapi_fn fn, void *arg);
void taskapi_checkpoint(struct taskapi *api, const char *job, uint64_t run,
			taskapi_checkpoint_fn fn, void *arg);
void taskapi_throttle(struct taskapi *api, const char *job, uint64_t run,
		      uint32_t percent, taskapi_fn fn, void *arg);

/* With checkpoint, the worker writes a checkpoint and stops in one step. */
void taskapi_stop(struct taskapi *api, const char *job, uint64_t run,
		  int checkpoint, taskapi_checkpoint_fn fn, void *arg);
void taskapi_list(struct taskapi *api, taskapi_list_fn fn, void *arg);

#endif
