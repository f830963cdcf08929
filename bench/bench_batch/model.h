#ifndef BENCH_BATCH_MODEL_H
#define BENCH_BATCH_MODEL_H

#include <stdint.h>

#include "estimate.h"
#include "evict.h"
#include "placement.h"
#include "rng.h"

/*
 * A small model of 11 workers, one second a step, to compare placement with
 * simple baselines. A run uses its true size all the time. A VM whose
 * processors are overcommitted slows all of its runs in proportion; one whose
 * memory is overcommitted loses its newest run, which starts again from the
 * beginning. There are always MODEL_WAITING jobs that wait.
 */
#define MODEL_WORKERS 11
#define MODEL_RACK 3
#define MODEL_CLASSES 24
#define MODEL_WAITING 200
#define MODEL_HOURS 4
#define MODEL_STEPS (MODEL_HOURS * 3600)
#define MODEL_TASKS_MAX 4096

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
	struct resources actual, declared, need;
	double work, left; /* seconds at full speed */
	int worker;	   /* -1 while waiting */
	int started, submitted, evicted;
	int sampled; /* its usage is known to the estimates */
};

struct world {
	enum policy policy;
	double variation; /* of true sizes within a class, either way */
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
	int cpu_over, mem_over, killed;
	double lost;
};

extern const struct resources model_capacity;

void world_run(struct world *world, enum policy policy, uint64_t seed,
	       double variation);

#endif
