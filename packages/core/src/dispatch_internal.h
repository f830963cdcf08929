#ifndef CATKINHILL_DISPATCH_INTERNAL_H
#define CATKINHILL_DISPATCH_INTERNAL_H

#include "colocation.h"
#include "dispatch.h"
#include "dispatch_reserve.h"
#include "durations.h"
#include "queueshare.h"
#include "queuetable.h"

/*
 * NAME
 *	dispatch_internal - declarations shared by the sources of dispatch
 */
#define JOB_BUCKETS 4096
#define WORKER_BUCKETS 1024

/* A known workflow. Once it has ended, only the entry is left of it. */
struct workflow_entry {
	struct list node; /* in the ended ones, in the order of their ends */
	struct workflow_entry *next;
	struct workflow *workflow; /* NULL: it has ended */
	char id[JOB_ID_SIZE];
	struct mstime ended_at;
};

/* Placement request; the same for all tasks of a step. */
struct placement_request {
	struct workflow *workflow;
	const struct workflow_step *step;
	uint32_t occurrence, step_index;
	int image;
	int is_forced;	  /* the workflow has been without a run for too long */
	int has_no_place; /* result: a task was left without a worker */
};

/* A worker that can take a task of the request, and what that costs. */
struct candidate {
	struct worker *worker;
	uint32_t order; /* in the list of workers */
	double cost;
};

/* Requests that the same workers can take. */
struct placement_class {
	char service[ID_SIZE];
	struct resources need;
	int image;
	int best_effort;
	int is_forced;
	/* While workers are reserved: */
	int may_ignore; /* it may start at a reserved worker at any time */
	uint32_t priority;
	int64_t high_ms;
};

#define UNPLACED_CLASSES_MAX 64

/* Classes that no worker could take, with what ruled the workers out. */
struct unplaced_classes {
	size_t count;
	struct unplaced_class {
		struct placement_class class;
		int is_reserved; /* a reservation ruled workers out */
		uint32_t blocks[PLACEMENT_BLOCK_COUNT];
	} items[UNPLACED_CLASSES_MAX];
};

struct dispatch {
	struct dispatch_limits limits;
	uint64_t epoch;
	uint64_t version;
	uint64_t checkpoint_count; /* checkpoints that were reported */
	int64_t wall_ms;
	struct mstime takeover_at;
	struct mstime now;     /* of the call in progress */
	struct list workflows; /* not final */
	size_t memory;	       /* of all workflows */
	struct list finals;    /* final, in the order in which they ended */
	struct list ended;     /* entries of those without a workflow */
	struct list workers;
	size_t worker_count;
	struct evacuations evacuations;
	uint64_t incarnations_floor; /* of workers that were forgotten */
	struct list unsaved;	     /* workflows, by the time of a change */
	struct list urgent_unsaved;  /* those that something waits for */
	int urgent_turn;	     /* the last one to be stored was urgent */
	struct list workers_with_ends; /* that are not acknowledged */
	struct list workers_with_orders;
	struct workflow_entry *buckets[JOB_BUCKETS];
	struct worker *worker_buckets[WORKER_BUCKETS]; /* by runner */
	dispatch_event_fn event_fn;
	void *event_arg;
	struct run_order starts[ORDER_STARTS_MAX];
	struct run_id stops[RUNS_MAX];
	struct run_pace paces[RUNS_MAX];
	struct colocation *colocation;
	/* Best-effort runs, by image. */
	struct list fills[COLOCATION_IMAGES_MAX];
	/* Workers of each serving image; of them, where a request's image is on
	 * trial. */
	unsigned short serving_workers[COLOCATION_IMAGES_MAX];
	unsigned short trials[COLOCATION_IMAGES_MAX];
	struct durations *durations; /* of runs that have ended */
	/* A heap, the best one first, for the request that is placed. */
	struct candidate *candidates;
	size_t candidate_count;
	uint32_t blocks[PLACEMENT_BLOCK_COUNT]; /* of that request */
	/*
	 * A round looks at each workflow once, in their order, and may take
	 * several passes; it includes workflows that arrive meanwhile.
	 */
	struct list to_look;
	struct list arrivals;
	int round_is_open;
	struct mstime urgency_updated_at;
	struct queue_table queues;
	struct queue_shares queue_shares;
	struct dispatch_stats pass_end;	  /* the pass ends at these counts */
	struct unplaced_classes unplaced; /* in this pass */
	struct unplaced_classes not_relocatable;
	struct mstime not_relocatable_since;
	struct dispatch_stats stats;
	struct mstime unplaced_noted_at;
	struct reservations reservations;
};

void dispatch_emit(struct dispatch *dispatch, enum dispatch_event_kind kind,
		   const struct workflow *workflow, const struct worker *worker,
		   const struct task_id *task, uint32_t run,
		   const char *reason);

/*
 * Entries of known jobs, in dispatch_jobs.c: the place of a job's entry, which
 * is NULL if there is none, a new one, and the removal of one with its
 * workflow.
 */
struct workflow_entry **dispatch_entry_link(struct dispatch *dispatch,
					    const char *job);
struct workflow_entry *dispatch_entry_new(const char *job);
void dispatch_remove_entry(struct dispatch *dispatch, const char *job);

/* Extends the lease of the worker's runs if the last report justifies it. */
void dispatch_extend_lease(struct dispatch *dispatch, struct worker *worker,
			   int may_extend, struct msg_work_orders *orders,
			   struct mstime now);

/*
 * Bounds the leases of earlier terms by what the runner reports: since it
 * follows this scheduler, no other one can extend them.
 */
void dispatch_bound_lease(struct dispatch *dispatch, struct worker *worker,
			  const struct msg_work_report *report,
			  struct mstime now);

/* Ends the worker's runs if their lease has certainly expired. */
void dispatch_expire_lease(struct dispatch *dispatch, struct worker *worker,
			   struct mstime now);

/* Whether the worker has started no run since it was ordered this one. */
int dispatch_starts_nothing(const struct run *run);

/* Acknowledges the first pending ends that need not be stored any more. */
void dispatch_acknowledge_ends(struct worker *worker);

/* Whether as much has been assigned as can be stored soon. */
int dispatch_waits_for_saves(const struct dispatch *dispatch);

/* Something has happened that may cause orders to the worker. */
void dispatch_note_orders(struct worker *worker);

/* Lets the run be stopped, so that its task runs elsewhere. */
void dispatch_evict(struct run *run);

/*
 * A scheduler that takes over may find more assigned to a worker than it has
 * room for: that a run was given up there may not have been stored before what
 * took its place. Nothing is started there until the rest fits, and runs that
 * the worker doesn't list are stopped and placed anew as far as needed.
 */
int dispatch_exceeds_capacity(const struct worker *worker);
void dispatch_evict_excess(struct dispatch *dispatch, struct worker *worker);

/* Keeps new runs from the worker for a while. */
void dispatch_penalize(struct dispatch *dispatch, struct worker *worker,
		       struct mstime now);

/*
 * Counts a run that failed at the worker, or that the worker refused; then
 * workflow is NULL. Failures of one workflow rule the worker out for it alone,
 * as the workflow may be the cause.
 */
void dispatch_count_failure(struct dispatch *dispatch, struct worker *worker,
			    struct workflow *workflow, struct mstime now);

/* Marks the workflow's state as changed, so that it will be stored. */
void dispatch_mark_changed(struct dispatch *dispatch,
			   struct workflow *workflow);

/* Creates a run and reserves its resources at the worker. */
struct run *dispatch_run_new(struct dispatch *dispatch, struct worker *worker,
			     struct workflow *workflow,
			     const struct task_id *id, uint32_t number);

/*
 * Releases the resources of a run and frees it. Its task, if this is the
 * task's current run and the task is not done, waits again.
 */
void dispatch_run_end(struct dispatch *dispatch, struct run *run,
		      struct mstime now);

/* Releases its resources and frees it; its task is not changed. */
void dispatch_run_free(struct run *run);

/*
 * Time that a run still needs, at this quantile. 0: its task never ends by
 * itself, or its estimate is unknown.
 */
int64_t dispatch_left_ms(const struct dispatch *dispatch, const struct run *run,
			 uint32_t quantile, struct mstime now);

/* Learns from a run that has ended with its task done. */
void dispatch_learn_duration(struct dispatch *dispatch, const struct run *run,
			     struct mstime now);

struct run *dispatch_run_find(struct worker *worker, const struct task_id *id,
			      uint32_t number);

/* Moves the workflow to the final ones if it has become final. */
void dispatch_check_final(struct dispatch *dispatch, struct workflow *workflow,
			  struct mstime now);

int task_id_equal(const struct task_id *a, const struct task_id *b);

/*
 * Adds the latencies of a report to the estimates of colocation, and updates
 * since when each serving run has been over its target.
 */
void dispatch_observe_latencies(struct dispatch *dispatch,
				struct worker *worker, struct mstime now);

/* Pressure of a best-effort run on a serving one at a pace in percent. */
double dispatch_pressure(const struct dispatch *dispatch,
			 const struct run *neighbour, const struct run *serving,
			 uint32_t pace);

/*
 * Evicts runs that have to move away from a worker that leaves or whose domain
 * is evacuated.
 */
void dispatch_move_departing(struct dispatch *dispatch, struct worker *worker,
			     struct mstime now);

/* Counts the workers of each serving image, for a pass. */
void dispatch_count_serving(struct dispatch *dispatch);

/*
 * Notes beside which serving images a best-effort image is on trial: runs of it
 * are there, and what it does to them is not known yet.
 */
void dispatch_mark_trials(struct dispatch *dispatch, int image,
			  struct mstime now);

/*
 * Whether a run of the image would be another trial of a pair that is on trial
 * at enough workers. Valid for the image of the last dispatch_mark_trials().
 */
int dispatch_repeats_trial(const struct dispatch *dispatch,
			   const struct worker *worker, int image);

/* Whether a run of the image at the worker tries a pair that is not known. */
int dispatch_is_trial(const struct dispatch *dispatch,
		      const struct worker *worker, int image);

/* Whether the run, at full pace, may noticeably slow the serving one. */
int dispatch_may_interfere(const struct dispatch *dispatch,
			   const struct run *neighbour,
			   const struct run *serving);

/* Pressure on a serving run above the target pressure, at planned paces. */
double dispatch_planned_excess(const struct dispatch *dispatch,
			       const struct worker *worker,
			       const struct run *serving);

/*
 * Takes the measurements of a report, sets the paces of best-effort runs and
 * evicts slow ones. Does nothing within 400 ms of the last update.
 */
void dispatch_update_paces(struct dispatch *dispatch, struct worker *worker,
			   struct mstime now);

/*
 * Highest pressure above the target pressure on a serving run of the worker,
 * with all best-effort runs at full pace and a further one of this image that
 * uses these cores. Negative: it is below the target. Serving runs that the
 * image would hardly slow don't count.
 */
double dispatch_placement_excess(struct dispatch *dispatch,
				 const struct worker *worker, int image,
				 double cores, struct mstime now);

/*
 * Finds the workers that can take a task of the request. After a task was
 * assigned to the best one, dispatch_update_best() has to be called.
 */
void dispatch_find_candidates(struct dispatch *dispatch,
			      const struct placement_request *request,
			      struct mstime now);
struct worker *dispatch_best_candidate(const struct dispatch *dispatch);
void dispatch_update_best(struct dispatch *dispatch,
			  const struct placement_request *request,
			  struct mstime now);

/* What rules the worker out for the request, but for pressure. */
enum placement_block dispatch_worker_block(
	const struct dispatch *dispatch, const struct worker *worker,
	const struct placement_request *request, struct mstime now);

/* Whether enough tasks of the step are at the worker. */
int dispatch_is_spread_out(const struct worker *worker,
			   const struct placement_request *request);

/* Whether the worker has room for a task of the step beside this use. */
int dispatch_use_fits(const struct dispatch *dispatch,
		      const struct worker *worker, const struct worker_use *use,
		      const struct workflow_step *step);

/* Time of a task of the request, at a high quantile. 0: unknown. */
int64_t dispatch_high_ms(const struct dispatch *dispatch,
			 const struct placement_request *request);

/* Returns NULL unless the class of the request is among them. */
const struct unplaced_class *dispatch_find_unplaced(
	const struct dispatch *dispatch, const struct unplaced_classes *classes,
	const struct placement_request *request);

/* Adds the class of a request that has no candidates. */
void dispatch_add_unplaced(const struct dispatch *dispatch,
			   struct unplaced_classes *classes,
			   const struct placement_request *request);

/* Whether another worker is the best place for the task of the run. */
int dispatch_can_relocate(struct dispatch *dispatch, const struct run *run,
			  struct mstime now);

/* Gives the workflow the settings of its queue that hold now. */
void dispatch_update_queue(struct dispatch *dispatch,
			   struct workflow *workflow);

/* Counts the work of a run that was assigned for the share of its queue. */
void dispatch_count_share(const struct run *run, struct mstime now);

/* Computes the keys by which workflows are sorted. */
void dispatch_update_urgency(struct workflow *workflow, struct mstime now);

/* Order by priority, urgency and deadline or remaining time. */
int dispatch_goes_before(const struct workflow *a, const struct workflow *b);

/* Objective for the time from submission to the end of a workflow. */
int64_t dispatch_objective_ms(const struct workflow *workflow);

#define PACE_UNKNOWN 255

#endif
