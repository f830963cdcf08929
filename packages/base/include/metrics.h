#ifndef CATKINHILL_METRICS_H
#define CATKINHILL_METRICS_H

#include <stddef.h>
#include <stdint.h>

#include "list.h"

/*
 * NAME
 *	metrics - counters, gauges and histograms of one process
 *
 * NOTES
 *	The owner of a metric allocates its struct and registers it in a set
 *	by metric_register() or histogram_register(); the set frees none.
 *	Rendering gives the Prometheus text format: HELP and TYPE once for
 *	each name, then one line name{labels} value for each metric. Metrics
 *	that share a name are rendered one after the other.
 */
enum metric_kind {
	METRIC_COUNTER,
	METRIC_GAUGE
};

struct metric {
	struct list node;
	enum metric_kind kind;
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

struct metric_set {
	struct list metrics;
	struct list histograms;
};

void metric_set_init(struct metric_set *set);
void metric_register(struct metric_set *set, struct metric *metric);
void histogram_register(struct metric_set *set, struct histogram *histogram);
/* Removes all metrics, so that their memory can be freed in any order. */
void metric_set_clear(struct metric_set *set);

void histogram_observe(struct histogram *histogram, int64_t value_ms);

/*
 * RETURN VALUE
 *	Newly allocated text, to be freed by the caller.
 */
char *metric_set_render(const struct metric_set *set);

#endif
