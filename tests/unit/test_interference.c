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

struct rig {
	struct interference in;
	struct interference_sample sample;
	struct interference_task tasks[TASKS];
	struct interference_task *list[TASKS];
	struct mstime now;
	int evictions;
	enum interference_reason reason; /* of the last eviction */
	int victim;
};

static void setup(struct rig *rig)
{
	static const char *const commands[TASKS] = { "sort x", "sort y", "join",
						     "train" };
	size_t i;

	memset(rig, 0, sizeof(*rig));
	interference_init(&rig->in);
	rig->now = mstime_from(1000);
	rig->sample.capacity.cpu_milli = 4000;
	rig->sample.capacity.mem_mb = 1000;
	rig->sample.weight_latency = 50;
	rig->sample.weight_eviction = 50;
	rig->sample.latency_us = 20000;
	rig->sample.requests = 200;
	rig->sample.in_progress = 4;
	for (i = 0; i < TASKS; i++) {
		struct interference_task *task = &rig->tasks[i];

		task->class_key = interference_class_key(commands[i]);
		task->declared.cpu_milli = 800;
		task->declared.mem_mb = 200;
		task->used = task->declared;
		rig->list[i] = task;
	}
}

static void tick(struct rig *rig)
{
	int i;

	interference_tick(&rig->in, &rig->sample, rig->list, TASKS, rig->now);
	rig->now = mstime_add(rig->now, 1000);
	for (i = 0; i < TASKS; i++) {
		if (!rig->tasks[i].must_evict)
			continue;
		rig->evictions++;
		rig->reason = rig->tasks[i].reason;
		rig->victim = i;
		rig->tasks[i].is_running = 0;
		rig->tasks[i].must_evict = 0;
	}
}

static void ticks(struct rig *rig, int count)
{
	while (count--)
		tick(rig);
}

static void run_tasks(struct rig *rig, int running)
{
	int i;

	for (i = 0; i < TASKS; i++)
		rig->tasks[i].is_running = running;
}

/* The service's latency by the share of each task's full speed. */
static void slow_by(struct rig *rig, const double *slowdown)
{
	int i;

	rig->sample.latency_us = 20000;
	for (i = 0; i < TASKS; i++)
		if (rig->tasks[i].is_running)
			rig->sample.latency_us += 20000 * slowdown[i] *
						  rig->tasks[i].level_percent /
						  100;
}

/* Guards against a throttle, or an eviction, of tasks that do no harm. */
static void test_no_cause(void **state)
{
	static const struct {
		double latency_us;
		uint32_t requests;
		int ticks;
	} cases[] = {
		{ 20000, 200, 120 }, /* as before */
		{ 22000, 200, 120 }, /* within the tolerance */
		{ 60000, 1, 1 },     /* one request proves nothing */
		{ 0, 0, 120 },	     /* no requests at all */
	};
	size_t i, j;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct rig rig;

		setup(&rig);
		ticks(&rig, 30);
		run_tasks(&rig, 1);
		rig.sample.latency_us = cases[i].latency_us;
		rig.sample.requests = cases[i].requests;
		ticks(&rig, cases[i].ticks);
		for (j = 0; j < TASKS; j++)
			assert_int_equal(rig.tasks[j].level_percent, 100);
		assert_int_equal(rig.evictions, 0);
	}
}

/* Guards against a throttle that comes late, or goes to the wrong class. */
static void test_blame(void **state)
{
	static const double slowdown[TASKS] = { 0, 0, 0.8, 0 };
	struct rig rig;
	int i;

	setup(&rig);
	ticks(&rig, 30);
	run_tasks(&rig, 1);
	tick(&rig);
	slow_by(&rig, slowdown);
	ticks(&rig, 2);
	assert_true(rig.tasks[2].level_percent <= 50);
	for (i = 0; i < 180; i++) {
		slow_by(&rig, slowdown);
		tick(&rig);
	}
	assert_true(interference_blame(&rig.in, rig.tasks[2].class_key) > 0);
	assert_true(rig.tasks[2].level_percent < 50);
	assert_true(rig.tasks[0].level_percent > 90);
	assert_true(rig.tasks[3].level_percent > 90);
	assert_int_equal(rig.evictions, 0);
}

/* Guards against an eviction that does not come, or takes the wrong task. */
static void test_evicts_at_floor(void **state)
{
	static const double slowdown[TASKS] = { 0, 0, 6, 0 };
	static const struct {
		int64_t weight_latency, weight_eviction;
		int is_protected;
		int least_s, most_s; /* 0: never */
	} cases[] = {
		{ 100, 0, 0, 10, 60 },
		{ 50, 50, 0, 50, 120 },
		{ 50, 50, 1, 0, 0 },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct rig rig;
		int s;

		setup(&rig);
		rig.sample.weight_latency = cases[i].weight_latency;
		rig.sample.weight_eviction = cases[i].weight_eviction;
		ticks(&rig, 30);
		run_tasks(&rig, 1);
		rig.tasks[2].is_protected = cases[i].is_protected;
		for (s = 0; s < 200 && !rig.evictions; s++) {
			tick(&rig);
			slow_by(&rig, slowdown);
		}
		if (!cases[i].most_s) {
			assert_int_equal(rig.evictions, 0);
			continue;
		}
		assert_int_equal(rig.victim, 2);
		assert_int_equal(rig.reason, INTERFERENCE_LATENCY);
		assert_in_range(s, cases[i].least_s, cases[i].most_s);
	}
}

/* Guards against evictions for a latency that is the service's own. */
static void test_own_slowness(void **state)
{
	struct rig rig;

	setup(&rig);
	ticks(&rig, 30);
	run_tasks(&rig, 1);
	ticks(&rig, 30);
	rig.sample.latency_us = 40000;
	ticks(&rig, 1200);
	assert_int_equal(rig.evictions, 0);
	/* The baseline follows, and the tasks get their speed back. */
	assert_true(rig.tasks[0].level_percent > 50);
}

/* Guards against memory and processors over the capacity of the VM. */
static void test_growth(void **state)
{
	struct rig rig;

	setup(&rig);
	run_tasks(&rig, 1);
	ticks(&rig, 3);
	rig.tasks[1].used.cpu_milli = 3000;
	tick(&rig);
	assert_int_equal(rig.tasks[1].level_percent, 26);
	assert_int_equal(rig.tasks[0].level_percent, 100);
	rig.tasks[1].used.cpu_milli = 800;
	ticks(&rig, 20);
	assert_in_range(rig.tasks[1].level_percent, 27, 40);
	assert_int_equal(rig.evictions, 0);
	rig.tasks[3].used.mem_mb = 500;
	tick(&rig);
	assert_int_equal(rig.tasks[3].level_percent,
			 INTERFERENCE_FLOOR_PERCENT);
	assert_int_equal(rig.evictions, 0);
	ticks(&rig, 30);
	assert_int_equal(rig.evictions, 1);
	assert_int_equal(rig.victim, 3);
	assert_int_equal(rig.reason, INTERFERENCE_MEMORY);
}

/*
 * Guards against throttles out of range, against a level that falls and rises
 * within the lag, and against evictions without a cause, on random input.
 */
static void test_random(void **state)
{
	uint64_t seed;

	for (seed = 1; seed <= 20; seed++) {
		double slowdown[TASKS] = { 0 };
		struct mstime cut_at[TASKS] = { { -100000 } };
		uint32_t before[TASKS] = { 100, 100, 100, 100 };
		struct rng rng;
		struct rig rig;
		int s, i;

		rng_seed(&rng, seed);
		setup(&rig);
		for (i = 0; i < TASKS; i++)
			cut_at[i] = mstime_from(-100000);
		for (s = 0; s < 2000; s++) {
			int evictions = rig.evictions, started = -1;

			i = (int)rng_below(&rng, TASKS);
			if (!rng_below(&rng, 50)) {
				rig.tasks[i].is_running ^= 1;
				started = i;
				slowdown[i] = 2 * rng_unit(&rng);
			}
			slow_by(&rig, slowdown);
			rig.sample.latency_us *= 0.9 + 0.2 * rng_unit(&rng);
			rig.sample.requests = rng_below(&rng, 300);
			rig.sample.in_progress = rng_below(&rng, 9);
			tick(&rig);
			assert_true(rig.evictions <= evictions + 1);
			if (rig.evictions > evictions)
				assert_true(rig.in.excess > rig.in.tolerance ||
					    rig.in.long_term_excess >
						    rig.in.tolerance);
			for (i = 0; i < TASKS; i++) {
				uint32_t percent = rig.tasks[i].level_percent;

				if (!percent)
					continue;
				assert_in_range(percent,
						INTERFERENCE_FLOOR_PERCENT,
						100);
				if (percent < before[i] && i != started)
					cut_at[i] = rig.now;
				/* A start takes the level of its class. */
				if (percent > before[i] && i != started)
					assert_true(mstime_diff(rig.now,
								cut_at[i]) >=
						    INTERFERENCE_LAG_MS);
				before[i] = percent;
			}
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_cause),
		cmocka_unit_test(test_blame),
		cmocka_unit_test(test_evicts_at_floor),
		cmocka_unit_test(test_own_slowness),
		cmocka_unit_test(test_growth),
		cmocka_unit_test(test_random),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
