#include <inttypes.h>
#include <math.h>
#include <stdio.h>

#include "bench_interference/worker.h"

/*
 * Protection of a service from batch tasks at one worker. Prints a table,
 * with a JSON object a line, and ends with 0 even when a target is not met:
 * the figures are the result.
 */
#define SEEDS 8
#define SCENARIO "interference"

static const char *const names[PROTECT_COUNT] = {
	[PROTECT_PRODUCT] = "catkinhill", [PROTECT_NONE] = "no-protection",
	[PROTECT_STATIC] = "static-50",	  [PROTECT_EVICT] = "evict-at-once",
	[PROTECT_ORACLE] = "oracle",	  [PROTECT_ALONE] = "alone",
};

static struct outcome_sum sums[PROTECT_COUNT][SEEDS];

struct spread {
	double mean, least, most;
};

static struct spread spread_of(double (*fn)(int protection, int seed),
			       int protection)
{
	struct spread spread = { 0, INFINITY, -INFINITY };
	int i;

	for (i = 0; i < SEEDS; i++) {
		double value = fn(protection, i);

		spread.mean += value / SEEDS;
		spread.least = fmin(spread.least, value);
		spread.most = fmax(spread.most, value);
	}
	return spread;
}

static double tail(int protection, int seed)
{
	return sums[protection][seed].p99_ms / sums[PROTECT_ALONE][seed].p99_ms;
}

static double work(int protection, int seed)
{
	return sums[protection][seed].work_s / sums[PROTECT_NONE][seed].work_s;
}

static double evictions(int protection, int seed)
{
	return sums[protection][seed].evictions;
}

static double over(int protection, int seed)
{
	return sums[protection][seed].over_s;
}

static void row(int protection)
{
	struct spread p99 = spread_of(tail, protection);
	struct spread done = spread_of(work, protection);
	struct spread evicted = spread_of(evictions, protection);
	struct spread over_s = spread_of(over, protection);

	printf("  %-14s p99 over alone %6.3f (%.3f to %.3f)  work %5.3f "
	       "(%.3f to %.3f)  evictions %6.1f (%.0f to %.0f)  over 1.2 "
	       "%6.1f s\n",
	       names[protection], p99.mean, p99.least, p99.most, done.mean,
	       done.least, done.most, evicted.mean, evicted.least, evicted.most,
	       over_s.mean);
	printf("{\"scenario\": \"" SCENARIO "\", \"policy\": \"%s\", "
	       "\"p99_over_alone\": %.4f, \"p99_least\": %.4f, \"p99_most\": "
	       "%.4f, \"work\": %.4f, \"work_least\": %.4f, \"work_most\": "
	       "%.4f, \"evictions\": %.2f, \"evictions_least\": %.0f, "
	       "\"evictions_most\": %.0f, \"over_s\": %.1f}\n",
	       names[protection], p99.mean, p99.least, p99.most, done.mean,
	       done.least, done.most, evicted.mean, evicted.least, evicted.most,
	       over_s.mean);
}

static void target(const char *what, double value, double bound, int met)
{
	printf("  target %-44s %8.3f  bound %8.3f  %s\n", what, value, bound,
	       met ? "met" : "NOT MET");
	printf("{\"scenario\": \"" SCENARIO "\", \"target\": \"%s\", "
	       "\"value\": %.4f, \"bound\": %.4f, \"met\": %s}\n",
	       what, value, bound, met ? "true" : "false");
}

int main(void)
{
	double p99, done, evicted, bound;
	int i, j;

	for (i = 0; i < PROTECT_COUNT; i++)
		for (j = 0; j < SEEDS; j++)
			worker_run(i, (uint64_t)j + 1, &sums[i][j]);
	printf(SCENARIO " (mean of %d seeds, least and most)\n", SEEDS);
	for (i = 0; i < PROTECT_COUNT; i++)
		row(i);
	p99 = spread_of(tail, PROTECT_PRODUCT).mean;
	done = spread_of(work, PROTECT_PRODUCT).mean;
	evicted = spread_of(evictions, PROTECT_PRODUCT).mean;
	bound = spread_of(evictions, PROTECT_EVICT).mean / 2;
	target("service p99 over that alone", p99, 1.2, p99 <= 1.2);
	target("batch work over that without protection", done, 0.85,
	       done >= 0.85);
	target("evictions, half of evict-at-once", evicted, bound,
	       evicted <= bound);
	return 0;
}
