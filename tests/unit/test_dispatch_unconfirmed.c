/* Runs that a worker was ordered to start and doesn't confirm. */
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
#define REPORT_INTERVAL_MS 500
#define TICK_MS 50
#define NOT_CONFIRMING "r1"

static struct mstime at(int64_t ms)
{
	return mstime_from(100000 + ms);
}

static struct workflow *new_workflow(int long_running, int gang)
{
	struct queue_config queue = { .name = "q", .service = "s" };
	struct workflow_spec spec = { .step_count = 1 };
	const char *reason;

	str_copy(spec.id, JOB, sizeof(spec.id));
	spec.payload = xstrdup("p");
	spec.steps = xcalloc(1, sizeof(*spec.steps));
	spec.steps[0].task_count = 1;
	spec.steps[0].need.cpu_milli = 1000;
	spec.steps[0].estimate_ms = 500;
	spec.steps[0].long_running = (unsigned)long_running & 1;
	spec.steps[0].gang = (unsigned)gang & 1;
	assert_int_equal(workflow_spec_check(&spec, &reason), 0);
	return workflow_new(&spec, &queue, 0);
}

/* What a runner reports of the run that it was ordered to start. */
enum reported {
	NOTHING, /* the order was lost */
	PENDING, /* the worker doesn't answer */
	ACTIVE,	 /* started */
	REFUSED, /* the worker has done nothing */
	GONE	 /* a stop or the lists prove that it isn't there */
};

static const enum run_phase phases[] = {
	[PENDING] = RUN_PENDING,
	[ACTIVE] = RUN_ACTIVE,
	[REFUSED] = RUN_REFUSED,
	[GONE] = RUN_GONE,
};

struct fixture {
	struct dispatch *dispatch;
	uint64_t seq;
	uint32_t list_age_ms; /* of r1 */
	int is_silent;	      /* r1 doesn't report */
	enum reported reported;
	struct task_id task; /* last start ordered at r1 */
	uint32_t run;
	int stops;		  /* ordered at r1 */
	uint32_t run_elsewhere;	  /* ordered at r2 */
	int64_t ordered_again_ms; /* of a later run at r1 */
};

static void save_workflows(struct dispatch *dispatch)
{
	struct workflow *workflow;

	while ((workflow = dispatch_next_unsaved(dispatch, at(1000000))))
		dispatch_mark_saved(dispatch, workflow, workflow->version);
}

static void report(struct fixture *f, const char *runner, int64_t ms)
{
	struct worker *worker =
		dispatch_get_worker(f->dispatch, runner, at(ms));
	int is_healthy = strcmp(runner, NOT_CONFIRMING) != 0;
	struct run_status status = { .task = f->task, .run = f->run };
	struct msg_work_report msg = { .epoch = EPOCH,
				       .seq = ++f->seq,
				       .session = 1,
				       .worker_start_ms = 5,
				       .state = WORKER_READY,
				       .lease_left_ms = 5500,
				       .service = "s" };

	/* The fuller worker is chosen last. */
	msg.capacity.cpu_milli = is_healthy ? 4000 : 8000;
	str_copy(msg.worker, is_healthy ? "w2" : "w1", sizeof(msg.worker));
	msg.fence = worker->fence;
	if (!is_healthy) {
		msg.list_age_ms = f->list_age_ms;
		if (f->run && f->reported != NOTHING) {
			status.phase = phases[f->reported];
			status.detail = "";
			msg.runs.items = &status;
			msg.runs.count = 1;
		}
	}
	assert_int_equal(dispatch_report(f->dispatch, runner, &msg, at(ms)), 0);
}

static void take_orders(struct fixture *f, const char *runner, int64_t ms)
{
	struct worker *worker =
		dispatch_get_worker(f->dispatch, runner, at(ms));
	struct msg_work_orders orders;

	if (!dispatch_build_orders(f->dispatch, worker, 1, &orders, at(ms)))
		return;
	if (strcmp(runner, NOT_CONFIRMING) != 0) {
		if (orders.starts.count)
			f->run_elsewhere = orders.starts.items[0].run;
		return;
	}
	f->stops += (int)orders.stops.count;
	if (!orders.starts.count)
		return;
	if (f->run && orders.starts.items[0].run != f->run) {
		f->reported = NOTHING;
		f->ordered_again_ms = ms;
	}
	f->task = orders.starts.items[0].task;
	f->run = orders.starts.items[0].run;
}

static void tick(struct fixture *f, int64_t ms)
{
	if (ms % REPORT_INTERVAL_MS == 0) {
		if (!f->is_silent)
			report(f, "r1", ms);
		report(f, "r2", ms);
	}
	dispatch_expire(f->dispatch, at(ms));
	dispatch_assign(f->dispatch, at(ms));
	save_workflows(f->dispatch);
	take_orders(f, "r1", ms);
	take_orders(f, "r2", ms);
}

static struct fixture *fixture_new(struct workflow *workflow)
{
	struct fixture *f = xcalloc(1, sizeof(*f));

	f->dispatch =
		dispatch_new(&dispatch_defaults, EPOCH, at(0), NULL, NULL);
	report(f, "r1", 1);
	report(f, "r2", 1);
	report(f, "r1", 2);
	report(f, "r2", 2);
	dispatch_add(f->dispatch, workflow, at(2));
	return f;
}

static void fixture_delete(struct fixture *f)
{
	dispatch_delete(f->dispatch);
	free(f);
}

static struct worker *not_confirming(struct fixture *f)
{
	return dispatch_get_worker(f->dispatch, NOT_CONFIRMING, at(0));
}

/*
 * Guards against a task that waits without a limit for a worker that reports
 * but doesn't start it, and against a second run before the first one is
 * settled.
 */
static void test_moved_once_settled(void **state)
{
	static const struct {
		int long_running, gang;
		enum reported reported;
	} cases[] = {
		{ 1, 0, PENDING }, { 0, 0, PENDING }, { 0, 1, PENDING },
		{ 1, 0, NOTHING }, { 0, 0, NOTHING }, { 0, 1, NOTHING },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fixture *f = fixture_new(
			new_workflow(cases[i].long_running, cases[i].gang));
		int64_t ms;

		f->reported = cases[i].reported;
		for (ms = 50; ms < 2000; ms += TICK_MS)
			tick(f, ms);
		assert_int_equal(f->run, 1);
		assert_int_equal(f->stops, 0);
		for (; ms < 20000; ms += TICK_MS)
			tick(f, ms);
		/* The stop is repeated; it may yet be refused. */
		assert_true(f->stops > 1);
		assert_int_equal(f->run_elsewhere, 0);
		assert_int_equal(not_confirming(f)->run_count, 1);
		f->reported = GONE;
		for (; ms < 21000; ms += TICK_MS)
			tick(f, ms);
		assert_int_equal(f->run_elsewhere, 2);
		assert_int_equal(not_confirming(f)->run_count, 0);
		assert_int_equal(f->ordered_again_ms, 0);
		fixture_delete(f);
	}
}

/* Guards against stopping runs that were started, or may yet be confirmed. */
static void test_not_moved(void **state)
{
	static const struct {
		enum reported reported;
		int is_silent;
		uint32_t list_age_ms;
	} cases[] = {
		{ ACTIVE, 0, 0 },     /* started */
		{ PENDING, 1, 0 },    /* its lease expires */
		{ PENDING, 0, 5000 }, /* the same */
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fixture *f = fixture_new(new_workflow(1, 0));
		int64_t ms;

		for (ms = 50; !f->run; ms += TICK_MS)
			tick(f, ms);
		f->reported = cases[i].reported;
		f->is_silent = cases[i].is_silent;
		f->list_age_ms = cases[i].list_age_ms;
		for (; ms < 5000; ms += TICK_MS)
			tick(f, ms);
		assert_int_equal(f->stops, 0);
		assert_int_equal(not_confirming(f)->run_count, 1);
		fixture_delete(f);
	}
}

/*
 * Guards against a task that is sent again and again to a worker that leaves a
 * start unanswered and refuses the next, so that each run is stopped.
 */
static void test_unstarted_runs_count(void **state)
{
	static const enum reported cases[] = { REFUSED, GONE };
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fixture *f = fixture_new(new_workflow(1, 0));
		int64_t ms;

		for (ms = 50; ms < 8000 && !f->run_elsewhere; ms += TICK_MS) {
			tick(f, ms);
			if (f->run)
				f->reported = cases[i];
		}
		assert_true(f->run_elsewhere > 1);
		fixture_delete(f);
	}
}

/* Guards against the end of the penalty before the stop is settled. */
static void test_penalty_from_settlement(void **state)
{
	struct fixture *f = fixture_new(new_workflow(1, 0));
	int64_t ms;

	f->reported = PENDING;
	for (ms = 50; ms < 12000; ms += TICK_MS)
		tick(f, ms);
	assert_true(f->stops > 0);
	f->reported = GONE;
	for (; ms < 13000; ms += TICK_MS)
		tick(f, ms);
	assert_true(mstime_before(at(ms), not_confirming(f)->penalty_until));
	assert_int_equal(f->run_elsewhere, 2);
	fixture_delete(f);
}

/*
 * Guards against keeping work from workers that lost one order: the others of
 * the service are short of room then. A worker that starts nothing is kept
 * free.
 */
static void test_penalty_without_starts_only(void **state)
{
	static const int cases[] = { 0, 1 }; /* it goes on starting others */
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fixture *f = fixture_new(new_workflow(1, 0));
		struct worker *worker = not_confirming(f);
		int64_t ms;

		f->reported = PENDING;
		for (ms = 50; ms < 3000; ms += TICK_MS) {
			tick(f, ms);
			if (cases[i])
				worker->started_at = at(ms);
		}
		assert_true(f->stops > 0);
		assert_int_equal(mstime_before(at(ms), worker->penalty_until),
				 !cases[i]);
		fixture_delete(f);
	}
}

/* A scheduler that takes over while the run is ordered at r1. */
static struct fixture *fixture_inherited(void)
{
	struct workflow *workflow = new_workflow(1, 0);
	struct fixture *before = fixture_new(new_workflow(1, 0));
	struct fixture *f = xcalloc(1, sizeof(*f));
	char *text;
	int64_t ms;

	for (ms = 50; !before->run; ms += TICK_MS)
		tick(before, ms);
	text = workflow_encode(dispatch_find_workflow(before->dispatch, JOB));
	assert_int_equal(workflow_decode(workflow, text, strlen(text)), 0);
	free(text);
	f->task = before->task;
	fixture_delete(before);
	f->dispatch =
		dispatch_new(&dispatch_defaults, EPOCH, at(0), NULL, NULL);
	dispatch_add(f->dispatch, workflow, at(0));
	return f;
}

/*
 * Guards against stopping an inherited run before this scheduler has had it
 * started, since its runner may have been silent since the takeover; and
 * against waiting without a limit when the runner has the order already.
 */
static void test_inherited_run(void **state)
{
	static const enum reported cases[] = { NOTHING, PENDING };
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fixture *f = fixture_inherited();
		int64_t ms;

		f->reported = cases[i];
		f->run = cases[i] == PENDING;
		f->is_silent = 1;
		for (ms = 50; ms < 4000; ms += TICK_MS)
			tick(f, ms);
		f->is_silent = 0;
		for (; ms < 5000; ms += TICK_MS)
			tick(f, ms);
		assert_int_equal(f->run, 1);
		assert_int_equal(f->stops, 0);
		for (; ms < 8000; ms += TICK_MS)
			tick(f, ms);
		assert_true(f->stops > 0);
		fixture_delete(f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_moved_once_settled),
		cmocka_unit_test(test_not_moved),
		cmocka_unit_test(test_unstarted_runs_count),
		cmocka_unit_test(test_penalty_from_settlement),
		cmocka_unit_test(test_penalty_without_starts_only),
		cmocka_unit_test(test_inherited_run),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
