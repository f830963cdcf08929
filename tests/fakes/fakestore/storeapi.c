#include "storeapi.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "sysclock.h"

#define CODE_INVALID 3
#define CODE_NOT_FOUND 5

static json_t *number(int64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRId64, value);
	return json_string(text);
}

static json_t *base64(const struct kv_bytes *bytes)
{
	gchar *text = g_base64_encode(bytes->data, bytes->len);
	json_t *json = json_string(text);

	g_free(text);
	return json;
}

static json_t *header(const struct kv *kv)
{
	return json_pack("{s:s, s:s, s:o}", "cluster_id", "1", "member_id", "1",
			 "revision", number(kv->revision));
}

static json_t *item_json(const struct kv_item *item, int is_deleted)
{
	json_t *json = json_pack("{s:o, s:o}", "key", base64(&item->key),
				 "mod_revision", number(item->mod_revision));

	if (is_deleted)
		return json;
	json_object_set_new(json, "create_revision",
			    number(item->create_revision));
	json_object_set_new(json, "version", number(item->version));
	/* Fields with their default value are left out, as by the gateway. */
	if (item->value.len)
		json_object_set_new(json, "value", base64(&item->value));
	if (item->lease)
		json_object_set_new(json, "lease", number(item->lease));
	return json;
}

static int error(json_t **answer, int status, int code, const char *text)
{
	*answer = json_pack("{s:s, s:i, s:s}", "error", text, "code", code,
			    "message", text);
	return status;
}

static int invalid(json_t **answer)
{
	return error(answer, 400, CODE_INVALID, "invalid request");
}

static int64_t get_number(const json_t *object, const char *name)
{
	const json_t *field = json_object_get(object, name);
	const char *text = json_string_value(field);

	return text ? strtoll(text, NULL, 10) : json_integer_value(field);
}

/* Missing text is no bytes; returns -1 for another type. */
static int get_bytes(const json_t *object, const char *name,
		     struct kv_bytes *bytes)
{
	const json_t *field = json_object_get(object, name);
	const char *text = json_string_value(field);

	memset(bytes, 0, sizeof(*bytes));
	if (field && !text)
		return -1;
	if (text && *text)
		bytes->data = g_base64_decode(text, &bytes->len);
	return 0;
}

static int get_range(const json_t *request, struct kv_bytes *key,
		     struct kv_bytes *end)
{
	int bad = get_bytes(request, "key", key);

	bad |= get_bytes(request, "range_end", end);
	if (!bad && key->len)
		return 0;
	g_free(key->data);
	g_free(end->data);
	return -1;
}

int storeapi_range(struct kv *kv, const json_t *request, json_t **answer)
{
	size_t limit = (size_t)get_number(request, "limit");
	struct kv_bytes key, end;
	struct kv_item *first;
	json_t *kvs;
	size_t count, i;

	if (get_range(request, &key, &end))
		return invalid(answer);
	count = kv_range(kv, &key, &end, &first);
	g_free(key.data);
	g_free(end.data);
	*answer = json_pack("{s:o}", "header", header(kv));
	if (!count)
		return 200;
	kvs = json_array();
	for (i = 0; i < count && (!limit || i < limit); i++)
		json_array_append_new(kvs, item_json(&first[i], 0));
	json_object_set_new(*answer, "kvs", kvs);
	json_object_set_new(*answer, "count", number((int64_t)count));
	if (i < count)
		json_object_set_new(*answer, "more", json_true());
	return 200;
}

static int64_t target_of(const struct kv_item *item, const json_t *compare,
			 int64_t *wanted)
{
	const char *target =
		json_string_value(json_object_get(compare, "target"));

	if (target && !strcmp(target, "CREATE")) {
		*wanted = get_number(compare, "create_revision");
		return item ? item->create_revision : 0;
	}
	if (target && !strcmp(target, "MOD")) {
		*wanted = get_number(compare, "mod_revision");
		return item ? item->mod_revision : 0;
	}
	*wanted = get_number(compare, "version");
	return item ? item->version : 0;
}

static int is_equal(struct kv *kv, const json_t *compare)
{
	struct kv_bytes key;
	int64_t wanted, found;

	if (get_bytes(compare, "key", &key))
		return 0;
	found = target_of(kv_find(kv, &key), compare, &wanted);
	g_free(key.data);
	return found == wanted;
}

static const json_t *either(const json_t *object, const char *a, const char *b)
{
	const json_t *field = json_object_get(object, a);

	return field ? field : json_object_get(object, b);
}

static const json_t *put_of(const json_t *operation)
{
	return either(operation, "request_put", "requestPut");
}

static const json_t *delete_of(const json_t *operation)
{
	return either(operation, "request_delete_range", "requestDeleteRange");
}

/* Compares text of one encoding: keys are sent by one client. */
static int is_same_key(const json_t *put, const json_t *other)
{
	const char *a = json_string_value(json_object_get(put, "key"));
	const char *b = json_string_value(json_object_get(other, "key"));

	return a && b && !strcmp(a, b);
}

static int is_deleted_by(const json_t *put, const json_t *request)
{
	struct kv_bytes key, end, put_key;
	int deleted;

	if (get_range(request, &key, &end))
		return 0;
	get_bytes(put, "key", &put_key);
	deleted = kv_covers(&key, &end, &put_key);
	g_free(key.data);
	g_free(end.data);
	g_free(put_key.data);
	return deleted;
}

/* As the store: no key is put twice, or put and deleted. */
static int has_duplicate(const json_t *list, size_t i)
{
	const json_t *put = put_of(json_array_get(list, i));
	size_t n;

	for (n = 0; put && n < json_array_size(list); n++) {
		const json_t *other = json_array_get(list, n);

		if (n != i && put_of(other) && is_same_key(put, put_of(other)))
			return 1;
		if (delete_of(other) && is_deleted_by(put, delete_of(other)))
			return 1;
	}
	return 0;
}

/* Checks all operations before the first takes effect. */
static int check_operations(struct kv *kv, const json_t *list, json_t **answer)
{
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		const json_t *operation = json_array_get(list, i);
		const json_t *put = put_of(operation);
		int64_t lease = get_number(put, "lease");

		if ((!put && !delete_of(operation)) || has_duplicate(list, i))
			return invalid(answer);
		if (lease && !kv_lease_find(kv, lease))
			return error(answer, 404, CODE_NOT_FOUND,
				     "requested lease not found");
	}
	return 200;
}

static json_t *apply_put(struct kv *kv, const json_t *put)
{
	struct kv_bytes key, value;

	get_bytes(put, "key", &key);
	get_bytes(put, "value", &value);
	kv_put(kv, &key, &value, get_number(put, "lease"));
	g_free(key.data);
	g_free(value.data);
	return json_pack("{s:{s:o}}", "response_put", "header", header(kv));
}

static json_t *apply_delete(struct kv *kv, const json_t *request)
{
	struct kv_bytes key, end;
	size_t count = 0;

	if (!get_range(request, &key, &end)) {
		count = kv_delete(kv, &key, &end);
		g_free(key.data);
		g_free(end.data);
	}
	return json_pack("{s:{s:o, s:o}}", "response_delete_range", "header",
			 header(kv), "deleted", number((int64_t)count));
}

int storeapi_txn(struct kv *kv, const json_t *request, json_t **answer)
{
	const json_t *compares = json_object_get(request, "compare");
	const json_t *list;
	json_t *responses = NULL;
	int succeeded = 1;
	int status;
	size_t i;

	for (i = 0; i < json_array_size(compares); i++)
		succeeded &= is_equal(kv, json_array_get(compares, i));
	list = json_object_get(request, succeeded ? "success" : "failure");
	status = check_operations(kv, list, answer);
	if (status != 200)
		return status;
	if (json_array_size(list)) {
		kv_write_begin(kv);
		responses = json_array();
	}
	for (i = 0; i < json_array_size(list); i++) {
		const json_t *operation = json_array_get(list, i);
		const json_t *put = put_of(operation);

		json_array_append_new(
			responses,
			put ? apply_put(kv, put)
			    : apply_delete(kv, delete_of(operation)));
	}
	*answer = json_pack("{s:o}", "header", header(kv));
	if (succeeded)
		json_object_set_new(*answer, "succeeded", json_true());
	if (responses)
		json_object_set_new(*answer, "responses", responses);
	return 200;
}

int storeapi_deleterange(struct kv *kv, const json_t *request, json_t **answer)
{
	struct kv_bytes key, end;
	size_t count;

	if (get_range(request, &key, &end))
		return invalid(answer);
	kv_write_begin(kv);
	count = kv_delete(kv, &key, &end);
	g_free(key.data);
	g_free(end.data);
	*answer = json_pack("{s:o}", "header", header(kv));
	if (count)
		json_object_set_new(*answer, "deleted", number((int64_t)count));
	return 200;
}

int storeapi_grant(struct kv *kv, const json_t *request, json_t **answer)
{
	int64_t ttl = get_number(request, "TTL");
	struct kv_lease *lease;

	if (ttl <= 0)
		return invalid(answer);
	lease = kv_lease_grant(kv, ttl * 1000, sysclock_now().ms);
	*answer = json_pack("{s:o, s:o, s:o}", "header", header(kv), "ID",
			    number(lease->id), "TTL", number(ttl));
	return 200;
}

/* A lease that is gone is answered without a TTL, not with an error. */
int storeapi_keepalive(struct kv *kv, const json_t *request, json_t **answer)
{
	int64_t id = get_number(request, "ID");
	struct kv_lease *lease = kv_lease_find(kv, id);
	json_t *result =
		json_pack("{s:o, s:o}", "header", header(kv), "ID", number(id));

	if (lease) {
		lease->expires_ms = sysclock_now().ms + lease->ttl_ms;
		json_object_set_new(result, "TTL",
				    number(lease->ttl_ms / 1000));
	}
	*answer = json_pack("{s:o}", "result", result);
	return 200;
}

int storeapi_revoke(struct kv *kv, const json_t *request, json_t **answer)
{
	struct kv_lease *lease = kv_lease_find(kv, get_number(request, "ID"));

	if (!lease)
		return error(answer, 404, CODE_NOT_FOUND,
			     "requested lease not found");
	kv_lease_revoke(kv, lease);
	*answer = json_pack("{s:o}", "header", header(kv));
	return 200;
}

int storeapi_watch(struct kv *kv, const json_t *request, json_t **answer,
		   struct kv_bytes *key)
{
	const json_t *create =
		either(request, "create_request", "createRequest");

	if (!create || get_bytes(create, "key", key) || !key->len)
		return invalid(answer);
	*answer = json_pack("{s:{s:o, s:b}}", "result", "header", header(kv),
			    "created", 1);
	return 200;
}

json_t *storeapi_event(const struct kv *kv, const struct kv_item *item,
		       int is_deleted)
{
	json_t *event = json_pack("{s:o}", "kv", item_json(item, is_deleted));

	if (is_deleted)
		json_object_set_new(event, "type", json_string("DELETE"));
	return json_pack("{s:{s:o, s:[o]}}", "result", "header", header(kv),
			 "events", event);
}
