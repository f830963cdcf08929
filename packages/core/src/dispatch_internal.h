#ifndef CATKINHILL_DISPATCH_INTERNAL_H
#define CATKINHILL_DISPATCH_INTERNAL_H

#include "colocation.h"
#include "dispatch.h"

/*
 * NAME
 *	dispatch_internal - what the sources of dispatch share
 */
#define JOB_BUCKETS 4096

struct workflow_entry {
	struct workflow *workflow;
	struct workflow_entry *next;
};

struct dispatch {
	struct dispatch_limits limits;
	uint64_t epoch;
	uint64_t version;
	int64_t wall_ms;
	struct mstime takeover_at;
	struct list workflows; /* active ones, most important first */
	struct list finals;    /* in the order in which they ended */
	struct list workers;
	struct workflow_entry *buckets[JOB_BUCKETS];
	dispatch_event_fn event_fn;
	void *event_arg;
	struct run_order starts[ORDER_STARTS_MAX];
	struct run_name stops[RUNS_MAX];
	struct run_pace paces[RUNS_MAX];
	struct colocation *colocation;
};

void dispatch_emit(struct dispatch *dispatch, enum dispatch_event_kind kind,
		   const struct workflow *workflow, const struct worker *worker,
		   const struct task_id *task, uint32_t run,
		   const char *reason);

/* The workflow's state has changed and has to be stored. */
void dispatch_mark_changed(struct dispatch *dispatch,
			   struct workflow *workflow);

/* Takes room at the worker. */
struct run *dispatch_run_new(struct dispatch *dispatch, struct worker *worker,
			     struct workflow *workflow,
			     const struct task_id *id, uint32_t number);

/* Gives the room back; the task, if this is its run, waits again. */
void dispatch_run_end(struct dispatch *dispatch, struct run *run,
		      struct mstime now);

struct run *dispatch_run_find(struct worker *worker, const struct task_id *id,
			      uint32_t number);

/* Moves a workflow that has become final to the final ones. */
void dispatch_check_final(struct dispatch *dispatch, struct workflow *workflow,
			  struct mstime now);

int task_id_equal(const struct task_id *a, const struct task_id *b);

/* Takes the figures of a report; since when which run is over its target. */
void dispatch_observe_latencies(struct dispatch *dispatch,
				struct worker *worker, struct mstime now);

/* Pressure of a filling run on a serving one at a pace in percent. */
double dispatch_pressure(const struct dispatch *dispatch,
			 const struct run *fill, const struct run *serving,
			 uint32_t pace);

/* Whether the run, at full pace, may slow the serving one noticeably. */
int dispatch_may_interfere(const struct dispatch *dispatch,
			   const struct run *fill, const struct run *serving);

/* Pressure above the aim on a serving run, at the paces that are planned. */
double dispatch_planned_excess(const struct dispatch *dispatch,
			       const struct worker *worker,
			       const struct run *serving);

/* Observes and then sets the paces of what fills, at most twice a second. */
void dispatch_update_paces(struct dispatch *dispatch, struct worker *worker,
			   struct mstime now);

/*
 * Pressure above the aim on what serves at a worker, with all that fills at
 * full pace and an image that uses these cores besides; negative: room left.
 * What the image would hardly slow does not count.
 */
double dispatch_placement_excess(struct dispatch *dispatch,
				 const struct worker *worker, int image,
				 double cores);

/* Whether the task could be moved to another worker without harm. */
int dispatch_can_relocate(struct dispatch *dispatch, const struct run *run,
			  struct mstime now);

/* Sorts the workflows by priority, urgency and due time. */
void dispatch_sort_workflows(struct dispatch *dispatch, struct mstime now);
void dispatch_insert_workflow(struct list *head, struct workflow *workflow);

/* Time from submission within which a workflow should end. */
int64_t dispatch_objective_ms(const struct workflow *workflow);

#define PACE_UNKNOWN 255

#endif
