#ifndef CATKINHILL_BENCH_MODEL_H
#define CATKINHILL_BENCH_MODEL_H

#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	model - simulation of entries and workers for routing benches
 *
 * NOTES
 *	Four entries send requests to 11 workers, each with 8 slots and 8
 *	places in the gate's queue. An entry chooses by route.h or by a
 *	baseline. Service times are log-normal. Load reports are about a
 *	second old. Time is virtual; equal seeds give equal runs.
 */
#define WORKER_COUNT 11
#define SLOTS_PER_WORKER 8
#define GATE_QUEUE_MAX 8
#define ENTRY_COUNT 4
#define SERVICE_MEAN_US 20000
#define SERVICE_SIGMA 0.5
#define HOP_LATENCY_US 1000
#define REMOTE_WORKER_COUNT 3 /* if remote_latency_us is set */
#define PHASES_MAX 4
#define SECONDS_MAX 200

enum pick_method {
	PICK_ROUTE,
	PICK_ORACLE, /* knows the load of every worker */
	PICK_RANDOM,
	PICK_ROUND_ROBIN,
	PICK_FEWEST_IN_FLIGHT, /* counts only requests of this entry */
};

enum failure {
	FAILURE_NONE,
	FAILURE_ERROR, /* sends an error response at once */
	FAILURE_HANG,  /* never sends a response */
};

struct policy {
	const char *name;
	enum pick_method pick_method;
	int fifo_queue;	       /* oldest first, dropped at the deadline */
	int unlimited_retries; /* no retry budget */
};

struct phase {
	int until_s;
	double load; /* share of the capacity of all workers */
};

struct scenario {
	const char *name;
	struct phase phases[PHASES_MAX];
	double speed[WORKER_COUNT]; /* 0 counts as 1 */
	int failing_workers;	    /* workers that fail from fail_at_s on */
	enum failure failure;
	int fail_at_s;
	int deadline_ms;
	/*
	 * Callers that share the load of the first phase evenly; one more
	 * caller sends the load beyond it. 0 for a single caller.
	 */
	int caller_count;
	/*
	 * One-way latencies; 0 for HOP_LATENCY_US everywhere. If
	 * remote_latency_us is set, the last REMOTE_WORKER_COUNT workers and
	 * the last entry are in another region.
	 */
	int hop_latency_us, remote_latency_us;
};

struct counters {
	int64_t offered;
	int64_t in_time;
	int64_t attempts;
	int64_t attempts_to_failing;
	int64_t attempts_to_remote; /* to the other region */
	/* Of the callers that stay within their fair share */
	int64_t within_share_offered;
	int64_t within_share_refused; /* with status 429 */
	int64_t within_share_in_time;
};

struct sample {
	float ended_at_s;
	float latency_ms; /* deadline_ms if there was no response in time */
};

struct result {
	struct counters per_second[SECONDS_MAX];
	struct sample *samples; /* one per request, ordered by end */
	size_t sample_count, samples_allocated;
	double capacity_per_s; /* of all workers, in requests */
};

void model_run(const struct scenario *scenario, const struct policy *policy,
	       uint64_t seed, struct result *result);
void result_clear(struct result *result);

/* Percentile of the latencies of the requests that ended in a window. */
double result_percentile(const struct result *result, double percent,
			 int from_s, int until_s);

/* Sums of the counters over a window. */
struct counters result_sum(const struct result *result, int from_s,
			   int until_s);

#endif
