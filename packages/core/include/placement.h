#ifndef CATKINHILL_PLACEMENT_H
#define CATKINHILL_PLACEMENT_H

#include <stddef.h>
#include <stdint.h>

#include "message.h"
#include "rng.h"

/*
 * NAME
 *	placement - chooses a worker for a run of a batch job
 *
 * NOTES
 *	Workers are passed as an array. The agent's gate makes the final
 *	decision on admission, so a stale view only costs a retry. Up to
 *	PLACEMENT_FULL_SCAN_MAX workers are all examined. Of more,
 *	PLACEMENT_SAMPLE_SIZE are drawn at random, in up to
 *	PLACEMENT_SAMPLE_ROUNDS rounds while none of them fits, so that the
 *	cost of a decision does not grow with the number of workers.
 *
 * SOURCE
 *	Sampling: Ousterhout et al., Sparrow, SOSP 2013; Mitzenmacher 2001.
 */
#define PLACEMENT_FULL_SCAN_MAX 32
#define PLACEMENT_SAMPLE_SIZE 16
#define PLACEMENT_SAMPLE_ROUNDS 4
#define PLACEMENT_ALTERNATIVES_MAX 3

struct worker_view {
	const char *agent;
	uint64_t agent_hash; /* hash_str(agent) */
	uint32_t domain;     /* index of its failure domain */
	struct resources capacity;
	struct resources used;	     /* as reported, plus runs placed since */
	struct resources evictable;  /* part of used; for urgent jobs */
	uint32_t requests_in_flight; /* latency-critical requests in flight */
	uint32_t request_slots;	     /* concurrent requests it accepts */
	unsigned int usable : 1;
	unsigned int drained : 1;
	unsigned int ejected : 1;
};

struct placement_request {
	struct resources need;	       /* estimated */
	uint64_t avoided_agents[2];    /* hashes of agents; 0 for none */
	const uint64_t *failed_agents; /* hashes; the job failed there */
	uint32_t failed_agent_count;
	/* Tasks of the job's team per failure domain; NULL: no spreading. */
	const uint32_t *domain_tasks;
	uint32_t domain_count;
	int allow_eviction; /* resources of evictable runs count as free */
	int64_t latency_weight_percent;	 /* LIMIT_WEIGHT_LATENCY */
	int64_t eviction_weight_percent; /* LIMIT_WEIGHT_EVICTION */
};

enum placement_verdict {
	PLACEMENT_FITS,
	PLACEMENT_NOT_READY, /* not ready, or no recent report */
	PLACEMENT_DRAINED,
	PLACEMENT_EJECTED, /* because runs fail at it */
	PLACEMENT_AVOIDED, /* the job failed there or was refused before */
	PLACEMENT_NO_CPU,
	PLACEMENT_NO_MEMORY,
	PLACEMENT_NO_ACCEL,
	PLACEMENT_VERDICT_COUNT
};

const char *placement_verdict_name(enum placement_verdict verdict);

struct placement {
	int worker; /* index in the array, or -1 */
	double score, spread, interference, leftover; /* lower is better */
	struct {
		int worker;
		double score;
	} alternatives[PLACEMENT_ALTERNATIVES_MAX]; /* best not chosen */
	uint32_t alternative_count;
	uint32_t examined_count;
	uint32_t verdict_counts[PLACEMENT_VERDICT_COUNT]; /* examined workers */
};

void placement_choose(struct placement *result,
		      const struct placement_request *request,
		      const struct worker_view *workers, size_t count,
		      struct rng *rng);

/*
 * Writes the result as one sentence, such as "a3: score 0.31 (spread 0.00,
 * interference 0.12, leftover 0.50) over a1 0.40, a2 0.44".
 */
void placement_explain(const struct placement *result,
		       const struct worker_view *workers, char *text,
		       size_t size);

/* RETURN VALUE: 1 if need fits into what used leaves of capacity. */
int placement_fits(const struct resources *need, const struct resources *used,
		   const struct resources *capacity);

/*
 * RETURN VALUE
 *	1 if the capacity of some worker, in any state and under any load, is
 *	large enough; 0 if none is; -1 if no worker is known at all.
 * NOTES
 *	Linear in the number of workers; meant for a job that could not be
 *	placed, not for each decision. Where there are many such jobs, compare
 *	with a maximum kept by the caller instead.
 */
int placement_possible(const struct resources *need,
		       const struct worker_view *workers, size_t count);

/* Sort key of the waiting jobs. */
struct placement_order {
	int urgent;
	int under_quota;
	uint64_t arrival_order; /* sequence number */
};

/* Returns less than 0 when a is placed before b, as for qsort(3). */
int placement_compare(const struct placement_order *a,
		      const struct placement_order *b);

#endif
