#ifndef CATKINHILL_COUNTERS_H
#define CATKINHILL_COUNTERS_H

#include <stddef.h>
#include <stdint.h>

#include "list.h"

/*
 * NAME
 *	counters - counters, gauges and histograms of one process
 *
 * NOTES
 *	The owner of a metric allocates its struct and registers it in a set
 *	by counter_add() or histogram_add(); the set frees no metric.
 *	Rendering gives the Prometheus text format: HELP and TYPE once for
 *	each name, then one line name{labels} value for each metric. Metrics
 *	that share a name must be registered one after the other.
 */
enum counter_kind {
	COUNTER_TOTAL,
	COUNTER_GAUGE
};

struct counter {
	struct list node;
	enum counter_kind kind;
	const char *name;   /* such as catkinhill_requests_total */
	const char *labels; /* such as outcome="done"; NULL for none */
	const char *help;
	int64_t value;
};

/* Upper bounds of the buckets in ms; an extra bucket has no upper bound. */
#define HISTOGRAM_BUCKETS 16
extern const int64_t histogram_bounds_ms[HISTOGRAM_BUCKETS];

struct histogram {
	struct list node;
	const char *name;
	const char *help;
	int64_t count[HISTOGRAM_BUCKETS + 1];
	int64_t sum_ms;
};

struct counter_set {
	struct list counters;
	struct list histograms;
};

void counter_set_init(struct counter_set *set);
void counter_add(struct counter_set *set, struct counter *counter);
void histogram_add(struct counter_set *set, struct histogram *histogram);
/* Removes all metrics, so that their memory can be freed in any order. */
void counter_set_clear(struct counter_set *set);

void histogram_observe(struct histogram *histogram, int64_t value_ms);

/*
 * RETURN VALUE
 *	Newly allocated text, to be freed by the caller.
 */
char *counter_set_render(const struct counter_set *set);

#endif
