#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "gate.h"
#include "rng.h"

#define NOW mstime_from(1000)
#define LATER mstime_from(2000)

static const struct gate_limits small_limits = { 2, 3, 1, { 1000, 100, 1 } };

static enum gate_stage admit(struct gate *gate, struct gate_request *r,
			     enum refusal *reason)
{
	return gate_admit(gate, r, LATER, NOW, reason);
}

/*
 * Guards against more running requests than the worker has slots, and against a
 * new request that overtakes the queue when a slot is released.
 */
static void test_slots_and_queue(void **state)
{
	struct gate gate;
	struct gate_request r[4] = { 0 };
	enum refusal reason = REFUSAL_COUNT;

	gate_init(&gate, &small_limits);
	assert_int_equal(admit(&gate, &r[0], &reason), GATE_RUNNING);
	assert_int_equal(admit(&gate, &r[1], &reason), GATE_RUNNING);
	assert_int_equal(admit(&gate, &r[2], &reason), GATE_WAITING);
	assert_int_equal(admit(&gate, &r[3], &reason), GATE_NOT_ADMITTED);
	assert_int_equal(reason, REFUSAL_FULL);
	assert_null(gate_dequeue(&gate, NOW, &reason));
	gate_release(&gate, &r[0]);
	/* The free slot is due to the queued request, not to a new one. */
	assert_int_equal(admit(&gate, &r[3], &reason), GATE_NOT_ADMITTED);
	assert_ptr_equal(gate_dequeue(&gate, NOW, &reason), &r[2]);
	assert_int_equal(r[2].stage, GATE_RUNNING);
	gate_release(&gate, &r[2]);
	gate_release(&gate, &r[2]);
	assert_int_equal(gate.slots_used, 1);
	assert_int_equal(gate.connections_used, 1);
}

/*
 * Guards against a stream that keeps its slot after the response head, and
 * against one that is not counted as a connection.
 */
static void test_streams(void **state)
{
	struct gate gate;
	struct gate_request r[4] = { 0 };
	enum refusal reason;
	int i;

	gate_init(&gate, &small_limits);
	for (i = 0; i < 3; i++) {
		assert_int_equal(admit(&gate, &r[i], &reason), GATE_RUNNING);
		gate_release_slot(&gate, &r[i]);
		gate_release_slot(&gate, &r[i]);
	}
	assert_int_equal(gate.slots_used, 0);
	assert_int_equal(admit(&gate, &r[3], &reason), GATE_WAITING);
	gate_release(&gate, &r[1]);
	assert_ptr_equal(gate_dequeue(&gate, NOW, &reason), &r[3]);
}

/*
 * Guards against a queued request that starts after its deadline, or after the
 * gate was closed.
 */
static void test_deadline_and_close(void **state)
{
	struct gate gate;
	struct gate_request r[4] = { 0 };
	enum refusal reason;
	struct mstime deadline;

	gate_init(&gate, &small_limits);
	assert_int_equal(gate_admit(&gate, &r[0], NOW, NOW, &reason),
			 GATE_NOT_ADMITTED);
	assert_int_equal(reason, REFUSAL_DEADLINE);
	admit(&gate, &r[0], &reason);
	admit(&gate, &r[1], &reason);
	assert_false(gate_next_deadline(&gate, &deadline));
	admit(&gate, &r[2], &reason);
	assert_true(gate_next_deadline(&gate, &deadline));
	assert_int_equal(deadline.ms, LATER.ms);
	gate_release(&gate, &r[0]);
	assert_ptr_equal(gate_dequeue(&gate, LATER, &reason), &r[2]);
	assert_int_equal(r[2].stage, GATE_NOT_ADMITTED);
	assert_int_equal(reason, REFUSAL_DEADLINE);
	admit(&gate, &r[0], &reason);
	admit(&gate, &r[2], &reason);
	gate_close(&gate, REFUSAL_LEAVING);
	assert_ptr_equal(gate_dequeue(&gate, NOW, &reason), &r[2]);
	assert_int_equal(reason, REFUSAL_LEAVING);
	assert_int_equal(admit(&gate, &r[3], &reason), GATE_NOT_ADMITTED);
	gate_open(&gate);
	gate_release(&gate, &r[0]);
	assert_int_equal(admit(&gate, &r[3], &reason), GATE_RUNNING);
}

/*
 * Guards against a task that is admitted although it does not fit, because of
 * what it declares or because a running task uses more than it declared.
 */
static void test_task_resources(void **state)
{
	static const struct {
		const char *name;
		struct resources declared, observed, second;
		int err;
	} cases[] = {
		{ "fits", { 500, 50, 0 }, { 0, 0, 0 }, { 500, 50, 1 }, 0 },
		{ "CPU", { 500, 50, 0 }, { 0, 0, 0 }, { 501, 1, 0 }, ERR_FULL },
		{ "memory",
		  { 500, 50, 0 },
		  { 0, 0, 0 },
		  { 1, 51, 0 },
		  ERR_FULL },
		{ "accelerators",
		  { 1, 1, 1 },
		  { 0, 0, 0 },
		  { 1, 1, 1 },
		  ERR_FULL },
		{ "uses more",
		  { 1, 1, 0 },
		  { 1, 99, 0 },
		  { 1, 2, 0 },
		  ERR_FULL },
		{ "uses less",
		  { 1, 60, 0 },
		  { 1, 2, 0 },
		  { 1, 50, 0 },
		  ERR_FULL },
		{ "over capacity",
		  { 1, 1, 0 },
		  { 1, 200, 0 },
		  { 0, 0, 0 },
		  ERR_FULL },
		{ "too large",
		  { 0, 0, 0 },
		  { 0, 0, 0 },
		  { 1, 101, 0 },
		  ERR_TOO_LARGE },
		{ "sum wraps",
		  { 1, 1, 0 },
		  { UINT32_MAX, 1, 0 },
		  { 2, 1, 0 },
		  ERR_FULL },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct gate_task a = { 0 }, b = { 0 };
		struct gate gate;
		int err;

		gate_init(&gate, &small_limits);
		assert_int_equal(
			gate_task_reserve(&gate, &a, &cases[i].declared), 0);
		gate_task_observe(&gate, &a, &cases[i].observed);
		err = gate_task_reserve(&gate, &b, &cases[i].second);
		if (err != cases[i].err)
			fail_msg("%s: got %s", cases[i].name, error_name(err));
		gate_task_release(&gate, &a);
		gate_task_release(&gate, &a);
		gate_task_release(&gate, &b);
		assert_int_equal(gate_reserved(&gate).mem_mb, 0);
	}
}

/*
 * Guards against a reservation that shrinks while a task uses less than before:
 * the task may grow again when its resources have been given away.
 */
static void test_usage_decrease(void **state)
{
	const struct resources declared = { 100, 10, 0 };
	const struct resources high = { 700, 20, 0 }, low = { 50, 80, 0 };
	const struct resources rest = { 300, 20, 0 }, more = { 301, 20, 0 };
	struct gate_task a = { 0 }, b = { 0 };
	struct gate gate;

	(void)state;
	gate_init(&gate, &small_limits);
	assert_int_equal(gate_task_reserve(&gate, &a, &declared), 0);
	gate_task_observe(&gate, &a, &high);
	gate_task_observe(&gate, &a, &low);
	assert_int_equal(gate_reserved(&gate).cpu_milli, 700);
	assert_int_equal(gate_reserved(&gate).mem_mb, 80);
	assert_int_equal(gate_task_reserve(&gate, &b, &more), ERR_FULL);
	assert_int_equal(gate_task_reserve(&gate, &b, &rest), 0);
	gate_task_release(&gate, &a);
	gate_task_release(&gate, &b);
}

/*
 * Guards against a pending reservation that raises the reserved sum above the
 * capacity, and against a task that is admitted to resources for which a
 * pending reservation waits.
 */
static void test_pending_reservations(void **state)
{
	static const struct {
		const char *name;
		int stopping; /* of two tasks of 40 MB */
		struct resources pending, other;
		int err_pending, err_other;
	} cases[] = {
		{ "nothing stops", 0, { 1, 30, 0 }, { 1, 1, 0 }, ERR_FULL, 0 },
		{ "free room", 0, { 1, 20, 0 }, { 1, 1, 0 }, 0, ERR_FULL },
		{ "one stops", 1, { 1, 60, 0 }, { 1, 1, 0 }, 0, ERR_FULL },
		{ "one is not enough",
		  1,
		  { 1, 61, 0 },
		  { 1, 20, 0 },
		  ERR_FULL,
		  0 },
		{ "remainder fits", 2, { 1, 90, 0 }, { 1, 10, 0 }, 0, 0 },
		{ "remainder is too small",
		  2,
		  { 1, 90, 0 },
		  { 1, 11, 0 },
		  0,
		  ERR_FULL },
		{ "too large",
		  2,
		  { 1, 101, 0 },
		  { 1, 1, 0 },
		  ERR_TOO_LARGE,
		  0 },
	};
	const struct resources need = { 1, 40, 0 };
	size_t i;
	int n;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct gate_task running[2] = { 0 }, pending = { 0 };
		struct gate_task other = { 0 };
		struct gate gate;

		gate_init(&gate, &small_limits);
		for (n = 0; n < 2; n++)
			assert_int_equal(
				gate_task_reserve(&gate, &running[n], &need),
				0);
		for (n = 0; n < cases[i].stopping; n++)
			gate_task_stopping(&gate, &running[n]);
		if (gate_task_reserve_pending(&gate, &pending,
					      &cases[i].pending) !=
			    cases[i].err_pending ||
		    gate_task_reserve(&gate, &other, &cases[i].other) !=
			    cases[i].err_other)
			fail_msg("%s", cases[i].name);
		assert_false(gate_overcommitted(&gate));
		if (cases[i].err_pending)
			continue;
		for (n = 0; n < cases[i].stopping; n++) {
			if (cases[i].pending.mem_mb > 20u + 40u * (uint32_t)n)
				assert_int_equal(gate_task_commit_pending(
							 &gate, &pending),
						 ERR_FULL);
			gate_task_release(&gate, &running[n]);
		}
		assert_int_equal(gate_task_commit_pending(&gate, &pending), 0);
		assert_false(gate_overcommitted(&gate));
	}
}

#define REQUESTS 24
#define TASKS 12

static void check_counters(struct gate *gate, const struct gate_request *r)
{
	uint32_t slots = 0, connections = 0, queued = 0;
	struct load load;
	int i;

	for (i = 0; i < REQUESTS; i++) {
		slots += r[i].stage == GATE_RUNNING;
		queued += r[i].stage == GATE_WAITING;
		connections += r[i].stage >= GATE_RUNNING;
	}
	assert_int_equal(slots, gate->slots_used);
	assert_int_equal(connections, gate->connections_used);
	assert_int_equal(queued, gate->queued);
	assert_true(slots <= gate->limits.slots);
	assert_true(connections <= gate->limits.connections);
	assert_true(queued <= gate->limits.queue);
	assert_false(gate_overcommitted(gate));
	gate_fill_load(gate, &load);
	assert_true(load.used.cpu_milli <= gate->limits.capacity.cpu_milli);
	assert_true(load.used.mem_mb <= gate->limits.capacity.mem_mb);
	assert_true(load.used.accel <= gate->limits.capacity.accel);
}

/*
 * Guards against sums above the limits, and against counters that differ from
 * what the requests hold, for random orders of calls.
 */
static void test_random_calls(void **state)
{
	struct gate_limits limits = { 4, 8, 5, { 4000, 400, 2 } };
	struct gate_request r[REQUESTS] = { 0 };
	struct gate_task t[TASKS] = { 0 };
	struct gate gate;
	struct rng rng;
	int round;

	rng_seed(&rng, 7);
	gate_init(&gate, &limits);
	for (round = 0; round < 200000; round++) {
		struct mstime now = mstime_from(round);
		struct gate_request *request = &r[rng_below(&rng, REQUESTS)];
		struct gate_task *task = &t[rng_below(&rng, TASKS)];
		struct resources need = { rng_below(&rng, 2500),
					  rng_below(&rng, 250),
					  rng_below(&rng, 2) };
		enum refusal reason;

		switch (rng_below(&rng, 10)) {
		case 0:
		case 1:
			gate_admit(&gate, request,
				   mstime_add(now, rng_below(&rng, 30) - 2),
				   now, &reason);
			break;
		case 2:
			gate_release_slot(&gate, request);
			break;
		case 3:
			gate_release(&gate, request);
			break;
		case 4:
			while (gate_dequeue(&gate, now, &reason))
				continue;
			break;
		case 5:
			gate_task_reserve(&gate, task, &need);
			break;
		case 6:
			gate_task_reserve_pending(&gate, task, &need);
			break;
		case 7:
			gate_task_commit_pending(&gate, task);
			break;
		case 8:
			gate_task_stopping(&gate, task);
			break;
		default:
			gate_task_release(&gate, task);
		}
		check_counters(&gate, r);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_slots_and_queue),
		cmocka_unit_test(test_streams),
		cmocka_unit_test(test_deadline_and_close),
		cmocka_unit_test(test_task_resources),
		cmocka_unit_test(test_usage_decrease),
		cmocka_unit_test(test_pending_reservations),
		cmocka_unit_test(test_random_calls),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
