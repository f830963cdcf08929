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
struct strictjson_reader {
	int err; /* 0, ERR_MALFORMED or ERR_INVALID */
	char *message;
	size_t message_size;
};

void strictjson_init(struct strictjson_reader *reader, char *message,
		     size_t message_size);

void strictjson_fail(struct strictjson_reader *reader, int err, const char *fmt,
		     ...) __attribute__((format(printf, 3, 4)));

/* RETURN VALUE: an object, to be released by json_decref(); NULL on error. */
json_t *strictjson_load(struct strictjson_reader *reader, const char *json,
			size_t len);

/* Fails if object has a key that is not in the NULL-terminated list. */
void strictjson_check_keys(struct strictjson_reader *reader,
			   const json_t *object, const char *const *keys);

/* Reads a name of letters, digits, '-', '_' and '.' that fits into size. */
void strictjson_get_name(struct strictjson_reader *reader, const json_t *object,
			 const char *key, char *dst, size_t size);
void strictjson_get_integer(struct strictjson_reader *reader,
			    const json_t *object, const char *key, int64_t min,
			    int64_t max, int64_t *dst);

/* Reads cpu_milli, mem_mb and accel; missing ones are 0. */
void strictjson_get_resources(struct strictjson_reader *reader,
			      const json_t *object, struct resources *dst);

/* RETURN VALUE: the value of key if it has this type; NULL on error. */
json_t *strictjson_get(struct strictjson_reader *reader, const json_t *object,
		       const char *key, json_type type);

/* RETURN VALUE: 1 if strictjson_get_name() would accept text, or else 0. */
int strictjson_name_valid(const char *text, size_t size);

#endif
