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
 *	The specification never changes after submission. The state of the
 *	tasks is kept by the scheduler and stored as one JSON document for
 *	each workflow; see workflow_encode(). The module has no I/O and knows
 *	no workers beyond the place that each assigned task names.
 */
#define STEPS_MAX 256
#define TASKS_PER_WORKFLOW_MAX 20000
#define OCCURRENCES_MAX 100000
#define WORKFLOW_PAYLOAD_MAX 4000

struct workflow_step {
	uint32_t task_count; /* tasks */
	struct resources need;
	int64_t estimate_ms;  /* of one task; rough */
	uint32_t *depends_on; /* earlier steps that must be done first */
	size_t dependency_count;
	uint32_t max_per_worker;  /* 0: any number */
	uint32_t max_unavailable; /* tasks that may be away at once */
	int64_t latency_target_ms;
	char *required_label; /* NULL: any worker */
	char *data_rack;      /* NULL: no data */
	char *image;	      /* NULL: not known */
	unsigned gang : 1;
	unsigned same_rack : 1;
	unsigned checkpointing : 1;
	unsigned concurrent : 1;
	unsigned long_running : 1;
	unsigned best_effort : 1; /* cpu is not reserved */
	uint32_t first_task;	  /* index of its first task in an occurrence */
};

/* The queue that a workflow was submitted to, as configured. */
struct queue_config {
	char name[ID_SIZE];
	char service[ID_SIZE];
	uint32_t priority; /* 0 comes first */
	uint32_t max_attempts;
	double stretch;	     /* objective in chains of work */
	int64_t extra_ms;    /* added to the objective */
	uint32_t has_advice; /* an advisor restricts the workers */
};

struct workflow_spec {
	char id[JOB_ID_SIZE];
	char *payload;
	struct workflow_step *steps;
	size_t step_count;
	uint32_t task_count;  /* of one occurrence */
	uint32_t occurrences; /* at least 1 */
	int64_t first_due_ms; /* due time of occurrence 0, ms since 1970 */
	int64_t interval_ms;
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

/* Where a run was ordered; enough to find it again after a takeover. */
struct place {
	char node[ID_SIZE];	  /* of the runner */
	char worker[ID_SIZE];	  /* identifier of the worker */
	uint64_t worker_start_ms; /* start of the worker, ms since 1970 */
};

struct run;

struct workflow_task {
	enum task_phase phase;
	uint32_t last_run; /* number of the last run; 0: none yet */
	uint32_t failures; /* runs that ended failed */
	char *checkpoint;  /* NULL: none */
	struct place *location;
	struct run *current_run;    /* owned by dispatch */
	struct mstime not_before;   /* pause after a failure */
	struct mstime waiting_from; /* for reports */
};

struct occurrence {
	struct workflow_task *tasks;
	uint32_t *done_count;	  /* of each step */
	uint32_t *assigned_count; /* of each step */
	uint32_t steps_done;
};

/* Whether a workflow can still meet its objective. */
enum urgency {
	URGENCY_ON_TIME,
	URGENCY_LATE, /* but still of some use */
	URGENCY_OVERDUE
};

struct workflow {
	struct list node; /* of dispatch */
	struct workflow_spec spec;
	struct queue_config queue;
	enum workflow_state state;
	struct occurrence *occurrences;
	int64_t submitted_ms; /* clock of the store, ms since 1970 */
	struct mstime submitted_at;
	int64_t critical_path_ms; /* longest chain of estimates */
	int64_t remaining_ms;	  /* of the chain */
	enum urgency urgency;
	int64_t sort_key_ms; /* among workflows of equal urgency */
	uint64_t version;    /* of the last change */
	uint64_t saved_version;
	int64_t stored_revision; /* 0: the state has never been stored */
	struct mstime ended_at;
	struct mstime idle_since; /* without a run, since */
	unsigned cancelled : 1;
	unsigned started : 1; /* a task has been assigned */
	unsigned saving : 1;  /* part of the commit in progress */
};

/* Frees what the specification owns. */
void workflow_spec_clear(struct workflow_spec *spec);

/*
 * Checks bounds and references and fills in the derived fields.
 *
 * RETURN VALUE
 *	0, or ERR_INVALID or ERR_TOO_LARGE; then *reason is a text of static
 *	storage.
 */
int workflow_spec_check(struct workflow_spec *spec, const char **reason);

/* Takes over what spec owns. */
struct workflow *workflow_new(struct workflow_spec *spec,
			      const struct queue_config *queue,
			      int64_t submitted_ms);
void workflow_delete(struct workflow *workflow);

int workflow_is_final(const struct workflow *workflow);

struct workflow_task *workflow_task(struct workflow *workflow,
				    uint32_t occurrence, uint32_t step,
				    uint32_t index);

/* NULL when the identifier names no task of this workflow. */
struct workflow_task *workflow_find_task(struct workflow *workflow,
					 const struct task_id *id);

/* Whether all steps that this one waits for are done. */
int workflow_step_ready(const struct workflow *workflow, uint32_t occurrence,
			uint32_t step);

/* Longest chain of estimates, in ms. */
int64_t workflow_critical_path_ms(const struct workflow *workflow);

/* The same of the steps that are not done, of the first occurrence. */
int64_t workflow_remaining_ms(const struct workflow *workflow);

/*
 * Marks a task done; every member of a gang ends with it. The workflow is
 * complete when its last task is done.
 */
void workflow_task_done(struct workflow *workflow, uint32_t occurrence,
			uint32_t step, uint32_t index);

/*
 * The state as JSON, newly allocated. Tasks that have never been assigned are
 * left out.
 */
char *workflow_encode(const struct workflow *workflow);

/*
 * Replaces the state of a new workflow by a stored one.
 *
 * RETURN VALUE
 *	0, or ERR_MALFORMED; then the workflow must not be used.
 */
int workflow_decode(struct workflow *workflow, const char *json, size_t len);

/* The state in an encoded document; ERR_MALFORMED when it has none. */
int workflow_decode_state(const char *json, size_t len,
			  enum workflow_state *state);

const char *workflow_state_name(enum workflow_state state);

#endif
