#include "workerserver.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "httpc.h"
#include "httpd.h"
#include "list.h"
#include "mem.h"
#include "sysclock.h"

#define ANNOUNCE_INTERVAL_MS 300
#define TIMER_INTERVAL_MS 10
#define LEASE_MAX_MS 6000
#define REQUEST_BODY_MAX_BYTES (1024 * 1024)
#define LATE_START_MS 3000
#define ENDS_LISTED_MAX 500

struct task_run {
	struct list node;
	char *task;
	json_int_t run;
	struct mstime began_at;
	struct mstime ends_at; /* 0: runs until it is stopped */
	int fails;
	int is_stalled; /* lists no progress */
	char *checkpoint;
};

struct poll {
	struct list node;
	struct httpd_request *request;
	json_int_t after_end_number;
	struct mstime deadline;
};

enum start_mode {
	STARTS_ANSWERED,
	STARTS_REFUSED, /* with 503, having done nothing */
	STARTS_IGNORED, /* neither answered nor carried out */
	STARTS_LATE,	/* carried out after the caller's deadline */
	STARTS_MIXED,	/* ignored and refused in turn */
	START_MODE_COUNT
};

static const char *const start_mode_names[START_MODE_COUNT] = {
	[STARTS_ANSWERED] = "answered", [STARTS_REFUSED] = "refused",
	[STARTS_IGNORED] = "ignored",	[STARTS_LATE] = "late",
	[STARTS_MIXED] = "mixed",
};

struct late_start {
	struct list node;
	struct httpd_request *request;
	json_t *body;
	struct mstime due;
};

struct workerserver {
	struct loop *loop;
	struct httpd *httpd;
	struct httpc_pool *runner;
	struct loop_timer *timer;
	struct mstime started_at, announced_at, lease_expires_at;
	char *id, *address, *service;
	json_int_t start_wall_ms, sequence, fence;
	json_int_t last_end_number, acknowledged_end_number;
	int is_lease_expired; /* at the last check */
	struct list runs, polls, late_starts;
	enum start_mode start_mode;
	unsigned start_count; /* in mode STARTS_MIXED */
	json_t *ended_runs;   /* rows of the response */
	json_t *highest_runs; /* task -> run */
};

static void task_run_free(struct task_run *run)
{
	free(run->task);
	free(run->checkpoint);
	free(run);
}

/* The checkpoint of a payload "MS saves BYTES"; otherwise an empty one. */
static char *make_checkpoint(const char *payload)
{
	const char *option = payload ? strstr(payload, "saves ") : NULL;
	size_t len = option ? strtoul(option + strlen("saves "), NULL, 10) : 0;
	char *text = xcalloc(len + 1, 1);

	memset(text, 'c', len);
	return text;
}

static json_int_t clock_ms(const struct workerserver *server)
{
	return mstime_diff(sysclock_now(), server->started_at) + 1000;
}

static int progress_percent(const struct task_run *run)
{
	int64_t work_ms = mstime_diff(run->ends_at, run->began_at);

	if (run->is_stalled)
		return 50;
	if (!run->ends_at.ms || work_ms <= 0)
		return 100;
	return (int)(mstime_diff(sysclock_now(), run->began_at) * 100 /
		     work_ms);
}

static void print_event(const struct workerserver *server, const char *event,
			const struct task_run *run, const char *how)
{
	printf("{\"at\":%lld,\"worker\":\"%s\",\"event\":\"%s\","
	       "\"task\":\"%s\",\"run\":%lld,\"how\":\"%s\"}\n",
	       (long long)sysclock_now().ms, server->id, event, run->task,
	       (long long)run->run, how);
	fflush(stdout);
}

static void reply(struct workerserver *server, struct httpd_request *request,
		  int status, json_t *body)
{
	char *text;

	json_object_set_new(body, "clockMs", json_integer(clock_ms(server)));
	json_object_set_new(body, "born", json_integer(server->start_wall_ms));
	text = json_dumps(body, JSON_COMPACT);
	httpd_reply(request, status, text);
	free(text);
	json_decref(body);
}

static void reply_lists(struct workerserver *server,
			struct httpd_request *request,
			json_int_t after_end_number)
{
	json_t *active = json_array(), *ended = json_array();
	struct list *pos;
	size_t i;

	list_for_each (pos, &server->runs) {
		const struct task_run *run =
			list_entry(pos, struct task_run, node);

		json_array_append_new(active,
				      json_pack("[s,I,s,i,i]", run->task,
						run->run, run->checkpoint,
						progress_percent(run), 500));
	}
	for (i = 0; i < json_array_size(server->ended_runs) &&
		    json_array_size(ended) < ENDS_LISTED_MAX;
	     i++) {
		json_t *row = json_array_get(server->ended_runs, i);

		if (json_integer_value(json_array_get(row, 0)) >
		    after_end_number)
			json_array_append(ended, row);
	}
	reply(server, request, 200,
	      json_pack("{s:o, s:o}", "active", active, "ended", ended));
}

/* Prints event for each listed end that is not acknowledged yet. */
static void print_end_events(const struct workerserver *server,
			     const char *event, json_int_t last_number)
{
	size_t i;
	json_t *row;

	json_array_foreach(server->ended_runs, i, row)
	{
		struct task_run run = { .task = (char *)json_string_value(
						json_array_get(row, 1)),
					.run = json_integer_value(
						json_array_get(row, 2)) };
		json_int_t number = json_integer_value(json_array_get(row, 0));

		if (number > server->acknowledged_end_number &&
		    number <= last_number)
			print_event(server, event, &run, "");
	}
}

static void acknowledge(struct workerserver *server, json_int_t end_number)
{
	/* It may be the number of an end of this worker's former life. */
	if (end_number > server->last_end_number)
		end_number = server->last_end_number;
	if (end_number <= server->acknowledged_end_number)
		return;
	print_end_events(server, "acknowledged", end_number);
	server->acknowledged_end_number = end_number;
}

/* Ends that are not acknowledged when the lease expires do not count. */
static void check_lease_expiry(struct workerserver *server)
{
	int is_expired =
		!mstime_before(sysclock_now(), server->lease_expires_at);

	if (is_expired && !server->is_lease_expired)
		print_end_events(server, "lapsed-end", server->last_end_number);
	server->is_lease_expired = is_expired;
}

static int has_new_ends(const struct workerserver *server,
			json_int_t after_end_number)
{
	return server->last_end_number > after_end_number &&
	       json_array_size(server->ended_runs);
}

static void wake_polls(struct workerserver *server)
{
	struct mstime now = sysclock_now();
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &server->polls) {
		struct poll *poll = list_entry(pos, struct poll, node);

		if (!has_new_ends(server, poll->after_end_number) &&
		    mstime_before(now, poll->deadline))
			continue;
		reply_lists(server, poll->request, poll->after_end_number);
		list_del(&poll->node);
		free(poll);
	}
}

static void run_end(struct workerserver *server, struct task_run *run,
		    const char *how)
{
	print_event(server, "end", run, how);
	json_array_append_new(server->ended_runs,
			      json_pack("[I,s,I,s,s]",
					++server->last_end_number, run->task,
					run->run, how, run->checkpoint));
	list_del(&run->node);
	task_run_free(run);
}

static void on_announced(void *arg, int err, int status)
{
}

static void announce(struct workerserver *server)
{
	static const struct httpc_handlers handlers = { .on_end =
								on_announced };
	json_t *body = json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, "
		"s:[s,s], s:I, s:I, s:I}",
		"service", server->service, "address", server->address, "zone",
		"z1", "version", "v1", "slots", 8, "state", "ready",
		"coldLeftMs", 0, "capacity", "cpu", 8000, "memMb", 8000, "gpu",
		0, "labels", "a", "r1", "clockMs", clock_ms(server), "sequence",
		++server->sequence, "born", server->start_wall_ms);
	char *text = json_dumps(body, JSON_COMPACT);
	char *path = xstrfmt("/catkinhill/instances/%s/heartbeat", server->id);
	struct httpc_request request = { .method = "POST",
					 .path = path,
					 .body = text,
					 .body_len = strlen(text),
					 .timeout_ms = 1000 };

	httpc_start(server->runner, &request, &handlers, server);
	server->announced_at = sysclock_now();
	json_decref(body);
	free(text);
	free(path);
}

static void carry_out_late_starts(struct workerserver *server);

static void on_timer(void *arg)
{
	struct workerserver *server = arg;
	struct mstime now = sysclock_now();
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &server->runs) {
		struct task_run *run = list_entry(pos, struct task_run, node);

		if (!mstime_before(now, server->lease_expires_at))
			run_end(server, run, "lapsed");
		else if (run->ends_at.ms && !mstime_before(now, run->ends_at))
			run_end(server, run, run->fails ? "failed" : "done");
	}
	carry_out_late_starts(server);
	check_lease_expiry(server);
	wake_polls(server);
	if (mstime_diff(now, server->announced_at) >= ANNOUNCE_INTERVAL_MS)
		announce(server);
	loop_timer_start(server->timer, TIMER_INTERVAL_MS);
}

static struct task_run *run_find(struct workerserver *server, const char *task)
{
	struct list *pos;

	list_for_each (pos, &server->runs)
		if (!strcmp(list_entry(pos, struct task_run, node)->task, task))
			return list_entry(pos, struct task_run, node);
	return NULL;
}

static void extend_lease(struct workerserver *server, const json_t *body)
{
	json_int_t until_ms =
		json_integer_value(json_object_get(body, "untilMs"));
	json_int_t remaining_ms = until_ms - clock_ms(server);

	if (remaining_ms > LEASE_MAX_MS)
		remaining_ms = LEASE_MAX_MS;
	if (until_ms)
		server->lease_expires_at =
			mstime_max(server->lease_expires_at,
				   mstime_add(sysclock_now(), remaining_ms));
}

static const char *start_refusal_reason(struct workerserver *server,
					const json_t *body, const char *task,
					json_int_t run)
{
	if (json_integer_value(json_object_get(body, "untilMs")) <=
	    clock_ms(server))
		return "late";
	extend_lease(server, body);
	if (run <=
	    json_integer_value(json_object_get(server->highest_runs, task)))
		return "old";
	return NULL;
}

static void on_run_start(struct workerserver *server,
			 struct httpd_request *request, const json_t *body,
			 const char *task, json_int_t run)
{
	const char *payload = json_string_value(json_object_get(body, "spec"));
	const char *reason;
	struct task_run *active = run_find(server, task);
	long work_ms = payload ? strtol(payload, NULL, 10) : 0;

	if (active && active->run == run) {
		reply(server, request, 200, json_object());
		return;
	}
	reason = start_refusal_reason(server, body, task, run);
	if (reason) {
		reply(server, request, 409,
		      json_pack("{s:s}", "reason", reason));
		return;
	}
	active = xcalloc(1, sizeof(*active));
	active->task = xstrdup(task);
	active->run = run;
	active->began_at = sysclock_now();
	active->fails = payload && strstr(payload, "fail");
	active->is_stalled = payload && strstr(payload, "stall");
	active->checkpoint = make_checkpoint(payload);
	if (work_ms)
		active->ends_at = mstime_add(active->began_at, work_ms);
	list_add_tail(&server->runs, &active->node);
	json_object_set_new(server->highest_runs, task, json_integer(run));
	print_event(server, "start", active, "");
	reply(server, request, 200, json_object());
}

static void on_run_stop(struct workerserver *server,
			struct httpd_request *request, const char *task,
			json_int_t run)
{
	struct task_run *active = run_find(server, task);

	if (json_integer_value(json_object_get(server->highest_runs, task)) <
	    run)
		json_object_set_new(server->highest_runs, task,
				    json_integer(run));
	if (active && active->run <= run)
		run_end(server, active, "stopped");
	reply(server, request, 200, json_object());
}

static void on_poll(struct workerserver *server, struct httpd_request *request,
		    const json_t *body)
{
	json_int_t after_end_number =
		json_integer_value(json_object_get(body, "lastSeen"));
	json_int_t wait_ms =
		json_integer_value(json_object_get(body, "waitMs"));
	struct poll *poll;

	extend_lease(server, body);
	acknowledge(server, after_end_number);
	while (json_array_size(server->ended_runs) &&
	       json_integer_value(json_array_get(
		       json_array_get(server->ended_runs, 0), 0)) <=
		       after_end_number)
		json_array_remove(server->ended_runs, 0);
	if (!wait_ms || has_new_ends(server, after_end_number)) {
		reply_lists(server, request, after_end_number);
		return;
	}
	poll = xcalloc(1, sizeof(*poll));
	list_init(&poll->node);
	poll->request = request;
	poll->after_end_number = after_end_number;
	poll->deadline = mstime_add(sysclock_now(), wait_ms);
	list_add_tail(&server->polls, &poll->node);
}

static int is_fenced(struct workerserver *server, const json_t *body)
{
	json_int_t fence =
		json_integer_value(json_object_get(body, "fencingToken"));

	if (fence < server->fence)
		return 1;
	server->fence = fence;
	return 0;
}

static void start_late(struct workerserver *server,
		       struct httpd_request *request, json_t *body)
{
	struct late_start *start = xcalloc(1, sizeof(*start));

	list_init(&start->node);
	start->request = request;
	start->body = json_incref(body);
	start->due = mstime_add(sysclock_now(), LATE_START_MS);
	list_add_tail(&server->late_starts, &start->node);
}

/* Carries out a start, or does what the mode for starts says. */
static void on_start_call(struct workerserver *server,
			  struct httpd_request *request, json_t *body)
{
	enum start_mode mode = server->start_mode;

	if (mode == STARTS_MIXED)
		mode = server->start_count++ % 2 ? STARTS_REFUSED
						 : STARTS_IGNORED;
	switch (mode) {
	case STARTS_REFUSED:
		reply(server, request, 503, json_object());
		break;
	case STARTS_IGNORED:
		break;
	case STARTS_LATE:
		start_late(server, request, body);
		break;
	default:
		on_run_start(
			server, request, body,
			json_string_value(json_object_get(body, "task")),
			json_integer_value(json_object_get(body, "runId")));
		break;
	}
}

static void on_order(struct workerserver *server, struct httpd_request *request,
		     json_t *body)
{
	const char *path = httpd_path(request);
	const char *task = json_string_value(json_object_get(body, "task"));
	json_int_t run = json_integer_value(json_object_get(body, "runId"));
	const char *expected_id = httpd_header(request, "X-Expect-Instance");

	if (expected_id && strcmp(expected_id, server->id) != 0)
		reply(server, request, 421, json_object());
	else if (is_fenced(server, body))
		reply(server, request, 409,
		      json_pack("{s:s}", "reason", "fence"));
	else if (!strcmp(path, "/catkinhill/hold"))
		on_poll(server, request, body);
	else if (!task)
		reply(server, request, 400, json_object());
	else if (!strcmp(path, "/catkinhill/run-start"))
		on_start_call(server, request, body);
	else if (!strcmp(path, "/catkinhill/run-stop"))
		on_run_stop(server, request, task, run);
	else
		reply(server, request, 200, json_object());
}

static void carry_out_late_starts(struct workerserver *server)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &server->late_starts) {
		struct late_start *start =
			list_entry(pos, struct late_start, node);
		const json_t *task = json_object_get(start->body, "task");
		const json_t *run = json_object_get(start->body, "runId");

		if (mstime_before(sysclock_now(), start->due))
			continue;
		list_del(&start->node);
		if (is_fenced(server, start->body))
			reply(server, start->request, 409,
			      json_pack("{s:s}", "reason", "fence"));
		else
			on_run_start(server, start->request, start->body,
				     json_string_value(task),
				     json_integer_value(run));
		json_decref(start->body);
		free(start);
	}
}

static void on_control(struct workerserver *server,
		       struct httpd_request *request)
{
	const char *name = httpd_query(request);
	int i;

	for (i = 0; i < START_MODE_COUNT; i++)
		if (!strcmp(name, start_mode_names[i]))
			break;
	if (i == START_MODE_COUNT) {
		httpd_reply(request, 400, "{}");
		return;
	}
	server->start_mode = (enum start_mode)i;
	httpd_reply(request, 200, "{}");
}

static void on_request(void *arg, struct httpd_request *request)
{
	size_t len;
	const char *text = httpd_body(request, &len);
	json_t *body;

	if (!strcmp(httpd_path(request), "/fake/starts")) {
		on_control(arg, request);
		return;
	}
	if (!strcmp(httpd_path(request), "/fake/close")) {
		httpd_disable_keepalive(((struct workerserver *)arg)->httpd);
		httpd_reply(request, 200, "{}");
		return;
	}
	body = json_loadb(text, len, 0, NULL);
	on_order(arg, request, body);
	json_decref(body);
}

struct workerserver *workerserver_new(struct loop *loop, const char *id,
				      const char *address, const char *runner,
				      int64_t announce_delay_ms,
				      const char *service)
{
	struct workerserver *server = xcalloc(1, sizeof(*server));

	server->loop = loop;
	server->id = xstrdup(id);
	server->address = xstrdup(address);
	server->service = xstrdup(service);
	server->started_at = sysclock_now();
	server->announced_at = mstime_add(
		server->started_at, announce_delay_ms - ANNOUNCE_INTERVAL_MS);
	server->start_wall_ms = sysclock_wall_ms();
	list_init(&server->runs);
	list_init(&server->polls);
	list_init(&server->late_starts);
	server->ended_runs = json_array();
	server->highest_runs = json_object();
	server->runner = httpc_pool_new(loop, runner, 2);
	server->httpd = httpd_new(loop, address, REQUEST_BODY_MAX_BYTES,
				  on_request, server);
	server->timer = loop_timer_new(loop, on_timer, server);
	loop_timer_start(server->timer, TIMER_INTERVAL_MS);
	if (server->httpd && server->runner)
		return server;
	workerserver_delete(server);
	return NULL;
}

void workerserver_delete(struct workerserver *server)
{
	struct list *pos, *tmp;

	if (!server)
		return;
	list_for_each_safe (pos, tmp, &server->runs) {
		list_del(pos);
		task_run_free(list_entry(pos, struct task_run, node));
	}
	list_for_each_safe (pos, tmp, &server->polls)
		free(list_entry(pos, struct poll, node));
	list_for_each_safe (pos, tmp, &server->late_starts) {
		struct late_start *start =
			list_entry(pos, struct late_start, node);

		json_decref(start->body);
		free(start);
	}
	loop_timer_delete(server->timer);
	if (server->runner)
		httpc_pool_delete(server->runner);
	httpd_delete(server->httpd);
	json_decref(server->ended_runs);
	json_decref(server->highest_runs);
	free(server->id);
	free(server->address);
	free(server->service);
	free(server);
}
