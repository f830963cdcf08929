#include "fakeworker/fakeworker.h"

#include <stdlib.h>
#include <string.h>

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>

#include "mem.h"

#define WATCH_INTERVAL_MS 50
#define CUT_LENGTH 1000

/* One request in progress, or one open watch. */
struct work {
	struct worker *worker;
	struct evhttp_request *request;
	struct event *timer;
	char watch[64];
	int64_t event_id;
	int64_t interval_ms;
	int status;
	char *data;
	size_t len;
	void (*finish)(struct work *work);
};

static int64_t query_number(struct evhttp_request *request, const char *key,
			    int64_t initial)
{
	struct evkeyvalq params;
	const char *value, *query;
	int64_t number = initial;

	query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
	if (!query || evhttp_parse_query_str(query, &params))
		return initial;
	value = evhttp_find_header(&params, key);
	if (value)
		number = strtoll(value, NULL, 10);
	evhttp_clear_headers(&params);
	return number;
}

static const char *header(struct evhttp_request *request, const char *name)
{
	const char *value = evhttp_find_header(
		evhttp_request_get_input_headers(request), name);

	return value ? value : "";
}

static void record_execute(struct worker *worker,
			   struct evhttp_request *request, const void *data,
			   size_t len)
{
	gchar *digest =
		g_compute_checksum_for_data(G_CHECKSUM_SHA256, data, len);

	digest[16] = '\0';
	record_add(worker, json_pack("{s:s, s:s, s:s, s:s}", "kind", "execute",
				     "id", header(request, "X-Request-Id"),
				     "key", header(request, "Idempotency-Key"),
				     "digest", digest));
	g_free(digest);
}

static void work_end(struct work *work)
{
	record_usage(work->worker, USAGE_CONNECTIONS, -1);
	if (work->timer)
		event_free(work->timer);
	free(work->data);
	free(work);
}

static int lose(struct worker *worker)
{
	if (worker->faults.lose <= 0)
		return 0;
	worker->faults.lose--;
	return 1;
}

static void answer(struct work *work)
{
	struct evbuffer *body = evbuffer_new();

	record_usage(work->worker, USAGE_SLOTS, -1);
	if (lose(work->worker)) {
		reply_lost(work->worker, work->request);
	} else {
		evbuffer_add(body, work->data, work->len);
		evhttp_send_reply(work->request, work->status, NULL, body);
	}
	evbuffer_free(body);
	work_end(work);
}

/* Takes over data. */
static void set_answer(struct work *work, int status, char *data, size_t len)
{
	work->status = status;
	work->data = data;
	work->len = len;
	work->finish = answer;
}

static void begin_echo(struct work *work)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(work->request);
	size_t len = evbuffer_get_length(input);
	char *data;

	if (evhttp_request_get_command(work->request) == EVHTTP_REQ_GET) {
		data = xstrfmt("echo %s",
			       header(work->request, "X-Request-Id"));
		set_answer(work, 200, data, strlen(data));
		return;
	}
	data = xmalloc(len + 1);
	evbuffer_remove(input, data, len);
	set_answer(work, 200, data, len);
}

static void begin_work(struct work *work)
{
	char *data =
		xstrfmt("worked %s", header(work->request, "X-Request-Id"));

	set_answer(work, 200, data, strlen(data));
}

static void begin_bytes(struct work *work)
{
	int64_t i, n = query_number(work->request, "n", 0);
	char *data;

	if (n < 0 || n > 64 * 1024 * 1024)
		n = 0;
	data = xmalloc((size_t)n + 1);
	for (i = 0; i < n; i++)
		data[i] = (char)('a' + i % 26);
	set_answer(work, 200, data, (size_t)n);
}

static void begin_publish(struct work *work)
{
	char *data;

	data = xstrfmt("published %lld", (long long)++work->worker->published);
	set_answer(work, 200, data, strlen(data));
}

static void on_cut(void *arg, int ending)
{
	struct work *work = arg;

	if (ending)
		request_drop(work->request);
	else
		reply_lost(work->worker, work->request);
	record_usage(work->worker, USAGE_SLOTS, -1);
	work_end(work);
}

static void serve_cut(struct work *work)
{
	struct evbuffer *half = evbuffer_new();
	int i;

	for (i = 0; i < CUT_LENGTH / 2; i++)
		evbuffer_add(half, "c", 1);
	evhttp_add_header(evhttp_request_get_output_headers(work->request),
			  "Content-Length", "1000");
	evhttp_send_reply_start(work->request, 200, NULL);
	evhttp_send_reply_chunk(work->request, half);
	evbuffer_free(half);
	run_later(work->worker, 100, on_cut, work);
}

static void on_watch_closed(struct evhttp_connection *connection, void *arg)
{
	struct work *work = arg;

	request_drop(work->request);
	work_end(work);
}

static void on_watch_event(evutil_socket_t fd, short what, void *arg)
{
	struct work *work = arg;
	struct evbuffer *chunk = evbuffer_new();
	struct timeval tv = { 0, 0 };

	work->event_id++;
	evbuffer_add_printf(chunk, "id: %lld\ndata: %s %lld\n\n",
			    (long long)work->event_id, work->watch,
			    (long long)work->event_id);
	evhttp_send_reply_chunk(work->request, chunk);
	evbuffer_free(chunk);
	tv.tv_sec = work->interval_ms / 1000;
	tv.tv_usec = work->interval_ms % 1000 * 1000;
	event_add(work->timer, &tv);
}

static void watch_name(struct work *work)
{
	const struct evhttp_uri *uri =
		evhttp_request_get_evhttp_uri(work->request);
	const char *query = evhttp_uri_get_query(uri);
	struct evkeyvalq params;
	const char *name;

	str_copy(work->watch, "watch", sizeof(work->watch));
	if (!query || evhttp_parse_query_str(query, &params))
		return;
	name = evhttp_find_header(&params, "name");
	if (name)
		str_copy(work->watch, name, sizeof(work->watch));
	evhttp_clear_headers(&params);
}

static void serve_watch(struct work *work)
{
	struct worker *worker = work->worker;

	if (!evhttp_request_get_connection(work->request)) {
		record_usage(worker, USAGE_SLOTS, -1);
		work_end(work);
		return;
	}
	watch_name(work);
	work->interval_ms =
		query_number(work->request, "every_ms", WATCH_INTERVAL_MS);
	work->event_id =
		strtoll(header(work->request, "Last-Event-ID"), NULL, 10);
	work->timer = evtimer_new(worker->base, on_watch_event, work);
	evhttp_add_header(evhttp_request_get_output_headers(work->request),
			  "Content-Type", "text/event-stream");
	evhttp_connection_set_closecb(
		evhttp_request_get_connection(work->request), on_watch_closed,
		work);
	record_usage(worker, USAGE_SLOTS, -1);
	evhttp_send_reply_start(work->request, 200, NULL);
	on_watch_event(-1, 0, work);
}

static void begin_cut(struct work *work)
{
	work->finish = serve_cut;
}

static void begin_watch(struct work *work)
{
	work->finish = serve_watch;
}

static const struct {
	const char *path;
	void (*begin)(struct work *work);
} paths[] = {
	{ "/echo", begin_echo },   { "/work", begin_work },
	{ "/bytes", begin_bytes }, { "/publish", begin_publish },
	{ "/cut", begin_cut },	   { "/watch", begin_watch },
};

static void begin(struct work *work)
{
	const char *path = evhttp_uri_get_path(
		evhttp_request_get_evhttp_uri(work->request));
	size_t i;

	if (work->worker->faults.fail) {
		set_answer(work, 500, xstrdup("failed"), 6);
		return;
	}
	for (i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
		if (strcmp(paths[i].path, path))
			continue;
		paths[i].begin(work);
		return;
	}
	set_answer(work, 404, xstrdup("no such path"), 12);
}

static void on_delay(void *arg, int ending)
{
	struct work *work = arg;

	if (ending) {
		request_drop(work->request);
		work_end(work);
	} else {
		work->finish(work);
	}
}

/*
 * The effect is recorded at the receipt, so that a worker that is killed half
 * way has it on record. The request stays in progress until its time is over,
 * also when the client has gone: it uses the slot as a real service would.
 */
void service_serve(struct worker *worker, struct evhttp_request *request)
{
	struct work *work = xcalloc(1, sizeof(*work));
	int64_t delay_ms = worker->faults.slow_ms + tasks_slow_ms(worker);

	work->worker = worker;
	work->request = request;
	record_usage(worker, USAGE_CONNECTIONS, 1);
	record_usage(worker, USAGE_SLOTS, 1);
	delay_ms += query_number(request, "ms", 0);
	begin(work);
	record_execute(worker, request, work->data ? work->data : "",
		       work->len);
	if (delay_ms <= 0) {
		work->finish(work);
		return;
	}
	run_later(worker, delay_ms, on_delay, work);
}
