#include "kv_json.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "mem.h"

static json_t *base64(const char *value, size_t len)
{
	gchar *text = g_base64_encode((const guchar *)(len ? value : ""), len);
	json_t *json = json_string(text);

	g_free(text);
	return json;
}

char *kv_json_encode_txn(const struct kv_txn *txn)
{
	json_t *compares = json_array(), *puts = json_array();
	json_t *removals = json_array(), *root;
	char *text;
	size_t i;

	for (i = 0; i < txn->compare_count; i++)
		json_array_append_new(
			compares,
			json_pack("{s:s, s:I}", "key", txn->compares[i].key,
				  "revision",
				  (json_int_t)txn->compares[i].revision));
	for (i = 0; i < txn->put_count; i++)
		json_array_append_new(
			puts,
			json_pack("{s:s, s:o, s:I}", "key", txn->puts[i].key,
				  "value",
				  base64(txn->puts[i].value, txn->puts[i].len),
				  "lease", (json_int_t)txn->puts[i].lease));
	for (i = 0; i < txn->removal_count; i++)
		json_array_append_new(removals, json_string(txn->removals[i]));
	root = json_pack("{s:o, s:o, s:o}", "expectedRev", compares, "puts",
			 puts, "remove", removals);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	if (!text)
		abort();
	return text;
}

void kv_items_clear(struct kv_items *items)
{
	size_t i;

	for (i = 0; i < items->count; i++) {
		free((char *)items->items[i].key);
		free((char *)items->items[i].value);
	}
	free(items->items);
	memset(items, 0, sizeof(*items));
}

static char *decode_value(const char *text, size_t *len)
{
	gsize size;
	guchar *bytes = g_base64_decode(text, &size);
	char *value = xmalloc(size + 1);

	if (size)
		memcpy(value, bytes, size);
	value[size] = '\0';
	g_free(bytes);
	*len = size;
	return value;
}

static int decode_item(struct kv_item *item, const json_t *row)
{
	const char *key = json_string_value(json_object_get(row, "key"));
	const char *value = json_string_value(json_object_get(row, "value"));
	const json_t *revision = json_object_get(row, "revision");

	memset(item, 0, sizeof(*item));
	if (!key)
		return 0;
	item->revision = json_integer_value(revision);
	item->created_ms =
		json_integer_value(json_object_get(row, "createdAt"));
	if (value && !json_is_true(json_object_get(row, "tombstone")))
		item->value = decode_value(value, &item->len);
	item->key = xstrdup(key);
	return 1;
}

size_t kv_json_append_items(struct kv_items *items, const json_t *rows)
{
	size_t i, left_out = 0, rows_count = json_array_size(rows);

	if (items->count + rows_count > items->size) {
		items->size = items->count + rows_count;
		items->items = xrealloc(items->items,
					items->size * sizeof(*items->items));
	}
	for (i = 0; i < rows_count; i++) {
		if (decode_item(&items->items[items->count],
				json_array_get(rows, i)))
			items->count++;
		else
			left_out++;
	}
	return left_out;
}
