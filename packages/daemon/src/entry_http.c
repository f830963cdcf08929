#include "entry_http.h"

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

#include "entry_headers.h"
#include "entry_impl.h"
#include "errors.h"
#include "mem.h"
#include "tcp.h"

#define HEADERS_MAX_BYTES (32 * 1024)
/* Pipelined input that is buffered while a request is in progress. */
#define PIPELINE_MAX_BYTES (64 * 1024)
/* The connection of a caller that does not read for so long is closed. */
#define WRITE_TIMEOUT_S 30
#define IDLE_TIMEOUT_S 60
#define ALLOWED_METHODS                                                        \
	(EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | \
	 EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH)

static const struct {
	enum evhttp_cmd_type type;
	const char *name;
} methods[] = {
	{ EVHTTP_REQ_GET, "GET" },	 { EVHTTP_REQ_HEAD, "HEAD" },
	{ EVHTTP_REQ_POST, "POST" },	 { EVHTTP_REQ_PUT, "PUT" },
	{ EVHTTP_REQ_DELETE, "DELETE" }, { EVHTTP_REQ_OPTIONS, "OPTIONS" },
	{ EVHTTP_REQ_PATCH, "PATCH" },
};

static const char *method_name(enum evhttp_cmd_type type)
{
	size_t i;

	for (i = 0; i < sizeof(methods) / sizeof(methods[0]); i++)
		if (methods[i].type == type)
			return methods[i].name;
	return "";
}

const char *exchange_header(const struct exchange *exchange, const char *name)
{
	return evhttp_find_header(
		evhttp_request_get_input_headers(exchange->http), name);
}

/* REQUEST carries deadline and body length in fields of their own. */
static int is_forwarded(const struct evkeyval *header, const char *connection)
{
	return !header_is_hop_by_hop(header->key) &&
	       !header_value_has_token(connection, header->key) &&
	       strcasecmp(header->key, "Content-Length") != 0 &&
	       strcasecmp(header->key, "Catkinhill-Deadline-Ms") != 0;
}

static void read_headers(struct exchange *exchange)
{
	struct evkeyvalq *input =
		evhttp_request_get_input_headers(exchange->http);
	const char *connection = evhttp_find_header(input, "Connection");
	struct evkeyval *header;
	size_t count = 0;

	TAILQ_FOREACH(header, input, next)
	count++;
	exchange->headers.items =
		xcalloc(count, sizeof(*exchange->headers.items));
	TAILQ_FOREACH(header, input, next)
	{
		if (!is_forwarded(header, connection))
			continue;
		exchange->headers.items[exchange->headers.count].name =
			header->key;
		exchange->headers.items[exchange->headers.count++].value =
			header->value;
	}
}

static void read_body(struct exchange *exchange)
{
	struct evbuffer *input =
		evhttp_request_get_input_buffer(exchange->http);

	exchange->body.len = evbuffer_get_length(input);
	if (exchange->body.len)
		exchange->body.data = evbuffer_pullup(input, -1);
}

static void exchange_free(struct exchange *exchange)
{
	list_del(&exchange->node);
	free(exchange->headers.items);
	entry_check_stopped(exchange->entry);
	free(exchange);
}

static void on_close(struct evhttp_connection *conn, void *arg)
{
	struct exchange *exchange = arg;

	exchange->conn = NULL;
	if (exchange->ended) {
		exchange_free(exchange);
		return;
	}
	/* evhttp no longer owns the request: it is freed by this module. */
	request_caller_left(exchange->request);
}

static void restore_idle_timeouts(struct evhttp_connection *conn)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn);
	struct timeval idle = { IDLE_TIMEOUT_S, 0 };
	struct timeval write = { WRITE_TIMEOUT_S, 0 };

	evhttp_connection_set_closecb(conn, NULL, NULL);
	bufferevent_setwatermark(bev, EV_READ, 0, 0);
	bufferevent_set_timeouts(bev, &idle, &write);
}

static void on_complete(struct evhttp_request *http, void *arg)
{
	struct exchange *exchange = arg;

	restore_idle_timeouts(exchange->conn);
	exchange_free(exchange);
}

/*
 * evhttp stops reading while a request is in progress and would not notice
 * that the caller disconnects. This keeps reading, without evhttp's read
 * callback, which must not run in this state; input of the next request
 * stays in the buffer up to the watermark.
 */
static void detect_disconnect(struct exchange *exchange)
{
	struct bufferevent *bev =
		evhttp_connection_get_bufferevent(exchange->conn);
	struct timeval write = { WRITE_TIMEOUT_S, 0 };
	bufferevent_data_cb on_write;
	bufferevent_event_cb on_event;
	void *arg;

	bufferevent_getcb(bev, NULL, &on_write, &on_event, &arg);
	bufferevent_setcb(bev, NULL, on_write, on_event, arg);
	bufferevent_setwatermark(bev, EV_READ, 0, PIPELINE_MAX_BYTES);
	bufferevent_set_timeouts(bev, NULL, &write);
	bufferevent_enable(bev, EV_READ);
	tcp_no_delay(bufferevent_getfd(bev));
	evhttp_connection_set_closecb(exchange->conn, on_close, exchange);
}

static void on_request(struct evhttp_request *http, void *arg)
{
	struct entry *entry = arg;
	struct exchange *exchange = xcalloc(1, sizeof(*exchange));
	char *address = NULL;
	ev_uint16_t port;

	exchange->entry = entry;
	exchange->http = http;
	exchange->conn = evhttp_request_get_connection(http);
	exchange->method = method_name(evhttp_request_get_command(http));
	exchange->path = evhttp_request_get_uri(http);
	exchange->host = evhttp_request_get_host(http);
	evhttp_connection_get_peer(exchange->conn, &address, &port);
	str_copy(exchange->caller_address, address ? address : "unknown",
		 sizeof(exchange->caller_address));
	read_headers(exchange);
	read_body(exchange);
	list_add_tail(&entry->exchanges, &exchange->node);
	detect_disconnect(exchange);
	request_new(entry, exchange);
}

static int response_has_no_body(const struct exchange *exchange, int status)
{
	return !strcmp(exchange->method, "HEAD") || status == 204 ||
	       status == 304 || status < 200;
}

static void add_headers(struct exchange *exchange,
			const struct header_list *headers)
{
	struct evkeyvalq *out =
		evhttp_request_get_output_headers(exchange->http);
	size_t i;

	for (i = 0; headers && i < headers->count; i++)
		evhttp_add_header(out, headers->items[i].name,
				  headers->items[i].value);
}

void exchange_send_head(struct exchange *exchange, int status,
			const struct header_list *headers, enum outcome outcome,
			const char *trace)
{
	struct evkeyvalq *out =
		evhttp_request_get_output_headers(exchange->http);

	exchange->head_sent = 1;
	if (!exchange->conn)
		return;
	add_headers(exchange, headers);
	evhttp_add_header(out, "Catkinhill-Outcome", outcome_name(outcome));
	if (trace)
		evhttp_add_header(out, "Catkinhill-Trace", trace);
	if (exchange->close_after_response || exchange->entry->stopping)
		evhttp_add_header(out, "Connection", "close");
	evhttp_send_reply_start(exchange->http, status, NULL);
}

static void on_written(struct evhttp_connection *conn, void *arg)
{
	struct exchange *exchange = arg;
	size_t bytes = exchange->unwritten_bytes;

	exchange->unwritten_bytes = 0;
	if (bytes && exchange->request)
		request_on_response_written(exchange->request, bytes);
}

void exchange_send_body(struct exchange *exchange, const void *data, size_t len)
{
	struct evbuffer *chunk;

	if (!exchange->conn || !len)
		return;
	chunk = evbuffer_new();
	if (!chunk || evbuffer_add(chunk, data, len))
		abort();
	exchange->unwritten_bytes += len;
	evhttp_send_reply_chunk_with_cb(exchange->http, chunk, on_written,
					exchange);
	evbuffer_free(chunk);
}

static void free_without_conn(struct exchange *exchange)
{
	/* evhttp does not free a request whose connection is closed. */
	evhttp_request_free(exchange->http);
	exchange_free(exchange);
}

void exchange_end(struct exchange *exchange)
{
	exchange->ended = 1;
	exchange->request = NULL;
	if (!exchange->conn) {
		free_without_conn(exchange);
		return;
	}
	evhttp_request_set_on_complete_cb(exchange->http, on_complete,
					  exchange);
	evhttp_send_reply_end(exchange->http);
}

/*
 * Closing discards the output buffer of the bufferevent; the caller should at
 * least receive a response head that is still in it.
 */
static void flush_output(struct evhttp_connection *conn)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn);
	struct evbuffer *output = bufferevent_get_output(bev);

	evbuffer_unfreeze(output, 1);
	evbuffer_write(output, bufferevent_getfd(bev));
}

void exchange_abort(struct exchange *exchange)
{
	exchange->ended = 1;
	exchange->request = NULL;
	if (!exchange->conn) {
		free_without_conn(exchange);
		return;
	}
	evhttp_connection_set_closecb(exchange->conn, NULL, NULL);
	flush_output(exchange->conn);
	evhttp_connection_free(exchange->conn);
	exchange_free(exchange);
}

void exchange_reply(struct exchange *exchange, int status, enum outcome outcome,
		    const char *trace, const char *text)
{
	char length[32];
	struct http_header items[] = {
		{ "Content-Type", "text/plain" },
		{ "Content-Length", length },
		{ "Retry-After", "1" },
	};
	struct header_list headers = { items, 2 };
	char *body = xstrfmt("%s\n", text);

	snprintf(length, sizeof(length), "%zu", strlen(body));
	if (status == 429 || status == 503)
		headers.count = 3;
	exchange_send_head(exchange, status, &headers, outcome, trace);
	if (!response_has_no_body(exchange, status))
		exchange_send_body(exchange, body, strlen(body));
	free(body);
	exchange_end(exchange);
}

static int bind_address(struct entry *entry, const char *address)
{
	const char *colon = strrchr(address, ':');
	char ip[ID_SIZE];
	long port;

	if (!colon || str_copy(ip, address, sizeof(ip)))
		return ERR_SYSTEM;
	ip[colon - address] = '\0';
	port = strtol(colon + 1, NULL, 10);
	if (port < 0 || port > 65535)
		return ERR_SYSTEM;
	entry->listener = evhttp_bind_socket_with_handle(entry->http, ip,
							 (ev_uint16_t)port);
	return entry->listener ? 0 : ERR_SYSTEM;
}

int entry_http_start(struct entry *entry)
{
	struct timeval idle = { IDLE_TIMEOUT_S, 0 };

	entry->http = evhttp_new(loop_base(entry->daemon->loop));
	if (!entry->http)
		abort();
	evhttp_set_max_body_size(entry->http, REQUEST_BODY_MAX_BYTES);
	evhttp_set_max_headers_size(entry->http, HEADERS_MAX_BYTES);
	evhttp_set_allowed_methods(entry->http, ALLOWED_METHODS);
	evhttp_set_timeout_tv(entry->http, &idle);
	evhttp_set_default_content_type(entry->http, NULL);
	/* Reads the rest of a request that is too large, then responds 413. */
	evhttp_set_flags(entry->http, EVHTTP_SERVER_LINGERING_CLOSE);
	evhttp_set_gencb(entry->http, on_request, entry);
	return bind_address(entry, entry->daemon->settings->callers);
}

void entry_http_stop_accepting(struct entry *entry)
{
	if (entry->listener)
		evhttp_del_accept_socket(entry->http, entry->listener);
	entry->listener = NULL;
}

void entry_http_stop(struct entry *entry)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &entry->exchanges)
		exchange_abort(list_entry(pos, struct exchange, node));
	if (entry->http)
		evhttp_free(entry->http);
	entry->http = NULL;
}
