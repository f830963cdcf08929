#include "workflow.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "errors.h"
#include "jsontext.h"
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

/* Locations of the assigned tasks; each is written once. */
struct locations {
	const struct run_location **items;
	size_t count;
	struct jsontext rows;
};

static int location_index(struct locations *locations,
			  const struct run_location *location)
{
	struct jsontext *rows = &locations->rows;
	size_t i;

	for (i = 0; i < locations->count; i++)
		if (location_equal(locations->items[i], location))
			return (int)i;
	jsontext_raw(rows, i ? ",[" : "[");
	jsontext_string(rows, location->node);
	jsontext_raw(rows, ",");
	jsontext_string(rows, location->worker);
	jsontext_raw(rows, ",");
	jsontext_number(rows, (int64_t)location->worker_start_ms);
	jsontext_raw(rows, "]");
	locations->items[locations->count++] = location;
	return (int)i;
}

static int task_is_initial(const struct workflow_task *task)
{
	return task->phase == TASK_WAITING && !task->last_run;
}

static void put_task(struct jsontext *json, const struct workflow_task *task,
		     uint32_t k, uint32_t step, uint32_t index, int location)
{
	const int64_t columns[COLUMN_CHECKPOINT] = {
		[COLUMN_OCCURRENCE] = k,
		[COLUMN_STEP] = step,
		[COLUMN_INDEX] = index,
		[COLUMN_PHASE] = (int64_t)task->phase,
		[COLUMN_RUN] = task->last_run,
		[COLUMN_FAILURES] = task->failures,
		[COLUMN_LOCATION] = location,
	};
	size_t i;

	jsontext_raw(json, json->len ? ",[" : "[");
	for (i = 0; i < COLUMN_CHECKPOINT; i++) {
		jsontext_number(json, columns[i]);
		jsontext_raw(json, ",");
	}
	jsontext_string(json, task->checkpoint ? task->checkpoint : "");
	jsontext_raw(json, "]");
}

static void put_occurrence(struct jsontext *json, struct locations *locations,
			   const struct workflow *workflow, uint32_t k)
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
				location = location_index(locations,
							  task->location);
			put_task(json, task, k, step, index, location);
		}
	}
}

/* Written as text, because each change of a task renews the document. */
char *workflow_encode(const struct workflow *workflow)
{
	struct locations locations = { 0 };
	struct jsontext tasks = { 0 }, root = { 0 };
	uint32_t k;

	locations.items =
		xcalloc(workflow->assigned_total + 1, sizeof(*locations.items));
	for (k = 0; k < workflow->spec.occurrences; k++)
		put_occurrence(&tasks, &locations, workflow, k);
	jsontext_raw(&root, "{\"format\":");
	jsontext_number(&root, FORMAT);
	jsontext_raw(&root, ",\"state\":");
	jsontext_string(&root, workflow_state_name(workflow->state));
	jsontext_raw(&root, workflow->cancelled ? ",\"cancelled\":true"
						: ",\"cancelled\":false");
	jsontext_raw(&root, workflow->started ? ",\"started\":true"
					      : ",\"started\":false");
	jsontext_raw(&root, ",\"places\":[");
	jsontext_append(&root, locations.rows.text, locations.rows.len);
	jsontext_raw(&root, "],\"tasks\":[");
	jsontext_append(&root, tasks.text, tasks.len);
	jsontext_raw(&root, "]}");
	free(locations.items);
	free(locations.rows.text);
	free(tasks.text);
	return jsontext_end(&root);
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
	workflow_count_assigned(workflow, &id, 1);
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
