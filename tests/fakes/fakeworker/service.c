#include "fakeworker/fakeworker.h"

#include <stdlib.h>
#include <string.h>

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>

#include "mem.h"

#define WATCH_INTERVAL_DEFAULT_MS 50
#define ABORTED_BODY_BYTES 1000

/* One request in flight or one open watch stream. */
struct exchange {
	struct worker *worker;
	struct evhttp_request *request;
	struct event *timer;
	char watch_name[64];
	int64_t event_id;
	int64_t interval_ms;
	int status;
	char *data;
	size_t len;
	void (*finish)(struct exchange *exchange);
};

static int64_t query_number(struct evhttp_request *request, const char *key,
			    int64_t default_value)
{
	struct evkeyvalq params;
	const char *value, *query;
	int64_t number = default_value;

	query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
	if (!query || evhttp_parse_query_str(query, &params))
		return default_value;
	value = evhttp_find_header(&params, key);
	if (value)
		number = strtoll(value, NULL, 10);
	evhttp_clear_headers(&params);
	return number;
}

static const char *get_header(struct evhttp_request *request, const char *name)
{
	const char *value = evhttp_find_header(
		evhttp_request_get_input_headers(request), name);

	return value ? value : "";
}

static void record_execution(struct worker *worker,
			     struct evhttp_request *request, const void *data,
			     size_t len)
{
	gchar *digest =
		g_compute_checksum_for_data(G_CHECKSUM_SHA256, data, len);

	digest[16] = '\0';
	record_add(worker,
		   json_pack("{s:s, s:s, s:s, s:s}", "kind", "execute", "id",
			     get_header(request, "X-Request-Id"), "key",
			     get_header(request, "Idempotency-Key"), "digest",
			     digest));
	g_free(digest);
}

static void exchange_end(struct exchange *exchange)
{
	record_usage(exchange->worker, USAGE_CONNECTIONS, -1);
	if (exchange->timer)
		event_free(exchange->timer);
	free(exchange->data);
	free(exchange);
}

static int should_drop_response(struct worker *worker)
{
	if (worker->faults.drop_response_count <= 0)
		return 0;
	worker->faults.drop_response_count--;
	return 1;
}

static void send_response(struct exchange *exchange)
{
	struct evbuffer *body = evbuffer_new();

	record_usage(exchange->worker, USAGE_SLOTS, -1);
	if (should_drop_response(exchange->worker)) {
		close_without_response(exchange->worker, exchange->request);
	} else {
		evbuffer_add(body, exchange->data, exchange->len);
		evhttp_send_reply(exchange->request, exchange->status, NULL,
				  body);
	}
	evbuffer_free(body);
	exchange_end(exchange);
}

/* Takes ownership of data. */
static void set_response(struct exchange *exchange, int status, char *data,
			 size_t len)
{
	exchange->status = status;
	exchange->data = data;
	exchange->len = len;
	exchange->finish = send_response;
}

static void begin_echo(struct exchange *exchange)
{
	struct evbuffer *input =
		evhttp_request_get_input_buffer(exchange->request);
	size_t len = evbuffer_get_length(input);
	char *data;

	if (evhttp_request_get_command(exchange->request) == EVHTTP_REQ_GET) {
		data = xstrfmt("echo %s",
			       get_header(exchange->request, "X-Request-Id"));
		set_response(exchange, 200, data, strlen(data));
		return;
	}
	data = xmalloc(len + 1);
	evbuffer_remove(input, data, len);
	set_response(exchange, 200, data, len);
}

static void begin_work(struct exchange *exchange)
{
	char *data = xstrfmt("worked %s",
			     get_header(exchange->request, "X-Request-Id"));

	set_response(exchange, 200, data, strlen(data));
}

static void begin_bytes(struct exchange *exchange)
{
	int64_t i, n = query_number(exchange->request, "n", 0);
	char *data;

	if (n < 0 || n > 64 * 1024 * 1024)
		n = 0;
	data = xmalloc((size_t)n + 1);
	for (i = 0; i < n; i++)
		data[i] = (char)('a' + i % 26);
	set_response(exchange, 200, data, (size_t)n);
}

static void begin_publish(struct exchange *exchange)
{
	char *data;

	data = xstrfmt("published %lld",
		       (long long)++exchange->worker->publish_count);
	set_response(exchange, 200, data, strlen(data));
}

static void on_abort_timer(void *arg, int shutting_down)
{
	struct exchange *exchange = arg;

	if (shutting_down)
		request_release(exchange->request);
	else
		close_without_response(exchange->worker, exchange->request);
	record_usage(exchange->worker, USAGE_SLOTS, -1);
	exchange_end(exchange);
}

static void serve_aborted(struct exchange *exchange)
{
	struct evbuffer *half_body = evbuffer_new();
	int i;

	for (i = 0; i < ABORTED_BODY_BYTES / 2; i++)
		evbuffer_add(half_body, "c", 1);
	evhttp_add_header(evhttp_request_get_output_headers(exchange->request),
			  "Content-Length", "1000");
	evhttp_send_reply_start(exchange->request, 200, NULL);
	evhttp_send_reply_chunk(exchange->request, half_body);
	evbuffer_free(half_body);
	call_later(exchange->worker, 100, on_abort_timer, exchange);
}

static void on_watch_closed(struct evhttp_connection *connection, void *arg)
{
	struct exchange *exchange = arg;

	request_release(exchange->request);
	exchange_end(exchange);
}

static void on_watch_event(evutil_socket_t fd, short what, void *arg)
{
	struct exchange *exchange = arg;
	struct evbuffer *chunk = evbuffer_new();
	struct timeval tv = { 0, 0 };

	exchange->event_id++;
	evbuffer_add_printf(chunk, "id: %lld\ndata: %s %lld\n\n",
			    (long long)exchange->event_id, exchange->watch_name,
			    (long long)exchange->event_id);
	evhttp_send_reply_chunk(exchange->request, chunk);
	evbuffer_free(chunk);
	tv.tv_sec = exchange->interval_ms / 1000;
	tv.tv_usec = exchange->interval_ms % 1000 * 1000;
	event_add(exchange->timer, &tv);
}

static void set_watch_name(struct exchange *exchange)
{
	const struct evhttp_uri *uri =
		evhttp_request_get_evhttp_uri(exchange->request);
	const char *query = evhttp_uri_get_query(uri);
	struct evkeyvalq params;
	const char *name;

	str_copy(exchange->watch_name, "watch", sizeof(exchange->watch_name));
	if (!query || evhttp_parse_query_str(query, &params))
		return;
	name = evhttp_find_header(&params, "name");
	if (name)
		str_copy(exchange->watch_name, name,
			 sizeof(exchange->watch_name));
	evhttp_clear_headers(&params);
}

static void serve_watch(struct exchange *exchange)
{
	struct worker *worker = exchange->worker;

	if (!evhttp_request_get_connection(exchange->request)) {
		record_usage(worker, USAGE_SLOTS, -1);
		exchange_end(exchange);
		return;
	}
	set_watch_name(exchange);
	exchange->interval_ms = query_number(exchange->request, "every_ms",
					     WATCH_INTERVAL_DEFAULT_MS);
	exchange->event_id = strtoll(
		get_header(exchange->request, "Last-Event-ID"), NULL, 10);
	exchange->timer = evtimer_new(worker->base, on_watch_event, exchange);
	evhttp_add_header(evhttp_request_get_output_headers(exchange->request),
			  "Content-Type", "text/event-stream");
	evhttp_connection_set_closecb(
		evhttp_request_get_connection(exchange->request),
		on_watch_closed, exchange);
	record_usage(worker, USAGE_SLOTS, -1);
	evhttp_send_reply_start(exchange->request, 200, NULL);
	on_watch_event(-1, 0, exchange);
}

static void begin_aborted(struct exchange *exchange)
{
	exchange->finish = serve_aborted;
}

static void begin_watch(struct exchange *exchange)
{
	exchange->finish = serve_watch;
}

static const struct {
	const char *path;
	void (*begin)(struct exchange *exchange);
} endpoints[] = {
	{ "/echo", begin_echo },   { "/work", begin_work },
	{ "/bytes", begin_bytes }, { "/publish", begin_publish },
	{ "/cut", begin_aborted }, { "/watch", begin_watch },
};

static void begin_exchange(struct exchange *exchange)
{
	const char *path = evhttp_uri_get_path(
		evhttp_request_get_evhttp_uri(exchange->request));
	size_t i;

	if (exchange->worker->faults.fail_all) {
		set_response(exchange, 500, xstrdup("failed"), 6);
		return;
	}
	for (i = 0; i < sizeof(endpoints) / sizeof(endpoints[0]); i++) {
		if (strcmp(endpoints[i].path, path))
			continue;
		endpoints[i].begin(exchange);
		return;
	}
	set_response(exchange, 404, xstrdup("no such path"), 12);
}

static void on_delay_timer(void *arg, int shutting_down)
{
	struct exchange *exchange = arg;

	if (shutting_down) {
		request_release(exchange->request);
		exchange_end(exchange);
	} else {
		exchange->finish(exchange);
	}
}

/*
 * The effect is recorded on receipt, so that the record has it even if the
 * worker is killed before it responds. A request holds its slot until its delay
 * has passed, also after the client disconnected, as in a real service.
 */
void service_serve(struct worker *worker, struct evhttp_request *request)
{
	struct exchange *exchange = xcalloc(1, sizeof(*exchange));
	int64_t delay_ms =
		worker->faults.service_delay_ms + tasks_delay_ms(worker);

	exchange->worker = worker;
	exchange->request = request;
	record_usage(worker, USAGE_CONNECTIONS, 1);
	record_usage(worker, USAGE_SLOTS, 1);
	delay_ms += query_number(request, "ms", 0);
	begin_exchange(exchange);
	record_execution(worker, request, exchange->data ? exchange->data : "",
			 exchange->len);
	if (delay_ms <= 0) {
		exchange->finish(exchange);
		return;
	}
	call_later(worker, delay_ms, on_delay_timer, exchange);
}
