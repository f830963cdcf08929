#include "workercall.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "errors.h"
#include "jsoncall.h"
#include "list.h"
#include "mem.h"
#include "sysclock.h"
#include "tasknames.h"

/* Starts come in bursts; a worker accepts 64 connections. */
#define IDLE_CONNECTIONS 24
/* A worker returns the first ones of more ends than this. */
#define ENDS_LISTED_MAX 500
/*
 * Lists may have long checkpoints. One that no message can carry is shortened
 * as it arrives, so that memory is bound by what is left.
 */
#define RESPONSE_MAX_BYTES (64 * 1024 * 1024)
#define TRIMMED_MAX_BYTES (8 * 1024 * 1024)
/* Lets sums of times of a worker's clock not overflow. */
#define CLOCK_MAX_MS (INT64_MAX / 4)

struct call {
	struct list node;
	struct workercall *client;
	workercall_fn fn;
	void *arg;
	struct jsoncall *http;
	struct mstime started_at;
};

struct workercall {
	struct jsoncall_peer *peer;
	struct jsoncall_peer *poll_peer; /* has the connection of polls */
	int64_t timeout_ms;
	struct list calls;
};

/* Rows of the lists; texts point into the JSON document. */
struct lists {
	struct run_status *runs;
	size_t run_count;
	struct ended_run *ends;
	size_t end_count;
	int has_more_ends;
};

static const struct {
	const char *reason;
	int err;
} refusals[] = {
	{ "fence", ERR_FENCED },   { "old", ERR_EXISTS },
	{ "late", ERR_TIMEOUT },   { "room", ERR_FULL },
	{ "ticket", ERR_INVALID },
};

static const char *const end_names[RUN_END_COUNT] = {
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

static void call_finish(struct call *call,
			const struct worker_response *response)
{
	call->http = NULL;
	list_del(&call->node);
	call->fn(call->arg, response);
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
		return ERR_NOT_FOUND;
	case 429:
	case 503:
		return ERR_FULL;
	case 400:
	case 404:
		return ERR_INVALID;
	}
	return ERR_UNKNOWN;
}

/* RETURN VALUE: 0 for what is no whole number from min to max. */
static int read_whole(const json_t *value, json_int_t min, json_int_t max,
		      json_int_t *number)
{
	*number = json_integer_value(value);
	return json_is_integer(value) && *number >= min && *number <= max;
}

/* A rough figure: what is no number counts as 0. */
static uint32_t read_figure(const json_t *value)
{
	double number = json_number_value(value);

	if (number <= 0)
		return 0;
	return number < UINT32_MAX ? (uint32_t)number : UINT32_MAX;
}

static int64_t read_clock(const json_t *value)
{
	double number = json_is_number(value) ? json_number_value(value) : -1;

	return number >= 0 && number <= CLOCK_MAX_MS ? (int64_t)number : -1;
}

/* The last column is the latency of a serving task, else its CPU use. */
static int parse_run(struct run_status *run, const json_t *row)
{
	const char *task = json_string_value(json_array_get(row, 0));
	const char *checkpoint = json_string_value(json_array_get(row, 2));
	json_int_t number;

	memset(run, 0, sizeof(*run));
	if (!task || task_name_parse(task, &run->task) ||
	    !read_whole(json_array_get(row, 1), 0, UINT32_MAX, &number))
		return 0;
	run->run = (uint32_t)number;
	run->phase = RUN_ACTIVE;
	run->checkpoint = checkpoint ? checkpoint : "";
	run->progress_percent = read_figure(json_array_get(row, 3));
	run->latency_or_cpu = read_figure(json_array_get(row, 4));
	run->detail = "";
	return 1;
}

static int parse_end(struct ended_run *end, const json_t *row)
{
	const char *task = json_string_value(json_array_get(row, 1));
	const char *how = json_string_value(json_array_get(row, 3));
	const char *checkpoint = json_string_value(json_array_get(row, 4));
	json_int_t number, run;
	int i;

	memset(end, 0, sizeof(*end));
	if (!task || !how || task_name_parse(task, &end->task) ||
	    !read_whole(json_array_get(row, 0), 1, INT64_MAX, &number) ||
	    !read_whole(json_array_get(row, 2), 0, UINT32_MAX, &run))
		return 0;
	for (i = 0; i < RUN_END_COUNT && strcmp(how, end_names[i]); i++)
		;
	if (i == RUN_END_COUNT)
		return 0;
	end->number = (uint64_t)number;
	end->run = (uint32_t)run;
	end->how = (uint32_t)i;
	end->checkpoint = checkpoint ? checkpoint : "";
	return 1;
}

static void parse_lists(struct lists *lists, const json_t *root)
{
	const json_t *runs = json_object_get(root, "active");
	const json_t *ends = json_object_get(root, "ended");
	size_t i;

	lists->runs = xcalloc(json_array_size(runs) + 1, sizeof(*lists->runs));
	lists->ends = xcalloc(json_array_size(ends) + 1, sizeof(*lists->ends));
	lists->has_more_ends = json_array_size(ends) >= ENDS_LISTED_MAX;
	for (i = 0; i < json_array_size(runs); i++)
		lists->run_count +=
			(size_t)parse_run(&lists->runs[lists->run_count],
					  json_array_get(runs, i));
	for (i = 0; i < json_array_size(ends); i++)
		lists->end_count +=
			(size_t)parse_end(&lists->ends[lists->end_count],
					  json_array_get(ends, i));
}

static void finish_with_response(struct call *call, int status,
				 const char *body, size_t len)
{
	json_t *root = json_loadb(body, len, 0, NULL);
	struct worker_response response = { .clock_ms = -1 };
	struct lists lists = { 0 };
	json_int_t start_ms;

	response.err = status_error(status, root);
	if (!response.err && !json_is_object(root))
		response.err = ERR_UNKNOWN;
	response.clock_ms = read_clock(json_object_get(root, "clockMs"));
	if (read_whole(json_object_get(root, "born"), 1, INT64_MAX, &start_ms))
		response.worker_start_ms = (uint64_t)start_ms;
	if (!response.err)
		parse_lists(&lists, root);
	response.runs = lists.runs;
	response.run_count = lists.run_count;
	response.ends = lists.ends;
	response.end_count = lists.end_count;
	response.has_more_ends = lists.has_more_ends;
	call_finish(call, &response);
	free(lists.runs);
	free(lists.ends);
	json_decref(root);
}

static void on_end(void *arg, int err, int status, const char *body, size_t len)
{
	struct worker_response response = { .clock_ms = -1 };
	struct call *call = arg;

	call->http = NULL;
	/* Connections of orders lead to the same worker. */
	if (err == ERR_TIMEOUT)
		jsoncall_peer_drop_idle(call->client->peer, call->started_at);
	if (!err) {
		finish_with_response(call, status, body, len);
		return;
	}
	response.err = err == ERR_UNAVAILABLE || err == ERR_INVALID
			       ? err
			       : ERR_UNKNOWN;
	call_finish(call, &response);
}

/* Takes over the reference to body. */
static void send_call(struct workercall *client, struct jsoncall_peer *peer,
		      struct jsoncall_request *request, json_t *body,
		      workercall_fn fn, void *arg)
{
	char *text = json_dumps(body, JSON_COMPACT);
	struct call *call = xcalloc(1, sizeof(*call));

	json_decref(body);
	request->method = "POST";
	request->body = text ? text : "{}";
	request->header.name = "X-Expect-Instance";
	request->max_response_bytes = RESPONSE_MAX_BYTES;
	request->max_string_bytes = RUN_CHECKPOINT_MAX;
	request->max_trimmed_bytes = TRIMMED_MAX_BYTES;
	call->client = client;
	call->fn = fn;
	call->arg = arg;
	call->started_at = sysclock_now();
	list_add_tail(&client->calls, &call->node);
	call->http = jsoncall_start(peer, request, on_end, call);
	free(text);
}

static void send_order(struct workercall *client,
		       const struct worker_target *target, const char *path,
		       json_t *body, workercall_fn fn, void *arg)
{
	struct jsoncall_request request = {
		.path = path,
		.header.value = target->id,
		.timeout_ms = client->timeout_ms,
	};

	send_call(client, client->peer, &request, body, fn, arg);
}

struct workercall *workercall_new(struct loop *loop, const char *address,
				  int64_t timeout_ms)
{
	struct jsoncall_peer *peer =
		jsoncall_peer_new(loop, address, IDLE_CONNECTIONS);
	struct workercall *client;

	if (!peer)
		return NULL;
	client = xcalloc(1, sizeof(*client));
	client->peer = peer;
	client->poll_peer = jsoncall_peer_new(loop, address, 1);
	client->timeout_ms = timeout_ms;
	list_init(&client->calls);
	return client;
}

static void cancel_calls(struct workercall *client, const void *arg)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &client->calls) {
		struct call *call = list_entry(pos, struct call, node);

		if (!arg || call->arg == arg)
			call_free(call);
	}
}

void workercall_delete(struct workercall *client)
{
	if (!client)
		return;
	cancel_calls(client, NULL);
	jsoncall_peer_delete(client->poll_peer);
	jsoncall_peer_delete(client->peer);
	free(client);
}

void workercall_cancel(struct workercall *client, const void *arg)
{
	cancel_calls(client, arg);
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

void workercall_start(struct workercall *client,
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
	send_order(client, target, "/catkinhill/run-start", body, fn, arg);
}

void workercall_stop(struct workercall *client,
		     const struct worker_target *target,
		     const struct task_id *task, uint32_t run, workercall_fn fn,
		     void *arg)
{
	send_order(client, target, "/catkinhill/run-stop",
		   order_body(target, task, run), fn, arg);
}

void workercall_set_pace(struct workercall *client,
			 const struct worker_target *target,
			 const struct task_id *task, uint32_t run,
			 uint32_t percent, workercall_fn fn, void *arg)
{
	json_t *body = order_body(target, task, run);

	json_object_set_new(body, "percent", json_integer(percent));
	send_order(client, target, "/catkinhill/pace", body, fn, arg);
}

static json_t *poll_body(const struct worker_target *target,
			 const struct worker_poll *poll)
{
	json_t *body = json_pack("{s:I, s:I, s:I}", "fencingToken",
				 (json_int_t)target->fence, "lastSeen",
				 (json_int_t)poll->after_end_number, "waitMs",
				 (json_int_t)poll->wait_ms);

	if (poll->until_ms > 0)
		json_object_set_new(body, "untilMs",
				    json_integer(poll->until_ms));
	return body;
}

void workercall_poll(struct workercall *client,
		     const struct worker_target *target,
		     const struct worker_poll *poll, workercall_fn fn,
		     void *arg)
{
	struct jsoncall_request request = {
		.path = "/catkinhill/hold",
		.header.value = target->id,
		.timeout_ms = poll->wait_ms + client->timeout_ms,
		.reuse_only = poll->same_connection,
	};

	send_call(client, client->poll_peer, &request, poll_body(target, poll),
		  fn, arg);
}

void workercall_identify(struct workercall *client,
			 const struct worker_target *target, workercall_fn fn,
			 void *arg)
{
	const struct worker_poll poll = { 0 };

	send_order(client, target, "/catkinhill/hold", poll_body(target, &poll),
		   fn, arg);
}

int workercall_is_connected(const struct workercall *client)
{
	return jsoncall_peer_is_connected(client->poll_peer);
}
