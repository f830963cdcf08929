#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "interference.h"
#include "rng.h"

#define TASKS 4

struct fixture {
	struct interference in;
	struct interference_sample sample;
	struct interference_task tasks[TASKS];
	struct interference_task *list[TASKS];
	struct mstime now;
	int evictions;
	enum interference_reason reason; /* of the last eviction */
	int evicted_task;
};

static void setup(struct fixture *fixture)
{
	static const char *const commands[TASKS] = { "sort x", "sort y", "join",
						     "train" };
	size_t i;

	memset(fixture, 0, sizeof(*fixture));
	interference_init(&fixture->in);
	fixture->now = mstime_from(1000);
	fixture->sample.capacity.cpu_milli = 4000;
	fixture->sample.capacity.mem_mb = 1000;
	fixture->sample.weight_latency = 50;
	fixture->sample.weight_eviction = 50;
	fixture->sample.latency_us = 20000;
	fixture->sample.requests = 200;
	fixture->sample.in_progress = 4;
	for (i = 0; i < TASKS; i++) {
		struct interference_task *task = &fixture->tasks[i];

		task->class_key = interference_class_key(commands[i]);
		task->declared.cpu_milli = 800;
		task->declared.mem_mb = 200;
		task->used = task->declared;
		fixture->list[i] = task;
	}
}

static void tick(struct fixture *fixture)
{
	int i;

	interference_tick(&fixture->in, &fixture->sample, fixture->list, TASKS,
			  fixture->now);
	fixture->now = mstime_add(fixture->now, 1000);
	for (i = 0; i < TASKS; i++) {
		if (!fixture->tasks[i].must_evict)
			continue;
		fixture->evictions++;
		fixture->reason = fixture->tasks[i].reason;
		fixture->evicted_task = i;
		fixture->tasks[i].is_running = 0;
		fixture->tasks[i].must_evict = 0;
	}
}

static void ticks(struct fixture *fixture, int count)
{
	while (count--)
		tick(fixture);
}

static void set_running(struct fixture *fixture, int running)
{
	int i;

	for (i = 0; i < TASKS; i++)
		fixture->tasks[i].is_running = running;
}

/*
 * Sets the latency of the service: 20 ms, plus for each running task its
 * slowdown times 20 ms, in proportion to its level.
 */
static void set_latency(struct fixture *fixture, const double *slowdown)
{
	int i;

	fixture->sample.latency_us = 20000;
	for (i = 0; i < TASKS; i++)
		if (fixture->tasks[i].is_running)
			fixture->sample.latency_us +=
				20000 * slowdown[i] *
				fixture->tasks[i].level_percent / 100;
}

/* Guards against throttling or evicting tasks that cause no excess. */
static void test_harmless_tasks(void **state)
{
	static const struct {
		double latency_us;
		uint32_t requests;
		int ticks;
	} cases[] = {
		{ 20000, 200, 120 }, /* equal to the baseline */
		{ 22000, 200, 120 }, /* within the tolerance */
		{ 60000, 1, 1 },     /* one request is too few */
		{ 0, 0, 120 },	     /* no requests at all */
	};
	size_t i, j;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fixture fixture;

		setup(&fixture);
		ticks(&fixture, 30);
		set_running(&fixture, 1);
		fixture.sample.latency_us = cases[i].latency_us;
		fixture.sample.requests = cases[i].requests;
		ticks(&fixture, cases[i].ticks);
		for (j = 0; j < TASKS; j++)
			assert_int_equal(fixture.tasks[j].level_percent, 100);
		assert_int_equal(fixture.evictions, 0);
	}
}

/* Guards against throttling too late, or throttling the wrong class. */
static void test_throttles_blamed_class(void **state)
{
	static const double slowdown[TASKS] = { 0, 0, 0.8, 0 };
	struct fixture fixture;
	int i;

	setup(&fixture);
	ticks(&fixture, 30);
	set_running(&fixture, 1);
	tick(&fixture);
	set_latency(&fixture, slowdown);
	ticks(&fixture, 2);
	assert_true(fixture.tasks[2].level_percent <= 50);
	for (i = 0; i < 180; i++) {
		set_latency(&fixture, slowdown);
		tick(&fixture);
	}
	assert_true(interference_blame(&fixture.in,
				       fixture.tasks[2].class_key) > 0);
	assert_true(fixture.tasks[2].level_percent < 50);
	assert_true(fixture.tasks[0].level_percent > 90);
	assert_true(fixture.tasks[3].level_percent > 90);
	assert_int_equal(fixture.evictions, 0);
}

/*
 * Guards against a missing or late eviction of the task to blame, and against
 * evicting another or a protected one.
 */
static void test_evicts_at_floor(void **state)
{
	static const double slowdown[TASKS] = { 0, 0, 6, 0 };
	static const struct {
		int64_t weight_latency, weight_eviction;
		int is_protected;
		int min_s, max_s; /* 0: never */
	} cases[] = {
		{ 100, 0, 0, 10, 60 },
		{ 50, 50, 0, 50, 120 },
		{ 50, 50, 1, 0, 0 },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fixture fixture;
		int s;

		setup(&fixture);
		fixture.sample.weight_latency = cases[i].weight_latency;
		fixture.sample.weight_eviction = cases[i].weight_eviction;
		ticks(&fixture, 30);
		set_running(&fixture, 1);
		fixture.tasks[2].is_protected = cases[i].is_protected;
		for (s = 0; s < 200 && !fixture.evictions; s++) {
			tick(&fixture);
			set_latency(&fixture, slowdown);
		}
		if (!cases[i].max_s) {
			assert_int_equal(fixture.evictions, 0);
			continue;
		}
		assert_int_equal(fixture.evicted_task, 2);
		assert_int_equal(fixture.reason, INTERFERENCE_LATENCY);
		assert_in_range(s, cases[i].min_s, cases[i].max_s);
	}
}

/*
 * Guards against taking the excess for the service's own because the class was
 * at the floor before a whole tick had shown its effect. Each case is the share
 * of the first tick in which the only class has run.
 */
static void test_evicts_after_part_of_tick(void **state)
{
	static const double slowdown[TASKS] = { 0, 0, 0, 10 };
	static const double parts[] = { 0, 0.05, 0.1, 0.2, 0.3, 0.5, 1 };
	size_t i;

	for (i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
		struct fixture fixture;
		int s;

		setup(&fixture);
		fixture.sample.weight_latency = 100;
		fixture.sample.weight_eviction = 0;
		fixture.sample.requests = 100;
		ticks(&fixture, 5);
		fixture.tasks[3].is_running = 1;
		fixture.sample.latency_us += 20000 * slowdown[3] * parts[i];
		for (s = 0; s < 40 && !fixture.evictions; s++) {
			tick(&fixture);
			set_latency(&fixture, slowdown);
		}
		assert_int_equal(fixture.evictions, 1);
		/* 10 s at the floor; one probe at most. */
		assert_in_range(s, 10, 25);
	}
}

/*
 * Guards against a baseline from one tick in which the service has stalled:
 * tasks were compared with it whenever as many requests were in progress.
 */
static void test_evicts_after_stall(void **state)
{
	static const double slowdown[TASKS] = { 0, 0, 0, 10 };
	static const struct {
		double latency_us;
		uint32_t in_progress;
	} stalls[] = {
		{ 30000, 8 },  { 30000, 32 }, { 60000, 8 },  { 60000, 16 },
		{ 60000, 32 }, { 90000, 16 }, { 90000, 32 }, { 200000, 16 },
	};
	size_t i;

	for (i = 0; i < sizeof(stalls) / sizeof(stalls[0]); i++) {
		struct fixture fixture;
		int s;

		setup(&fixture);
		fixture.sample.weight_latency = 100;
		fixture.sample.weight_eviction = 0;
		ticks(&fixture, 4);
		fixture.sample.latency_us = stalls[i].latency_us;
		fixture.sample.in_progress = stalls[i].in_progress;
		tick(&fixture);
		fixture.tasks[3].is_running = 1;
		fixture.tasks[3].level_percent = 100;
		for (s = 0; s < 40 && !fixture.evictions; s++) {
			set_latency(&fixture, slowdown);
			/* 100 requests a second. */
			fixture.sample.in_progress =
				(uint32_t)(fixture.sample.latency_us / 10000);
			tick(&fixture);
		}
		assert_int_equal(fixture.evictions, 1);
		assert_in_range(s, 10, 25);
	}
}

/* Guards against evictions for an excess that the service itself causes. */
static void test_slow_service(void **state)
{
	struct fixture fixture;

	setup(&fixture);
	ticks(&fixture, 30);
	set_running(&fixture, 1);
	ticks(&fixture, 30);
	fixture.sample.latency_us = 40000;
	ticks(&fixture, 1200);
	assert_int_equal(fixture.evictions, 0);
	/* The baseline rises to the new latency, so the levels are restored. */
	assert_true(fixture.tasks[0].level_percent > 50);
}

/* The same if the service turns slow when the only class starts. */
static void test_slow_service_from_start(void **state)
{
	static const double parts[] = { 0.05, 0.1, 0.3, 1 };
	size_t i;

	for (i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
		struct fixture fixture;

		setup(&fixture);
		ticks(&fixture, 30);
		fixture.tasks[3].is_running = 1;
		fixture.sample.latency_us = 20000 + 20000 * parts[i];
		tick(&fixture);
		fixture.sample.latency_us = 40000;
		ticks(&fixture, 1200);
		assert_int_equal(fixture.evictions, 0);
		assert_true(fixture.tasks[3].level_percent > 50);
	}
}

/* Guards against using more CPU or memory than the capacity of the VM. */
static void test_over_capacity(void **state)
{
	struct fixture fixture;

	setup(&fixture);
	set_running(&fixture, 1);
	ticks(&fixture, 3);
	fixture.tasks[1].used.cpu_milli = 3000;
	tick(&fixture);
	assert_int_equal(fixture.tasks[1].level_percent, 26);
	assert_int_equal(fixture.tasks[0].level_percent, 100);
	fixture.tasks[1].used.cpu_milli = 800;
	ticks(&fixture, 20);
	assert_in_range(fixture.tasks[1].level_percent, 27, 40);
	assert_int_equal(fixture.evictions, 0);
	fixture.tasks[3].used.mem_mb = 500;
	tick(&fixture);
	assert_int_equal(fixture.tasks[3].level_percent,
			 INTERFERENCE_FLOOR_PERCENT);
	assert_int_equal(fixture.evictions, 0);
	ticks(&fixture, 30);
	assert_int_equal(fixture.evictions, 1);
	assert_int_equal(fixture.evicted_task, 3);
	assert_int_equal(fixture.reason, INTERFERENCE_MEMORY);
}

/*
 * Guards against levels out of range, against a level that is cut and raised
 * within the lag of the measurements, against two evictions in one tick, and
 * against evictions while the excess is within the tolerance, on random input.
 */
static void test_random_input(void **state)
{
	uint64_t seed;

	for (seed = 1; seed <= 20; seed++) {
		double slowdown[TASKS] = { 0 };
		struct mstime cut_at[TASKS] = { { -100000 } };
		uint32_t previous_percent[TASKS] = { 100, 100, 100, 100 };
		struct rng rng;
		struct fixture fixture;
		int s, i;

		rng_seed(&rng, seed);
		setup(&fixture);
		for (i = 0; i < TASKS; i++)
			cut_at[i] = mstime_from(-100000);
		for (s = 0; s < 2000; s++) {
			int evictions = fixture.evictions, toggled = -1;

			i = (int)rng_below(&rng, TASKS);
			if (!rng_below(&rng, 50)) {
				fixture.tasks[i].is_running ^= 1;
				toggled = i;
				slowdown[i] = 2 * rng_unit(&rng);
			}
			set_latency(&fixture, slowdown);
			fixture.sample.latency_us *= 0.9 + 0.2 * rng_unit(&rng);
			fixture.sample.requests = rng_below(&rng, 300);
			fixture.sample.in_progress = rng_below(&rng, 9);
			tick(&fixture);
			assert_true(fixture.evictions <= evictions + 1);
			if (fixture.evictions > evictions)
				assert_true(fixture.in.excess >
						    fixture.in.tolerance ||
					    fixture.in.long_term_excess >
						    fixture.in.tolerance);
			for (i = 0; i < TASKS; i++) {
				uint32_t percent =
					fixture.tasks[i].level_percent;

				if (!percent)
					continue;
				assert_in_range(percent,
						INTERFERENCE_FLOOR_PERCENT,
						100);
				if (percent < previous_percent[i] &&
				    i != toggled)
					cut_at[i] = fixture.now;
				/* A new task takes the class level. */
				if (percent > previous_percent[i] &&
				    i != toggled)
					assert_true(mstime_diff(fixture.now,
								cut_at[i]) >=
						    INTERFERENCE_LAG_MS);
				previous_percent[i] = percent;
			}
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_harmless_tasks),
		cmocka_unit_test(test_throttles_blamed_class),
		cmocka_unit_test(test_evicts_at_floor),
		cmocka_unit_test(test_evicts_after_part_of_tick),
		cmocka_unit_test(test_evicts_after_stall),
		cmocka_unit_test(test_slow_service),
		cmocka_unit_test(test_slow_service_from_start),
		cmocka_unit_test(test_over_capacity),
		cmocka_unit_test(test_random_input),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
