#include "jsoncall.h"

#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "httpc.h"
#include "jsontrim.h"
#include "mem.h"

struct jsoncall_peer {
	struct loop *loop;
	struct httpc_pool *pool;
};

struct jsoncall {
	jsoncall_fn fn;
	void *arg;
	struct httpc_call *http;
	struct loop_timer *error_timer; /* reports that it cannot be sent */
	int start_error;
	char *body;
	size_t len, size;
	struct jsontrim trim; /* max is 0: not used */
	size_t max_trimmed_bytes;
	int is_too_large;
};

static void call_free(struct jsoncall *call)
{
	if (call->http)
		httpc_cancel(call->http);
	loop_timer_delete(call->error_timer);
	free(call->body);
	free(call);
}

static void call_end(struct jsoncall *call, int err, int status)
{
	call->http = NULL;
	if (call->body)
		call->body[call->len] = '\0';
	call->fn(call->arg, err, status, call->body ? call->body : "",
		 call->len);
	call_free(call);
}

static void on_data(void *arg, const void *data, size_t len)
{
	struct jsoncall *call = arg;

	if (call->is_too_large)
		return;
	if (call->len + len + 1 > call->size) {
		call->size = (call->len + len + 1) * 2;
		call->body = xrealloc(call->body, call->size);
	}
	if (!call->trim.max) {
		memcpy(call->body + call->len, data, len);
		call->len += len;
		return;
	}
	call->len += jsontrim(&call->trim, call->body + call->len, data, len);
	if (call->len <= call->max_trimmed_bytes)
		return;
	call->is_too_large = 1;
	call->len = 0;
}

static void on_end(void *arg, int err, int status)
{
	const struct jsoncall *call = arg;

	call_end(arg, !err && call->is_too_large ? ERR_TOO_LARGE : err, status);
}

static void on_error_timer(void *arg)
{
	struct jsoncall *call = arg;

	call_end(call, call->start_error, 0);
}

struct jsoncall_peer *jsoncall_peer_new(struct loop *loop, const char *address,
					int max_idle)
{
	struct httpc_pool *pool = httpc_pool_new(loop, address, max_idle);
	struct jsoncall_peer *peer;

	if (!pool)
		return NULL;
	peer = xcalloc(1, sizeof(*peer));
	peer->loop = loop;
	peer->pool = pool;
	return peer;
}

void jsoncall_peer_delete(struct jsoncall_peer *peer)
{
	if (!peer)
		return;
	httpc_pool_delete(peer->pool);
	free(peer);
}

void jsoncall_peer_drop_idle(struct jsoncall_peer *peer, struct mstime since)
{
	httpc_pool_drop_idle(peer->pool, since);
}

int jsoncall_peer_is_connected(const struct jsoncall_peer *peer)
{
	return httpc_pool_is_connected(peer->pool);
}

struct jsoncall *jsoncall_start(struct jsoncall_peer *peer,
				const struct jsoncall_request *request,
				jsoncall_fn fn, void *arg)
{
	static const struct httpc_handlers handlers = { .on_data = on_data,
							.on_end = on_end };
	struct jsoncall *call = xcalloc(1, sizeof(*call));
	struct http_header list[2];
	struct header_list headers = { list, 0 };
	struct httpc_request http = { .method = request->method,
				      .path = request->path,
				      .headers = &headers,
				      .body = request->body,
				      .timeout_ms = request->timeout_ms,
				      .reuse_only = request->reuse_only,
				      .max_response_bytes =
					      request->max_response_bytes };

	if (request->body) {
		http.body_len = strlen(request->body);
		list[headers.count].name = "Content-Type";
		list[headers.count++].value = "application/json";
	}
	if (request->header.name)
		list[headers.count++] = request->header;
	call->fn = fn;
	call->arg = arg;
	call->trim.max = request->max_string_bytes;
	call->max_trimmed_bytes = request->max_trimmed_bytes;
	call->http = httpc_start(peer->pool, &http, &handlers, call);
	if (call->http)
		return call;
	call->start_error = request->reuse_only ? ERR_UNAVAILABLE : ERR_INVALID;
	call->error_timer = loop_timer_new(peer->loop, on_error_timer, call);
	loop_timer_start(call->error_timer, 0);
	return call;
}

void jsoncall_cancel(struct jsoncall *call)
{
	if (call)
		call_free(call);
}
