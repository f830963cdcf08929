#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "model.h"

static int by_value(const void *a, const void *b)
{
	float first = *(const float *)a, second = *(const float *)b;

	return (first > second) - (first < second);
}

double result_percentile(const struct result *result, double percent,
			 int from_s, int until_s)
{
	float *values = xmalloc(result->count * sizeof(*values));
	double value = 0;
	size_t i, count = 0;

	for (i = 0; i < result->count; i++)
		if (result->samples[i].at_s >= (float)from_s &&
		    result->samples[i].at_s < (float)until_s)
			values[count++] = result->samples[i].ms;
	if (count) {
		qsort(values, count, sizeof(*values), by_value);
		value = values[(size_t)((double)(count - 1) * percent / 100)];
	}
	free(values);
	return value;
}

struct second result_sum(const struct result *result, int from_s, int until_s)
{
	struct second sum = { 0 };
	int i;

	for (i = from_s; i < until_s; i++) {
		sum.offered += result->seconds[i].offered;
		sum.in_time += result->seconds[i].in_time;
		sum.attempts += result->seconds[i].attempts;
		sum.to_failing += result->seconds[i].to_failing;
		sum.to_remote += result->seconds[i].to_remote;
		sum.kept_offered += result->seconds[i].kept_offered;
		sum.kept_refused += result->seconds[i].kept_refused;
		sum.kept_in_time += result->seconds[i].kept_in_time;
	}
	return sum;
}

void result_clear(struct result *result)
{
	free(result->samples);
	memset(result, 0, sizeof(*result));
}
