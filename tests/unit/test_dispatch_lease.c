/* Leases of runs: what extends them, and when they have certainly expired. */
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
#define JOB "00000000000000aa"

static struct mstime at(int64_t ms)
{
	return mstime_from(100000 + ms);
}

/* One task that lasts. */
static struct workflow *new_lasting(void)
{
	struct queue_config queue = { .name = "q", .service = "s" };
	struct workflow_spec spec = { .step_count = 1 };
	const char *reason;

	str_copy(spec.id, JOB, sizeof(spec.id));
	spec.payload = xstrdup("p");
	spec.steps = xcalloc(1, sizeof(*spec.steps));
	spec.steps[0].task_count = 1;
	spec.steps[0].need.cpu_milli = 1000;
	spec.steps[0].long_running = 1;
	assert_int_equal(workflow_spec_check(&spec, &reason), 0);
	return workflow_new(&spec, &queue, 0);
}

/* Reports of runner r1. Without a worker id it knows no worker. */
struct report {
	int64_t ms;
	uint64_t session, seq;
	const char *worker;
	uint32_t list_age_ms, lease_left_ms;
	int is_unlisted; /* the worker's lists were never read */
	uint64_t epoch;	 /* 0: EPOCH */
	int err;
};

static void apply_report(struct dispatch *dispatch, const struct report *report)
{
	struct worker *worker =
		dispatch_get_worker(dispatch, "r1", at(report->ms));
	struct msg_work_report msg = { .epoch = report->epoch ? report->epoch
							      : EPOCH,
				       .seq = report->seq,
				       .session = report->session,
				       .worker_start_ms = 5,
				       .state = WORKER_READY,
				       .service = "s",
				       .capacity = { .cpu_milli = 4000 } };

	str_copy(msg.worker, report->worker, sizeof(msg.worker));
	if (!msg.worker[0]) {
		msg.worker_start_ms = 0;
		msg.state = WORKER_ABSENT;
	}
	msg.fence = report->is_unlisted ? 0 : worker->fence;
	msg.list_age_ms = report->list_age_ms;
	msg.lease_left_ms = report->lease_left_ms;
	assert_int_equal(dispatch_report(dispatch, "r1", &msg, at(report->ms)),
			 report->err);
}

static void save_workflows(struct dispatch *dispatch)
{
	struct workflow *workflow;

	while ((workflow = dispatch_next_unsaved(dispatch, at(1000000))))
		dispatch_mark_saved(dispatch, workflow, workflow->version);
}

/* A scheduler that has ordered the task at worker w1 of runner r1. */
static struct dispatch *start_with_run(void)
{
	struct dispatch *dispatch =
		dispatch_new(&dispatch_defaults, EPOCH, at(0), NULL, NULL);
	struct worker *worker = dispatch_get_worker(dispatch, "r1", at(0));
	struct msg_work_orders orders;

	dispatch_add(dispatch, new_lasting(), at(0));
	apply_report(dispatch, &(struct report){ 1, 1, 1, "w1", 0, 0 });
	apply_report(dispatch, &(struct report){ 2, 1, 2, "w1", 0, 0 });
	assert_int_equal(dispatch_assign(dispatch, at(3)), 1);
	save_workflows(dispatch);
	assert_true(dispatch_build_orders(dispatch, worker, 1, &orders, at(4)));
	assert_int_equal(orders.starts.count, 1);
	return dispatch;
}

/*
 * Guards against leases that never end: a restarted runner without a worker
 * reports lists of age 0, which says nothing about the worker that is lost.
 */
static void test_report_that_extends(void **state)
{
	static const struct {
		struct report report;
		int is_extended;
	} cases[] = {
		{ { 4000, 1, 3, "w1", 0, 0 }, 1 },
		{ { 4000, 1, 3, "w1", 1500, 0 }, 1 },
		{ { 4000, 1, 3, "w1", 1501, 0 }, 0 },
		{ { 4000, 2, 1, "w1", 0, 0 }, 1 },
		{ { 4000, 2, 1, "w1", 0, 0, 1 }, 0 },
		{ { 4000, 2, 1, "", 0, 0 }, 0 },
		{ { 4000, 2, 1, "", 3000, 0 }, 0 },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct dispatch *dispatch = start_with_run();
		struct worker *worker =
			dispatch_get_worker(dispatch, "r1", at(0));
		struct mstime before = worker->lease_end;
		struct msg_work_orders orders;

		apply_report(dispatch, &cases[i].report);
		assert_true(dispatch_build_orders(dispatch, worker, 1, &orders,
						  at(4001)));
		assert_int_equal(orders.lease_ms != 0, cases[i].is_extended);
		assert_int_equal(mstime_before(before, worker->lease_end),
				 cases[i].is_extended);
		dispatch_delete(dispatch);
	}
}

/* Guards against the same over time: the task must wait again at the end. */
static void test_runner_without_worker(void **state)
{
	struct dispatch *dispatch = start_with_run();
	struct worker *worker = dispatch_get_worker(dispatch, "r1", at(0));
	struct msg_work_orders orders;
	int64_t ms, seq = 0;

	for (ms = 1000; ms < 12000; ms += 500) {
		struct report report = { ms, 2, (uint64_t)++seq, "", 0, 0 };

		apply_report(dispatch, &report);
		dispatch_build_orders(dispatch, worker, 1, &orders, at(ms));
		dispatch_expire(dispatch, at(ms));
	}
	assert_int_equal(worker->run_count, 0);
	dispatch_delete(dispatch);
}

/*
 * Guards against leases that never end while a runner restarts again and again
 * beside a worker that announces itself, but whose lists cannot be read.
 */
static void test_lists_never_read(void **state)
{
	struct dispatch *dispatch = start_with_run();
	struct worker *worker = dispatch_get_worker(dispatch, "r1", at(0));
	struct msg_work_orders orders;
	int64_t ms, seq = 2;

	for (ms = 1000; ms < 12000; ms += 500) {
		struct report report = { ms,	    2 + (uint64_t)ms / 3000,
					 ++seq,	    "w1",
					 ms % 3000, 0,
					 1 };

		apply_report(dispatch, &report);
		dispatch_build_orders(dispatch, worker, 1, &orders, at(ms));
		dispatch_expire(dispatch, at(ms));
	}
	assert_int_equal(worker->run_count, 0);
	dispatch_delete(dispatch);
}

/* Takes the reason with which a worker's lease has expired. */
static void on_event(void *arg, const struct dispatch_event *event)
{
	const char **reason = arg;

	if (reason && event->kind == DISPATCH_WORKER_LEASE_EXPIRED)
		*reason = event->reason;
}

/*
 * Guards against a second run beside one whose lease is taken for over: by the
 * word of a report to another scheduler or of a former process of the runner,
 * or of one that was sent before the last lease arrived.
 */
static void test_report_that_bounds(void **state)
{
	static const struct {
		struct report report;
		int64_t left_ms;
	} cases[] = {
		{ { 10, 2, 2, "w1", 0, 0 }, 410 },
		{ { 10, 2, 2, "", 0, 0 }, 410 },
		{ { 10, 2, 2, "w1", 0, 3000 }, 3410 },
		{ { 10, 2, 2, "w1", 0, 0, .epoch = EPOCH - 1,
		    .err = ERR_FENCED },
		  8400 },
		{ { 10, 1, 9, "w1", 0, 0, .err = ERR_FENCED }, 8400 },
		{ { 10, 2, 1, "w1", 0, 0, .err = ERR_FENCED }, 8400 },
	};
	struct dispatch *dispatch;
	struct worker *worker;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		dispatch = dispatch_new(&dispatch_defaults, EPOCH, at(0), NULL,
					NULL);
		worker = dispatch_get_worker(dispatch, "r1", at(0));
		apply_report(dispatch,
			     &(struct report){ 1, 1, 1, "w1", 0, 20000 });
		apply_report(dispatch,
			     &(struct report){ 2, 2, 1, "w1", 0, 20000 });
		apply_report(dispatch, &cases[i].report);
		assert_int_equal(dispatch_lease_left_ms(worker, at(10)),
				 cases[i].left_ms);
		dispatch_delete(dispatch);
	}
	/* Sent before the lease that was granted for the last report. */
	dispatch = start_with_run();
	worker = dispatch_get_worker(dispatch, "r1", at(0));
	apply_report(dispatch, &(struct report){ 10, 1, 3, "w1", 0, 0 });
	assert_int_equal(dispatch_lease_left_ms(worker, at(10)), 5902);
	dispatch_delete(dispatch);
}

/*
 * Guards against leases that last longer than the scheduler waits, or tasks of
 * a silent runner that wait longer the more often its orders are repeated.
 */
static void test_orders_to_silent_runner(void **state)
{
	static const struct {
		int64_t ms; /* the last report arrived at 2 ms */
		int is_extended;
	} cases[] = {
		{ 404, 1 },
		{ 1602, 1 },
		{ 1603, 0 },
		{ 5000, 0 },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct dispatch *dispatch = start_with_run();
		struct worker *worker =
			dispatch_get_worker(dispatch, "r1", at(0));
		struct msg_work_orders orders;

		assert_true(dispatch_build_orders(dispatch, worker, 1, &orders,
						  at(cases[i].ms)));
		assert_int_equal(orders.starts.count, 1);
		assert_int_equal(orders.lease_ms != 0, cases[i].is_extended);
		assert_int_equal(mstime_diff(worker->lease_end, at(2)),
				 dispatch_defaults.lease_max_ms);
		dispatch_delete(dispatch);
	}
}

/* The time at which a scheduler that takes over drops the run of w1. */
static int64_t inherited_run_dropped_ms(struct report report,
					int64_t handover_ms,
					const char **reason)
{
	struct dispatch *before = start_with_run();
	struct dispatch *dispatch = dispatch_new(&dispatch_defaults, EPOCH,
						 at(0), on_event, reason);
	struct worker *worker = dispatch_get_worker(dispatch, "r1", at(0));
	struct workflow *workflow = new_lasting();
	char *state = workflow_encode(dispatch_find_workflow(before, JOB));
	struct msg_work_orders orders;
	int64_t ms;

	assert_int_equal(workflow_decode(workflow, state, strlen(state)), 0);
	free(state);
	dispatch_delete(before);
	if (handover_ms >= 0)
		dispatch_inherit_lease(dispatch, "r1", handover_ms);
	dispatch_add(dispatch, workflow, at(0));
	assert_int_equal(worker->run_count, 1);
	for (ms = 0; ms < 30000 && worker->run_count; ms += 10) {
		if (report.seq && ms >= report.ms && ms % 500 == 0) {
			apply_report(dispatch, &report);
			dispatch_build_orders(dispatch, worker, 1, &orders,
					      at(ms));
			report.ms += 500;
			report.seq++;
			if (report.worker[0])
				report.list_age_ms += 500;
			report.lease_left_ms -= report.lease_left_ms < 500
							? report.lease_left_ms
							: 500;
		}
		dispatch_expire(dispatch, at(ms));
	}
	dispatch_delete(dispatch);
	return ms - 10;
}

/*
 * Guards against a scheduler that waits anew for a worker that was lost before
 * its term: its runner knows when the last lease ends, and so does the last
 * scheduler if it resigns.
 */
static void test_inherited_lease(void **state)
{
	static const struct {
		struct report report;
		int64_t handover_ms; /* -1: the last scheduler left none */
		int64_t dropped_ms;
	} cases[] = {
		/* Never heard of: 2.5 s of the former scheduler, 5.91 s. */
		{ { 0, 0, 0, "", 0, 0 }, -1, 8410 },
		/* 410 ms for the worker's clock and calls in flight. */
		{ { 500, 1, 1, "w1", 20000, 0 }, -1, 910 },
		{ { 500, 1, 1, "w1", 3000, 3200 }, -1, 4110 },
		{ { 500, 1, 1, "", 0, 0 }, -1, 910 },
		{ { 500, 2, 1, "", 0, 5500 }, -1, 6410 },
		/* The runner knows more than the bound without reports. */
		{ { 4000, 2, 1, "", 0, 5500 }, -1, 8410 },
		/* Extended by this scheduler while the lists are recent. */
		{ { 500, 1, 1, "w1", 0, 5000 }, -1, 7910 },
		{ { 0, 0, 0, "", 0, 0 }, 0, 0 },
		{ { 0, 0, 0, "", 0, 0 }, 2000, 2000 },
		{ { 0, 0, 0, "", 0, 0 }, 9000, 8410 },
		/* The earlier bound holds, whoever knows it. */
		{ { 500, 2, 1, "", 0, 5500 }, 2000, 2000 },
		{ { 500, 1, 1, "w1", 20000, 0 }, 5000, 910 },
		{ { 500, 1, 1, "w1", 0, 5000 }, 5000, 7910 },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(inherited_run_dropped_ms(cases[i].report,
							  cases[i].handover_ms,
							  NULL),
				 cases[i].dropped_ms);
}

/* Guards against log lines that name no, or a wrong, reason for the expiry. */
static void test_reason_of_expiry(void **state)
{
	static const struct {
		struct report report;
		const char *reason;
	} cases[] = {
		{ { 0, 0, 0, "", 0, 0 }, "not-reported" },
		{ { 500, 1, 1, "", 0, 5000 }, "no-worker" },
		{ { 500, 1, 1, "w1", 20000, 5000 }, "old-lists" },
	};
	const char *reason;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		inherited_run_dropped_ms(cases[i].report, -1, &reason);
		assert_string_equal(reason, cases[i].reason);
	}
}

/*
 * Guards against a late start that was ordered by a former process of the
 * runner: a restarted one knows nothing of it, so its worker must refuse it,
 * also if the runner reports before the worker has announced itself.
 */
static void test_fence_of_restarted_runner(void **state)
{
	static const struct {
		struct report reports[2];
		int is_renewed;
	} cases[] = {
		{ { { 500, 1, 3, "w1", 0, 0 }, { 600, 1, 4, "w1", 0, 0 } }, 0 },
		{ { { 500, 1, 3, "", 0, 0 }, { 600, 1, 4, "w1", 0, 0 } }, 0 },
		{ { { 500, 2, 1, "w1", 0, 0 }, { 600, 2, 2, "w1", 0, 0 } }, 1 },
		{ { { 500, 2, 1, "", 0, 0 }, { 600, 2, 2, "w1", 0, 0 } }, 1 },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct dispatch *dispatch = start_with_run();
		struct worker *worker =
			dispatch_get_worker(dispatch, "r1", at(0));
		uint64_t fence = worker->fence;

		apply_report(dispatch, &cases[i].reports[0]);
		apply_report(dispatch, &cases[i].reports[1]);
		assert_int_equal(worker->fence - fence, cases[i].is_renewed);
		dispatch_delete(dispatch);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_report_that_extends),
		cmocka_unit_test(test_runner_without_worker),
		cmocka_unit_test(test_lists_never_read),
		cmocka_unit_test(test_report_that_bounds),
		cmocka_unit_test(test_orders_to_silent_runner),
		cmocka_unit_test(test_inherited_lease),
		cmocka_unit_test(test_reason_of_expiry),
		cmocka_unit_test(test_fence_of_restarted_runner),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
