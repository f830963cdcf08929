#include "worker.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "interference.h"
#include "mem.h"
#include "rng.h"

#define SLOTS 8
#define BASE_MS 20.0
#define RATE 60
#define BURST_RATE 240
/* Sigma of the logarithm of one request's latency. */
#define SPREAD 0.4
#define HEAVY_PERCENT 15
#define ORACLE_EXCESS 0.15

struct job {
	int class;
	int idle_s; /* until it starts */
	double left_s;
	double speed;
	uint32_t usage[LAG_S]; /* ring */
	struct interference_task task;
};

struct model {
	struct rng jobs, requests, shifts;
	enum protection protection;
	double slowdown[CLASSES];
	struct job jobs_running[TASKS];
	struct interference interference;
	struct interference_sample sample;
	double excess; /* as evict-at-once measures it */
	double alone_ms;
	double backlog;
	int64_t evicted_at;
	float *latency;
	size_t count, room;
	struct outcome_sum *sum;
};

static void shift(struct model *m)
{
	size_t i;

	for (i = 0; i < CLASSES; i++) {
		int heavy = rng_below(&m->shifts, 100) < HEAVY_PERCENT;
		double unit = rng_unit(&m->shifts);

		m->slowdown[i] = heavy ? 0.3 + 0.9 * unit : 0.02 * unit;
	}
}

static void next_job(struct model *m, struct job *job)
{
	static const char *const names[CLASSES] = { "a", "b", "c", "d",
						    "e", "f", "g", "h" };

	memset(job, 0, sizeof(*job));
	job->class = (int)rng_below(&m->jobs, CLASSES);
	job->idle_s = 2;
	job->left_s = 120 + 480 * rng_unit(&m->jobs);
	job->speed = 1;
	job->task.class_key = interference_class_key(names[job->class]);
	job->task.declared.cpu_milli = TASK_CPU_MILLI;
	job->task.declared.mem_mb = 1000;
}

static double load_of(int64_t second)
{
	return second >= BURST_FROM_S && second < BURST_UNTIL_S ? 1 : 0;
}

static double slowdown_of(const struct model *m, const struct job *job,
			  int64_t second)
{
	return m->slowdown[job->class] * (1 + 0.5 * load_of(second));
}

static double gaussian(struct rng *rng)
{
	double u = 1 - rng_unit(rng), v = rng_unit(rng);

	return sqrt(-2 * log(u)) * cos(2 * M_PI * v);
}

static void add_latency(struct model *m, double ms)
{
	if (m->count == m->room) {
		m->room = m->room ? 2 * m->room : 65536;
		m->latency = xrealloc(m->latency, m->room * sizeof(float));
	}
	m->latency[m->count++] = (float)ms;
}

/* Requests wait for a slot; the agent does not count the wait. */
static void serve(struct model *m, int64_t second, double factor)
{
	int rate = load_of(second) > 0 ? BURST_RATE : RATE;
	uint32_t count = (uint32_t)rate * 9 / 10 +
			 rng_below(&m->requests, (uint32_t)rate / 5);
	double mean = exp(SPREAD * SPREAD / 2);
	double busy = fmin(count * BASE_MS * factor * mean / 1000, SLOTS);
	double base = BASE_MS * (1 + 0.01 * busy) * factor, sum = 0;
	double room = SLOTS * 1000 / (base * mean);
	uint32_t i;

	m->backlog = fmin(fmax(m->backlog + count - room, 0), SLOTS);
	for (i = 0; i < count; i++) {
		double ms = base * exp(SPREAD * gaussian(&m->requests));

		sum += ms;
		add_latency(m, ms + m->backlog * 1000 / room);
	}
	m->sample.latency_us = 1000 * sum / count;
	m->sample.requests = count;
	m->sample.in_progress = (uint32_t)ceil(busy);
	m->sum->over_s += factor > 1.2;
}

static double run_tasks(struct model *m, int64_t second)
{
	double factor = 1;
	size_t i;

	for (i = 0; i < TASKS; i++) {
		struct job *job = &m->jobs_running[i];
		uint32_t *slot = &job->usage[second % LAG_S];

		job->task.used.cpu_milli = *slot;
		*slot = 0;
		if (job->idle_s > 0) {
			job->task.is_running = --job->idle_s == 0;
			continue;
		}
		*slot = (uint32_t)(TASK_CPU_MILLI * job->speed);
		factor += slowdown_of(m, job, second) * job->speed;
		job->left_s -= job->speed;
		m->sum->work_s += job->speed;
		if (job->left_s <= 0)
			next_job(m, job);
	}
	return factor;
}

static void evict(struct model *m, struct job *job, int64_t second)
{
	m->sum->evictions++;
	m->sum->work_s -= RESTART_S;
	m->evicted_at = second;
	next_job(m, job);
}

static void protect_product(struct model *m, int64_t second)
{
	struct interference_task *tasks[TASKS];
	size_t i;

	for (i = 0; i < TASKS; i++)
		tasks[i] = &m->jobs_running[i].task;
	interference_tick(&m->interference, &m->sample, tasks, TASKS,
			  mstime_from(second * 1000));
	for (i = 0; i < TASKS; i++) {
		struct job *job = &m->jobs_running[i];

		if (!tasks[i]->is_running)
			continue;
		job->speed = tasks[i]->level_percent / 100.0;
		if (tasks[i]->must_evict)
			evict(m, job, second);
	}
}

static void protect_static(struct model *m, int64_t second)
{
	size_t i;

	for (i = 0; i < TASKS; i++)
		m->jobs_running[i].speed = 0.5;
}

/* The baseline is exact here; the measured latency is smoothed. */
static void protect_evict(struct model *m, int64_t second)
{
	struct job *most = NULL;
	double excess = m->sample.latency_us / 1000 /
				(BASE_MS * exp(SPREAD * SPREAD / 2)) -
			1;
	size_t i;

	m->excess += (excess - m->excess) / 2;
	if (m->excess < 0.2 || second - m->evicted_at < 2)
		return;
	for (i = 0; i < TASKS; i++) {
		struct job *job = &m->jobs_running[i];

		if (job->task.is_running &&
		    (!most ||
		     job->task.used.cpu_milli > most->task.used.cpu_milli))
			most = job;
	}
	if (most)
		evict(m, most, second);
}

static int by_slowdown(const void *a, const void *b, void *arg)
{
	const struct model *m = arg;
	double x = m->slowdown[(*(struct job *const *)a)->class];
	double y = m->slowdown[(*(struct job *const *)b)->class];

	return (x > y) - (x < y);
}

/* Spends the allowed excess on the tasks that cost least of it. */
static void protect_oracle(struct model *m, int64_t second)
{
	struct job *order[TASKS];
	double left = ORACLE_EXCESS;
	size_t i;

	for (i = 0; i < TASKS; i++)
		order[i] = &m->jobs_running[i];
	qsort_r(order, TASKS, sizeof(order[0]), by_slowdown, m);
	for (i = 0; i < TASKS; i++) {
		double cost = slowdown_of(m, order[i], second + 1);

		order[i]->speed = fmin(1, left / fmax(cost, 1e-9));
		left -= cost * order[i]->speed;
	}
}

static void protect_none(struct model *m, int64_t second)
{
}

typedef void (*protect_fn)(struct model *m, int64_t second);

static const protect_fn protect[PROTECT_COUNT] = {
	[PROTECT_PRODUCT] = protect_product, [PROTECT_NONE] = protect_none,
	[PROTECT_STATIC] = protect_static,   [PROTECT_EVICT] = protect_evict,
	[PROTECT_ORACLE] = protect_oracle,   [PROTECT_ALONE] = protect_none,
};

static int by_value(const void *a, const void *b)
{
	float x = *(const float *)a, y = *(const float *)b;

	return (x > y) - (x < y);
}

static void start(struct model *m, uint64_t seed)
{
	size_t i;

	rng_seed(&m->jobs, seed);
	rng_seed(&m->requests, seed + 1000);
	rng_seed(&m->shifts, seed + 2000);
	interference_init(&m->interference);
	m->sample.capacity.cpu_milli = CPU_MILLI;
	m->sample.capacity.mem_mb = 250000;
	m->sample.weight_latency = 50;
	m->sample.weight_eviction = 50;
	shift(m);
	for (i = 0; i < TASKS; i++) {
		next_job(m, &m->jobs_running[i]);
		m->jobs_running[i].idle_s = ALONE_S;
	}
}

void worker_run(enum protection protection, uint64_t seed,
		struct outcome_sum *sum)
{
	struct model m = { .protection = protection, .sum = sum };
	int64_t second;

	memset(sum, 0, sizeof(*sum));
	start(&m, seed);
	for (second = 0; second < SECONDS; second++) {
		if (second && second % SHIFT_S == 0)
			shift(&m);
		serve(&m, second,
		      protection == PROTECT_ALONE ? 1 : run_tasks(&m, second));
		protect[protection](&m, second);
	}
	qsort(m.latency, m.count, sizeof(float), by_value);
	sum->requests = m.count;
	sum->p50_ms = m.latency[m.count / 2];
	sum->p99_ms = m.latency[m.count * 99 / 100];
	free(m.latency);
}
