/*
 * What a runner orders at its worker and makes of its lists, with stubs for
 * the calls, for the clock and for the rest of the runner.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "mem.h"
#include "runner_internal.h"
#include "sysclock.h"

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define JOB "0123456789abcdef"
#define FENCE 7
#define START_MS 5

static struct mstime now;
static int starts, stops;
static workercall_fn poll_fn, order_fn;
static void *poll_arg, *order_arg;

struct mstime sysclock_now(void)
{
	return now;
}

int64_t sysclock_wall_ms(void)
{
	return now.ms;
}

void loop_timer_start(struct loop_timer *timer, int64_t delay_ms)
{
}

void loop_timer_stop(struct loop_timer *timer)
{
}

void runner_schedule_report(struct runner *runner, int64_t delay_ms)
{
}

void runner_send_paces(struct runner *runner)
{
}

int64_t runner_worst_latency_percent(const struct runner *runner)
{
	return -1;
}

int workercall_is_connected(const struct workercall *client)
{
	return 1;
}

void workercall_cancel(struct workercall *client, const void *arg)
{
}

void workercall_poll(struct workercall *client,
		     const struct worker_target *target,
		     const struct worker_poll *poll, workercall_fn fn,
		     void *arg)
{
	poll_fn = fn;
	poll_arg = arg;
}

void workercall_start(struct workercall *client,
		      const struct worker_target *target,
		      const struct run_order *order, int64_t until_ms,
		      workercall_fn fn, void *arg)
{
	starts++;
	order_fn = fn;
	order_arg = arg;
}

void workercall_stop(struct workercall *client,
		     const struct worker_target *target,
		     const struct task_id *task, uint32_t run, workercall_fn fn,
		     void *arg)
{
	stops++;
	order_fn = fn;
	order_arg = arg;
}

struct local_run *local_run_find(struct runner *runner,
				 const struct task_id *task, uint32_t run)
{
	return list_empty(&runner->runs)
		       ? NULL
		       : list_entry(runner->runs.next, struct local_run, node);
}

struct local_run *local_run_new(struct runner *runner,
				const struct task_id *task, uint32_t run,
				enum run_phase phase)
{
	struct local_run *local = xcalloc(1, sizeof(*local));

	local->runner = runner;
	local->task = *task;
	local->run = run;
	local->phase = phase;
	list_add_tail(&runner->runs, &local->node);
	return local;
}

void local_run_delete(struct local_run *run)
{
	list_del(&run->node);
	free(run->payload);
	free(run->checkpoint);
	free(run->detail);
	free(run);
}

static void answer_poll(size_t runs, size_t ends, int has_more_ends)
{
	struct run_status run = { .task = { JOB, 0, 0, 0 },
				  .run = 1,
				  .phase = RUN_ACTIVE,
				  .checkpoint = "",
				  .detail = "" };
	struct ended_run end = { .number = 1,
				 .task = { JOB, 0, 0, 0 },
				 .run = 1,
				 .how = RUN_END_DONE,
				 .checkpoint = "" };
	struct worker_response response = { .clock_ms = now.ms,
					    .worker_start_ms = START_MS,
					    .runs = &run,
					    .run_count = runs,
					    .ends = &end,
					    .end_count = ends,
					    .has_more_ends = has_more_ends };
	workercall_fn fn = poll_fn;

	poll_fn = NULL;
	if (fn)
		fn(poll_arg, &response);
}

static void answer_order(int err)
{
	struct worker_response response = { .err = err,
					    .clock_ms = now.ms,
					    .worker_start_ms = START_MS };
	workercall_fn fn = order_fn;

	order_fn = NULL;
	fn(order_arg, &response);
}

static struct runner *runner_start(void)
{
	struct runner *runner = xcalloc(1, sizeof(*runner));

	now = mstime_from(100000);
	starts = stops = 0;
	poll_fn = order_fn = NULL;
	list_init(&runner->runs);
	runner->is_bound = 1;
	str_copy(runner->target.id, "w1", ID_SIZE);
	runner->target.fence = FENCE;
	runner->worker.worker_start_ms = START_MS;
	runner->worker.state = WORKER_READY;
	runner->report_seq = 1;
	runner->report_sent_at[1] = now;
	runner_hold(runner);
	answer_poll(0, 0, 0);
	return runner;
}

static void order_start(struct runner *runner)
{
	struct run_order start = { .task = { JOB, 0, 0, 0 },
				   .run = 1,
				   .payload = "p",
				   .checkpoint = "" };
	struct msg_work_orders orders = { .report_seq = 1,
					  .fence = FENCE,
					  .worker = "w1",
					  .worker_start_ms = START_MS,
					  .lease_ms = 5500 };

	orders.starts.items = &start;
	orders.starts.count = 1;
	runner_apply_orders(runner, &orders);
}

static void runner_end(struct runner *runner)
{
	while (!list_empty(&runner->runs))
		local_run_delete(
			list_entry(runner->runs.next, struct local_run, node));
	while (runner->end_count)
		free((char *)runner->ends[--runner->end_count].checkpoint);
	free(runner->ends);
	free(runner);
}

static struct local_run *only_run(struct runner *runner)
{
	return local_run_find(runner, NULL, 1);
}

/*
 * Guards against a start at a worker that leaves, up to its last second: one
 * without an answer was repeated there.
 */
static void test_start_at_worker_that_leaves(void **state)
{
	static const struct {
		int answers_before; /* to starts, while the worker is ready */
		int err;	    /* of these */
		enum worker_state state;
		int starts, stops; /* from then on */
		enum run_phase phase;
	} cases[] = {
		{ 0, 0, WORKER_READY, 1, 0, RUN_PENDING },
		{ 0, 0, WORKER_LEAVING, 0, 0, RUN_REFUSED },
		{ 1, ERR_UNKNOWN, WORKER_READY, 1, 0, RUN_PENDING },
		{ 1, ERR_UNKNOWN, WORKER_LEAVING, 0, 1, RUN_PENDING },
		{ 3, ERR_UNKNOWN, WORKER_LEAVING, 0, 1, RUN_PENDING },
		{ 1, ERR_UNAVAILABLE, WORKER_LEAVING, 0, 0, RUN_REFUSED },
		{ 1, ERR_TIMEOUT, WORKER_LEAVING, 0, 0, RUN_REFUSED },
		{ 1, 0, WORKER_LEAVING, 0, 0, RUN_ACTIVE },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct runner *runner = runner_start();
		int k;

		/* Without a state, orders wait for the lists. */
		if (!cases[i].answers_before)
			runner->worker.state = cases[i].state;
		order_start(runner);
		for (k = 0; k < cases[i].answers_before; k++) {
			answer_order(cases[i].err);
			now = mstime_add(now, 300);
			if (k + 1 < cases[i].answers_before)
				runner_send_due(runner);
		}
		if (cases[i].answers_before)
			starts = 0;
		runner->worker.state = cases[i].state;
		for (k = 0; k < 5; k++) {
			runner_send_due(runner);
			now = mstime_add(now, 300);
		}
		assert_int_equal(starts, cases[i].starts);
		assert_int_equal(stops, cases[i].stops);
		assert_int_equal(only_run(runner)->phase, cases[i].phase);
		runner_end(runner);
	}
}

/*
 * Guards against a task that runs again after its end: an end that an answer
 * had no room for counted as a lost run.
 */
static void test_run_in_no_list(void **state)
{
	static const struct {
		size_t runs, ends;
		int has_more_ends;
		int is_known; /* afterwards */
		enum run_phase phase;
		uint32_t progress;
	} cases[] = {
		{ 1, 0, 0, 1, RUN_ACTIVE, 0 }, { 1, 0, 1, 1, RUN_ACTIVE, 0 },
		{ 0, 0, 0, 1, RUN_GONE, 0 },   { 0, 0, 1, 1, RUN_ACTIVE, 100 },
		{ 0, 1, 0, 0, RUN_ACTIVE, 0 }, { 0, 1, 1, 0, RUN_ACTIVE, 0 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct runner *runner = runner_start();
		struct local_run *run;

		order_start(runner);
		answer_order(0);
		now = mstime_add(now, 100);
		runner_hold(runner);
		answer_poll(1, 0, 0);
		now = mstime_add(now, 100);
		runner_hold(runner);
		answer_poll(cases[i].runs, cases[i].ends,
			    cases[i].has_more_ends);
		run = only_run(runner);
		assert_int_equal(run != NULL, cases[i].is_known);
		if (run) {
			assert_int_equal(run->phase, cases[i].phase);
			assert_int_equal(run->progress, cases[i].progress);
		}
		runner_end(runner);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_start_at_worker_that_leaves),
		cmocka_unit_test(test_run_in_no_list),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
