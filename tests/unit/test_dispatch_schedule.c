/*
 * Seeded schedules of the scheduler's decisions against a model of workers:
 * messages are lost and delayed, orders are carried out late, workers crash,
 * and schedulers are replaced, each with what was stored and nothing else.
 * What the workers see is checked against the promises for workflows.
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
#define RUNS 64
#define ENDS 256
#define DELAYED 64
#define CPU 10000
#define MAX_ATTEMPTS 3
#define STEP_MS 50
#define TROUBLE_MS 30000
#define LIMIT_MS 120000
#define SEEDS 400

struct model_run {
	struct task_id task;
	uint32_t run;
	int64_t ends_ms;
	int fails;
};

/* A start that is carried out later than it was sent. */
struct delayed_start {
	struct model_run run;
	uint64_t fence;
	uint64_t born;
	int64_t until_ms;
	int64_t due_ms;
};

struct model_worker {
	int index;
	uint64_t born, session, seq, fence, listed_fence;
	int64_t lease_ms;
	int64_t silent_until_ms; /* cut off from the scheduler */
	struct model_run runs[RUNS];
	size_t run_count;
	struct ended_run ends[ENDS];
	int64_t ended_ms[ENDS];
	int64_t lapsed_ms; /* last time that the lease ran out */
	size_t end_count;
	uint64_t last_number, seen;
	struct delayed_start delayed[DELAYED];
	size_t delayed_count;
	struct model_run refused[RUNS]; /* have been there before */
	size_t refused_count;
	struct {
		struct task_id task;
		uint32_t run;
	} highest[JOBS * STEPS * TASKS];
	size_t highest_count;
	int64_t report_sent_ms[16];
};

struct model {
	struct rng rng;
	int64_t now_ms;
	struct model_worker workers[WORKERS];
	struct dispatch *dispatch;
	uint64_t epoch;
	char *stored[JOBS]; /* state in the store */
	struct {
		struct workflow *workflow;
		char *text;
		uint64_t version;
	} commit[JOBS];
	size_t commit_count;		  /* in progress */
	int failures[JOBS][STEPS][TASKS]; /* ends that were acknowledged */
	int done[JOBS][STEPS][TASKS];	  /* has ended so, at least once */
	int noted[JOBS][STEPS][TASKS];	  /* and this was acknowledged */
	int64_t started_ms[JOBS][STEPS][TASKS];
	int trouble;
};

static void job_name(char *name, int job)
{
	snprintf(name, JOB_ID_SIZE, "%016x", job);
}

static int job_index(const char *name)
{
	return (int)strtol(name, NULL, 16);
}

static int chance(struct model *model, int percent)
{
	return model->trouble && (int)rng_below(&model->rng, 100) < percent;
}

static struct workflow *job_new(int job)
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

/* A new scheduler knows what is stored, and that is all. */
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
		struct workflow *workflow = job_new(job);

		if (model->stored[job])
			assert_int_equal(
				workflow_decode(workflow, model->stored[job],
						strlen(model->stored[job])),
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

static void worker_end(struct model *model, struct model_worker *worker,
		       size_t index, enum run_end how)
{
	struct model_run *run = &worker->runs[index];
	struct ended_run *end = &worker->ends[worker->end_count++];

	assert_true(worker->end_count < ENDS);
	memset(end, 0, sizeof(*end));
	end->number = ++worker->last_number;
	end->task = run->task;
	end->run = run->run;
	end->how = how;
	end->checkpoint = "";
	worker->ended_ms[worker->end_count - 1] = model->now_ms;
	worker->runs[index] = worker->runs[--worker->run_count];
}

static uint32_t *highest_of(struct model_worker *worker,
			    const struct task_id *task)
{
	size_t i;

	for (i = 0; i < worker->highest_count; i++)
		if (worker->highest[i].task.step == task->step &&
		    worker->highest[i].task.index == task->index &&
		    !strcmp(worker->highest[i].task.job, task->job))
			return &worker->highest[i].run;
	worker->highest[worker->highest_count].task = *task;
	return &worker->highest[worker->highest_count++].run;
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
	if (cpu > CPU)
		fail_msg("a worker is over its capacity");
	if (model->noted[job][run->task.step][run->task.index])
		fail_msg("a task that is done starts again");
	for (i = 0; run->task.step == 1 && i < TASKS; i++)
		if (!model->done[job][0][i])
			fail_msg("a step starts before an earlier one ends");
	if (model->failures[job][run->task.step][run->task.index] >=
	    MAX_ATTEMPTS)
		fail_msg("a task starts after its last attempt");
}

/* RETURN VALUE: whether the run is there afterwards. */
static int worker_start(struct model *model, struct model_worker *worker,
			const struct model_run *run, uint64_t fence,
			int64_t until_ms)
{
	uint32_t *highest = highest_of(worker, &run->task);
	size_t i;

	for (i = 0; i < worker->run_count; i++)
		if (same_run(&worker->runs[i], &run->task, run->run))
			return 1;
	if (fence < worker->fence || until_ms <= model->now_ms)
		return 0;
	if (run->run <= *highest) {
		if (worker->refused_count < RUNS)
			worker->refused[worker->refused_count++] = *run;
		return 0;
	}
	worker->fence = fence;
	*highest = run->run;
	if (until_ms > worker->lease_ms)
		worker->lease_ms = until_ms;
	check_start(model, worker, run);
	model->started_ms[job_index(run->task.job)][run->task.step]
			 [run->task.index] = model->now_ms;
	assert_true(worker->run_count < RUNS);
	worker->runs[worker->run_count++] = *run;
	return 1;
}

static void worker_crash(struct model *model, struct model_worker *worker)
{
	worker->run_count = 0;
	worker->refused_count = 0;
	worker->end_count = 0;
	worker->last_number = 0;
	worker->seen = 0;
	worker->fence = 0;
	worker->listed_fence = 0;
	worker->highest_count = 0;
	worker->lease_ms = 0;
	worker->born = (uint64_t)model->now_ms;
}

static void worker_step(struct model *model, struct model_worker *worker)
{
	size_t i;

	if (model->now_ms >= worker->lease_ms)
		worker->lapsed_ms = model->now_ms;
	for (i = worker->run_count; i-- > 0;) {
		struct model_run *run = &worker->runs[i];
		int job = job_index(run->task.job);

		if (model->now_ms >= worker->lease_ms) {
			worker_end(model, worker, i, RUN_END_LEASE_EXPIRED);
		} else if (run->fails && model->now_ms >= run->ends_ms) {
			worker_end(model, worker, i, RUN_END_FAILED);
		} else if (model->now_ms >= run->ends_ms) {
			model->done[job][run->task.step][run->task.index] = 1;
			worker_end(model, worker, i, RUN_END_DONE);
		}
	}
	for (i = worker->delayed_count; i-- > 0;) {
		struct delayed_start *late = &worker->delayed[i];

		if (late->due_ms > model->now_ms)
			continue;
		if (late->born == worker->born)
			worker_start(model, worker, &late->run, late->fence,
				     late->until_ms);
		worker->delayed[i] = worker->delayed[--worker->delayed_count];
	}
}

static void take_starts(struct model *model, struct model_worker *worker,
			const struct msg_work_orders *orders, int64_t until_ms)
{
	size_t i;

	for (i = 0; i < orders->starts.count; i++) {
		const struct run_order *order = &orders->starts.items[i];
		struct model_run run = { order->task, order->run };
		int64_t work_ms = 100 + rng_below(&model->rng, 2000);

		run.ends_ms = model->now_ms + work_ms;
		run.fails = chance(model, 10);
		if (chance(model, 10) && worker->delayed_count < DELAYED) {
			struct delayed_start *late =
				&worker->delayed[worker->delayed_count++];

			late->run = run;
			late->fence = orders->fence;
			late->born = worker->born;
			late->until_ms = until_ms;
			late->due_ms = model->now_ms + 2000 +
				       rng_below(&model->rng, 8000);
			late->run.ends_ms = late->due_ms + work_ms;
		} else {
			worker_start(model, worker, &run, orders->fence,
				     until_ms);
		}
	}
}

/* An end counts for good once it is acknowledged under an unbroken lease. */
static void note_end(struct model *model, const struct model_worker *worker,
		     size_t index)
{
	const struct ended_run *end = &worker->ends[index];
	int job = job_index(end->task.job);
	int64_t started_ms =
		model->started_ms[job][end->task.step][end->task.index];

	if (worker->lapsed_ms > worker->ended_ms[index])
		return;
	if (end->how == RUN_END_FAILED)
		model->failures[job][end->task.step][end->task.index]++;
	if (end->how != RUN_END_DONE)
		return;
	if (started_ms > worker->ended_ms[index])
		fail_msg("a task was started after its end");
	model->noted[job][end->task.step][end->task.index] = 1;
}

static void take_orders(struct model *model, struct model_worker *worker,
			const struct msg_work_orders *orders)
{
	int64_t until_ms = 0;
	size_t i, k;

	if (orders->worker_start_ms != worker->born ||
	    orders->fence < worker->fence)
		return;
	worker->fence = orders->fence;
	worker->listed_fence = orders->fence;
	if (orders->lease_ms)
		until_ms = worker->report_sent_ms[orders->report_seq % 16] +
			   orders->lease_ms;
	if (until_ms > worker->lease_ms)
		worker->lease_ms = until_ms;
	if (orders->stored_end_number > worker->seen)
		worker->seen = orders->stored_end_number;
	for (i = 0; i < worker->end_count;) {
		if (worker->ends[i].number > worker->seen) {
			i++;
			continue;
		}
		note_end(model, worker, i);
		worker->end_count--;
		memmove(&worker->ended_ms[i], &worker->ended_ms[i + 1],
			(worker->end_count - i) * sizeof(int64_t));
		memmove(&worker->ends[i], &worker->ends[i + 1],
			(worker->end_count - i) * sizeof(worker->ends[0]));
	}
	take_starts(model, worker, orders, until_ms);
	for (i = 0; i < orders->stops.count; i++) {
		const struct run_id *name = &orders->stops.items[i];
		uint32_t *highest = highest_of(worker, &name->task);

		if (*highest < name->run)
			*highest = name->run;
		for (k = worker->run_count; k-- > 0;)
			if (same_run(&worker->runs[k], &name->task, name->run))
				worker_end(model, worker, k, RUN_END_STOPPED);
	}
}

static void report(struct model *model, struct model_worker *worker)
{
	struct msg_work_report msg = { .epoch = model->epoch };
	struct run_status status[RUNS];
	struct msg_work_orders orders;
	struct worker *known;
	char node[ID_SIZE];
	size_t i;

	snprintf(node, sizeof(node), "node-%d", worker->index);
	msg.seq = ++worker->seq;
	worker->report_sent_ms[msg.seq % 16] = model->now_ms;
	msg.session = worker->session;
	snprintf(msg.worker, sizeof(msg.worker), "w-%d", worker->index);
	str_copy(msg.service, "s", sizeof(msg.service));
	msg.worker_start_ms = worker->born;
	msg.fence = worker->listed_fence;
	msg.state = WORKER_READY;
	msg.capacity.cpu_milli = CPU;
	memset(status, 0, sizeof(status));
	for (i = 0; i < worker->run_count; i++) {
		status[i].task = worker->runs[i].task;
		status[i].run = worker->runs[i].run;
		status[i].phase = RUN_ACTIVE;
	}
	for (i = 0; i < worker->delayed_count; i++) {
		if (worker->delayed[i].born != worker->born)
			continue;
		status[msg.runs.count + worker->run_count].task =
			worker->delayed[i].run.task;
		status[msg.runs.count + worker->run_count].run =
			worker->delayed[i].run.run;
		msg.runs.count++;
	}
	msg.runs.count += worker->run_count;
	for (i = 0; i < worker->refused_count && msg.runs.count < RUNS; i++) {
		status[msg.runs.count].task = worker->refused[i].task;
		status[msg.runs.count].run = worker->refused[i].run;
		status[msg.runs.count++].phase = RUN_GONE;
	}
	worker->refused_count = 0;
	msg.runs.items = status;
	msg.ends.items = worker->ends;
	msg.ends.count = worker->end_count;
	if (chance(model, 10))
		return;
	dispatch_report(model->dispatch, node, &msg,
			mstime_from(model->now_ms));
	known = dispatch_get_worker(model->dispatch, node,
				    mstime_from(model->now_ms));
	if (!dispatch_build_orders(model->dispatch, known, 1, &orders,
				   mstime_from(model->now_ms)) ||
	    chance(model, 10))
		return;
	take_orders(model, worker, &orders);
}

static void drop_commit(struct model *model)
{
	while (model->commit_count)
		free(model->commit[--model->commit_count].text);
}

/* Takes effect in the store, and is confirmed unless the scheduler is lost. */
static void finish_commit(struct model *model)
{
	int is_lost = chance(model, 2);
	size_t i;

	for (i = 0; i < model->commit_count; i++) {
		int job = job_index(model->commit[i].workflow->spec.id);

		free(model->stored[job]);
		model->stored[job] = model->commit[i].text;
		model->commit[i].text = NULL;
		model->commit[i].workflow->saving = 0;
		if (!is_lost)
			dispatch_mark_saved(model->dispatch,
					    model->commit[i].workflow,
					    model->commit[i].version);
	}
	model->commit_count = 0;
	if (is_lost)
		take_over(model);
}

static void commit(struct model *model)
{
	struct workflow *workflow;

	if (model->commit_count && !chance(model, 60))
		finish_commit(model);
	if (model->commit_count)
		return;
	while ((workflow = dispatch_next_unsaved(model->dispatch))) {
		size_t i = model->commit_count++;

		model->commit[i].workflow = workflow;
		model->commit[i].text = workflow_encode(workflow);
		model->commit[i].version = workflow->version;
		workflow->saving = 1;
	}
}

static void make_trouble(struct model *model)
{
	struct model_worker *worker =
		&model->workers[rng_below(&model->rng, WORKERS)];

	if (chance(model, 1))
		worker_crash(model, worker);
	if (chance(model, 1)) {
		worker->session = rng_next(&model->rng) | 1;
		worker->seq = 0;
		worker->listed_fence = 0;
	}
	if (chance(model, 1))
		worker->silent_until_ms =
			model->now_ms + rng_below(&model->rng, 12000);
	if (chance(model, 1))
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
					fail_msg("complete, but not done");
	}
}

static void run_schedule(uint64_t seed)
{
	struct model *model = xcalloc(1, sizeof(*model));
	int i;

	rng_seed(&model->rng, seed);
	model->now_ms = 1000;
	model->trouble = 1;
	for (i = 0; i < WORKERS; i++) {
		model->workers[i].index = i;
		model->workers[i].session = 1;
		worker_crash(model, &model->workers[i]);
	}
	take_over(model);
	while (!all_final(model)) {
		model->now_ms += STEP_MS;
		if (model->now_ms > LIMIT_MS)
			fail_msg("workflows do not end");
		model->trouble = model->now_ms < TROUBLE_MS;
		make_trouble(model);
		for (i = 0; i < WORKERS; i++)
			worker_step(model, &model->workers[i]);
		dispatch_expire(model->dispatch, mstime_from(model->now_ms));
		dispatch_assign(model->dispatch, mstime_from(model->now_ms));
		commit(model);
		for (i = 0; i < WORKERS; i++)
			if (model->now_ms >= model->workers[i].silent_until_ms)
				report(model, &model->workers[i]);
	}
	check_final(model);
	drop_commit(model);
	dispatch_delete(model->dispatch);
	for (i = 0; i < JOBS; i++)
		free(model->stored[i]);
	free(model);
}

/*
 * Guards against two runs of one task, a worker over its capacity, a task that
 * runs again after it was done, a step before its time and too many attempts.
 */
static void test_schedules(void **state)
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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_schedules),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
