#ifndef BENCH_BATCH_MODEL_H
#define BENCH_BATCH_MODEL_H

#include <stdint.h>

#include "estimate.h"
#include "evict.h"
#include "placement.h"
#include "rng.h"

/*
 * A small model of 11 workers, one second a step, to compare placement with
 * simple baselines. A run uses its true size, times 1 +- swing, which changes
 * every MODEL_PHASE_S of its work. A VM whose processors are overcommitted
 * slows all of its runs in proportion. One whose memory is overcommitted
 * loses the run that uses most of it, as the kernel's out-of-memory killer
 * chooses; the run starts again from the beginning, and the job has failed
 * when this has happened three times. There are always MODEL_WAITING jobs
 * that wait.
 */
#define MODEL_WORKERS 11
#define MODEL_RACK 3
#define MODEL_CLASSES 24
#define MODEL_WAITING 200
#define MODEL_HOURS 4
#define MODEL_STEPS (MODEL_HOURS * 3600)
#define MODEL_TASKS_MAX 4096
#define MODEL_PHASE_S 30

enum policy {
	POLICY_OWN,
	POLICY_OWN_NEWEST, /* the same, but evicts the newest runs */
	POLICY_FIRST_FIT,
	POLICY_RANDOM,
	POLICY_ORACLE,
	POLICY_COUNT
};

extern const char *const policy_names[POLICY_COUNT];

struct class
{
	char team[16];
	double cpu, mem; /* mean */
};

struct task {
	int class;
	int urgent;
	struct resources actual; /* mean of the run */
	struct resources peak;	 /* most that it uses, ever */
	struct resources most;	 /* most that was reported of this run */
	struct resources declared, need;
	uint64_t shape;	   /* seed of how its usage changes */
	double work, left; /* seconds at full speed */
	int worker;	   /* -1 while waiting */
	int started, submitted, evicted;
	int kills;
	struct resources sampled; /* peak known to the estimates */
};

struct world_setup {
	enum policy policy;
	uint64_t seed;
	double variation; /* of true sizes within a class, either way */
	double swing;	  /* of usage within a run, either way */
	int64_t weight_latency, weight_eviction; /* percent */
};

struct world {
	struct world_setup setup;
	enum policy policy;
	struct rng rng, jobs;
	struct class classes[MODEL_CLASSES];
	struct task tasks[MODEL_TASKS_MAX];
	int count;
	struct worker_view views[MODEL_WORKERS];
	struct estimate *estimate;
	struct evict_window window;
	int hold;
	int now;

	/* Results */
	double done; /* seconds times the larger share of a VM */
	int finished, evictions, urgent, urgent_wait, urgent_started;
	int cpu_over, mem_over, killed, failed;
	double lost;
};

extern const struct resources model_capacity;

void world_run(struct world *world, const struct world_setup *setup);

#endif
