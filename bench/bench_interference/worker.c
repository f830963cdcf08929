#include "worker.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "interference.h"
#include "mem.h"
#include "rng.h"

#define REQUEST_SLOTS 8
#define BASE_LATENCY_MS 20.0
#define RATE_PER_S 60
#define BURST_RATE_PER_S 240
/* standard deviation of the logarithm of a request's latency */
#define LATENCY_SIGMA 0.4
#define HIGH_SLOWDOWN_PERCENT 15
#define ORACLE_EXCESS_MAX 0.15

struct job {
	int class;
	int start_delay_s;
	double left_s;
	double speed;
	uint32_t usage[USAGE_DELAY_S]; /* ring buffer */
	struct interference_task task;
};

struct model {
	struct rng job_rng, request_rng, slowdown_rng;
	enum protection protection;
	double slowdown[CLASS_COUNT];
	struct job running_jobs[TASK_COUNT];
	struct interference interference;
	struct interference_sample sample;
	double excess_latency; /* smoothed, used by evict-at-once */
	double alone_ms;
	double backlog;
	int64_t evicted_at_s;
	float *latencies_ms;
	size_t latency_count, latency_capacity;
	struct worker_result *result;
};

static void draw_slowdowns(struct model *m)
{
	size_t i;

	for (i = 0; i < CLASS_COUNT; i++) {
		int is_high = rng_below(&m->slowdown_rng, 100) <
			      HIGH_SLOWDOWN_PERCENT;
		double unit = rng_unit(&m->slowdown_rng);

		m->slowdown[i] = is_high ? 0.3 + 0.9 * unit : 0.02 * unit;
	}
}

static void start_next_job(struct model *m, struct job *job)
{
	static const char *const names[CLASS_COUNT] = { "a", "b", "c", "d",
							"e", "f", "g", "h" };

	memset(job, 0, sizeof(*job));
	job->class = (int)rng_below(&m->job_rng, CLASS_COUNT);
	job->start_delay_s = 2;
	job->left_s = 120 + 480 * rng_unit(&m->job_rng);
	job->speed = 1;
	job->task.class_key = interference_class_key(names[job->class]);
	job->task.declared.cpu_milli = TASK_CPU_MILLI;
	job->task.declared.mem_mb = 1000;
}

static double burst_load_at(int64_t now_s)
{
	return now_s >= BURST_START_S && now_s < BURST_END_S ? 1 : 0;
}

static double slowdown_at(const struct model *m, const struct job *job,
			  int64_t now_s)
{
	return m->slowdown[job->class] * (1 + 0.5 * burst_load_at(now_s));
}

static double gaussian(struct rng *rng)
{
	double u = 1 - rng_unit(rng), v = rng_unit(rng);

	return sqrt(-2 * log(u)) * cos(2 * M_PI * v);
}

static void add_latency(struct model *m, double ms)
{
	if (m->latency_count == m->latency_capacity) {
		m->latency_capacity =
			m->latency_capacity ? 2 * m->latency_capacity : 65536;
		m->latencies_ms = xrealloc(m->latencies_ms,
					   m->latency_capacity * sizeof(float));
	}
	m->latencies_ms[m->latency_count++] = (float)ms;
}

/* Requests wait for a slot; the agent's latency excludes the wait. */
static void serve_requests(struct model *m, int64_t now_s,
			   double latency_factor)
{
	int rate = burst_load_at(now_s) > 0 ? BURST_RATE_PER_S : RATE_PER_S;
	uint32_t count = (uint32_t)rate * 9 / 10 +
			 rng_below(&m->request_rng, (uint32_t)rate / 5);
	double mean_factor = exp(LATENCY_SIGMA * LATENCY_SIGMA / 2);
	double busy_slots = fmin(count * BASE_LATENCY_MS * latency_factor *
					 mean_factor / 1000,
				 REQUEST_SLOTS);
	double base_ms = BASE_LATENCY_MS * (1 + 0.01 * busy_slots) *
			 latency_factor,
	       sum_ms = 0;
	double capacity_per_s = REQUEST_SLOTS * 1000 / (base_ms * mean_factor);
	uint32_t i;

	m->backlog = fmin(fmax(m->backlog + count - capacity_per_s, 0),
			  REQUEST_SLOTS);
	for (i = 0; i < count; i++) {
		double ms = base_ms *
			    exp(LATENCY_SIGMA * gaussian(&m->request_rng));

		sum_ms += ms;
		add_latency(m, ms + m->backlog * 1000 / capacity_per_s);
	}
	m->sample.latency_us = 1000 * sum_ms / count;
	m->sample.requests = count;
	m->sample.in_progress = (uint32_t)ceil(busy_slots);
	m->result->degraded_s += latency_factor > 1.2;
}

static double run_tasks(struct model *m, int64_t now_s)
{
	double latency_factor = 1;
	size_t i;

	for (i = 0; i < TASK_COUNT; i++) {
		struct job *job = &m->running_jobs[i];
		uint32_t *slot = &job->usage[now_s % USAGE_DELAY_S];

		job->task.used.cpu_milli = *slot;
		*slot = 0;
		if (job->start_delay_s > 0) {
			job->task.is_running = --job->start_delay_s == 0;
			continue;
		}
		*slot = (uint32_t)(TASK_CPU_MILLI * job->speed);
		latency_factor += slowdown_at(m, job, now_s) * job->speed;
		job->left_s -= job->speed;
		m->result->work_s += job->speed;
		if (job->left_s <= 0)
			start_next_job(m, job);
	}
	return latency_factor;
}

static void evict(struct model *m, struct job *job, int64_t now_s)
{
	m->result->evictions++;
	m->result->work_s -= RESTART_COST_S;
	m->evicted_at_s = now_s;
	start_next_job(m, job);
}

static void protect_product(struct model *m, int64_t now_s)
{
	struct interference_task *tasks[TASK_COUNT];
	size_t i;

	for (i = 0; i < TASK_COUNT; i++)
		tasks[i] = &m->running_jobs[i].task;
	interference_tick(&m->interference, &m->sample, tasks, TASK_COUNT,
			  mstime_from(now_s * 1000));
	for (i = 0; i < TASK_COUNT; i++) {
		struct job *job = &m->running_jobs[i];

		if (!tasks[i]->is_running)
			continue;
		job->speed = tasks[i]->level_percent / 100.0;
		if (tasks[i]->must_evict)
			evict(m, job, now_s);
	}
}

static void protect_static(struct model *m, int64_t now_s)
{
	size_t i;

	for (i = 0; i < TASK_COUNT; i++)
		m->running_jobs[i].speed = 0.5;
}

/* Smooths the measured latency; the baseline is the exact one. */
static void protect_evict(struct model *m, int64_t now_s)
{
	struct job *largest = NULL;
	double excess = m->sample.latency_us / 1000 /
				(BASE_LATENCY_MS *
				 exp(LATENCY_SIGMA * LATENCY_SIGMA / 2)) -
			1;
	size_t i;

	m->excess_latency += (excess - m->excess_latency) / 2;
	if (m->excess_latency < 0.2 || now_s - m->evicted_at_s < 2)
		return;
	for (i = 0; i < TASK_COUNT; i++) {
		struct job *job = &m->running_jobs[i];

		if (job->task.is_running &&
		    (!largest ||
		     job->task.used.cpu_milli > largest->task.used.cpu_milli))
			largest = job;
	}
	if (largest)
		evict(m, largest, now_s);
}

static int compare_slowdowns(const void *a, const void *b, void *arg)
{
	const struct model *m = arg;
	double x = m->slowdown[(*(struct job *const *)a)->class];
	double y = m->slowdown[(*(struct job *const *)b)->class];

	return (x > y) - (x < y);
}

/* Gives the allowed excess latency to the tasks that cause least of it. */
static void protect_oracle(struct model *m, int64_t now_s)
{
	struct job *by_cost[TASK_COUNT];
	double excess_left = ORACLE_EXCESS_MAX;
	size_t i;

	for (i = 0; i < TASK_COUNT; i++)
		by_cost[i] = &m->running_jobs[i];
	qsort_r(by_cost, TASK_COUNT, sizeof(by_cost[0]), compare_slowdowns, m);
	for (i = 0; i < TASK_COUNT; i++) {
		double cost = slowdown_at(m, by_cost[i], now_s + 1);

		by_cost[i]->speed = fmin(1, excess_left / fmax(cost, 1e-9));
		excess_left -= cost * by_cost[i]->speed;
	}
}

static void protect_none(struct model *m, int64_t now_s)
{
}

typedef void (*protect_fn)(struct model *m, int64_t now_s);

static const protect_fn protect[PROTECT_COUNT] = {
	[PROTECT_PRODUCT] = protect_product,
	[PROTECT_NONE] = protect_none,
	[PROTECT_STATIC_50] = protect_static,
	[PROTECT_EVICT_AT_ONCE] = protect_evict,
	[PROTECT_ORACLE] = protect_oracle,
	[PROTECT_ALONE] = protect_none,
};

static int compare_floats(const void *a, const void *b)
{
	float x = *(const float *)a, y = *(const float *)b;

	return (x > y) - (x < y);
}

static void model_init(struct model *m, uint64_t seed)
{
	size_t i;

	rng_seed(&m->job_rng, seed);
	rng_seed(&m->request_rng, seed + 1000);
	rng_seed(&m->slowdown_rng, seed + 2000);
	interference_init(&m->interference);
	m->sample.capacity.cpu_milli = WORKER_CPU_MILLI;
	m->sample.capacity.mem_mb = 250000;
	m->sample.weight_latency = 50;
	m->sample.weight_eviction = 50;
	draw_slowdowns(m);
	for (i = 0; i < TASK_COUNT; i++) {
		start_next_job(m, &m->running_jobs[i]);
		m->running_jobs[i].start_delay_s = BATCH_START_S;
	}
}

void worker_simulate(enum protection protection, uint64_t seed,
		     struct worker_result *result)
{
	struct model m = { .protection = protection, .result = result };
	int64_t now_s;

	memset(result, 0, sizeof(*result));
	model_init(&m, seed);
	for (now_s = 0; now_s < DURATION_S; now_s++) {
		if (now_s && now_s % SLOWDOWN_INTERVAL_S == 0)
			draw_slowdowns(&m);
		serve_requests(
			&m, now_s,
			protection == PROTECT_ALONE ? 1 : run_tasks(&m, now_s));
		protect[protection](&m, now_s);
	}
	qsort(m.latencies_ms, m.latency_count, sizeof(float), compare_floats);
	result->requests = m.latency_count;
	result->p50_ms = m.latencies_ms[m.latency_count / 2];
	result->p99_ms = m.latencies_ms[m.latency_count * 99 / 100];
	free(m.latencies_ms);
}
