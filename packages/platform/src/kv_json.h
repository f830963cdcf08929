#ifndef CATKINHILL_KV_JSON_H
#define CATKINHILL_KV_JSON_H

#include <jansson.h>

#include "kv.h"

/*
 * NAME
 *	kv_json - JSON bodies of calls to the platform's metadata store
 */

/* A transaction as JSON text, newly allocated. */
char *kv_json_encode_txn(const struct kv_txn *txn);

/* List that owns its items, their keys and their values. */
struct kv_items {
	struct kv_item *items;
	size_t count, size;
};

void kv_items_clear(struct kv_items *items);

/*
 * Appends the rows of a JSON array; rows that cannot be decoded are skipped,
 * because other writers may use the same store.
 *
 * RETURN VALUE
 *	Number of skipped rows.
 */
size_t kv_json_append_items(struct kv_items *items, const json_t *rows);

#endif
