#ifndef CATKINHILL_EVICT_H
#define CATKINHILL_EVICT_H

#include <stddef.h>
#include <stdint.h>

#include "message.h"
#include "mstime.h"

/*
 * NAME
 *	evict - chooses the runs to evict for an urgent job
 *
 * NOTES
 *	All victims are at one worker. The worker and the runs with the least
 *	lost work are chosen, which is CPU time since the last checkpoint. A
 *	job that was evicted less than pause_ms ago is not evicted again, and
 *	at most EVICT_WINDOW_RUNS_MAX runs are evicted in EVICT_WINDOW_MS, so
 *	that a burst of urgent jobs cannot evict batch jobs over and over.
 */
#define EVICT_WINDOW_MS 60000
#define EVICT_WINDOW_RUNS_MAX 32
#define EVICT_VICTIMS_MAX 8

struct evict_window {
	struct mstime times[EVICT_WINDOW_RUNS_MAX]; /* ring of the latest */
	uint32_t count; /* of all evictions so far */
};

/* RETURN VALUE: number of runs that may still be evicted now. */
uint32_t evict_window_remaining(const struct evict_window *window,
				struct mstime now);
void evict_window_add(struct evict_window *window, struct mstime now);

struct evict_candidate {
	uint32_t worker; /* index of its worker */
	struct resources reserved;
	int urgent;
	int evicted; /* evicted before; evicted_at is valid */
	struct mstime evicted_at;
	struct mstime checkpointed_at; /* or start of the run */
};

struct evict_worker {
	struct resources capacity;
	struct resources used;
	unsigned int usable : 1; /* up, not drained, not ejected */
};

struct evict_choice {
	uint32_t victims[EVICT_VICTIMS_MAX]; /* indexes of candidates */
	uint32_t count; /* 0: evictions cannot free enough */
	uint32_t worker;
	int64_t lost_cpu_ms; /* milliseconds times CPUs */
};

void evict_choose(struct evict_choice *choice, const struct resources *need,
		  const struct evict_candidate *candidates, size_t count,
		  const struct evict_worker *workers, size_t worker_count,
		  int64_t pause_ms, uint32_t limit, struct mstime now);

#endif
