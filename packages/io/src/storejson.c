#include "storejson.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "errors.h"
#include "mem.h"

static json_t *base64(const void *data, size_t len)
{
	gchar *text = g_base64_encode(len ? data : (const void *)"", len);
	json_t *json = json_string(text);

	g_free(text);
	return json;
}

static json_t *base64_str(const char *str)
{
	return base64(str, strlen(str));
}

static json_t *int64_str(int64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRId64, value);
	return json_string(text);
}

/* Returns the request as text and releases it. */
static char *dump_request(json_t *request)
{
	char *text = json_dumps(request, JSON_COMPACT);

	json_decref(request);
	if (!text)
		abort();
	return text;
}

char *storejson_encode_get(const char *key)
{
	return dump_request(json_pack("{s:o}", "key", base64_str(key)));
}

/* A range of all keys with a prefix ends before the next greater prefix. */
static json_t *prefix_end(const char *prefix)
{
	char *end = xstrdup(prefix);
	size_t len = strlen(end);
	json_t *json;

	while (len && (unsigned char)end[len - 1] == 0xff)
		len--;
	if (len)
		end[len - 1]++;
	/* A range_end of one zero byte means that there is no end. */
	json = len ? base64(end, len) : base64("", 1);
	free(end);
	return json;
}

/* Takes over the references to key and end. */
static char *encode_key_range(json_t *key, json_t *end, int limit)
{
	return dump_request(json_pack("{s:o, s:o, s:o, s:s, s:s}", "key", key,
				      "range_end", end, "limit",
				      int64_str(limit), "sort_order", "ASCEND",
				      "sort_target", "KEY"));
}

char *storejson_encode_list(const char *prefix, int limit)
{
	json_t *key = *prefix ? base64_str(prefix) : base64("", 1);

	return encode_key_range(key, prefix_end(prefix), limit);
}

char *storejson_encode_range(const char *first, const char *end, int limit)
{
	return encode_key_range(base64_str(first), base64_str(end), limit);
}

static json_t *encode_compare(const char *key, int64_t revision)
{
	const char *target = revision ? "MOD" : "CREATE";
	const char *field = revision ? "mod_revision" : "create_revision";

	return json_pack("{s:o, s:s, s:s, s:o}", "key", base64_str(key),
			 "target", target, "result", "EQUAL", field,
			 int64_str(revision));
}

static char *encode_single_txn(const char *key, int64_t revision,
			       const char *name, json_t *operation)
{
	return dump_request(json_pack("{s:[o], s:[{s:o}]}", "compare",
				      encode_compare(key, revision), "success",
				      name, operation));
}

char *storejson_encode_put_if(const char *key, int64_t revision,
			      const void *value, size_t len, int64_t lease)
{
	json_t *put = json_pack("{s:o, s:o}", "key", base64_str(key), "value",
				base64(value, len));

	if (lease)
		json_object_set_new(put, "lease", int64_str(lease));
	return encode_single_txn(key, revision, "request_put", put);
}

char *storejson_encode_delete_if(const char *key, int64_t revision)
{
	return encode_single_txn(key, revision, "request_delete_range",
				 json_pack("{s:o}", "key", base64_str(key)));
}

static json_t *encode_change(const struct store_change *change)
{
	switch (change->kind) {
	case STORE_PUT:
		return json_pack("{s:{s:o, s:o}}", "request_put", "key",
				 base64_str(change->key), "value",
				 base64(change->value, change->len));
	case STORE_DELETE_RANGE:
		return json_pack("{s:{s:o, s:o}}", "request_delete_range",
				 "key", base64_str(change->key), "range_end",
				 base64_str(change->end));
	}
	abort();
}

char *storejson_encode_txn(const struct store_compare *compares,
			   size_t compare_count,
			   const struct store_change *changes,
			   size_t change_count)
{
	json_t *compare_list = json_array(), *change_list = json_array();
	size_t i;

	for (i = 0; i < compare_count; i++)
		json_array_append_new(
			compare_list,
			encode_compare(compares[i].key, compares[i].revision));
	for (i = 0; i < change_count; i++)
		json_array_append_new(change_list, encode_change(&changes[i]));
	return dump_request(json_pack("{s:o, s:o}", "compare", compare_list,
				      "success", change_list));
}

char *storejson_encode_grant(int64_t ttl_seconds)
{
	return dump_request(json_pack("{s:o}", "TTL", int64_str(ttl_seconds)));
}

char *storejson_encode_lease(int64_t lease)
{
	return dump_request(json_pack("{s:o}", "ID", int64_str(lease)));
}

char *storejson_encode_watch(const char *key)
{
	return dump_request(json_pack("{s:{s:o}}", "create_request", "key",
				      base64_str(key)));
}

int storejson_decode_int(const json_t *object, const char *name, int64_t *value)
{
	const json_t *field = json_object_get(object, name);
	const char *text = json_string_value(field);
	char *end;

	*value = 0;
	if (!field)
		return 0;
	if (json_is_integer(field)) {
		*value = json_integer_value(field);
		return 0;
	}
	if (!text || !*text)
		return ERR_MALFORMED;
	errno = 0;
	*value = strtoll(text, &end, 10);
	return errno || *end ? ERR_MALFORMED : 0;
}

static unsigned char *decode_base64(const json_t *object, const char *name,
				    size_t *len)
{
	const json_t *field = json_object_get(object, name);
	const char *text = field ? json_string_value(field) : "";

	return text ? g_base64_decode(text, len) : NULL;
}

int storejson_decode_item(const json_t *kv, struct store_item *item)
{
	unsigned char *key;
	size_t key_len;

	memset(item, 0, sizeof(*item));
	if (!json_is_object(kv) ||
	    storejson_decode_int(kv, "mod_revision", &item->revision))
		return ERR_MALFORMED;
	key = decode_base64(kv, "key", &key_len);
	if (!key || !key_len || memchr(key, '\0', key_len)) {
		g_free(key);
		return ERR_MALFORMED;
	}
	item->key = g_strndup((const gchar *)key, key_len);
	g_free(key);
	item->value = decode_base64(kv, "value", &item->len);
	if (item->value)
		return 0;
	storejson_item_clear(item);
	return ERR_MALFORMED;
}

void storejson_item_clear(struct store_item *item)
{
	g_free((gchar *)item->key);
	g_free((guchar *)item->value);
	item->key = NULL;
	item->value = NULL;
}

int storejson_decode_write(const json_t *response, int64_t *revision)
{
	const json_t *header = json_object_get(response, "header");
	const json_t *succeeded = json_object_get(response, "succeeded");

	if (!json_is_object(header) ||
	    storejson_decode_int(header, "revision", revision))
		return ERR_MALFORMED;
	if (succeeded && !json_is_boolean(succeeded))
		return ERR_MALFORMED;
	return json_is_true(succeeded) ? 0 : ERR_CONFLICT;
}
