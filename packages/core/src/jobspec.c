#include "jobspec.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "errors.h"
#include "hash.h"
#include "mem.h"

/* Not allowed in a job id: inbox/N/JOB.cancel is a cancellation of JOB. */
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
	size_t size;	/* of the array of a string */
	json_int_t min; /* lowest value of a number */
};

#define FIELD_OFFSET(member) offsetof(struct job_spec, member)
#define FIELD_SIZE(member) sizeof(((struct job_spec *)0)->member)

static const struct field fields[] = {
	{ "job", FIELD_ID, 1, FIELD_OFFSET(job), FIELD_SIZE(job) },
	{ "team", FIELD_ID, 1, FIELD_OFFSET(team), FIELD_SIZE(team) },
	{ "urgent", FIELD_BOOL, 0, FIELD_OFFSET(urgent) },
	{ "cpu_milli", FIELD_NUMBER, 1, FIELD_OFFSET(need.cpu_milli), 0, 1 },
	{ "mem_mb", FIELD_NUMBER, 1, FIELD_OFFSET(need.mem_mb), 0, 1 },
	{ "accel", FIELD_NUMBER, 0, FIELD_OFFSET(need.accel), 0, 0 },
	{ "command", FIELD_TEXT, 1, FIELD_OFFSET(command),
	  FIELD_SIZE(command) },
};

#define FIELD_COUNT (sizeof(fields) / sizeof(fields[0]))

struct error_message {
	char *text;
	size_t size;
};

__attribute__((format(printf, 3, 4))) static int set_error(
	const struct error_message *msg, int err, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vsnprintf(msg->text, msg->size, fmt, args);
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

static int parse_string(const struct field *field, const json_t *value,
			char *dst, const struct error_message *msg)
{
	const char *text = json_string_value(value);

	if (!text)
		return set_error(msg, ERR_MALFORMED, "%s must be a string",
				 field->key);
	if (field->type == FIELD_ID && !valid_id(text))
		return set_error(
			msg, ERR_INVALID,
			"%s must consist of letters, digits, '-', '_' and "
			"'.' and not end in " CANCEL_SUFFIX,
			field->key);
	if (!*text)
		return set_error(msg, ERR_INVALID, "%s must not be empty",
				 field->key);
	if (str_copy(dst, text, field->size))
		return set_error(msg, ERR_INVALID,
				 "%s must be at most %zu bytes long",
				 field->key, field->size - 1);
	return 0;
}

static int parse_number(const struct field *field, const json_t *value,
			uint32_t *dst, const struct error_message *msg)
{
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value))
		return set_error(msg, ERR_MALFORMED, "%s must be an integer",
				 field->key);
	if (number < field->min || number > UINT32_MAX)
		return set_error(msg, ERR_INVALID,
				 "%s must be at least %d and below 2^32",
				 field->key, (int)field->min);
	*dst = (uint32_t)number;
	return 0;
}

static int parse_field(struct job_spec *spec, const char *key,
		       const json_t *value, const struct error_message *msg)
{
	const struct field *field = fields;
	void *dst;

	while (field < fields + FIELD_COUNT && strcmp(field->key, key))
		field++;
	if (field == fields + FIELD_COUNT)
		return set_error(msg, ERR_INVALID, "unknown key %.40s", key);
	dst = (char *)spec + field->offset;
	if (field->type == FIELD_NUMBER)
		return parse_number(field, value, dst, msg);
	if (field->type != FIELD_BOOL)
		return parse_string(field, value, dst, msg);
	if (!json_is_boolean(value))
		return set_error(msg, ERR_MALFORMED, "%s must be true or false",
				 key);
	*(int *)dst = json_is_true(value);
	return 0;
}

static int parse_object(struct job_spec *spec, json_t *root,
			const struct error_message *msg)
{
	const char *key;
	json_t *value;
	size_t i;
	int err;

	if (!json_is_object(root))
		return set_error(msg, ERR_MALFORMED, "a job must be an object");
	json_object_foreach(root, key, value)
	{
		err = parse_field(spec, key, value, msg);
		if (err)
			return err;
	}
	for (i = 0; i < FIELD_COUNT; i++)
		if (fields[i].required && !json_object_get(root, fields[i].key))
			return set_error(msg, ERR_INVALID, "%s is missing",
					 fields[i].key);
	return 0;
}

int job_spec_parse(struct job_spec *spec, const char *json, size_t len,
		   char *message, size_t message_size)
{
	const struct error_message msg = { message, message_size };
	json_error_t error;
	json_t *root = json_loadb(json, len, JSON_REJECT_DUPLICATES, &error);
	int err;

	memset(spec, 0, sizeof(*spec));
	if (!root)
		return set_error(&msg, ERR_MALFORMED, "not JSON: %s",
				 error.text);
	err = parse_object(spec, root, &msg);
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
