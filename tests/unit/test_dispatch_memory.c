/* What workflows that find no place cost the scheduler. */
#include "dispatch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "mem.h"

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define EPOCH 7
#define WORKERS 3
#define TASKS 24
#define OCCURRENCES 86400 /* one a second, due since a day ago */
#define PASSES 200
#define JOBS_MAX 5
/* Of a step that has begun, with about 100 bytes of its occurrence. */
#define STEP_BYTES (TASKS * sizeof(struct workflow_task) + 100)

struct shape {
	const char *name;
	uint32_t cpu_milli; /* of the tasks that find no place */
	uint32_t max_per_worker;
	int gang, best_effort;
	const char *label;
	int has_first_step; /* another one, with a place, goes before it */
	uint32_t begun;	    /* most tasks with a state */
};

/* Workers have 64 cores. */
static const struct shape shapes[] = {
	{ "plain", 70000, 0, 0, 0, NULL, 0, 0 },
	{ "spread", 70000, 4, 0, 0, NULL, 0, 0 },
	{ "gang", 70000, 0, 1, 0, NULL, 0, 0 },
	{ "gang that fits in part", 20000, 0, 1, 0, NULL, 0, 0 },
	{ "spread gang", 1000, 4, 1, 0, NULL, 0, 0 },
	{ "best effort", 70000, 0, 0, 1, NULL, 0, 0 },
	{ "label", 1000, 0, 0, 0, "none", 0, 0 },
	{ "spread, label", 1000, 4, 0, 0, "none", 0, 0 },
	{ "second step", 70000, 4, 0, 0, NULL, 1, TASKS_PER_WORKFLOW_MAX },
	{ "second step, gang", 70000, 0, 1, 0, NULL, 1,
	  TASKS_PER_WORKFLOW_MAX },
};

static struct mstime at(int64_t ms)
{
	return mstime_from(100000 + ms);
}

static struct workflow *new_workflow(const struct shape *shape, int n)
{
	struct queue_config queue = { .name = "q", .service = "s" };
	struct workflow_spec spec = { .step_count = 1 };
	struct workflow_step *step;
	const char *reason;

	snprintf(spec.id, sizeof(spec.id), "job-%d", n);
	if (shape->has_first_step)
		spec.step_count = 2;
	spec.steps = xcalloc(spec.step_count, sizeof(*spec.steps));
	step = &spec.steps[spec.step_count - 1];
	step->task_count = TASKS;
	step->need.cpu_milli = shape->cpu_milli;
	step->max_per_worker = shape->max_per_worker;
	step->gang = (unsigned)shape->gang & 1;
	step->best_effort = (unsigned)shape->best_effort & 1;
	/* Workers have none: without cores such a task would be forced. */
	step->need.mem_mb = step->best_effort;
	step->required_label = shape->label ? xstrdup(shape->label) : NULL;
	if (shape->has_first_step) {
		spec.steps[0].task_count = 1;
		spec.steps[0].need.cpu_milli = 1;
		step->depends_on = xcalloc(1, sizeof(*step->depends_on));
		step->dependency_count = 1;
	}
	spec.occurrences = OCCURRENCES;
	spec.interval_ms = 1000;
	spec.first_due_ms = 1;
	assert_int_equal(workflow_spec_check(&spec, &reason), 0);
	return workflow_new(&spec, &queue, 0);
}

struct fixture {
	struct dispatch *dispatch;
	uint64_t seq, end_numbers[WORKERS];
};

/* Ends what has been assigned, as the first steps are. */
static void report(struct fixture *f, int n, int64_t ms)
{
	static struct ended_run ends[RUNS_MAX];
	char runner[ID_SIZE];
	struct worker *worker;
	struct msg_work_report msg = { .epoch = EPOCH,
				       .seq = ++f->seq,
				       .session = 1,
				       .worker_start_ms = 5,
				       .state = WORKER_READY,
				       .lease_left_ms = 5500,
				       .service = "s",
				       .capacity = { .cpu_milli = 64000 } };
	struct list *pos;

	snprintf(runner, sizeof(runner), "r%d", n);
	worker = dispatch_get_worker(f->dispatch, runner, at(ms));
	str_copy(msg.worker, runner, sizeof(msg.worker));
	msg.fence = worker->fence;
	list_for_each (pos, &worker->runs) {
		const struct run *run = list_entry(pos, struct run, node);

		ends[msg.ends.count++] = (struct ended_run){
			.number = ++f->end_numbers[n],
			.task = run->id,
			.run = run->number,
			.how = RUN_END_DONE,
			.checkpoint = "",
		};
	}
	msg.ends.items = ends;
	assert_int_equal(dispatch_report(f->dispatch, runner, &msg, at(ms)), 0);
}

static void save_workflows(struct dispatch *dispatch)
{
	struct workflow *workflow;

	while ((workflow = dispatch_next_unsaved(dispatch, at(100000000)))) {
		char *json = workflow_encode_within(workflow, 1 << 20);

		assert_non_null(json);
		free(json);
		dispatch_mark_saved(dispatch, workflow, workflow->version);
	}
}

static void play(const struct shape *shape, int jobs)
{
	struct fixture f = { 0 };
	struct workflow *ordinary;
	size_t specs = 0, begun = 0;
	uint64_t first_version = 0;
	struct list *pos;
	int i, n;

	f.dispatch = dispatch_new(&dispatch_defaults, EPOCH, at(0), NULL, NULL);
	for (i = 0; i < 2 * WORKERS; i++)
		report(&f, i % WORKERS, 1);
	dispatch_set_wall_clock(f.dispatch, 1000LL * OCCURRENCES + 2000);
	for (n = 0; n < jobs; n++) {
		struct workflow *workflow = new_workflow(shape, n);

		specs += workflow_memory(workflow);
		dispatch_add(f.dispatch, workflow, at(2));
		first_version = workflow->version;
	}
	for (i = 0; i < PASSES; i++) {
		dispatch_assign(f.dispatch, at(10 + 20 * i));
		save_workflows(f.dispatch);
		for (n = 0; n < WORKERS; n++)
			report(&f, n, 11 + 20 * i);
	}
	list_for_each (pos, dispatch_workflows(f.dispatch)) {
		const struct workflow *workflow =
			list_entry(pos, struct workflow, node);

		begun += workflow->begun_count;
		if (!shape->has_first_step)
			assert_int_equal(workflow->version, first_version);
		if (workflow->state_count > shape->begun)
			fail_msg("%s: %u tasks with a state", shape->name,
				 workflow->state_count);
		assert_true(workflow->begun_count * (TASKS + 1) <=
			    shape->begun + TASKS + 1);
	}
	if (dispatch_memory(f.dispatch) > specs + begun * 100)
		fail_msg("%s, %d jobs: %zu bytes, of these %zu specifications",
			 shape->name, jobs, dispatch_memory(f.dispatch), specs);
	/* Others go on. */
	ordinary = new_workflow(&(struct shape){ .cpu_milli = 100 }, jobs);
	ordinary->spec.occurrences = 1;
	dispatch_add(f.dispatch, ordinary, at(50000));
	for (n = 0; n < WORKERS; n++)
		report(&f, n, 50000);
	for (i = 0; i < 20 && !ordinary->assigned_total; i++)
		dispatch_assign(f.dispatch, at(50010 + 20 * i));
	assert_int_equal(ordinary->assigned_total, TASKS);
	dispatch_delete(f.dispatch);
}

/*
 * Guards against a scheduler that exceeds its memory, and each next one after
 * it: tasks that were looked at took memory for as long as their job was known.
 */
static void test_looks_take_no_memory(void **state)
{
	static const int jobs[] = { 1, 40 };
	size_t i, k;

	for (i = 0; i < COUNT(shapes); i++)
		for (k = 0; k < COUNT(jobs); k++)
			play(&shapes[i], jobs[k]);
}

/*
 * Guards against memory that grows with the steps that have begun. What waits
 * for memory is told apart, and all of it runs once others have ended.
 */
static void test_begun_steps_are_bounded(void **state)
{
	static const struct {
		size_t steps; /* for which there is memory */
		int jobs;
		uint32_t waiting; /* at first */
	} cases[] = {
		{ 1, 1, 0 },
		{ 1, 5, 4 },
		{ 3, 5, 2 },
		{ 5, 5, 0 },
	};
	const struct shape shape = { .cpu_milli = 10 };
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct dispatch_limits limits = dispatch_defaults;
		struct workflow *workflows[JOBS_MAX];
		struct dispatch_waiting waiting;
		struct fixture f = { 0 };
		int n, k;

		/* A block is to fit beside the steps that have begun. */
		limits.memory_max =
			(cases[i].steps - 1) * STEP_BYTES +
			TASK_BLOCK_SIZE * sizeof(struct workflow_task);
		for (n = 0; n < cases[i].jobs; n++) {
			workflows[n] = new_workflow(&shape, n);
			workflows[n]->spec.occurrences = 1;
			limits.memory_max += workflow_memory(workflows[n]);
		}
		f.dispatch = dispatch_new(&limits, EPOCH, at(0), NULL, NULL);
		for (n = 0; n < 2 * WORKERS; n++)
			report(&f, n % WORKERS, 1);
		for (n = 0; n < cases[i].jobs; n++)
			dispatch_add(f.dispatch, workflows[n], at(2));
		dispatch_set_wall_clock(f.dispatch, 2000);
		dispatch_assign(f.dispatch, at(10));
		dispatch_count_waiting(f.dispatch, &waiting, at(10));
		assert_int_equal(waiting.by_block[PLACEMENT_MEMORY],
				 cases[i].waiting);
		for (k = 1; k <= 10; k++) {
			save_workflows(f.dispatch);
			for (n = 0; n < WORKERS; n++)
				report(&f, n, 10 + 20 * k);
			dispatch_assign(f.dispatch, at(11 + 20 * k));
		}
		assert_true(list_empty(dispatch_workflows(f.dispatch)));
		dispatch_delete(f.dispatch);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_looks_take_no_memory),
		cmocka_unit_test(test_begun_steps_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
