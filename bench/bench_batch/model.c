#include "model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hash.h"

#define PLACEMENT_FAILURES_MAX 2000
#define REPORT_LAG_S 10 /* age of the usage reported */
#define URGENT_INTERVAL_S 120
#define HOLD_AFTER_S 60
#define OOM_KILLS_MAX 3 /* then the job fails, as at the owner */

const char *const policy_names[POLICY_COUNT] = {
	"placement", "placement, evicts newest", "first fit on declared",
	"random on declared", "oracle with true sizes"
};

const struct resources model_capacity = { 64000, 250000, 0 };

static double log_uniform(struct rng *rng, double low, double high)
{
	return low * pow(high / low, rng_unit(rng));
}

static double draw_size_factor(struct simulation *sim)
{
	return 1 +
	       sim->config.size_variation * (2 * rng_unit(&sim->job_rng) - 1);
}

static uint32_t draw_declared(struct rng *rng, uint32_t size, uint32_t max)
{
	double declared = size * log_uniform(rng, 0.25, 4);

	return declared < max ? (uint32_t)declared + 1 : max;
}

/* RETURN VALUE: usage of a run after work_done_s of its work. */
static struct resources usage_at(const struct simulation *sim,
				 const struct task *task, double work_done_s)
{
	uint64_t key[2] = { task->usage_seed,
			    (uint64_t)(work_done_s / MODEL_USAGE_PERIOD_S) };
	uint64_t hash = hash_bytes(key, sizeof(key));
	double cpu = (double)(hash & 0xffff) / 0x8000 - 1;
	double mem = (double)(hash >> 16 & 0xffff) / 0x8000 - 1;
	struct resources used = task->actual;

	used.cpu_milli = (uint32_t)(used.cpu_milli *
				    (1 + sim->config.usage_variation * cpu));
	used.mem_mb = (uint32_t)(used.mem_mb *
				 (1 + sim->config.usage_variation * mem));
	return used;
}

static uint32_t max_u32(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

static void raise_peak(struct resources *peak, const struct resources *used)
{
	peak->cpu_milli = max_u32(peak->cpu_milli, used->cpu_milli);
	peak->mem_mb = max_u32(peak->mem_mb, used->mem_mb);
}

static void compute_peak(const struct simulation *sim, struct task *task)
{
	struct resources used;
	double work_done_s;

	for (work_done_s = 0; work_done_s <= task->work_s;
	     work_done_s += MODEL_USAGE_PERIOD_S) {
		used = usage_at(sim, task, work_done_s);
		raise_peak(&task->peak, &used);
	}
}

static struct task *add_task(struct simulation *sim, int urgent)
{
	struct task *task = &sim->tasks[sim->task_count++];
	const struct job_class *class;

	memset(task, 0, sizeof(*task));
	task->class = (int)rng_below(&sim->job_rng, MODEL_CLASSES);
	class = &sim->classes[task->class];
	task->urgent = urgent;
	task->actual.cpu_milli =
		(uint32_t)(class->cpu_milli * draw_size_factor(sim));
	task->actual.mem_mb = (uint32_t)(class->mem_mb * draw_size_factor(sim));
	task->declared.cpu_milli =
		draw_declared(&sim->job_rng, task->actual.cpu_milli,
			      model_capacity.cpu_milli);
	task->declared.mem_mb = draw_declared(
		&sim->job_rng, task->actual.mem_mb, model_capacity.mem_mb);
	task->work_s = log_uniform(&sim->job_rng, 60, 1200);
	task->left_s = task->work_s;
	task->usage_seed = rng_next(&sim->job_rng);
	compute_peak(sim, task);
	task->worker = -1;
	task->evicted_at_s = -1000000;
	task->submitted_at_s = sim->now_s;
	return task;
}

static void simulation_init(struct simulation *sim,
			    const struct simulation_config *config)
{
	uint64_t seed = config->seed;
	struct rng rng;
	int i;

	memset(sim, 0, sizeof(*sim));
	sim->config = *config;
	sim->policy = config->policy;
	sim->held_worker = -1;
	sim->estimate = estimate_new();
	rng_seed(&rng, seed);
	rng_seed(&sim->job_rng, seed + 1);
	rng_seed(&sim->rng, seed + 2);
	for (i = 0; i < MODEL_CLASSES; i++) {
		snprintf(sim->classes[i].team, sizeof(sim->classes[i].team),
			 "t%d", i);
		sim->classes[i].cpu_milli = log_uniform(&rng, 1000, 12000);
		sim->classes[i].mem_mb = log_uniform(&rng, 2000, 48000);
	}
	for (i = 0; i < MODEL_WORKERS; i++) {
		sim->views[i].agent = "w";
		sim->views[i].agent_hash = (uint64_t)i + 1;
		sim->views[i].domain = (uint32_t)(i / MODEL_WORKERS_PER_RACK);
		sim->views[i].capacity = model_capacity;
		sim->views[i].request_slots = 8;
		sim->views[i].usable = 1;
	}
}

static struct mstime time_at_s(int at_s)
{
	return mstime_from((int64_t)at_s * 1000);
}

static void set_need(struct simulation *sim, struct task *task)
{
	switch (sim->policy) {
	case POLICY_ORACLE:
		task->need = task->peak;
		return;
	case POLICY_FIRST_FIT:
	case POLICY_RANDOM:
		task->need = task->declared;
		return;
	default:
		estimate_need(sim->estimate, sim->classes[task->class].team,
			      "run", &task->declared, &model_capacity,
			      time_at_s(sim->now_s), &task->need);
	}
}

/* As the agents do: reserves the larger of requested and reported usage. */
static void sum_reserved(struct simulation *sim)
{
	int i;

	for (i = 0; i < MODEL_WORKERS; i++)
		memset(&sim->views[i].used, 0, sizeof(struct resources));
	for (i = 0; i < sim->task_count; i++) {
		const struct task *task = &sim->tasks[i];
		struct resources *used;

		if (task->worker < 0)
			continue;
		used = &sim->views[task->worker].used;
		used->cpu_milli += max_u32(task->need.cpu_milli,
					   task->reported_peak.cpu_milli);
		used->mem_mb +=
			max_u32(task->need.mem_mb, task->reported_peak.mem_mb);
	}
}

static int choose_worker(struct simulation *sim, const struct task *task)
{
	struct placement_request request = {
		.need = task->need,
		.latency_weight_percent = sim->config.latency_weight_percent,
		.eviction_weight_percent = sim->config.eviction_weight_percent
	};
	struct placement result;
	int offset = 0, i;

	if (sim->policy != POLICY_FIRST_FIT && sim->policy != POLICY_RANDOM) {
		placement_choose(&result, &request, sim->views, MODEL_WORKERS,
				 &sim->rng);
		return result.worker;
	}
	if (sim->policy == POLICY_RANDOM)
		offset = (int)rng_below(&sim->rng, MODEL_WORKERS);
	for (i = 0; i < MODEL_WORKERS; i++) {
		int worker = (i + offset) % MODEL_WORKERS;

		if (placement_fits(&task->need, &sim->views[worker].used,
				   &model_capacity))
			return worker;
	}
	return -1;
}

static void start_run(struct simulation *sim, struct task *task, int worker)
{
	struct resources *used = &sim->views[worker].used;

	task->worker = worker;
	task->started_at_s = sim->now_s;
	memset(&task->reported_peak, 0, sizeof(task->reported_peak));
	used->cpu_milli += task->need.cpu_milli;
	used->mem_mb += task->need.mem_mb;
	if (!task->urgent)
		return;
	sim->urgent_runs++;
	sim->urgent_wait_s += sim->now_s - task->submitted_at_s;
}

static void evict_task(struct simulation *sim, struct task *task)
{
	/* The work since the last checkpoint, one per minute, is lost. */
	int since_checkpoint_s = (sim->now_s - task->started_at_s) % 60;

	sim->lost_work_s += since_checkpoint_s;
	task->left_s = fmin(task->left_s + since_checkpoint_s, task->work_s);
	task->worker = -1;
	task->evicted_at_s = sim->now_s;
	sim->evictions++;
	evict_window_add(&sim->evict_window, time_at_s(sim->now_s));
}

/* Evicts the newest non-urgent runs, on any worker, until the job fits. */
static void evict_newest(struct simulation *sim, const struct task *task)
{
	int n, i, newest;

	for (n = 0; n < EVICT_VICTIMS_MAX; n++) {
		if (choose_worker(sim, task) >= 0)
			return;
		newest = -1;
		for (i = 0; i < sim->task_count; i++) {
			const struct task *other = &sim->tasks[i];

			if (other->worker >= 0 && !other->urgent &&
			    (newest < 0 ||
			     other->started_at_s >
				     sim->tasks[newest].started_at_s))
				newest = i;
		}
		if (newest < 0)
			return;
		evict_task(sim, &sim->tasks[newest]);
		sum_reserved(sim);
	}
}

static void evict_cheapest(struct simulation *sim, const struct task *task)
{
	struct evict_candidate candidates[MODEL_TASKS_MAX];
	struct evict_worker workers[MODEL_WORKERS];
	struct evict_choice choice;
	int task_indexes[MODEL_TASKS_MAX], candidate_count = 0, i;

	for (i = 0; i < MODEL_WORKERS; i++) {
		workers[i].capacity = model_capacity;
		workers[i].used = sim->views[i].used;
		workers[i].usable = 1;
	}
	for (i = 0; i < sim->task_count; i++) {
		const struct task *other = &sim->tasks[i];
		struct evict_candidate *c = &candidates[candidate_count];

		if (other->worker < 0)
			continue;
		memset(c, 0, sizeof(*c));
		c->worker = (uint32_t)other->worker;
		c->reserved = other->need;
		c->urgent = other->urgent;
		c->evicted = other->evicted_at_s > 0;
		c->evicted_at = time_at_s(other->evicted_at_s);
		c->checkpointed_at = time_at_s(
			sim->now_s - (sim->now_s - other->started_at_s) % 60);
		task_indexes[candidate_count++] = i;
	}
	evict_choose(&choice, &task->need, candidates, (size_t)candidate_count,
		     workers, MODEL_WORKERS, 60000,
		     evict_window_remaining(&sim->evict_window,
					    time_at_s(sim->now_s)),
		     time_at_s(sim->now_s));
	for (i = 0; i < (int)choice.count; i++)
		evict_task(sim, &sim->tasks[task_indexes[choice.victims[i]]]);
	sum_reserved(sim);
}

static int compare_tasks(const void *a, const void *b)
{
	const struct task *x = a, *y = b;
	const struct placement_order first = { x->urgent, 1,
					       (uint64_t)x->submitted_at_s };
	const struct placement_order second = { y->urgent, 1,
						(uint64_t)y->submitted_at_s };

	return placement_compare(&first, &second);
}

/* As the owner does: keeps a worker free for a job that has waited long. */
static void hold_worker(struct simulation *sim, const struct task *task)
{
	struct resources *used;
	int i;

	if (sim->now_s - task->submitted_at_s < HOLD_AFTER_S ||
	    sim->policy >= POLICY_FIRST_FIT)
		return;
	if (sim->held_worker < 0) {
		sim->held_worker = 0;
		for (i = 1; i < MODEL_WORKERS; i++)
			if (sim->views[i].used.cpu_milli <
			    sim->views[sim->held_worker].used.cpu_milli)
				sim->held_worker = i;
	}
	used = &sim->views[sim->held_worker].used;
	used->cpu_milli += task->need.cpu_milli;
	used->mem_mb += task->need.mem_mb;
}

static void place_jobs(struct simulation *sim)
{
	int failure_count = 0, unplaced_count = 0, i, worker;

	qsort(sim->tasks, (size_t)sim->task_count, sizeof(sim->tasks[0]),
	      compare_tasks);
	sum_reserved(sim);
	for (i = 0;
	     i < sim->task_count && failure_count < PLACEMENT_FAILURES_MAX;
	     i++) {
		struct task *task = &sim->tasks[i];

		if (task->worker >= 0)
			continue;
		set_need(sim, task);
		worker = choose_worker(sim, task);
		if (worker < 0 && task->urgent) {
			if (sim->policy == POLICY_PLACEMENT)
				evict_cheapest(sim, task);
			else
				evict_newest(sim, task);
			worker = choose_worker(sim, task);
		}
		if (worker >= 0) {
			start_run(sim, task, worker);
			continue;
		}
		failure_count++;
		if (!unplaced_count++)
			hold_worker(sim, task);
	}
	if (!unplaced_count)
		sim->held_worker = -1;
}

static double work_done_s(const struct task *task)
{
	return task->work_s - task->left_s;
}

static void oom_kill(struct simulation *sim, int worker, double *mem_mb)
{
	while (*mem_mb > model_capacity.mem_mb) {
		struct task *largest = NULL;
		uint32_t largest_mb = 0;
		int i;

		for (i = 0; i < sim->task_count; i++) {
			struct task *task = &sim->tasks[i];
			uint32_t used_mb;

			if (task->worker != worker)
				continue;
			used_mb = usage_at(sim, task, work_done_s(task)).mem_mb;
			if (largest && used_mb <= largest_mb)
				continue;
			largest = task;
			largest_mb = used_mb;
		}
		if (!largest)
			return;
		*mem_mb -= largest_mb;
		largest->worker = -1;
		largest->left_s = largest->work_s;
		sim->oom_kills++;
		if (++largest->oom_kills < OOM_KILLS_MAX)
			continue;
		sim->failed_jobs++;
		*largest = sim->tasks[--sim->task_count];
	}
}

/* The reported usage is REPORT_LAG_S old. */
static void report_usage(struct simulation *sim, struct task *task)
{
	struct resources used;

	if (sim->now_s - task->started_at_s < REPORT_LAG_S ||
	    sim->policy >= POLICY_FIRST_FIT)
		return;
	used = usage_at(sim, task, fmax(work_done_s(task) - REPORT_LAG_S, 0));
	raise_peak(&task->reported_peak, &used);
}

/* As the owner does: observes a peak only if it has grown. */
static void sample_peak(struct simulation *sim, struct task *task)
{
	const struct resources *peak = &task->reported_peak;

	if (sim->policy >= POLICY_FIRST_FIT ||
	    (peak->cpu_milli <= task->sampled_peak.cpu_milli &&
	     peak->mem_mb <= task->sampled_peak.mem_mb))
		return;
	task->sampled_peak = *peak;
	estimate_observe(sim->estimate, sim->classes[task->class].team, "run",
			 peak, time_at_s(sim->now_s));
}

static void finish_run(struct simulation *sim, struct task *task)
{
	const struct resources *actual = &task->actual;
	double share =
		fmax((double)actual->cpu_milli / model_capacity.cpu_milli,
		     (double)actual->mem_mb / model_capacity.mem_mb);

	sim->finished_runs++;
	sim->work_done_s += task->work_s * share;
	sample_peak(sim, task);
	*task = sim->tasks[--sim->task_count];
}

static void advance_runs(struct simulation *sim)
{
	double cpu_milli[MODEL_WORKERS] = { 0 }, mem_mb[MODEL_WORKERS] = { 0 };
	int i;

	for (i = 0; i < sim->task_count; i++) {
		const struct task *task = &sim->tasks[i];
		struct resources used;

		if (task->worker < 0)
			continue;
		used = usage_at(sim, task, work_done_s(task));
		cpu_milli[task->worker] += used.cpu_milli;
		mem_mb[task->worker] += used.mem_mb;
	}
	for (i = 0; i < MODEL_WORKERS; i++) {
		sim->cpu_overcommit_s +=
			cpu_milli[i] > model_capacity.cpu_milli;
		sim->mem_overcommit_s += mem_mb[i] > model_capacity.mem_mb;
		oom_kill(sim, i, &mem_mb[i]);
	}
	for (i = sim->task_count; i-- > 0;) {
		struct task *task = &sim->tasks[i];

		if (task->worker < 0)
			continue;
		task->left_s -= fmin(1, model_capacity.cpu_milli /
						cpu_milli[task->worker]);
		report_usage(sim, task);
		if (sim->now_s - task->started_at_s ==
		    ESTIMATE_SAMPLE_DELAY_MS / 1000)
			sample_peak(sim, task);
		if (task->left_s <= 0)
			finish_run(sim, task);
	}
}

void simulation_run(struct simulation *sim,
		    const struct simulation_config *config)
{
	int queued_count, i;

	simulation_init(sim, config);
	for (sim->now_s = 0; sim->now_s < MODEL_DURATION_S; sim->now_s++) {
		queued_count = 0;
		for (i = 0; i < sim->task_count; i++)
			queued_count += sim->tasks[i].worker < 0;
		for (; queued_count < MODEL_QUEUED_JOBS; queued_count++)
			add_task(sim, 0);
		if (sim->now_s % URGENT_INTERVAL_S == URGENT_INTERVAL_S - 1) {
			add_task(sim, 1);
			sim->urgent_jobs++;
		}
		place_jobs(sim);
		advance_runs(sim);
	}
	estimate_delete(sim->estimate);
}
