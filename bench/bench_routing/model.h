#ifndef CATKINHILL_BENCH_MODEL_H
#define CATKINHILL_BENCH_MODEL_H

#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	model - workers in memory, for benches of the routing decisions
 *
 * NOTES
 *	Four entries with the modules of the product, or with a baseline in
 *	place of the choice, send requests to 11 workers of 8 slots and 8
 *	places in the gate's queue. Service times are log-normal. Reports
 *	lag by about a second. Time is simulated; equal seeds give equal runs.
 */
#define WORKERS 11
#define SLOTS 8
#define GATE_QUEUE 8
#define ENTRIES 4
#define MEAN_US 20000
#define SIGMA 0.5
#define HOP_US 1000
#define REMOTE_WORKERS 3 /* with remote_us */
#define PHASES_MAX 4
#define SECONDS_MAX 200

enum pick {
	PICK_ROUTE,
	PICK_ORACLE, /* knows every true queue */
	PICK_RANDOM,
	PICK_ROUND_ROBIN,
	PICK_FEWEST, /* fewest of the entry's own in flight */
};

enum failure {
	FAILURE_NONE,
	FAILURE_ERROR, /* answers with an error at once */
	FAILURE_HANG,  /* never answers */
};

struct policy {
	const char *name;
	enum pick pick;
	int plain_queue;  /* oldest first until the deadline */
	int free_retries; /* no budget */
};

struct phase {
	int until_s;
	double load; /* share of the capacity */
};

struct scenario {
	const char *name;
	struct phase phases[PHASES_MAX];
	double speed[WORKERS]; /* 0 counts as 1 */
	int failing;	       /* workers that fail from fail_at_s on */
	enum failure failure;
	int fail_at_s;
	int deadline_ms;
	/*
	 * With callers, so many share the load of the first phase and one more
	 * sends what goes beyond it. Without, there is one caller.
	 */
	int callers;
	/*
	 * One-way latencies; 0 for HOP_US everywhere. With remote_us, the last
	 * three workers and the last entry are in another region.
	 */
	int hop_us, remote_us;
};

struct second {
	int64_t offered;
	int64_t in_time;
	int64_t attempts;
	int64_t to_failing; /* attempts sent to failing workers */
	int64_t to_remote;  /* attempts sent to the other region */
	/* Of the callers that keep to their share */
	int64_t kept_offered;
	int64_t kept_refused; /* 429 */
	int64_t kept_in_time;
};

struct sample {
	float at_s;
	float ms; /* the deadline for what was not answered in time */
};

struct result {
	struct second seconds[SECONDS_MAX];
	struct sample *samples; /* one a request, by time of its end */
	size_t count, size;
	double capacity; /* requests a second of all workers */
};

void model_run(const struct scenario *scenario, const struct policy *policy,
	       uint64_t seed, struct result *result);
void result_clear(struct result *result);

/* Percentile of the requests that ended in a window. */
double result_percentile(const struct result *result, double percent,
			 int from_s, int until_s);

/* Sums of the seconds of a window. */
struct second result_sum(const struct result *result, int from_s, int until_s);

#endif
