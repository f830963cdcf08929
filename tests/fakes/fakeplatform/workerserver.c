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

#define ANNOUNCE_MS 300
#define TICK_MS 10
#define HOLD_MAX_MS 6000
#define REQUEST_BODY_MAX_BYTES (1024 * 1024)

struct task_run {
	struct list node;
	char *task;
	json_int_t run;
	struct mstime ends; /* 0: runs until it is stopped */
	int fails;
};

struct waiting {
	struct list node;
	struct httpd_request *request;
	json_int_t seen;
	struct mstime until;
};

struct workerserver {
	struct loop *loop;
	struct httpd *httpd;
	struct httpc_pool *runner;
	struct loop_timer *tick;
	struct mstime started, announced, lease_end;
	char *id, *address;
	json_int_t born, sequence, fence, last_number, acknowledged;
	int has_lapsed; /* since the lease was extended last */
	struct list runs, waiting;
	json_t *ended;	 /* rows */
	json_t *highest; /* task -> run */
};

static json_int_t clock_ms(const struct workerserver *server)
{
	return mstime_diff(sysclock_now(), server->started) + 1000;
}

static void record(const struct workerserver *server, const char *event,
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
	json_object_set_new(body, "born", json_integer(server->born));
	text = json_dumps(body, JSON_COMPACT);
	httpd_reply(request, status, text);
	free(text);
	json_decref(body);
}

static void reply_lists(struct workerserver *server,
			struct httpd_request *request, json_int_t seen)
{
	json_t *active = json_array(), *ended = json_array();
	struct list *pos;
	size_t i;

	list_for_each (pos, &server->runs) {
		const struct task_run *run =
			list_entry(pos, struct task_run, node);

		json_array_append_new(active,
				      json_pack("[s,I,s,i,i]", run->task,
						run->run, "", 50, 500));
	}
	for (i = 0; i < json_array_size(server->ended); i++) {
		json_t *row = json_array_get(server->ended, i);

		if (json_integer_value(json_array_get(row, 0)) > seen)
			json_array_append(ended, row);
	}
	reply(server, request, 200,
	      json_pack("{s:o, s:o}", "active", active, "ended", ended));
}

/* Records what happens to the ends that are listed and not acknowledged. */
static void record_ends(const struct workerserver *server, const char *event,
			json_int_t up_to)
{
	size_t i;
	json_t *row;

	json_array_foreach(server->ended, i, row)
	{
		struct task_run run = { .task = (char *)json_string_value(
						json_array_get(row, 1)),
					.run = json_integer_value(
						json_array_get(row, 2)) };
		json_int_t number = json_integer_value(json_array_get(row, 0));

		if (number > server->acknowledged && number <= up_to)
			record(server, event, &run, "");
	}
}

static void acknowledge(struct workerserver *server, json_int_t seen)
{
	if (seen <= server->acknowledged)
		return;
	record_ends(server, "acknowledged", seen);
	server->acknowledged = seen;
}

/* Ends that are not acknowledged by then do not count. */
static void check_lapse(struct workerserver *server)
{
	int has_lapsed = !mstime_before(sysclock_now(), server->lease_end);

	if (has_lapsed && !server->has_lapsed)
		record_ends(server, "lapsed-end", server->last_number);
	server->has_lapsed = has_lapsed;
}

static int has_ends(const struct workerserver *server, json_int_t seen)
{
	return server->last_number > seen && json_array_size(server->ended);
}

static void wake(struct workerserver *server)
{
	struct mstime now = sysclock_now();
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &server->waiting) {
		struct waiting *waiting = list_entry(pos, struct waiting, node);

		if (!has_ends(server, waiting->seen) &&
		    mstime_before(now, waiting->until))
			continue;
		reply_lists(server, waiting->request, waiting->seen);
		list_del(&waiting->node);
		free(waiting);
	}
}

static void run_end(struct workerserver *server, struct task_run *run,
		    const char *how)
{
	record(server, "end", run, how);
	json_array_append_new(server->ended,
			      json_pack("[I,s,I,s,s]", ++server->last_number,
					run->task, run->run, how, ""));
	list_del(&run->node);
	free(run->task);
	free(run);
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
		"service", "work", "address", server->address, "zone", "z1",
		"version", "v1", "slots", 8, "state", "ready", "coldLeftMs", 0,
		"capacity", "cpu", 8000, "memMb", 8000, "gpu", 0, "labels", "a",
		"r1", "clockMs", clock_ms(server), "sequence",
		++server->sequence, "born", server->born);
	char *text = json_dumps(body, JSON_COMPACT);
	char *path = xstrfmt("/catkinhill/instances/%s/heartbeat", server->id);
	struct httpc_request request = { .method = "POST",
					 .path = path,
					 .body = text,
					 .body_len = strlen(text),
					 .timeout_ms = 1000 };

	httpc_start(server->runner, &request, &handlers, server);
	server->announced = sysclock_now();
	json_decref(body);
	free(text);
	free(path);
}

static void on_tick(void *arg)
{
	struct workerserver *server = arg;
	struct mstime now = sysclock_now();
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &server->runs) {
		struct task_run *run = list_entry(pos, struct task_run, node);

		if (!mstime_before(now, server->lease_end))
			run_end(server, run, "lapsed");
		else if (run->ends.ms && !mstime_before(now, run->ends))
			run_end(server, run, run->fails ? "failed" : "done");
	}
	check_lapse(server);
	wake(server);
	if (mstime_diff(now, server->announced) >= ANNOUNCE_MS)
		announce(server);
	loop_timer_start(server->tick, TICK_MS);
}

static struct task_run *run_find(struct workerserver *server, const char *task)
{
	struct list *pos;

	list_for_each (pos, &server->runs)
		if (!strcmp(list_entry(pos, struct task_run, node)->task, task))
			return list_entry(pos, struct task_run, node);
	return NULL;
}

static void extend(struct workerserver *server, const json_t *body)
{
	json_int_t until = json_integer_value(json_object_get(body, "untilMs"));
	json_int_t left = until - clock_ms(server);

	if (left > HOLD_MAX_MS)
		left = HOLD_MAX_MS;
	if (until)
		server->lease_end = mstime_max(
			server->lease_end, mstime_add(sysclock_now(), left));
}

static const char *start_refusal(struct workerserver *server,
				 const json_t *body, const char *task,
				 json_int_t run)
{
	if (json_integer_value(json_object_get(body, "untilMs")) <=
	    clock_ms(server))
		return "late";
	extend(server, body);
	if (run <= json_integer_value(json_object_get(server->highest, task)))
		return "old";
	return NULL;
}

static void on_start(struct workerserver *server, struct httpd_request *request,
		     const json_t *body, const char *task, json_int_t run)
{
	const char *payload = json_string_value(json_object_get(body, "spec"));
	const char *refusal;
	struct task_run *at = run_find(server, task);
	long work_ms = payload ? strtol(payload, NULL, 10) : 0;

	if (at && at->run == run) {
		reply(server, request, 200, json_object());
		return;
	}
	refusal = start_refusal(server, body, task, run);
	if (refusal) {
		reply(server, request, 409,
		      json_pack("{s:s}", "reason", refusal));
		return;
	}
	at = xcalloc(1, sizeof(*at));
	at->task = xstrdup(task);
	at->run = run;
	at->fails = payload && strstr(payload, "fail");
	if (work_ms)
		at->ends = mstime_add(sysclock_now(), work_ms);
	list_add_tail(&server->runs, &at->node);
	json_object_set_new(server->highest, task, json_integer(run));
	record(server, "start", at, "");
	reply(server, request, 200, json_object());
}

static void on_stop(struct workerserver *server, struct httpd_request *request,
		    const char *task, json_int_t run)
{
	struct task_run *at = run_find(server, task);

	if (json_integer_value(json_object_get(server->highest, task)) < run)
		json_object_set_new(server->highest, task, json_integer(run));
	if (at && at->run <= run)
		run_end(server, at, "stopped");
	reply(server, request, 200, json_object());
}

static void on_hold(struct workerserver *server, struct httpd_request *request,
		    const json_t *body)
{
	json_int_t seen = json_integer_value(json_object_get(body, "lastSeen"));
	json_int_t wait = json_integer_value(json_object_get(body, "waitMs"));
	struct waiting *waiting;

	extend(server, body);
	acknowledge(server, seen);
	while (json_array_size(server->ended) &&
	       json_integer_value(json_array_get(
		       json_array_get(server->ended, 0), 0)) <= seen)
		json_array_remove(server->ended, 0);
	if (!wait || has_ends(server, seen)) {
		reply_lists(server, request, seen);
		return;
	}
	waiting = xcalloc(1, sizeof(*waiting));
	list_init(&waiting->node);
	waiting->request = request;
	waiting->seen = seen;
	waiting->until = mstime_add(sysclock_now(), wait);
	list_add_tail(&server->waiting, &waiting->node);
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

static void on_order(struct workerserver *server, struct httpd_request *request,
		     const json_t *body)
{
	const char *path = httpd_path(request);
	const char *task = json_string_value(json_object_get(body, "task"));
	json_int_t run = json_integer_value(json_object_get(body, "runId"));
	const char *expect = httpd_header(request, "X-Expect-Instance");

	if (expect && strcmp(expect, server->id) != 0)
		reply(server, request, 421, json_object());
	else if (is_fenced(server, body))
		reply(server, request, 409,
		      json_pack("{s:s}", "reason", "fence"));
	else if (!strcmp(path, "/catkinhill/hold"))
		on_hold(server, request, body);
	else if (!task)
		reply(server, request, 400, json_object());
	else if (!strcmp(path, "/catkinhill/run-start"))
		on_start(server, request, body, task, run);
	else if (!strcmp(path, "/catkinhill/run-stop"))
		on_stop(server, request, task, run);
	else
		reply(server, request, 200, json_object());
}

static void on_request(void *arg, struct httpd_request *request)
{
	size_t len;
	const char *text = httpd_body(request, &len);
	json_t *body = json_loadb(text, len, 0, NULL);

	on_order(arg, request, body);
	json_decref(body);
}

struct workerserver *workerserver_new(struct loop *loop, const char *id,
				      const char *address, const char *runner)
{
	struct workerserver *server = xcalloc(1, sizeof(*server));

	server->loop = loop;
	server->id = xstrdup(id);
	server->address = xstrdup(address);
	server->started = sysclock_now();
	server->born = sysclock_wall_ms();
	list_init(&server->runs);
	list_init(&server->waiting);
	server->ended = json_array();
	server->highest = json_object();
	server->runner = httpc_pool_new(loop, runner, 2);
	server->httpd = httpd_new(loop, address, REQUEST_BODY_MAX_BYTES,
				  on_request, server);
	server->tick = loop_timer_new(loop, on_tick, server);
	loop_timer_start(server->tick, TICK_MS);
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
		struct task_run *run = list_entry(pos, struct task_run, node);

		free(run->task);
		free(run);
	}
	list_for_each_safe (pos, tmp, &server->waiting)
		free(list_entry(pos, struct waiting, node));
	loop_timer_delete(server->tick);
	if (server->runner)
		httpc_pool_delete(server->runner);
	httpd_delete(server->httpd);
	json_decref(server->ended);
	json_decref(server->highest);
	free(server->id);
	free(server->address);
	free(server);
}
