#include "jobstore.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "errors.h"
#include "mem.h"
#include "platformjson.h"
#include "queueconfig.h"

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
	json_t *root = queue_config_encode(queue);
	char *text = NULL;

	if (!json_object_set_new(root, "body", json_stringn(body, len)))
		text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static struct workflow *decode_record(const char *job, const json_t *root,
				      int64_t submitted_ms, const char **reason)
{
	const json_t *body = json_object_get(root, "body");
	struct queue_config queue;
	struct workflow_spec spec;

	*reason = "workflow record is malformed";
	if (!json_is_string(body) || queue_config_decode(root, &queue))
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
	int err = queue_config_decode(root, queue);

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
