#include "record.h"

#include <string.h>

#include <jansson.h>

#include "errors.h"
#include "mem.h"

const char *const record_resource_names[RECORD_RESOURCE_COUNT] = {
	"slots", "connections", "cpu_milli", "mem_mb", "accel"
};

static const char *const kind_names[RECORD_KIND_COUNT] = {
	[RECORD_INVOKE] = "invoke",
	[RECORD_RESPONSE] = "answer",
	[RECORD_EXECUTE] = "execute",
	[RECORD_TASK_START] = "task-start",
	[RECORD_TASK_STOP] = "task-stop",
	[RECORD_TASK_EFFECT] = "task-effect",
	[RECORD_JOB_END] = "job-end",
	[RECORD_USAGE] = "usage",
	[RECORD_LEAVING] = "leaving",
	[RECORD_CONFIG_ACCEPTED] = "config-accepted",
	[RECORD_CONFIG_SEEN] = "config-seen",
	[RECORD_PROCESS_START] = "process-start",
	[RECORD_PROCESS_END] = "process-end",
	[RECORD_FAULT] = "fault",
};

static const struct {
	const char *key;
	size_t offset;
} text_fields[] = {
	{ "id", offsetof(struct record, id) },
	{ "key", offsetof(struct record, key) },
	{ "who", offsetof(struct record, process_id) },
	{ "outcome", offsetof(struct record, outcome) },
	{ "digest", offsetof(struct record, digest) },
};

static const struct {
	const char *key;
	size_t offset;
} number_fields[] = {
	{ "t", offsetof(struct record, time_ms) },
	{ "status", offsetof(struct record, status) },
	{ "complete", offsetof(struct record, is_complete) },
	{ "run", offsetof(struct record, run) },
	{ "step", offsetof(struct record, step) },
	{ "version", offsetof(struct record, version) },
};

static const struct {
	const char *key;
	size_t offset;
} resource_fields[] = {
	{ "used", offsetof(struct record, used) },
	{ "limit", offsetof(struct record, limit) },
};

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))

static int find_kind(const char *name)
{
	int i;

	for (i = 0; i < RECORD_KIND_COUNT; i++)
		if (!strcmp(kind_names[i], name))
			return i;
	return -1;
}

static int parse_kind(struct record *record, const json_t *root)
{
	const json_t *value = json_object_get(root, "kind");
	int kind;

	if (!json_is_string(value))
		return ERR_MALFORMED;
	kind = find_kind(json_string_value(value));
	if (kind < 0)
		return ERR_INVALID;
	record->kind = (enum record_kind)kind;
	return 0;
}

static int parse_texts(struct record *record, const json_t *root)
{
	size_t i;

	for (i = 0; i < COUNT(text_fields); i++) {
		const json_t *value = json_object_get(root, text_fields[i].key);
		char *field = (char *)record + text_fields[i].offset;

		if (!value)
			continue;
		if (!json_is_string(value))
			return ERR_MALFORMED;
		if (str_copy(field, json_string_value(value), RECORD_TEXT_SIZE))
			return ERR_INVALID;
	}
	return 0;
}

static int parse_numbers(struct record *record, const json_t *root)
{
	size_t i;

	for (i = 0; i < COUNT(number_fields); i++) {
		const json_t *value =
			json_object_get(root, number_fields[i].key);

		if (!value)
			continue;
		if (!json_is_integer(value))
			return ERR_MALFORMED;
		*(int64_t *)((char *)record + number_fields[i].offset) =
			json_integer_value(value);
	}
	return 0;
}

static int parse_array(int64_t *values, const json_t *array)
{
	size_t i;

	if (!json_is_array(array) ||
	    json_array_size(array) != RECORD_RESOURCE_COUNT)
		return ERR_MALFORMED;
	for (i = 0; i < RECORD_RESOURCE_COUNT; i++) {
		const json_t *value = json_array_get(array, i);

		if (!json_is_integer(value))
			return ERR_MALFORMED;
		values[i] = json_integer_value(value);
	}
	return 0;
}

static int parse_resources(struct record *record, const json_t *root)
{
	size_t i;

	for (i = 0; i < COUNT(resource_fields); i++) {
		const json_t *value =
			json_object_get(root, resource_fields[i].key);
		char *field = (char *)record + resource_fields[i].offset;

		if (value && parse_array((int64_t *)field, value))
			return ERR_MALFORMED;
	}
	return 0;
}

static int parse_object(struct record *record, const json_t *root)
{
	int err = parse_kind(record, root);

	if (!err)
		err = parse_texts(record, root);
	if (!err)
		err = parse_numbers(record, root);
	if (!err)
		err = parse_resources(record, root);
	return err;
}

int record_parse(struct record *record, const char *json, size_t len)
{
	json_t *root = json_loadb(json, len, JSON_REJECT_DUPLICATES, NULL);
	int err = ERR_MALFORMED;

	memset(record, 0, sizeof(*record));
	if (json_is_object(root))
		err = parse_object(record, root);
	json_decref(root);
	return err;
}
