#ifndef CATKINHILL_DISPATCH_H
#define CATKINHILL_DISPATCH_H

#include <stddef.h>
#include <stdint.h>

#include "evacuation.h"
#include "list.h"
#include "message.h"
#include "mstime.h"
#include "outlook.h"
#include "workflow.h"

/*
 * NAME
 *	dispatch - assigns the tasks of workflows to workers
 *
 * NOTES
 *	Holds the state of the active scheduler, of which there is one. The
 *	module has no I/O and no clock: the caller passes the time and sends
 *	and stores what it returns. Each assignment takes these calls:
 *	    dispatch_assign()		choose workers
 *	    dispatch_next_unsaved()	list the workflows to be stored
 *	    dispatch_mark_saved()	allow their runs to be started
 *	    dispatch_build_orders()	build the orders for a runner
 *	A run keeps its reserved resources until the worker has reported its
 *	end, has refused it or has been replaced, or its lease has certainly
 *	expired.
 */
struct dispatch;

struct dispatch_limits {
	int64_t lease_ms;	    /* of runs, from the time of a report */
	int64_t lease_max_ms;	    /* every lease has expired by then */
	int64_t takeover_grace_ms;  /* the previous scheduler may still act */
	int64_t resend_interval_ms; /* of orders that are not confirmed */
	int64_t retry_delay_ms;	    /* delay before a failed task runs again */
	int64_t final_retention_ms; /* how long a final workflow is kept */
	int64_t worker_report_timeout_ms; /* without a report: no new runs */
	int64_t worker_penalty_ms; /* no new runs after repeated failures */
	int64_t stuck_timeout_ms;  /* a run not started, or stuck, is moved */
	uint32_t assumed_usage_percent; /* of CPU reserved by serving runs */
	size_t memory_max; /* bytes of all workflows: beyond, no step begins */
	size_t reservations_max; /* for large tasks; at most RESERVATIONS_MAX */
};

extern const struct dispatch_limits dispatch_defaults;

enum run_state {
	RUN_UNSAVED, /* assigned, but not yet stored */
	RUN_SAVED,   /* may be ordered; not confirmed by the runner */
	RUN_CONFIRMED
};

struct worker;
struct reservation;

/* One run of a task at a worker; holds resources while it exists. */
struct run {
	struct list node;	  /* in the runs of its worker */
	struct list serving_node; /* in the serving runs of its worker */
	struct list image_node;	  /* in the best-effort runs of its image */
	struct list unsaved_node; /* in the unsaved runs of its workflow */
	struct worker *worker;
	struct workflow *workflow;
	struct task_id id;
	uint32_t number;
	enum run_state state;
	uint64_t version; /* of the workflow, to be stored first */
	struct resources reserved;
	uint64_t worker_start_ms;    /* start of its worker, ms since 1970 */
	uint64_t last_report_seq;    /* last report that listed it */
	struct mstime start_sent_at; /* last time */
	/* When this session of the runner was first ordered it; 0: never. */
	struct mstime unconfirmed_since;
	struct mstime active_at;    /* first time that it was reported active */
	uint32_t progress;	    /* percent */
	uint32_t progress_first;    /* percent, when first reported active */
	struct mstime progress_at;  /* last time that it changed */
	uint32_t latency_or_cpu;    /* serving: in ms; else milli CPU used */
	uint32_t latency_target_ms; /* 0: not a serving run */
	int image;		    /* index in colocation; -1: unknown */
	uint64_t load_group; /* of a serving run; see colocation_observe() */
	uint32_t previous_latency_ms; /* of the previous report */
	double spare_pressure;	      /* of a serving run, when last computed */
	struct mstime spare_pressure_at;
	uint64_t spare_pressure_fill; /* fill_version of its worker then */
	uint32_t pace;		      /* percent of full speed */
	uint32_t pace_planned;
	struct mstime over_target_since; /* 0: not over its target */
	uint32_t pace_sent;		 /* PACE_UNKNOWN: must be sent again */
	struct mstime slowed_at;	 /* since when the pace is below 100 */
	unsigned best_effort : 1; /* uses CPU that serving runs leave unused */
	unsigned is_ordered : 1;
	unsigned is_active : 1;
	unsigned is_stopping : 1;
	unsigned is_evicted : 1; /* is being stopped to run elsewhere */
	unsigned is_orphan : 1;	 /* reported, but not the task's current run */
	struct mstime stop_sent_at; /* last time */
};

/* A reported end of a run that is not yet acknowledged to the runner. */
struct pending_end {
	uint64_t number;
	/* Whose version has to be stored first; NULL: none. */
	const struct workflow *workflow;
	uint64_t version;
};

/* Why the lease of a worker's runs is extended or not. */
enum lease_basis {
	LEASE_LISTED,	    /* recent lists of the worker: it is extended */
	LEASE_NOT_LEADER,   /* the scheduler's own lease may have expired */
	LEASE_OLD_LISTS,    /* the runner reports, but not the worker */
	LEASE_NO_LISTS,	    /* the runner has not read any lists yet */
	LEASE_NO_WORKER,    /* the runner knows no worker */
	LEASE_SILENT,	    /* the runner has stopped reporting */
	LEASE_NOT_REPORTED, /* no report since the takeover */
};

/* A worker as its runner reports it; one for each runner. */
struct worker {
	struct list node;
	struct worker *hash_next;
	struct list orders_node; /* while it may have orders */
	struct list *workers_with_orders;
	void *link;	      /* of the caller */
	char runner[ID_SIZE]; /* node name */
	char id[ID_SIZE];
	uint64_t start_ms; /* start of the worker, ms since 1970 */
	uint64_t session;  /* of the runner; random, not ordered */
	uint64_t previous_session;
	char service[ID_SIZE];
	char domain[NAME_SIZE]; /* failure domain; "": not reported */
	char rack[NAME_SIZE];
	char labels[LABELS_MAX][NAME_SIZE];
	size_t label_count;
	enum worker_state state;
	struct resources capacity;
	struct resources used; /* without the CPU of best-effort runs */
	uint32_t best_effort_cpu_milli;
	uint32_t run_count;
	const struct reservation *reservation; /* for a large task, or NULL */
	struct list runs;
	struct list serving_runs; /* those with a latency target */
	uint64_t fill_version;	  /* changes with the best-effort runs */
	uint64_t incarnations;	  /* workers and sessions seen; part of fence */
	uint64_t fence;	       /* token that the current reports must carry */
	int has_current_lists; /* a report with this fence has arrived */
	uint32_t list_age_ms;  /* at the time of the last report */
	uint64_t listed_fence; /* of the last lists; 0: none were read */
	uint64_t report_seq;
	struct mstime reported_at;
	struct mstime leaves_at;    /* not before; 0: not known */
	struct mstime responded_at; /* last orders */
	/*
	 * All its runs have ended by the later one of these: leases granted in
	 * this term, and by earlier schedulers.
	 */
	struct mstime lease_end;
	struct mstime inherited_lease_end;
	enum lease_basis lease_basis;
	uint64_t last_end_number;	  /* last one processed */
	struct pending_end *pending_ends; /* unacknowledged */
	size_t pending_end_count;
	size_t pending_ends_size;   /* allocated rows */
	struct list ends_node;	    /* in the workers with pending ends */
	uint64_t stored_end_number; /* last one acknowledged */
	uint32_t consecutive_failures;
	char failed_job[JOB_ID_SIZE]; /* of all of them; "": several jobs */
	/* No new runs of failed_job before. */
	struct mstime job_penalty_until;
	struct mstime started_at;	 /* last time that it started a run */
	struct mstime penalty_until;	 /* no new runs before */
	struct mstime paced_at;		 /* last update of the paces */
	struct mstime over_target_since; /* of any serving run; 0: none */
	unsigned needs_response : 1;
	unsigned needs_acknowledgement : 1; /* of ends; with the next orders */
	unsigned is_unbound : 1; /* the last report named no worker */
	/* Runner or worker have started anew; reports may be without worker. */
	unsigned needs_fence : 1;
	unsigned is_evacuated : 1; /* its failure domain is evacuated */
};

/* Why a worker cannot take a task. */
enum placement_block {
	PLACEMENT_POSSIBLE,
	PLACEMENT_NOT_READY, /* draining, or not there */
	PLACEMENT_EVACUATED, /* its failure domain is evacuated */
	PLACEMENT_NO_LISTS,  /* its lists were not read in this term */
	PLACEMENT_NO_REPORT, /* no recent report, or old lists */
	PLACEMENT_PENALTY,   /* runs failed there */
	PLACEMENT_SERVICE,   /* of another service */
	PLACEMENT_LABEL,
	PLACEMENT_ROOM,
	PLACEMENT_SPREAD,   /* enough tasks of the step are there */
	PLACEMENT_RESERVED, /* for a large task that starts there soon */
	PLACEMENT_PRESSURE, /* would slow serving runs */
	PLACEMENT_TRIAL,    /* whether it would is being measured elsewhere */
	PLACEMENT_MEMORY,   /* of the scheduler, whatever the worker */
	PLACEMENT_BLOCK_COUNT
};

/* Events reported to the callback, for logs and counters. */
enum dispatch_event_kind {
	DISPATCH_RUN_ASSIGNED,
	DISPATCH_RUN_ENDED,
	DISPATCH_RUN_LOST,
	DISPATCH_WORKER_SEEN,
	DISPATCH_WORKER_LEASE_EXPIRED,
	DISPATCH_WORKFLOW_ENDED,
	DISPATCH_RUN_ORPHANED,
	DISPATCH_PACE_CHANGED,
	DISPATCH_RUN_EVICTED,
	DISPATCH_WORKER_LEASE,
	DISPATCH_RUN_UNCONFIRMED,
	DISPATCH_TASK_UNPLACED,
	DISPATCH_RESERVATION_MADE,
	DISPATCH_RESERVATION_ENDED,
	DISPATCH_QUEUE_CHANGED /* of a workflow: other settings */
};

struct dispatch_event {
	enum dispatch_event_kind kind;
	const struct workflow *workflow; /* may be NULL */
	const struct worker *worker;	 /* may be NULL */
	const struct task_id *task;	 /* may be NULL */
	uint32_t run;
	const char *reason;
	/*
	 * DISPATCH_PACE_CHANGED: new pace in percent; DISPATCH_WORKER_LEASE:
	 * whether the lease is extended; DISPATCH_TASK_UNPLACED and those of
	 * reservations: time without a worker in ms.
	 */
	uint32_t value;
	/* DISPATCH_RESERVATION_MADE: time until it is expected to start. */
	int64_t start_in_ms;
	int64_t lease_left_ms; /* DISPATCH_WORKER_LEASE */
	/* DISPATCH_TASK_UNPLACED: number of workers for each block. */
	const uint32_t *blocks;
};

/* Static string for logs. */
const char *placement_block_name(enum placement_block block);

typedef void (*dispatch_event_fn)(void *arg,
				  const struct dispatch_event *event);

/* epoch is that of this scheduler; now is the time of its takeover. */
struct dispatch *dispatch_new(const struct dispatch_limits *limits,
			      uint64_t epoch, struct mstime now,
			      dispatch_event_fn fn, void *arg);
void dispatch_delete(struct dispatch *dispatch);

/*
 * Takes ownership of the workflow, and restores the runs that its stored state
 * names.
 *
 * ERRORS
 *	ERR_EXISTS	the job is already known; workflow was freed
 */
int dispatch_add(struct dispatch *dispatch, struct workflow *workflow,
		 struct mstime now);

/*
 * Sets the settings of a queue; see queuetable.h. They hold for workflows that
 * are added later, and after dispatch_apply_queues() for all.
 */
void dispatch_configure_queue(struct dispatch *dispatch,
			      const struct queue_config *queue);
void dispatch_apply_queues(struct dispatch *dispatch, struct mstime now);

/* Replaces settings by those that hold for a workflow that has them. */
void dispatch_resolve_queue(const struct dispatch *dispatch,
			    struct queue_config *queue);

/* Forgets the queues of lower versions that no workflow at hand is in. */
void dispatch_forget_queues(struct dispatch *dispatch, int64_t version);

/* Makes known a job that has ended, so that it is removed later. */
void dispatch_add_ended(struct dispatch *dispatch, const char *job,
			struct mstime now);

/* Returns NULL for an unknown job, and for one that ended some time ago. */
struct workflow *dispatch_find_workflow(struct dispatch *dispatch,
					const char *job);
int dispatch_knows(struct dispatch *dispatch, const char *job);

/* Bytes of memory, about, that the workflows take. */
size_t dispatch_memory(const struct dispatch *dispatch);

/* Returns 0, also for a workflow that is already final, or ERR_NOT_FOUND. */
int dispatch_cancel(struct dispatch *dispatch, const char *job,
		    struct mstime now);

/* Ends a workflow that cannot go on; its runs are stopped. */
void dispatch_fail(struct dispatch *dispatch, struct workflow *workflow,
		   struct mstime now);

/* Returns the worker of a runner; creates it for a new runner. */
struct worker *dispatch_get_worker(struct dispatch *dispatch,
				   const char *runner, struct mstime now);

/*
 * Forgets a runner that is gone for good, unless there may still be runs at its
 * worker or ends of it that are not stored. The worker is freed.
 *
 * RETURN VALUE
 *	Whether it was forgotten.
 */
int dispatch_forget_worker(struct dispatch *dispatch, struct worker *worker,
			   struct mstime now);
struct list *dispatch_workers(struct dispatch *dispatch);
struct list *dispatch_workflows(struct dispatch *dispatch);

/*
 * Processes a report of a runner.
 *
 * ERRORS
 *	ERR_FENCED	for another scheduler epoch, from a previous session,
 *			or not newer than the last report
 */
int dispatch_report(struct dispatch *dispatch, const char *runner,
		    const struct msg_work_report *report, struct mstime now);

/*
 * Sets the failure domains that are evacuated, from now on: nothing is started
 * or started again at their workers, and what would stay long moves to others
 * as far as these have room. The set is copied.
 */
void dispatch_set_evacuations(struct dispatch *dispatch,
			      const struct evacuations *evacuations,
			      struct mstime now);

/*
 * What is known of images that slow each other, as newly allocated text, and
 * the same of a former scheduler; see colocation_decode().
 */
char *dispatch_encode_interference(const struct dispatch *dispatch,
				   struct mstime now);
int dispatch_decode_interference(struct dispatch *dispatch, const char *text,
				 size_t len, struct mstime now);

/* Time in ms until all runs at the worker have certainly ended. */
int64_t dispatch_lease_left_ms(const struct worker *worker, struct mstime now);

/*
 * Bounds the leases that earlier schedulers granted at a runner: left_ms was
 * what was left of them when the last one resigned.
 */
void dispatch_inherit_lease(struct dispatch *dispatch, const char *runner,
			    int64_t left_ms);

/*
 * Drops runs whose leases have expired, and evicts runs without progress,
 * those that a worker with recent lists has not started in time, and those
 * that have to move away from workers that leave or are evacuated.
 */
void dispatch_expire(struct dispatch *dispatch, struct mstime now);

/*
 * Iterates over the jobs that ended long enough ago to be removed from the
 * store. after is the previous one, or NULL for the first.
 *
 * RETURN VALUE
 *	The next one, valid until it is removed, or NULL.
 */
const char *dispatch_next_removable(struct dispatch *dispatch,
				    const char *after, struct mstime now);

/*
 * Forgets a job that has ended. Call it only once its records are removed from
 * the store; otherwise the job would be loaded and run again.
 */
void dispatch_remove(struct dispatch *dispatch, const char *job);

/*
 * Frees the workflows that ended some time ago and whose state is stored;
 * their jobs stay known until they are removed.
 */
void dispatch_forget_finals(struct dispatch *dispatch, struct mstime now);

/*
 * Returns a workflow that waits and may be set aside for others: nothing of it
 * is at work, and the store has its last state. NULL: there is none.
 */
struct workflow *dispatch_find_idle(struct dispatch *dispatch,
				    struct mstime now);

/* Forgets it; the caller adds it again when there is memory for it. */
void dispatch_set_aside(struct dispatch *dispatch, struct workflow *workflow);

/* Wall clock in ms since 1970: due times of occurrences, ages of workflows. */
void dispatch_set_wall_clock(struct dispatch *dispatch, int64_t wall_ms);

/*
 * Assigns tasks that are ready to workers with free resources. With many
 * workers or workflows it ends early, and the next call goes on from there.
 *
 * RETURN VALUE
 *	Number of runs assigned.
 */
int dispatch_assign(struct dispatch *dispatch, struct mstime now);

/* Whether the last dispatch_assign() has ended early. */
int dispatch_is_assigning(const struct dispatch *dispatch);

/*
 * Time from the end of a pass to the next one. Passes take at most a fifth of
 * the time, whatever waits, as long as a pass takes up to 60 ms; a longer one
 * is no measure, as the process may have been paused in it.
 */
int64_t dispatch_pass_spacing_ms(int64_t pass_ms);

struct dispatch_stats {
	uint64_t passes;      /* calls of dispatch_assign() */
	uint64_t evaluations; /* of a worker for a task */
	uint64_t looks;	      /* at occurrences of workflows, in passes */
};

const struct dispatch_stats *dispatch_get_stats(
	const struct dispatch *dispatch);

struct dispatch_waiting {
	/*
	 * Workflows with a task that found no worker at the last look, by what
	 * ruled most workers out.
	 */
	uint32_t by_block[PLACEMENT_BLOCK_COUNT];
	uint32_t unsaved; /* workflows whose last change is not stored */
	int64_t idle_ms;  /* longest time that one could run and has no run */
	int64_t look_ms;  /* longest time since a pass has looked at one */
	uint32_t reservations; /* for large tasks */
	int64_t reserved_ms;   /* longest time that one of these has waited */
};

/* Counts what waits and why; walks over all workflows that are not final. */
void dispatch_count_waiting(const struct dispatch *dispatch,
			    struct dispatch_waiting *waiting,
			    struct mstime now);

/*
 * Returns the next workflow that has to be stored now and is not part of a
 * commit in progress, or NULL. The caller sets its saving flag. Changes that
 * nothing waits for are stored a little later, together.
 */
struct workflow *dispatch_next_unsaved(struct dispatch *dispatch,
				       struct mstime now);

/* Records that the state of the workflow as of version is stored. */
void dispatch_mark_saved(struct dispatch *dispatch, struct workflow *workflow,
			 uint64_t version);

/*
 * Builds the orders to send to the runner now. The lists point into memory of
 * dispatch and are valid until the next call. may_extend tells whether the
 * caller's own lease permits extending the leases of runs and starting runs.
 *
 * RETURN VALUE
 *	ORDERS_NONE (0) if there is nothing to send, ORDERS_PARTIAL if more
 *	orders are due than a message holds, otherwise ORDERS_COMPLETE.
 */
enum orders_extent {
	ORDERS_NONE,
	ORDERS_COMPLETE,
	ORDERS_PARTIAL
};
int dispatch_build_orders(struct dispatch *dispatch, struct worker *worker,
			  int may_extend, struct msg_work_orders *orders,
			  struct mstime now);

/*
 * Whether something that may cause orders has happened at the worker since the
 * last dispatch_build_orders(). Repetitions that become due with time are
 * noticed by dispatch_expire().
 */
int dispatch_may_have_orders(const struct worker *worker);

/* Returns the next of these workers, of which it is no longer one, or NULL. */
struct worker *dispatch_next_with_orders(struct dispatch *dispatch);

/* Whether orders or a response to a report must be sent to the worker. */
int dispatch_has_orders(struct dispatch *dispatch, const struct worker *worker,
			struct mstime now);

/*
 * Summarizes what waits and the room of the workers, without the rate. It is
 * empty while no task waits for room.
 */
void dispatch_get_outlook(const struct dispatch *dispatch,
			  struct outlook *outlook, struct mstime now);

#endif
