#include "kv_json.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "jsontext.h"
#include "mem.h"

static void put_base64(struct jsontext *json, const char *value, size_t len)
{
	gchar *text = g_base64_encode((const guchar *)(len ? value : ""), len);

	jsontext_raw(json, "\"");
	jsontext_raw(json, text);
	jsontext_raw(json, "\"");
	g_free(text);
}

static void put_separator(struct jsontext *json, size_t index)
{
	if (index)
		jsontext_raw(json, ",");
}

char *kv_json_encode_txn(const struct kv_txn *txn)
{
	struct jsontext json = { 0 };
	size_t i;

	jsontext_raw(&json, "{\"expectedRev\":[");
	for (i = 0; i < txn->compare_count; i++) {
		put_separator(&json, i);
		jsontext_raw(&json, "{\"key\":");
		jsontext_string(&json, txn->compares[i].key);
		jsontext_raw(&json, ",\"revision\":");
		jsontext_number(&json, txn->compares[i].revision);
		jsontext_raw(&json, "}");
	}
	jsontext_raw(&json, "],\"puts\":[");
	for (i = 0; i < txn->put_count; i++) {
		put_separator(&json, i);
		jsontext_raw(&json, "{\"key\":");
		jsontext_string(&json, txn->puts[i].key);
		jsontext_raw(&json, ",\"value\":");
		put_base64(&json, txn->puts[i].value, txn->puts[i].len);
		jsontext_raw(&json, ",\"lease\":");
		jsontext_number(&json, txn->puts[i].lease);
		jsontext_raw(&json, "}");
	}
	jsontext_raw(&json, "],\"remove\":[");
	for (i = 0; i < txn->removal_count; i++) {
		put_separator(&json, i);
		jsontext_string(&json, txn->removals[i]);
	}
	jsontext_raw(&json, "]}");
	return jsontext_end(&json);
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
	size_t i, skipped_count = 0, row_count = json_array_size(rows);

	if (items->count + row_count > items->size) {
		items->size = items->count + row_count;
		items->items = xrealloc(items->items,
					items->size * sizeof(*items->items));
	}
	for (i = 0; i < row_count; i++) {
		if (decode_item(&items->items[items->count],
				json_array_get(rows, i)))
			items->count++;
		else
			skipped_count++;
	}
	return skipped_count;
}
