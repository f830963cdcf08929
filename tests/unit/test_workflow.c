#include "workflow.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "mem.h"
#include "rng.h"

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))

static struct workflow_spec spec_new(size_t steps, uint32_t count)
{
	struct workflow_spec spec = { .id = "0123456789abcdef" };
	size_t i;

	spec.payload = xstrdup("payload");
	spec.step_count = steps;
	spec.steps = xcalloc(steps + 1, sizeof(*spec.steps));
	for (i = 0; i < steps; i++) {
		spec.steps[i].task_count = count;
		spec.steps[i].estimate_ms = 100;
	}
	return spec;
}

static void add_dependency(struct workflow_step *step, uint32_t dependency)
{
	step->depends_on = xcalloc(1, sizeof(*step->depends_on));
	step->depends_on[0] = dependency;
	step->dependency_count = 1;
}

static struct workflow *build_workflow(struct workflow_spec *spec)
{
	struct queue_config queue = { .name = "q", .max_attempts = 2 };
	const char *reason;

	assert_int_equal(workflow_spec_check(spec, &reason), 0);
	return workflow_new(spec, &queue, 1000);
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

/* Guards against accepting workflows that never end or exhaust memory. */
static void test_spec_bounds(void **state)
{
	static const struct {
		size_t steps;
		uint32_t count, occurrences;
		int64_t interval_ms;
		int dependency; /* step that step 0 depends on; -1: none */
		int err;
	} cases[] = {
		{ 1, 1, 0, 0, -1, 0 },
		{ STEPS_MAX, 1, 1, 0, -1, 0 },
		{ 0, 1, 1, 0, -1, ERR_INVALID },
		{ STEPS_MAX + 1, 1, 1, 0, -1, ERR_TOO_LARGE },
		{ 1, 0, 1, 0, -1, ERR_INVALID },
		{ 2, TASKS_PER_WORKFLOW_MAX / 2, 1, 0, -1, 0 },
		{ 2, TASKS_PER_WORKFLOW_MAX / 2 + 1, 1, 0, -1, ERR_TOO_LARGE },
		{ 1, 1, OCCURRENCES_MAX + 1, 10, -1, ERR_TOO_LARGE },
		{ 1, 1, 2, 0, -1, ERR_INVALID },
		{ 2, 1, 1, 0, 0, ERR_INVALID },
		{ 2, 1, 1, 0, 1, ERR_INVALID },
	};
	const char *reason;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct workflow_spec spec =
			spec_new(cases[i].steps, cases[i].count);

		spec.occurrences = cases[i].occurrences;
		spec.interval_ms = cases[i].interval_ms;
		if (cases[i].dependency >= 0)
			add_dependency(&spec.steps[0],
				       (uint32_t)cases[i].dependency);
		assert_int_equal(workflow_spec_check(&spec, &reason),
				 cases[i].err);
		workflow_spec_clear(&spec);
	}
}

/*
 * Guards against a step that starts before the step it depends on is done, also
 * if the end of one task is counted twice.
 */
static void test_step_dependency(void **state)
{
	struct workflow_spec spec = spec_new(2, 2);
	struct workflow *workflow;

	add_dependency(&spec.steps[1], 0);
	workflow = build_workflow(&spec);
	assert_true(workflow_step_ready(workflow, 0, 0));
	assert_false(workflow_step_ready(workflow, 0, 1));
	workflow_task_done(workflow, 0, 0, 0);
	workflow_task_done(workflow, 0, 0, 0);
	assert_false(workflow_step_ready(workflow, 0, 1));
	workflow_task_done(workflow, 0, 0, 1);
	assert_true(workflow_step_ready(workflow, 0, 1));
	assert_int_equal(workflow_critical_path_ms(workflow), 200);
	workflow_delete(workflow);
}

/* Guards against completing with a task of any occurrence not done. */
static void test_complete_occurrences(void **state)
{
	struct workflow_spec spec = spec_new(1, 2);
	struct workflow *workflow;

	spec.occurrences = 2;
	spec.interval_ms = 10;
	workflow = build_workflow(&spec);
	workflow_task_done(workflow, 0, 0, 0);
	workflow_task_done(workflow, 0, 0, 1);
	workflow_task_done(workflow, 1, 0, 1);
	assert_false(workflow_is_final(workflow));
	workflow_task_done(workflow, 1, 0, 0);
	assert_int_equal(workflow->state, WORKFLOW_COMPLETE);
	workflow_delete(workflow);
}

/* The end of one member of a gang marks all members done. */
static void test_gang_done(void **state)
{
	struct workflow_spec spec = spec_new(1, 3);
	struct workflow *workflow;

	spec.steps[0].gang = 1;
	workflow = build_workflow(&spec);
	workflow_task_done(workflow, 0, 0, 1);
	assert_int_equal(workflow->state, WORKFLOW_COMPLETE);
	workflow_delete(workflow);
}

static void assign_task(struct workflow *workflow, uint32_t index,
			uint64_t worker_start_ms)
{
	struct workflow_task *task = begin_task(workflow, 0, 1, index);

	task->phase = TASK_ASSIGNED;
	task->last_run = 7;
	task->failures = 1;
	task->checkpoint = xstrdup("c\"1");
	task->location = xcalloc(1, sizeof(*task->location));
	str_copy(task->location->node, "node-1", ID_SIZE);
	str_copy(task->location->worker, "w-1", ID_SIZE);
	task->location->worker_start_ms = worker_start_ms;
	workflow_count_assigned(workflow, &(struct task_id){ "", 0, 1, index },
				1);
}

/* Guards against losing stored progress when a new scheduler takes over. */
static void test_encode_decode(void **state)
{
	struct workflow_spec spec = spec_new(2, 3),
			     decoded_spec = spec_new(2, 3);
	struct workflow *workflow = build_workflow(&spec),
			*decoded = build_workflow(&decoded_spec);
	enum workflow_state decoded_state;
	struct workflow_task *task;
	char *json;

	workflow_task_done(workflow, 0, 0, 2);
	assign_task(workflow, 1, 12345678901234);
	workflow->state = WORKFLOW_RUNNING;
	workflow->started = 1;
	json = workflow_encode(workflow);
	assert_int_equal(workflow_decode(decoded, json, strlen(json)), 0);
	assert_int_equal(decoded->state, WORKFLOW_RUNNING);
	assert_true(decoded->started);
	assert_int_equal(phase_of(decoded, 0, 0, 2), TASK_DONE);
	assert_int_equal(workflow_occurrence(decoded, 0)->steps[0].done_count,
			 1);
	task = begin_task(decoded, 0, 1, 1);
	assert_int_equal(task->phase, TASK_ASSIGNED);
	assert_int_equal(task->last_run, 7);
	assert_int_equal(task->failures, 1);
	assert_string_equal(task->checkpoint, "c\"1");
	assert_string_equal(task->location->node, "node-1");
	assert_true(task->location->worker_start_ms == 12345678901234);
	assert_int_equal(
		workflow_decode_state(json, strlen(json), &decoded_state), 0);
	assert_int_equal(decoded_state, WORKFLOW_RUNNING);
	free(json);
	workflow_delete(workflow);
	workflow_delete(decoded);
}

static void check_equal(struct workflow *a, struct workflow *b)
{
	uint32_t k, step, i;

	assert_int_equal(a->state, b->state);
	assert_int_equal(a->first_open, b->first_open);
	assert_int_equal(a->done_occurrences, b->done_occurrences);
	assert_int_equal(a->assigned_total, b->assigned_total);
	for (k = 0; k < a->spec.occurrences; k++)
		for (step = 0; step < a->spec.step_count; step++)
			for (i = 0; i < a->spec.steps[step].task_count; i++)
				assert_int_equal(phase_of(a, k, step, i),
						 phase_of(b, k, step, i));
}

/* Guards against done tasks that a new scheduler runs again, or never runs. */
static void test_encode_decode_random(void **state)
{
	struct rng rng;
	int round;

	rng_seed(&rng, 20261205);
	for (round = 0; round < 2000; round++) {
		uint32_t tasks = 1 + rng_below(&rng, 9), ends;
		struct workflow_spec specs[2] = { spec_new(2, tasks),
						  spec_new(2, tasks) };
		struct workflow *workflow, *decoded;
		char *json;

		specs[0].occurrences = 1 + rng_below(&rng, 9);
		specs[0].interval_ms = 1;
		specs[1].occurrences = specs[0].occurrences;
		specs[1].interval_ms = 1;
		workflow = build_workflow(&specs[0]);
		decoded = build_workflow(&specs[1]);
		for (ends = rng_below(&rng, 100); ends > 0; ends--)
			workflow_task_done(
				workflow,
				rng_below(&rng, workflow->spec.occurrences),
				rng_below(&rng, 2), rng_below(&rng, tasks));
		json = workflow_encode(workflow);
		assert_int_equal(workflow_decode(decoded, json, strlen(json)),
				 0);
		check_equal(workflow, decoded);
		free(json);
		workflow_delete(workflow);
		workflow_delete(decoded);
	}
}

/*
 * Guards against a scheduler whose memory grows with what was accepted, looked
 * at or asked for: one recurring workflow that found no place took all of it.
 * Only tasks at work take memory.
 */
static void test_memory_of_work(void **state)
{
	static const struct {
		uint32_t occurrences, tasks, steps, done;
	} cases[] = {
		{ 1, 1, 1, 0 },	     { 1, TASKS_PER_WORKFLOW_MAX, 1, 0 },
		{ 86400, 24, 1, 0 }, { OCCURRENCES_MAX, 200, 100, 0 },
		{ 3000, 24, 2, 0 },  { 3000, 24, 2, 2999 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct workflow_spec spec = spec_new(
			cases[i].steps, cases[i].tasks / cases[i].steps);
		struct workflow *workflow;
		size_t sum = 0, memory;
		uint32_t k, step, index;

		spec.occurrences = cases[i].occurrences;
		spec.interval_ms = 1;
		workflow = build_workflow(&spec);
		memory = workflow_memory(workflow);
		workflow->memory_sum = &sum;
		/* The first one stays open, the others end. */
		for (k = 1; k <= cases[i].done; k++)
			for (step = 0; step < cases[i].steps; step++)
				for (index = 0;
				     index < cases[i].tasks / cases[i].steps;
				     index++)
					workflow_task_done(workflow, k, step,
							   index);
		for (k = 0; k < cases[i].occurrences; k++) {
			struct task_id id = { "", k, 0, 0 };

			workflow_find_task(workflow, &id);
			workflow_task_phase(workflow, &id);
			workflow_step_ready(workflow, k, 0);
		}
		assert_true(workflow_memory(workflow) <=
			    memory + sizeof(struct done_range));
		assert_int_equal(workflow->state_count, 0);
		if (!cases[i].done) {
			begin_task(workflow, 0, 0, 0);
			assert_in_range(workflow->state_count, 1,
					TASK_BLOCK_SIZE);
		}
		workflow_delete(workflow);
	}
}

/*
 * Guards against a state of many occurrences that is too large for the store;
 * an occurrence that has begun goes on, and a single one always may begin.
 */
static void test_occurrences_that_may_begin(void **state)
{
	static const struct {
		uint32_t tasks, begun;
		int may_begin;
	} cases[] = {
		{ TASKS_PER_WORKFLOW_MAX, 0, 1 },
		{ TASKS_PER_WORKFLOW_MAX, 1, 0 },
		{ 1000, 19, 1 },
		{ 1000, 20, 0 },
		{ 24, 832, 1 },
		{ 24, 833, 0 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct workflow_spec spec = spec_new(1, cases[i].tasks);
		struct workflow *workflow;
		char *json;
		uint32_t k, n;

		spec.occurrences = 1000;
		spec.interval_ms = 1;
		workflow = build_workflow(&spec);
		for (k = 0; k < cases[i].begun; k++)
			for (n = 0; n < cases[i].tasks; n++)
				begin_task(workflow, k, 0, n)->last_run = 1;
		assert_int_equal(workflow_may_begin(workflow, k),
				 cases[i].may_begin);
		assert_true(!k || workflow_may_begin(workflow, k - 1));
		json = workflow_encode_within(workflow, 1 << 20);
		assert_non_null(json);
		free(json);
		workflow_delete(workflow);
	}
}

/* Guards against an occurrence that is begun twice or never. */
static void test_next_fresh(void **state)
{
	enum {
		FRESH,
		BEGUN,
		DONE
	};
	struct rng rng;
	int round;

	rng_seed(&rng, 20261207);
	for (round = 0; round < 3000; round++) {
		uint32_t count = 1 + rng_below(&rng, 12), k, events;
		unsigned char model[12] = { FRESH };
		struct workflow_spec spec = spec_new(1, 2);
		struct workflow *workflow;

		spec.occurrences = count;
		spec.interval_ms = 1;
		workflow = build_workflow(&spec);
		for (events = rng_below(&rng, 20); events > 0; events--) {
			k = rng_below(&rng, count);
			workflow_task_done(workflow, k, 0, 0);
			if (rng_below(&rng, 2))
				workflow_task_done(workflow, k, 0, 1);
			if (model[k] != DONE)
				model[k] = workflow_occurrence(workflow, k)
						   ? BEGUN
						   : DONE;
		}
		for (k = 0; k <= count; k++) {
			uint32_t next = k;

			while (next < count && model[next] != FRESH)
				next++;
			assert_int_equal(workflow_next_fresh(workflow, k),
					 next);
			assert_true(k == count ||
				    (phase_of(workflow, k, 0, 1) ==
				     TASK_DONE) == (model[k] == DONE));
		}
		workflow_delete(workflow);
	}
}

/* Guards against records of the release before that are taken for new work. */
static void test_decode_format_1(void **state)
{
	static const char json[] =
		"{\"format\":1,\"state\":\"running\",\"places\":"
		"[[\"n\",\"w\",5]],\"tasks\":[[0,0,0,2,1,0,-1,\"\"],"
		"[0,0,1,2,1,0,-1,\"\"],[0,1,1,1,3,1,0,\"c\"]]}";
	struct workflow_spec spec = spec_new(2, 2);
	struct workflow *workflow = build_workflow(&spec);

	assert_int_equal(workflow_decode(workflow, json, strlen(json)), 0);
	assert_int_equal(workflow_occurrence(workflow, 0)->steps[0].done_count,
			 2);
	assert_int_equal(phase_of(workflow, 0, 1, 0), TASK_WAITING);
	assert_int_equal(begin_task(workflow, 0, 1, 1)->last_run, 3);
	workflow_delete(workflow);
}

/*
 * Guards against a state that is larger than the store takes, which no commit
 * can then contain: it grew with the tasks and occurrences that are done.
 */
static void test_encoded_size(void **state)
{
	static const struct {
		uint32_t occurrences, done, tasks, assigned;
		enum workflow_state state;
		size_t max, most; /* most: 0 if it doesn't fit */
	} cases[] = {
		{ 100000, 99999, 1, 0, WORKFLOW_RUNNING, 1 << 20, 200 },
		{ 1, 0, 20000, 0, WORKFLOW_RUNNING, 1 << 20, 200 },
		{ 1, 0, 20000, 19999, WORKFLOW_RUNNING, 1 << 20, 1 << 20 },
		{ 1, 0, 2000, 1000, WORKFLOW_RUNNING, 30000, 30000 },
		{ 1, 0, 2000, 1000, WORKFLOW_RUNNING, 4000, 0 },
		{ 1, 0, 2000, 1000, WORKFLOW_FAILED, 4000, 200 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct workflow_spec spec = spec_new(1, cases[i].tasks);
		struct workflow *workflow;
		uint32_t k;
		char *json;

		spec.occurrences = cases[i].occurrences;
		spec.interval_ms = 1;
		workflow = build_workflow(&spec);
		for (k = 0; k < cases[i].done; k++)
			workflow_task_done(workflow, k, 0, 0);
		for (k = 0; k < cases[i].assigned; k++) {
			struct workflow_task *task =
				begin_task(workflow, 0, 0, k);

			task->phase = TASK_ASSIGNED;
			task->last_run = 1;
			task->checkpoint = xcalloc(1, 257);
			memset(task->checkpoint, 'c', 256);
			task->location = xcalloc(1, sizeof(*task->location));
			workflow_count_assigned(
				workflow, &(struct task_id){ "", 0, 0, k }, 1);
		}
		for (; !cases[i].done && k + 1 < cases[i].tasks; k++)
			workflow_task_done(workflow, 0, 0, k);
		workflow->state = cases[i].state;
		json = workflow_encode_within(workflow, cases[i].max);
		assert_int_equal(json != NULL, cases[i].most > 0);
		assert_true(!json || strlen(json) <= cases[i].most);
		free(json);
		workflow_delete(workflow);
	}
}

/* Guards against a crash on a record that another writer has corrupted. */
static void test_decode_malformed(void **state)
{
	static const char *const cases[] = {
		"",
		"[]",
		"{\"format\":4,\"state\":\"queued\"}",
		"{\"format\":0,\"state\":\"queued\"}",
		"{\"format\":2,\"state\":\"running\",\"complete\":2}",
		"{\"format\":2,\"state\":\"running\",\"complete\":-1}",
		"{\"format\":2,\"state\":\"running\",\"complete\":\"1\"}",
		"{\"format\":2,\"state\":\"running\",\"done\":[[0,0,0]]}",
		"{\"format\":2,\"state\":\"running\",\"done\":[[0,0,0,2]]}",
		"{\"format\":2,\"state\":\"running\",\"done\":[[0,2,0,0]]}",
		"{\"format\":2,\"state\":\"running\",\"done\":[[1,0,0,0]]}",
		"{\"format\":2,\"state\":\"running\",\"done\":[[0,0,-1,0]]}",
		"{\"format\":2,\"state\":\"running\",\"done\":[[0,0,0,0.5]]}",
		"{\"format\":2,\"state\":\"running\",\"done\":"
		"[[4294967296,0,0,0]]}",
		"{\"format\":3,\"state\":\"running\",\"ranges\":[[1]]}",
		"{\"format\":3,\"state\":\"running\",\"ranges\":[[1,1]]}",
		"{\"format\":3,\"state\":\"running\",\"ranges\":[[0,-1]]}",
		"{\"format\":3,\"state\":\"running\",\"complete\":1,"
		"\"ranges\":[[0,0]]}",
		"{\"format\":1,\"state\":\"odd\"}",
		"{\"format\":1,\"state\":\"running\",\"tasks\":[[0,0]]}",
		"{\"format\":1,\"state\":\"running\",\"tasks\":"
		"[[0,9,0,1,1,0,0,\"\"]]}",
		"{\"format\":1,\"state\":\"running\",\"tasks\":"
		"[[0,0,0,1,1,0,5,\"\"]]}",
		"{\"format\":1,\"state\":\"running\",\"tasks\":"
		"[[0,0,0,7,1,0,0,\"\"]]}",
		"{\"format\":1,\"state\":\"running\",\"tasks\":"
		"[[-1,0,0,1,1,0,0,\"\"]]}",
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct workflow_spec spec = spec_new(2, 2);
		struct workflow *workflow = build_workflow(&spec);

		assert_int_equal(
			workflow_decode(workflow, cases[i], strlen(cases[i])),
			ERR_MALFORMED);
		workflow_delete(workflow);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_spec_bounds),
		cmocka_unit_test(test_step_dependency),
		cmocka_unit_test(test_complete_occurrences),
		cmocka_unit_test(test_gang_done),
		cmocka_unit_test(test_encode_decode),
		cmocka_unit_test(test_encode_decode_random),
		cmocka_unit_test(test_memory_of_work),
		cmocka_unit_test(test_occurrences_that_may_begin),
		cmocka_unit_test(test_next_fresh),
		cmocka_unit_test(test_decode_format_1),
		cmocka_unit_test(test_encoded_size),
		cmocka_unit_test(test_decode_malformed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
