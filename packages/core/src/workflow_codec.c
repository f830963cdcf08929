#include "workflow.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "errors.h"
#include "jsontext.h"
#include "mem.h"
#include "queueconfig.h"

/*
 * Version of the document. In version 1 done tasks have rows in "tasks".
 * Version 3 has "ranges"; without any, version 2 is written.
 */
#define FORMAT 3
#define FORMAT_WITHOUT_RANGES 2
#define FORMAT_MIN 1

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

/* Columns of a row in "done": tasks of a step that follow each other. */
enum done_column {
	DONE_OCCURRENCE,
	DONE_STEP,
	DONE_FIRST,
	DONE_LAST,
	DONE_COLUMN_COUNT
};

enum detail {
	DETAIL_ALL,
	DETAIL_NO_CHECKPOINTS,
	DETAIL_STATE /* enough for a final workflow */
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

/* The parts of a document while it is written. */
struct document {
	enum detail detail;
	struct locations locations;
	struct jsontext done, tasks, ranges;
};

static void put_row(struct jsontext *json, const int64_t *columns, size_t count)
{
	size_t i;

	jsontext_raw(json, json->len ? ",[" : "[");
	for (i = 0; i < count; i++) {
		if (i)
			jsontext_raw(json, ",");
		jsontext_number(json, columns[i]);
	}
}

static void put_task(struct document *document,
		     const struct workflow_task *task, uint32_t k,
		     uint32_t step, uint32_t index)
{
	int has_checkpoint = task->checkpoint && document->detail == DETAIL_ALL;
	const int64_t columns[COLUMN_CHECKPOINT] = {
		[COLUMN_OCCURRENCE] = k,
		[COLUMN_STEP] = step,
		[COLUMN_INDEX] = index,
		[COLUMN_PHASE] = (int64_t)task->phase,
		[COLUMN_RUN] = task->last_run,
		[COLUMN_FAILURES] = task->failures,
		[COLUMN_LOCATION] =
			task->location ? location_index(&document->locations,
							task->location)
				       : -1,
	};

	put_row(&document->tasks, columns, COLUMN_CHECKPOINT);
	jsontext_raw(&document->tasks, ",");
	jsontext_string(&document->tasks,
			has_checkpoint ? task->checkpoint : "");
	jsontext_raw(&document->tasks, "]");
}

static void put_done(struct document *document, uint32_t k, uint32_t step,
		     uint32_t first, uint32_t last)
{
	const int64_t columns[DONE_COLUMN_COUNT] = {
		[DONE_OCCURRENCE] = k,
		[DONE_STEP] = step,
		[DONE_FIRST] = first,
		[DONE_LAST] = last,
	};

	put_row(&document->done, columns, DONE_COLUMN_COUNT);
	jsontext_raw(&document->done, "]");
}

/* Done tasks are written as ranges: a workflow has many of them at its end. */
static void put_step(struct document *document, const struct workflow *workflow,
		     const struct occurrence *occurrence, uint32_t step)
{
	const struct step_state *state = &occurrence->steps[step];
	uint32_t count = workflow->spec.steps[step].task_count;
	uint32_t i, first = 0; /* of the done ones before i */

	if (!state->blocks) {
		if (state->done_count)
			put_done(document, occurrence->number, step, 0,
				 count - 1);
		return;
	}
	for (i = 0; i <= count; i++) {
		const struct workflow_task *task =
			i < count ? workflow_step_task(state, i) : NULL;

		if (i < count &&
		    (task ? task->phase == TASK_DONE
			  : state->blocks[i / TASK_BLOCK_SIZE] != NULL))
			continue;
		if (first < i)
			put_done(document, occurrence->number, step, first,
				 i - 1);
		first = i + 1;
		if (task && (task->phase != TASK_WAITING || task->last_run))
			put_task(document, task, occurrence->number, step, i);
	}
}

static void put_occurrences(struct document *document,
			    const struct workflow *workflow)
{
	const struct list *pos;
	uint32_t step;
	size_t i;

	for (i = 0; i < workflow->begun_count; i++)
		for (step = 0; step < workflow->spec.step_count; step++)
			put_step(document, workflow, workflow->begun[i], step);
	list_for_each (pos, &workflow->done_ranges) {
		const struct done_range *range =
			list_entry(pos, struct done_range, node);
		const int64_t columns[] = { range->first, range->last };

		put_row(&document->ranges, columns, 2);
		jsontext_raw(&document->ranges, "]");
	}
}

/* The submitted record has the settings that the queue had then. */
static void put_queue(struct jsontext *root, const struct queue_config *queue)
{
	json_t *object = queue_config_encode(queue);
	char *text = json_dumps(object, JSON_COMPACT);

	jsontext_raw(root, ",\"queue\":");
	jsontext_raw(root, text);
	free(text);
	json_decref(object);
}

/* Written as text, because each change of a task renews the document. */
static char *encode(const struct workflow *workflow, enum detail detail)
{
	struct document document = { .detail = detail };
	struct jsontext root = { 0 };

	document.locations.items = xcalloc(workflow->assigned_total + 1,
					   sizeof(*document.locations.items));
	if (detail != DETAIL_STATE)
		put_occurrences(&document, workflow);
	jsontext_raw(&root, "{\"format\":");
	jsontext_number(&root,
			document.ranges.len ? FORMAT : FORMAT_WITHOUT_RANGES);
	jsontext_raw(&root, ",\"state\":");
	jsontext_string(&root, workflow_state_name(workflow->state));
	jsontext_raw(&root, workflow->cancelled ? ",\"cancelled\":true"
						: ",\"cancelled\":false");
	jsontext_raw(&root, workflow->started ? ",\"started\":true"
					      : ",\"started\":false");
	if (workflow->queue_changed)
		put_queue(&root, &workflow->queue);
	jsontext_raw(&root, ",\"complete\":");
	jsontext_number(&root, workflow->first_open);
	jsontext_raw(&root, ",\"done\":[");
	jsontext_append(&root, document.done.text, document.done.len);
	if (document.ranges.len) {
		jsontext_raw(&root, "],\"ranges\":[");
		jsontext_append(&root, document.ranges.text,
				document.ranges.len);
	}
	jsontext_raw(&root, "],\"places\":[");
	jsontext_append(&root, document.locations.rows.text,
			document.locations.rows.len);
	jsontext_raw(&root, "],\"tasks\":[");
	jsontext_append(&root, document.tasks.text, document.tasks.len);
	jsontext_raw(&root, "]}");
	free(document.locations.items);
	free(document.locations.rows.text);
	free(document.done.text);
	free(document.tasks.text);
	free(document.ranges.text);
	return jsontext_end(&root);
}

char *workflow_encode(const struct workflow *workflow)
{
	return encode(workflow, DETAIL_ALL);
}

char *workflow_encode_within(const struct workflow *workflow, size_t max)
{
	enum detail detail, least = workflow_is_final(workflow)
					    ? DETAIL_STATE
					    : DETAIL_NO_CHECKPOINTS;

	for (detail = DETAIL_ALL; detail <= least; detail++) {
		char *text = encode(workflow, detail);

		if (strlen(text) <= max)
			return text;
		free(text);
	}
	return NULL;
}

static int parse_state(const json_t *root, enum workflow_state *state)
{
	json_int_t format = json_integer_value(json_object_get(root, "format"));
	const char *name = json_string_value(json_object_get(root, "state"));
	int i;

	if (format < FORMAT_MIN || format > FORMAT || !name)
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

int workflow_decode_summary(const char *json, size_t len,
			    struct workflow_summary *summary)
{
	json_t *root = json_loadb(json, len, 0, NULL);
	int err = root ? parse_state(root, &summary->state) : ERR_MALFORMED;

	summary->started = json_is_true(json_object_get(root, "started"));
	summary->has_runs =
		json_array_size(json_object_get(root, "places")) > 0;
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
	if (!workflow_has_task(workflow, &id) || !checkpoint ||
	    numbers[COLUMN_PHASE] < TASK_WAITING ||
	    numbers[COLUMN_PHASE] > TASK_DONE)
		return ERR_MALFORMED;
	if (numbers[COLUMN_PHASE] == TASK_DONE) {
		workflow_task_done(workflow, id.occurrence, id.step, id.index);
		return 0;
	}
	if (workflow_task_phase(workflow, &id) == TASK_DONE)
		return ERR_MALFORMED;
	task = workflow_begin_task(workflow, &id);
	task->last_run = (uint32_t)numbers[COLUMN_RUN];
	task->failures = (uint32_t)numbers[COLUMN_FAILURES];
	task->phase = (enum task_phase)numbers[COLUMN_PHASE];
	if (*checkpoint && strlen(checkpoint) <= RUN_CHECKPOINT_MAX)
		workflow_set_checkpoint(workflow, task, checkpoint);
	if (task->phase != TASK_ASSIGNED)
		return 0;
	workflow_count_assigned(workflow, &id, 1);
	return decode_location(locations, numbers[COLUMN_LOCATION],
			       &task->location);
}

static int decode_done(struct workflow *workflow, const json_t *row)
{
	json_int_t numbers[DONE_COLUMN_COUNT];
	const struct workflow_spec *spec = &workflow->spec;
	json_int_t index;
	size_t i;

	if (json_array_size(row) != DONE_COLUMN_COUNT)
		return ERR_MALFORMED;
	for (i = 0; i < DONE_COLUMN_COUNT; i++) {
		numbers[i] = json_integer_value(json_array_get(row, i));
		if (!json_is_integer(json_array_get(row, i)) || numbers[i] < 0)
			return ERR_MALFORMED;
	}
	if (numbers[DONE_OCCURRENCE] >= spec->occurrences ||
	    numbers[DONE_STEP] >= (json_int_t)spec->step_count ||
	    numbers[DONE_LAST] >= spec->steps[numbers[DONE_STEP]].task_count)
		return ERR_MALFORMED;
	for (index = numbers[DONE_FIRST]; index <= numbers[DONE_LAST]; index++)
		workflow_task_done(workflow, (uint32_t)numbers[DONE_OCCURRENCE],
				   (uint32_t)numbers[DONE_STEP],
				   (uint32_t)index);
	return 0;
}

static int decode_range(struct workflow *workflow, const json_t *row)
{
	json_int_t first = json_integer_value(json_array_get(row, 0));
	json_int_t last = json_integer_value(json_array_get(row, 1));

	if (!json_is_integer(json_array_get(row, 0)) ||
	    !json_is_integer(json_array_get(row, 1)) || first < 0 ||
	    last < first || last >= workflow->spec.occurrences ||
	    workflow_next_fresh(workflow, (uint32_t)first) != first)
		return ERR_MALFORMED;
	workflow_add_done(workflow, (uint32_t)first, (uint32_t)last);
	workflow->done_occurrences += (uint32_t)(last - first + 1);
	return 0;
}

static int decode_complete(struct workflow *workflow, const json_t *complete)
{
	json_int_t count = json_integer_value(complete);

	if (complete && (!json_is_integer(complete) || count < 0 ||
			 count > workflow->spec.occurrences))
		return ERR_MALFORMED;
	workflow_set_complete(workflow, (uint32_t)count);
	return 0;
}

/* The record may be newer than the state. */
static int decode_queue(struct workflow *workflow, const json_t *object)
{
	struct queue_config queue;

	if (!object)
		return 0;
	if (queue_config_decode(object, &queue) ||
	    strcmp(queue.name, workflow->queue.name) != 0)
		return ERR_MALFORMED;
	if (queue.version >= workflow->queue.version) {
		workflow->queue = queue;
		workflow->queue_changed = 1;
	}
	return 0;
}

static int decode_root(struct workflow *workflow, const json_t *root)
{
	const json_t *locations = json_object_get(root, "places");
	const json_t *tasks = json_object_get(root, "tasks");
	const json_t *done = json_object_get(root, "done");
	const json_t *ranges = json_object_get(root, "ranges");
	enum workflow_state state;
	size_t i;
	int err = parse_state(root, &state);

	if (!err)
		err = decode_complete(workflow,
				      json_object_get(root, "complete"));
	if (!err)
		err = decode_queue(workflow, json_object_get(root, "queue"));
	for (i = 0; !err && i < json_array_size(ranges); i++)
		err = decode_range(workflow, json_array_get(ranges, i));
	for (i = 0; !err && i < json_array_size(done); i++)
		err = decode_done(workflow, json_array_get(done, i));
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
