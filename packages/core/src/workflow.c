#include "workflow.h"

#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "mem.h"

static const char *const state_names[WORKFLOW_STATE_COUNT] = {
	[WORKFLOW_QUEUED] = "queued",	    [WORKFLOW_RUNNING] = "running",
	[WORKFLOW_COMPLETE] = "complete",   [WORKFLOW_FAILED] = "failed",
	[WORKFLOW_CANCELLED] = "cancelled",
};

const char *workflow_state_name(enum workflow_state state)
{
	return state_names[state];
}

static void step_clear(struct workflow_step *step)
{
	free(step->depends_on);
	free(step->required_label);
	free(step->data_rack);
	free(step->image);
}

void workflow_spec_clear(struct workflow_spec *spec)
{
	size_t i;

	for (i = 0; i < spec->step_count; i++)
		step_clear(&spec->steps[i]);
	free(spec->steps);
	free(spec->payload);
	memset(spec, 0, sizeof(*spec));
}

/* Steps may depend only on earlier ones, so there is no cycle. */
static int dependencies_valid(const struct workflow_spec *spec, size_t index)
{
	const struct workflow_step *step = &spec->steps[index];
	size_t i;

	for (i = 0; i < step->dependency_count; i++)
		if (step->depends_on[i] >= index)
			return 0;
	return 1;
}

static int fail(const char **reason, const char *text, int err)
{
	*reason = text;
	return err;
}

int workflow_spec_check(struct workflow_spec *spec, const char **reason)
{
	uint64_t tasks = 0;
	size_t i;

	if (!spec->step_count)
		return fail(reason, "workflow has no steps", ERR_INVALID);
	if (spec->step_count > STEPS_MAX)
		return fail(reason, "too many steps", ERR_TOO_LARGE);
	if (spec->payload && strlen(spec->payload) > WORKFLOW_PAYLOAD_MAX)
		return fail(reason, "payload is too long", ERR_TOO_LARGE);
	for (i = 0; i < spec->step_count; i++) {
		struct workflow_step *step = &spec->steps[i];

		if (!step->task_count)
			return fail(reason, "step has no tasks", ERR_INVALID);
		if (!dependencies_valid(spec, i))
			return fail(reason,
				    "step depends on itself or a later step",
				    ERR_INVALID);
		step->first_task = (uint32_t)tasks;
		tasks += step->task_count;
		if (tasks > TASKS_PER_WORKFLOW_MAX)
			return fail(reason, "too many tasks", ERR_TOO_LARGE);
	}
	if (spec->occurrences > OCCURRENCES_MAX)
		return fail(reason, "too many occurrences", ERR_TOO_LARGE);
	if (spec->occurrences > 1 && spec->interval_ms < 1)
		return fail(reason, "several occurrences need an interval",
			    ERR_INVALID);
	if (!spec->occurrences)
		spec->occurrences = 1;
	spec->task_count = (uint32_t)tasks;
	return 0;
}

struct workflow *workflow_new(struct workflow_spec *spec,
			      const struct queue_config *queue,
			      int64_t submitted_ms)
{
	struct workflow *workflow = xcalloc(1, sizeof(*workflow));

	list_init(&workflow->node);
	list_init(&workflow->round_node);
	list_init(&workflow->unsaved_node);
	list_init(&workflow->unsaved_runs);
	workflow->spec = *spec;
	workflow->queue = *queue;
	workflow->submitted_ms = submitted_ms;
	workflow->occurrences =
		xcalloc(spec->occurrences, sizeof(*workflow->occurrences));
	memset(spec, 0, sizeof(*spec));
	return workflow;
}

static void occurrence_clear(struct occurrence *occurrence, uint32_t count)
{
	uint32_t i;

	for (i = 0; occurrence->tasks && i < count; i++) {
		free(occurrence->tasks[i].checkpoint);
		free(occurrence->tasks[i].location);
	}
	free(occurrence->tasks);
	free(occurrence->done_count);
	free(occurrence->assigned_count);
}

void workflow_delete(struct workflow *workflow)
{
	uint32_t k;

	if (!workflow)
		return;
	for (k = 0; k < workflow->spec.occurrences; k++)
		occurrence_clear(&workflow->occurrences[k],
				 workflow->spec.task_count);
	free(workflow->occurrences);
	list_del(&workflow->node);
	list_del(&workflow->round_node);
	list_del(&workflow->unsaved_node);
	workflow_spec_clear(&workflow->spec);
	free(workflow);
}

int workflow_is_final(const struct workflow *workflow)
{
	return workflow->state >= WORKFLOW_COMPLETE;
}

static void set_all_done(const struct workflow_spec *spec,
			 struct occurrence *occurrence)
{
	uint32_t i;

	for (i = 0; i < spec->task_count; i++)
		occurrence->tasks[i].phase = TASK_DONE;
	for (i = 0; i < spec->step_count; i++)
		occurrence->done_count[i] = spec->steps[i].task_count;
}

/* Occurrences are allocated on first use, because there may be many. */
static struct occurrence *get_occurrence(struct workflow *workflow, uint32_t k)
{
	struct occurrence *occurrence = &workflow->occurrences[k];
	size_t steps = workflow->spec.step_count;

	if (occurrence->tasks)
		return occurrence;
	occurrence->tasks =
		xcalloc(workflow->spec.task_count, sizeof(*occurrence->tasks));
	occurrence->done_count =
		xcalloc(steps, sizeof(*occurrence->done_count));
	occurrence->assigned_count =
		xcalloc(steps, sizeof(*occurrence->assigned_count));
	if (occurrence->steps_done == steps)
		set_all_done(&workflow->spec, occurrence);
	return occurrence;
}

struct workflow_task *workflow_task(struct workflow *workflow,
				    uint32_t occurrence, uint32_t step,
				    uint32_t index)
{
	return &get_occurrence(workflow, occurrence)
			->tasks[workflow->spec.steps[step].first_task + index];
}

struct workflow_task *workflow_find_task(struct workflow *workflow,
					 const struct task_id *id)
{
	if (id->occurrence >= workflow->spec.occurrences ||
	    id->step >= workflow->spec.step_count ||
	    id->index >= workflow->spec.steps[id->step].task_count)
		return NULL;
	return workflow_task(workflow, id->occurrence, id->step, id->index);
}

void workflow_count_assigned(struct workflow *workflow,
			     const struct task_id *id, int change)
{
	workflow->occurrences[id->occurrence].assigned_count[id->step] +=
		(uint32_t)change;
	workflow->assigned_total += (uint32_t)change;
}

int workflow_step_ready(const struct workflow *workflow, uint32_t occurrence,
			uint32_t step)
{
	const struct occurrence *state = &workflow->occurrences[occurrence];
	const struct workflow_step *spec = &workflow->spec.steps[step];
	size_t i;

	for (i = 0; i < spec->dependency_count; i++) {
		uint32_t before = spec->depends_on[i];

		if (!state->done_count ||
		    state->done_count[before] <
			    workflow->spec.steps[before].task_count)
			return 0;
	}
	return 1;
}

/* done: number of done tasks of each step, or NULL to count all steps. */
static int64_t longest_chain(const struct workflow_spec *spec,
			     const uint32_t *done)
{
	int64_t ends[STEPS_MAX], longest = 0;
	size_t i, k;

	for (i = 0; i < spec->step_count; i++) {
		const struct workflow_step *step = &spec->steps[i];

		ends[i] = 0;
		for (k = 0; k < step->dependency_count; k++)
			if (ends[step->depends_on[k]] > ends[i])
				ends[i] = ends[step->depends_on[k]];
		if (!done || done[i] < step->task_count)
			ends[i] += step->estimate_ms;
		if (ends[i] > longest)
			longest = ends[i];
	}
	return longest;
}

int64_t workflow_critical_path_ms(const struct workflow *workflow)
{
	return longest_chain(&workflow->spec, NULL);
}

int64_t workflow_remaining_ms(const struct workflow *workflow)
{
	return longest_chain(&workflow->spec,
			     workflow->occurrences[0].done_count);
}

static void mark_done(struct workflow_task *task)
{
	task->phase = TASK_DONE;
	free(task->checkpoint);
	task->checkpoint = NULL;
	free(task->location);
	task->location = NULL;
}

static void count_done_step(struct workflow *workflow, struct occurrence *state)
{
	const struct workflow_spec *spec = &workflow->spec;

	if (++state->steps_done < spec->step_count)
		return;
	workflow->done_occurrences++;
	while (workflow->first_open < spec->occurrences &&
	       workflow->occurrences[workflow->first_open].steps_done ==
		       spec->step_count)
		workflow->first_open++;
}

void workflow_set_complete(struct workflow *workflow, uint32_t occurrences)
{
	uint32_t k;

	for (k = 0; k < occurrences; k++)
		workflow->occurrences[k].steps_done =
			(uint32_t)workflow->spec.step_count;
	workflow->first_open = occurrences;
	workflow->done_occurrences = occurrences;
}

void workflow_task_done(struct workflow *workflow, uint32_t occurrence,
			uint32_t step, uint32_t index)
{
	const struct workflow_step *spec = &workflow->spec.steps[step];
	struct occurrence *state = get_occurrence(workflow, occurrence);
	uint32_t i, first = spec->gang ? 0 : index;
	uint32_t last = spec->gang ? spec->task_count - 1 : index;

	for (i = first; i <= last; i++) {
		struct workflow_task *task =
			&state->tasks[spec->first_task + i];

		if (task->phase == TASK_DONE)
			continue;
		mark_done(task);
		if (++state->done_count[step] == spec->task_count)
			count_done_step(workflow, state);
	}
	if (!workflow_is_final(workflow) &&
	    workflow->done_occurrences == workflow->spec.occurrences)
		workflow->state = WORKFLOW_COMPLETE;
}
