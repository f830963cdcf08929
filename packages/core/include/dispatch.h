#ifndef CATKINHILL_DISPATCH_H
#define CATKINHILL_DISPATCH_H

#include <stddef.h>
#include <stdint.h>

#include "list.h"
#include "message.h"
#include "mstime.h"
#include "workflow.h"

/*
 * NAME
 *	dispatch - workflows, workers and the runs that connect them
 *
 * NOTES
 *	The state of the one active scheduler. Time is passed in; nothing is
 *	sent or stored here. The order of each assignment is
 *	    dispatch_assign()	chooses workers and marks workflows changed
 *	    dispatch_changed()	names workflows whose state has to be stored
 *	    dispatch_saved()	their runs may now be ordered
 *	    dispatch_orders()	what to send to a runner
 *	A run keeps the room of its worker until the worker has listed its
 *	end, has refused it, has been replaced, or its lease has certainly
 *	expired.
 */
struct dispatch;

struct dispatch_limits {
	int64_t lease_ms;	    /* of runs, counted from a report */
	int64_t lease_max_ms;	    /* after which every lease has expired */
	int64_t takeover_grace_ms;  /* a former scheduler may have acted */
	int64_t resend_interval_ms; /* an order that is not confirmed */
	int64_t retry_delay_ms;	    /* pause of a task after a failure */
	int64_t final_retention_ms; /* a final workflow stays known */
	int64_t worker_report_timeout_ms; /* without a report: no new runs */
	int64_t worker_penalty_ms; /* no new runs after repeated failures */
	int64_t stuck_timeout_ms;  /* a run without progress is moved */
	uint32_t assumed_usage_percent; /* cpu in use, of what other tasks
					   declare */
};

extern const struct dispatch_limits dispatch_defaults;

enum run_state {
	RUN_UNSAVED, /* assigned, but not yet in the store */
	RUN_SAVED,   /* to be ordered, or ordered and not confirmed */
	RUN_CONFIRMED
};

struct worker;

/* One run of a task at a worker; holds room while it exists. */
struct run {
	struct list node; /* of its worker */
	struct worker *worker;
	struct workflow *workflow;
	struct task_id id;
	uint32_t number;
	enum run_state state;
	uint64_t version; /* of the workflow that has to be stored first */
	struct resources need;
	uint64_t worker_start_ms;     /* of the worker that it was ordered at */
	uint64_t last_report_seq;     /* report that named it last */
	struct mstime start_sent_at;  /* last time that the start was sent */
	struct mstime active_at;      /* first time that it was listed */
	uint32_t progress;	      /* percent */
	struct mstime progress_at;    /* last time that it changed */
	uint32_t latency_or_cpu;      /* latency in ms, or cpu in use */
	uint32_t latency_target_ms;   /* ms; 0: serves nobody */
	int image;		      /* see colocation; -1: not known */
	uint64_t load_group;	      /* of a serving run; see colocation */
	uint32_t previous_latency_ms; /* figure of the report before */
	uint32_t pace;		      /* percent */
	uint32_t pace_planned;
	struct mstime over_target_since; /* of a serving run, over its target */
	uint32_t pace_sent;		 /* PACE_UNKNOWN: has to be sent */
	struct mstime slowed_at;	 /* since when below full pace */
	unsigned best_effort : 1;
	unsigned is_ordered : 1;
	unsigned is_active : 1;
	unsigned is_stopping : 1;
	unsigned is_evicted : 1;    /* is stopped to run elsewhere */
	unsigned is_orphan : 1;	    /* listed, but not the task's current run */
	struct mstime stop_sent_at; /* last time that the stop was sent */
};

struct pending_end {
	uint64_t number;
	char job[JOB_ID_SIZE]; /* "" when nothing has to be stored */
	uint64_t version;
};

/* A worker as its runner reports it; one for each runner. */
struct worker {
	struct list node;
	char runner[ID_SIZE]; /* node name */
	char id[ID_SIZE];
	uint64_t start_ms;
	uint64_t session; /* of the runner; random, in no order */
	uint64_t previous_session;
	char service[ID_SIZE];
	char rack[NAME_SIZE];
	char labels[LABELS_MAX][NAME_SIZE];
	size_t label_count;
	enum worker_state state;
	struct resources capacity;
	struct resources used; /* without cpu of filling runs */
	uint32_t best_effort_cpu_milli;
	uint32_t run_count;
	struct list runs;
	uint64_t incarnations; /* workers and sessions seen; part of fence */
	uint64_t fence;
	int has_current_lists; /* its lists were read under this fence */
	uint32_t list_age_ms;  /* ms, at the time of the last report */
	uint64_t report_seq;
	struct mstime reported_at;
	struct mstime lease_end;  /* after which all its runs have ended */
	uint64_t last_end_number; /* number of the last end taken over */
	struct pending_end
		pending_ends[RUNS_MAX]; /* from the oldest not stored */
	size_t pending_end_count;
	uint64_t stored_end_number;
	uint32_t consecutive_failures;
	struct mstime penalty_until;
	struct mstime paced_at; /* last time that latencies were weighed */
	struct mstime over_target_since; /* a serving run is over its target */
	unsigned needs_answer : 1;
};

/* Why dispatch changed something; for the log. */
enum dispatch_event_kind {
	DISPATCH_RUN_ASSIGNED,
	DISPATCH_RUN_ENDED,
	DISPATCH_RUN_LOST,
	DISPATCH_WORKER_SEEN,
	DISPATCH_WORKER_LEASE_EXPIRED,
	DISPATCH_WORKFLOW_ENDED,
	DISPATCH_RUN_ORPHANED,
	DISPATCH_PACE_CHANGED,
	DISPATCH_RUN_EVICTED
};

struct dispatch_event {
	enum dispatch_event_kind kind;
	const struct workflow *workflow; /* may be NULL */
	const struct worker *worker;	 /* may be NULL */
	const struct task_id *task;	 /* may be NULL */
	uint32_t run;
	const char *reason;
	uint32_t value; /* of DISPATCH_PACE_CHANGED: new pace, percent */
};

typedef void (*dispatch_event_fn)(void *arg, const struct dispatch_event *note);

/* now is the time of the takeover. */
struct dispatch *dispatch_new(const struct dispatch_limits *limits,
			      uint64_t epoch, struct mstime now,
			      dispatch_event_fn fn, void *arg);
void dispatch_delete(struct dispatch *dispatch);

/* Takes over the workflow. ERR_EXISTS: it is known already and was freed. */
int dispatch_add(struct dispatch *dispatch, struct workflow *workflow,
		 struct mstime now);
struct workflow *dispatch_find_workflow(struct dispatch *dispatch,
					const char *job);

/* ERR_NOT_FOUND; 0 also for a workflow that is final already. */
int dispatch_cancel(struct dispatch *dispatch, const char *job,
		    struct mstime now);

/* Makes a runner known; a no-op when it is. */
struct worker *dispatch_get_worker(struct dispatch *dispatch,
				   const char *runner, struct mstime now);
struct list *dispatch_workers(struct dispatch *dispatch);
struct list *dispatch_workflows(struct dispatch *dispatch);

/* Takes over what a runner reported. ERR_FENCED: an earlier report. */
int dispatch_report(struct dispatch *dispatch, const char *runner,
		    const struct msg_work_report *report, struct mstime now);

/* Drops runs whose leases have expired, and moves those that stand still. */
void dispatch_expire(struct dispatch *dispatch, struct mstime now);

/*
 * The final workflow after another one (NULL: the first) that is old enough to
 * be removed from the store; NULL when there is none.
 */
struct workflow *dispatch_next_removable(struct dispatch *dispatch,
					 const struct workflow *after,
					 struct mstime now);

/* To be called when its records are removed; else it would run again. */
void dispatch_remove(struct dispatch *dispatch, const char *job);

/* Milliseconds since 1970, for occurrences; see dispatch_assign(). */
void dispatch_set_wall_clock(struct dispatch *dispatch, int64_t wall_ms);

/* RETURN VALUE: number of runs assigned. */
int dispatch_assign(struct dispatch *dispatch, struct mstime now);

/*
 * The next workflow that has to be stored and is not part of a commit; NULL
 * when there is none. The caller sets saving.
 */
struct workflow *dispatch_next_unsaved(struct dispatch *dispatch);

/* The state as of version is stored. */
void dispatch_mark_saved(struct dispatch *dispatch, struct workflow *workflow,
			 uint64_t version);

/*
 * Fills in what is to be sent to the runner now. The lists point into memory
 * of dispatch and stay valid until the next call. may_extend tells whether
 * the caller's own lease allows to extend the leases of runs.
 *
 * RETURN VALUE
 *	1 when there is something to send, otherwise 0.
 */
int dispatch_build_orders(struct dispatch *dispatch, struct worker *worker,
			  int may_extend, struct msg_work_orders *orders,
			  struct mstime now);

/* Whether the worker has orders or an answer to be sent. */
int dispatch_has_orders(struct dispatch *dispatch, const struct worker *worker,
			struct mstime now);

#endif
