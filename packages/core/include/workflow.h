#ifndef CATKINHILL_WORKFLOW_H
#define CATKINHILL_WORKFLOW_H

#include <stddef.h>
#include <stdint.h>

#include "list.h"
#include "message.h"
#include "mstime.h"

/*
 * NAME
 *	workflow - a job of several steps, each of several tasks
 *
 * NOTES
 *	The specification never changes after submission. The scheduler keeps
 *	the state of the tasks that are at work and stores it as one JSON
 *	document for each workflow; see workflow_encode(). The module has no
 *I/O. It knows of workers only the location that is recorded with an assigned
 *task.
 */
#define STEPS_MAX 256
#define TASKS_PER_WORKFLOW_MAX 20000
#define OCCURRENCES_MAX 100000
#define WORKFLOW_PAYLOAD_MAX 4000

struct workflow_step {
	uint32_t task_count;
	struct resources need;
	int64_t estimate_ms;  /* rough run time of one task */
	uint32_t *depends_on; /* indexes of earlier steps that must be done */
	size_t dependency_count;
	uint32_t max_per_worker;    /* in an occurrence; 0: unlimited */
	uint32_t max_unavailable;   /* at the same time */
	int64_t latency_target_ms;  /* 0: does not serve requests */
	char *required_label;	    /* NULL: any worker */
	char *data_rack;	    /* rack of its input data; NULL: none */
	char *image;		    /* NULL: unknown */
	int image_index;	    /* of the scheduler; -1: unknown */
	unsigned gang : 1;	    /* all tasks run at the same time or none */
	unsigned same_rack : 1;	    /* preferred, not required */
	unsigned checkpointing : 1; /* tasks can resume */
	unsigned concurrent : 1;
	unsigned long_running : 1; /* tasks run until cancelled */
	unsigned best_effort : 1;  /* uses spare CPU, which is not reserved */
	uint32_t first_task; /* index of its first task in an occurrence */
};

/* The queue that a workflow was submitted to, as configured. */
struct queue_config {
	char name[ID_SIZE];
	char service[ID_SIZE];
	uint32_t priority; /* 0 is the highest */
	uint32_t max_attempts;
	double stretch;	     /* objective as a multiple of the critical path */
	int64_t extra_ms;    /* added to the objective */
	uint32_t has_advice; /* an advisor restricts the choice of workers */
	int64_t version;     /* of the configuration; 0: not known */
};

struct workflow_spec {
	char id[JOB_ID_SIZE];
	char *payload;
	struct workflow_step *steps;
	size_t step_count;
	uint32_t task_count;  /* of one occurrence */
	uint32_t occurrences; /* at least 1 */
	int64_t first_due_ms; /* due time of occurrence 0, ms since 1970 */
	int64_t interval_ms;  /* between due times */
};

enum workflow_state {
	WORKFLOW_QUEUED,
	WORKFLOW_RUNNING,
	WORKFLOW_COMPLETE,
	WORKFLOW_FAILED,
	WORKFLOW_CANCELLED,
	WORKFLOW_STATE_COUNT
};

enum task_phase {
	TASK_WAITING,
	TASK_ASSIGNED,
	TASK_DONE
};

/* Location of a run, from which a new scheduler finds it after a takeover. */
struct run_location {
	char node[ID_SIZE];	  /* node name of the runner */
	char worker[ID_SIZE];	  /* identifier of the worker */
	uint64_t worker_start_ms; /* start of the worker, ms since 1970 */
};

struct run;

struct workflow_task {
	enum task_phase phase;
	uint32_t last_run; /* number; 0: none yet */
	uint32_t failures; /* failed runs */
	char *checkpoint;  /* NULL: none */
	/* Among members of a gang, the highest is that of the newest one. */
	uint64_t checkpoint_order;
	struct run_location *location;
	struct run *current_run;    /* owned by dispatch */
	struct mstime not_before;   /* delay after a failure */
	struct mstime waiting_from; /* end of its last run */
};

/* Neighbouring tasks of a step; its last block may be shorter. */
#define TASK_BLOCK_SIZE 32

struct task_block {
	uint32_t done_count, assigned_count;
	struct workflow_task tasks[];
};

/* Stands for a block of tasks that are all done. */
extern struct task_block task_block_done;

/*
 * A block has states from its first assignment until its tasks are done and
 * have no runs. blocks is NULL if no task has begun, or all are done.
 */
struct step_state {
	struct task_block **blocks; /* NULL: none of its tasks has begun */
	uint32_t done_count, assigned_count;
};

/* An occurrence that has begun and is not done. */
struct occurrence {
	uint32_t number;
	uint32_t steps_done;
	uint32_t assigned_count; /* sum of those of the steps */
	struct step_state steps[];
};

/* Occurrences that are done, after one that is not. */
struct done_range {
	struct list node;
	uint32_t first, last;
};

/* Where in a workflow a pass has ended. */
enum look_stage {
	LOOK_FROM_START,
	LOOK_BEGUN, /* at the occurrences that have begun, from a number on */
	LOOK_FRESH  /* at those that have not */
};

/* Whether a workflow can still meet its objective; sorts in this order. */
enum urgency {
	URGENCY_LASTING, /* tasks that run until cancelled; no objective */
	URGENCY_ON_TIME,
	URGENCY_LATE, /* but the result is still useful */
	URGENCY_OVERDUE
};

struct queue_share;

struct workflow {
	struct list node;	  /* in a list of dispatch */
	struct list round_node;	  /* until this round has looked at it */
	struct list unsaved_node; /* while its last change is not stored */
	struct list unsaved_runs; /* assigned, but not yet stored */
	struct workflow_spec spec;
	struct queue_config queue;
	enum workflow_state state;
	struct occurrence **begun; /* by number */
	size_t begun_count, begun_size;
	uint32_t first_open;	   /* all occurrences before it are done */
	struct list done_ranges;   /* after first_open, by number */
	uint32_t done_occurrences; /* with those in the ranges */
	enum look_stage look_stage;
	uint32_t look_from;	 /* occurrence */
	uint32_t run_count;	 /* at workers, also of tasks that are done */
	uint32_t assigned_total; /* sum of the assigned_count */
	uint32_t state_count;	 /* tasks that have a state */
	size_t memory;		 /* bytes, about */
	size_t *memory_sum;	 /* of all workflows; NULL: not counted */
	int64_t submitted_ms;	 /* by the store's clock, ms since 1970 */
	struct mstime submitted_at;
	struct mstime known_at;	  /* when the scheduler took it in */
	int64_t critical_path_ms; /* by the estimates */
	int64_t remaining_ms;	  /* of the critical path */
	enum urgency urgency;
	int64_t sort_key_ms;	     /* among equal urgency */
	struct queue_share *share;   /* of its queue; NULL: not counted */
	uint64_t version;	     /* of the last change */
	uint64_t saved_version;	     /* of the last state stored */
	struct mstime unsaved_since; /* 0: no change since a save */
	int64_t stored_revision;     /* 0: the state is not in the store */
	uint64_t failed_worker;	     /* hash of the first one; 0: none */
	struct mstime ended_at;	     /* when it became final; 0: it is not */
	/* Last time seen with a run, or with none that is due. */
	struct mstime idle_since;
	struct mstime looked_at; /* by a pass; before it, when it arrived */
	int block; /* enum placement_block of the last look; 0: none */
	/* The first task that found no worker at the last look, and how long.
	 */
	struct task_id unplaced_task;
	struct mstime unplaced_since;	 /* 0: each task found one */
	struct mstime unplaced_noted_at; /* last report of an unplaced task */
	struct mstime reservation_sought_at;
	unsigned cancelled : 1;
	unsigned queue_changed : 1;   /* its settings, since the submission */
	unsigned started : 1;	      /* a worker has begun a task */
	unsigned saving : 1;	      /* part of the commit in progress */
	unsigned has_reservation : 1; /* a worker is reserved for a step */
	unsigned in_urgent : 1;	      /* unsaved_node is in the urgent queue */
	unsigned over_share : 1; /* its queue has had more than its share */
};

/* Frees the memory that the specification owns. */
void workflow_spec_clear(struct workflow_spec *spec);

/*
 * Checks bounds and references and sets the derived fields.
 *
 * RETURN VALUE
 *	0, or ERR_INVALID or ERR_TOO_LARGE; *reason is then set to a string
 *	with static storage.
 */
int workflow_spec_check(struct workflow_spec *spec, const char **reason);

/* Takes ownership of the memory of spec and clears it. */
struct workflow *workflow_new(struct workflow_spec *spec,
			      const struct queue_config *queue,
			      int64_t submitted_ms);
void workflow_delete(struct workflow *workflow);

int workflow_is_final(const struct workflow *workflow);

/* Bytes of memory, about, without the documents of the store. */
size_t workflow_memory(const struct workflow *workflow);

/* Returns NULL if the task has no state. */
struct workflow_task *workflow_step_task(const struct step_state *state,
					 uint32_t index);

int workflow_has_task(const struct workflow *workflow,
		      const struct task_id *id);

/*
 * Returns the state of a task, or NULL: the workflow has no such task, none of
 * its block was assigned yet, or all of them are done. Looking at a task costs
 * no memory.
 */
struct workflow_task *workflow_find_task(const struct workflow *workflow,
					 const struct task_id *id);

/* The same for a task that exists and is not done; creates it. */
struct workflow_task *workflow_begin_task(struct workflow *workflow,
					  const struct task_id *id);

enum task_phase workflow_task_phase(const struct workflow *workflow,
				    const struct task_id *id);

/*
 * Whether a task of the occurrence may be assigned: states are kept for at
 * most TASKS_PER_WORKFLOW_MAX tasks, so that they can be stored. Occurrences
 * that have begun, and one in any case, go on.
 */
int workflow_may_begin(const struct workflow *workflow, uint32_t occurrence);

/* Returns NULL if the occurrence has not begun, or is done. */
struct occurrence *workflow_occurrence(const struct workflow *workflow,
				       uint32_t number);

/* Index in workflow->begun of the first one with this number or a higher one.
 */
size_t workflow_begun_from(const struct workflow *workflow, uint32_t number);

/* The first one from number on that has not begun; spec.occurrences: none. */
uint32_t workflow_next_fresh(const struct workflow *workflow, uint32_t number);

/* Takes a copy of the text. */
void workflow_set_checkpoint(struct workflow *workflow,
			     struct workflow_task *task,
			     const char *checkpoint);

/*
 * Counts an assigned task more (1) or less (-1). The states of a step that is
 * done end with its last assigned task.
 */
void workflow_count_assigned(struct workflow *workflow,
			     const struct task_id *id, int change);

/* Whether all steps that this one depends on are done. */
int workflow_step_ready(const struct workflow *workflow, uint32_t occurrence,
			uint32_t step);

/* Length of the critical path by the estimates of the steps, in ms. */
int64_t workflow_critical_path_ms(const struct workflow *workflow);

/* The same for the steps of the first occurrence that are not done. */
int64_t workflow_remaining_ms(const struct workflow *workflow);

/*
 * Marks a task done, and with it all tasks of a gang. The workflow is complete
 * when its last task is done.
 */
void workflow_task_done(struct workflow *workflow, uint32_t occurrence,
			uint32_t step, uint32_t index);

/* Marks the first occurrences of a new workflow done. */
void workflow_set_complete(struct workflow *workflow, uint32_t occurrences);

/* Marks occurrences done that have not begun; first is after first_open. */
void workflow_add_done(struct workflow *workflow, uint32_t first,
		       uint32_t last);

/*
 * Returns the state as newly allocated JSON. Tasks that have never been
 * assigned are omitted.
 */
char *workflow_encode(const struct workflow *workflow);

/*
 * The same in at most max bytes: without checkpoints if it does not fit with
 * them, and if the workflow is final without its tasks.
 *
 * RETURN VALUE
 *	NULL if that does not fit either
 */
char *workflow_encode_within(const struct workflow *workflow, size_t max);

/*
 * Sets the state of a new workflow to a stored one.
 *
 * RETURN VALUE
 *	0, or ERR_MALFORMED; then the workflow must not be used.
 */
int workflow_decode(struct workflow *workflow, const char *json, size_t len);

/* What a stored document tells without the specification. */
struct workflow_summary {
	enum workflow_state state;
	int started;  /* a worker has begun a task */
	int has_runs; /* tasks are assigned */
};

/* ERR_MALFORMED: the document has no state. */
int workflow_decode_summary(const char *json, size_t len,
			    struct workflow_summary *summary);

/* Reads only the state of the workflow from a document. ERR_MALFORMED: none. */
int workflow_decode_state(const char *json, size_t len,
			  enum workflow_state *state);

const char *workflow_state_name(enum workflow_state state);

#endif
