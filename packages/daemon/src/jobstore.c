#include "jobstore.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "errors.h"
#include "mem.h"
#include "platformjson.h"

void jobstore_key(char *key, const char *prefix, const char *job)
{
	snprintf(key, JOBSTORE_KEY_SIZE, "%s%s", prefix, job);
}

const char *jobstore_key_suffix(const char *key, const char *prefix)
{
	size_t len = strlen(prefix);

	return strncmp(key, prefix, len) ? NULL : key + len;
}

char *jobstore_record_encode(const struct queue_config *queue, const char *body,
			     size_t len)
{
	json_t *root =
		json_pack("{s:s, s:s, s:i, s:i, s:f, s:I, s:b, s:I, s:s%}",
			  "queue", queue->name, "service", queue->service,
			  "priority", (int)queue->priority, "max_attempts",
			  (int)queue->max_attempts, "stretch", queue->stretch,
			  "extra_ms", (json_int_t)queue->extra_ms, "has_advice",
			  (int)queue->has_advice, "config_version",
			  (json_int_t)queue->version, "body", body, len);
	char *text;

	if (!root)
		return NULL;
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static int decode_queue(const json_t *root, struct queue_config *queue)
{
	const char *name = json_string_value(json_object_get(root, "queue"));
	const char *service =
		json_string_value(json_object_get(root, "service"));

	memset(queue, 0, sizeof(*queue));
	if (!name || !service ||
	    str_copy(queue->name, name, sizeof(queue->name)) ||
	    str_copy(queue->service, service, sizeof(queue->service)))
		return -1;
	queue->priority =
		(uint32_t)json_integer_value(json_object_get(root, "priority"));
	queue->max_attempts = (uint32_t)json_integer_value(
		json_object_get(root, "max_attempts"));
	queue->stretch = json_number_value(json_object_get(root, "stretch"));
	queue->extra_ms = json_integer_value(json_object_get(root, "extra_ms"));
	queue->has_advice = json_is_true(json_object_get(root, "has_advice"));
	queue->version =
		json_integer_value(json_object_get(root, "config_version"));
	return 0;
}

static struct workflow *decode_record(const char *job, const json_t *root,
				      int64_t submitted_ms, const char **reason)
{
	const json_t *body = json_object_get(root, "body");
	struct queue_config queue;
	struct workflow_spec spec;

	*reason = "workflow record is malformed";
	if (!json_is_string(body) || decode_queue(root, &queue))
		return NULL;
	if (platform_decode_workflow(json_string_value(body),
				     json_string_length(body), job, &spec,
				     reason))
		return NULL;
	return workflow_new(&spec, &queue, submitted_ms);
}

struct workflow *jobstore_record_decode(const char *job, const char *record,
					size_t len, int64_t submitted_ms,
					const char **reason)
{
	json_t *root = json_loadb(record, len, 0, NULL);
	struct workflow *workflow =
		decode_record(job, root, submitted_ms, reason);

	json_decref(root);
	return workflow;
}

int jobstore_record_config(const char *record, size_t len,
			   struct queue_config *queue)
{
	json_t *root = json_loadb(record, len, 0, NULL);
	int err = decode_queue(root, queue) ? ERR_MALFORMED : 0;

	json_decref(root);
	return err;
}

int jobstore_record_queue(const char *record, size_t len, char *queue)
{
	json_t *root = json_loadb(record, len, 0, NULL);
	const char *name = json_string_value(json_object_get(root, "queue"));
	int err = name && !str_copy(queue, name, ID_SIZE) ? 0 : ERR_MALFORMED;

	json_decref(root);
	return err;
}

uint32_t jobstore_pending_count(const char *record, size_t len,
				const char *queue)
{
	json_t *root = json_loadb(record, len, 0, NULL);
	json_int_t count = json_integer_value(json_object_get(root, queue));

	json_decref(root);
	return count > 0 && count <= UINT32_MAX ? (uint32_t)count : 0;
}
