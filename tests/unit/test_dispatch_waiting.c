/* What an operator is told of work that waits. */
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

#define EPOCH 7
#define COUNT(table) (sizeof(table) / sizeof((table)[0]))

static struct mstime at(int64_t ms)
{
	return mstime_from(100000 + ms);
}

static void add(struct dispatch *dispatch, const char *id, uint32_t cpu_milli,
		uint32_t occurrences, int64_t ms)
{
	struct queue_config queue = { .name = "q",
				      .service = "s",
				      .stretch = 2 };
	struct workflow_spec spec = { .step_count = 1 };
	const char *reason;

	str_copy(spec.id, id, sizeof(spec.id));
	spec.payload = xstrdup("p");
	spec.steps = xcalloc(1, sizeof(*spec.steps));
	spec.steps[0].task_count = 1;
	spec.steps[0].need.cpu_milli = cpu_milli;
	spec.steps[0].estimate_ms = 1000;
	spec.occurrences = occurrences;
	spec.interval_ms = 5000;
	spec.first_due_ms = occurrences > 1 ? 5000 : 0;
	assert_int_equal(workflow_spec_check(&spec, &reason), 0);
	assert_int_equal(
		dispatch_add(dispatch, workflow_new(&spec, &queue, 0), at(ms)),
		0);
}

/* One worker of two cores; a run that has ended, if any. */
static void report(struct dispatch *dispatch, struct ended_run *end, int64_t ms)
{
	struct worker *worker = dispatch_get_worker(dispatch, "r0", at(ms));
	struct msg_work_report msg = { .epoch = EPOCH,
				       .seq = worker->report_seq + 1,
				       .session = 1,
				       .worker = "r0",
				       .worker_start_ms = 5,
				       .state = worker->state ? worker->state
							      : WORKER_READY,
				       .service = "s",
				       .fence = worker->fence,
				       .capacity = { .cpu_milli = 2000 } };

	msg.ends.items = end;
	msg.ends.count = end != NULL;
	assert_int_equal(dispatch_report(dispatch, "r0", &msg, at(ms)), 0);
}

static struct dispatch *start(void)
{
	struct dispatch *dispatch =
		dispatch_new(&dispatch_defaults, EPOCH, at(0), NULL, NULL);

	report(dispatch, NULL, 1);
	report(dispatch, NULL, 2);
	return dispatch;
}

static struct dispatch_waiting assign(struct dispatch *dispatch, int64_t ms)
{
	struct dispatch_waiting waiting;

	dispatch_set_wall_clock(dispatch, ms);
	dispatch_assign(dispatch, at(ms));
	dispatch_count_waiting(dispatch, &waiting, at(ms));
	return waiting;
}

/* Guards against a workflow that waits without being counted, or for ever. */
static void test_without_room(void **state)
{
	struct dispatch *dispatch = start();
	struct ended_run end = { 1, { "small", 0, 0, 0 }, 1, RUN_END_DONE, "" };
	struct dispatch_waiting waiting;
	struct workflow *workflow;

	add(dispatch, "small", 1000, 1, 3);
	add(dispatch, "large", 2000, 1, 3);
	dispatch_count_waiting(dispatch, &waiting, at(400));
	assert_int_equal(waiting.look_ms, 397);
	waiting = assign(dispatch, 500);
	assert_int_equal(waiting.by_block[PLACEMENT_ROOM], 1);
	assert_int_equal(waiting.unsaved, 1);
	assert_int_equal(waiting.look_ms, 0);
	while ((workflow = dispatch_next_unsaved(dispatch, at(500))))
		dispatch_mark_saved(dispatch, workflow, workflow->version);
	waiting = assign(dispatch, 1200);
	assert_int_equal(waiting.unsaved, 0);
	assert_int_equal(waiting.idle_ms, 700);
	report(dispatch, &end, 1300);
	waiting = assign(dispatch, 1301);
	assert_int_equal(waiting.by_block[PLACEMENT_ROOM], 0);
	assert_int_equal(waiting.idle_ms, 0);
	dispatch_delete(dispatch);
}

/*
 * Guards against idle time from before an occurrence was due: its first task
 * was then forced beside serving runs at once.
 */
static void test_recurring(void **state)
{
	static const struct {
		int64_t ms, idle_ms;
	} cases[] = {
		{ 1000, 0 },   { 4999, 0 },    { 5000, 1 },
		{ 5500, 501 }, { 7000, 2001 },
	};
	struct dispatch *dispatch = start();
	size_t i;

	/* More than the worker has. */
	add(dispatch, "recurring", 3000, 2, 3);
	for (i = 0; i < COUNT(cases); i++)
		assert_in_range(assign(dispatch, cases[i].ms).idle_ms,
				cases[i].idle_ms ? cases[i].idle_ms - 1 : 0,
				cases[i].idle_ms);
	dispatch_delete(dispatch);
}

/* Guards against idle time that a run was there for. */
static void test_after_run(void **state)
{
	struct dispatch *dispatch = start();
	struct ended_run end = {
		1, { "job", 0, 0, 0 }, 1, RUN_END_STOPPED, ""
	};
	struct workflow *workflow;
	int64_t ms;

	add(dispatch, "job", 1000, 1, 3);
	for (ms = 100; ms <= 5000; ms += 100) {
		assert_int_equal(assign(dispatch, ms).idle_ms, 0);
		while ((workflow = dispatch_next_unsaved(dispatch, at(ms))))
			dispatch_mark_saved(dispatch, workflow,
					    workflow->version);
		report(dispatch, NULL, ms);
	}
	/* The worker leaves, so that the task finds no other place. */
	dispatch_get_worker(dispatch, "r0", at(ms))->state = WORKER_LEAVING;
	report(dispatch, &end, ms);
	assert_in_range(assign(dispatch, ms + 500).idle_ms, 500, 600);
	dispatch_delete(dispatch);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_without_room),
		cmocka_unit_test(test_recurring),
		cmocka_unit_test(test_after_run),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
