#include "store.h"

#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "mem.h"
#include "storecall.h"
#include "storejson.h"

#define IDLE_CONNECTIONS_MAX 4

struct store_call {
	struct list node; /* of store->pending */
	struct store *store;
	const struct operation *operation;
	struct httpc_call *http;
	struct loop_timer *failure_timer; /* when the start failed */
	struct response_buffer response;
	int err;
	int64_t lease;
	union {
		store_get_fn get;
		store_list_fn list;
		store_write_fn write;
		store_lease_fn lease;
	} fn;
	void *arg;
};

enum operation_kind {
	OPERATION_READ,
	OPERATION_RENEW, /* idempotent */
	OPERATION_WRITE
};

/* finish() calls the callback; response is NULL if err is not 0. */
struct operation {
	const char *path;
	enum operation_kind kind;
	void (*finish)(struct store_call *call, int err,
		       const json_t *response);
};

static void call_free(struct store_call *call)
{
	list_del(&call->node);
	loop_timer_delete(call->failure_timer);
	response_buffer_clear(&call->response);
	free(call);
}

/*
 * A write whose response cannot be decoded may have taken effect. "Not found"
 * for a read means that the server has no such path, not that the key is
 * missing.
 */
static int adjust_outcome(enum operation_kind kind, int err)
{
	if (err == ERR_MALFORMED && kind == OPERATION_WRITE)
		return ERR_UNKNOWN;
	if (err == ERR_NOT_FOUND && kind == OPERATION_READ)
		return ERR_MALFORMED;
	return err;
}

static void call_end(struct store_call *call, int err, const json_t *response)
{
	/* Unlinked first, so that store_cancel() in fn does not free it. */
	list_del(&call->node);
	err = adjust_outcome(call->operation->kind, err);
	call->operation->finish(call, err, err ? NULL : response);
	call_free(call);
}

static void on_data(void *arg, const void *data, size_t len)
{
	struct store_call *call = arg;

	response_buffer_append(&call->response, data, len);
}

static void on_end(void *arg, int http_err, int status)
{
	struct store_call *call = arg;
	json_t *response = NULL;

	call->http = NULL;
	if (!http_err && call->response.len)
		response = json_loadb(call->response.data, call->response.len,
				      JSON_DISABLE_EOF_CHECK, NULL);
	call_end(call, store_outcome(http_err, status, response), response);
	json_decref(response);
}

static void on_failure(void *arg)
{
	struct store_call *call = arg;

	call_end(call, call->err, NULL);
}

static const struct httpc_handlers http_handlers = { NULL, on_data, on_end };

static struct store_call *call_new(struct store *store,
				   const struct operation *operation, void *arg)
{
	struct store_call *call = xcalloc(1, sizeof(*call));

	call->store = store;
	call->operation = operation;
	call->arg = arg;
	list_add_tail(&store->pending, &call->node);
	return call;
}

static void fail_later(struct store_call *call, int err)
{
	call->err = err;
	call->failure_timer =
		loop_timer_new(call->store->loop, on_failure, call);
	loop_timer_start(call->failure_timer, 0);
}

static void call_start(struct store_call *call, char *body)
{
	call->http = store_post(call->store, call->operation->path, body,
				call->store->timeout_ms, &http_handlers, call);
	if (!call->http)
		fail_later(call, ERR_UNAVAILABLE);
}

struct store *store_new(struct loop *loop, const char *address,
			int64_t timeout_ms)
{
	struct store *store = xcalloc(1, sizeof(*store));

	store->loop = loop;
	store->timeout_ms = timeout_ms;
	list_init(&store->pending);
	list_init(&store->watches);
	store->pool = httpc_pool_new(loop, address, IDLE_CONNECTIONS_MAX);
	if (store->pool)
		return store;
	free(store);
	return NULL;
}

void store_delete(struct store *store)
{
	if (!store)
		return;
	store_watches_detach(store);
	httpc_pool_delete(store->pool);
	while (!list_empty(&store->pending))
		call_free(list_entry(store->pending.next, struct store_call,
				     node));
	free(store);
}

void store_cancel(struct store *store, const void *arg)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &store->pending) {
		struct store_call *call =
			list_entry(pos, struct store_call, node);

		if (call->arg != arg)
			continue;
		if (call->http)
			httpc_cancel(call->http);
		call_free(call);
	}
}

int64_t store_call_count(const struct store *store)
{
	return store->call_count;
}

static int read_items(const json_t *response, struct store_item **items,
		      size_t *count)
{
	const json_t *kvs = json_object_get(response, "kvs");
	size_t i;

	*count = 0;
	*items = xcalloc(json_array_size(kvs), sizeof(**items));
	if (kvs && !json_is_array(kvs))
		return ERR_MALFORMED;
	for (i = 0; i < json_array_size(kvs); i++) {
		if (storejson_decode_item(json_array_get(kvs, i), &(*items)[i]))
			return ERR_MALFORMED;
		(*count)++;
	}
	return 0;
}

static void free_items(struct store_item *items, size_t count)
{
	while (count)
		storejson_item_clear(&items[--count]);
	free(items);
}

static void finish_get(struct store_call *call, int err, const json_t *response)
{
	struct store_item *items = NULL;
	size_t count = 0;

	if (!err)
		err = read_items(response, &items, &count);
	if (!err && !count)
		err = ERR_NOT_FOUND;
	call->fn.get(call->arg, err, err ? NULL : items);
	free_items(items, count);
}

static void finish_list(struct store_call *call, int err,
			const json_t *response)
{
	struct store_item *items = NULL;
	size_t count = 0;

	if (!err)
		err = read_items(response, &items, &count);
	call->fn.list(call->arg, err, err ? NULL : items, err ? 0 : count);
	free_items(items, count);
}

static void finish_write(struct store_call *call, int err,
			 const json_t *response)
{
	int64_t revision = 0;

	if (!err)
		err = storejson_decode_write(response, &revision);
	if (err == ERR_MALFORMED)
		err = ERR_UNKNOWN;
	call->fn.write(call->arg, err, err ? 0 : revision);
}

static void finish_grant(struct store_call *call, int err,
			 const json_t *response)
{
	int64_t lease = 0;

	if (!err && (storejson_decode_int(response, "ID", &lease) || !lease))
		err = ERR_UNKNOWN;
	call->fn.lease(call->arg, err, err ? 0 : lease);
}

/* The response is a stream of one message; the TTL of a gone lease is 0. */
static void finish_keepalive(struct store_call *call, int err,
			     const json_t *response)
{
	const json_t *result = json_object_get(response, "result");
	int64_t ttl = 0;

	if (!err && (!json_is_object(result) ||
		     storejson_decode_int(result, "TTL", &ttl)))
		err = ERR_MALFORMED;
	if (!err && ttl <= 0)
		err = ERR_NOT_FOUND;
	call->fn.lease(call->arg, err, call->lease);
}

static void finish_revoke(struct store_call *call, int err,
			  const json_t *response)
{
	call->fn.lease(call->arg, err, call->lease);
}

static const struct operation op_get = { "/v3/kv/range", OPERATION_READ,
					 finish_get };
static const struct operation op_list = { "/v3/kv/range", OPERATION_READ,
					  finish_list };
static const struct operation op_write = { "/v3/kv/txn", OPERATION_WRITE,
					   finish_write };
static const struct operation op_grant = { "/v3/lease/grant", OPERATION_WRITE,
					   finish_grant };
static const struct operation op_keepalive = { "/v3/lease/keepalive",
					       OPERATION_RENEW,
					       finish_keepalive };
static const struct operation op_revoke = { "/v3/lease/revoke", OPERATION_WRITE,
					    finish_revoke };

void store_get(struct store *store, const char *key, store_get_fn fn, void *arg)
{
	struct store_call *call = call_new(store, &op_get, arg);

	call->fn.get = fn;
	call_start(call, storejson_encode_get(key));
}

void store_list(struct store *store, const char *prefix, int limit,
		store_list_fn fn, void *arg)
{
	struct store_call *call = call_new(store, &op_list, arg);

	call->fn.list = fn;
	call_start(call, storejson_encode_list(prefix, limit));
}

void store_range(struct store *store, const char *first, const char *end,
		 int limit, store_list_fn fn, void *arg)
{
	struct store_call *call = call_new(store, &op_list, arg);

	call->fn.list = fn;
	call_start(call, storejson_encode_range(first, end, limit));
}

static int is_too_large(const struct store_change *changes, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (changes[i].len > STORE_VALUE_MAX_BYTES)
			return 1;
	return 0;
}

void store_txn(struct store *store, const struct store_compare *compares,
	       size_t compare_count, const struct store_change *changes,
	       size_t change_count, store_write_fn fn, void *arg)
{
	struct store_call *call = call_new(store, &op_write, arg);

	call->fn.write = fn;
	if (is_too_large(changes, change_count))
		fail_later(call, ERR_TOO_LARGE);
	else
		call_start(call, storejson_encode_txn(compares, compare_count,
						      changes, change_count));
}

void store_put_if(struct store *store, const char *key, int64_t revision,
		  const void *value, size_t len, int64_t lease,
		  store_write_fn fn, void *arg)
{
	struct store_call *call = call_new(store, &op_write, arg);

	call->fn.write = fn;
	if (len > STORE_VALUE_MAX_BYTES)
		fail_later(call, ERR_TOO_LARGE);
	else
		call_start(call, storejson_encode_put_if(key, revision, value,
							 len, lease));
}

void store_delete_if(struct store *store, const char *key, int64_t revision,
		     store_write_fn fn, void *arg)
{
	struct store_call *call = call_new(store, &op_write, arg);

	call->fn.write = fn;
	call_start(call, storejson_encode_delete_if(key, revision));
}

static void lease_call(struct store *store, const struct operation *operation,
		       int64_t lease, char *body, store_lease_fn fn, void *arg)
{
	struct store_call *call = call_new(store, operation, arg);

	call->fn.lease = fn;
	call->lease = lease;
	call_start(call, body);
}

void store_lease_grant(struct store *store, int64_t ttl_seconds,
		       store_lease_fn fn, void *arg)
{
	lease_call(store, &op_grant, 0, storejson_encode_grant(ttl_seconds), fn,
		   arg);
}

void store_lease_keepalive(struct store *store, int64_t lease,
			   store_lease_fn fn, void *arg)
{
	lease_call(store, &op_keepalive, lease, storejson_encode_lease(lease),
		   fn, arg);
}

void store_lease_revoke(struct store *store, int64_t lease, store_lease_fn fn,
			void *arg)
{
	lease_call(store, &op_revoke, lease, storejson_encode_lease(lease), fn,
		   arg);
}
