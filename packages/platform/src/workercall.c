#include "workercall.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "errors.h"
#include "jsoncall.h"
#include "list.h"
#include "mem.h"
#include "tasknames.h"

/* Starts come in bursts; a worker takes 64 connections. */
#define IDLE_CONNECTIONS 24

struct call {
	struct list node;
	struct workercall *calls;
	workercall_fn fn;
	void *arg;
	struct jsoncall *http;
};

struct workercall {
	struct jsoncall_peer *peer;
	int64_t timeout_ms;
	struct list calls;
};

/* Rows of the lists; texts point into the JSON document. */
struct lists {
	struct run_status *runs;
	size_t run_count;
	struct ended_run *ends;
	size_t end_count;
};

static const struct {
	const char *reason;
	int err;
} refusals[] = {
	{ "fence", ERR_FENCED },   { "old", ERR_EXISTS },
	{ "late", ERR_TIMEOUT },   { "room", ERR_FULL },
	{ "ticket", ERR_INVALID },
};

static const char *const end_words[RUN_END_COUNT] = {
	[RUN_END_DONE] = "done",	  [RUN_END_FAILED] = "failed",
	[RUN_END_STOPPED] = "stopped",	  [RUN_END_LEASE_EXPIRED] = "lapsed",
	[RUN_END_GANG_BROKEN] = "broken", [RUN_END_GANG_INCOMPLETE] = "alone",
};

static void call_free(struct call *call)
{
	list_del(&call->node);
	jsoncall_cancel(call->http);
	free(call);
}

static void call_finish(struct call *call, const struct worker_response *answer)
{
	call->http = NULL;
	list_del(&call->node);
	call->fn(call->arg, answer);
	call_free(call);
}

static int refusal_error(const json_t *root)
{
	const char *reason = json_string_value(json_object_get(root, "reason"));
	size_t i;

	for (i = 0; reason && i < sizeof(refusals) / sizeof(refusals[0]); i++)
		if (!strcmp(reason, refusals[i].reason))
			return refusals[i].err;
	return ERR_INVALID;
}

static int status_error(int status, const json_t *root)
{
	switch (status) {
	case 200:
		return 0;
	case 409:
		return refusal_error(root);
	case 421:
		return ERR_FENCED;
	case 429:
	case 503:
		return ERR_FULL;
	case 400:
	case 404:
		return ERR_INVALID;
	}
	return ERR_UNKNOWN;
}

/* The last column is the latency of a serving task, else the cpu in use. */
static int take_run(struct run_status *run, const json_t *row)
{
	const char *task = json_string_value(json_array_get(row, 0));
	const char *saved = json_string_value(json_array_get(row, 2));

	memset(run, 0, sizeof(*run));
	if (!task || task_name_parse(task, &run->task))
		return 0;
	run->run = (uint32_t)json_integer_value(json_array_get(row, 1));
	run->phase = RUN_ACTIVE;
	run->checkpoint = saved ? saved : "";
	run->progress_percent =
		(uint32_t)json_number_value(json_array_get(row, 3));
	run->latency_or_cpu =
		(uint32_t)json_number_value(json_array_get(row, 4));
	run->detail = "";
	return 1;
}

static int take_end(struct ended_run *end, const json_t *row)
{
	const char *task = json_string_value(json_array_get(row, 1));
	const char *how = json_string_value(json_array_get(row, 3));
	const char *saved = json_string_value(json_array_get(row, 4));
	int i;

	memset(end, 0, sizeof(*end));
	if (!task || !how || task_name_parse(task, &end->task))
		return 0;
	for (i = 0; i < RUN_END_COUNT && strcmp(how, end_words[i]); i++)
		;
	if (i == RUN_END_COUNT)
		return 0;
	end->number = (uint64_t)json_integer_value(json_array_get(row, 0));
	end->run = (uint32_t)json_integer_value(json_array_get(row, 2));
	end->how = (uint32_t)i;
	end->checkpoint = saved ? saved : "";
	return 1;
}

static void take_lists(struct lists *lists, const json_t *root)
{
	const json_t *runs = json_object_get(root, "active");
	const json_t *ends = json_object_get(root, "ended");
	size_t i;

	lists->runs = xcalloc(json_array_size(runs) + 1, sizeof(*lists->runs));
	lists->ends = xcalloc(json_array_size(ends) + 1, sizeof(*lists->ends));
	for (i = 0; i < json_array_size(runs); i++)
		lists->run_count +=
			(size_t)take_run(&lists->runs[lists->run_count],
					 json_array_get(runs, i));
	for (i = 0; i < json_array_size(ends); i++)
		lists->end_count +=
			(size_t)take_end(&lists->ends[lists->end_count],
					 json_array_get(ends, i));
}

static void answer_call(struct call *call, int status, const char *body,
			size_t len)
{
	json_t *root = json_loadb(body, len, 0, NULL);
	const json_t *clock = json_object_get(root, "clockMs");
	const json_t *born = json_object_get(root, "born");
	struct worker_response answer = { .clock_ms = -1 };
	struct lists lists = { 0 };

	answer.err = status_error(status, root);
	if (!answer.err && !json_is_object(root))
		answer.err = ERR_UNKNOWN;
	if (json_is_number(clock))
		answer.clock_ms = (int64_t)json_number_value(clock);
	if (json_is_integer(born))
		answer.worker_start_ms = (uint64_t)json_integer_value(born);
	if (!answer.err)
		take_lists(&lists, root);
	answer.runs = lists.runs;
	answer.run_count = lists.run_count;
	answer.ends = lists.ends;
	answer.end_count = lists.end_count;
	call_finish(call, &answer);
	free(lists.runs);
	free(lists.ends);
	json_decref(root);
}

static void on_end(void *arg, int err, int status, const char *body, size_t len)
{
	struct worker_response answer = { .clock_ms = -1 };
	struct call *call = arg;

	call->http = NULL;
	if (!err) {
		answer_call(call, status, body, len);
		return;
	}
	answer.err = err == ERR_UNAVAILABLE || err == ERR_INVALID ? err
								  : ERR_UNKNOWN;
	call_finish(call, &answer);
}

/* Releases body. */
static void start(struct workercall *calls, const struct worker_target *target,
		  const char *path, json_t *body, int64_t timeout_ms,
		  workercall_fn fn, void *arg)
{
	char *text = json_dumps(body, JSON_COMPACT);
	struct jsoncall_request request = {
		.method = "POST",
		.path = path,
		.body = text ? text : "{}",
		.header = { "X-Expect-Instance", target->id },
		.timeout_ms = timeout_ms,
	};
	struct call *call = xcalloc(1, sizeof(*call));

	json_decref(body);
	call->calls = calls;
	call->fn = fn;
	call->arg = arg;
	list_add_tail(&calls->calls, &call->node);
	call->http = jsoncall_start(calls->peer, &request, on_end, call);
	free(text);
}

struct workercall *workercall_new(struct loop *loop, const char *address,
				  int64_t timeout_ms)
{
	struct jsoncall_peer *peer =
		jsoncall_peer_new(loop, address, IDLE_CONNECTIONS);
	struct workercall *calls;

	if (!peer)
		return NULL;
	calls = xcalloc(1, sizeof(*calls));
	calls->peer = peer;
	calls->timeout_ms = timeout_ms;
	list_init(&calls->calls);
	return calls;
}

static void drop_calls(struct workercall *calls, const void *arg)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &calls->calls) {
		struct call *call = list_entry(pos, struct call, node);

		if (!arg || call->arg == arg)
			call_free(call);
	}
}

void workercall_delete(struct workercall *calls)
{
	if (!calls)
		return;
	drop_calls(calls, NULL);
	jsoncall_peer_delete(calls->peer);
	free(calls);
}

void workercall_cancel(struct workercall *calls, const void *arg)
{
	drop_calls(calls, arg);
}

static json_t *order_body(const struct worker_target *target,
			  const struct task_id *task, uint32_t run)
{
	char name[TASK_NAME_SIZE];

	task_name_format(task, name, sizeof(name));
	return json_pack("{s:s, s:I, s:I}", "task", name, "runId",
			 (json_int_t)run, "fencingToken",
			 (json_int_t)target->fence);
}

void workercall_start(struct workercall *calls,
		      const struct worker_target *target,
		      const struct run_order *order, int64_t until_ms,
		      workercall_fn fn, void *arg)
{
	json_t *body = order_body(target, &order->task, order->run);

	json_object_set_new(body, "spec",
			    json_string(order->payload ? order->payload : ""));
	json_object_set_new(body, "untilMs", json_integer(until_ms));
	if (order->checkpoint && *order->checkpoint)
		json_object_set_new(body, "checkpoint",
				    json_string(order->checkpoint));
	start(calls, target, "/catkinhill/run-start", body, calls->timeout_ms,
	      fn, arg);
}

void workercall_stop(struct workercall *calls,
		     const struct worker_target *target,
		     const struct task_id *task, uint32_t run, workercall_fn fn,
		     void *arg)
{
	start(calls, target, "/catkinhill/run-stop",
	      order_body(target, task, run), calls->timeout_ms, fn, arg);
}

void workercall_set_pace(struct workercall *calls,
			 const struct worker_target *target,
			 const struct task_id *task, uint32_t run,
			 uint32_t percent, workercall_fn fn, void *arg)
{
	json_t *body = order_body(target, task, run);

	json_object_set_new(body, "percent", json_integer(percent));
	start(calls, target, "/catkinhill/pace", body, calls->timeout_ms, fn,
	      arg);
}

void workercall_poll(struct workercall *calls,
		     const struct worker_target *target, int64_t until_ms,
		     uint64_t ends_seen, int64_t wait_ms, workercall_fn fn,
		     void *arg)
{
	json_t *body =
		json_pack("{s:I, s:I, s:I}", "fencingToken",
			  (json_int_t)target->fence, "lastSeen",
			  (json_int_t)ends_seen, "waitMs", (json_int_t)wait_ms);

	if (until_ms > 0)
		json_object_set_new(body, "untilMs", json_integer(until_ms));
	start(calls, target, "/catkinhill/hold", body,
	      wait_ms + calls->timeout_ms, fn, arg);
}
