/* Settings of queues that change while jobs are there. */
#include "dispatch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "mem.h"

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
				      .max_attempts = (uint32_t)version,
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

/* A job as it is stored by a gateway that has this version. */
static struct workflow *make_job(const char *service, int64_t version)
{
	struct queue_config queue = make_queue(service, version);
	struct workflow_spec spec = { .id = JOB, .step_count = 1 };
	const char *reason;

	spec.steps = xcalloc(1, sizeof(*spec.steps));
	spec.steps[0].task_count = 1;
	spec.steps[0].estimate_ms = 1000;
	spec.steps[0].need.cpu_milli = 1000;
	assert_int_equal(workflow_spec_check(&spec, &reason), 0);
	return workflow_new(&spec, &queue, 0);
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
		assert_int_equal(queue->max_attempts, cases[i].expected);
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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_versions),
		cmocka_unit_test(test_withdrawn),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
