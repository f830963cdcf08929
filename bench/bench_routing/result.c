#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "model.h"

static int compare_floats(const void *a, const void *b)
{
	float first = *(const float *)a, second = *(const float *)b;

	return (first > second) - (first < second);
}

double result_percentile(const struct result *result, double percent,
			 int from_s, int until_s)
{
	float *values = xmalloc(result->sample_count * sizeof(*values));
	double value = 0;
	size_t i, count = 0;

	for (i = 0; i < result->sample_count; i++)
		if (result->samples[i].ended_at_s >= (float)from_s &&
		    result->samples[i].ended_at_s < (float)until_s)
			values[count++] = result->samples[i].latency_ms;
	if (count) {
		qsort(values, count, sizeof(*values), compare_floats);
		value = values[(size_t)((double)(count - 1) * percent / 100)];
	}
	free(values);
	return value;
}

struct counters result_sum(const struct result *result, int from_s, int until_s)
{
	struct counters sum = { 0 };
	int i;

	for (i = from_s; i < until_s; i++) {
		sum.offered += result->per_second[i].offered;
		sum.in_time += result->per_second[i].in_time;
		sum.attempts += result->per_second[i].attempts;
		sum.attempts_to_failing +=
			result->per_second[i].attempts_to_failing;
		sum.attempts_to_remote +=
			result->per_second[i].attempts_to_remote;
		sum.within_share_offered +=
			result->per_second[i].within_share_offered;
		sum.within_share_refused +=
			result->per_second[i].within_share_refused;
		sum.within_share_in_time +=
			result->per_second[i].within_share_in_time;
	}
	return sum;
}

void result_clear(struct result *result)
{
	free(result->samples);
	memset(result, 0, sizeof(*result));
}
