#ifndef CATKINHILL_EVICT_H
#define CATKINHILL_EVICT_H

#include <stddef.h>
#include <stdint.h>

#include "message.h"
#include "mstime.h"

/*
 * NAME
 *	evict - chooses the runs that make room for urgent work
 *
 * NOTES
 *	All victims are at one worker. The worker and the runs with the least
 *	lost work are chosen, that is processor time since the last checkpoint.
 *	A job evicted within pause_ms is not evicted again, and at most
 *	EVICT_WINDOW_RUNS_MAX runs are evicted in EVICT_WINDOW_MS, so that a
 *wave of urgent jobs cannot make the batch work turn over.
 */
#define EVICT_WINDOW_MS 60000
#define EVICT_WINDOW_RUNS_MAX 32
#define EVICT_VICTIMS_MAX 8

struct evict_window {
	struct mstime times[EVICT_WINDOW_RUNS_MAX]; /* ring of the latest */
	uint32_t count;				    /* since the start */
};

/* RETURN VALUE: how many more runs may be evicted now. */
uint32_t evict_window_remaining(const struct evict_window *window,
				struct mstime now);
void evict_window_add(struct evict_window *window, struct mstime now);

struct evict_candidate {
	uint32_t worker; /* index of its worker */
	struct resources reserved;
	int urgent;
	int evicted; /* evicted_at is set */
	struct mstime evicted_at;
	struct mstime
		checkpointed_at; /* start of the run, or last checkpoint */
};

struct evict_worker {
	struct resources capacity;
	struct resources used;
	unsigned int usable : 1; /* up, not drained, not ejected */
};

struct evict_choice {
	uint32_t victims[EVICT_VICTIMS_MAX]; /* indexes of candidates */
	uint32_t count;			     /* 0: no room can be made */
	uint32_t worker;
	int64_t lost_cpu_ms; /* milliseconds times processors */
};

void evict_choose(struct evict_choice *choice, const struct resources *need,
		  const struct evict_candidate *candidates, size_t count,
		  const struct evict_worker *workers, size_t worker_count,
		  int64_t pause_ms, uint32_t limit, struct mstime now);

#endif
