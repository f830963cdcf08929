/*
 * Randomized schedules (one for each seed) that run the dispatch module against
 * a model of workers: messages are lost and delayed, starts are carried out
 * late, refused or never answered, workers crash, and schedulers are replaced
 * by new ones that know only the stored state. The runs at the workers are
 * checked against the guarantees for workflows.
 */
#include "dispatch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "mem.h"
#include "rng.h"

#define WORKERS 3
#define JOBS 4
#define TASKS 4
#define STEPS 2
#define WORKER_RUNS_MAX 64
#define WORKER_ENDS_MAX 256
#define DELAYED_STARTS_MAX 64
#define WORKER_CPU_MILLI 10000
#define MAX_ATTEMPTS 3
#define TICK_MS 50
#define FAULTS_END_MS 30000
#define TIME_LIMIT_MS 120000
#define SEEDS 1000

struct model_run {
	struct task_id task;
	uint32_t run;
	int64_t ends_ms;
	int fails;
};

/* How a worker answers orders; its lists are good in any case. */
enum health {
	HEALTHY,
	REFUSES_STARTS, /* having done nothing */
	SILENT		/* answers no start, and only some stops */
};

/* A start without an answer, which the worker may carry out at due_ms. */
struct delayed_start {
	int is_pending; /* the runner doesn't know whether it was carried out */
	int is_stopping; /* the runner was ordered to stop it */
	struct model_run run;
	uint64_t fence;
	uint64_t worker_start_ms;
	int outlives_worker; /* reaches the next one under the same id */
	int64_t lease_end_ms;
	int64_t due_ms;
};

struct model_worker {
	int index;
	uint64_t start_ms, session, seq, fence, listed_fence;
	int64_t lease_end_ms;
	int64_t disconnected_until_ms; /* no connection */
	int64_t unbound_until_ms;      /* its runner does not know it */
	int64_t runner_start_ms;
	int64_t granted_until_ms; /* known to this process of the runner */
	struct model_run runs[WORKER_RUNS_MAX];
	size_t run_count;
	struct ended_run ends[WORKER_ENDS_MAX];
	int64_t ended_ms[WORKER_ENDS_MAX];
	int64_t lease_expired_ms; /* last time that the lease had expired */
	size_t end_count;
	uint64_t last_end_number, stored_end_number;
	struct delayed_start delayed_starts[DELAYED_STARTS_MAX];
	size_t delayed_start_count;
	struct {
		struct model_run run;
		enum run_phase phase;
	} missing_runs[WORKER_RUNS_MAX]; /* known not to be there */
	size_t missing_run_count;
	enum health health;
	int64_t healthy_from_ms;
	struct {
		struct task_id task;
		uint32_t run;
	} highest_runs[JOBS * STEPS * TASKS];
	size_t highest_run_count;
	int64_t report_sent_ms[16];
};

struct model {
	struct rng rng;
	int64_t now_ms;
	struct model_worker workers[WORKERS];
	struct dispatch *dispatch;
	uint64_t epoch;
	char *stored_states[JOBS]; /* encoded state in the store */
	struct {
		struct workflow *workflow;
		char *text;
		uint64_t version;
	} commit[JOBS];
	size_t commit_count;		  /* in progress */
	int failures[JOBS][STEPS][TASKS]; /* acknowledged failed runs */
	int done[JOBS][STEPS][TASKS];	  /* at least one run has ended so */
	int done_acknowledged[JOBS][STEPS][TASKS]; /* to the worker */
	int64_t started_ms[JOBS][STEPS][TASKS];
	int faults_enabled;
};

static void job_name(char *name, int job)
{
	snprintf(name, JOB_ID_SIZE, "%016x", job);
}

static int job_index(const char *name)
{
	return (int)strtol(name, NULL, 16);
}

static int fault_occurs(struct model *model, int percent)
{
	return model->faults_enabled &&
	       (int)rng_below(&model->rng, 100) < percent;
}

static struct workflow *new_workflow(int job)
{
	struct queue_config queue = { .name = "q",
				      .service = "s",
				      .max_attempts = MAX_ATTEMPTS,
				      .stretch = 2 };
	struct workflow_spec spec = { .step_count = STEPS };
	const char *reason;
	int i;

	job_name(spec.id, job);
	spec.payload = xstrdup("work");
	spec.steps = xcalloc(STEPS, sizeof(*spec.steps));
	for (i = 0; i < STEPS; i++) {
		spec.steps[i].task_count = TASKS;
		spec.steps[i].need.cpu_milli = 2000 + 500 * (uint32_t)job;
		spec.steps[i].estimate_ms = 500;
	}
	spec.steps[1].depends_on = xcalloc(1, sizeof(uint32_t));
	spec.steps[1].dependency_count = 1;
	assert_int_equal(workflow_spec_check(&spec, &reason), 0);
	return workflow_new(&spec, &queue, 1);
}

static void drop_commit(struct model *model);

/* Replaces the scheduler by one that knows only the stored state. */
static void take_over(struct model *model)
{
	struct mstime now = mstime_from(model->now_ms);
	int job;

	drop_commit(model);
	dispatch_delete(model->dispatch);
	model->dispatch = dispatch_new(&dispatch_defaults, ++model->epoch, now,
				       NULL, NULL);
	dispatch_set_wall_clock(model->dispatch, model->now_ms);
	for (job = 0; job < JOBS; job++) {
		struct workflow *workflow = new_workflow(job);

		if (model->stored_states[job])
			assert_int_equal(
				workflow_decode(
					workflow, model->stored_states[job],
					strlen(model->stored_states[job])),
				0);
		workflow->stored_revision = 1;
		dispatch_add(model->dispatch, workflow, now);
	}
}

static int same_run(const struct model_run *a, const struct task_id *task,
		    uint32_t run)
{
	return a->run == run && a->task.step == task->step &&
	       a->task.index == task->index && !strcmp(a->task.job, task->job);
}

static void worker_end_run(struct model *model, struct model_worker *worker,
			   size_t index, enum run_end how)
{
	struct model_run *run = &worker->runs[index];
	struct ended_run *end = &worker->ends[worker->end_count++];

	assert_true(worker->end_count < WORKER_ENDS_MAX);
	memset(end, 0, sizeof(*end));
	end->number = ++worker->last_end_number;
	end->task = run->task;
	end->run = run->run;
	end->how = how;
	end->checkpoint = "";
	worker->ended_ms[worker->end_count - 1] = model->now_ms;
	worker->runs[index] = worker->runs[--worker->run_count];
}

static uint32_t *highest_run_of(struct model_worker *worker,
				const struct task_id *task)
{
	size_t i;

	for (i = 0; i < worker->highest_run_count; i++)
		if (worker->highest_runs[i].task.step == task->step &&
		    worker->highest_runs[i].task.index == task->index &&
		    !strcmp(worker->highest_runs[i].task.job, task->job))
			return &worker->highest_runs[i].run;
	worker->highest_runs[worker->highest_run_count].task = *task;
	return &worker->highest_runs[worker->highest_run_count++].run;
}

static void check_start(struct model *model, const struct model_worker *worker,
			const struct model_run *run)
{
	int job = job_index(run->task.job);
	uint32_t cpu = 0;
	size_t i;
	int w;

	for (w = 0; w < WORKERS; w++) {
		const struct model_worker *other = &model->workers[w];

		for (i = 0; i < other->run_count; i++)
			if (other->runs[i].task.step == run->task.step &&
			    other->runs[i].task.index == run->task.index &&
			    !strcmp(other->runs[i].task.job, run->task.job))
				fail_msg("two runs of one task");
	}
	for (i = 0; i < worker->run_count; i++)
		cpu += 2000 +
		       500 * (uint32_t)job_index(worker->runs[i].task.job);
	if (cpu > WORKER_CPU_MILLI)
		fail_msg("a worker is over its capacity");
	if (model->done_acknowledged[job][run->task.step][run->task.index])
		fail_msg("a task that is done starts again");
	for (i = 0; run->task.step == 1 && i < TASKS; i++)
		if (!model->done[job][0][i])
			fail_msg("a step starts before its dependency is done");
	if (model->failures[job][run->task.step][run->task.index] >=
	    MAX_ATTEMPTS)
		fail_msg("a task starts after its last attempt");
}

static void add_missing(struct model_worker *worker,
			const struct model_run *run, enum run_phase phase)
{
	size_t i = worker->missing_run_count;

	if (i == WORKER_RUNS_MAX)
		return;
	worker->missing_runs[i].run = *run;
	worker->missing_runs[i].phase = phase;
	worker->missing_run_count++;
}

/* RETURN VALUE: whether the run exists at the worker afterwards. */
static int worker_start_run(struct model *model, struct model_worker *worker,
			    const struct model_run *run, uint64_t fence,
			    int64_t lease_end_ms)
{
	uint32_t *highest_run = highest_run_of(worker, &run->task);
	size_t i;

	for (i = 0; i < worker->run_count; i++)
		if (same_run(&worker->runs[i], &run->task, run->run))
			return 1;
	if (fence < worker->fence || lease_end_ms <= model->now_ms)
		return 0;
	if (run->run <= *highest_run) {
		add_missing(worker, run, RUN_GONE);
		return 0;
	}
	worker->fence = fence;
	*highest_run = run->run;
	if (lease_end_ms > worker->lease_end_ms)
		worker->lease_end_ms = lease_end_ms;
	check_start(model, worker, run);
	model->started_ms[job_index(run->task.job)][run->task.step]
			 [run->task.index] = model->now_ms;
	assert_true(worker->run_count < WORKER_RUNS_MAX);
	worker->runs[worker->run_count++] = *run;
	return 1;
}

static void worker_crash(struct model *model, struct model_worker *worker)
{
	size_t i;

	for (i = 0; i < worker->delayed_start_count; i++) {
		struct delayed_start *start = &worker->delayed_starts[i];

		if (start->worker_start_ms != worker->start_ms ||
		    !start->is_pending || !fault_occurs(model, 30))
			continue;
		start->outlives_worker = 1;
		start->run.ends_ms += model->now_ms - start->due_ms;
		start->due_ms = model->now_ms;
	}
	worker->run_count = 0;
	worker->missing_run_count = 0;
	worker->end_count = 0;
	worker->last_end_number = 0;
	worker->stored_end_number = 0;
	worker->fence = 0;
	worker->listed_fence = 0;
	worker->highest_run_count = 0;
	worker->lease_end_ms = 0;
	worker->start_ms = (uint64_t)model->now_ms;
}

static struct delayed_start *pending_start(struct model_worker *worker,
					   const struct task_id *task,
					   uint32_t run)
{
	size_t i;

	for (i = 0; i < worker->delayed_start_count; i++) {
		struct delayed_start *start = &worker->delayed_starts[i];

		if (start->is_pending &&
		    start->worker_start_ms == worker->start_ms &&
		    same_run(&start->run, task, run))
			return start;
	}
	return NULL;
}

/* The worker stops the run, or refuses it from now on. */
static void worker_stop_run(struct model *model, struct model_worker *worker,
			    const struct task_id *task, uint32_t run)
{
	uint32_t *highest_run = highest_run_of(worker, task);
	size_t k;

	if (*highest_run < run)
		*highest_run = run;
	for (k = worker->run_count; k-- > 0;)
		if (same_run(&worker->runs[k], task, run))
			worker_end_run(model, worker, k, RUN_END_STOPPED);
}

/* The runner learns that the stop was carried out. */
static void confirm_stop(struct model_worker *worker,
			 const struct task_id *task, uint32_t run)
{
	struct model_run missing = { *task, run };
	struct delayed_start *start;

	while ((start = pending_start(worker, task, run)))
		start->is_pending = 0;
	add_missing(worker, &missing, RUN_GONE);
}

static int64_t work_ms(struct model *model)
{
	return 100 + rng_below(&model->rng, 2000);
}

/* The runner repeats a start that has no answer. */
static void retry_start(struct model *model, struct model_worker *worker,
			struct delayed_start *start)
{
	if (worker->health == SILENT || rng_below(&model->rng, 100) >= 10)
		return;
	if (worker->health == REFUSES_STARTS || start->is_stopping) {
		worker_stop_run(model, worker, &start->run.task,
				start->run.run);
		confirm_stop(worker, &start->run.task, start->run.run);
	} else if (worker->lease_end_ms > model->now_ms) {
		struct model_run run = start->run;

		run.ends_ms = model->now_ms + work_ms(model);
		worker_start_run(model, worker, &run, worker->fence,
				 worker->lease_end_ms);
		start->is_pending = 0;
	}
}

static void carry_out_delayed(struct model *model, struct model_worker *worker)
{
	size_t i;

	for (i = worker->delayed_start_count; i-- > 0;) {
		struct delayed_start *start = &worker->delayed_starts[i];

		if (start->worker_start_ms == worker->start_ms &&
		    start->is_pending)
			retry_start(model, worker, start);
		if (start->due_ms > model->now_ms)
			continue;
		if (start->worker_start_ms == worker->start_ms ||
		    start->outlives_worker)
			worker_start_run(model, worker, &start->run,
					 start->fence, start->lease_end_ms);
		worker->delayed_starts[i] =
			worker->delayed_starts[--worker->delayed_start_count];
	}
}

static void worker_tick(struct model *model, struct model_worker *worker)
{
	size_t i;

	if (model->now_ms >= worker->healthy_from_ms)
		worker->health = HEALTHY;
	if (model->now_ms >= worker->lease_end_ms)
		worker->lease_expired_ms = model->now_ms;
	for (i = worker->run_count; i-- > 0;) {
		struct model_run *run = &worker->runs[i];
		int job = job_index(run->task.job);

		if (model->now_ms >= worker->lease_end_ms) {
			worker_end_run(model, worker, i, RUN_END_LEASE_EXPIRED);
		} else if (run->fails && model->now_ms >= run->ends_ms) {
			worker_end_run(model, worker, i, RUN_END_FAILED);
		} else if (model->now_ms >= run->ends_ms) {
			model->done[job][run->task.step][run->task.index] = 1;
			worker_end_run(model, worker, i, RUN_END_DONE);
		}
	}
	carry_out_delayed(model, worker);
}

/* A silent worker carries out half of the starts, seconds later. */
static void delay_start(struct model *model, struct model_worker *worker,
			const struct msg_work_orders *orders,
			const struct model_run *run, int64_t lease_end_ms)
{
	struct delayed_start *start;
	int64_t delay_ms = 2000 + rng_below(&model->rng, 8000);

	if (worker->health == SILENT && rng_below(&model->rng, 2))
		delay_ms = TIME_LIMIT_MS;
	assert_true(worker->delayed_start_count < DELAYED_STARTS_MAX);
	start = &worker->delayed_starts[worker->delayed_start_count++];
	start->is_pending = 1;
	start->is_stopping = 0;
	start->run = *run;
	start->fence = orders->fence;
	start->worker_start_ms = worker->start_ms;
	start->outlives_worker = 0;
	start->lease_end_ms = lease_end_ms;
	start->due_ms = model->now_ms + delay_ms;
	start->run.ends_ms += delay_ms;
}

static void process_starts(struct model *model, struct model_worker *worker,
			   const struct msg_work_orders *orders,
			   int64_t lease_end_ms)
{
	size_t i;

	for (i = 0; i < orders->starts.count; i++) {
		const struct run_order *order = &orders->starts.items[i];
		struct model_run run = { order->task, order->run };

		run.ends_ms = model->now_ms + work_ms(model);
		run.fails = fault_occurs(model, 10);
		if (pending_start(worker, &run.task, run.run))
			continue;
		if (worker->health == REFUSES_STARTS)
			add_missing(worker, &run, RUN_REFUSED);
		else if (worker->health == SILENT || fault_occurs(model, 10))
			delay_start(model, worker, orders, &run, lease_end_ms);
		else
			worker_start_run(model, worker, &run, orders->fence,
					 lease_end_ms);
	}
}

static void process_stops(struct model *model, struct model_worker *worker,
			  const struct msg_work_orders *orders)
{
	size_t i;

	for (i = 0; i < orders->stops.count; i++) {
		const struct run_id *stop = &orders->stops.items[i];
		struct delayed_start *start =
			pending_start(worker, &stop->task, stop->run);
		int is_silent = worker->health == SILENT;

		if (start)
			start->is_stopping = 1;
		if (is_silent && rng_below(&model->rng, 2))
			continue;
		worker_stop_run(model, worker, &stop->task, stop->run);
		if (!is_silent || rng_below(&model->rng, 2))
			confirm_stop(worker, &stop->task, stop->run);
	}
}

/*
 * Records an acknowledged end, which then holds for good. It doesn't count if
 * the lease of the worker has expired since the run ended.
 */
static void record_acknowledged_end(struct model *model,
				    const struct model_worker *worker,
				    size_t index)
{
	const struct ended_run *end = &worker->ends[index];
	int job = job_index(end->task.job);
	int64_t started_ms =
		model->started_ms[job][end->task.step][end->task.index];

	if (worker->lease_expired_ms > worker->ended_ms[index])
		return;
	if (end->how == RUN_END_FAILED)
		model->failures[job][end->task.step][end->task.index]++;
	if (end->how != RUN_END_DONE)
		return;
	if (started_ms > worker->ended_ms[index])
		fail_msg("a task was started again after its end");
	model->done_acknowledged[job][end->task.step][end->task.index] = 1;
}

/* The runner gives up open starts before it takes over a new lease. */
static void abandon_starts(const struct model *model,
			   struct model_worker *worker)
{
	size_t i;

	if (model->now_ms < worker->granted_until_ms)
		return;
	for (i = 0; i < worker->delayed_start_count; i++) {
		struct delayed_start *start = &worker->delayed_starts[i];

		if (!start->is_pending || start->is_stopping)
			continue;
		start->is_pending = 0;
		add_missing(worker, &start->run, RUN_REFUSED);
	}
}

static void process_orders(struct model *model, struct model_worker *worker,
			   const struct msg_work_orders *orders)
{
	int64_t lease_end_ms = 0;
	size_t i;

	if (orders->worker_start_ms != worker->start_ms ||
	    orders->fence < worker->fence)
		return;
	worker->fence = orders->fence;
	worker->listed_fence = orders->fence;
	abandon_starts(model, worker);
	if (orders->lease_ms)
		lease_end_ms = worker->report_sent_ms[orders->report_seq % 16] +
			       orders->lease_ms;
	if (lease_end_ms > worker->lease_end_ms)
		worker->lease_end_ms = lease_end_ms;
	if (lease_end_ms > worker->granted_until_ms)
		worker->granted_until_ms = lease_end_ms;
	if (orders->stored_end_number > worker->stored_end_number)
		worker->stored_end_number = orders->stored_end_number;
	for (i = 0; i < worker->end_count;) {
		if (worker->ends[i].number > worker->stored_end_number) {
			i++;
			continue;
		}
		record_acknowledged_end(model, worker, i);
		worker->end_count--;
		memmove(&worker->ended_ms[i], &worker->ended_ms[i + 1],
			(worker->end_count - i) * sizeof(int64_t));
		memmove(&worker->ends[i], &worker->ends[i + 1],
			(worker->end_count - i) * sizeof(worker->ends[0]));
	}
	process_starts(model, worker, orders, lease_end_ms);
	process_stops(model, worker, orders);
}

/* A runner that has restarted knows only that no lease outlasts this bound. */
static uint32_t lease_left_ms(const struct model *model,
			      const struct model_worker *worker)
{
	int64_t end_ms = worker->runner_start_ms + dispatch_defaults.lease_ms;

	if (end_ms < worker->granted_until_ms)
		end_ms = worker->granted_until_ms;
	return end_ms > model->now_ms ? (uint32_t)(end_ms - model->now_ms) : 0;
}

static void send_unbound_report(struct model *model,
				struct model_worker *worker,
				struct msg_work_report *msg, const char *node)
{
	struct msg_work_orders orders;

	msg->state = WORKER_ABSENT;
	dispatch_report(model->dispatch, node, msg, mstime_from(model->now_ms));
	dispatch_build_orders(model->dispatch,
			      dispatch_get_worker(model->dispatch, node,
						  mstime_from(model->now_ms)),
			      1, &orders, mstime_from(model->now_ms));
}

static void send_report(struct model *model, struct model_worker *worker)
{
	struct msg_work_report msg = { .epoch = model->epoch };
	struct run_status status[WORKER_RUNS_MAX];
	struct msg_work_orders orders;
	struct worker *record;
	char node[ID_SIZE];
	size_t i;

	snprintf(node, sizeof(node), "node-%d", worker->index);
	msg.seq = ++worker->seq;
	worker->report_sent_ms[msg.seq % 16] = model->now_ms;
	msg.session = worker->session;
	msg.lease_left_ms = lease_left_ms(model, worker);
	if (model->now_ms < worker->unbound_until_ms) {
		send_unbound_report(model, worker, &msg, node);
		return;
	}
	snprintf(msg.worker, sizeof(msg.worker), "w-%d", worker->index);
	str_copy(msg.service, "s", sizeof(msg.service));
	msg.worker_start_ms = worker->start_ms;
	msg.fence = worker->listed_fence;
	msg.state = WORKER_READY;
	msg.capacity.cpu_milli = WORKER_CPU_MILLI;
	memset(status, 0, sizeof(status));
	for (i = 0; i < worker->run_count; i++) {
		status[i].task = worker->runs[i].task;
		status[i].run = worker->runs[i].run;
		status[i].phase = RUN_ACTIVE;
	}
	msg.runs.count = worker->run_count;
	for (i = 0; i < worker->delayed_start_count; i++) {
		const struct delayed_start *start = &worker->delayed_starts[i];

		if (!start->is_pending ||
		    start->worker_start_ms != worker->start_ms ||
		    msg.runs.count == WORKER_RUNS_MAX)
			continue;
		status[msg.runs.count].task = start->run.task;
		status[msg.runs.count++].run = start->run.run;
	}
	for (i = 0;
	     i < worker->missing_run_count && msg.runs.count < WORKER_RUNS_MAX;
	     i++) {
		status[msg.runs.count].task = worker->missing_runs[i].run.task;
		status[msg.runs.count].run = worker->missing_runs[i].run.run;
		status[msg.runs.count].detail = "";
		status[msg.runs.count++].phase = worker->missing_runs[i].phase;
	}
	worker->missing_run_count = 0;
	msg.runs.items = status;
	msg.ends.items = worker->ends;
	msg.ends.count = worker->end_count;
	if (fault_occurs(model, 10))
		return;
	dispatch_report(model->dispatch, node, &msg,
			mstime_from(model->now_ms));
	record = dispatch_get_worker(model->dispatch, node,
				     mstime_from(model->now_ms));
	if (!dispatch_build_orders(model->dispatch, record, 1, &orders,
				   mstime_from(model->now_ms)) ||
	    fault_occurs(model, 10))
		return;
	process_orders(model, worker, &orders);
}

static void drop_commit(struct model *model)
{
	while (model->commit_count)
		free(model->commit[--model->commit_count].text);
}

/*
 * Stores the commit in progress. The scheduler learns of it unless it fails at
 * this point and is replaced.
 */
static void finish_commit(struct model *model)
{
	int is_scheduler_lost = fault_occurs(model, 2);
	size_t i;

	for (i = 0; i < model->commit_count; i++) {
		int job = job_index(model->commit[i].workflow->spec.id);

		free(model->stored_states[job]);
		model->stored_states[job] = model->commit[i].text;
		model->commit[i].text = NULL;
		model->commit[i].workflow->saving = 0;
		if (!is_scheduler_lost)
			dispatch_mark_saved(model->dispatch,
					    model->commit[i].workflow,
					    model->commit[i].version);
	}
	model->commit_count = 0;
	if (is_scheduler_lost)
		take_over(model);
}

static void advance_commit(struct model *model)
{
	struct workflow *workflow;

	if (model->commit_count && !fault_occurs(model, 60))
		finish_commit(model);
	if (model->commit_count)
		return;
	while ((workflow = dispatch_next_unsaved(model->dispatch,
						 mstime_from(model->now_ms)))) {
		size_t i = model->commit_count++;

		model->commit[i].workflow = workflow;
		model->commit[i].text = workflow_encode(workflow);
		model->commit[i].version = workflow->version;
		workflow->saving = 1;
	}
}

static void inject_faults(struct model *model)
{
	struct model_worker *worker =
		&model->workers[rng_below(&model->rng, WORKERS)];
	size_t i;

	if (fault_occurs(model, 1))
		worker_crash(model, worker);
	if (fault_occurs(model, 1)) {
		worker->health =
			rng_below(&model->rng, 2) ? REFUSES_STARTS : SILENT;
		worker->healthy_from_ms =
			model->now_ms + rng_below(&model->rng, 20000);
	}
	if (fault_occurs(model, 1)) {
		worker->session = rng_next(&model->rng) | 1;
		worker->seq = 0;
		worker->listed_fence = 0;
		worker->runner_start_ms = model->now_ms;
		worker->granted_until_ms = 0;
		worker->missing_run_count = 0;
		for (i = 0; i < worker->delayed_start_count; i++)
			worker->delayed_starts[i].is_pending = 0;
		if (fault_occurs(model, 50))
			worker->unbound_until_ms =
				model->now_ms + rng_below(&model->rng, 9000);
	}
	if (fault_occurs(model, 1))
		worker->disconnected_until_ms =
			model->now_ms + rng_below(&model->rng, 12000);
	if (fault_occurs(model, 1))
		take_over(model);
}

static int all_final(const struct model *model)
{
	int job;

	for (job = 0; job < JOBS; job++) {
		char name[JOB_ID_SIZE];

		job_name(name, job);
		if (!workflow_is_final(
			    dispatch_find_workflow(model->dispatch, name)))
			return 0;
	}
	return 1;
}

static void check_final(const struct model *model)
{
	int job, step, i;

	for (job = 0; job < JOBS; job++) {
		char name[JOB_ID_SIZE];
		struct workflow *workflow;

		job_name(name, job);
		workflow = dispatch_find_workflow(model->dispatch, name);
		for (step = 0; step < STEPS; step++)
			for (i = 0; i < TASKS; i++)
				if (workflow->state == WORKFLOW_COMPLETE &&
				    !model->done[job][step][i])
					fail_msg("complete but task not done");
	}
}

static void run_schedule(uint64_t seed)
{
	struct model *model = xcalloc(1, sizeof(*model));
	enum health lasting_fault;
	int i;

	rng_seed(&model->rng, seed);
	lasting_fault = (enum health)rng_below(&model->rng, SILENT + 1);
	model->now_ms = 1000;
	model->faults_enabled = 1;
	for (i = 0; i < WORKERS; i++) {
		model->workers[i].index = i;
		model->workers[i].session = 1;
		model->workers[i].runner_start_ms = model->now_ms;
		worker_crash(model, &model->workers[i]);
	}
	take_over(model);
	while (!all_final(model)) {
		model->now_ms += TICK_MS;
		if (model->now_ms > TIME_LIMIT_MS)
			fail_msg("workflows are not final at the time limit");
		model->faults_enabled = model->now_ms < FAULTS_END_MS;
		inject_faults(model);
		/* The tasks must end without the first worker. */
		if (!model->faults_enabled && lasting_fault) {
			model->workers[0].health = lasting_fault;
			model->workers[0].healthy_from_ms = TIME_LIMIT_MS + 1;
		}
		for (i = 0; i < WORKERS; i++)
			worker_tick(model, &model->workers[i]);
		dispatch_expire(model->dispatch, mstime_from(model->now_ms));
		dispatch_assign(model->dispatch, mstime_from(model->now_ms));
		advance_commit(model);
		for (i = 0; i < WORKERS; i++)
			if (model->now_ms >=
			    model->workers[i].disconnected_until_ms)
				send_report(model, &model->workers[i]);
	}
	check_final(model);
	drop_commit(model);
	dispatch_delete(model->dispatch);
	for (i = 0; i < JOBS; i++)
		free(model->stored_states[i]);
	free(model);
}

/*
 * Guards against two runs of one task at a time, a worker over its capacity, a
 * task that runs again after it was done, a step that starts before the step it
 * depends on is done, and more attempts than max_attempts.
 */
static void test_random_schedules(void **state)
{
	const char *count = getenv("SCHEDULES");
	const char *first = getenv("FIRST_SEED");
	uint64_t seed = first ? strtoull(first, NULL, 10) : 1;
	uint64_t last = seed + (count ? strtoull(count, NULL, 10) : SEEDS);

	for (; seed < last; seed++) {
		if (getenv("VERBOSE"))
			printf("seed %llu\n", (unsigned long long)seed);
		run_schedule(seed);
	}
}

/*
 * Guards against a worker over its capacity after a takeover: it refused
 * starts, and that they were given up was not stored before what took their
 * place.
 */
static void test_takeover_of_refused_starts(void **state)
{
	run_schedule(2389);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_takeover_of_refused_starts),
		cmocka_unit_test(test_random_schedules),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
