#ifndef CATKINHILL_STRICTJSON_H
#define CATKINHILL_STRICTJSON_H

#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "message.h"

/*
 * NAME
 *	strictjson - validating JSON reader that keeps the first error
 *
 * NOTES
 *	After an error all further calls do nothing, so that err has to be
 *	checked only once, at the end.
 */
struct strict {
	int err; /* 0, ERR_MALFORMED or ERR_INVALID */
	char *message;
	size_t message_size;
};

void strict_init(struct strict *reader, char *message, size_t message_size);

void strict_fail(struct strict *reader, int err, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* RETURN VALUE: an object, to be released by json_decref(); NULL on error. */
json_t *strict_load(struct strict *reader, const char *json, size_t len);

/* Fails if object has a key that is not in the NULL-terminated list. */
void strict_keys(struct strict *reader, const json_t *object,
		 const char *const *keys);

/* Reads a name of letters, digits, '-', '_' and '.' that fits into size. */
void strict_name(struct strict *reader, const json_t *object, const char *key,
		 char *dst, size_t size);
void strict_number(struct strict *reader, const json_t *object, const char *key,
		   int64_t min, int64_t max, int64_t *dst);

/* Reads cpu_milli, mem_mb and accel; missing ones are 0. */
void strict_resources(struct strict *reader, const json_t *object,
		      struct resources *dst);

/* RETURN VALUE: the value of key if it has this type; NULL on error. */
json_t *strict_member(struct strict *reader, const json_t *object,
		      const char *key, json_type type);

/* RETURN VALUE: 1 if strict_name() would accept text, or else 0. */
int name_valid(const char *text, size_t size);

#endif
