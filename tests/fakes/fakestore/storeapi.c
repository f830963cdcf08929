#include "storeapi.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "sysclock.h"

#define GRPC_INVALID_ARGUMENT 3
#define GRPC_NOT_FOUND 5

static json_t *int64_json(int64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRId64, value);
	return json_string(text);
}

static json_t *base64_json(const struct kvstate_bytes *bytes)
{
	gchar *text = g_base64_encode(bytes->data, bytes->len);
	json_t *json = json_string(text);

	g_free(text);
	return json;
}

static json_t *header_json(const struct kv *kv)
{
	return json_pack("{s:s, s:s, s:o}", "cluster_id", "1", "member_id", "1",
			 "revision", int64_json(kv->revision));
}

static json_t *item_json(const struct kvstate_item *item, int is_deleted)
{
	json_t *json =
		json_pack("{s:o, s:o}", "key", base64_json(&item->key),
			  "mod_revision", int64_json(item->mod_revision));

	if (is_deleted)
		return json;
	json_object_set_new(json, "create_revision",
			    int64_json(item->create_revision));
	json_object_set_new(json, "version", int64_json(item->version));
	/* Like the etcd gateway, omits fields with their default value. */
	if (item->value.len)
		json_object_set_new(json, "value", base64_json(&item->value));
	if (item->lease)
		json_object_set_new(json, "lease", int64_json(item->lease));
	return json;
}

static int error_response(json_t **response, int status, int code,
			  const char *text)
{
	*response = json_pack("{s:s, s:i, s:s}", "error", text, "code", code,
			      "message", text);
	return status;
}

static int invalid_request(json_t **response)
{
	return error_response(response, 400, GRPC_INVALID_ARGUMENT,
			      "invalid request");
}

static int64_t get_int64(const json_t *object, const char *name)
{
	const json_t *field = json_object_get(object, name);
	const char *text = json_string_value(field);

	return text ? strtoll(text, NULL, 10) : json_integer_value(field);
}

/* A missing field gives no bytes; -1 if the field is not a string. */
static int get_bytes(const json_t *object, const char *name,
		     struct kvstate_bytes *bytes)
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

static int get_range(const json_t *request, struct kvstate_bytes *key,
		     struct kvstate_bytes *end)
{
	int err = get_bytes(request, "key", key);

	err |= get_bytes(request, "range_end", end);
	if (!err && key->len)
		return 0;
	g_free(key->data);
	g_free(end->data);
	return -1;
}

int storeapi_range(struct kv *kv, const json_t *request, json_t **response)
{
	size_t limit = (size_t)get_int64(request, "limit");
	struct kvstate_bytes key, end;
	struct kvstate_item *first;
	json_t *kvs;
	size_t count, i;

	if (get_range(request, &key, &end))
		return invalid_request(response);
	count = kvstate_range(kv, &key, &end, &first);
	g_free(key.data);
	g_free(end.data);
	*response = json_pack("{s:o}", "header", header_json(kv));
	if (!count)
		return 200;
	kvs = json_array();
	for (i = 0; i < count && (!limit || i < limit); i++)
		json_array_append_new(kvs, item_json(&first[i], 0));
	json_object_set_new(*response, "kvs", kvs);
	json_object_set_new(*response, "count", int64_json((int64_t)count));
	if (i < count)
		json_object_set_new(*response, "more", json_true());
	return 200;
}

static int64_t compared_value(const struct kvstate_item *item,
			      const json_t *compare, int64_t *expected)
{
	const char *target =
		json_string_value(json_object_get(compare, "target"));

	if (target && !strcmp(target, "CREATE")) {
		*expected = get_int64(compare, "create_revision");
		return item ? item->create_revision : 0;
	}
	if (target && !strcmp(target, "MOD")) {
		*expected = get_int64(compare, "mod_revision");
		return item ? item->mod_revision : 0;
	}
	*expected = get_int64(compare, "version");
	return item ? item->version : 0;
}

static int compare_holds(struct kv *kv, const json_t *compare)
{
	struct kvstate_bytes key;
	int64_t expected, actual;

	if (get_bytes(compare, "key", &key))
		return 0;
	actual = compared_value(kvstate_find(kv, &key), compare, &expected);
	g_free(key.data);
	return actual == expected;
}

static const json_t *get_field(const json_t *object, const char *name,
			       const char *json_name)
{
	const json_t *field = json_object_get(object, name);

	return field ? field : json_object_get(object, json_name);
}

static const json_t *get_put(const json_t *operation)
{
	return get_field(operation, "request_put", "requestPut");
}

static const json_t *get_delete(const json_t *operation)
{
	return get_field(operation, "request_delete_range",
			 "requestDeleteRange");
}

/* Compares the base64 texts: one client encodes both keys alike. */
static int is_same_key(const json_t *put, const json_t *other)
{
	const char *a = json_string_value(json_object_get(put, "key"));
	const char *b = json_string_value(json_object_get(other, "key"));

	return a && b && !strcmp(a, b);
}

static int is_deleted_by(const json_t *put, const json_t *request)
{
	struct kvstate_bytes key, end, put_key;
	int is_deleted;

	if (get_range(request, &key, &end))
		return 0;
	get_bytes(put, "key", &put_key);
	is_deleted = kvstate_range_contains(&key, &end, &put_key);
	g_free(key.data);
	g_free(end.data);
	g_free(put_key.data);
	return is_deleted;
}

/* etcd rejects a key that is put twice, or put and deleted. */
static int has_duplicate_key(const json_t *operations, size_t i)
{
	const json_t *put = get_put(json_array_get(operations, i));
	size_t n;

	for (n = 0; put && n < json_array_size(operations); n++) {
		const json_t *other = json_array_get(operations, n);

		if (n != i && get_put(other) &&
		    is_same_key(put, get_put(other)))
			return 1;
		if (get_delete(other) && is_deleted_by(put, get_delete(other)))
			return 1;
	}
	return 0;
}

/* Checks all operations before any of them is applied. */
static int check_operations(struct kv *kv, const json_t *operations,
			    json_t **response)
{
	size_t i;

	for (i = 0; i < json_array_size(operations); i++) {
		const json_t *operation = json_array_get(operations, i);
		const json_t *put = get_put(operation);
		int64_t lease = get_int64(put, "lease");

		if ((!put && !get_delete(operation)) ||
		    has_duplicate_key(operations, i))
			return invalid_request(response);
		if (lease && !kvstate_lease_find(kv, lease))
			return error_response(response, 404, GRPC_NOT_FOUND,
					      "requested lease not found");
	}
	return 200;
}

static json_t *apply_put(struct kv *kv, const json_t *put)
{
	struct kvstate_bytes key, value;

	get_bytes(put, "key", &key);
	get_bytes(put, "value", &value);
	kvstate_put(kv, &key, &value, get_int64(put, "lease"));
	g_free(key.data);
	g_free(value.data);
	return json_pack("{s:{s:o}}", "response_put", "header",
			 header_json(kv));
}

static json_t *apply_delete(struct kv *kv, const json_t *request)
{
	struct kvstate_bytes key, end;
	size_t count = 0;

	if (!get_range(request, &key, &end)) {
		count = kvstate_delete(kv, &key, &end);
		g_free(key.data);
		g_free(end.data);
	}
	return json_pack("{s:{s:o, s:o}}", "response_delete_range", "header",
			 header_json(kv), "deleted",
			 int64_json((int64_t)count));
}

int storeapi_txn(struct kv *kv, const json_t *request, json_t **response)
{
	const json_t *compares = json_object_get(request, "compare");
	const json_t *operations;
	json_t *responses = NULL;
	int succeeded = 1;
	int status;
	size_t i;

	for (i = 0; i < json_array_size(compares); i++)
		succeeded &= compare_holds(kv, json_array_get(compares, i));
	operations =
		json_object_get(request, succeeded ? "success" : "failure");
	status = check_operations(kv, operations, response);
	if (status != 200)
		return status;
	if (json_array_size(operations)) {
		kvstate_advance_revision(kv);
		responses = json_array();
	}
	for (i = 0; i < json_array_size(operations); i++) {
		const json_t *operation = json_array_get(operations, i);
		const json_t *put = get_put(operation);

		json_array_append_new(
			responses,
			put ? apply_put(kv, put)
			    : apply_delete(kv, get_delete(operation)));
	}
	*response = json_pack("{s:o}", "header", header_json(kv));
	if (succeeded)
		json_object_set_new(*response, "succeeded", json_true());
	if (responses)
		json_object_set_new(*response, "responses", responses);
	return 200;
}

int storeapi_deleterange(struct kv *kv, const json_t *request,
			 json_t **response)
{
	struct kvstate_bytes key, end;
	size_t count;

	if (get_range(request, &key, &end))
		return invalid_request(response);
	kvstate_advance_revision(kv);
	count = kvstate_delete(kv, &key, &end);
	g_free(key.data);
	g_free(end.data);
	*response = json_pack("{s:o}", "header", header_json(kv));
	if (count)
		json_object_set_new(*response, "deleted",
				    int64_json((int64_t)count));
	return 200;
}

int storeapi_grant(struct kv *kv, const json_t *request, json_t **response)
{
	int64_t ttl_s = get_int64(request, "TTL");
	struct kvstate_lease *lease;

	if (ttl_s <= 0)
		return invalid_request(response);
	lease = kvstate_lease_grant(kv, ttl_s * 1000, sysclock_now().ms);
	*response =
		json_pack("{s:o, s:o, s:o}", "header", header_json(kv), "ID",
			  int64_json(lease->id), "TTL", int64_json(ttl_s));
	return 200;
}

/* The response for an unknown lease has no TTL and is not an error. */
int storeapi_keepalive(struct kv *kv, const json_t *request, json_t **response)
{
	int64_t id = get_int64(request, "ID");
	struct kvstate_lease *lease = kvstate_lease_find(kv, id);
	json_t *result = json_pack("{s:o, s:o}", "header", header_json(kv),
				   "ID", int64_json(id));

	if (lease) {
		lease->expires_at_ms = sysclock_now().ms + lease->ttl_ms;
		json_object_set_new(result, "TTL",
				    int64_json(lease->ttl_ms / 1000));
	}
	*response = json_pack("{s:o}", "result", result);
	return 200;
}

int storeapi_revoke(struct kv *kv, const json_t *request, json_t **response)
{
	struct kvstate_lease *lease =
		kvstate_lease_find(kv, get_int64(request, "ID"));

	if (!lease)
		return error_response(response, 404, GRPC_NOT_FOUND,
				      "requested lease not found");
	kvstate_lease_revoke(kv, lease);
	*response = json_pack("{s:o}", "header", header_json(kv));
	return 200;
}

int storeapi_watch(struct kv *kv, const json_t *request, json_t **response,
		   struct kvstate_bytes *key)
{
	const json_t *create =
		get_field(request, "create_request", "createRequest");

	if (!create || get_bytes(create, "key", key) || !key->len)
		return invalid_request(response);
	*response = json_pack("{s:{s:o, s:b}}", "result", "header",
			      header_json(kv), "created", 1);
	return 200;
}

json_t *storeapi_event(const struct kv *kv, const struct kvstate_item *item,
		       int is_deleted)
{
	json_t *event = json_pack("{s:o}", "kv", item_json(item, is_deleted));

	if (is_deleted)
		json_object_set_new(event, "type", json_string("DELETE"));
	return json_pack("{s:{s:o, s:[o]}}", "result", "header",
			 header_json(kv), "events", event);
}
