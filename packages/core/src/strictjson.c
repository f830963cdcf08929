#include "strictjson.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "errors.h"
#include "mem.h"

static const char *const type_names[] = {
	[JSON_OBJECT] = "an object",
	[JSON_ARRAY] = "an array",
	[JSON_STRING] = "a string",
	[JSON_INTEGER] = "a whole number",
};

void strictjson_init(struct strictjson_reader *reader, char *message,
		     size_t message_size)
{
	reader->err = 0;
	reader->message = message;
	reader->message_size = message_size;
	if (message_size)
		message[0] = '\0';
}

void strictjson_fail(struct strictjson_reader *reader, int err, const char *fmt,
		     ...)
{
	va_list args;

	if (reader->err)
		return;
	reader->err = err;
	if (!reader->message_size)
		return;
	va_start(args, fmt);
	vsnprintf(reader->message, reader->message_size, fmt, args);
	va_end(args);
}

json_t *strictjson_load(struct strictjson_reader *reader, const char *json,
			size_t len)
{
	json_error_t error;
	json_t *root = json_loadb(json, len, JSON_REJECT_DUPLICATES, &error);

	if (!root) {
		strictjson_fail(reader, ERR_MALFORMED,
				"not JSON: line %d, column %d: %s", error.line,
				error.column, error.text);
		return NULL;
	}
	if (!json_is_object(root)) {
		strictjson_fail(reader, ERR_MALFORMED, "not a JSON object");
		json_decref(root);
		return NULL;
	}
	return root;
}

static void list_keys(const char *const *keys, char *buf, size_t size)
{
	size_t len = 0;

	buf[0] = '\0';
	for (; *keys && len < size; keys++)
		len += (size_t)snprintf(buf + len, size - len, "%s%s",
					len ? ", " : "", *keys);
}

static int key_listed(const char *key, const char *const *keys)
{
	for (; *keys; keys++)
		if (!strcmp(key, *keys))
			return 1;
	return 0;
}

void strictjson_check_keys(struct strictjson_reader *reader,
			   const json_t *object, const char *const *keys)
{
	const char *key;
	json_t *value;
	char known[256];

	if (reader->err)
		return;
	json_object_foreach((json_t *)object, key, value)
	{
		if (key_listed(key, keys))
			continue;
		list_keys(keys, known, sizeof(known));
		strictjson_fail(reader, ERR_INVALID,
				"unknown key '%.64s'; allowed: %s", key, known);
		return;
	}
}

json_t *strictjson_get(struct strictjson_reader *reader, const json_t *object,
		       const char *key, json_type type)
{
	json_t *value = reader->err ? NULL : json_object_get(object, key);

	if (reader->err)
		return NULL;
	if (!value) {
		strictjson_fail(reader, ERR_INVALID, "key '%s' is missing",
				key);
		return NULL;
	}
	if (json_typeof(value) != type) {
		strictjson_fail(reader, ERR_MALFORMED, "'%s' must be %s", key,
				type_names[type]);
		return NULL;
	}
	return value;
}

int strictjson_name_valid(const char *text, size_t size)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
				      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789-_.";
	size_t len = strlen(text);

	return len > 0 && len < size && strspn(text, allowed) == len;
}

void strictjson_get_name(struct strictjson_reader *reader, const json_t *object,
			 const char *key, char *dst, size_t size)
{
	json_t *value = strictjson_get(reader, object, key, JSON_STRING);

	if (!value)
		return;
	if (!strictjson_name_valid(json_string_value(value), size)) {
		strictjson_fail(
			reader, ERR_INVALID,
			"'%s': '%.80s' is not allowed; allowed: 1 to %zu "
			"letters, digits, '-', '_' or '.'",
			key, json_string_value(value), size - 1);
		return;
	}
	str_copy(dst, json_string_value(value), size);
}

void strictjson_get_integer(struct strictjson_reader *reader,
			    const json_t *object, const char *key, int64_t min,
			    int64_t max, int64_t *dst)
{
	json_t *value = strictjson_get(reader, object, key, JSON_INTEGER);
	int64_t number;

	if (!value)
		return;
	number = json_integer_value(value);
	if (number < min || number > max) {
		strictjson_fail(reader, ERR_INVALID,
				"'%s': %" PRId64 " is not allowed; allowed: "
				"%" PRId64 " to %" PRId64,
				key, number, min, max);
		return;
	}
	*dst = number;
}

static uint32_t optional_u32(struct strictjson_reader *reader,
			     const json_t *object, const char *key)
{
	int64_t number = 0;

	if (json_object_get(object, key))
		strictjson_get_integer(reader, object, key, 0, UINT32_MAX,
				       &number);
	return (uint32_t)number;
}

void strictjson_get_resources(struct strictjson_reader *reader,
			      const json_t *object, struct resources *dst)
{
	dst->cpu_milli = optional_u32(reader, object, "cpu_milli");
	dst->mem_mb = optional_u32(reader, object, "mem_mb");
	dst->accel = optional_u32(reader, object, "accel");
}
