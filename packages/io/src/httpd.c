#include "httpd.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "httplimit.h"
#include "list.h"
#include "mem.h"
#include "tcp.h"

#define HEADERS_MAX_BYTES (32 * 1024)
#define IDLE_TIMEOUT_S 60
#define HOST_SIZE 64
/* Of a refusal for want of room, which lasts as long as a few requests. */
#define RETRY_AFTER_S "1"
#define ALLOWED_METHODS                                                        \
	(EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | \
	 EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH)

struct httpd {
	struct evhttp *http;
	struct evhttp_bound_socket *socket;
	struct httplimit *limit; /* NULL without limits */
	size_t body_limit;	 /* of httpd_new() */
	size_t body_max;	 /* in force */
	httpd_fn fn;
	void *arg;
	struct list pending;
	struct list unsent;   /* responses */
	size_t pending_count; /* requests, and responses that are not sent */
	int keepalive_disabled;
};

struct httpd_request {
	struct list node;
	struct httpd *httpd;
	struct evhttp_request *req;
	char *path;
	char *body;
	size_t len;
};

/* A response that is not written to its connection yet. */
struct unsent_response {
	struct list node;
	struct httpd *httpd;
};

static const struct {
	enum evhttp_cmd_type type;
	const char *name;
} methods[] = {
	{ EVHTTP_REQ_GET, "GET" },	 { EVHTTP_REQ_HEAD, "HEAD" },
	{ EVHTTP_REQ_POST, "POST" },	 { EVHTTP_REQ_PUT, "PUT" },
	{ EVHTTP_REQ_DELETE, "DELETE" }, { EVHTTP_REQ_OPTIONS, "OPTIONS" },
	{ EVHTTP_REQ_PATCH, "PATCH" },
};

static void request_free(struct httpd_request *request)
{
	list_del(&request->node);
	request->httpd->pending_count--;
	free(request->path);
	free(request->body);
	free(request);
}

static void unsent_free(struct unsent_response *response)
{
	list_del(&response->node);
	response->httpd->pending_count--;
	free(response);
}

static void on_unsent(void *arg)
{
	unsent_free(arg);
}

static void on_closed(struct evhttp_connection *conn, void *arg)
{
	unsent_free(arg);
}

static void on_sent(struct evhttp_request *req, void *arg)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);
	struct unsent_response *response = arg;

	if (response->httpd->limit)
		httplimit_end(response->httpd->limit, conn);
	else
		evhttp_connection_set_closecb(conn, NULL, NULL);
	unsent_free(response);
}

/* The connection, if there still is one, is busy until the response is sent. */
static void track_response(struct httpd *httpd, struct evhttp_request *req)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);
	struct unsent_response *response;

	if (!conn)
		return;
	response = xcalloc(1, sizeof(*response));
	response->httpd = httpd;
	list_add_tail(&httpd->unsent, &response->node);
	httpd->pending_count++;
	evhttp_request_set_on_complete_cb(req, on_sent, response);
	if (httpd->limit)
		httplimit_on_close(httpd->limit, conn, on_unsent, response);
	else
		evhttp_connection_set_closecb(conn, on_closed, response);
}

static void read_body(struct httpd_request *request)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(request->req);

	request->len = evbuffer_get_length(in);
	request->body = xmalloc(request->len + 1);
	evbuffer_remove(in, request->body, request->len);
	request->body[request->len] = '\0';
}

/* RETURN VALUE: 0, or the status of a refusal. */
static int check_room(struct httpd *httpd, struct evhttp_request *req)
{
	size_t len = evbuffer_get_length(evhttp_request_get_input_buffer(req));

	if (httpd->limit &&
	    httplimit_begin(httpd->limit, evhttp_request_get_connection(req),
			    len))
		return HTTP_SERVUNAVAIL;
	/* A connection keeps the limit that was in force at its start. */
	return len > httpd->body_max ? HTTP_ENTITYTOOLARGE : 0;
}

static void refuse(struct httpd_request *request, int status)
{
	if (status == HTTP_SERVUNAVAIL)
		httpd_add_header(request, "Retry-After", RETRY_AFTER_S);
	httpd_reply(request, status, "{}");
}

static void on_request(struct evhttp_request *req, void *arg)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = uri ? evhttp_uri_get_path(uri) : NULL;
	struct evhttp_connection *conn = evhttp_request_get_connection(req);
	struct httpd *httpd = arg;
	struct httpd_request *request = xcalloc(1, sizeof(*request));
	int status = check_room(httpd, req);

	tcp_no_delay(
		bufferevent_getfd(evhttp_connection_get_bufferevent(conn)));
	request->httpd = httpd;
	request->req = req;
	request->path = xstrdup(path ? path : "");
	list_add_tail(&httpd->pending, &request->node);
	httpd->pending_count++;
	if (status) {
		refuse(request, status);
		return;
	}
	read_body(request);
	httpd->fn(httpd->arg, request);
}

static int bind_address(struct httpd *httpd, const char *address)
{
	char host[HOST_SIZE];
	const char *colon = strrchr(address, ':');

	if (!colon || (size_t)(colon - address) >= sizeof(host))
		return -1;
	memcpy(host, address, (size_t)(colon - address));
	host[colon - address] = '\0';
	httpd->socket = evhttp_bind_socket_with_handle(
		httpd->http, host, (ev_uint16_t)atoi(colon + 1));
	return httpd->socket ? 0 : -1;
}

struct httpd *httpd_new(struct loop *loop, const char *address, size_t body_max,
			httpd_fn fn, void *arg)
{
	struct httpd *httpd = xcalloc(1, sizeof(*httpd));

	httpd->fn = fn;
	httpd->arg = arg;
	httpd->body_limit = body_max;
	httpd->body_max = body_max;
	list_init(&httpd->pending);
	list_init(&httpd->unsent);
	httpd->http = evhttp_new(loop_base(loop));
	if (!httpd->http)
		abort();
	if (bind_address(httpd, address)) {
		httpd_delete(httpd);
		return NULL;
	}
	evhttp_set_allowed_methods(httpd->http, ALLOWED_METHODS);
	evhttp_set_max_body_size(httpd->http, (ev_ssize_t)body_max);
	evhttp_set_max_headers_size(httpd->http, HEADERS_MAX_BYTES);
	evhttp_set_timeout(httpd->http, IDLE_TIMEOUT_S);
	evhttp_set_gencb(httpd->http, on_request, httpd);
	return httpd;
}

void httpd_delete(struct httpd *httpd)
{
	struct list *pos, *tmp;

	if (!httpd)
		return;
	list_for_each_safe (pos, tmp, &httpd->pending)
		request_free(list_entry(pos, struct httpd_request, node));
	/* Ends the connections, and with them the unsent responses. */
	evhttp_free(httpd->http);
	httplimit_delete(httpd->limit);
	free(httpd);
}

void httpd_set_limits(struct httpd *httpd, struct loop *loop, const char *door,
		      const struct budget_limits *limits,
		      struct metric_set *set)
{
	httpd->limit =
		httplimit_new(loop, httpd->http, door, limits,
			      httpd->body_limit + HEADERS_MAX_BYTES, set);
}

void httpd_set_body_max(struct httpd *httpd, size_t body_max)
{
	httpd->body_max =
		body_max < httpd->body_limit ? body_max : httpd->body_limit;
	evhttp_set_max_body_size(httpd->http, (ev_ssize_t)httpd->body_max);
}

void httpd_disable_keepalive(struct httpd *httpd)
{
	httpd->keepalive_disabled = 1;
}

size_t httpd_pending_count(const struct httpd *httpd)
{
	return httpd->pending_count;
}

const char *httpd_method(const struct httpd_request *request)
{
	enum evhttp_cmd_type type = evhttp_request_get_command(request->req);
	size_t i;

	for (i = 0; i < sizeof(methods) / sizeof(methods[0]); i++)
		if (methods[i].type == type)
			return methods[i].name;
	return "";
}

const char *httpd_path(const struct httpd_request *request)
{
	return request->path;
}

const char *httpd_query(const struct httpd_request *request)
{
	const struct evhttp_uri *uri =
		evhttp_request_get_evhttp_uri(request->req);
	const char *query = uri ? evhttp_uri_get_query(uri) : NULL;

	return query ? query : "";
}

const char *httpd_header(const struct httpd_request *request, const char *name)
{
	return evhttp_find_header(
		evhttp_request_get_input_headers(request->req), name);
}

const char *httpd_body(const struct httpd_request *request, size_t *len)
{
	*len = request->len;
	return request->body;
}

void httpd_add_header(struct httpd_request *request, const char *name,
		      const char *value)
{
	evhttp_add_header(evhttp_request_get_output_headers(request->req), name,
			  value);
}

void httpd_reply(struct httpd_request *request, int status, const char *body)
{
	struct evbuffer *out = evbuffer_new();

	if (!out)
		abort();
	if (body) {
		evbuffer_add(out, body, strlen(body));
		httpd_add_header(request, "Content-Type", "application/json");
	}
	if (request->httpd->keepalive_disabled)
		httpd_add_header(request, "Connection", "close");
	track_response(request->httpd, request->req);
	evhttp_send_reply(request->req, status, NULL, out);
	evbuffer_free(out);
	request_free(request);
}
