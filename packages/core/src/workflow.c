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

/* Bytes of a specification besides that of the workflow. */
static size_t spec_memory(const struct workflow_spec *spec)
{
	size_t i, bytes = spec->step_count * sizeof(*spec->steps);

	bytes += spec->payload ? strlen(spec->payload) + 1 : 0;
	for (i = 0; i < spec->step_count; i++) {
		const struct workflow_step *step = &spec->steps[i];
		const char *const texts[] = { step->required_label,
					      step->data_rack, step->image };
		size_t k;

		bytes += step->dependency_count * sizeof(*step->depends_on);
		for (k = 0; k < sizeof(texts) / sizeof(texts[0]); k++)
			bytes += texts[k] ? strlen(texts[k]) + 1 : 0;
	}
	return bytes;
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
	list_init(&workflow->done_ranges);
	workflow->spec = *spec;
	workflow->queue = *queue;
	workflow->submitted_ms = submitted_ms;
	workflow->memory = sizeof(*workflow) + spec_memory(spec);
	memset(spec, 0, sizeof(*spec));
	return workflow;
}

static void change_memory(struct workflow *workflow, size_t added,
			  size_t removed)
{
	workflow->memory += added - removed;
	if (workflow->memory_sum)
		*workflow->memory_sum += added - removed;
}

size_t workflow_memory(const struct workflow *workflow)
{
	return workflow->memory;
}

void workflow_set_checkpoint(struct workflow *workflow,
			     struct workflow_task *task, const char *checkpoint)
{
	change_memory(workflow, checkpoint ? strlen(checkpoint) + 1 : 0,
		      task->checkpoint ? strlen(task->checkpoint) + 1 : 0);
	free(task->checkpoint);
	task->checkpoint = checkpoint ? xstrdup(checkpoint) : NULL;
}

struct task_block task_block_done;

static uint32_t block_count(uint32_t tasks)
{
	return (tasks + TASK_BLOCK_SIZE - 1) / TASK_BLOCK_SIZE;
}

static uint32_t block_size(uint32_t tasks, uint32_t block)
{
	uint32_t left = tasks - block * TASK_BLOCK_SIZE;

	return left < TASK_BLOCK_SIZE ? left : TASK_BLOCK_SIZE;
}

static size_t block_memory(uint32_t size)
{
	return sizeof(struct task_block) + size * sizeof(struct workflow_task);
}

static void end_block(struct workflow *workflow, struct step_state *state,
		      uint32_t tasks, uint32_t index)
{
	struct task_block *block = state->blocks[index];
	uint32_t i, size = block_size(tasks, index);

	if (!block || block == &task_block_done)
		return;
	for (i = 0; i < size; i++) {
		workflow_set_checkpoint(workflow, &block->tasks[i], NULL);
		free(block->tasks[i].location);
	}
	free(block);
	state->blocks[index] = &task_block_done;
	workflow->state_count -= size;
	change_memory(workflow, 0, block_memory(size));
}

static void end_step(struct workflow *workflow, struct step_state *state,
		     uint32_t tasks)
{
	uint32_t i;

	if (!state->blocks)
		return;
	for (i = 0; i < block_count(tasks); i++)
		end_block(workflow, state, tasks, i);
	free(state->blocks);
	state->blocks = NULL;
	change_memory(workflow, 0, block_count(tasks) * sizeof(*state->blocks));
}

static size_t occurrence_memory(const struct workflow *workflow)
{
	return sizeof(struct occurrence) +
	       workflow->spec.step_count * sizeof(struct step_state) +
	       sizeof(struct occurrence *);
}

size_t workflow_begun_from(const struct workflow *workflow, uint32_t number)
{
	size_t low = 0, high = workflow->begun_count;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (workflow->begun[middle]->number < number)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

struct occurrence *workflow_occurrence(const struct workflow *workflow,
				       uint32_t number)
{
	size_t i = workflow_begun_from(workflow, number);

	return i < workflow->begun_count && workflow->begun[i]->number == number
		       ? workflow->begun[i]
		       : NULL;
}

static struct occurrence *begin_occurrence(struct workflow *workflow,
					   uint32_t number)
{
	size_t i = workflow_begun_from(workflow, number);
	struct occurrence *occurrence;

	if (i < workflow->begun_count && workflow->begun[i]->number == number)
		return workflow->begun[i];
	if (workflow->begun_count == workflow->begun_size) {
		workflow->begun_size = 2 * workflow->begun_size + 1;
		workflow->begun = xrealloc(workflow->begun,
					   workflow->begun_size *
						   sizeof(*workflow->begun));
	}
	occurrence = xcalloc(1, sizeof(*occurrence) +
					workflow->spec.step_count *
						sizeof(struct step_state));
	occurrence->number = number;
	memmove(workflow->begun + i + 1, workflow->begun + i,
		(workflow->begun_count - i) * sizeof(*workflow->begun));
	workflow->begun[i] = occurrence;
	workflow->begun_count++;
	change_memory(workflow, occurrence_memory(workflow), 0);
	return occurrence;
}

static void end_occurrence(struct workflow *workflow,
			   struct occurrence *occurrence)
{
	size_t i = workflow_begun_from(workflow, occurrence->number);
	size_t step;

	for (step = 0; step < workflow->spec.step_count; step++)
		end_step(workflow, &occurrence->steps[step],
			 workflow->spec.steps[step].task_count);
	workflow->begun_count--;
	memmove(workflow->begun + i, workflow->begun + i + 1,
		(workflow->begun_count - i) * sizeof(*workflow->begun));
	change_memory(workflow, 0, occurrence_memory(workflow));
	free(occurrence);
}

static void remove_range(struct workflow *workflow, struct done_range *range)
{
	list_del(&range->node);
	free(range);
	change_memory(workflow, 0, sizeof(*range));
}

void workflow_delete(struct workflow *workflow)
{
	if (!workflow)
		return;
	while (workflow->begun_count)
		end_occurrence(workflow,
			       workflow->begun[workflow->begun_count - 1]);
	free(workflow->begun);
	while (!list_empty(&workflow->done_ranges))
		remove_range(workflow, list_entry(workflow->done_ranges.next,
						  struct done_range, node));
	if (workflow->memory_sum)
		*workflow->memory_sum -= workflow->memory;
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

/* The range with the number or, else, the first one after it. */
static struct list *range_from(const struct workflow *workflow, uint32_t number)
{
	struct list *pos;

	list_for_each (pos, &workflow->done_ranges)
		if (list_entry(pos, struct done_range, node)->last >= number)
			break;
	return pos;
}

static int occurrence_is_done(const struct workflow *workflow, uint32_t number)
{
	struct list *pos = range_from(workflow, number);

	return number < workflow->first_open ||
	       (pos != &workflow->done_ranges &&
		list_entry(pos, struct done_range, node)->first <= number);
}

/* The ranges before first_open belong to what is done before it. */
static void advance_first_open(struct workflow *workflow)
{
	while (!list_empty(&workflow->done_ranges)) {
		struct done_range *range = list_entry(
			workflow->done_ranges.next, struct done_range, node);

		if (range->first > workflow->first_open)
			return;
		workflow->first_open = range->last + 1;
		remove_range(workflow, range);
	}
}

void workflow_add_done(struct workflow *workflow, uint32_t first, uint32_t last)
{
	struct list *next = range_from(workflow, first);
	struct done_range *before, *after, *range;

	before = next->prev == &workflow->done_ranges
			 ? NULL
			 : list_entry(next->prev, struct done_range, node);
	after = next == &workflow->done_ranges
			? NULL
			: list_entry(next, struct done_range, node);
	if (before && before->last + 1 == first) {
		before->last = last;
		range = before;
	} else {
		range = xcalloc(1, sizeof(*range));
		range->first = first;
		range->last = last;
		list_add_tail(next, &range->node);
		change_memory(workflow, sizeof(*range), 0);
	}
	if (after && after->first == last + 1) {
		range->last = after->last;
		remove_range(workflow, after);
	}
	advance_first_open(workflow);
}

uint32_t workflow_next_fresh(const struct workflow *workflow, uint32_t number)
{
	size_t i;
	struct list *pos;

	if (number < workflow->first_open)
		number = workflow->first_open;
	i = workflow_begun_from(workflow, number);
	pos = range_from(workflow, number);
	while (number < workflow->spec.occurrences) {
		struct done_range *range =
			pos == &workflow->done_ranges
				? NULL
				: list_entry(pos, struct done_range, node);

		if (range && range->first <= number) {
			number = range->last + 1;
			pos = pos->next;
		} else if (i < workflow->begun_count &&
			   workflow->begun[i]->number <= number) {
			number = workflow->begun[i++]->number + 1;
		} else {
			break;
		}
	}
	return number;
}

int workflow_may_begin(const struct workflow *workflow, uint32_t occurrence)
{
	return !workflow->begun_count ||
	       workflow_occurrence(workflow, occurrence) ||
	       workflow->begun_count * (uint64_t)workflow->spec.task_count <=
		       TASKS_PER_WORKFLOW_MAX - workflow->spec.task_count;
}

int workflow_has_task(const struct workflow *workflow, const struct task_id *id)
{
	return id->occurrence < workflow->spec.occurrences &&
	       id->step < workflow->spec.step_count &&
	       id->index < workflow->spec.steps[id->step].task_count;
}

struct workflow_task *workflow_step_task(const struct step_state *state,
					 uint32_t index)
{
	struct task_block *block =
		state->blocks ? state->blocks[index / TASK_BLOCK_SIZE] : NULL;

	return block && block != &task_block_done
		       ? &block->tasks[index % TASK_BLOCK_SIZE]
		       : NULL;
}

struct workflow_task *workflow_find_task(const struct workflow *workflow,
					 const struct task_id *id)
{
	struct occurrence *occurrence;

	if (!workflow_has_task(workflow, id))
		return NULL;
	occurrence = workflow_occurrence(workflow, id->occurrence);
	return occurrence ? workflow_step_task(&occurrence->steps[id->step],
					       id->index)
			  : NULL;
}

static struct step_state *begin_step(struct workflow *workflow,
				     const struct task_id *id)
{
	uint32_t blocks =
		block_count(workflow->spec.steps[id->step].task_count);
	struct occurrence *occurrence =
		begin_occurrence(workflow, id->occurrence);
	struct step_state *state = &occurrence->steps[id->step];

	if (state->blocks)
		return state;
	state->blocks = xcalloc(blocks, sizeof(*state->blocks));
	change_memory(workflow, blocks * sizeof(*state->blocks), 0);
	return state;
}

struct workflow_task *workflow_begin_task(struct workflow *workflow,
					  const struct task_id *id)
{
	struct step_state *state = begin_step(workflow, id);
	uint32_t index = id->index / TASK_BLOCK_SIZE;
	struct task_block *block = state->blocks[index];

	if (!block) {
		uint32_t size = block_size(
			workflow->spec.steps[id->step].task_count, index);

		block = xcalloc(1, block_memory(size));
		state->blocks[index] = block;
		workflow->state_count += size;
		change_memory(workflow, block_memory(size), 0);
	}
	return &block->tasks[id->index % TASK_BLOCK_SIZE];
}

enum task_phase workflow_task_phase(const struct workflow *workflow,
				    const struct task_id *id)
{
	const struct occurrence *occurrence;
	const struct workflow_task *task;
	const struct step_state *state;

	if (occurrence_is_done(workflow, id->occurrence))
		return TASK_DONE;
	occurrence = workflow_occurrence(workflow, id->occurrence);
	if (!occurrence)
		return TASK_WAITING;
	state = &occurrence->steps[id->step];
	task = workflow_step_task(state, id->index);
	if (task)
		return task->phase;
	if (state->blocks)
		return state->blocks[id->index / TASK_BLOCK_SIZE]
			       ? TASK_DONE
			       : TASK_WAITING;
	return state->done_count ? TASK_DONE : TASK_WAITING;
}

/* Frees what is no longer at work. */
static void release_done(struct workflow *workflow,
			 struct occurrence *occurrence,
			 const struct task_id *id)
{
	struct step_state *state = &occurrence->steps[id->step];
	uint32_t tasks = workflow->spec.steps[id->step].task_count;
	uint32_t index = id->index / TASK_BLOCK_SIZE;
	uint32_t number = occurrence->number;
	const struct task_block *block = state->blocks[index];

	if (!block->assigned_count &&
	    block->done_count == block_size(tasks, index))
		end_block(workflow, state, tasks, index);
	if (state->done_count == tasks && !state->assigned_count)
		end_step(workflow, state, tasks);
	if (occurrence->steps_done < workflow->spec.step_count ||
	    occurrence->assigned_count)
		return;
	end_occurrence(workflow, occurrence);
	workflow_add_done(workflow, number, number);
}

void workflow_count_assigned(struct workflow *workflow,
			     const struct task_id *id, int change)
{
	struct occurrence *occurrence =
		workflow_occurrence(workflow, id->occurrence);

	occurrence->steps[id->step].assigned_count += (uint32_t)change;
	occurrence->steps[id->step]
		.blocks[id->index / TASK_BLOCK_SIZE]
		->assigned_count += (uint32_t)change;
	occurrence->assigned_count += (uint32_t)change;
	workflow->assigned_total += (uint32_t)change;
	release_done(workflow, occurrence, id);
}

int workflow_step_ready(const struct workflow *workflow, uint32_t number,
			uint32_t step)
{
	const struct occurrence *occurrence =
		workflow_occurrence(workflow, number);
	const struct workflow_step *spec = &workflow->spec.steps[step];
	size_t i;

	for (i = 0; i < spec->dependency_count; i++) {
		uint32_t before = spec->depends_on[i];

		if (!occurrence ||
		    occurrence->steps[before].done_count <
			    workflow->spec.steps[before].task_count)
			return 0;
	}
	return 1;
}

/* occurrence: its done steps do not count; NULL: all count. */
static int64_t longest_chain(const struct workflow_spec *spec,
			     const struct occurrence *occurrence)
{
	int64_t ends[STEPS_MAX], longest = 0;
	size_t i, k;

	for (i = 0; i < spec->step_count; i++) {
		const struct workflow_step *step = &spec->steps[i];

		ends[i] = 0;
		for (k = 0; k < step->dependency_count; k++)
			if (ends[step->depends_on[k]] > ends[i])
				ends[i] = ends[step->depends_on[k]];
		if (!occurrence ||
		    occurrence->steps[i].done_count < step->task_count)
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
	if (occurrence_is_done(workflow, 0))
		return 0;
	return longest_chain(&workflow->spec, workflow_occurrence(workflow, 0));
}

static void mark_done(struct workflow *workflow, struct workflow_task *task)
{
	task->phase = TASK_DONE;
	workflow_set_checkpoint(workflow, task, NULL);
	free(task->location);
	task->location = NULL;
}

void workflow_set_complete(struct workflow *workflow, uint32_t occurrences)
{
	workflow->first_open = occurrences;
	workflow->done_occurrences = occurrences;
}

static void count_done(struct workflow *workflow, struct occurrence *occurrence,
		       const struct task_id *id)
{
	struct step_state *state = &occurrence->steps[id->step];

	state->blocks[id->index / TASK_BLOCK_SIZE]->done_count++;
	if (++state->done_count < workflow->spec.steps[id->step].task_count)
		return;
	if (++occurrence->steps_done == workflow->spec.step_count)
		workflow->done_occurrences++;
}

/* The end of the last task ends the occurrence. */
static void set_done(struct workflow *workflow, const struct task_id *id)
{
	struct workflow_task *task;
	struct occurrence *occurrence;

	if (workflow_task_phase(workflow, id) == TASK_DONE)
		return;
	task = workflow_begin_task(workflow, id);
	occurrence = workflow_occurrence(workflow, id->occurrence);
	mark_done(workflow, task);
	count_done(workflow, occurrence, id);
	release_done(workflow, occurrence, id);
}

void workflow_task_done(struct workflow *workflow, uint32_t number,
			uint32_t step, uint32_t index)
{
	const struct workflow_step *spec = &workflow->spec.steps[step];
	struct task_id id = { "", number, step, index };

	if (!spec->gang)
		set_done(workflow, &id);
	for (id.index = 0; spec->gang && id.index < spec->task_count;
	     id.index++)
		set_done(workflow, &id);
	if (!workflow_is_final(workflow) &&
	    workflow->done_occurrences == workflow->spec.occurrences)
		workflow->state = WORKFLOW_COMPLETE;
}
