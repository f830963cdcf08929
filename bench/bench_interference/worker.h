#ifndef BENCH_INTERFERENCE_WORKER_H
#define BENCH_INTERFERENCE_WORKER_H

#include <stdint.h>

/*
 * NAME
 *	worker - model of one worker with a service and batch tasks
 *
 * NOTES
 *	Time passes in seconds. A task slows the service by an amount of its
 *	class, in proportion to its speed; the amounts shift every SHIFT_S, and
 *	grow with the load. Usage is reported LAG_S late. A task that ends or
 *	is evicted is replaced by the next job of the backlog; an evicted job
 *	loses RESTART_S of work. The readers arrive at once at BURST_FROM_S.
 */
#define SECONDS 3600
#define ALONE_S 60 /* no batch task before */
#define SHIFT_S 600
#define BURST_FROM_S 1500
#define BURST_UNTIL_S 2100
#define LAG_S 5
#define RESTART_S 15
#define TASKS 6
#define CLASSES 8
#define CPU_MILLI 64000
#define TASK_CPU_MILLI 8000

enum protection {
	PROTECT_PRODUCT,
	PROTECT_NONE,
	PROTECT_STATIC, /* every task at 50% */
	PROTECT_EVICT,	/* evicts the task that uses most */
	PROTECT_ORACLE, /* knows the slowdowns */
	PROTECT_ALONE,	/* no batch tasks */
	PROTECT_COUNT
};

struct outcome_sum {
	double p50_ms, p99_ms;
	double work_s; /* seconds of full-speed work that remain */
	uint32_t evictions;
	uint64_t requests;
	double over_s; /* seconds with over 1.2 times the latency alone */
};

void worker_run(enum protection protection, uint64_t seed,
		struct outcome_sum *sum);

#endif
