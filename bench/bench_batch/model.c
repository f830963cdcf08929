#include "model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hash.h"

#define FAILURES_MAX 2000
#define LAG_S 10 /* until usage is seen */
#define URGENT_EVERY_S 120
#define HOLD_AFTER_S 60
#define KILLS_MAX 3 /* then the job counts as failed, as at the owner */

const char *const policy_names[POLICY_COUNT] = {
	"placement", "placement, evicts newest", "first fit on declared",
	"random on declared", "oracle with true sizes"
};

const struct resources model_capacity = { 64000, 250000, 0 };

static double log_uniform(struct rng *rng, double low, double high)
{
	return low * pow(high / low, rng_unit(rng));
}

static double vary(struct world *world)
{
	return 1 + world->setup.variation * (2 * rng_unit(&world->jobs) - 1);
}

static uint32_t declare(struct rng *rng, uint32_t size, uint32_t max)
{
	double declared = size * log_uniform(rng, 0.25, 4);

	return declared < max ? (uint32_t)declared + 1 : max;
}

/* Usage of a run after some seconds of its work. */
static struct resources usage_at(const struct world *world,
				 const struct task *task, double worked)
{
	uint64_t key[2] = { task->shape, (uint64_t)(worked / MODEL_PHASE_S) };
	uint64_t hash = hash_bytes(key, sizeof(key));
	double cpu = (double)(hash & 0xffff) / 0x8000 - 1;
	double mem = (double)(hash >> 16 & 0xffff) / 0x8000 - 1;
	struct resources used = task->actual;

	used.cpu_milli =
		(uint32_t)(used.cpu_milli * (1 + world->setup.swing * cpu));
	used.mem_mb = (uint32_t)(used.mem_mb * (1 + world->setup.swing * mem));
	return used;
}

static uint32_t max_u32(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

static void raise_to(struct resources *peak, const struct resources *used)
{
	peak->cpu_milli = max_u32(peak->cpu_milli, used->cpu_milli);
	peak->mem_mb = max_u32(peak->mem_mb, used->mem_mb);
}

static void find_peak(const struct world *world, struct task *task)
{
	struct resources used;
	double worked;

	for (worked = 0; worked <= task->work; worked += MODEL_PHASE_S) {
		used = usage_at(world, task, worked);
		raise_to(&task->peak, &used);
	}
}

static struct task *add_task(struct world *world, int urgent)
{
	struct task *task = &world->tasks[world->count++];
	const struct class *class;

	memset(task, 0, sizeof(*task));
	task->class = (int)rng_below(&world->jobs, MODEL_CLASSES);
	class = &world->classes[task->class];
	task->urgent = urgent;
	task->actual.cpu_milli = (uint32_t)(class->cpu * vary(world));
	task->actual.mem_mb = (uint32_t)(class->mem * vary(world));
	task->declared.cpu_milli = declare(&world->jobs, task->actual.cpu_milli,
					   model_capacity.cpu_milli);
	task->declared.mem_mb = declare(&world->jobs, task->actual.mem_mb,
					model_capacity.mem_mb);
	task->work = log_uniform(&world->jobs, 60, 1200);
	task->left = task->work;
	task->shape = rng_next(&world->jobs);
	find_peak(world, task);
	task->worker = -1;
	task->evicted = -1000000;
	task->submitted = world->now;
	return task;
}

static void start_world(struct world *world, const struct world_setup *setup)
{
	uint64_t seed = setup->seed;
	struct rng rng;
	int i;

	memset(world, 0, sizeof(*world));
	world->setup = *setup;
	world->policy = setup->policy;
	world->hold = -1;
	world->estimate = estimate_new();
	rng_seed(&rng, seed);
	rng_seed(&world->jobs, seed + 1);
	rng_seed(&world->rng, seed + 2);
	for (i = 0; i < MODEL_CLASSES; i++) {
		snprintf(world->classes[i].team, sizeof(world->classes[i].team),
			 "t%d", i);
		world->classes[i].cpu = log_uniform(&rng, 1000, 12000);
		world->classes[i].mem = log_uniform(&rng, 2000, 48000);
	}
	for (i = 0; i < MODEL_WORKERS; i++) {
		world->views[i].agent = "w";
		world->views[i].agent_hash = (uint64_t)i + 1;
		world->views[i].domain = (uint32_t)(i / MODEL_RACK);
		world->views[i].capacity = model_capacity;
		world->views[i].request_slots = 8;
		world->views[i].usable = 1;
	}
}

static struct mstime time_of(int seconds)
{
	return mstime_from((int64_t)seconds * 1000);
}

static void find_need(struct world *world, struct task *task)
{
	switch (world->policy) {
	case POLICY_ORACLE:
		task->need = task->peak;
		return;
	case POLICY_FIRST_FIT:
	case POLICY_RANDOM:
		task->need = task->declared;
		return;
	default:
		estimate_need(world->estimate, world->classes[task->class].team,
			      "run", &task->declared, &model_capacity,
			      time_of(world->now), &task->need);
	}
}

/* What the agents reserve: the larger of what was asked and was observed. */
static void sum_reserved(struct world *world)
{
	int i;

	for (i = 0; i < MODEL_WORKERS; i++)
		memset(&world->views[i].used, 0, sizeof(struct resources));
	for (i = 0; i < world->count; i++) {
		const struct task *task = &world->tasks[i];
		struct resources *used;

		if (task->worker < 0)
			continue;
		used = &world->views[task->worker].used;
		used->cpu_milli +=
			max_u32(task->need.cpu_milli, task->most.cpu_milli);
		used->mem_mb += max_u32(task->need.mem_mb, task->most.mem_mb);
	}
}

static int choose(struct world *world, const struct task *task)
{
	struct placement_request request = {
		.need = task->need,
		.latency_weight_percent = world->setup.weight_latency,
		.eviction_weight_percent = world->setup.weight_eviction
	};
	struct placement result;
	int offset = 0, i;

	if (world->policy != POLICY_FIRST_FIT &&
	    world->policy != POLICY_RANDOM) {
		placement_choose(&result, &request, world->views, MODEL_WORKERS,
				 &world->rng);
		return result.worker;
	}
	if (world->policy == POLICY_RANDOM)
		offset = (int)rng_below(&world->rng, MODEL_WORKERS);
	for (i = 0; i < MODEL_WORKERS; i++) {
		int n = (i + offset) % MODEL_WORKERS;

		if (placement_fits(&task->need, &world->views[n].used,
				   &model_capacity))
			return n;
	}
	return -1;
}

static void run_at(struct world *world, struct task *task, int worker)
{
	struct resources *used = &world->views[worker].used;

	task->worker = worker;
	task->started = world->now;
	memset(&task->most, 0, sizeof(task->most));
	used->cpu_milli += task->need.cpu_milli;
	used->mem_mb += task->need.mem_mb;
	if (!task->urgent)
		return;
	world->urgent_started++;
	world->urgent_wait += world->now - task->submitted;
}

static void evict_task(struct world *world, struct task *task)
{
	/* The last minute since a checkpoint is lost. */
	int since = (world->now - task->started) % 60;

	world->lost += since;
	task->left = fmin(task->left + since, task->work);
	task->worker = -1;
	task->evicted = world->now;
	world->evictions++;
	evict_window_add(&world->window, time_of(world->now));
}

/* The newest run that may be evicted, anywhere, until the job fits. */
static void evict_newest(struct world *world, const struct task *task)
{
	int n, i, newest;

	for (n = 0; n < EVICT_VICTIMS_MAX; n++) {
		if (choose(world, task) >= 0)
			return;
		newest = -1;
		for (i = 0; i < world->count; i++) {
			const struct task *other = &world->tasks[i];

			if (other->worker >= 0 && !other->urgent &&
			    (newest < 0 ||
			     other->started > world->tasks[newest].started))
				newest = i;
		}
		if (newest < 0)
			return;
		evict_task(world, &world->tasks[newest]);
		sum_reserved(world);
	}
}

static void evict_least(struct world *world, const struct task *task)
{
	struct evict_candidate candidates[MODEL_TASKS_MAX];
	struct evict_worker workers[MODEL_WORKERS];
	struct evict_choice choice;
	int index[MODEL_TASKS_MAX], count = 0, i;

	for (i = 0; i < MODEL_WORKERS; i++) {
		workers[i].capacity = model_capacity;
		workers[i].used = world->views[i].used;
		workers[i].usable = 1;
	}
	for (i = 0; i < world->count; i++) {
		const struct task *other = &world->tasks[i];
		struct evict_candidate *c = &candidates[count];

		if (other->worker < 0)
			continue;
		memset(c, 0, sizeof(*c));
		c->worker = (uint32_t)other->worker;
		c->reserved = other->need;
		c->urgent = other->urgent;
		c->evicted = other->evicted > 0;
		c->evicted_at = time_of(other->evicted);
		c->checkpointed_at = time_of(
			world->now - (world->now - other->started) % 60);
		index[count++] = i;
	}
	evict_choose(
		&choice, &task->need, candidates, (size_t)count, workers,
		MODEL_WORKERS, 60000,
		evict_window_remaining(&world->window, time_of(world->now)),
		time_of(world->now));
	for (i = 0; i < (int)choice.count; i++)
		evict_task(world, &world->tasks[index[choice.victims[i]]]);
	sum_reserved(world);
}

static int compare_tasks(const void *a, const void *b)
{
	const struct task *x = a, *y = b;
	const struct placement_order first = { x->urgent, 1,
					       (uint64_t)x->submitted };
	const struct placement_order second = { y->urgent, 1,
						(uint64_t)y->submitted };

	return placement_compare(&first, &second);
}

/* As the owner does for a job that waits long: keeps one worker's room. */
static void hold(struct world *world, const struct task *task)
{
	struct resources *used;
	int i;

	if (world->now - task->submitted < HOLD_AFTER_S ||
	    world->policy >= POLICY_FIRST_FIT)
		return;
	if (world->hold < 0) {
		world->hold = 0;
		for (i = 1; i < MODEL_WORKERS; i++)
			if (world->views[i].used.cpu_milli <
			    world->views[world->hold].used.cpu_milli)
				world->hold = i;
	}
	used = &world->views[world->hold].used;
	used->cpu_milli += task->need.cpu_milli;
	used->mem_mb += task->need.mem_mb;
}

static void schedule(struct world *world)
{
	int failures = 0, held = 0, i, worker;

	qsort(world->tasks, (size_t)world->count, sizeof(world->tasks[0]),
	      compare_tasks);
	sum_reserved(world);
	for (i = 0; i < world->count && failures < FAILURES_MAX; i++) {
		struct task *task = &world->tasks[i];

		if (task->worker >= 0)
			continue;
		find_need(world, task);
		worker = choose(world, task);
		if (worker < 0 && task->urgent) {
			if (world->policy == POLICY_OWN)
				evict_least(world, task);
			else
				evict_newest(world, task);
			worker = choose(world, task);
		}
		if (worker >= 0) {
			run_at(world, task, worker);
			continue;
		}
		failures++;
		if (!held++)
			hold(world, task);
	}
	if (!held)
		world->hold = -1;
}

static double worked(const struct task *task)
{
	return task->work - task->left;
}

static void kill_largest(struct world *world, int worker, double *mem)
{
	while (*mem > model_capacity.mem_mb) {
		struct task *largest = NULL;
		uint32_t most = 0;
		int i;

		for (i = 0; i < world->count; i++) {
			struct task *task = &world->tasks[i];
			uint32_t used;

			if (task->worker != worker)
				continue;
			used = usage_at(world, task, worked(task)).mem_mb;
			if (largest && used <= most)
				continue;
			largest = task;
			most = used;
		}
		if (!largest)
			return;
		*mem -= most;
		largest->worker = -1;
		largest->left = largest->work;
		world->killed++;
		if (++largest->kills < KILLS_MAX)
			continue;
		world->failed++;
		*largest = world->tasks[--world->count];
	}
}

/* What the worker reports is LAG_S old. */
static void report_usage(struct world *world, struct task *task)
{
	struct resources used;

	if (world->now - task->started < LAG_S ||
	    world->policy >= POLICY_FIRST_FIT)
		return;
	used = usage_at(world, task, fmax(worked(task) - LAG_S, 0));
	raise_to(&task->most, &used);
}

/* As the owner does: only a peak that has grown since the last sample. */
static void sample(struct world *world, struct task *task)
{
	const struct resources *most = &task->most;

	if (world->policy >= POLICY_FIRST_FIT ||
	    (most->cpu_milli <= task->sampled.cpu_milli &&
	     most->mem_mb <= task->sampled.mem_mb))
		return;
	task->sampled = *most;
	estimate_observe(world->estimate, world->classes[task->class].team,
			 "run", most, time_of(world->now));
}

static void finish(struct world *world, struct task *task)
{
	const struct resources *actual = &task->actual;
	double share =
		fmax((double)actual->cpu_milli / model_capacity.cpu_milli,
		     (double)actual->mem_mb / model_capacity.mem_mb);

	world->finished++;
	world->done += task->work * share;
	sample(world, task);
	*task = world->tasks[--world->count];
}

static void progress(struct world *world)
{
	double cpu[MODEL_WORKERS] = { 0 }, mem[MODEL_WORKERS] = { 0 };
	int i;

	for (i = 0; i < world->count; i++) {
		const struct task *task = &world->tasks[i];
		struct resources used;

		if (task->worker < 0)
			continue;
		used = usage_at(world, task, worked(task));
		cpu[task->worker] += used.cpu_milli;
		mem[task->worker] += used.mem_mb;
	}
	for (i = 0; i < MODEL_WORKERS; i++) {
		world->cpu_over += cpu[i] > model_capacity.cpu_milli;
		world->mem_over += mem[i] > model_capacity.mem_mb;
		kill_largest(world, i, &mem[i]);
	}
	for (i = world->count; i-- > 0;) {
		struct task *task = &world->tasks[i];

		if (task->worker < 0)
			continue;
		task->left -=
			fmin(1, model_capacity.cpu_milli / cpu[task->worker]);
		report_usage(world, task);
		if (world->now - task->started ==
		    ESTIMATE_SAMPLE_DELAY_MS / 1000)
			sample(world, task);
		if (task->left <= 0)
			finish(world, task);
	}
}

void world_run(struct world *world, const struct world_setup *setup)
{
	int waiting, i;

	start_world(world, setup);
	for (world->now = 0; world->now < MODEL_STEPS; world->now++) {
		waiting = 0;
		for (i = 0; i < world->count; i++)
			waiting += world->tasks[i].worker < 0;
		for (; waiting < MODEL_WAITING; waiting++)
			add_task(world, 0);
		if (world->now % URGENT_EVERY_S == URGENT_EVERY_S - 1) {
			add_task(world, 1);
			world->urgent++;
		}
		schedule(world);
		progress(world);
	}
	estimate_delete(world->estimate);
}
