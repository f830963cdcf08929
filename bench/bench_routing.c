#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench_routing/model.h"
#include "mem.h"
#include "rng.h"
#include "route.h"

/*
 * Decision benches of the request path. Prints a table to standard output,
 * with a JSON object a line after each scenario, and ends with 0 even when
 * a target is not met: the figures are the result.
 */
#define SEED 1
#define WARM_S 5

static const struct policy product = { "catkinhill", PICK_ROUTE, 0, 0 };
static const struct policy oracle = { "oracle", PICK_ORACLE, 0, 0 };
static const struct policy baselines[] = {
	{ "random", PICK_RANDOM, 0, 0 },
	{ "round-robin", PICK_ROUND_ROBIN, 0, 0 },
	{ "fewest-in-flight", PICK_FEWEST, 0, 0 },
	{ "plain-queue", PICK_ROUTE, 1, 0 },
	{ "retry-without-budget", PICK_ROUTE, 0, 1 },
};

#define BASELINES (sizeof(baselines) / sizeof(baselines[0]))

static void target(const char *scenario, const char *what, double value,
		   double bound, int met)
{
	printf("  target %-44s %8.3f  bound %8.3f  %s\n", what, value, bound,
	       met ? "met" : "NOT MET");
	printf("{\"scenario\": \"%s\", \"target\": \"%s\", \"value\": %.4f, "
	       "\"bound\": %.4f, \"met\": %s}\n",
	       scenario, what, value, bound, met ? "true" : "false");
}

static void at_most(const char *scenario, const char *what, double value,
		    double bound)
{
	target(scenario, what, value, bound, value <= bound);
}

static void at_least(const char *scenario, const char *what, double value,
		     double bound)
{
	target(scenario, what, value, bound, value >= bound);
}

static void row(const struct scenario *scenario, const struct policy *policy,
		const struct result *result, int from_s, int until_s)
{
	struct second sum = result_sum(result, from_s, until_s);
	double p50 = result_percentile(result, 50, from_s, until_s);
	double p99 = result_percentile(result, 99, from_s, until_s);
	double in_time = (double)sum.in_time / (until_s - from_s);
	double attempts =
		sum.offered ? (double)sum.attempts / (double)sum.offered : 0;

	printf("  %-22s p50 %7.1f ms  p99 %7.1f ms  in time %7.0f/s (%5.1f%% "
	       "of offered)  attempts %.3f\n",
	       policy->name, p50, p99, in_time,
	       sum.offered ? 100.0 * (double)sum.in_time / (double)sum.offered
			   : 0,
	       attempts);
	printf("{\"scenario\": \"%s\", \"policy\": \"%s\", \"p50_ms\": %.2f, "
	       "\"p99_ms\": %.2f, \"in_time_per_s\": %.1f, \"offered\": "
	       "%" PRId64 ", \"in_time\": %" PRId64
	       ", \"attempts_per_request\": %.4f}\n",
	       scenario->name, policy->name, p50, p99, in_time, sum.offered,
	       sum.in_time, attempts);
}

static void run_baselines(const struct scenario *scenario, int from_s,
			  int until_s)
{
	struct result result;
	size_t i;

	for (i = 0; i < BASELINES; i++) {
		model_run(scenario, &baselines[i], SEED, &result);
		row(scenario, &baselines[i], &result, from_s, until_s);
		result_clear(&result);
	}
}

static void bench_latency(const struct scenario *scenario)
{
	int until_s = scenario->phases[0].until_s;
	struct result best, own;

	printf("%s\n", scenario->name);
	model_run(scenario, &oracle, SEED, &best);
	model_run(scenario, &product, SEED, &own);
	row(scenario, &oracle, &best, WARM_S, until_s);
	row(scenario, &product, &own, WARM_S, until_s);
	run_baselines(scenario, WARM_S, until_s);
	at_most(scenario->name, "p99 over that of the oracle",
		result_percentile(&own, 99, WARM_S, until_s) /
			result_percentile(&best, 99, WARM_S, until_s),
		1.3);
	result_clear(&best);
	result_clear(&own);
}

/* The first phase is normal load, the second the overload, the third after. */
static void bench_overload(const struct scenario *scenario)
{
	int normal_s = scenario->phases[0].until_s;
	int over_s = scenario->phases[1].until_s;
	int end_s = scenario->phases[2].until_s;
	struct second sum;
	struct result own;
	double normal;

	printf("%s (figures of the overload)\n", scenario->name);
	model_run(scenario, &product, SEED, &own);
	row(scenario, &product, &own, normal_s, over_s);
	run_baselines(scenario, normal_s, over_s);
	sum = result_sum(&own, normal_s, over_s);
	normal = result_percentile(&own, 99, WARM_S, normal_s);
	at_least(scenario->name, "answers in time over capacity",
		 (double)sum.in_time / (over_s - normal_s) / own.capacity,
		 0.95);
	at_most(scenario->name, "p99 from 5 s after, over normal",
		result_percentile(&own, 99, over_s + 5, end_s) / normal, 1.1);
	result_clear(&own);
}

static void bench_third_failing(const struct scenario *scenario)
{
	int from_s = scenario->fail_at_s, end_s = scenario->phases[0].until_s;
	struct second sum;
	struct result own;

	printf("%s (figures from the failure on)\n", scenario->name);
	model_run(scenario, &product, SEED, &own);
	row(scenario, &product, &own, from_s, end_s);
	run_baselines(scenario, from_s, end_s);
	sum = result_sum(&own, from_s, end_s);
	at_most(scenario->name, "attempts per request",
		(double)sum.attempts / (double)sum.offered, 1.1);
	result_clear(&own);
}

static void bench_black_hole(const struct scenario *scenario)
{
	int from_s = scenario->fail_at_s, end_s = scenario->phases[0].until_s;
	struct second early, late;
	struct result own;

	printf("%s (figures from the failure on)\n", scenario->name);
	model_run(scenario, &product, SEED, &own);
	row(scenario, &product, &own, from_s, end_s);
	run_baselines(scenario, from_s, end_s);
	early = result_sum(&own, from_s, from_s + 5);
	late = result_sum(&own, from_s + 5, end_s);
	at_most(scenario->name, "share of requests into it in the first 5 s",
		(double)early.to_failing / (double)early.offered, 0.02);
	at_most(scenario->name, "probes a second and entry after",
		(double)late.to_failing / (end_s - from_s - 5) / ENTRIES, 1);
	result_clear(&own);
}

/*
 * Callers that keep to their share while one floods. Refused means 429; what
 * else is lost must be no more than overload costs anyone.
 */
static void bench_fairness(const struct scenario *scenario)
{
	int normal_s = scenario->phases[0].until_s;
	int over_s = scenario->phases[1].until_s;
	struct second sum;
	struct result own;

	printf("%s (figures of the flood)\n", scenario->name);
	model_run(scenario, &product, SEED, &own);
	row(scenario, &product, &own, normal_s, over_s);
	sum = result_sum(&own, normal_s, over_s);
	at_most(scenario->name, "refusals of callers within their share",
		(double)sum.kept_refused, 0);
	at_least(scenario->name, "their requests answered in time",
		 (double)sum.kept_in_time / (double)sum.kept_offered, 0.95);
	result_clear(&own);
}

static void bench_regions(const struct scenario *scenario)
{
	int until_s = scenario->phases[0].until_s;
	struct second sum;
	struct result own;

	bench_latency(scenario);
	model_run(scenario, &product, SEED, &own);
	sum = result_sum(&own, WARM_S, until_s);
	at_most(scenario->name, "share of attempts to the other region",
		(double)sum.to_remote / (double)sum.attempts, 0.01);
	result_clear(&own);
}

static double choose_ns(uint32_t members)
{
	enum {
		ROUNDS = 200000
	};
	struct membership membership;
	struct route_query query = { .service = "s",
				     .region = "a",
				     .in_flight_limit = 64,
				     .now = mstime_from(1000) };
	struct route_choice choice;
	struct timespec start, end;
	struct route *route;
	struct list *pos;
	uint32_t i;

	membership_init(&membership);
	route = route_new(&membership, SEED);
	for (i = 0; i < members; i++) {
		struct msg_announce announce = { .incarnation = 1,
						 .seq = 1,
						 .service = "s",
						 .slots = SLOTS,
						 .connections = 64,
						 .state = AGENT_READY };

		snprintf(announce.agent, sizeof(announce.agent), "a%u", i);
		str_copy(announce.region, i % 3 ? "a" : "b",
			 sizeof(announce.region));
		membership_apply_announce(&membership, &announce,
					  announce.agent, query.now);
		route_update(route,
			     membership_find(&membership, announce.agent),
			     NULL);
	}
	clock_gettime(CLOCK_MONOTONIC, &start);
	for (i = 0; i < ROUNDS; i++)
		route_choose(route, &query, &choice);
	clock_gettime(CLOCK_MONOTONIC, &end);
	list_for_each (pos, &membership.members)
		route_remove(route, list_entry(pos, struct member, node));
	membership_clear(&membership);
	route_delete(route);
	return ((double)(end.tv_sec - start.tv_sec) * 1e9 +
		(double)(end.tv_nsec - start.tv_nsec)) /
	       ROUNDS;
}

static void bench_choice_time(void)
{
	static const uint32_t sizes[] = { 11, 200, 2000, 20000 };
	double first = 0, ns = 0;
	size_t i;

	printf("time of one choice\n");
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		ns = choose_ns(sizes[i]);
		if (!i)
			first = ns;
		printf("  %6u members %8.1f ns\n", sizes[i], ns);
		printf("{\"scenario\": \"choice-time\", \"members\": %u, "
		       "\"ns\": %.1f}\n",
		       sizes[i], ns);
	}
	/* Caches account for a factor; a scan would give over a thousand. */
	at_most("choice-time", "time at 20,000 members over that at 11",
		ns / first, 10);
}

static const struct scenario equal = { .name = "load-70-percent",
				       .phases = { { 35, 0.7 } },
				       .deadline_ms = 1000 };
static const struct scenario unequal = {
	.name = "load-70-percent-unequal-workers",
	.phases = { { 35, 0.7 } },
	.speed = { 0.5, 0.5, 0.5, 1, 1, 1, 1, 1, 1, 1.5, 1.5 },
	.deadline_ms = 1000
};
static const struct scenario twice = {
	.name = "overload-2x-for-20-s",
	.phases = { { 20, 0.7 }, { 40, 2 }, { 70, 0.7 } },
	.deadline_ms = 1000
};
static const struct scenario burst = {
	.name = "burst-10x-for-60-s",
	.phases = { { 20, 0.7 }, { 80, 7 }, { 110, 0.7 } },
	.deadline_ms = 1000
};
static const struct scenario third = { .name = "third-failing",
				       .phases = { { 60, 0.5 } },
				       .failing = 4,
				       .failure = FAILURE_ERROR,
				       .fail_at_s = 10,
				       .deadline_ms = 1000 };
static const struct scenario hole = { .name = "black-hole-errors",
				      .phases = { { 60, 0.7 } },
				      .failing = 1,
				      .failure = FAILURE_ERROR,
				      .fail_at_s = 10,
				      .deadline_ms = 1000 };
static const struct scenario hang = { .name = "black-hole-hangs",
				      .phases = { { 60, 0.7 } },
				      .failing = 1,
				      .failure = FAILURE_HANG,
				      .fail_at_s = 10,
				      .deadline_ms = 1000 };

static const struct scenario flood = {
	.name = "one-caller-floods",
	.phases = { { 20, 0.5 }, { 50, 4 }, { 70, 0.5 } },
	.deadline_ms = 1000,
	.callers = 5
};
static const struct scenario register_regions = { .name = "register-regions",
						  .phases = { { 35, 0.7 } },
						  .deadline_ms = 1000,
						  .hop_us = 1000,
						  .remote_us = 30000 };
static const struct scenario notices_regions = { .name = "notices-regions",
						 .phases = { { 35, 0.7 } },
						 .deadline_ms = 1000,
						 .hop_us = 1500,
						 .remote_us = 30000 };

int main(void)
{
	bench_latency(&equal);
	bench_latency(&unequal);
	bench_overload(&twice);
	bench_overload(&burst);
	bench_third_failing(&third);
	bench_black_hole(&hole);
	bench_black_hole(&hang);
	bench_fairness(&flood);
	bench_regions(&register_regions);
	bench_regions(&notices_regions);
	bench_choice_time();
	return 0;
}
