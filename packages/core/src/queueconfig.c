#include "queueconfig.h"

#include <string.h>

#include "errors.h"
#include "mem.h"

int queue_config_equal(const struct queue_config *a,
		       const struct queue_config *b)
{
	return !strcmp(a->name, b->name) && !strcmp(a->service, b->service) &&
	       a->priority == b->priority &&
	       a->max_attempts == b->max_attempts &&
	       !(a->stretch < b->stretch || a->stretch > b->stretch) &&
	       a->extra_ms == b->extra_ms && a->has_advice == b->has_advice;
}

json_t *queue_config_encode(const struct queue_config *queue)
{
	return json_pack("{s:s, s:s, s:i, s:i, s:f, s:I, s:b, s:I}", "queue",
			 queue->name, "service", queue->service, "priority",
			 (int)queue->priority, "max_attempts",
			 (int)queue->max_attempts, "stretch", queue->stretch,
			 "extra_ms", (json_int_t)queue->extra_ms, "has_advice",
			 (int)queue->has_advice, "config_version",
			 (json_int_t)queue->version);
}

int queue_config_decode(const json_t *object, struct queue_config *queue)
{
	const char *name = json_string_value(json_object_get(object, "queue"));
	const char *service =
		json_string_value(json_object_get(object, "service"));

	memset(queue, 0, sizeof(*queue));
	if (!name || !service ||
	    str_copy(queue->name, name, sizeof(queue->name)) ||
	    str_copy(queue->service, service, sizeof(queue->service)))
		return ERR_MALFORMED;
	queue->priority = (uint32_t)json_integer_value(
		json_object_get(object, "priority"));
	queue->max_attempts = (uint32_t)json_integer_value(
		json_object_get(object, "max_attempts"));
	queue->stretch = json_number_value(json_object_get(object, "stretch"));
	queue->extra_ms =
		json_integer_value(json_object_get(object, "extra_ms"));
	queue->has_advice = json_is_true(json_object_get(object, "has_advice"));
	queue->version =
		json_integer_value(json_object_get(object, "config_version"));
	return 0;
}
