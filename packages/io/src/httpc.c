#include "httpc.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "errors.h"
#include "httpconn.h"
#include "list.h"
#include "mem.h"
#include "sysclock.h"

/* Keeps a call without timeout_ms from waiting for a lost SYN. */
#define CONNECT_TIMEOUT_MS 3000
/* A call that is cancelled after so long without a response has timed out. */
#define SILENT_MS 1000

struct httpc_call {
	struct list node; /* of pool->calls */
	struct httpc_pool *pool;
	struct connection *conn;
	struct evhttp_request *req;
	struct httpc_handlers handlers;
	void *arg;
	struct loop_timer *timer;
	int64_t timeout_ms;
	struct mstime started_at;
	int err;
	int has_size_limit;
	int is_starting;  /* inside evhttp_make_request() */
	int in_callback;  /* on_head() or on_data() runs */
	int is_cancelled; /* by httpc_cancel() inside a callback */
	int has_head;
	int is_paused;
};

static const struct {
	const char *name;
	enum evhttp_cmd_type type;
	int has_body;
} methods[] = {
	{ "GET", EVHTTP_REQ_GET, 0 },
	{ "HEAD", EVHTTP_REQ_HEAD, 0 },
	{ "POST", EVHTTP_REQ_POST, 1 },
	{ "PUT", EVHTTP_REQ_PUT, 1 },
	{ "DELETE", EVHTTP_REQ_DELETE, 0 },
	{ "OPTIONS", EVHTTP_REQ_OPTIONS, 0 },
	{ "PATCH", EVHTTP_REQ_PATCH, 1 },
};

/* Framing and hop-by-hop headers, which the client sets itself. */
static const char *const ignored_headers[] = {
	"Connection",
	"Content-Length",
	"Expect",
	"Keep-Alive",
	"TE",
	"Proxy-Connection",
	"Trailer",
	"Upgrade",
	"Transfer-Encoding",
};

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))

static void call_free(struct httpc_call *call, int reusable)
{
	list_del(&call->node);
	loop_timer_delete(call->timer);
	connection_release(call->conn, reusable);
	free(call);
}

static void call_end(struct httpc_call *call, int err, int status)
{
	struct httpc_handlers handlers = call->handlers;
	void *arg = call->arg;

	call_free(call, !err);
	handlers.on_end(arg, err, status);
}

/* evhttp frees the request; of its callbacks only on_error() may follow. */
static void abort_request(struct httpc_call *call)
{
	if (call->req)
		evhttp_cancel_request(call->req);
	call->req = NULL;
}

static void on_error(enum evhttp_request_error error, void *arg)
{
	struct httpc_call *call = arg;

	/* Without a limit evhttp reports a malformed chunk this way. */
	if (error == EVREQ_HTTP_DATA_TOO_LONG && call->has_size_limit)
		call->err = ERR_TOO_LARGE;
	else
		call->err = ERR_UNKNOWN;
}

/*
 * A response that ends when its connection closes cannot be told from one
 * whose server died, so it never counts as complete.
 */
static int has_known_end(struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	int status = evhttp_request_get_response_code(req);
	const char *encoding = evhttp_find_header(headers, "Transfer-Encoding");

	if (status < 200)
		return 0;
	return evhttp_request_get_command(req) == EVHTTP_REQ_HEAD ||
	       status == 204 || status == 304 ||
	       evhttp_find_header(headers, "Content-Length") ||
	       (encoding && !strcasecmp(encoding, "chunked"));
}

/*
 * Whether bytes were sent decides, not whether the connection is still there:
 * after a stop of the process, a timer may go before the reset is read.
 */
static int unanswered_error(const struct httpc_call *call)
{
	return call->conn->has_sent ? ERR_UNKNOWN : ERR_UNAVAILABLE;
}

/*
 * evhttp passes NULL when there is no response, but passes the request when it
 * could not connect.
 */
static int call_outcome(const struct httpc_call *call,
			struct evhttp_request *req)
{
	if (!req)
		return call->err ? call->err : ERR_UNKNOWN;
	if (!evhttp_request_get_response_code(req))
		return unanswered_error(call);
	return has_known_end(req) ? 0 : ERR_UNKNOWN;
}

static void on_done(struct evhttp_request *req, void *arg)
{
	struct httpc_call *call = arg;
	int err = call_outcome(call, req);

	call->req = NULL;
	if (call->is_cancelled) {
		call_free(call, 0);
		return;
	}
	if (call->is_starting) {
		call->err = err;
		loop_timer_start(call->timer, 0);
		return;
	}
	call_end(call, err, req ? evhttp_request_get_response_code(req) : 0);
}

/*
 * Reading may be enabled or disabled only while evhttp reads the body: it
 * exits the process when input arrives in another state of the connection.
 */
static void apply_pause(struct httpc_call *call)
{
	struct bufferevent *bev =
		evhttp_connection_get_bufferevent(call->conn->evcon);

	if (!call->has_head)
		return;
	if (call->is_paused)
		bufferevent_disable(bev, EV_READ);
	else
		bufferevent_enable(bev, EV_READ);
}

static void deliver_head(struct httpc_call *call, struct evhttp_request *req)
{
	struct evkeyvalq *queue = evhttp_request_get_input_headers(req);
	struct header_list headers = { NULL, 0 };
	struct evkeyval *item;
	size_t count = 0;

	TAILQ_FOREACH(item, queue, next)
	count++;
	headers.items = xcalloc(count, sizeof(*headers.items));
	TAILQ_FOREACH(item, queue, next)
	{
		headers.items[headers.count].name = item->key;
		headers.items[headers.count++].value = item->value;
	}
	call->in_callback = 1;
	call->handlers.on_head(call->arg, evhttp_request_get_response_code(req),
			       &headers);
	call->in_callback = 0;
	free(headers.items);
}

/* A negative return value makes evhttp end the request through on_done(). */
static int on_headers(struct evhttp_request *req, void *arg)
{
	struct httpc_call *call = arg;

	if (evhttp_request_get_response_code(req) < 200)
		return 0;
	call->has_head = 1;
	if (call->handlers.on_head)
		deliver_head(call, req);
	return call->is_cancelled ? -1 : 0;
}

static void on_chunk(struct evhttp_request *req, void *arg)
{
	struct httpc_call *call = arg;
	struct evbuffer *buf = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(buf);

	if (call->handlers.on_data && len) {
		call->in_callback = 1;
		call->handlers.on_data(call->arg, evbuffer_pullup(buf, -1),
				       len);
		call->in_callback = 0;
	}
	if (call->is_cancelled) {
		abort_request(call);
		call_free(call, 0);
		return;
	}
	/* evhttp reads on after the headers even if on_head() paused. */
	if (call->is_paused)
		apply_pause(call);
}

/*
 * Connections may become silent all at the same time, without a reset. One that
 * has answered since the call was sent is sound.
 */
static void drop_silent_connections(const struct httpc_call *call)
{
	connections_drop_idle(call->pool, call->started_at);
}

static void on_timer(void *arg)
{
	struct httpc_call *call = arg;
	int64_t remaining_ms = call->timeout_ms -
			       mstime_diff(sysclock_now(), call->started_at);
	int err = call->err;

	if (!call->req) {
		call_end(call, err ? err : unanswered_error(call), 0);
		return;
	}
	if (!connection_is_open(call->conn)) {
		err = unanswered_error(call);
	} else if (!call->timeout_ms) {
		return;
	} else if (remaining_ms > 0) {
		loop_timer_start(call->timer, remaining_ms);
		return;
	} else {
		err = ERR_TIMEOUT;
		drop_silent_connections(call);
	}
	abort_request(call);
	call_end(call, err, 0);
}

static int is_ignored_header(const char *name)
{
	size_t i;

	for (i = 0; i < COUNT(ignored_headers); i++)
		if (!strcasecmp(name, ignored_headers[i]))
			return 1;
	return 0;
}

static int add_headers(struct evhttp_request *req, const char *address,
		       const struct httpc_request *request, int has_body)
{
	struct evkeyvalq *queue = evhttp_request_get_output_headers(req);
	const struct header_list *headers = request->headers;
	char number[24];
	size_t i;

	for (i = 0; headers && i < headers->count; i++) {
		if (is_ignored_header(headers->items[i].name))
			continue;
		if (evhttp_add_header(queue, headers->items[i].name,
				      headers->items[i].value))
			return ERR_INVALID;
	}
	if (!evhttp_find_header(queue, "Host"))
		evhttp_add_header(queue, "Host", address);
	if (has_body || request->body_len) {
		snprintf(number, sizeof(number), "%zu", request->body_len);
		evhttp_add_header(queue, "Content-Length", number);
	}
	return 0;
}

static int is_valid_path(const char *path)
{
	if (*path != '/' && strcmp(path, "*"))
		return 0;
	for (; *path; path++)
		if (!isgraph((unsigned char)*path))
			return 0;
	return 1;
}

static struct evhttp_request *request_new(struct httpc_call *call,
					  const struct httpc_request *request,
					  int has_body)
{
	struct evhttp_request *req = evhttp_request_new(on_done, call);

	if (!req)
		return NULL;
	if (add_headers(req, call->pool->address, request, has_body)) {
		evhttp_request_free(req);
		return NULL;
	}
	evhttp_request_set_header_cb(req, on_headers);
	evhttp_request_set_chunked_cb(req, on_chunk);
	evhttp_request_set_error_cb(req, on_error);
	if (request->body_len)
		evbuffer_add(evhttp_request_get_output_buffer(req),
			     request->body, request->body_len);
	return req;
}

static struct httpc_call *call_new(struct httpc_pool *pool,
				   struct connection *conn,
				   const struct httpc_request *request,
				   const struct httpc_handlers *handlers,
				   void *arg)
{
	struct httpc_call *call = xcalloc(1, sizeof(*call));

	call->pool = pool;
	call->conn = conn;
	call->handlers = *handlers;
	call->arg = arg;
	call->timeout_ms = request->timeout_ms;
	call->has_size_limit = request->max_response_bytes > 0;
	call->started_at = sysclock_now();
	call->timer = loop_timer_new(pool->loop, on_timer, call);
	conn->call = call;
	conn->has_sent = 0;
	list_add_tail(&pool->calls, &call->node);
	return call;
}

static int64_t connect_timeout_ms(int64_t timeout_ms)
{
	if (timeout_ms && timeout_ms < CONNECT_TIMEOUT_MS)
		return timeout_ms;
	return CONNECT_TIMEOUT_MS;
}

static void call_send(struct httpc_call *call, const char *path,
		      enum evhttp_cmd_type type, size_t max_response_bytes)
{
	struct evhttp_connection *evcon = call->conn->evcon;

	evhttp_connection_set_max_body_size(
		evcon,
		max_response_bytes ? (ev_ssize_t)max_response_bytes : -1);
	loop_timer_start(call->timer, connect_timeout_ms(call->timeout_ms));
	call->is_starting = 1;
	if (evhttp_make_request(evcon, call->req, type, path)) {
		call->req = NULL;
		loop_timer_start(call->timer, 0);
	}
	call->is_starting = 0;
}

struct httpc_call *httpc_start(struct httpc_pool *pool,
			       const struct httpc_request *request,
			       const struct httpc_handlers *handlers, void *arg)
{
	struct connection *conn;
	struct httpc_call *call;
	size_t i = 0;

	while (i < COUNT(methods) && strcmp(methods[i].name, request->method))
		i++;
	if (i == COUNT(methods) || !is_valid_path(request->path))
		return NULL;
	conn = request->reuse_only ? connection_reuse(pool)
				   : connection_acquire(pool);
	if (!conn)
		return NULL;
	call = call_new(pool, conn, request, handlers, arg);
	call->req = request_new(call, request, methods[i].has_body);
	if (!call->req) {
		call_free(call, 1);
		return NULL;
	}
	call_send(call, request->path, methods[i].type,
		  request->max_response_bytes);
	return call;
}

void httpc_cancel(struct httpc_call *call)
{
	if (call->in_callback) {
		call->is_cancelled = 1;
		return;
	}
	if (!call->has_head &&
	    mstime_diff(sysclock_now(), call->started_at) >= SILENT_MS)
		drop_silent_connections(call);
	abort_request(call);
	call_free(call, 0);
}

void httpc_pause(struct httpc_call *call)
{
	call->is_paused = 1;
	apply_pause(call);
}

void httpc_resume(struct httpc_call *call)
{
	if (!call->is_paused)
		return;
	call->is_paused = 0;
	apply_pause(call);
}

static int parse_address(struct httpc_pool *pool, const char *address)
{
	const char *colon = strrchr(address, ':');
	struct in_addr ip;
	char *end;
	long port;

	if (!colon || str_copy(pool->address, address, HOST_SIZE))
		return ERR_INVALID;
	memcpy(pool->host, address, (size_t)(colon - address));
	port = strtol(colon + 1, &end, 10);
	if (*end || end == colon + 1 || port < 1 || port > UINT16_MAX)
		return ERR_INVALID;
	pool->port = (uint16_t)port;
	return inet_pton(AF_INET, pool->host, &ip) == 1 ? 0 : ERR_INVALID;
}

void httpc_pool_drop_idle(struct httpc_pool *pool, struct mstime since)
{
	connections_drop_idle(pool, since);
}

struct httpc_pool *httpc_pool_new(struct loop *loop, const char *address,
				  int max_idle)
{
	struct httpc_pool *pool = xcalloc(1, sizeof(*pool));

	if (parse_address(pool, address)) {
		free(pool);
		return NULL;
	}
	pool->loop = loop;
	pool->max_idle = max_idle;
	connections_init(pool);
	return pool;
}

void httpc_pool_delete(struct httpc_pool *pool)
{
	if (!pool)
		return;
	while (!list_empty(&pool->calls))
		httpc_cancel(
			list_entry(pool->calls.next, struct httpc_call, node));
	connections_free(pool);
	free(pool);
}
