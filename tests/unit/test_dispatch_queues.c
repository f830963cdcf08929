/* Settings of queues that change while jobs are there. */
#include "dispatch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "mem.h"
#include "queueshare.h"

#define EPOCH 7
#define JOB "0123456789abcdef"
#define COUNT(table) (sizeof(table) / sizeof((table)[0]))

static struct mstime at(int64_t ms)
{
	return mstime_from(100000 + ms);
}

static struct dispatch *start(void)
{
	return dispatch_new(&dispatch_defaults, EPOCH, at(0), NULL, NULL);
}

static struct queue_config make_queue(const char *service, int64_t version)
{
	struct queue_config queue = { .name = "q",
				      .stretch = 2,
				      .version = version };

	str_copy(queue.service, service, sizeof(queue.service));
	return queue;
}

static void configure(struct dispatch *dispatch, const char *service,
		      int64_t version)
{
	struct queue_config queue = make_queue(service, version);

	dispatch_configure_queue(dispatch, &queue);
	dispatch_apply_queues(dispatch, at(0));
}

/* A job of some tasks as it is stored by a gateway that has this version. */
static struct workflow *make_tasks(const char *id, const char *service,
				   int64_t version, uint32_t count,
				   uint32_t cpu_milli)
{
	struct queue_config queue = make_queue(service, version);
	struct workflow_spec spec = { .step_count = 1 };
	const char *reason;

	str_copy(spec.id, id, sizeof(spec.id));
	spec.steps = xcalloc(1, sizeof(*spec.steps));
	spec.steps[0].task_count = count;
	spec.steps[0].estimate_ms = 5000;
	spec.steps[0].need.cpu_milli = cpu_milli;
	assert_int_equal(workflow_spec_check(&spec, &reason), 0);
	return workflow_new(&spec, &queue, 0);
}

static struct workflow *make_job(const char *service, int64_t version)
{
	return make_tasks(JOB, service, version, 1, 1000);
}

static const struct queue_config *queue_of_job(struct dispatch *dispatch)
{
	return &dispatch_find_workflow(dispatch, JOB)->queue;
}

/*
 * Guards against a job with the settings that its gateway knew, when others are
 * in force, and against a scheduler that lags and takes newer ones away.
 */
static void test_versions(void **state)
{
	static const struct {
		const char *name;
		int64_t stored, before, after; /* 0: no configuration */
		int64_t expected;
	} cases[] = {
		{ "only the record", 4, 0, 0, 4 },
		{ "the gateway lags", 4, 6, 0, 6 },
		{ "a takeover before the configuration is read", 4, 0, 6, 6 },
		{ "a change while it waits", 4, 4, 6, 6 },
		{ "the scheduler lags", 6, 4, 0, 6 },
		{ "the scheduler lags and is late", 6, 0, 4, 6 },
		{ "the scheduler catches up", 6, 4, 8, 8 },
		{ "an old record without a version", 0, 4, 0, 4 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct dispatch *dispatch = start();
		const struct queue_config *queue;

		print_message("%s\n", cases[i].name);
		if (cases[i].before)
			configure(dispatch, "before", cases[i].before);
		dispatch_add(dispatch, make_job("stored", cases[i].stored),
			     at(1));
		if (cases[i].after)
			configure(dispatch, "after", cases[i].after);
		queue = queue_of_job(dispatch);
		assert_int_equal(queue->version, cases[i].expected);
		assert_string_equal(
			queue->service,
			cases[i].expected == cases[i].after    ? "after"
			: cases[i].expected == cases[i].before ? "before"
							       : "stored");
		dispatch_delete(dispatch);
	}
}

/*
 * Guards against a withdrawn queue whose last settings are forgotten while a
 * job has it, and against one that is kept for good.
 */
static void test_withdrawn(void **state)
{
	struct dispatch *dispatch = start();

	configure(dispatch, "first", 4);
	dispatch_add(dispatch, make_job("first", 4), at(1));
	configure(dispatch, "second", 6);
	dispatch_forget_queues(dispatch, 8);
	dispatch_set_aside(dispatch, dispatch_find_workflow(dispatch, JOB));
	dispatch_add(dispatch, make_job("first", 4), at(2));
	assert_string_equal(queue_of_job(dispatch)->service, "second");
	dispatch_set_aside(dispatch, dispatch_find_workflow(dispatch, JOB));
	dispatch_forget_queues(dispatch, 8);
	dispatch_add(dispatch, make_job("first", 4), at(3));
	assert_string_equal(queue_of_job(dispatch)->service, "first");
	dispatch_delete(dispatch);
}

/* What the next scheduler has: the record of the job and its stored state. */
static void take_over(struct dispatch **dispatch)
{
	struct workflow *workflow = dispatch_next_unsaved(*dispatch, at(2000));
	struct workflow *taken = make_job("first", 4);
	char *state;

	assert_non_null(workflow);
	state = workflow_encode(workflow);
	assert_int_equal(workflow_decode(taken, state, strlen(state)), 0);
	free(state);
	dispatch_delete(*dispatch);
	*dispatch = start();
	dispatch_add(*dispatch, taken, at(1));
}

/*
 * Guards against a job that has its former settings again after a takeover, as
 * its queue was withdrawn meanwhile.
 */
static void test_withdrawn_before_takeover(void **state)
{
	struct dispatch *dispatch = start();

	configure(dispatch, "first", 4);
	dispatch_add(dispatch, make_job("first", 4), at(1));
	configure(dispatch, "first", 5);
	assert_null(dispatch_next_unsaved(dispatch, at(2000)));
	configure(dispatch, "second", 6);
	take_over(&dispatch);
	assert_string_equal(queue_of_job(dispatch)->service, "second");
	assert_int_equal(queue_of_job(dispatch)->version, 6);
	/* The queue is there again, as it was first. */
	configure(dispatch, "first", 8);
	take_over(&dispatch);
	assert_string_equal(queue_of_job(dispatch)->service, "first");
	assert_int_equal(queue_of_job(dispatch)->version, 8);
	dispatch_delete(dispatch);
}

/* A worker of two cores that reports no runs. */
static void report(struct dispatch *dispatch, const char *service, int64_t ms)
{
	struct worker *worker = dispatch_get_worker(dispatch, "r0", at(ms));
	struct msg_work_report msg = { .epoch = EPOCH,
				       .seq = worker->report_seq + 1,
				       .session = 1,
				       .worker = "r0",
				       .worker_start_ms = 5,
				       .state = WORKER_READY,
				       .fence = worker->fence,
				       .capacity = { .cpu_milli = 2000 } };

	str_copy(msg.service, service, sizeof(msg.service));
	assert_int_equal(dispatch_report(dispatch, "r0", &msg, at(ms)), 0);
}

static void pass_time(struct dispatch *dispatch, int64_t from_ms, int64_t to_ms)
{
	for (; from_ms <= to_ms; from_ms += 100) {
		report(dispatch, "first", from_ms);
		dispatch_set_wall_clock(dispatch, from_ms);
		dispatch_assign(dispatch, at(from_ms));
	}
}

/*
 * Guards against room that a worker of the former service keeps, for seconds,
 * for a job that will not start there.
 */
static void test_reservation(void **state)
{
	struct dispatch *dispatch = start();
	const struct workflow *large;

	configure(dispatch, "first", 4);
	report(dispatch, "first", 1);
	dispatch_add(dispatch, make_tasks("small", "first", 4, 2, 1000), at(2));
	pass_time(dispatch, 100, 200);
	dispatch_add(dispatch, make_tasks(JOB, "first", 4, 1, 2000), at(250));
	pass_time(dispatch, 300, 1800);
	large = dispatch_find_workflow(dispatch, JOB);
	assert_true(large->has_reservation);
	configure(dispatch, "first", 6);
	assert_true(large->has_reservation);
	configure(dispatch, "second", 8);
	assert_false(large->has_reservation);
	assert_null(dispatch_get_worker(dispatch, "r0", at(1800))->reservation);
	dispatch_delete(dispatch);
}

/* Guards against a job that counts for its queue at the former service. */
static void test_share(void **state)
{
	struct dispatch *dispatch = start();

	dispatch_add(dispatch, make_job("first", 4), at(1));
	configure(dispatch, "second", 6);
	assert_string_equal(
		dispatch_find_workflow(dispatch, JOB)->share->service,
		"second");
	dispatch_delete(dispatch);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_versions),
		cmocka_unit_test(test_withdrawn),
		cmocka_unit_test(test_withdrawn_before_takeover),
		cmocka_unit_test(test_reservation),
		cmocka_unit_test(test_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
