#ifndef CATKINHILL_STRICTJSON_H
#define CATKINHILL_STRICTJSON_H

#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "message.h"

/*
 * NAME
 *	strictjson - reads JSON and keeps the first error
 *
 * NOTES
 *	After an error every further call does nothing, so that a caller
 *	checks err once, at the end.
 */
struct strictjson_reader {
	int err; /* 0, ERR_MALFORMED or ERR_INVALID */
	char *message;
	size_t message_size;
};

void strictjson_init(struct strictjson_reader *strict, char *message,
		     size_t message_size);

void strictjson_fail(struct strictjson_reader *strict, int err, const char *fmt,
		     ...) __attribute__((format(printf, 3, 4)));

/* RETURN VALUE: an object, released by json_decref(); NULL on error. */
json_t *strictjson_load(struct strictjson_reader *strict, const char *json,
			size_t len);

/* Refuses every key that is not in the list, which ends with NULL. */
void strictjson_check_keys(struct strictjson_reader *strict,
			   const json_t *object, const char *const *keys);

/* A text of letters, digits, '-', '_' and '.', which fits size. */
void strictjson_get_name(struct strictjson_reader *strict, const json_t *object,
			 const char *key, char *dst, size_t size);
void strictjson_get_integer(struct strictjson_reader *strict,
			    const json_t *object, const char *key, int64_t min,
			    int64_t max, int64_t *dst);

/* cpu_milli, mem_mb and accel; missing ones are 0. */
void strictjson_get_resources(struct strictjson_reader *strict,
			      const json_t *object, struct resources *dst);

/* RETURN VALUE: the member if it has this type; NULL on error. */
json_t *strictjson_get(struct strictjson_reader *strict, const json_t *object,
		       const char *key, json_type type);

/* RETURN VALUE: 1 for an identifier as strict_name() accepts it. */
int strictjson_name_valid(const char *text, size_t size);

#endif
