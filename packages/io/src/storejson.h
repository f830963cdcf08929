#ifndef CATKINHILL_STOREJSON_H
#define CATKINHILL_STOREJSON_H

#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "store.h"

/*
 * NAME
 *	storejson - JSON encoding of the store's requests and responses
 *
 * NOTES
 *	The functions that encode a request return newly allocated text. The
 *	gateway writes 64-bit numbers as strings and omits fields that are 0,
 *	"" or false.
 */
char *storejson_encode_get(const char *key);
char *storejson_encode_list(const char *prefix, int limit);
char *storejson_encode_range(const char *first, const char *end, int limit);
char *storejson_encode_txn(const struct store_compare *compares,
			   size_t compare_count,
			   const struct store_change *changes,
			   size_t change_count);
char *storejson_encode_put_if(const char *key, int64_t revision,
			      const void *value, size_t len, int64_t lease);
char *storejson_encode_delete_if(const char *key, int64_t revision);
char *storejson_encode_grant(int64_t ttl_seconds);
char *storejson_encode_lease(int64_t lease);
char *storejson_encode_watch(const char *key);

/*
 * Reads an integer field; *value is 0 if it is missing.
 *
 * ERRORS
 *	ERR_MALFORMED	the field is not an integer
 */
int storejson_decode_int(const json_t *object, const char *name,
			 int64_t *value);

/*
 * Reads a key with its value and revision; freed by storejson_item_clear().
 *
 * ERRORS
 *	ERR_MALFORMED	kv is not a valid item of the store
 */
int storejson_decode_item(const json_t *kv, struct store_item *item);
void storejson_item_clear(struct store_item *item);

/*
 * Reads the response to a write.
 *
 * ERRORS
 *	ERR_CONFLICT	the comparison failed
 *	ERR_MALFORMED	not a valid response to a write
 */
int storejson_decode_write(const json_t *response, int64_t *revision);

#endif
