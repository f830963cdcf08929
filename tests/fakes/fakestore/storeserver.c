#include "storeserver.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#include "errors.h"
#include "kvstate.h"
#include "list.h"
#include "mem.h"
#include "storeapi.h"
#include "sysclock.h"

#define EXPIRY_CHECK_INTERVAL_MS 50
#define REQUEST_BODY_MAX_BYTES (4 * 1024 * 1024)
#define CONNECTION_TIMEOUT_S (24 * 3600) /* longer than any test */

enum mode {
	MODE_OK,
	MODE_REFUSE,
	MODE_HANG
};

static const char *const mode_names[] = {
	[MODE_OK] = "ok",
	[MODE_REFUSE] = "refuse",
	[MODE_HANG] = "hang",
};

struct storeserver {
	struct loop *loop;
	struct evhttp *http;	     /* NULL while refusing connections */
	struct evhttp *control_http; /* NULL if http also serves /control */
	char *address;
	struct kv kv;
	struct loop_timer *expiry_timer;
	struct list pending; /* unanswered requests, and watches */
	enum mode mode;
	int delay_ms, responses_to_lose;
	enum store_request_kind lost_response_kind;
	int watch_count;
	int64_t request_counts[STORE_REQUEST_KIND_COUNT];
};

/* A request without a complete response: delayed, lost, or a watch. */
struct pending_request {
	struct list node;
	struct storeserver *server;
	struct evhttp_request *req;
	struct evhttp_connection *evcon;
	struct loop_timer *timer;
	int is_watch, is_dropped;
	struct kvstate_bytes key; /* of a watch */
	int status;
	json_t *response;
};

typedef int (*request_fn)(struct kv *kv, const json_t *request,
			  json_t **response);
typedef void (*handler_fn)(struct evhttp_request *req, void *arg);

static const struct {
	const char *path;
	const char *name;
	request_fn fn;
} endpoints[STORE_REQUEST_KIND_COUNT] = {
	[STORE_RANGE] = { "/v3/kv/range", "range", storeapi_range },
	[STORE_TXN] = { "/v3/kv/txn", "txn", storeapi_txn },
	[STORE_DELETERANGE] = { "/v3/kv/deleterange", "deleterange",
				storeapi_deleterange },
	[STORE_GRANT] = { "/v3/lease/grant", "grant", storeapi_grant },
	[STORE_KEEPALIVE] = { "/v3/lease/keepalive", "keepalive",
			      storeapi_keepalive },
	[STORE_REVOKE] = { "/v3/lease/revoke", "revoke", storeapi_revoke },
	[STORE_WATCH] = { "/v3/watch", "watch", NULL },
};

static struct evbuffer *json_line(const json_t *json)
{
	struct evbuffer *buf = evbuffer_new();
	char *text = json_dumps(json, JSON_COMPACT);

	evbuffer_add_printf(buf, "%s\n", text);
	free(text);
	return buf;
}

static void send_response(struct evhttp_request *req, int status,
			  json_t *response)
{
	struct evbuffer *buf = json_line(response);

	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/json");
	evhttp_send_reply(req, status, NULL, buf);
	evbuffer_free(buf);
	json_decref(response);
}

static void pending_free(struct pending_request *pending)
{
	list_del(&pending->node);
	loop_timer_delete(pending->timer);
	pending->server->watch_count -= pending->is_watch;
	free(pending->key.data);
	json_decref(pending->response);
	free(pending);
}

/* evhttp does not free the request when its connection is closed. */
static void on_close(struct evhttp_connection *evcon, void *arg)
{
	struct pending_request *pending = arg;

	evhttp_request_free(pending->req);
	pending_free(pending);
}

static void drop_connection(struct pending_request *pending)
{
	evhttp_connection_set_closecb(pending->evcon, NULL, NULL);
	evhttp_connection_free(pending->evcon);
	pending_free(pending);
}

static void on_pending_timer(void *arg)
{
	struct pending_request *pending = arg;

	if (pending->is_dropped) {
		drop_connection(pending);
		return;
	}
	evhttp_connection_set_closecb(pending->evcon, NULL, NULL);
	send_response(pending->req, pending->status,
		      json_incref(pending->response));
	pending_free(pending);
}

static struct pending_request *pending_new(struct storeserver *server,
					   struct evhttp_request *req)
{
	struct pending_request *pending = xcalloc(1, sizeof(*pending));

	pending->server = server;
	pending->req = req;
	pending->evcon = evhttp_request_get_connection(req);
	pending->timer =
		loop_timer_new(server->loop, on_pending_timer, pending);
	list_add_tail(&server->pending, &pending->node);
	evhttp_connection_set_closecb(pending->evcon, on_close, pending);
	/* Without reading, evhttp would not notice a disconnect. */
	bufferevent_enable(evhttp_connection_get_bufferevent(pending->evcon),
			   EV_READ);
	return pending;
}

static void drop_connection_later(struct storeserver *server,
				  struct evhttp_request *req)
{
	struct pending_request *pending = pending_new(server, req);

	pending->is_dropped = 1;
	loop_timer_start(pending->timer, 0);
}

static void start_watch(struct storeserver *server, struct evhttp_request *req,
			const json_t *request)
{
	struct kvstate_bytes key;
	struct pending_request *pending;
	struct evbuffer *buf;
	json_t *response;
	int status = storeapi_watch(&server->kv, request, &response, &key);

	if (status != 200) {
		send_response(req, status, response);
		return;
	}
	pending = pending_new(server, req);
	pending->is_watch = 1;
	pending->key = key;
	server->watch_count++;
	evhttp_send_reply_start(req, 200, "OK");
	buf = json_line(response);
	evhttp_send_reply_chunk(req, buf);
	evbuffer_free(buf);
	json_decref(response);
}

static void on_change(void *arg, const struct kvstate_item *item,
		      int is_deleted)
{
	struct storeserver *server = arg;
	json_t *event = storeapi_event(&server->kv, item, is_deleted);
	struct list *pos;

	list_for_each (pos, &server->pending) {
		struct pending_request *pending =
			list_entry(pos, struct pending_request, node);
		struct evbuffer *buf;

		if (!pending->is_watch || pending->key.len != item->key.len ||
		    memcmp(pending->key.data, item->key.data, item->key.len))
			continue;
		buf = json_line(event);
		evhttp_send_reply_chunk(pending->req, buf);
		evbuffer_free(buf);
	}
	json_decref(event);
}

static json_t *read_body(struct evhttp_request *req)
{
	struct evbuffer *buf = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(buf);

	return json_loadb((char *)evbuffer_pullup(buf, -1), len, 0, NULL);
}

static void execute_request(struct storeserver *server,
			    struct evhttp_request *req,
			    enum store_request_kind kind, const json_t *request)
{
	struct pending_request *pending;
	json_t *response;
	int status;

	status = endpoints[kind].fn(&server->kv, request, &response);
	if (server->responses_to_lose && kind == server->lost_response_kind) {
		server->responses_to_lose--;
		json_decref(response);
		drop_connection_later(server, req);
	} else if (server->delay_ms) {
		pending = pending_new(server, req);
		pending->status = status;
		pending->response = response;
		loop_timer_start(pending->timer, server->delay_ms);
	} else {
		send_response(req, status, response);
	}
}

static void handle_request(struct storeserver *server,
			   struct evhttp_request *req,
			   enum store_request_kind kind)
{
	json_t *request;

	server->request_counts[kind]++;
	if (server->mode == MODE_HANG) {
		pending_new(server, req);
		return;
	}
	if (server->mode == MODE_REFUSE) {
		drop_connection_later(server, req);
		return;
	}
	request = read_body(req);
	if (!json_is_object(request))
		evhttp_send_error(req, 400, "Bad Request");
	else if (kind == STORE_WATCH)
		start_watch(server, req, request);
	else
		execute_request(server, req, kind, request);
	json_decref(request);
}

static int find_name(const char *const *names, int count, const char *name)
{
	int i;

	for (i = 0; i < count; i++)
		if (name && !strcmp(names[i], name))
			return i;
	return -1;
}

static void drop_pending(struct storeserver *server, int only_watches)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &server->pending) {
		struct pending_request *pending =
			list_entry(pos, struct pending_request, node);

		if (pending->is_watch || !only_watches)
			drop_connection(pending);
	}
}

static struct evhttp *listen_at(struct storeserver *server, const char *address,
				handler_fn fn)
{
	const char *colon = strrchr(address, ':');
	struct evhttp *http;
	char host[64];

	if (!colon || (size_t)(colon - address) >= sizeof(host))
		return NULL;
	memcpy(host, address, (size_t)(colon - address));
	host[colon - address] = '\0';
	http = evhttp_new(loop_base(server->loop));
	evhttp_set_max_body_size(http, REQUEST_BODY_MAX_BYTES);
	evhttp_set_timeout(http, CONNECTION_TIMEOUT_S);
	evhttp_set_gencb(http, fn, server);
	if (!evhttp_bind_socket(http, host, (uint16_t)atoi(colon + 1)))
		return http;
	evhttp_free(http);
	return NULL;
}

static void restart_leases(struct storeserver *server)
{
	int64_t now_ms = sysclock_now().ms;
	struct list *pos;

	list_for_each (pos, &server->kv.leases) {
		struct kvstate_lease *lease =
			list_entry(pos, struct kvstate_lease, node);

		lease->expires_at_ms = now_ms + lease->ttl_ms;
	}
}

static void on_request(struct evhttp_request *req, void *arg);

static int set_mode(struct storeserver *server, enum mode mode)
{
	if (mode == MODE_REFUSE)
		drop_pending(server, 0);
	if (mode == MODE_REFUSE && server->control_http && server->http) {
		evhttp_free(server->http);
		server->http = NULL;
	}
	if (mode != MODE_REFUSE && !server->http) {
		server->http = listen_at(server, server->address, on_request);
		if (!server->http)
			return ERR_INVALID;
	}
	if (mode == MODE_OK && server->mode != MODE_OK)
		restart_leases(server);
	server->mode = mode;
	return 0;
}

static int find_request_kind(const char *name)
{
	int i;

	for (i = 0; i < STORE_REQUEST_KIND_COUNT; i++)
		if (name && !strcmp(endpoints[i].name, name))
			return i;
	return -1;
}

static int apply_control(struct storeserver *server, const json_t *json)
{
	const json_t *mode = json_object_get(json, "mode");
	const json_t *kind = json_object_get(json, "lose_kind");
	const json_t *delay = json_object_get(json, "delay_ms");
	const json_t *lose = json_object_get(json, "lose_answers");
	int new_mode =
		find_name(mode_names, MODE_HANG + 1, json_string_value(mode));
	int new_kind = find_request_kind(json_string_value(kind));

	if (!json_is_object(json) || (mode && new_mode < 0) ||
	    (kind && new_kind < 0) || (delay && !json_is_integer(delay)) ||
	    (lose && !json_is_integer(lose)))
		return ERR_INVALID;
	if (delay)
		server->delay_ms = (int)json_integer_value(delay);
	if (lose)
		server->responses_to_lose = (int)json_integer_value(lose);
	if (kind)
		server->lost_response_kind = (enum store_request_kind)new_kind;
	if (json_is_true(json_object_get(json, "break_watches")))
		drop_pending(server, 1);
	if (json_is_true(json_object_get(json, "expire_leases")))
		kvstate_expire_leases(&server->kv, INT64_MAX);
	return mode ? set_mode(server, (enum mode)new_mode) : 0;
}

static json_t *state_json(const struct storeserver *server)
{
	json_t *counts = json_object();
	int i;

	for (i = 0; i < STORE_REQUEST_KIND_COUNT; i++)
		json_object_set_new(counts, endpoints[i].name,
				    json_integer(server->request_counts[i]));
	return json_pack("{s:s, s:i, s:i, s:s, s:I, s:I, s:i, s:o}", "mode",
			 mode_names[server->mode], "delay_ms", server->delay_ms,
			 "lose_answers", server->responses_to_lose, "lose_kind",
			 endpoints[server->lost_response_kind].name, "revision",
			 (json_int_t)server->kv.revision, "keys",
			 (json_int_t)server->kv.count, "watches",
			 server->watch_count, "calls", counts);
}

static void on_control(struct evhttp_request *req, void *arg)
{
	struct storeserver *server = arg;
	json_t *json;
	int err = 0;

	if (evhttp_request_get_command(req) != EVHTTP_REQ_GET) {
		json = read_body(req);
		err = apply_control(server, json);
		json_decref(json);
	}
	send_response(req, err ? 400 : 200, state_json(server));
}

static void on_request(struct evhttp_request *req, void *arg)
{
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	struct storeserver *server = arg;
	int i;

	if (!strcmp(path, "/control") && !server->control_http) {
		on_control(req, server);
		return;
	}
	for (i = 0; i < STORE_REQUEST_KIND_COUNT; i++) {
		if (strcmp(path, endpoints[i].path))
			continue;
		handle_request(server, req, (enum store_request_kind)i);
		return;
	}
	evhttp_send_error(req, 404, "Not Found");
}

static void on_expiry_timer(void *arg)
{
	struct storeserver *server = arg;

	if (server->mode == MODE_OK)
		kvstate_expire_leases(&server->kv, sysclock_now().ms);
	loop_timer_start(server->expiry_timer, EXPIRY_CHECK_INTERVAL_MS);
}

struct storeserver *storeserver_new(struct loop *loop, const char *address,
				    const char *control_address)
{
	struct storeserver *server = xcalloc(1, sizeof(*server));

	server->loop = loop;
	server->address = xstrdup(address);
	server->lost_response_kind = STORE_TXN;
	server->expiry_timer = loop_timer_new(loop, on_expiry_timer, server);
	list_init(&server->pending);
	kvstate_init(&server->kv, on_change, server);
	loop_timer_start(server->expiry_timer, EXPIRY_CHECK_INTERVAL_MS);
	server->http = listen_at(server, address, on_request);
	if (control_address)
		server->control_http =
			listen_at(server, control_address, on_control);
	if (server->http && (!control_address || server->control_http))
		return server;
	storeserver_delete(server);
	return NULL;
}

void storeserver_delete(struct storeserver *server)
{
	if (!server)
		return;
	drop_pending(server, 0);
	if (server->http)
		evhttp_free(server->http);
	if (server->control_http)
		evhttp_free(server->control_http);
	loop_timer_delete(server->expiry_timer);
	kvstate_clear(&server->kv);
	free(server->address);
	free(server);
}

int storeserver_control(struct storeserver *server, const char *json)
{
	json_t *control = json_loads(json, 0, NULL);
	int err = apply_control(server, control);

	json_decref(control);
	return err;
}

int64_t storeserver_request_count(const struct storeserver *server,
				  enum store_request_kind kind)
{
	return server->request_counts[kind];
}

int storeserver_watch_count(const struct storeserver *server)
{
	return server->watch_count;
}
