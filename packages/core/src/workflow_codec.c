#include "workflow.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "errors.h"
#include "mem.h"

#define FORMAT 1 /* version of the document */

/* Columns of a row in "tasks". */
enum column {
	COLUMN_OCCURRENCE,
	COLUMN_STEP,
	COLUMN_INDEX,
	COLUMN_PHASE,
	COLUMN_RUN,
	COLUMN_FAILURES,
	COLUMN_LOCATION, /* index in "places", or -1 */
	COLUMN_CHECKPOINT,
	COLUMN_COUNT
};

static int location_equal(const struct run_location *a,
			  const struct run_location *b)
{
	return a->worker_start_ms == b->worker_start_ms &&
	       !strcmp(a->node, b->node) && !strcmp(a->worker, b->worker);
}

/* RETURN VALUE: index of the location in the list; a new one is added. */
static int location_index(json_t *rows, const struct run_location **known,
			  size_t *count, const struct run_location *location)
{
	size_t i;

	for (i = 0; i < *count; i++)
		if (location_equal(known[i], location))
			return (int)i;
	known[*count] = location;
	json_array_append_new(
		rows, json_pack("[s,s,I]", location->node, location->worker,
				(json_int_t)location->worker_start_ms));
	return (int)(*count)++;
}

static int task_is_initial(const struct workflow_task *task)
{
	return task->phase == TASK_WAITING && !task->last_run;
}

static json_t *encode_task(const struct workflow_task *task, uint32_t k,
			   uint32_t step, uint32_t index, int location)
{
	return json_pack("[i,i,i,i,i,i,i,s]", (int)k, (int)step, (int)index,
			 (int)task->phase, (int)task->last_run,
			 (int)task->failures, location,
			 task->checkpoint ? task->checkpoint : "");
}

static void encode_occurrence(const struct workflow *workflow, uint32_t k,
			      json_t *locations, json_t *tasks,
			      const struct run_location **known,
			      size_t *known_count)
{
	const struct occurrence *state = &workflow->occurrences[k];
	uint32_t step, index;

	if (!state->tasks)
		return;
	for (step = 0; step < workflow->spec.step_count; step++) {
		const struct workflow_step *spec = &workflow->spec.steps[step];

		for (index = 0; index < spec->task_count; index++) {
			const struct workflow_task *task =
				&state->tasks[spec->first_task + index];
			int location = -1;

			if (task_is_initial(task))
				continue;
			if (task->location)
				location = location_index(locations, known,
							  known_count,
							  task->location);
			json_array_append_new(
				tasks,
				encode_task(task, k, step, index, location));
		}
	}
}

static size_t assigned_count(const struct workflow *workflow)
{
	size_t count = 0;
	uint32_t k, step;

	for (k = 0; k < workflow->spec.occurrences; k++)
		for (step = 0; workflow->occurrences[k].tasks &&
			       step < workflow->spec.step_count;
		     step++)
			count += workflow->occurrences[k].assigned_count[step];
	return count;
}

char *workflow_encode(const struct workflow *workflow)
{
	const struct run_location **known =
		xcalloc(assigned_count(workflow) + 1, sizeof(*known));
	json_t *locations = json_array(), *tasks = json_array(), *root;
	size_t known_count = 0;
	char *text;
	uint32_t k;

	for (k = 0; k < workflow->spec.occurrences; k++)
		encode_occurrence(workflow, k, locations, tasks, known,
				  &known_count);
	root = json_pack("{s:i, s:s, s:b, s:b, s:o, s:o}", "format", FORMAT,
			 "state", workflow_state_name(workflow->state),
			 "cancelled", (int)workflow->cancelled, "started",
			 (int)workflow->started, "places", locations, "tasks",
			 tasks);
	free(known);
	if (!root)
		abort();
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	if (!text)
		abort();
	return text;
}

static int parse_state(const json_t *root, enum workflow_state *state)
{
	const char *name = json_string_value(json_object_get(root, "state"));
	int i;

	if (json_integer_value(json_object_get(root, "format")) != FORMAT ||
	    !name)
		return ERR_MALFORMED;
	for (i = 0; i < WORKFLOW_STATE_COUNT; i++) {
		if (strcmp(name, workflow_state_name((enum workflow_state)i)))
			continue;
		*state = (enum workflow_state)i;
		return 0;
	}
	return ERR_MALFORMED;
}

int workflow_decode_state(const char *json, size_t len,
			  enum workflow_state *state)
{
	json_t *root = json_loadb(json, len, 0, NULL);
	int err = root ? parse_state(root, state) : ERR_MALFORMED;

	json_decref(root);
	return err;
}

static int decode_location(const json_t *locations, json_int_t index,
			   struct run_location **location)
{
	const json_t *row = json_array_get(locations, (size_t)index);
	const char *node = json_string_value(json_array_get(row, 0));
	const char *worker = json_string_value(json_array_get(row, 1));
	struct run_location *copy;

	if (!node || !worker)
		return ERR_MALFORMED;
	copy = xcalloc(1, sizeof(*copy));
	copy->worker_start_ms =
		(uint64_t)json_integer_value(json_array_get(row, 2));
	if (str_copy(copy->node, node, sizeof(copy->node)) ||
	    str_copy(copy->worker, worker, sizeof(copy->worker))) {
		free(copy);
		return ERR_MALFORMED;
	}
	*location = copy;
	return 0;
}

static int decode_task(struct workflow *workflow, const json_t *locations,
		       const json_t *row)
{
	json_int_t numbers[COLUMN_CHECKPOINT];
	struct task_id id = { "" };
	struct workflow_task *task;
	const char *checkpoint;
	size_t i;

	if (json_array_size(row) != COLUMN_COUNT)
		return ERR_MALFORMED;
	for (i = 0; i < COLUMN_CHECKPOINT; i++) {
		if (!json_is_integer(json_array_get(row, i)))
			return ERR_MALFORMED;
		numbers[i] = json_integer_value(json_array_get(row, i));
	}
	checkpoint = json_string_value(json_array_get(row, COLUMN_CHECKPOINT));
	id.occurrence = (uint32_t)numbers[COLUMN_OCCURRENCE];
	id.step = (uint32_t)numbers[COLUMN_STEP];
	id.index = (uint32_t)numbers[COLUMN_INDEX];
	task = workflow_find_task(workflow, &id);
	if (!task || !checkpoint || numbers[COLUMN_PHASE] < TASK_WAITING ||
	    numbers[COLUMN_PHASE] > TASK_DONE)
		return ERR_MALFORMED;
	task->last_run = (uint32_t)numbers[COLUMN_RUN];
	task->failures = (uint32_t)numbers[COLUMN_FAILURES];
	if (numbers[COLUMN_PHASE] == TASK_DONE) {
		workflow_task_done(workflow, id.occurrence, id.step, id.index);
		return 0;
	}
	task->phase = (enum task_phase)numbers[COLUMN_PHASE];
	if (*checkpoint)
		task->checkpoint = xstrdup(checkpoint);
	if (task->phase != TASK_ASSIGNED)
		return 0;
	workflow->occurrences[id.occurrence].assigned_count[id.step]++;
	return decode_location(locations, numbers[COLUMN_LOCATION],
			       &task->location);
}

static int decode_root(struct workflow *workflow, const json_t *root)
{
	const json_t *locations = json_object_get(root, "places");
	const json_t *tasks = json_object_get(root, "tasks");
	enum workflow_state state;
	size_t i;
	int err = parse_state(root, &state);

	for (i = 0; !err && i < json_array_size(tasks); i++)
		err = decode_task(workflow, locations,
				  json_array_get(tasks, i));
	if (err)
		return err;
	workflow->state = state;
	workflow->cancelled = json_is_true(json_object_get(root, "cancelled"));
	workflow->started = json_is_true(json_object_get(root, "started"));
	return 0;
}

int workflow_decode(struct workflow *workflow, const char *json, size_t len)
{
	json_t *root = json_loadb(json, len, 0, NULL);
	int err = root ? decode_root(workflow, root) : ERR_MALFORMED;

	json_decref(root);
	return err;
}
