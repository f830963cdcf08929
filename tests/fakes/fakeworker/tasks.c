#include "fakeworker/fakeworker.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

/* For this long after the start, a task reports the reserved amount as used. */
#define USAGE_LAG_MS 1000

enum state {
	RUNNING,
	STOPPED,
	FINISHED,
	FAILED,
	ABSENT /* the stop of this run arrived before its start */
};

static const char *const state_names[] = { "running", "stopped", "finished",
					   "failed", "absent" };

struct task {
	struct list node;
	struct worker *worker;
	char job[ID_SIZE];
	int64_t run;
	enum state state;
	int64_t reserved[USAGE_COUNT]; /* as declared in the start */
	int64_t used[USAGE_COUNT];
	int64_t started_at_ms;
	int64_t lease_expires_at_ms;
	int64_t step, step_count, step_ms, fail_at_step;
	int64_t throttle_percent;
	int64_t request_delay_ms; /* added to requests at 100 percent */
	int64_t checkpoint_len;	  /* least length, for which it is padded */
	char checkpoint[512];
	const char *detail;
	struct event *step_timer, *lease_timer;
};

static int64_t get_integer(const json_t *root, const char *key)
{
	return json_integer_value(json_object_get(root, key));
}

static const char *get_text(const json_t *root, const char *key)
{
	const char *value = json_string_value(json_object_get(root, key));

	return value ? value : "";
}

static struct task *find_task(struct worker *worker, const char *job)
{
	struct list *pos;

	list_for_each (pos, &worker->tasks) {
		struct task *task = list_entry(pos, struct task, node);

		if (!strcmp(task->job, job))
			return task;
	}
	return NULL;
}

static void set_timer(struct event *timer, int64_t ms)
{
	struct timeval tv = { ms / 1000, ms % 1000 * 1000 };

	event_add(timer, &tv);
}

static json_t *make_record(const struct task *task, const char *kind)
{
	return json_pack("{s:s, s:s, s:I, s:I}", "kind", kind, "id", task->job,
			 "run", (json_int_t)task->run, "step",
			 (json_int_t)task->step);
}

static void record_event(struct task *task, const char *kind)
{
	record_add(task->worker, make_record(task, kind));
}

/* Without a ledger, a repeated step takes effect again. */
static void apply_step(struct task *task)
{
	struct worker *worker = task->worker;
	json_t *effect;

	if (!worker->ledger_dir) {
		record_event(task, "task-effect");
		return;
	}
	effect = make_record(task, "task-effect");
	record_stamp(worker, effect);
	worker->skipped_step_count +=
		!ledger_apply(worker, task->job, task->step, effect);
	json_decref(effect);
}

static void end_task(struct task *task, enum state state, const char *detail)
{
	int i;

	for (i = USAGE_CPU; i < USAGE_COUNT; i++)
		record_usage(task->worker, i, -task->reserved[i]);
	task->state = state;
	task->detail = detail;
	event_del(task->step_timer);
	event_del(task->lease_timer);
	record_event(task, "task-stop");
}

static void write_checkpoint(struct task *task)
{
	int len = snprintf(task->checkpoint, sizeof(task->checkpoint),
			   "step-%lld", (long long)task->step);

	for (; len < task->checkpoint_len; len++)
		task->checkpoint[len] = '-';
	task->checkpoint[len] = '\0';
}

static void on_lease_expired(evutil_socket_t fd, short what, void *arg)
{
	struct task *task = arg;

	write_checkpoint(task);
	end_task(task, STOPPED, "lease-expired");
}

static void set_lease(struct task *task, const json_t *body, int64_t now_ms)
{
	int64_t lease_ms = get_integer(body, "lease_ms");

	task->lease_expires_at_ms = now_ms + lease_ms;
	set_timer(task->lease_timer, lease_ms);
}

/* After a pause of this process, a call may run before the lease timer. */
static void check_lease_expiry(struct task *task)
{
	if (task->state == RUNNING &&
	    worker_boottime_ms() >= task->lease_expires_at_ms)
		on_lease_expired(-1, 0, task);
}

static void schedule_step(struct task *task)
{
	/* At 0 percent, on_step() makes no progress but checks again. */
	int64_t percent =
		task->throttle_percent > 0 ? task->throttle_percent : 1;

	set_timer(task->step_timer, task->step_ms * 100 / percent);
}

static void on_step(evutil_socket_t fd, short what, void *arg)
{
	struct task *task = arg;

	check_lease_expiry(task);
	if (task->state != RUNNING)
		return;
	if (task->throttle_percent == 0) {
		schedule_step(task);
		return;
	}
	if (task->worker->faults.fail_all || task->step == task->fail_at_step) {
		end_task(task, FAILED, "failed");
		return;
	}
	if (task->step < task->step_count) {
		apply_step(task);
		task->step++;
	}
	if (task->step < task->step_count) {
		schedule_step(task);
		return;
	}
	write_checkpoint(task);
	end_task(task, FINISHED, "finished");
}

static int64_t parse_option(const char *command, const char *key,
			    int64_t default_value)
{
	const char *at = strstr(command, key);

	return at ? strtoll(at + strlen(key), NULL, 10) : default_value;
}

/* Example: "steps=100 step_ms=10 fail_at=3 usage_mem_mb=4000", or "fail". */
static void parse_command(struct task *task, const char *command)
{
	task->step_count = parse_option(command, "steps=", 10);
	task->step_ms = parse_option(command, "step_ms=", 10);
	task->fail_at_step = parse_option(command, "fail_at=", -1);
	task->request_delay_ms = parse_option(command, "slow_ms=", 0);
	task->checkpoint_len = parse_option(command, "checkpoint_len=", 0);
	if (task->checkpoint_len >= (int64_t)sizeof(task->checkpoint))
		task->checkpoint_len = sizeof(task->checkpoint) - 1;
	if (!strncmp(command, "fail", 4) && task->fail_at_step < 0)
		task->fail_at_step = task->step;
	task->used[USAGE_CPU] = parse_option(
		command, "usage_cpu_milli=", task->reserved[USAGE_CPU]);
	task->used[USAGE_MEM] = parse_option(
		command, "usage_mem_mb=", task->reserved[USAGE_MEM]);
	task->used[USAGE_ACCEL] = task->reserved[USAGE_ACCEL];
}

static struct task *task_new(struct worker *worker, const char *job,
			     int64_t run)
{
	struct task *task = xcalloc(1, sizeof(*task));

	task->worker = worker;
	str_copy(task->job, job, sizeof(task->job));
	task->run = run;
	task->state = ABSENT;
	task->detail = "";
	task->throttle_percent = 100;
	task->step_timer = evtimer_new(worker->base, on_step, task);
	task->lease_timer = evtimer_new(worker->base, on_lease_expired, task);
	list_add_tail(&worker->tasks, &task->node);
	return task;
}

static void task_delete(struct task *task)
{
	if (task->state == RUNNING)
		end_task(task, STOPPED, "replaced");
	event_free(task->step_timer);
	event_free(task->lease_timer);
	list_del(&task->node);
	free(task);
}

void tasks_clear(struct worker *worker)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &worker->tasks)
		task_delete(list_entry(pos, struct task, node));
}

int64_t tasks_delay_ms(const struct worker *worker)
{
	const struct list *pos;
	int64_t sum = 0;

	list_for_each (pos, &worker->tasks) {
		const struct task *task = list_entry(pos, struct task, node);

		if (task->state == RUNNING)
			sum += task->request_delay_ms * task->throttle_percent /
			       100;
	}
	return sum;
}

static int error_response(json_t **response, int status, const char *name)
{
	*response = json_pack("{s:s}", "error", name);
	return status;
}

/* RETURN VALUE: 0 if the grant is valid at now_ms, else the HTTP status. */
static int check_grant(struct worker *worker, const json_t *body,
		       int64_t now_ms, json_t **response)
{
	const json_t *not_after = json_object_get(body, "not_after_ms");

	if (!json_is_integer(not_after))
		return error_response(response, 400, "invalid");
	if (now_ms < json_integer_value(not_after))
		return 0;
	worker->late_grant_count++;
	return error_response(response, 412, "grant-ended");
}

static int serve_start(struct worker *worker, struct task *task,
		       const char *job, const json_t *body, json_t **response)
{
	const char *checkpoint = get_text(body, "checkpoint");
	int64_t now_ms = worker_boottime_ms();
	int is_current_run = task && get_integer(body, "run") == task->run;
	int i, status;

	if (is_current_run && task->state == ABSENT)
		return error_response(response, 409, "fenced");
	status = check_grant(worker, body, now_ms, response);
	if (status)
		return status;
	if (is_current_run)
		return 200;
	if (task)
		task_delete(task);
	task = task_new(worker, job, get_integer(body, "run"));
	task->state = RUNNING;
	task->started_at_ms = now_ms;
	task->reserved[USAGE_CPU] = get_integer(body, "cpu_milli");
	task->reserved[USAGE_MEM] = get_integer(body, "mem_mb");
	task->reserved[USAGE_ACCEL] = get_integer(body, "accel");
	str_copy(task->checkpoint, checkpoint, sizeof(task->checkpoint));
	sscanf(checkpoint, "step-%" SCNd64, &task->step);
	parse_command(task, get_text(body, "command"));
	for (i = USAGE_CPU; i < USAGE_COUNT; i++)
		record_usage(worker, i, task->reserved[i]);
	record_event(task, "task-start");
	set_lease(task, body, now_ms);
	schedule_step(task);
	return 200;
}

static int serve_renew(struct worker *worker, struct task *task,
		       const char *job, const json_t *body, json_t **response)
{
	int64_t now_ms = worker_boottime_ms();
	int status;

	if (task->state != RUNNING)
		return error_response(response, 409, "ended");
	status = check_grant(worker, body, now_ms, response);
	if (status)
		return status;
	set_lease(task, body, now_ms);
	return 200;
}

static int serve_checkpoint(struct worker *worker, struct task *task,
			    const char *job, const json_t *body,
			    json_t **response)
{
	if (task->state != RUNNING)
		return error_response(response, 409, "ended");
	write_checkpoint(task);
	*response = json_pack("{s:s}", "checkpoint", task->checkpoint);
	return 200;
}

static int serve_throttle(struct worker *worker, struct task *task,
			  const char *job, const json_t *body,
			  json_t **response)
{
	if (task->state != RUNNING)
		return error_response(response, 409, "ended");
	task->throttle_percent = get_integer(body, "percent");
	return 200;
}

static int serve_stop(struct worker *worker, struct task *task, const char *job,
		      const json_t *body, json_t **response)
{
	if (task->state == FINISHED || task->state == FAILED)
		return error_response(response, 409, "ended");
	if (task->state == ABSENT)
		return error_response(response, 404, "not-found");
	if (task->state == RUNNING) {
		if (json_is_true(json_object_get(body, "checkpoint")))
			write_checkpoint(task);
		end_task(task, STOPPED, "stopped");
	}
	*response = json_pack("{s:s}", "checkpoint", task->checkpoint);
	return 200;
}

typedef int (*serve_fn)(struct worker *worker, struct task *task,
			const char *job, const json_t *body, json_t **response);

static const struct {
	const char *verb;
	serve_fn serve;
} verbs[] = {
	{ "start", serve_start },	{ "renew", serve_renew },
	{ "throttle", serve_throttle }, { "checkpoint", serve_checkpoint },
	{ "stop", serve_stop },
};

static int serve_verb(struct worker *worker, const char *job, const char *verb,
		      const json_t *body, json_t **response)
{
	struct task *task = find_task(worker, job);
	int64_t run = get_integer(body, "run");
	size_t i;

	if (!json_is_integer(json_object_get(body, "run")))
		return error_response(response, 400, "invalid");
	if (task && run < task->run)
		return error_response(response, 409, "fenced");
	if (task)
		check_lease_expiry(task);
	for (i = 0; i < sizeof(verbs) / sizeof(verbs[0]); i++) {
		if (strcmp(verbs[i].verb, verb))
			continue;
		if (verbs[i].serve == serve_start || (task && run == task->run))
			return verbs[i].serve(worker, task, job, body,
					      response);
		if (!strcmp(verb, "stop")) {
			if (task)
				task_delete(task);
			task_new(worker, job, run);
		}
		return error_response(response, 404, "not-found");
	}
	return error_response(response, 400, "invalid");
}

static json_t *task_json(const struct task *task)
{
	int is_lagging =
		worker_boottime_ms() - task->started_at_ms < USAGE_LAG_MS;
	const int64_t *used = is_lagging ? task->reserved : task->used;

	return json_pack(
		"{s:s, s:I, s:s, s:I, s:I, s:I, s:{s:I, s:I, s:I}, s:s, s:i, "
		"s:s}",
		"job", task->job, "run", (json_int_t)task->run, "state",
		state_names[task->state], "cpu_milli",
		(json_int_t)task->reserved[USAGE_CPU], "mem_mb",
		(json_int_t)task->reserved[USAGE_MEM], "accel",
		(json_int_t)task->reserved[USAGE_ACCEL], "used", "cpu_milli",
		(json_int_t)used[USAGE_CPU], "mem_mb",
		(json_int_t)used[USAGE_MEM], "accel",
		(json_int_t)used[USAGE_ACCEL], "checkpoint", task->checkpoint,
		"exit_status", task->state == FAILED, "detail", task->detail);
}

static json_t *list_tasks(struct worker *worker)
{
	json_t *rows = json_array();
	struct list *pos;

	list_for_each (pos, &worker->tasks) {
		struct task *task = list_entry(pos, struct task, node);

		if (task->state != ABSENT)
			json_array_append_new(rows, task_json(task));
	}
	return json_pack("{s:o}", "tasks", rows);
}

static void serve_request(struct worker *worker, struct evhttp_request *request)
{
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
	char job[ID_SIZE], verb[16];
	json_t *body, *response = NULL;
	int status;

	if (!strcmp(path, "/tasks")) {
		reply_json(request, 200, list_tasks(worker));
		return;
	}
	if (sscanf(path, "/tasks/%63[^/]/%15s", job, verb) != 2) {
		reply_json(request, 404, NULL);
		return;
	}
	body = request_json(request);
	status = serve_verb(worker, job, verb, body, &response);
	json_decref(body);
	if (worker->faults.drop_task_response_count > 0) {
		worker->faults.drop_task_response_count--;
		json_decref(response);
		close_without_response(worker, request);
		return;
	}
	reply_json(request, status, response ? response : json_object());
}

struct delayed_request {
	struct worker *worker;
	struct evhttp_request *request;
};

static void on_request_delay_timer(void *arg, int shutting_down)
{
	struct delayed_request *delayed = arg;

	if (shutting_down)
		request_release(delayed->request);
	else
		serve_request(delayed->worker, delayed->request);
	free(delayed);
}

void tasks_serve(struct worker *worker, struct evhttp_request *request)
{
	struct delayed_request *delayed;

	if (worker->faults.task_delay_ms <= 0) {
		serve_request(worker, request);
		return;
	}
	delayed = xcalloc(1, sizeof(*delayed));
	delayed->worker = worker;
	delayed->request = request;
	call_later(worker, worker->faults.task_delay_ms, on_request_delay_timer,
		   delayed);
}
