#include "metrics.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

const int64_t histogram_bounds_ms[HISTOGRAM_BUCKETS] = {
	1,   2,	  5,   10,   20,   35,	 50,	75,
	100, 200, 500, 1000, 2000, 5000, 10000, 30000
};

static const char *const kind_names[] = {
	[METRIC_COUNTER] = "counter",
	[METRIC_GAUGE] = "gauge",
};

void metric_set_init(struct metric_set *set)
{
	list_init(&set->metrics);
	list_init(&set->histograms);
}

void metric_set_clear(struct metric_set *set)
{
	while (!list_empty(&set->metrics))
		list_del(set->metrics.next);
	while (!list_empty(&set->histograms))
		list_del(set->histograms.next);
}

void metric_register(struct metric_set *set, struct metric *metric)
{
	struct list *pos, *last = set->metrics.prev;

	list_for_each (pos, &set->metrics)
		if (!strcmp(list_entry(pos, struct metric, node)->name,
			    metric->name))
			last = pos;
	list_add_head(last, &metric->node);
}

void histogram_register(struct metric_set *set, struct histogram *histogram)
{
	list_add_tail(&set->histograms, &histogram->node);
}

void histogram_observe(struct histogram *histogram, int64_t value_ms)
{
	size_t i = 0;

	while (i < HISTOGRAM_BUCKETS && value_ms > histogram_bounds_ms[i])
		i++;
	histogram->count[i]++;
	histogram->sum_ms += value_ms;
}

static void render_metric(FILE *out, const struct metric *metric,
			  const char *previous_name)
{
	if (strcmp(metric->name, previous_name))
		fprintf(out, "# HELP %s %s\n# TYPE %s %s\n", metric->name,
			metric->help, metric->name, kind_names[metric->kind]);
	if (metric->labels)
		fprintf(out, "%s{%s} %" PRId64 "\n", metric->name,
			metric->labels, metric->value);
	else
		fprintf(out, "%s %" PRId64 "\n", metric->name, metric->value);
}

static void render_histogram(FILE *out, const struct histogram *histogram)
{
	const char *name = histogram->name;
	int64_t total = 0;
	size_t i;

	fprintf(out, "# HELP %s %s\n# TYPE %s histogram\n", name,
		histogram->help, name);
	for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
		total += histogram->count[i];
		fprintf(out, "%s_bucket{le=\"%" PRId64 "\"} %" PRId64 "\n",
			name, histogram_bounds_ms[i], total);
	}
	total += histogram->count[HISTOGRAM_BUCKETS];
	fprintf(out, "%s_bucket{le=\"+Inf\"} %" PRId64 "\n", name, total);
	fprintf(out, "%s_sum %" PRId64 "\n%s_count %" PRId64 "\n", name,
		histogram->sum_ms, name, total);
}

char *metric_set_render(const struct metric_set *set)
{
	const struct list *pos;
	const char *previous_name = "";
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);

	if (!out)
		return xstrdup("");
	list_for_each (pos, &set->metrics) {
		const struct metric *metric =
			list_entry(pos, struct metric, node);

		render_metric(out, metric, previous_name);
		previous_name = metric->name;
	}
	list_for_each (pos, &set->histograms)
		render_histogram(out, list_entry(pos, struct histogram, node));
	fclose(out);
	return text;
}
