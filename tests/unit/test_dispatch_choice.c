/*
 * The choice of workers against a plain search over all of them, in random
 * states.
 */
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
#include "rng.h"

#define EPOCH 7
#define WORKERS 8
#define ROUNDS 200
#define PROBES 50 /* of a round */
#define PROBE_TASKS_MAX 5

struct fixture {
	struct rng rng;
	struct dispatch *dispatch;
	int64_t now_ms;
	uint64_t starts, seqs[WORKERS];
	uint32_t jobs;
};

static struct mstime now(const struct fixture *f)
{
	return mstime_from(100000 + f->now_ms);
}

static int chance(struct fixture *f, uint32_t percent)
{
	return rng_below(&f->rng, 100) < percent;
}

static uint32_t pick(struct fixture *f, const uint32_t *values, uint32_t count)
{
	return values[rng_below(&f->rng, count)];
}

static void runner_name(char *name, int i)
{
	snprintf(name, ID_SIZE, "r%d", i);
}

static struct worker *get_worker(struct fixture *f, int i)
{
	char name[ID_SIZE];

	runner_name(name, i);
	return dispatch_get_worker(f->dispatch, name, now(f));
}

/* A worker as it was, or changed in some way. */
static void report(struct fixture *f, int i, int is_new)
{
	static const uint32_t cpus[] = { 0, 4000, 16000, 64000 };
	static const uint32_t mems[] = { 1000, 8000, 64000 };
	static struct text_item label_sets[][2] = {
		{ { "rack-1" }, { "ssd" } },
		{ { "rack-2" }, { "ssd" } },
		{ { "rack-1" }, { "hdd" } },
	};
	struct worker *worker = get_worker(f, i);
	struct msg_work_report msg = {
		.epoch = EPOCH,
		.seq = ++f->seqs[i],
		.session = 1,
		.worker_start_ms = is_new ? ++f->starts : worker->start_ms,
		.state = worker->state,
		.list_age_ms = chance(f, 10) ? 1700 : 100,
		.capacity = worker->capacity,
	};

	runner_name(msg.worker, i);
	str_copy(msg.service, worker->service, sizeof(msg.service));
	if (is_new || chance(f, 20)) {
		msg.state = chance(f, 85) ? WORKER_READY : WORKER_LEAVING;
		str_copy(msg.service, chance(f, 85) ? "s" : "t",
			 sizeof(msg.service));
		msg.capacity.cpu_milli = pick(f, cpus, 4);
		msg.capacity.mem_mb = pick(f, mems, 3);
		msg.capacity.accel = rng_below(&f->rng, 3);
		msg.labels.items = label_sets[rng_below(&f->rng, 3)];
		msg.labels.count = 2;
	}
	msg.fence = worker->fence;
	assert_int_equal(
		dispatch_report(f->dispatch, worker->runner, &msg, now(f)), 0);
}

static void add_probe(struct fixture *f, struct workflow **added)
{
	static const uint32_t needs[] = { 100, 1000, 5000, 20000, 70000 };
	static const char *const images[] = { "a", "b", "c" };
	struct queue_config queue = { .name = "q",
				      .service = "s",
				      .stretch = 2 };
	struct workflow_spec spec = { .step_count = 1 };
	struct workflow_step *step;
	const char *reason;

	snprintf(spec.id, sizeof(spec.id), "%016x", ++f->jobs);
	spec.payload = xstrdup("p");
	spec.steps = step = xcalloc(1, sizeof(*spec.steps));
	step->task_count = 1 + rng_below(&f->rng, PROBE_TASKS_MAX);
	step->need.cpu_milli = pick(f, needs, 5);
	step->need.mem_mb = pick(f, needs, 4) / 10;
	step->need.accel = chance(f, 10);
	step->best_effort = chance(f, 40);
	if (!step->best_effort && chance(f, 15)) {
		step->latency_target_ms = 50;
		step->long_running = 1;
	}
	step->max_per_worker = chance(f, 20) ? 1 + rng_below(&f->rng, 2) : 0;
	step->required_label = chance(f, 15) ? xstrdup("rack-1") : NULL;
	step->image = xstrdup(images[rng_below(&f->rng, 3)]);
	step->estimate_ms = 1000;
	assert_int_equal(workflow_spec_check(&spec, &reason), 0);
	*added = workflow_new(&spec, &queue, 0);
	assert_int_equal(dispatch_add(f->dispatch, *added, now(f)), 0);
}

static int has_label(const struct worker *worker, const char *label)
{
	size_t i;

	for (i = 0; i < worker->label_count; i++)
		if (!strcmp(worker->labels[i], label))
			return 1;
	return 0;
}

static uint32_t tasks_of(const struct worker *worker,
			 const struct workflow *workflow)
{
	const struct list *pos;
	uint32_t count = 0;

	list_for_each (pos, &worker->runs)
		count +=
			list_entry(pos, struct run, node)->workflow == workflow;
	return count;
}

/* What docs/guarantees.md asks of a worker, but for pressure. */
static int is_allowed(const struct fixture *f, const struct worker *worker,
		      const struct workflow *workflow)
{
	const struct workflow_step *step = &workflow->spec.steps[0];
	int64_t silent_ms = dispatch_defaults.worker_report_timeout_ms;
	int64_t cpu = worker->capacity.cpu_milli;

	if (worker->state != WORKER_READY ||
	    strcmp(worker->service, "s") != 0 || !worker->has_current_lists ||
	    worker->list_age_ms > silent_ms ||
	    mstime_diff(now(f), worker->reported_at) > silent_ms ||
	    mstime_before(now(f), worker->penalty_until))
		return 0;
	if (step->required_label && !has_label(worker, step->required_label))
		return 0;
	if (step->max_per_worker &&
	    tasks_of(worker, workflow) >= step->max_per_worker)
		return 0;
	if (step->best_effort)
		cpu -= (int64_t)worker->used.cpu_milli *
			       dispatch_defaults.assumed_usage_percent / 100 +
		       worker->best_effort_cpu_milli;
	else
		cpu -= worker->used.cpu_milli;
	return worker->run_count < RUNS_MAX / 2 &&
	       (int64_t)step->need.cpu_milli <= cpu &&
	       (int64_t)worker->used.mem_mb + step->need.mem_mb <=
		       worker->capacity.mem_mb &&
	       (int64_t)worker->used.accel + step->need.accel <=
		       worker->capacity.accel;
}

/* Nor can the pressure on serving runs rule it out. */
static int is_certain(const struct fixture *f, const struct worker *worker,
		      const struct workflow *workflow)
{
	return is_allowed(f, worker, workflow) &&
	       (!workflow->spec.steps[0].best_effort ||
		list_empty(&worker->serving_runs));
}

static void save_workflows(struct fixture *f)
{
	struct workflow *workflow;

	while ((workflow = dispatch_next_unsaved(f->dispatch,
						 mstime_add(now(f), 1000000))))
		dispatch_mark_saved(f->dispatch, workflow, workflow->version);
}

static void check_probe(struct fixture *f)
{
	int i, placed, allowed[WORKERS], certain = 0;
	struct workflow *probe;
	uint32_t there = 0;

	add_probe(f, &probe);
	for (i = 0; i < WORKERS; i++)
		allowed[i] = is_allowed(f, get_worker(f, i), probe);
	placed = dispatch_assign(f->dispatch, now(f));
	for (i = 0; i < WORKERS; i++) {
		struct worker *worker = get_worker(f, i);

		there += tasks_of(worker, probe);
		assert_true(allowed[i] || !tasks_of(worker, probe));
		assert_true(!tasks_of(worker, probe) ||
			    probe->spec.steps[0].best_effort ||
			    worker->used.cpu_milli <=
				    worker->capacity.cpu_milli);
		certain += is_certain(f, worker, probe);
	}
	assert_int_equal(there, placed);
	if ((uint32_t)placed < probe->spec.steps[0].task_count)
		assert_int_equal(certain, 0);
	/* Its runs stay until the worker is replaced, and none is repeated. */
	dispatch_cancel(f->dispatch, probe->spec.id, now(f));
	save_workflows(f);
}

/*
 * Guards against a worker that a plain search excludes, and against a task
 * that finds no place where a plain search finds one.
 */
static void test_choice(void **state)
{
	struct fixture f = { 0 };
	int round, probe, i;

	rng_seed(&f.rng, 20261205);
	for (round = 0; round < ROUNDS; round++) {
		f.dispatch = dispatch_new(&dispatch_defaults, EPOCH, now(&f),
					  NULL, NULL);
		memset(f.seqs, 0, sizeof(f.seqs));
		for (i = 0; i < WORKERS; i++) {
			report(&f, i, 1);
			report(&f, i, 0);
		}
		for (probe = 0; probe < PROBES; probe++) {
			f.now_ms += rng_below(&f.rng, 400);
			for (i = 0; i < WORKERS; i++)
				if (chance(&f, 50))
					report(&f, i, chance(&f, 10));
			check_probe(&f);
		}
		dispatch_delete(f.dispatch);
	}
}

/*
 * Guards against a search that is left out though it would have found a place:
 * many steps of all sizes wait in the same pass.
 */
static void test_choice_of_many(void **state)
{
	struct fixture f = { 0 };
	int round, i, k;

	rng_seed(&f.rng, 20261206);
	for (round = 0; round < ROUNDS; round++) {
		struct workflow *probes[PROBES];

		f.dispatch = dispatch_new(&dispatch_defaults, EPOCH, now(&f),
					  NULL, NULL);
		memset(f.seqs, 0, sizeof(f.seqs));
		for (i = 0; i < WORKERS; i++) {
			report(&f, i, 1);
			report(&f, i, 0);
		}
		for (k = 0; k < PROBES; k++)
			add_probe(&f, &probes[k]);
		do {
			dispatch_assign(f.dispatch, now(&f));
			save_workflows(&f);
		} while (dispatch_is_assigning(f.dispatch));
		/* No room has become free since the pass looked at them. */
		for (k = 0; k < PROBES; k++)
			for (i = 0; i < WORKERS; i++)
				assert_false(
					probes[k]->assigned_total <
						probes[k]->spec.task_count &&
					is_certain(&f, get_worker(&f, i),
						   probes[k]));
		dispatch_delete(f.dispatch);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_choice),
		cmocka_unit_test(test_choice_of_many),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
