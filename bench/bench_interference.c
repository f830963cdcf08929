#include <inttypes.h>
#include <math.h>
#include <stdio.h>

#include "bench_interference/worker.h"

/*
 * Compares policies that protect a service from batch tasks on one worker.
 * Prints a table with a JSON object after each row. The exit status is 0 even
 * when a target is not met: the figures are the result.
 */
#define SEED_COUNT 8
#define SCENARIO "interference"

static const char *const policy_names[PROTECT_COUNT] = {
	[PROTECT_PRODUCT] = "catkinhill",
	[PROTECT_NONE] = "no-protection",
	[PROTECT_STATIC_50] = "static-50",
	[PROTECT_EVICT_AT_ONCE] = "evict-at-once",
	[PROTECT_ORACLE] = "oracle",
	[PROTECT_ALONE] = "alone",
};

static struct worker_result results[PROTECT_COUNT][SEED_COUNT];

struct spread {
	double mean, min, max;
};

static struct spread spread_over_seeds(double (*value_of)(int protection,
							  int seed),
				       int protection)
{
	struct spread spread = { 0, INFINITY, -INFINITY };
	int i;

	for (i = 0; i < SEED_COUNT; i++) {
		double value = value_of(protection, i);

		spread.mean += value / SEED_COUNT;
		spread.min = fmin(spread.min, value);
		spread.max = fmax(spread.max, value);
	}
	return spread;
}

static double p99_ratio(int protection, int seed)
{
	return results[protection][seed].p99_ms /
	       results[PROTECT_ALONE][seed].p99_ms;
}

static double work_ratio(int protection, int seed)
{
	return results[protection][seed].work_s /
	       results[PROTECT_NONE][seed].work_s;
}

static double eviction_count(int protection, int seed)
{
	return results[protection][seed].evictions;
}

static double degraded_seconds(int protection, int seed)
{
	return results[protection][seed].degraded_s;
}

static void print_row(int protection)
{
	struct spread p99 = spread_over_seeds(p99_ratio, protection);
	struct spread work_done = spread_over_seeds(work_ratio, protection);
	struct spread evictions = spread_over_seeds(eviction_count, protection);
	struct spread degraded_s =
		spread_over_seeds(degraded_seconds, protection);

	printf("  %-14s p99 over alone %6.3f (%.3f to %.3f)  work %5.3f "
	       "(%.3f to %.3f)  evictions %6.1f (%.0f to %.0f)  over 1.2 "
	       "%6.1f s\n",
	       policy_names[protection], p99.mean, p99.min, p99.max,
	       work_done.mean, work_done.min, work_done.max, evictions.mean,
	       evictions.min, evictions.max, degraded_s.mean);
	printf("{\"scenario\": \"" SCENARIO "\", \"policy\": \"%s\", "
	       "\"p99_over_alone\": %.4f, \"p99_least\": %.4f, \"p99_most\": "
	       "%.4f, \"work\": %.4f, \"work_least\": %.4f, \"work_most\": "
	       "%.4f, \"evictions\": %.2f, \"evictions_least\": %.0f, "
	       "\"evictions_most\": %.0f, \"over_s\": %.1f}\n",
	       policy_names[protection], p99.mean, p99.min, p99.max,
	       work_done.mean, work_done.min, work_done.max, evictions.mean,
	       evictions.min, evictions.max, degraded_s.mean);
}

static void print_target(const char *what, double value, double bound, int met)
{
	printf("  target %-44s %8.3f  bound %8.3f  %s\n", what, value, bound,
	       met ? "met" : "NOT MET");
	printf("{\"scenario\": \"" SCENARIO "\", \"target\": \"%s\", "
	       "\"value\": %.4f, \"bound\": %.4f, \"met\": %s}\n",
	       what, value, bound, met ? "true" : "false");
}

int main(void)
{
	double p99, work_done, evictions, bound;
	int i, j;

	for (i = 0; i < PROTECT_COUNT; i++)
		for (j = 0; j < SEED_COUNT; j++)
			worker_simulate(i, (uint64_t)j + 1, &results[i][j]);
	printf(SCENARIO " (mean of %d seeds, least and most)\n", SEED_COUNT);
	for (i = 0; i < PROTECT_COUNT; i++)
		print_row(i);
	p99 = spread_over_seeds(p99_ratio, PROTECT_PRODUCT).mean;
	work_done = spread_over_seeds(work_ratio, PROTECT_PRODUCT).mean;
	evictions = spread_over_seeds(eviction_count, PROTECT_PRODUCT).mean;
	bound = spread_over_seeds(eviction_count, PROTECT_EVICT_AT_ONCE).mean /
		2;
	print_target("service p99 over that alone", p99, 1.2, p99 <= 1.2);
	print_target("batch work over that without protection", work_done, 0.85,
		     work_done >= 0.85);
	print_target("evictions, half of evict-at-once", evictions, bound,
		     evictions <= bound);
	return 0;
}
