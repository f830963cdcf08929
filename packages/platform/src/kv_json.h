#ifndef CATKINHILL_KV_JSON_H
#define CATKINHILL_KV_JSON_H

#include <jansson.h>

#include "kv.h"

/*
 * NAME
 *	kv_json - bodies of the calls of the platform's store
 */

/* A transaction as JSON text, newly allocated. */
char *kv_json_encode_txn(const struct kv_txn *txn);

/* A list of items whose memory is owned. */
struct kv_items {
	struct kv_item *items;
	size_t count, size;
};

void kv_items_clear(struct kv_items *items);

/*
 * Adds the rows of a JSON array; rows that cannot be understood are left out,
 * because other writers may use the same store.
 *
 * RETURN VALUE
 *	number of rows left out.
 */
size_t kv_json_append_items(struct kv_items *items, const json_t *rows);

#endif
