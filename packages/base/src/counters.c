#include "counters.h"

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
	[COUNTER_TOTAL] = "counter",
	[COUNTER_GAUGE] = "gauge",
};

void counter_set_init(struct counter_set *set)
{
	list_init(&set->counters);
	list_init(&set->histograms);
}

void counter_set_clear(struct counter_set *set)
{
	while (!list_empty(&set->counters))
		list_del(set->counters.next);
	while (!list_empty(&set->histograms))
		list_del(set->histograms.next);
}

void counter_add(struct counter_set *set, struct counter *counter)
{
	list_add_tail(&set->counters, &counter->node);
}

void histogram_add(struct counter_set *set, struct histogram *histogram)
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

static void render_counter(FILE *out, const struct counter *counter,
			   const char *last_name)
{
	if (strcmp(counter->name, last_name))
		fprintf(out, "# HELP %s %s\n# TYPE %s %s\n", counter->name,
			counter->help, counter->name,
			kind_names[counter->kind]);
	if (counter->labels)
		fprintf(out, "%s{%s} %" PRId64 "\n", counter->name,
			counter->labels, counter->value);
	else
		fprintf(out, "%s %" PRId64 "\n", counter->name, counter->value);
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

char *counter_set_render(const struct counter_set *set)
{
	const struct list *pos;
	const char *last_name = "";
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);

	if (!out)
		return xstrdup("");
	list_for_each (pos, &set->counters) {
		const struct counter *counter =
			list_entry(pos, struct counter, node);

		render_counter(out, counter, last_name);
		last_name = counter->name;
	}
	list_for_each (pos, &set->histograms)
		render_histogram(out, list_entry(pos, struct histogram, node));
	fclose(out);
	return text;
}
