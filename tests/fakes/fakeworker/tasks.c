#include "fakeworker/fakeworker.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

/* Usage is shown this long after the start, and the declared amount before. */
#define USAGE_LAG_MS 1000

enum state {
	RUNNING,
	STOPPED,
	FINISHED,
	FAILED,
	ABSENT /* a stop of this run arrived before its start */
};

static const char *const state_names[] = { "running", "stopped", "finished",
					   "failed", "absent" };

struct task {
	struct list node;
	struct worker *worker;
	char job[ID_SIZE];
	int64_t run;
	enum state state;
	int64_t need[USAGE_COUNT]; /* as declared */
	int64_t used[USAGE_COUNT];
	int64_t started_at;
	int64_t lease_until;
	int64_t step, steps, step_ms, fail_at;
	int64_t percent;
	int64_t slow_ms; /* by which it slows requests at full speed */
	char checkpoint[64];
	const char *detail;
	struct event *step_timer, *lease_timer;
};

static int64_t number(const json_t *root, const char *key)
{
	return json_integer_value(json_object_get(root, key));
}

static const char *text(const json_t *root, const char *key)
{
	const char *value = json_string_value(json_object_get(root, key));

	return value ? value : "";
}

static struct task *find(struct worker *worker, const char *job)
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

static json_t *record_of(const struct task *task, const char *kind)
{
	return json_pack("{s:s, s:s, s:I, s:I}", "kind", kind, "id", task->job,
			 "run", (json_int_t)task->run, "step",
			 (json_int_t)task->step);
}

static void record(struct task *task, const char *kind)
{
	record_add(task->worker, record_of(task, kind));
}

/* Without a ledger, a step that is repeated takes effect again. */
static void take_effect(struct task *task)
{
	struct worker *worker = task->worker;
	json_t *effect;

	if (!worker->effects) {
		record(task, "task-effect");
		return;
	}
	effect = record_of(task, "task-effect");
	record_stamp(worker, effect);
	worker->skipped += !ledger_apply(worker, task->job, task->step, effect);
	json_decref(effect);
}

static void end(struct task *task, enum state state, const char *detail)
{
	int i;

	for (i = USAGE_CPU; i < USAGE_COUNT; i++)
		record_usage(task->worker, i, -task->need[i]);
	task->state = state;
	task->detail = detail;
	event_del(task->step_timer);
	event_del(task->lease_timer);
	record(task, "task-stop");
}

static void write_checkpoint(struct task *task)
{
	snprintf(task->checkpoint, sizeof(task->checkpoint), "step-%lld",
		 (long long)task->step);
}

static void on_lease(evutil_socket_t fd, short what, void *arg)
{
	struct task *task = arg;

	write_checkpoint(task);
	end(task, STOPPED, "lease-expired");
}

static void set_lease(struct task *task, const json_t *body, int64_t now_ms)
{
	int64_t lease_ms = number(body, "lease_ms");

	task->lease_until = now_ms + lease_ms;
	set_timer(task->lease_timer, lease_ms);
}

/* After a pause of this process, a call may come before the lease's timer. */
static void expire(struct task *task)
{
	if (task->state == RUNNING && worker_boot_ms() >= task->lease_until)
		on_lease(-1, 0, task);
}

static void next_step(struct task *task)
{
	/* At 0 percent the task stands still but looks for a change. */
	int64_t percent = task->percent > 0 ? task->percent : 1;

	set_timer(task->step_timer, task->step_ms * 100 / percent);
}

static void on_step(evutil_socket_t fd, short what, void *arg)
{
	struct task *task = arg;

	expire(task);
	if (task->state != RUNNING)
		return;
	if (task->percent == 0) {
		next_step(task);
		return;
	}
	if (task->worker->faults.fail || task->step == task->fail_at) {
		end(task, FAILED, "failed");
		return;
	}
	if (task->step < task->steps) {
		take_effect(task);
		task->step++;
	}
	if (task->step < task->steps) {
		next_step(task);
		return;
	}
	write_checkpoint(task);
	end(task, FINISHED, "finished");
}

static int64_t option(const char *command, const char *key, int64_t initial)
{
	const char *at = strstr(command, key);

	return at ? strtoll(at + strlen(key), NULL, 10) : initial;
}

/* Such as "steps=100 step_ms=10 fail_at=3 usage_mem_mb=4000", or "fail". */
static void parse_command(struct task *task, const char *command)
{
	task->steps = option(command, "steps=", 10);
	task->step_ms = option(command, "step_ms=", 10);
	task->fail_at = option(command, "fail_at=", -1);
	task->slow_ms = option(command, "slow_ms=", 0);
	if (!strncmp(command, "fail", 4) && task->fail_at < 0)
		task->fail_at = task->step;
	task->used[USAGE_CPU] =
		option(command, "usage_cpu_milli=", task->need[USAGE_CPU]);
	task->used[USAGE_MEM] =
		option(command, "usage_mem_mb=", task->need[USAGE_MEM]);
	task->used[USAGE_ACCEL] = task->need[USAGE_ACCEL];
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
	task->percent = 100;
	task->step_timer = evtimer_new(worker->base, on_step, task);
	task->lease_timer = evtimer_new(worker->base, on_lease, task);
	list_add_tail(&worker->tasks, &task->node);
	return task;
}

static void task_delete(struct task *task)
{
	if (task->state == RUNNING)
		end(task, STOPPED, "replaced");
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

int64_t tasks_slow_ms(const struct worker *worker)
{
	const struct list *pos;
	int64_t sum = 0;

	list_for_each (pos, &worker->tasks) {
		const struct task *task = list_entry(pos, struct task, node);

		if (task->state == RUNNING)
			sum += task->slow_ms * task->percent / 100;
	}
	return sum;
}

static int fail(json_t **answer, int status, const char *name)
{
	*answer = json_pack("{s:s}", "error", name);
	return status;
}

/* Checks a call that gives a lease; 0 when it may be taken at now_ms. */
static int check_grant(struct worker *worker, const json_t *body,
		       int64_t now_ms, json_t **answer)
{
	const json_t *not_after = json_object_get(body, "not_after_ms");

	if (!json_is_integer(not_after))
		return fail(answer, 400, "invalid");
	if (now_ms < json_integer_value(not_after))
		return 0;
	worker->late++;
	return fail(answer, 412, "grant-ended");
}

static int serve_start(struct worker *worker, struct task *task,
		       const char *job, const json_t *body, json_t **answer)
{
	const char *checkpoint = text(body, "checkpoint");
	int64_t now_ms = worker_boot_ms();
	int known = task && number(body, "run") == task->run;
	int i, status;

	if (known && task->state == ABSENT)
		return fail(answer, 409, "fenced");
	status = check_grant(worker, body, now_ms, answer);
	if (status)
		return status;
	if (known)
		return 200;
	if (task)
		task_delete(task);
	task = task_new(worker, job, number(body, "run"));
	task->state = RUNNING;
	task->started_at = now_ms;
	task->need[USAGE_CPU] = number(body, "cpu_milli");
	task->need[USAGE_MEM] = number(body, "mem_mb");
	task->need[USAGE_ACCEL] = number(body, "accel");
	str_copy(task->checkpoint, checkpoint, sizeof(task->checkpoint));
	sscanf(checkpoint, "step-%" SCNd64, &task->step);
	parse_command(task, text(body, "command"));
	for (i = USAGE_CPU; i < USAGE_COUNT; i++)
		record_usage(worker, i, task->need[i]);
	record(task, "task-start");
	set_lease(task, body, now_ms);
	next_step(task);
	return 200;
}

static int serve_renew(struct worker *worker, struct task *task,
		       const char *job, const json_t *body, json_t **answer)
{
	int64_t now_ms = worker_boot_ms();
	int status;

	if (task->state != RUNNING)
		return fail(answer, 409, "ended");
	status = check_grant(worker, body, now_ms, answer);
	if (status)
		return status;
	set_lease(task, body, now_ms);
	return 200;
}

static int serve_checkpoint(struct worker *worker, struct task *task,
			    const char *job, const json_t *body,
			    json_t **answer)
{
	if (task->state != RUNNING)
		return fail(answer, 409, "ended");
	write_checkpoint(task);
	*answer = json_pack("{s:s}", "checkpoint", task->checkpoint);
	return 200;
}

static int serve_throttle(struct worker *worker, struct task *task,
			  const char *job, const json_t *body, json_t **answer)
{
	if (task->state != RUNNING)
		return fail(answer, 409, "ended");
	task->percent = number(body, "percent");
	return 200;
}

static int serve_stop(struct worker *worker, struct task *task, const char *job,
		      const json_t *body, json_t **answer)
{
	if (task->state == FINISHED || task->state == FAILED)
		return fail(answer, 409, "ended");
	if (task->state == ABSENT)
		return fail(answer, 404, "not-found");
	if (task->state == RUNNING) {
		if (json_is_true(json_object_get(body, "checkpoint")))
			write_checkpoint(task);
		end(task, STOPPED, "stopped");
	}
	*answer = json_pack("{s:s}", "checkpoint", task->checkpoint);
	return 200;
}

typedef int (*serve_fn)(struct worker *worker, struct task *task,
			const char *job, const json_t *body, json_t **answer);

static const struct {
	const char *verb;
	serve_fn serve;
} verbs[] = {
	{ "start", serve_start },	{ "renew", serve_renew },
	{ "throttle", serve_throttle }, { "checkpoint", serve_checkpoint },
	{ "stop", serve_stop },
};

static int serve_verb(struct worker *worker, const char *job, const char *verb,
		      const json_t *body, json_t **answer)
{
	struct task *task = find(worker, job);
	int64_t run = number(body, "run");
	size_t i;

	if (!json_is_integer(json_object_get(body, "run")))
		return fail(answer, 400, "invalid");
	if (task && run < task->run)
		return fail(answer, 409, "fenced");
	if (task)
		expire(task);
	for (i = 0; i < sizeof(verbs) / sizeof(verbs[0]); i++) {
		if (strcmp(verbs[i].verb, verb))
			continue;
		if (verbs[i].serve == serve_start || (task && run == task->run))
			return verbs[i].serve(worker, task, job, body, answer);
		if (!strcmp(verb, "stop")) {
			if (task)
				task_delete(task);
			task_new(worker, job, run);
		}
		return fail(answer, 404, "not-found");
	}
	return fail(answer, 400, "invalid");
}

static json_t *row_of(const struct task *task)
{
	int lagging = worker_boot_ms() - task->started_at < USAGE_LAG_MS;
	const int64_t *used = lagging ? task->need : task->used;

	return json_pack(
		"{s:s, s:I, s:s, s:I, s:I, s:I, s:{s:I, s:I, s:I}, s:s, s:i, "
		"s:s}",
		"job", task->job, "run", (json_int_t)task->run, "state",
		state_names[task->state], "cpu_milli",
		(json_int_t)task->need[USAGE_CPU], "mem_mb",
		(json_int_t)task->need[USAGE_MEM], "accel",
		(json_int_t)task->need[USAGE_ACCEL], "used", "cpu_milli",
		(json_int_t)used[USAGE_CPU], "mem_mb",
		(json_int_t)used[USAGE_MEM], "accel",
		(json_int_t)used[USAGE_ACCEL], "checkpoint", task->checkpoint,
		"exit_status", task->state == FAILED, "detail", task->detail);
}

static json_t *list_all(struct worker *worker)
{
	json_t *rows = json_array();
	struct list *pos;

	list_for_each (pos, &worker->tasks) {
		struct task *task = list_entry(pos, struct task, node);

		if (task->state != ABSENT)
			json_array_append_new(rows, row_of(task));
	}
	return json_pack("{s:o}", "tasks", rows);
}

static void serve_now(struct worker *worker, struct evhttp_request *request)
{
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
	char job[ID_SIZE], verb[16];
	json_t *body, *answer = NULL;
	int status;

	if (!strcmp(path, "/tasks")) {
		reply_json(request, 200, list_all(worker));
		return;
	}
	if (sscanf(path, "/tasks/%63[^/]/%15s", job, verb) != 2) {
		reply_json(request, 404, NULL);
		return;
	}
	body = request_json(request);
	status = serve_verb(worker, job, verb, body, &answer);
	json_decref(body);
	if (worker->faults.lose_tasks > 0) {
		worker->faults.lose_tasks--;
		json_decref(answer);
		reply_lost(worker, request);
		return;
	}
	reply_json(request, status, answer ? answer : json_object());
}

struct delayed {
	struct worker *worker;
	struct evhttp_request *request;
};

static void on_delay(void *arg, int ending)
{
	struct delayed *delayed = arg;

	if (ending)
		request_drop(delayed->request);
	else
		serve_now(delayed->worker, delayed->request);
	free(delayed);
}

void tasks_serve(struct worker *worker, struct evhttp_request *request)
{
	struct delayed *delayed;

	if (worker->faults.slow_tasks_ms <= 0) {
		serve_now(worker, request);
		return;
	}
	delayed = xcalloc(1, sizeof(*delayed));
	delayed->worker = worker;
	delayed->request = request;
	run_later(worker, worker->faults.slow_tasks_ms, on_delay, delayed);
}
