#include "platformjson.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "configtree.h"
#include "errors.h"
#include "jsoncost.h"
#include "mem.h"
#include "tasknames.h"

#define CALL_PREFIX "/catkinhill/instances/"
#define RESOURCE_MAX 100000000

/* NULL for what is no JSON text, or would take too much memory. */
static json_t *load_client_text(const char *json, size_t len)
{
	if (jsoncost(json, len) > JSONCOST_CLIENT_MAX)
		return NULL;
	return json_loadb(json, len, 0, NULL);
}

/* Reads typed fields and keeps the first error. */
struct reader {
	int err;
	const char *reason;
};

static void reject(struct reader *reader, const char *reason)
{
	if (reader->err)
		return;
	reader->err = ERR_MALFORMED;
	reader->reason = reason;
}

static int64_t read_number(struct reader *reader, const json_t *object,
			   const char *key, int64_t max)
{
	const json_t *value = json_object_get(object, key);
	double number;

	if (!value || json_is_null(value))
		return 0;
	number = json_number_value(value);
	if (!json_is_number(value) || number < 0 || number > (double)max) {
		reject(reader, key);
		return 0;
	}
	return (int64_t)number;
}

static unsigned read_flag(struct reader *reader, const json_t *object,
			  const char *key)
{
	const json_t *value = json_object_get(object, key);

	if (value && !json_is_boolean(value))
		reject(reader, key);
	return json_is_true(value);
}

/* NULL for a missing or empty text. */
static char *read_text(struct reader *reader, const json_t *object,
		       const char *key)
{
	const json_t *value = json_object_get(object, key);

	if (value && !json_is_string(value))
		reject(reader, key);
	if (!json_string_length(value))
		return NULL;
	return xstrdup(json_string_value(value));
}

static void read_fixed(struct reader *reader, const json_t *object,
		       const char *key, char *dst, size_t size)
{
	const char *value = json_string_value(json_object_get(object, key));

	if (!value || str_copy(dst, value, size))
		reject(reader, key);
}

static void read_resources(struct reader *reader, const json_t *object,
			   struct resources *dst)
{
	dst->cpu_milli =
		(uint32_t)read_number(reader, object, "cpu", RESOURCE_MAX);
	dst->mem_mb =
		(uint32_t)read_number(reader, object, "memMb", RESOURCE_MAX);
	dst->accel = (uint32_t)read_number(reader, object, "gpu", RESOURCE_MAX);
}

static void read_dependencies(struct reader *reader, const json_t *object,
			      struct workflow_step *step)
{
	const json_t *list = json_object_get(object, "after");
	size_t i, count = json_array_size(list);

	if (list && !json_is_array(list))
		reject(reader, "after");
	if (count > STEPS_MAX)
		reject(reader, "after");
	if (reader->err || !count)
		return;
	step->depends_on = xcalloc(count, sizeof(*step->depends_on));
	for (i = 0; i < count; i++) {
		const json_t *item = json_array_get(list, i);

		if (!json_is_integer(item) || json_integer_value(item) < 0 ||
		    json_integer_value(item) >= STEPS_MAX)
			reject(reader, "after");
		step->depends_on[step->dependency_count++] =
			(uint32_t)json_integer_value(item);
	}
}

static void read_step(struct reader *reader, const json_t *object,
		      struct workflow_step *step)
{
	if (!json_is_object(object)) {
		reject(reader, "steps");
		return;
	}
	step->task_count = (uint32_t)read_number(reader, object, "count",
						 TASKS_PER_WORKFLOW_MAX);
	read_resources(reader, object, &step->need);
	step->estimate_ms =
		read_number(reader, object, "estimateMs", INT32_MAX);
	step->max_per_worker = (uint32_t)read_number(
		reader, object, "maxPerServer", TASKS_PER_WORKFLOW_MAX);
	step->max_unavailable = (uint32_t)read_number(reader, object, "mayMiss",
						      TASKS_PER_WORKFLOW_MAX);
	step->latency_target_ms =
		read_number(reader, object, "latencyTargetMs", INT32_MAX);
	step->gang = read_flag(reader, object, "gang");
	step->same_rack = read_flag(reader, object, "sameRack");
	step->checkpointing = read_flag(reader, object, "checkpointing");
	step->concurrent = read_flag(reader, object, "concurrent");
	step->long_running = read_flag(reader, object, "longRunning");
	step->best_effort = read_flag(reader, object, "fills");
	step->required_label = read_text(reader, object, "requiredLabel");
	step->data_rack = read_text(reader, object, "dataRack");
	step->image = read_text(reader, object, "image");
	read_dependencies(reader, object, step);
}

static void read_spec(struct reader *reader, const json_t *root,
		      struct workflow_spec *spec)
{
	const json_t *steps = json_object_get(root, "steps");
	size_t i, count = json_array_size(steps);

	if (!json_is_array(steps) || !count || count > STEPS_MAX) {
		reject(reader, "steps");
		return;
	}
	spec->payload = read_text(reader, root, "spec");
	if (!spec->payload)
		spec->payload = xstrdup("");
	spec->occurrences = (uint32_t)read_number(reader, root, "repeatCount",
						  OCCURRENCES_MAX);
	spec->first_due_ms =
		read_number(reader, root, "firstMs", INT64_MAX / 4);
	spec->interval_ms =
		read_number(reader, root, "intervalMs", INT64_MAX / 4);
	spec->steps = xcalloc(count, sizeof(*spec->steps));
	spec->step_count = count;
	for (i = 0; i < count; i++)
		read_step(reader, json_array_get(steps, i), &spec->steps[i]);
}

int platform_decode_workflow(const char *json, size_t len, const char *id,
			     struct workflow_spec *spec, const char **reason)
{
	json_t *root = load_client_text(json, len);
	struct reader reader = { 0, "" };

	memset(spec, 0, sizeof(*spec));
	if (!job_id_valid(id))
		reject(&reader, "identifier");
	else if (!json_is_object(root))
		reject(&reader, "not a JSON object");
	else
		read_spec(&reader, root, spec);
	json_decref(root);
	if (!reader.err) {
		str_copy(spec->id, id, sizeof(spec->id));
		reader.err = workflow_spec_check(spec, &reader.reason);
	}
	*reason = reader.reason;
	if (reader.err)
		workflow_spec_clear(spec);
	return reader.err;
}

static enum worker_state read_state(struct reader *reader, const json_t *root)
{
	const char *state = json_string_value(json_object_get(root, "state"));

	if (state && !strcmp(state, "ready"))
		return WORKER_READY;
	if (state && !strcmp(state, "draining"))
		return WORKER_LEAVING;
	reject(reader, "state");
	return WORKER_ABSENT;
}

/* Fields that each worker gives, of which some are not read. */
static void check_announcement(struct reader *reader, const json_t *root)
{
	static const char *const texts[] = { "service", "address", "zone",
					     "version", "state" };
	static const char *const numbers[] = { "slots", "coldLeftMs", "clockMs",
					       "sequence", "born" };
	static const char *const resources[] = { "cpu", "memMb", "gpu" };
	const json_t *capacity = json_object_get(root, "capacity");
	size_t i;

	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		if (!json_is_string(json_object_get(root, texts[i])))
			reject(reader, texts[i]);
	for (i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++)
		if (!json_is_number(json_object_get(root, numbers[i])))
			reject(reader, numbers[i]);
	for (i = 0; i < sizeof(resources) / sizeof(resources[0]); i++)
		if (!json_is_number(json_object_get(capacity, resources[i])))
			reject(reader, "capacity");
	if (!json_is_integer(json_object_get(root, "born")))
		reject(reader, "born");
	/* Only a worker that leaves knows how long it stays. */
	if (read_state(reader, root) == WORKER_LEAVING &&
	    !json_is_number(json_object_get(root, "remainingMs")))
		reject(reader, "remainingMs");
}

static void read_labels(struct reader *reader, const json_t *root,
			struct announcement *announcement)
{
	const json_t *list = json_object_get(root, "labels");
	size_t i;

	if (!json_is_array(list))
		reject(reader, "labels");
	for (i = 0; i < json_array_size(list) &&
		    announcement->label_count < LABELS_MAX;
	     i++) {
		const char *label = json_string_value(json_array_get(list, i));

		if (!label)
			reject(reader, "labels");
		if (label &&
		    !str_copy(announcement->labels[announcement->label_count],
			      label, NAME_SIZE))
			announcement->label_count++;
	}
}

int platform_decode_announcement(const char *json, size_t len,
				 struct announcement *announcement)
{
	json_t *root = load_client_text(json, len);
	struct reader reader = { 0, "" };

	memset(announcement, 0, sizeof(*announcement));
	if (!json_is_object(root))
		reject(&reader, "not a JSON object");
	check_announcement(&reader, root);
	read_fixed(&reader, root, "service", announcement->service,
		   sizeof(announcement->service));
	announcement->state = read_state(&reader, root);
	announcement->remaining_ms =
		read_number(&reader, root, "remainingMs", INT32_MAX);
	read_resources(&reader, json_object_get(root, "capacity"),
		       &announcement->capacity);
	read_labels(&reader, root, announcement);
	announcement->worker_start_ms =
		(uint64_t)read_number(&reader, root, "born", INT64_MAX / 4);
	announcement->sequence =
		(uint64_t)read_number(&reader, root, "sequence", INT64_MAX / 4);
	announcement->clock_ms =
		read_number(&reader, root, "clockMs", INT64_MAX / 4);
	json_decref(root);
	if (!announcement->worker_start_ms)
		reject(&reader, "born");
	return reader.err;
}

uint64_t platform_decode_deregistration(const char *json, size_t len)
{
	json_t *root = load_client_text(json, len);
	struct reader reader = { 0, "" };
	int64_t start_ms = read_number(&reader, root, "born", INT64_MAX / 4);

	json_decref(root);
	return (uint64_t)start_ms;
}

static void read_queue(struct reader *reader, const json_t *route,
		       int64_t version, struct platform_queue *queue)
{
	queue->queue.version = version;
	queue->host = read_text(reader, route, "host");
	queue->prefix = read_text(reader, route, "prefix");
	if (!queue->host)
		reject(reader, "host");
	if (!queue->prefix)
		reject(reader, "prefix");
	read_fixed(reader, route, "name", queue->queue.name,
		   sizeof(queue->queue.name));
	read_fixed(reader, route, "service", queue->queue.service,
		   sizeof(queue->queue.service));
	queue->queue.priority =
		(uint32_t)read_number(reader, route, "priority", INT32_MAX);
	queue->queue.max_attempts =
		(uint32_t)read_number(reader, route, "maxAttempts", INT32_MAX);
	queue->queue.stretch =
		json_number_value(json_object_get(route, "stretch"));
	queue->queue.extra_ms =
		read_number(reader, route, "completionTargetMs", INT32_MAX);
	queue->queue.has_advice =
		json_is_object(json_object_get(route, "advice"));
}

static void queue_clear(struct platform_queue *queue)
{
	free(queue->host);
	free(queue->prefix);
	memset(queue, 0, sizeof(*queue));
}

/* A queue that cannot be read does not keep the others out. */
static void read_queues(const json_t *routes, struct platform_config *config,
			const struct decode_report *report)
{
	size_t i;

	config->queues =
		xcalloc(json_array_size(routes) + 1, sizeof(*config->queues));
	for (i = 0; i < json_array_size(routes); i++) {
		struct platform_queue *queue =
			&config->queues[config->queue_count];
		const json_t *route = json_array_get(routes, i);
		struct reader reader = { 0, "" };

		read_queue(&reader, route, config->version, queue);
		if (!reader.err) {
			decode_report_replaced(report, i, route);
			queue->index = i;
			config->queue_count++;
			continue;
		}
		decode_report_skipped(report, i, route, reader.reason);
		queue_clear(queue);
		config->rejected_count++;
	}
}

const char *platform_evacuation_domain(const char *key)
{
	static const char prefix[] = "op/evacuate/";

	if (strncmp(key, prefix, sizeof(prefix) - 1))
		return NULL;
	return key + sizeof(prefix) - 1;
}

int platform_config_from_tree(const json_t *root,
			      struct platform_config *config,
			      const struct decode_report *report)
{
	const json_t *routes = json_object_get(root, "routes");
	const json_t *limits = json_object_get(root, "limits");
	struct platform_config decoded = { 0 };
	struct reader reader = { 0, "" };

	if (!json_is_array(routes))
		reject(&reader, "routes");
	decoded.version = read_number(&reader, root, "version", INT64_MAX / 4);
	decoded.body_max_bytes =
		read_number(&reader, limits, "maxBodyBytes", INT32_MAX);
	read_queues(routes, &decoded, report);
	decode_report_limits(report, root);
	if (reader.err) {
		decode_report_refused(report, root, limits, reader.reason);
		platform_config_clear(&decoded);
		return reader.err;
	}
	platform_config_clear(config);
	*config = decoded;
	return 0;
}

int platform_decode_config(const char *json, size_t len,
			   struct platform_config *config)
{
	json_t *root = json_loadb(json, len, 0, NULL);
	int err = platform_config_from_tree(root, config, NULL);

	json_decref(root);
	return err;
}

void platform_config_clear(struct platform_config *config)
{
	size_t i;

	for (i = 0; i < config->queue_count; i++)
		queue_clear(&config->queues[i]);
	free(config->queues);
	memset(config, 0, sizeof(*config));
}

static int host_matches(const char *host, const char *configured)
{
	size_t len = strcspn(host, ":");

	return strlen(configured) == len && !strncmp(host, configured, len);
}

const struct platform_queue *platform_queue_find(
	const struct platform_config *config, const char *host,
	const char *path)
{
	const struct platform_queue *best = NULL;
	size_t i, best_len = 0;

	for (i = 0; host && i < config->queue_count; i++) {
		const struct platform_queue *queue = &config->queues[i];
		size_t len = strlen(queue->prefix);

		if (!host_matches(host, queue->host) || len < best_len ||
		    strncmp(path, queue->prefix, len) != 0)
			continue;
		best = queue;
		best_len = len;
	}
	return best;
}

char *platform_state_body(enum workflow_state state)
{
	static const char *const names[WORKFLOW_STATE_COUNT] = {
		[WORKFLOW_QUEUED] = "queued",
		[WORKFLOW_RUNNING] = "running",
		[WORKFLOW_COMPLETE] = "complete",
		[WORKFLOW_FAILED] = "failed",
		[WORKFLOW_CANCELLED] = "cancelled",
	};

	return xstrfmt("{\"state\":\"%s\"}", names[state]);
}

char *platform_pending_body(uint32_t pending)
{
	return xstrfmt("{\"pending\":%u}", pending);
}

enum platform_call platform_call_parse(const char *method, const char *path,
				       char *id, size_t size)
{
	const char *rest, *slash;
	int is_post = !strcmp(method, "POST");

	*id = '\0';
	if (!strcmp(path, "/catkinhill/readyz"))
		return PLATFORM_CALL_PROBE;
	if (!is_post || strncmp(path, CALL_PREFIX, strlen(CALL_PREFIX)) != 0)
		return PLATFORM_CALL_NONE;
	rest = path + strlen(CALL_PREFIX);
	slash = strchr(rest, '/');
	if (!slash || slash == rest || (size_t)(slash - rest) >= size)
		return PLATFORM_CALL_NONE;
	memcpy(id, rest, (size_t)(slash - rest));
	id[slash - rest] = '\0';
	if (!strcmp(slash, "/heartbeat"))
		return PLATFORM_CALL_ANNOUNCE;
	if (!strcmp(slash, "/deregister"))
		return PLATFORM_CALL_DEREGISTER;
	return PLATFORM_CALL_NONE;
}
