#ifndef BENCH_INTERFERENCE_WORKER_H
#define BENCH_INTERFERENCE_WORKER_H

#include <stdint.h>

/*
 * NAME
 *	worker - model of one worker with a service and batch tasks
 *
 * NOTES
 *	Steps are 1 s. A task slows the service by a factor of its class times
 *	its speed; the factors change every SLOWDOWN_INTERVAL_S and grow with
 *	the load. Usage is reported USAGE_DELAY_S late. The next job of the
 *	backlog replaces a task that ends or is evicted; an evicted job loses
 *	RESTART_COST_S of work. The request rate jumps at BURST_START_S.
 */
#define DURATION_S 3600
#define BATCH_START_S 60 /* no batch task runs before */
#define SLOWDOWN_INTERVAL_S 600
#define BURST_START_S 1500
#define BURST_END_S 2100
#define USAGE_DELAY_S 5
#define RESTART_COST_S 15
#define TASK_COUNT 6
#define CLASS_COUNT 8
#define WORKER_CPU_MILLI 64000
#define TASK_CPU_MILLI 8000

enum protection {
	PROTECT_PRODUCT,
	PROTECT_NONE,
	PROTECT_STATIC_50,     /* runs every task at 50% speed */
	PROTECT_EVICT_AT_ONCE, /* evicts the task with the highest CPU usage */
	PROTECT_ORACLE,	       /* knows the slowdown of each class */
	PROTECT_ALONE,	       /* no batch tasks */
	PROTECT_COUNT
};

struct worker_result {
	double p50_ms, p99_ms;
	double work_s; /* work kept, in seconds at full speed */
	uint32_t evictions;
	uint64_t requests;
	double degraded_s; /* over 1.2 times the latency without tasks */
};

void worker_simulate(enum protection protection, uint64_t seed,
		     struct worker_result *result);

#endif
