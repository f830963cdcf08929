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

static struct workflow *new_workflow(const char *id, uint32_t count,
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

static struct workflow_task *begin_task(struct workflow *workflow, uint32_t k,
					uint32_t step, uint32_t index)
{
	struct task_id id = { "", k, step, index };

	return workflow_begin_task(workflow, &id);
}

static enum task_phase phase_of(const struct workflow *workflow, uint32_t k,
				uint32_t step, uint32_t index)
{
	struct task_id id = { "", k, step, index };

	return workflow_task_phase(workflow, &id);
}

static char *new_text(size_t len)
{
	char *text = xcalloc(len + 1, 1);

	memset(text, 't', len);
	return text;
}

static struct dispatch *dispatch_start(void)
{
	return dispatch_new(&dispatch_defaults, EPOCH, at(0), NULL, NULL);
}

/* A report of a worker with room for four tasks. */
static int send_fenced_report(struct dispatch *dispatch, uint64_t session,
			      uint64_t seq, uint64_t fence,
			      struct run_status *runs, size_t count, int64_t ms)
{
	struct msg_work_report msg = { .epoch = EPOCH,
				       .seq = seq,
				       .session = session,
				       .worker = "w1",
				       .worker_start_ms = 5,
				       .state = WORKER_READY,
				       .service = "s",
				       .capacity = { .cpu_milli = 4000 } };

	msg.fence = fence;
	msg.runs.items = runs;
	msg.runs.count = count;
	return dispatch_report(dispatch, "r1", &msg, at(ms));
}

static int send_report(struct dispatch *dispatch, uint64_t session,
		       uint64_t seq, struct run_status *runs, size_t count,
		       int64_t ms)
{
	struct worker *worker = dispatch_get_worker(dispatch, "r1", at(ms));

	return send_fenced_report(dispatch, session, seq, worker->fence, runs,
				  count, ms);
}

static void save_workflows(struct dispatch *dispatch)
{
	struct workflow *workflow;

	while ((workflow = dispatch_next_unsaved(dispatch, at(1000000))))
		dispatch_mark_saved(dispatch, workflow, workflow->version);
}

static struct worker *only_worker(struct dispatch *dispatch)
{
	return dispatch_get_worker(dispatch, "r1", at(0));
}

/*
 * Guards against refusing every report of a restarted runner: session numbers
 * are random, so the new one may be lower. Reports of the previous session
 * stay refused.
 */
static void test_session_restart(void **state)
{
	static const struct {
		uint64_t session, seq;
		int err;
	} cases[] = {
		{ 9, 1, 0 },
		{ 9, 1, ERR_FENCED }, /* duplicate */
		{ 9, 2, 0 },
		{ 3, 1, 0 },	      /* restarted, with a lower number */
		{ 9, 3, ERR_FENCED }, /* late, from before the restart */
		{ 3, 2, 0 },
	};
	struct dispatch *dispatch = dispatch_start();
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(send_report(dispatch, cases[i].session,
					     cases[i].seq, NULL, 0, (int64_t)i),
				 cases[i].err);
	dispatch_delete(dispatch);
}

/*
 * Guards against starting a run before its assignment is stored: a scheduler
 * that takes over would not know of the run.
 */
static void test_start_after_save(void **state)
{
	struct dispatch *dispatch = dispatch_start();
	struct msg_work_orders orders;

	dispatch_add(dispatch, new_workflow("j1", 2, 0, 100), at(0));
	send_report(dispatch, 1, 1, NULL, 0, 1);
	send_report(dispatch, 1, 2, NULL, 0, 2);
	assert_int_equal(dispatch_assign(dispatch, at(3)), 2);
	assert_true(dispatch_build_orders(dispatch, only_worker(dispatch), 1,
					  &orders, at(3)));
	assert_int_equal(orders.starts.count, 0);
	save_workflows(dispatch);
	assert_true(dispatch_build_orders(dispatch, only_worker(dispatch), 1,
					  &orders, at(4)));
	assert_int_equal(orders.starts.count, 2);
	dispatch_delete(dispatch);
}

/*
 * Guards against run leases that outlast the scheduler's own lease: when that
 * lease permits no extension (may_extend is 0), the orders must carry none.
 */
static void test_scheduler_lease(void **state)
{
	struct dispatch *dispatch = dispatch_start();
	struct msg_work_orders orders;

	send_report(dispatch, 1, 1, NULL, 0, 1);
	assert_true(dispatch_build_orders(dispatch, only_worker(dispatch), 0,
					  &orders, at(1)));
	assert_int_equal(orders.lease_ms, 0);
	dispatch_delete(dispatch);
}

/*
 * Guards against serving workflows that have missed their objective before
 * those that can still meet it. Priority 0 comes first.
 */
static void test_urgency_order(void **state)
{
	static const char *const expected[] = { "p0", "due-soon", "due-late",
						"late", "overdue" };
	struct dispatch *dispatch = dispatch_start();
	const struct list *pos;
	size_t i = 0;

	/* The objective is twice the estimate. */
	dispatch_add(dispatch, new_workflow("overdue", 1, 2, 100), at(0));
	dispatch_add(dispatch, new_workflow("late", 1, 2, 800), at(0));
	dispatch_add(dispatch, new_workflow("due-late", 1, 2, 9000), at(2000));
	dispatch_add(dispatch, new_workflow("due-soon", 1, 2, 3000), at(2000));
	dispatch_add(dispatch, new_workflow("p0", 1, 0, 100), at(2000));
	dispatch_assign(dispatch, at(2000));
	list_for_each (pos, dispatch_workflows(dispatch))
		assert_string_equal(
			list_entry(pos, struct workflow, node)->spec.id,
			expected[i++]);
	assert_int_equal(i, 5);
	dispatch_delete(dispatch);
}

/*
 * Guards against orders that no message can carry: the worker would get no
 * orders and no lease any more.
 */
static void test_orders_fit_into_messages(void **state)
{
	static const struct {
		size_t payload_len, checkpoint_len;
	} cases[] = {
		{ 1, 0 },
		{ 1, 257 },
		{ WORKFLOW_PAYLOAD_MAX, 0 },
		{ 1, RUN_CHECKPOINT_MAX },
		{ WORKFLOW_PAYLOAD_MAX, RUN_CHECKPOINT_MAX },
	};
	const uint32_t count = 3 * ORDER_STARTS_MAX + 1;
	size_t i, starts;
	uint32_t k;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct dispatch *dispatch = dispatch_start();
		struct workflow *workflow = new_workflow("j1", count, 0, 100);
		struct message msg = { MSG_WORK_ORDERS };
		unsigned char *data;
		size_t len;
		int extent;

		workflow->spec.steps[0].need.cpu_milli = 10;
		free(workflow->spec.payload);
		workflow->spec.payload = new_text(cases[i].payload_len);
		dispatch_add(dispatch, workflow, at(0));
		for (k = 0; k < count; k++) {
			char *text = new_text(cases[i].checkpoint_len);

			workflow_set_checkpoint(
				workflow, begin_task(workflow, 0, 0, k), text);
			free(text);
		}
		send_report(dispatch, 1, 1, NULL, 0, 1);
		send_report(dispatch, 1, 2, NULL, 0, 2);
		assert_int_equal(dispatch_assign(dispatch, at(3)), count);
		save_workflows(dispatch);
		for (starts = 0, extent = ORDERS_PARTIAL;
		     extent == ORDERS_PARTIAL;
		     starts += msg.u.work_orders.starts.count) {
			extent = dispatch_build_orders(
				dispatch, only_worker(dispatch), 1,
				&msg.u.work_orders, at(4));
			assert_int_not_equal(extent, ORDERS_NONE);
			assert_int_equal(message_encode(&msg, &data, &len), 0);
			free(data);
		}
		assert_int_equal(starts, count);
		dispatch_delete(dispatch);
	}
}

/*
 * Guards against waiting without end for a run whose worker hangs: a run
 * whose progress has not changed for stuck_timeout_ms is stopped.
 */
static void test_stuck_run(void **state)
{
	struct dispatch *dispatch = dispatch_start();
	struct run_status status = { { "j1", 0, 0, 0 }, 1, RUN_ACTIVE, 7 };
	struct msg_work_orders orders;
	uint64_t seq = 2;
	int64_t ms;

	dispatch_add(dispatch, new_workflow("j1", 1, 0, 100), at(0));
	send_report(dispatch, 1, 1, NULL, 0, 1);
	send_report(dispatch, 1, 2, NULL, 0, 2);
	dispatch_assign(dispatch, at(3));
	save_workflows(dispatch);
	dispatch_build_orders(dispatch, only_worker(dispatch), 1, &orders,
			      at(4));
	for (ms = 100; ms <= 1900; ms += 300)
		send_report(dispatch, 1, ++seq, &status, 1, ms);
	dispatch_expire(dispatch, at(1950));
	dispatch_build_orders(dispatch, only_worker(dispatch), 1, &orders,
			      at(1960));
	assert_int_equal(orders.stops.count, 0);
	send_report(dispatch, 1, ++seq, &status, 1, 2200);
	dispatch_expire(dispatch, at(2250));
	assert_true(dispatch_build_orders(dispatch, only_worker(dispatch), 1,
					  &orders, at(2260)));
	assert_int_equal(orders.stops.count, 1);
	dispatch_delete(dispatch);
}

/* A workflow whose only task a previous scheduler assigned to runner r1. */
static struct workflow *new_assigned_workflow(uint64_t worker_start_ms)
{
	struct workflow *workflow = new_workflow("j1", 1, 0, 100);
	struct workflow_task *task = begin_task(workflow, 0, 0, 0);

	workflow->state = WORKFLOW_RUNNING;
	workflow_count_assigned(workflow, &(struct task_id){ "", 0, 0, 0 }, 1);
	task->phase = TASK_ASSIGNED;
	task->last_run = 1;
	task->location = xcalloc(1, sizeof(*task->location));
	str_copy(task->location->node, "r1", sizeof(task->location->node));
	str_copy(task->location->worker, "w1", sizeof(task->location->worker));
	task->location->worker_start_ms = worker_start_ms;
	return workflow;
}

/*
 * Guards against starting the run of a replaced worker again, under the same
 * run number, at the replacement: the next scheduler would take its end for
 * that of the run at the replaced worker. The replacement may report before or
 * after the workflow is loaded from the store.
 */
static void test_assigned_to_replaced_worker(void **state)
{
	/* The reporting worker started at 5. */
	static const struct {
		uint64_t worker_start_ms;
		int reports_before_add;
		uint32_t first_run; /* 0: no start may be sent */
	} cases[] = {
		{ 4, 1, 2 }, { 4, 0, 2 }, { 5, 1, 1 },
		{ 5, 0, 1 }, { 6, 1, 0 }, { 6, 0, 0 },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct dispatch *dispatch = dispatch_start();
		struct msg_work_orders orders;

		if (!cases[i].reports_before_add)
			dispatch_add(
				dispatch,
				new_assigned_workflow(cases[i].worker_start_ms),
				at(0));
		send_report(dispatch, 1, 1, NULL, 0, 1);
		send_report(dispatch, 1, 2, NULL, 0, 2);
		if (cases[i].reports_before_add)
			dispatch_add(
				dispatch,
				new_assigned_workflow(cases[i].worker_start_ms),
				at(3));
		dispatch_assign(dispatch, at(4));
		save_workflows(dispatch);
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
 * Guards against freeing a run on the word of a restart alone: a start that was
 * on its way may be carried out by the next worker under the same id, until its
 * lists were read under the new fence.
 */
static void test_late_start_at_restarted_worker(void **state)
{
	static const struct {
		const char *worker; /* that reports next */
		int is_listed;
		int is_kept_at_once, is_kept;
	} cases[] = {
		{ "w1", 1, 1, 1 },
		{ "w1", 0, 1, 0 },
		{ "w9", 0, 0, 0 },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct dispatch *dispatch = dispatch_start();
		struct worker *worker = only_worker(dispatch);
		struct run_status run = { .run = 1, .phase = RUN_ACTIVE };
		struct msg_work_report msg = { .epoch = EPOCH,
					       .seq = 3,
					       .session = 1,
					       .worker_start_ms = 9,
					       .state = WORKER_READY,
					       .service = "s" };

		dispatch_add(dispatch, new_assigned_workflow(5), at(0));
		run.task = list_entry(worker->runs.next, struct run, node)->id;
		send_report(dispatch, 1, 1, NULL, 0, 1);
		send_report(dispatch, 1, 2, &run, 1, 2);
		str_copy(msg.worker, cases[i].worker, sizeof(msg.worker));
		assert_int_equal(dispatch_report(dispatch, "r1", &msg, at(3)),
				 0);
		assert_int_equal(worker->run_count, cases[i].is_kept_at_once);
		msg.seq++;
		msg.fence = worker->fence;
		msg.runs.items = &run;
		msg.runs.count = (size_t)cases[i].is_listed;
		assert_int_equal(dispatch_report(dispatch, "r1", &msg, at(4)),
				 0);
		assert_int_equal(worker->run_count, cases[i].is_kept);
		dispatch_delete(dispatch);
	}
}

/*
 * Guards against holding back best-effort work whose interference is too small
 * to be measured, and against adding pressure to a serving run that misses its
 * latency target.
 */
static void test_best_effort_beside_serving(void **state)
{
	static const struct {
		uint32_t cpu_milli, latency_ms;
		int assigned_count;
	} cases[] = {
		{ 1000, 100, 1 }, /* adds less pressure than can be measured */
		{ 3000, 100, 0 },
		{ 3000, 10, 1 },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct dispatch *dispatch = dispatch_start();
		struct workflow *serving_job =
			new_workflow("serving", 1, 0, 100);
		struct workflow *best_effort_job =
			new_workflow("best-effort", 1, 0, 100);
		struct run_status status = {
			{ "serving", 0, 0, 0 }, 1, RUN_ACTIVE, 100
		};
		struct msg_work_orders orders;
		uint64_t seq = 2;
		int64_t ms;

		serving_job->spec.steps[0].latency_target_ms = 50;
		serving_job->spec.steps[0].long_running = 1;
		serving_job->spec.steps[0].image = xstrdup("s");
		best_effort_job->spec.steps[0].need.cpu_milli =
			cases[i].cpu_milli;
		best_effort_job->spec.steps[0].best_effort = 1;
		best_effort_job->spec.steps[0].image = xstrdup("f");
		status.latency_or_cpu = cases[i].latency_ms;
		dispatch_add(dispatch, serving_job, at(0));
		send_report(dispatch, 1, 1, NULL, 0, 1);
		send_report(dispatch, 1, 2, NULL, 0, 2);
		dispatch_assign(dispatch, at(3));
		save_workflows(dispatch);
		dispatch_build_orders(dispatch, only_worker(dispatch), 1,
				      &orders, at(4));
		for (ms = 100; ms <= 2100; ms += 500)
			send_report(dispatch, 1, ++seq, &status, 1, ms);
		dispatch_add(dispatch, best_effort_job, at(2110));
		assert_int_equal(dispatch_assign(dispatch, at(2120)),
				 cases[i].assigned_count);
		dispatch_delete(dispatch);
	}
}

/*
 * Guards against removing a final workflow before its final state is stored,
 * or before final_retention_ms have passed since its end.
 */
static void test_final_retention(void **state)
{
	int64_t retention_ms = dispatch_defaults.final_retention_ms;
	struct dispatch *dispatch = dispatch_start();

	dispatch_add(dispatch, new_workflow("j1", 1, 0, 100), at(0));
	dispatch_add(dispatch, new_workflow("j2", 1, 0, 100), at(0));
	dispatch_cancel(dispatch, "j1", at(10));
	dispatch_cancel(dispatch, "j2", at(20));
	assert_null(
		dispatch_next_removable(dispatch, NULL, at(retention_ms + 10)));
	save_workflows(dispatch);
	assert_null(dispatch_next_removable(dispatch, NULL, at(retention_ms)));
	assert_string_equal(
		dispatch_next_removable(dispatch, NULL, at(retention_ms + 10)),
		"j1");
	assert_null(
		dispatch_next_removable(dispatch, "j1", at(retention_ms + 10)));
	/* Known, but without its tasks. */
	assert_true(dispatch_knows(dispatch, "j1"));
	assert_null(dispatch_find_workflow(dispatch, "j1"));
	assert_int_equal(dispatch_cancel(dispatch, "j1", at(retention_ms + 10)),
			 0);
	assert_int_equal(dispatch_add(dispatch, new_workflow("j1", 1, 0, 100),
				      at(retention_ms + 10)),
			 ERR_EXISTS);
	dispatch_remove(dispatch, "j1");
	assert_false(dispatch_knows(dispatch, "j1"));
	assert_true(dispatch_knows(dispatch, "j2"));
	dispatch_delete(dispatch);
}

/*
 * Guards against late starts of a former process of the runner: after a restart
 * the worker must refuse them, as the new process does not know of them and may
 * report the same run as refused. A restarted runner may report before the
 * worker announces itself to it.
 */
static void test_fence_after_runner_restart(void **state)
{
	static const struct {
		int reports_first; /* without a worker */
	} cases[] = { { 0 }, { 1 }, { 3 } };
	size_t i;
	int k;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct dispatch *dispatch = dispatch_start();
		struct worker *worker = only_worker(dispatch);
		struct msg_work_orders orders;
		uint64_t former, seq = 0;

		dispatch_add(dispatch, new_workflow("j1", 1, 0, 100), at(0));
		send_report(dispatch, 1, 1, NULL, 0, 1);
		send_report(dispatch, 1, 2, NULL, 0, 2);
		assert_int_equal(dispatch_assign(dispatch, at(3)), 1);
		save_workflows(dispatch);
		assert_true(dispatch_build_orders(dispatch, worker, 1, &orders,
						  at(4)));
		assert_int_equal(orders.starts.count, 1);
		former = orders.fence;
		for (k = 0; k < cases[i].reports_first; k++) {
			struct msg_work_report msg = { .epoch = EPOCH,
						       .seq = ++seq,
						       .session = 2,
						       .state = WORKER_ABSENT };

			assert_int_equal(
				dispatch_report(dispatch, "r1", &msg, at(1000)),
				0);
		}
		/* The worker's lists have not been read yet. */
		send_fenced_report(dispatch, 2, ++seq, 0, NULL, 0, 2000);
		assert_true(dispatch_build_orders(dispatch, worker, 1, &orders,
						  at(2001)));
		assert_true(orders.fence > former);
		assert_int_equal(orders.starts.count, 0);
		send_report(dispatch, 2, ++seq, NULL, 0, 2010);
		assert_true(dispatch_build_orders(dispatch, worker, 1, &orders,
						  at(2011)));
		assert_int_equal(orders.starts.count, 1);
		dispatch_delete(dispatch);
	}
}

enum start_evidence {
	NO_REPORT,
	REPORTED_RUN,
	LISTED_END
};

/* Reports what the worker says about run 1 of the only task of j1. */
static void report_run(struct dispatch *dispatch, enum start_evidence evidence,
		       int value, int64_t ms)
{
	struct run_status status = { .task = { "j1", 0, 0, 0 }, .run = 1 };
	struct ended_run end = { .number = 1,
				 .task = { "j1", 0, 0, 0 },
				 .run = 1 };
	struct worker *worker = only_worker(dispatch);
	struct msg_work_report msg = { .epoch = EPOCH,
				       .seq = worker->report_seq + 1,
				       .session = 1,
				       .worker = "w1",
				       .worker_start_ms = 5,
				       .state = WORKER_READY,
				       .service = "s",
				       .capacity = { .cpu_milli = 4000 },
				       .fence = worker->fence };

	status.phase = (uint32_t)value;
	end.how = (uint32_t)value;
	msg.runs.items = &status;
	msg.runs.count = evidence == REPORTED_RUN;
	msg.ends.items = &end;
	msg.ends.count = evidence == LISTED_END;
	assert_int_equal(dispatch_report(dispatch, "r1", &msg, at(ms)), 0);
}

/* Whether the next scheduler takes j1 for started, too. */
static int stored_started(struct dispatch *dispatch)
{
	struct workflow *workflow = new_workflow("j1", 1, 0, 100);
	char *json = workflow_encode(dispatch_find_workflow(dispatch, "j1"));
	int started;

	assert_int_equal(workflow_decode(workflow, json, strlen(json)), 0);
	started = workflow->started;
	free(json);
	workflow_delete(workflow);
	return started;
}

/*
 * Guards against taking an assignment for a start: a workflow whose worker was
 * lost before it began a task was not counted as pending. What a worker has
 * begun stays begun when the run is lost later.
 */
static void test_started_by_worker(void **state)
{
	static const struct {
		enum start_evidence evidence;
		int value;
		int given_up_before; /* the lease has expired by then */
		int is_started;
	} cases[] = {
		{ NO_REPORT, 0, 0, 0 },
		{ REPORTED_RUN, RUN_PENDING, 0, 0 },
		{ REPORTED_RUN, RUN_REFUSED, 0, 0 },
		{ REPORTED_RUN, RUN_GONE, 0, 0 },
		{ REPORTED_RUN, RUN_ACTIVE, 0, 1 },
		{ REPORTED_RUN, RUN_ACTIVE, 1, 1 },
		{ LISTED_END, RUN_END_FAILED, 0, 1 },
		{ LISTED_END, RUN_END_STOPPED, 0, 1 },
		{ LISTED_END, RUN_END_LEASE_EXPIRED, 1, 1 },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct dispatch *dispatch = dispatch_start();
		struct workflow *workflow = new_workflow("j1", 1, 0, 100);
		struct msg_work_orders orders;
		int64_t ms = cases[i].given_up_before ? 20000 : 5;

		dispatch_add(dispatch, workflow, at(0));
		send_report(dispatch, 1, 1, NULL, 0, 1);
		send_report(dispatch, 1, 2, NULL, 0, 2);
		assert_int_equal(dispatch_assign(dispatch, at(3)), 1);
		save_workflows(dispatch);
		assert_true(dispatch_build_orders(
			dispatch, only_worker(dispatch), 1, &orders, at(4)));
		assert_int_equal(orders.starts.count, 1);
		if (cases[i].given_up_before)
			dispatch_expire(dispatch, at(ms));
		save_workflows(dispatch);
		if (cases[i].evidence != NO_REPORT)
			report_run(dispatch, cases[i].evidence, cases[i].value,
				   ms);
		assert_int_equal(workflow->started, cases[i].is_started);
		if (cases[i].is_started)
			assert_ptr_equal(
				dispatch_next_unsaved(dispatch, at(1000000)),
				workflow);
		dispatch_expire(dispatch, at(40000));
		assert_int_equal(only_worker(dispatch)->run_count, 0);
		assert_int_equal(workflow->started, cases[i].is_started);
		assert_int_equal(stored_started(dispatch), cases[i].is_started);
		dispatch_delete(dispatch);
	}
}

/*
 * Guards against a checkpoint that no JSON can hold and that leaves the run out
 * of the stored state: the next scheduler would start the task a second time.
 */
static void test_checkpoint_not_text(void **state)
{
	static const struct {
		const char *checkpoint, *stored;
	} cases[] = { { "c1", "c1" },
		      { "c\xff", NULL },
		      { "\xed\xa0\x80", NULL } };
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct dispatch *dispatch = dispatch_start();
		struct workflow *workflow = new_workflow("j1", 1, 0, 100),
				*decoded = new_workflow("j1", 1, 0, 100);
		struct run_status status = { { "j1", 0, 0, 0 }, 1, RUN_ACTIVE };
		const char *checkpoint;
		char *json;

		status.checkpoint = cases[i].checkpoint;
		dispatch_add(dispatch, workflow, at(0));
		send_report(dispatch, 1, 1, NULL, 0, 1);
		send_report(dispatch, 1, 2, NULL, 0, 2);
		assert_int_equal(dispatch_assign(dispatch, at(3)), 1);
		save_workflows(dispatch);
		send_report(dispatch, 1, 3, &status, 1, 4);
		json = workflow_encode(workflow);
		assert_int_equal(workflow_decode(decoded, json, strlen(json)),
				 0);
		assert_int_equal(phase_of(decoded, 0, 0, 0), TASK_ASSIGNED);
		assert_int_equal(begin_task(decoded, 0, 0, 0)->last_run, 1);
		checkpoint = begin_task(decoded, 0, 0, 0)->checkpoint;
		assert_int_equal(!checkpoint, !cases[i].stored);
		if (checkpoint)
			assert_string_equal(checkpoint, cases[i].stored);
		free(json);
		workflow_delete(decoded);
		dispatch_delete(dispatch);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_checkpoint_not_text),
		cmocka_unit_test(test_session_restart),
		cmocka_unit_test(test_fence_after_runner_restart),
		cmocka_unit_test(test_start_after_save),
		cmocka_unit_test(test_scheduler_lease),
		cmocka_unit_test(test_urgency_order),
		cmocka_unit_test(test_orders_fit_into_messages),
		cmocka_unit_test(test_stuck_run),
		cmocka_unit_test(test_assigned_to_replaced_worker),
		cmocka_unit_test(test_late_start_at_restarted_worker),
		cmocka_unit_test(test_best_effort_beside_serving),
		cmocka_unit_test(test_final_retention),
		cmocka_unit_test(test_started_by_worker),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
