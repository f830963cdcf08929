#include "dispatch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "mem.h"

#define EPOCH 7

static struct mstime at(int64_t ms)
{
	return mstime_from(100000 + ms);
}

static struct workflow *job_new(const char *id, uint32_t count,
				uint32_t priority, int64_t estimate_ms)
{
	struct queue_config queue = { .name = "q",
				      .service = "s",
				      .priority = priority,
				      .max_attempts = 2,
				      .stretch = 2 };
	struct workflow_spec spec = { .step_count = 1 };
	const char *reason;

	str_copy(spec.id, id, sizeof(spec.id));
	spec.payload = xstrdup("p");
	spec.steps = xcalloc(1, sizeof(*spec.steps));
	spec.steps[0].task_count = count;
	spec.steps[0].need.cpu_milli = 1000;
	spec.steps[0].estimate_ms = estimate_ms;
	assert_int_equal(workflow_spec_check(&spec, &reason), 0);
	return workflow_new(&spec, &queue, 0);
}

static struct dispatch *dispatch_start(void)
{
	return dispatch_new(&dispatch_defaults, EPOCH, at(0), NULL, NULL);
}

/* A report of a worker with room for four tasks. */
static int report(struct dispatch *dispatch, uint64_t session, uint64_t seq,
		  struct run_status *runs, size_t count, int64_t ms)
{
	struct worker *worker = dispatch_get_worker(dispatch, "r1", at(ms));
	struct msg_work_report msg = { .epoch = EPOCH,
				       .seq = seq,
				       .session = session,
				       .worker = "w1",
				       .worker_start_ms = 5,
				       .state = WORKER_READY,
				       .service = "s",
				       .capacity = { .cpu_milli = 4000 } };

	msg.fence = worker->fence;
	msg.runs.items = runs;
	msg.runs.count = count;
	return dispatch_report(dispatch, "r1", &msg, at(ms));
}

static void save_all(struct dispatch *dispatch)
{
	struct workflow *workflow;

	while ((workflow = dispatch_next_unsaved(dispatch)))
		dispatch_mark_saved(dispatch, workflow, workflow->version);
}

static struct worker *only_worker(struct dispatch *dispatch)
{
	return dispatch_get_worker(dispatch, "r1", at(0));
}

/* Guards against a restarted runner whose reports are refused for good. */
static void test_sessions(void **state)
{
	static const struct {
		uint64_t session, seq;
		int err;
	} cases[] = {
		{ 9, 1, 0 },
		{ 9, 1, ERR_FENCED }, /* again */
		{ 9, 2, 0 },
		{ 3, 1, 0 },	      /* restarted, with a lower number */
		{ 9, 3, ERR_FENCED }, /* late, from before the restart */
		{ 3, 2, 0 },
	};
	struct dispatch *dispatch = dispatch_start();
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(report(dispatch, cases[i].session,
					cases[i].seq, NULL, 0, (int64_t)i),
				 cases[i].err);
	dispatch_delete(dispatch);
}

/* Guards against an order that the next scheduler would not know. */
static void test_saved_first(void **state)
{
	struct dispatch *dispatch = dispatch_start();
	struct msg_work_orders orders;

	dispatch_add(dispatch, job_new("j1", 2, 0, 100), at(0));
	report(dispatch, 1, 1, NULL, 0, 1);
	report(dispatch, 1, 2, NULL, 0, 2);
	assert_int_equal(dispatch_assign(dispatch, at(3)), 2);
	assert_true(dispatch_build_orders(dispatch, only_worker(dispatch), 1,
					  &orders, at(3)));
	assert_int_equal(orders.starts.count, 0);
	save_all(dispatch);
	assert_true(dispatch_build_orders(dispatch, only_worker(dispatch), 1,
					  &orders, at(4)));
	assert_int_equal(orders.starts.count, 2);
	dispatch_delete(dispatch);
}

/* Guards against leases that outlive the scheduler's own. */
static void test_own_lease(void **state)
{
	struct dispatch *dispatch = dispatch_start();
	struct msg_work_orders orders;

	report(dispatch, 1, 1, NULL, 0, 1);
	assert_true(dispatch_build_orders(dispatch, only_worker(dispatch), 0,
					  &orders, at(1)));
	assert_int_equal(orders.lease_ms, 0);
	dispatch_delete(dispatch);
}

/* Guards against old work that is served before work that is due. */
static void test_order(void **state)
{
	static const char *const expected[] = { "p0", "due-soon", "due-late",
						"late", "overdue" };
	struct dispatch *dispatch = dispatch_start();
	const struct list *pos;
	size_t i = 0;

	/* Objectives are twice the estimates. */
	dispatch_add(dispatch, job_new("overdue", 1, 2, 100), at(0));
	dispatch_add(dispatch, job_new("late", 1, 2, 800), at(0));
	dispatch_add(dispatch, job_new("due-late", 1, 2, 9000), at(2000));
	dispatch_add(dispatch, job_new("due-soon", 1, 2, 3000), at(2000));
	dispatch_add(dispatch, job_new("p0", 1, 0, 100), at(2000));
	dispatch_assign(dispatch, at(2000));
	list_for_each (pos, dispatch_workflows(dispatch))
		assert_string_equal(
			list_entry(pos, struct workflow, node)->spec.id,
			expected[i++]);
	assert_int_equal(i, 5);
	dispatch_delete(dispatch);
}

/* Guards against a run that is waited for while its worker stands still. */
static void test_stuck(void **state)
{
	struct dispatch *dispatch = dispatch_start();
	struct run_status status = { { "j1", 0, 0, 0 }, 1, RUN_ACTIVE, 7 };
	struct msg_work_orders orders;
	uint64_t seq = 2;
	int64_t ms;

	dispatch_add(dispatch, job_new("j1", 1, 0, 100), at(0));
	report(dispatch, 1, 1, NULL, 0, 1);
	report(dispatch, 1, 2, NULL, 0, 2);
	dispatch_assign(dispatch, at(3));
	save_all(dispatch);
	dispatch_build_orders(dispatch, only_worker(dispatch), 1, &orders,
			      at(4));
	for (ms = 100; ms <= 1900; ms += 300)
		report(dispatch, 1, ++seq, &status, 1, ms);
	dispatch_expire(dispatch, at(1950));
	dispatch_build_orders(dispatch, only_worker(dispatch), 1, &orders,
			      at(1960));
	assert_int_equal(orders.stops.count, 0);
	report(dispatch, 1, ++seq, &status, 1, 2200);
	dispatch_expire(dispatch, at(2250));
	assert_true(dispatch_build_orders(dispatch, only_worker(dispatch), 1,
					  &orders, at(2260)));
	assert_int_equal(orders.stops.count, 1);
	dispatch_delete(dispatch);
}

/* A workflow whose only task was placed at r1 by a former scheduler. */
static struct workflow *job_placed(uint64_t born)
{
	struct workflow *job = job_new("j1", 1, 0, 100);
	struct workflow_task *task = workflow_task(job, 0, 0, 0);

	job->state = WORKFLOW_RUNNING;
	job->occurrences[0].assigned_count[0] = 1;
	task->phase = TASK_ASSIGNED;
	task->last_run = 1;
	task->location = xcalloc(1, sizeof(*task->location));
	str_copy(task->location->node, "r1", sizeof(task->location->node));
	str_copy(task->location->worker, "w1", sizeof(task->location->worker));
	task->location->worker_start_ms = born;
	return job;
}

/*
 * Guards against a run of a former worker that is ordered once more, under its
 * old number, at the worker that has replaced it: the next scheduler would
 * take its end for one of the former worker. The replacement may be known
 * before or after the workflow is read from the store.
 */
static void test_placed_at_former_worker(void **state)
{
	/* The worker that reports was born at 5. */
	static const struct {
		uint64_t born;
		int reports_first;
		uint32_t first_run; /* 0: none may be ordered */
	} cases[] = {
		{ 4, 1, 2 }, { 4, 0, 2 }, { 5, 1, 1 },
		{ 5, 0, 1 }, { 6, 1, 0 }, { 6, 0, 0 },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct dispatch *dispatch = dispatch_start();
		struct msg_work_orders orders;

		if (!cases[i].reports_first)
			dispatch_add(dispatch, job_placed(cases[i].born),
				     at(0));
		report(dispatch, 1, 1, NULL, 0, 1);
		report(dispatch, 1, 2, NULL, 0, 2);
		if (cases[i].reports_first)
			dispatch_add(dispatch, job_placed(cases[i].born),
				     at(3));
		dispatch_assign(dispatch, at(4));
		save_all(dispatch);
		assert_true(dispatch_build_orders(
			dispatch, only_worker(dispatch), 1, &orders, at(5)));
		assert_int_equal(orders.starts.count,
				 cases[i].first_run ? 1 : 0);
		if (cases[i].first_run)
			assert_int_equal(orders.starts.items[0].run,
					 cases[i].first_run);
		dispatch_delete(dispatch);
	}
}

/*
 * Guards against batch work that waits although it would hardly disturb, and
 * against more pressure on a run that misses its target.
 */
static void test_beside_missed_target(void **state)
{
	static const struct {
		uint32_t cpu_milli, latency;
		int placed;
	} cases[] = {
		{ 1000, 100, 1 }, /* adds less than a figure shows */
		{ 3000, 100, 0 },
		{ 3000, 10, 1 },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct dispatch *dispatch = dispatch_start();
		struct workflow *serving = job_new("serving", 1, 0, 100);
		struct workflow *filling = job_new("filling", 1, 0, 100);
		struct run_status status = {
			{ "serving", 0, 0, 0 }, 1, RUN_ACTIVE, 100
		};
		struct msg_work_orders orders;
		uint64_t seq = 2;
		int64_t ms;

		serving->spec.steps[0].latency_target_ms = 50;
		serving->spec.steps[0].long_running = 1;
		serving->spec.steps[0].image = xstrdup("s");
		filling->spec.steps[0].need.cpu_milli = cases[i].cpu_milli;
		filling->spec.steps[0].best_effort = 1;
		filling->spec.steps[0].image = xstrdup("f");
		status.latency_or_cpu = cases[i].latency;
		dispatch_add(dispatch, serving, at(0));
		report(dispatch, 1, 1, NULL, 0, 1);
		report(dispatch, 1, 2, NULL, 0, 2);
		dispatch_assign(dispatch, at(3));
		save_all(dispatch);
		dispatch_build_orders(dispatch, only_worker(dispatch), 1,
				      &orders, at(4));
		for (ms = 100; ms <= 2100; ms += 500)
			report(dispatch, 1, ++seq, &status, 1, ms);
		dispatch_add(dispatch, filling, at(2110));
		assert_int_equal(dispatch_assign(dispatch, at(2120)),
				 cases[i].placed);
		dispatch_delete(dispatch);
	}
}

/* Guards against a final workflow that is forgotten while it is stored. */
static void test_old_final(void **state)
{
	int64_t keep_ms = dispatch_defaults.final_retention_ms;
	struct dispatch *dispatch = dispatch_start();

	dispatch_add(dispatch, job_new("j1", 1, 0, 100), at(0));
	dispatch_add(dispatch, job_new("j2", 1, 0, 100), at(0));
	dispatch_cancel(dispatch, "j1", at(10));
	dispatch_cancel(dispatch, "j2", at(20));
	assert_null(dispatch_next_removable(dispatch, NULL, at(keep_ms + 10)));
	save_all(dispatch);
	assert_null(dispatch_next_removable(dispatch, NULL, at(keep_ms)));
	assert_string_equal(
		dispatch_next_removable(dispatch, NULL, at(keep_ms + 10))
			->spec.id,
		"j1");
	assert_null(dispatch_next_removable(
		dispatch, dispatch_find_workflow(dispatch, "j1"),
		at(keep_ms + 10)));
	dispatch_remove(dispatch, "j1");
	assert_null(dispatch_find_workflow(dispatch, "j1"));
	assert_non_null(dispatch_find_workflow(dispatch, "j2"));
	dispatch_delete(dispatch);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_sessions),
		cmocka_unit_test(test_saved_first),
		cmocka_unit_test(test_own_lease),
		cmocka_unit_test(test_order),
		cmocka_unit_test(test_stuck),
		cmocka_unit_test(test_placed_at_former_worker),
		cmocka_unit_test(test_beside_missed_target),
		cmocka_unit_test(test_old_final),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
