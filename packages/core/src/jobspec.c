#include "jobspec.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "errors.h"
#include "hash.h"
#include "mem.h"

/* inbox/N/JOB.cancel must never be taken for a job of that name. */
#define CANCEL_SUFFIX ".cancel"

enum field_type {
	FIELD_ID,
	FIELD_TEXT,
	FIELD_NUMBER,
	FIELD_BOOL
};

struct field {
	const char *key;
	enum field_type type;
	int required;
	size_t offset;
	size_t size;	/* of a string's array */
	json_int_t min; /* of a number */
};

#define FIELD_OF(member) offsetof(struct job_spec, member)
#define SIZE_OF(member) sizeof(((struct job_spec *)0)->member)

static const struct field fields[] = {
	{ "job", FIELD_ID, 1, FIELD_OF(job), SIZE_OF(job) },
	{ "team", FIELD_ID, 1, FIELD_OF(team), SIZE_OF(team) },
	{ "urgent", FIELD_BOOL, 0, FIELD_OF(urgent) },
	{ "cpu_milli", FIELD_NUMBER, 1, FIELD_OF(need.cpu_milli), 0, 1 },
	{ "mem_mb", FIELD_NUMBER, 1, FIELD_OF(need.mem_mb), 0, 1 },
	{ "accel", FIELD_NUMBER, 0, FIELD_OF(need.accel), 0, 0 },
	{ "command", FIELD_TEXT, 1, FIELD_OF(command), SIZE_OF(command) },
};

#define FIELD_COUNT (sizeof(fields) / sizeof(fields[0]))

struct report {
	char *text;
	size_t size;
};

__attribute__((format(printf, 3, 4))) static int fail(
	const struct report *report, int err, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vsnprintf(report->text, report->size, fmt, args);
	va_end(args);
	return err;
}

static int valid_id(const char *id)
{
	size_t suffix = strlen(CANCEL_SUFFIX), len = strlen(id), i;

	for (i = 0; i < len; i++)
		if (!isalnum((unsigned char)id[i]) && !strchr("-_.", id[i]))
			return 0;
	if (len >= suffix && !strcmp(id + len - suffix, CANCEL_SUFFIX))
		return 0;
	return len > 0;
}

static int take_string(const struct field *field, const json_t *value,
		       char *dst, const struct report *report)
{
	const char *text = json_string_value(value);

	if (!text)
		return fail(report, ERR_MALFORMED, "%s must be a string",
			    field->key);
	if (field->type == FIELD_ID && !valid_id(text))
		return fail(report, ERR_INVALID,
			    "%s must consist of letters, digits, '-', '_' and "
			    "'.' and not end in " CANCEL_SUFFIX,
			    field->key);
	if (!*text)
		return fail(report, ERR_INVALID, "%s must not be empty",
			    field->key);
	if (str_copy(dst, text, field->size))
		return fail(report, ERR_INVALID,
			    "%s must be at most %zu bytes long", field->key,
			    field->size - 1);
	return 0;
}

static int take_number(const struct field *field, const json_t *value,
		       uint32_t *dst, const struct report *report)
{
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value))
		return fail(report, ERR_MALFORMED, "%s must be an integer",
			    field->key);
	if (number < field->min || number > UINT32_MAX)
		return fail(report, ERR_INVALID,
			    "%s must be at least %d and below 2^32", field->key,
			    (int)field->min);
	*dst = (uint32_t)number;
	return 0;
}

static int take_field(struct job_spec *spec, const char *key,
		      const json_t *value, const struct report *report)
{
	const struct field *field = fields;
	void *dst;

	while (field < fields + FIELD_COUNT && strcmp(field->key, key))
		field++;
	if (field == fields + FIELD_COUNT)
		return fail(report, ERR_INVALID, "unknown key %.40s", key);
	dst = (char *)spec + field->offset;
	if (field->type == FIELD_NUMBER)
		return take_number(field, value, dst, report);
	if (field->type != FIELD_BOOL)
		return take_string(field, value, dst, report);
	if (!json_is_boolean(value))
		return fail(report, ERR_MALFORMED, "%s must be true or false",
			    key);
	*(int *)dst = json_is_true(value);
	return 0;
}

static int take_object(struct job_spec *spec, json_t *root,
		       const struct report *report)
{
	const char *key;
	json_t *value;
	size_t i;
	int err;

	if (!json_is_object(root))
		return fail(report, ERR_MALFORMED, "a job must be an object");
	json_object_foreach(root, key, value)
	{
		err = take_field(spec, key, value, report);
		if (err)
			return err;
	}
	for (i = 0; i < FIELD_COUNT; i++)
		if (fields[i].required && !json_object_get(root, fields[i].key))
			return fail(report, ERR_INVALID, "%s is missing",
				    fields[i].key);
	return 0;
}

int job_spec_parse(struct job_spec *spec, const char *json, size_t len,
		   char *message, size_t message_size)
{
	const struct report report = { message, message_size };
	json_error_t error;
	json_t *root = json_loadb(json, len, JSON_REJECT_DUPLICATES, &error);
	int err;

	memset(spec, 0, sizeof(*spec));
	if (!root)
		return fail(&report, ERR_MALFORMED, "not JSON: %s", error.text);
	err = take_object(spec, root, &report);
	json_decref(root);
	return err;
}

char *job_spec_render(const struct job_spec *spec)
{
	json_t *root = json_pack(
		"{s:s, s:s, s:b, s:I, s:I, s:I, s:s}", "job", spec->job, "team",
		spec->team, "urgent", spec->urgent, "cpu_milli",
		(json_int_t)spec->need.cpu_milli, "mem_mb",
		(json_int_t)spec->need.mem_mb, "accel",
		(json_int_t)spec->need.accel, "command", spec->command);
	char *text = root ? json_dumps(root, JSON_COMPACT) : NULL;

	json_decref(root);
	return text ? text : xstrdup("{}");
}

uint32_t job_partition(const char *job, uint32_t partitions)
{
	return partitions ? (uint32_t)(hash_str(job) % partitions) : 0;
}
