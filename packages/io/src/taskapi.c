#include "taskapi.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "errors.h"
#include "httpc.h"
#include "list.h"
#include "mem.h"

#define IDLE_CONNECTIONS_MAX 4
#define RESPONSE_MAX_BYTES (4 * 1024 * 1024)

struct taskapi {
	struct loop *loop;
	struct httpc_pool *pool;
	int64_t timeout_ms;
	struct list calls;
};

enum call_kind {
	CALL_PLAIN,
	CALL_CHECKPOINT,
	CALL_LIST
};

struct call {
	struct list node;
	struct taskapi *api;
	enum call_kind kind;
	union {
		taskapi_fn plain;
		taskapi_checkpoint_fn checkpoint;
		taskapi_list_fn list;
	} fn;
	void *arg;
	struct httpc_call *http;
	struct loop_timer *failure_timer; /* when the start failed */
	int start_err;
	char *response;
	size_t response_len;
};

static void call_delete(struct call *call)
{
	if (call->http)
		httpc_cancel(call->http);
	loop_timer_delete(call->failure_timer);
	list_del(&call->node);
	free(call->response);
	free(call);
}

struct taskapi *taskapi_new(struct loop *loop, const char *address,
			    int64_t timeout_ms)
{
	struct taskapi *api = xcalloc(1, sizeof(*api));

	api->loop = loop;
	api->timeout_ms = timeout_ms;
	list_init(&api->calls);
	api->pool = httpc_pool_new(loop, address, IDLE_CONNECTIONS_MAX);
	if (api->pool)
		return api;
	free(api);
	return NULL;
}

void taskapi_delete(struct taskapi *api)
{
	struct list *pos, *tmp;

	if (!api)
		return;
	list_for_each_safe (pos, tmp, &api->calls)
		call_delete(list_entry(pos, struct call, node));
	httpc_pool_delete(api->pool);
	free(api);
}

static const char *get_text(const json_t *root, const char *key)
{
	const char *text = json_string_value(json_object_get(root, key));

	return text ? text : "";
}

static uint32_t get_uint32(const json_t *root, const char *key)
{
	json_int_t n = json_integer_value(json_object_get(root, key));

	return n < 0 ? 0 : n > UINT32_MAX ? UINT32_MAX : (uint32_t)n;
}

static struct resources decode_resources(const json_t *root)
{
	struct resources r = { get_uint32(root, "cpu_milli"),
			       get_uint32(root, "mem_mb"),
			       get_uint32(root, "accel") };

	return r;
}

static const struct {
	const char *name;
	enum task_state state;
} states[] = {
	{ "running", TASK_RUNNING },
	{ "stopped", TASK_STOPPED },
	{ "finished", TASK_FINISHED },
	{ "failed", TASK_FAILED },
};

static int find_state(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(states) / sizeof(states[0]); i++)
		if (!strcmp(states[i].name, name))
			return (int)states[i].state;
	return -1;
}

static int decode_task(struct taskapi_task *task, const json_t *row)
{
	const json_t *run = json_object_get(row, "run");
	int state = find_state(get_text(row, "state"));
	const char *job = get_text(row, "job");

	if (state < 0 || !*job || strlen(job) >= ID_SIZE ||
	    !json_is_integer(run) || json_integer_value(run) < 0)
		return ERR_MALFORMED;
	str_copy(task->status.job, job, sizeof(task->status.job));
	task->status.run = (uint64_t)json_integer_value(run);
	task->status.state = (uint32_t)state;
	task->status.used = decode_resources(json_object_get(row, "used"));
	task->status.checkpoint = get_text(row, "checkpoint");
	task->status.detail = get_text(row, "detail");
	task->declared = decode_resources(row);
	return 0;
}

static void finish_list(struct call *call, int err, const json_t *root)
{
	const json_t *rows = json_object_get(root, "tasks");
	struct taskapi_task *tasks;
	size_t i, count = json_array_size(rows);

	if (!err && (!json_is_array(rows) || count > TASKAPI_LIST_MAX))
		err = ERR_MALFORMED;
	if (err) {
		call->fn.list(call->arg, err, NULL, 0);
		return;
	}
	tasks = xcalloc(count + 1, sizeof(*tasks));
	for (i = 0; i < count && !err; i++)
		err = decode_task(&tasks[i], json_array_get(rows, i));
	call->fn.list(call->arg, err, tasks, err ? 0 : count);
	free(tasks);
}

/* See docs/worker-interface.md for the responses. */
static int call_outcome(int err, int status, const json_t *root)
{
	const char *name = get_text(root, "error");

	if (err)
		return err == ERR_UNAVAILABLE || err == ERR_INVALID
			       ? err
			       : ERR_UNKNOWN;
	if (status == 200)
		return json_is_object(root) ? 0 : ERR_UNKNOWN;
	if (status == 400)
		return ERR_INVALID;
	if (status == 404)
		return ERR_NOT_FOUND;
	if (status == 409)
		return strcmp(name, "ended") ? ERR_FENCED : ERR_CONFLICT;
	if (status == 412)
		return ERR_TIMEOUT;
	if (status == 507)
		return ERR_FULL;
	return ERR_UNKNOWN;
}

static void call_end(struct call *call, int err, int status)
{
	json_t *root = json_loadb(call->response ? call->response : "",
				  call->response_len, 0, NULL);

	call->http = NULL;
	err = call_outcome(err, status, root);
	switch (call->kind) {
	case CALL_PLAIN:
		call->fn.plain(call->arg, err);
		break;
	case CALL_CHECKPOINT:
		call->fn.checkpoint(call->arg, err,
				    err ? "" : get_text(root, "checkpoint"));
		break;
	case CALL_LIST:
		finish_list(call, err, root);
	}
	json_decref(root);
	call_delete(call);
}

static void on_data(void *arg, const void *data, size_t len)
{
	struct call *call = arg;

	call->response = xrealloc(call->response, call->response_len + len);
	memcpy(call->response + call->response_len, data, len);
	call->response_len += len;
}

static void on_end(void *arg, int err, int status)
{
	call_end(arg, err, status);
}

static void on_failure(void *arg)
{
	struct call *call = arg;

	call_end(call, call->start_err, 0);
}

static void fail_later(struct call *call, int err)
{
	call->start_err = err;
	call->failure_timer = loop_timer_new(call->api->loop, on_failure, call);
	loop_timer_start(call->failure_timer, 0);
}

static struct call *call_new(struct taskapi *api, enum call_kind kind,
			     void *arg)
{
	struct call *call = xcalloc(1, sizeof(*call));

	call->api = api;
	call->kind = kind;
	call->arg = arg;
	list_add_tail(&api->calls, &call->node);
	return call;
}

static void call_start(struct call *call, const char *method, const char *path,
		       const char *body)
{
	static const struct httpc_handlers handlers = { NULL, on_data, on_end };
	struct http_header type = { "Content-Type", "application/json" };
	struct header_list headers = { &type, body ? 1 : 0 };
	struct httpc_request request = { .method = method,
					 .path = path,
					 .headers = &headers,
					 .body = body,
					 .body_len = body ? strlen(body) : 0,
					 .timeout_ms = call->api->timeout_ms,
					 .max_response_bytes =
						 RESPONSE_MAX_BYTES };

	call->http = httpc_start(call->api->pool, &request, &handlers, call);
	if (!call->http)
		fail_later(call, ERR_UNAVAILABLE);
}

/* Takes over the reference to body. */
static void post(struct call *call, const char *job, const char *action,
		 json_t *body)
{
	char *path = xstrfmt("/tasks/%s/%s", job, action);
	char *text = json_dumps(body, JSON_COMPACT);

	/* Text that is not UTF-8 cannot be sent as JSON. */
	if (text)
		call_start(call, "POST", path, text);
	else
		fail_later(call, ERR_INVALID);
	json_decref(body);
	free(text);
	free(path);
}

void taskapi_start(struct taskapi *api, const struct taskapi_start *start,
		   taskapi_fn fn, void *arg)
{
	struct call *call = call_new(api, CALL_PLAIN, arg);

	call->fn.plain = fn;
	post(call, start->job, "start",
	     json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:s, s:s}", "run",
		       (json_int_t)start->run, "lease_ms",
		       (json_int_t)start->lease.lease_ms, "not_after_ms",
		       (json_int_t)start->lease.not_after.ms, "cpu_milli",
		       (json_int_t)start->reserved.cpu_milli, "mem_mb",
		       (json_int_t)start->reserved.mem_mb, "accel",
		       (json_int_t)start->reserved.accel, "checkpoint",
		       start->checkpoint, "command", start->command));
}

void taskapi_renew(struct taskapi *api, const char *job, uint64_t run,
		   const struct taskapi_lease *lease, taskapi_fn fn, void *arg)
{
	struct call *call = call_new(api, CALL_PLAIN, arg);

	call->fn.plain = fn;
	post(call, job, "renew",
	     json_pack("{s:I, s:I, s:I}", "run", (json_int_t)run, "lease_ms",
		       (json_int_t)lease->lease_ms, "not_after_ms",
		       (json_int_t)lease->not_after.ms));
}

void taskapi_checkpoint(struct taskapi *api, const char *job, uint64_t run,
			taskapi_checkpoint_fn fn, void *arg)
{
	struct call *call = call_new(api, CALL_CHECKPOINT, arg);

	call->fn.checkpoint = fn;
	post(call, job, "checkpoint",
	     json_pack("{s:I}", "run", (json_int_t)run));
}

void taskapi_throttle(struct taskapi *api, const char *job, uint64_t run,
		      uint32_t percent, taskapi_fn fn, void *arg)
{
	struct call *call = call_new(api, CALL_PLAIN, arg);

	call->fn.plain = fn;
	post(call, job, "throttle",
	     json_pack("{s:I, s:I}", "run", (json_int_t)run, "percent",
		       (json_int_t)percent));
}

void taskapi_stop(struct taskapi *api, const char *job, uint64_t run,
		  int checkpoint, taskapi_checkpoint_fn fn, void *arg)
{
	struct call *call = call_new(api, CALL_CHECKPOINT, arg);

	call->fn.checkpoint = fn;
	post(call, job, "stop",
	     json_pack("{s:I, s:b}", "run", (json_int_t)run, "checkpoint",
		       checkpoint));
}

void taskapi_list(struct taskapi *api, taskapi_list_fn fn, void *arg)
{
	struct call *call = call_new(api, CALL_LIST, arg);

	call->fn.list = fn;
	call_start(call, "GET", "/tasks", NULL);
}
