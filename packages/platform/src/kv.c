#include "kv.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/http.h>

#include "errors.h"
#include "jsoncall.h"
#include "kv_json.h"
#include "list.h"
#include "mem.h"
#include "sysclock.h"

#define IDLE_CONNECTIONS 8
#define PATH_SIZE 512
/* A page of items or one value, and more changes than usual at once. */
#define RESPONSE_MAX_BYTES (4 * 1024 * 1024)
/* A transaction that conflicts returns several values. */
#define CONFLICT_MAX_BYTES (8 * 1024 * 1024)
/* Added to the wait of a watch to get the timeout of its call. */
#define WATCH_TIMEOUT_MARGIN_MS 700

enum call_kind {
	CALL_GET,
	CALL_LIST,
	CALL_WATCH,
	CALL_TXN,
	CALL_LEASE
};

struct call {
	struct list node;
	struct kv *kv;
	enum call_kind kind;
	kv_fn fn;
	void *arg;
	struct jsoncall *http;
	struct mstime started_at;
	char *prefix;
	struct kv_items items;
	int64_t revision;
	int is_paged;	  /* each page has a callback */
	int is_cancelled; /* in the callback of a page */
};

struct kv {
	int64_t timeout_ms;
	struct jsoncall_peer *peer;
	struct list calls;
	struct call *in_page; /* whose page is delivered; NULL: none is */
	int64_t latency_ms;
	int is_unresponsive;
};

static void call_free(struct call *call)
{
	list_del(&call->node);
	jsoncall_cancel(call->http);
	kv_items_clear(&call->items);
	free(call->prefix);
	free(call);
}

static void call_finish(struct call *call, struct kv_result *result)
{
	kv_fn fn = call->fn;
	void *arg = call->arg;

	call->http = NULL;
	list_del(&call->node);
	fn(arg, result);
	call_free(call);
}

static void call_fail(struct call *call, int err)
{
	struct kv_result result = { .err = err };

	call_finish(call, &result);
}

/* Error for the HTTP status of a complete response. */
static int status_error(const struct call *call, int status)
{
	switch (status) {
	case 200:
		return 0;
	case 429:
	case 503:
		return ERR_UNAVAILABLE;
	case 404:
	case 410:
		return ERR_NOT_FOUND;
	case 412:
		return ERR_CONFLICT;
	case 400:
	case 403:
	case 413:
		return ERR_INVALID;
	}
	return call->kind == CALL_TXN ? ERR_UNKNOWN : ERR_UNAVAILABLE;
}

static void call_start(struct call *call, const char *method, const char *path,
		       const char *body, int64_t timeout_ms);

static void list_start(struct call *call, const char *after)
{
	char *encoded_prefix = evhttp_uriencode(call->prefix, -1, 0);
	char *encoded_after = evhttp_uriencode(after, -1, 0);
	char *path =
		xstrfmt("/catkinhill/kv-range?prefix=%s%s%s", encoded_prefix,
			*after ? "&after=" : "", encoded_after);

	call_start(call, "GET", path, NULL, call->kv->timeout_ms);
	free(path);
	free(encoded_prefix);
	free(encoded_after);
}

static void record_latency(struct call *call)
{
	struct kv *kv = call->kv;
	int64_t elapsed_ms = mstime_diff(sysclock_now(), call->started_at);

	if (call->kind == CALL_WATCH)
		return;
	kv->latency_ms = kv->latency_ms ? (kv->latency_ms * 3 + elapsed_ms) / 4
					: elapsed_ms;
	if (!kv->latency_ms)
		kv->latency_ms = 1;
}

/* RETURN VALUE: 0 if the callback has cancelled the call. */
static int deliver_page(struct call *call)
{
	struct kv *kv = call->kv;
	struct kv_result result = { .revision = call->revision,
				    .items = call->items.items,
				    .count = call->items.count,
				    .has_more = 1 };

	list_del(&call->node);
	kv->in_page = call;
	call->fn(call->arg, &result);
	kv->in_page = NULL;
	if (call->is_cancelled) {
		call_free(call);
		return 0;
	}
	list_add_tail(&kv->calls, &call->node);
	return 1;
}

/* A page without a new key cannot be told from the whole list. */
static void request_next_page(struct call *call)
{
	size_t count = call->items.count;
	char *last;

	if (!count) {
		call_fail(call, ERR_MALFORMED);
		return;
	}
	last = xstrdup(call->items.items[count - 1].key);
	if (!call->is_paged || deliver_page(call)) {
		if (call->is_paged)
			kv_items_clear(&call->items);
		list_start(call, last);
	}
	free(last);
}

static int is_truncated(const struct call *call, const json_t *root)
{
	return call->kind == CALL_LIST &&
	       json_is_true(json_object_get(root, "truncated"));
}

static void parse_items(struct call *call, const json_t *root)
{
	const char *field = call->kind == CALL_WATCH ? "events" : "items";
	json_t *rows;

	if (call->kind != CALL_GET) {
		kv_json_append_items(&call->items,
				     json_object_get(root, field));
		return;
	}
	rows = json_array();
	json_array_append(rows, (json_t *)root);
	kv_json_append_items(&call->items, rows);
	json_decref(rows);
}

static void call_complete(struct call *call, int err, const char *body,
			  size_t len)
{
	json_t *root = json_loadb(body, len, 0, NULL);
	struct kv_result result = { .err = err };
	const json_t *revision;

	if (!root && !err && call->kind != CALL_LEASE) {
		call_fail(call,
			  call->kind == CALL_TXN ? ERR_UNKNOWN : ERR_MALFORMED);
		return;
	}
	parse_items(call, root);
	revision = json_object_get(
		root, call->kind == CALL_TXN ? "revision" : "storeRevision");
	if (!call->revision)
		call->revision = json_integer_value(revision);
	if (is_truncated(call, root)) {
		json_decref(root);
		request_next_page(call);
		return;
	}
	result.revision = call->revision;
	result.lease = json_integer_value(json_object_get(root, "lease"));
	result.ttl_ms = json_integer_value(json_object_get(root, "ttlMs"));
	result.items = call->items.items;
	result.count = call->items.count;
	json_decref(root);
	call_finish(call, &result);
}

static int call_error(const struct call *call, int err)
{
	if (err == ERR_UNAVAILABLE || err == ERR_INVALID ||
	    (err == ERR_TOO_LARGE && call->kind == CALL_WATCH))
		return err;
	return ERR_UNKNOWN;
}

static void on_end(void *arg, int err, int status, const char *body, size_t len)
{
	struct call *call = arg;

	call->http = NULL;
	call->kv->is_unresponsive = err && err != ERR_TOO_LARGE;
	if (err) {
		call_fail(call, call_error(call, err));
		return;
	}
	record_latency(call);
	err = status_error(call, status);
	if (err && err != ERR_CONFLICT)
		call_fail(call, err);
	else
		call_complete(call, err, body, len);
}

static void call_start(struct call *call, const char *method, const char *path,
		       const char *body, int64_t timeout_ms)
{
	struct jsoncall_request request = { .method = method,
					    .path = path,
					    .body = body,
					    .timeout_ms = timeout_ms };

	request.max_response_bytes = call->kind == CALL_TXN
					     ? CONFLICT_MAX_BYTES
					     : RESPONSE_MAX_BYTES;
	call->started_at = sysclock_now();
	call->http = jsoncall_start(call->kv->peer, &request, on_end, call);
}

static struct call *call_new(struct kv *kv, enum call_kind kind, kv_fn fn,
			     void *arg)
{
	struct call *call = xcalloc(1, sizeof(*call));

	call->kv = kv;
	call->kind = kind;
	call->fn = fn;
	call->arg = arg;
	list_add_tail(&kv->calls, &call->node);
	return call;
}

struct kv *kv_new(struct loop *loop, const char *address, int64_t timeout_ms)
{
	struct jsoncall_peer *peer =
		jsoncall_peer_new(loop, address, IDLE_CONNECTIONS);
	struct kv *kv;

	if (!peer)
		return NULL;
	kv = xcalloc(1, sizeof(*kv));
	kv->timeout_ms = timeout_ms;
	kv->peer = peer;
	list_init(&kv->calls);
	return kv;
}

static void cancel_calls(struct kv *kv, const void *arg)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &kv->calls) {
		struct call *call = list_entry(pos, struct call, node);

		if (!arg || call->arg == arg)
			call_free(call);
	}
	if (kv->in_page && (!arg || kv->in_page->arg == arg))
		kv->in_page->is_cancelled = 1;
}

void kv_delete(struct kv *kv)
{
	if (!kv)
		return;
	cancel_calls(kv, NULL);
	jsoncall_peer_delete(kv->peer);
	free(kv);
}

void kv_cancel(struct kv *kv, const void *arg)
{
	cancel_calls(kv, arg);
}

void kv_get(struct kv *kv, const char *key, kv_fn fn, void *arg)
{
	struct call *call = call_new(kv, CALL_GET, fn, arg);
	char *encoded = evhttp_uriencode(key, -1, 0);
	char path[PATH_SIZE];

	snprintf(path, sizeof(path), "/catkinhill/kv-key?key=%s", encoded);
	free(encoded);
	call_start(call, "GET", path, NULL, kv->timeout_ms);
}

void kv_list(struct kv *kv, const char *prefix, kv_fn fn, void *arg)
{
	struct call *call = call_new(kv, CALL_LIST, fn, arg);

	call->prefix = xstrdup(prefix);
	list_start(call, "");
}

void kv_list_pages(struct kv *kv, const char *prefix, kv_fn fn, void *arg)
{
	struct call *call = call_new(kv, CALL_LIST, fn, arg);

	call->prefix = xstrdup(prefix);
	call->is_paged = 1;
	list_start(call, "");
}

void kv_watch(struct kv *kv, const char *prefix, int64_t after, int64_t wait_ms,
	      kv_fn fn, void *arg)
{
	struct call *call = call_new(kv, CALL_WATCH, fn, arg);
	char *encoded = evhttp_uriencode(prefix, -1, 0);
	char path[PATH_SIZE];

	snprintf(path, sizeof(path),
		 "/catkinhill/kv-watch?prefix=%s&after=%" PRId64
		 "&waitMs=%" PRId64,
		 encoded, after, wait_ms);
	free(encoded);
	call_start(call, "GET", path, NULL, wait_ms + WATCH_TIMEOUT_MARGIN_MS);
}

void kv_txn(struct kv *kv, const struct kv_txn *txn, kv_fn fn, void *arg)
{
	struct call *call = call_new(kv, CALL_TXN, fn, arg);
	char *body = kv_json_encode_txn(txn);

	call_start(call, "POST", "/catkinhill/kv-txn", body, kv->timeout_ms);
	free(body);
}

void kv_lease_grant(struct kv *kv, int64_t ttl_ms, kv_fn fn, void *arg)
{
	struct call *call = call_new(kv, CALL_LEASE, fn, arg);
	char body[64];

	snprintf(body, sizeof(body), "{\"ttlMs\":%" PRId64 "}", ttl_ms);
	call_start(call, "POST", "/catkinhill/kv-lease", body, kv->timeout_ms);
}

static void lease_call(struct kv *kv, const char *method, const char *name,
		       int64_t lease, kv_fn fn, void *arg)
{
	struct call *call = call_new(kv, CALL_LEASE, fn, arg);
	char path[PATH_SIZE];

	snprintf(path, sizeof(path), "/catkinhill/%s/%" PRId64, name, lease);
	call_start(call, method, path, NULL, kv->timeout_ms);
}

void kv_lease_renew(struct kv *kv, int64_t lease, kv_fn fn, void *arg)
{
	lease_call(kv, "POST", "kv-keep", lease, fn, arg);
}

void kv_lease_end(struct kv *kv, int64_t lease, kv_fn fn, void *arg)
{
	lease_call(kv, "DELETE", "kv-lease-end", lease, fn, arg);
}

int64_t kv_latency_ms(const struct kv *kv)
{
	return kv->latency_ms;
}

int kv_is_unresponsive(const struct kv *kv)
{
	return kv->is_unresponsive;
}
