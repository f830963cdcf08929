#ifndef BENCH_BATCH_MODEL_H
#define BENCH_BATCH_MODEL_H

#include <stdint.h>

#include "estimate.h"
#include "evict.h"
#include "placement.h"
#include "rng.h"

/*
 * Simulates 11 workers in steps of one second, to compare placement with
 * simple baselines. A run uses its true size times 1 +- usage_variation, which
 * changes every MODEL_USAGE_PERIOD_S of its work. If the CPUs of a VM are
 * overcommitted, all its runs slow down in proportion. If its memory is
 * overcommitted, the run that uses most of it is killed, as by the kernel's
 * out-of-memory killer; it restarts from the beginning, and its job fails
 * after three kills. MODEL_QUEUED_JOBS jobs are always queued.
 */
#define MODEL_WORKERS 11
#define MODEL_WORKERS_PER_RACK 3
#define MODEL_CLASSES 24
#define MODEL_QUEUED_JOBS 200
#define MODEL_HOURS 4
#define MODEL_DURATION_S (MODEL_HOURS * 3600)
#define MODEL_TASKS_MAX 4096
#define MODEL_USAGE_PERIOD_S 30

enum policy {
	POLICY_PLACEMENT,
	POLICY_EVICT_NEWEST, /* as above, but evicts the newest runs */
	POLICY_FIRST_FIT,
	POLICY_RANDOM,
	POLICY_ORACLE,
	POLICY_COUNT
};

extern const char *const policy_names[POLICY_COUNT];

struct job_class {
	char team[16];
	double cpu_milli, mem_mb; /* mean */
};

struct task {
	int class;
	int urgent;
	struct resources actual;	/* mean usage */
	struct resources peak;		/* highest usage of the whole run */
	struct resources reported_peak; /* highest usage reported so far */
	struct resources declared, need;
	uint64_t usage_seed;   /* of its usage over time */
	double work_s, left_s; /* at full speed */
	int worker;	       /* -1 while queued */
	int started_at_s, submitted_at_s, evicted_at_s;
	int oom_kills;
	struct resources sampled_peak; /* peak last passed to the estimates */
};

struct simulation_config {
	enum policy policy;
	uint64_t seed;
	double size_variation;	/* of true sizes in a class: 1 +- this */
	double usage_variation; /* of usage within a run: 1 +- this */
	int64_t latency_weight_percent, eviction_weight_percent;
};

struct simulation {
	struct simulation_config config;
	enum policy policy;
	struct rng rng, job_rng;
	struct job_class classes[MODEL_CLASSES];
	struct task tasks[MODEL_TASKS_MAX];
	int task_count;
	struct worker_view views[MODEL_WORKERS];
	struct estimate *estimate;
	struct evict_window evict_window;
	int held_worker;
	int now_s;

	/* Results */
	double work_done_s; /* weighted by the larger share of a VM */
	int finished_runs, evictions, urgent_jobs, urgent_wait_s, urgent_runs;
	int cpu_overcommit_s, mem_overcommit_s, oom_kills, failed_jobs;
	double lost_work_s;
};

extern const struct resources model_capacity;

void simulation_run(struct simulation *sim,
		    const struct simulation_config *config);

#endif
