#include "fakeworker/fakeworker.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#include "mem.h"

static int64_t clock_ms(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t worker_monotonic_ms(void)
{
	return clock_ms(CLOCK_MONOTONIC);
}

int64_t worker_boottime_ms(void)
{
	return clock_ms(CLOCK_BOOTTIME);
}

struct delayed_call {
	struct list node;
	delayed_call_fn fn;
	void *arg;
};

static void delayed_call_run(struct delayed_call *call, int shutting_down)
{
	list_del(&call->node);
	call->fn(call->arg, shutting_down);
	free(call);
}

static void on_delayed_call_timer(evutil_socket_t fd, short what, void *arg)
{
	delayed_call_run(arg, 0);
}

void call_later(struct worker *worker, int64_t delay_ms, delayed_call_fn fn,
		void *arg)
{
	struct timeval tv = { delay_ms / 1000, delay_ms % 1000 * 1000 };
	struct delayed_call *call = xcalloc(1, sizeof(*call));

	call->fn = fn;
	call->arg = arg;
	list_add_tail(&worker->delayed_calls, &call->node);
	event_base_once(worker->base, -1, EV_TIMEOUT, on_delayed_call_timer,
			call, &tv);
}

static void delayed_calls_clear(struct worker *worker)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &worker->delayed_calls)
		delayed_call_run(list_entry(pos, struct delayed_call, node), 1);
}

void request_release(struct evhttp_request *request)
{
	if (!evhttp_request_get_connection(request))
		evhttp_request_free(request);
}

void reply_json(struct evhttp_request *request, int status, json_t *body)
{
	struct evbuffer *buffer = evbuffer_new();
	char *text = json_dumps(body, JSON_COMPACT);

	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "application/json");
	evbuffer_add_printf(buffer, "%s", text ? text : "{}");
	evhttp_send_reply(request, status, NULL, buffer);
	evbuffer_free(buffer);
	free(text);
	json_decref(body);
}

/* connection is NULL if the client has closed it in the meantime. */
static void on_close_timer(void *arg, int shutting_down)
{
	struct evhttp_connection *connection =
		evhttp_request_get_connection(arg);

	if (!connection || shutting_down)
		request_release(arg);
	else
		evhttp_connection_free(connection);
}

/* A connection must not be freed in its own callback, hence the timer. */
void close_without_response(struct worker *worker,
			    struct evhttp_request *request)
{
	call_later(worker, 0, on_close_timer, request);
}

json_t *request_json(struct evhttp_request *request)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	size_t len = evbuffer_get_length(input);

	return json_loadb((const char *)evbuffer_pullup(input, -1), len, 0,
			  NULL);
}

static void set_integer(const json_t *root, const char *key, int64_t *value)
{
	const json_t *integer = json_object_get(root, key);

	if (json_is_integer(integer))
		*value = json_integer_value(integer);
}

static void serve_control(struct worker *worker, struct evhttp_request *request)
{
	json_t *root = request_json(request);
	struct faults *faults = &worker->faults;
	const json_t *fail = json_object_get(root, "fail");

	if (!json_is_object(root)) {
		json_decref(root);
		reply_json(request, 400, NULL);
		return;
	}
	if (json_is_true(json_object_get(root, "die")))
		_exit(1);
	if (fail)
		faults->fail_all = json_is_true(fail);
	set_integer(root, "slow_ms", &faults->service_delay_ms);
	set_integer(root, "slow_tasks_ms", &faults->task_delay_ms);
	set_integer(root, "lose", &faults->drop_response_count);
	set_integer(root, "lose_tasks", &faults->drop_task_response_count);
	json_decref(root);
	reply_json(request, 200, NULL);
}

static int serve_common(struct worker *worker, struct evhttp_request *request)
{
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));

	if (!strcmp(path, "/record"))
		record_serve(worker, request);
	else if (!strcmp(path, "/control"))
		serve_control(worker, request);
	else
		return 0;
	return 1;
}

static void on_service_request(struct evhttp_request *request, void *arg)
{
	if (!serve_common(arg, request))
		service_serve(arg, request);
}

static void on_task_request(struct evhttp_request *request, void *arg)
{
	if (!serve_common(arg, request))
		tasks_serve(arg, request);
}

static int listen_at(struct worker *worker, int index, const char *address,
		     void (*fn)(struct evhttp_request *, void *))
{
	struct evhttp *http = evhttp_new(worker->base);
	char host[ID_SIZE];
	char *colon;

	worker->http[index] = http;
	str_copy(host, address, sizeof(host));
	colon = strrchr(host, ':');
	if (!colon)
		return -1;
	*colon = '\0';
	evhttp_set_allowed_methods(http, 0x1ff);
	evhttp_set_gencb(http, fn, worker);
	return evhttp_bind_socket(http, host, (uint16_t)atoi(colon + 1));
}

static void on_signal(evutil_socket_t fd, short what, void *arg)
{
	event_base_loopbreak(arg);
}

static int parse_limits(struct worker *worker, const char *limits)
{
	int64_t *l = worker->limits;

	return sscanf(limits ? limits : "8,64,64000,250000,0",
		      "%" SCNd64 ",%" SCNd64 ",%" SCNd64 ",%" SCNd64
		      ",%" SCNd64,
		      &l[0], &l[1], &l[2], &l[3], &l[4]) == USAGE_COUNT
		       ? 0
		       : -1;
}

static int run_server(struct worker *worker, const char *service,
		      const char *tasks)
{
	struct event *term_event;

	if (listen_at(worker, 0, service, on_service_request) ||
	    listen_at(worker, 1, tasks, on_task_request)) {
		fprintf(stderr, "fakeworker: cannot listen\n");
		return 1;
	}
	term_event =
		evsignal_new(worker->base, SIGTERM, on_signal, worker->base);
	event_add(term_event, NULL);
	signal(SIGPIPE, SIG_IGN);
	printf("ready\n");
	fflush(stdout);
	event_base_dispatch(worker->base);
	event_free(term_event);
	delayed_calls_clear(worker);
	evhttp_free(worker->http[0]);
	evhttp_free(worker->http[1]);
	tasks_clear(worker);
	json_decref(worker->history);
	event_base_free(worker->base);
	return 0;
}

int main(int argc, char **argv)
{
	struct worker worker = { .base = event_base_new(),
				 .history = json_array() };
	gchar *service = NULL, *tasks = NULL, *id = NULL, *limits = NULL;
	gchar *history = NULL, *effects = NULL;
	const GOptionEntry options[] = {
		{ "service", 0, 0, G_OPTION_ARG_STRING, &service,
		  "Address of the service", "IP:PORT" },
		{ "tasks", 0, 0, G_OPTION_ARG_STRING, &tasks,
		  "Address of the task interface", "IP:PORT" },
		{ "id", 0, 0, G_OPTION_ARG_STRING, &id,
		  "Name in the records (default: the address of the service)",
		  "NAME" },
		{ "history", 0, 0, G_OPTION_ARG_STRING, &history,
		  "Append the records to a file, one per line", "FILE" },
		{ "effects", 0, 0, G_OPTION_ARG_STRING, &effects,
		  "Directory of the ledger of task effects, shared by workers",
		  "FOLDER" },
		{ "limits", 0, 0, G_OPTION_ARG_STRING, &limits,
		  "Limits included in usage records",
		  "SLOTS,CONNECTIONS,CPU_MILLI,MEM_MB,ACCEL" },
		{ NULL }
	};
	GOptionContext *context =
		g_option_context_new("- stand-in for a worker");
	int ok, code;

	g_option_context_add_main_entries(context, options, NULL);
	ok = g_option_context_parse(context, &argc, &argv, NULL);
	g_option_context_free(context);
	if (!ok || !service || !tasks || parse_limits(&worker, limits)) {
		fprintf(stderr, "fakeworker: see --help\n");
		return 2;
	}
	worker.name = id ? id : service;
	worker.history_file = history ? fopen(history, "a") : NULL;
	worker.ledger_dir = effects;
	list_init(&worker.tasks);
	list_init(&worker.delayed_calls);
	code = run_server(&worker, service, tasks);
	g_free(service);
	g_free(tasks);
	g_free(id);
	g_free(limits);
	g_free(history);
	g_free(effects);
	return code;
}
