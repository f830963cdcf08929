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
 * Simulates the routing of requests under different policies. Prints tables
 * and one JSON object per line to standard output. Exits with 0 even if a
 * target is missed, because the figures are the result.
 */
#define SEED 1
#define WARMUP_S 5

static const struct policy route_policy = { "catkinhill", PICK_ROUTE, 0, 0 };
static const struct policy oracle_policy = { "oracle", PICK_ORACLE, 0, 0 };
static const struct policy baselines[] = {
	{ "random", PICK_RANDOM, 0, 0 },
	{ "round-robin", PICK_ROUND_ROBIN, 0, 0 },
	{ "fewest-in-flight", PICK_FEWEST_IN_FLIGHT, 0, 0 },
	{ "plain-queue", PICK_ROUTE, 1, 0 },
	{ "retry-without-budget", PICK_ROUTE, 0, 1 },
};

#define BASELINE_COUNT (sizeof(baselines) / sizeof(baselines[0]))

static void print_target(const char *scenario, const char *target, double value,
			 double bound, int met)
{
	printf("  target %-44s %8.3f  bound %8.3f  %s\n", target, value, bound,
	       met ? "met" : "NOT MET");
	printf("{\"scenario\": \"%s\", \"target\": \"%s\", \"value\": %.4f, "
	       "\"bound\": %.4f, \"met\": %s}\n",
	       scenario, target, value, bound, met ? "true" : "false");
}

static void print_max_target(const char *scenario, const char *target,
			     double value, double bound)
{
	print_target(scenario, target, value, bound, value <= bound);
}

static void print_min_target(const char *scenario, const char *target,
			     double value, double bound)
{
	print_target(scenario, target, value, bound, value >= bound);
}

static void print_row(const struct scenario *scenario,
		      const struct policy *policy, const struct result *result,
		      int from_s, int until_s)
{
	struct counters sum = result_sum(result, from_s, until_s);
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

	for (i = 0; i < BASELINE_COUNT; i++) {
		model_run(scenario, &baselines[i], SEED, &result);
		print_row(scenario, &baselines[i], &result, from_s, until_s);
		result_clear(&result);
	}
}

static void bench_latency(const struct scenario *scenario)
{
	int until_s = scenario->phases[0].until_s;
	struct result oracle_result, result;

	printf("%s\n", scenario->name);
	model_run(scenario, &oracle_policy, SEED, &oracle_result);
	model_run(scenario, &route_policy, SEED, &result);
	print_row(scenario, &oracle_policy, &oracle_result, WARMUP_S, until_s);
	print_row(scenario, &route_policy, &result, WARMUP_S, until_s);
	run_baselines(scenario, WARMUP_S, until_s);
	print_max_target(scenario->name, "p99 over that of the oracle",
			 result_percentile(&result, 99, WARMUP_S, until_s) /
				 result_percentile(&oracle_result, 99, WARMUP_S,
						   until_s),
			 1.3);
	result_clear(&oracle_result);
	result_clear(&result);
}

/* Phases: normal load, overload, and normal load again. */
static void bench_overload(const struct scenario *scenario)
{
	int normal_until_s = scenario->phases[0].until_s;
	int overload_until_s = scenario->phases[1].until_s;
	int end_s = scenario->phases[2].until_s;
	struct counters sum;
	struct result result;
	double normal_p99_ms;

	printf("%s (figures of the overload)\n", scenario->name);
	model_run(scenario, &route_policy, SEED, &result);
	print_row(scenario, &route_policy, &result, normal_until_s,
		  overload_until_s);
	run_baselines(scenario, normal_until_s, overload_until_s);
	sum = result_sum(&result, normal_until_s, overload_until_s);
	normal_p99_ms =
		result_percentile(&result, 99, WARMUP_S, normal_until_s);
	print_min_target(scenario->name, "answers in time over capacity",
			 (double)sum.in_time /
				 (overload_until_s - normal_until_s) /
				 result.capacity_per_s,
			 0.95);
	print_max_target(
		scenario->name, "p99 from 5 s after, over normal",
		result_percentile(&result, 99, overload_until_s + 5, end_s) /
			normal_p99_ms,
		1.1);
	result_clear(&result);
}

static void bench_third_failing(const struct scenario *scenario)
{
	int from_s = scenario->fail_at_s, end_s = scenario->phases[0].until_s;
	struct counters sum;
	struct result result;

	printf("%s (figures from the failure on)\n", scenario->name);
	model_run(scenario, &route_policy, SEED, &result);
	print_row(scenario, &route_policy, &result, from_s, end_s);
	run_baselines(scenario, from_s, end_s);
	sum = result_sum(&result, from_s, end_s);
	print_max_target(scenario->name, "attempts per request",
			 (double)sum.attempts / (double)sum.offered, 1.1);
	result_clear(&result);
}

static void bench_black_hole(const struct scenario *scenario)
{
	int from_s = scenario->fail_at_s, end_s = scenario->phases[0].until_s;
	struct counters first_5_s, later;
	struct result result;

	printf("%s (figures from the failure on)\n", scenario->name);
	model_run(scenario, &route_policy, SEED, &result);
	print_row(scenario, &route_policy, &result, from_s, end_s);
	run_baselines(scenario, from_s, end_s);
	first_5_s = result_sum(&result, from_s, from_s + 5);
	later = result_sum(&result, from_s + 5, end_s);
	print_max_target(scenario->name,
			 "share of requests into it in the first 5 s",
			 (double)first_5_s.attempts_to_failing /
				 (double)first_5_s.offered,
			 0.02);
	print_max_target(scenario->name, "probes a second and entry after",
			 (double)later.attempts_to_failing /
				 (end_s - from_s - 5) / ENTRY_COUNT,
			 1);
	result_clear(&result);
}

/*
 * One caller floods while the others stay within their fair share. The others
 * must get no 429, and must lose no more requests than an overload costs any
 * caller.
 */
static void bench_fairness(const struct scenario *scenario)
{
	int normal_until_s = scenario->phases[0].until_s;
	int overload_until_s = scenario->phases[1].until_s;
	struct counters sum;
	struct result result;

	printf("%s (figures of the flood)\n", scenario->name);
	model_run(scenario, &route_policy, SEED, &result);
	print_row(scenario, &route_policy, &result, normal_until_s,
		  overload_until_s);
	sum = result_sum(&result, normal_until_s, overload_until_s);
	print_max_target(scenario->name,
			 "refusals of callers within their share",
			 (double)sum.within_share_refused, 0);
	print_min_target(scenario->name, "their requests answered in time",
			 (double)sum.within_share_in_time /
				 (double)sum.within_share_offered,
			 0.95);
	result_clear(&result);
}

static void bench_regions(const struct scenario *scenario)
{
	int until_s = scenario->phases[0].until_s;
	struct counters sum;
	struct result result;

	bench_latency(scenario);
	model_run(scenario, &route_policy, SEED, &result);
	sum = result_sum(&result, WARMUP_S, until_s);
	print_max_target(
		scenario->name, "share of attempts to the other region",
		(double)sum.attempts_to_remote / (double)sum.attempts, 0.01);
	result_clear(&result);
}

static double measure_choice_ns(uint32_t member_count)
{
	enum {
		CHOICES = 200000
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
	for (i = 0; i < member_count; i++) {
		struct msg_announce announce = { .incarnation = 1,
						 .seq = 1,
						 .service = "s",
						 .slots = SLOTS_PER_WORKER,
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
	for (i = 0; i < CHOICES; i++)
		route_choose(route, &query, &choice);
	clock_gettime(CLOCK_MONOTONIC, &end);
	list_for_each (pos, &membership.members)
		route_remove(route, list_entry(pos, struct member, node));
	membership_clear(&membership);
	route_delete(route);
	return ((double)(end.tv_sec - start.tv_sec) * 1e9 +
		(double)(end.tv_nsec - start.tv_nsec)) /
	       CHOICES;
}

static void bench_choice_time(void)
{
	static const uint32_t member_counts[] = { 11, 200, 2000, 20000 };
	double smallest_ns = 0, ns = 0;
	size_t i;

	printf("time of one choice\n");
	for (i = 0; i < sizeof(member_counts) / sizeof(member_counts[0]); i++) {
		ns = measure_choice_ns(member_counts[i]);
		if (!i)
			smallest_ns = ns;
		printf("  %6u members %8.1f ns\n", member_counts[i], ns);
		printf("{\"scenario\": \"choice-time\", \"members\": %u, "
		       "\"ns\": %.1f}\n",
		       member_counts[i], ns);
	}
	/* Cache misses explain a small factor; a scan would give over 1000. */
	print_max_target("choice-time",
			 "time at 20,000 members over that at 11",
			 ns / smallest_ns, 10);
}

static const struct scenario equal_workers = { .name = "load-70-percent",
					       .phases = { { 35, 0.7 } },
					       .deadline_ms = 1000 };
static const struct scenario unequal_workers = {
	.name = "load-70-percent-unequal-workers",
	.phases = { { 35, 0.7 } },
	.speed = { 0.5, 0.5, 0.5, 1, 1, 1, 1, 1, 1, 1.5, 1.5 },
	.deadline_ms = 1000
};
static const struct scenario overload_2x = {
	.name = "overload-2x-for-20-s",
	.phases = { { 20, 0.7 }, { 40, 2 }, { 70, 0.7 } },
	.deadline_ms = 1000
};
static const struct scenario overload_10x = {
	.name = "burst-10x-for-60-s",
	.phases = { { 20, 0.7 }, { 80, 7 }, { 110, 0.7 } },
	.deadline_ms = 1000
};
static const struct scenario third_failing = { .name = "third-failing",
					       .phases = { { 60, 0.5 } },
					       .failing_workers = 4,
					       .failure = FAILURE_ERROR,
					       .fail_at_s = 10,
					       .deadline_ms = 1000 };
static const struct scenario black_hole_errors = { .name = "black-hole-errors",
						   .phases = { { 60, 0.7 } },
						   .failing_workers = 1,
						   .failure = FAILURE_ERROR,
						   .fail_at_s = 10,
						   .deadline_ms = 1000 };
static const struct scenario black_hole_hangs = { .name = "black-hole-hangs",
						  .phases = { { 60, 0.7 } },
						  .failing_workers = 1,
						  .failure = FAILURE_HANG,
						  .fail_at_s = 10,
						  .deadline_ms = 1000 };

static const struct scenario flooding_caller = {
	.name = "one-caller-floods",
	.phases = { { 20, 0.5 }, { 50, 4 }, { 70, 0.5 } },
	.deadline_ms = 1000,
	.caller_count = 5
};
static const struct scenario register_regions = { .name = "register-regions",
						  .phases = { { 35, 0.7 } },
						  .deadline_ms = 1000,
						  .hop_latency_us = 1000,
						  .remote_latency_us = 30000 };
static const struct scenario notices_regions = { .name = "notices-regions",
						 .phases = { { 35, 0.7 } },
						 .deadline_ms = 1000,
						 .hop_latency_us = 1500,
						 .remote_latency_us = 30000 };

int main(void)
{
	bench_latency(&equal_workers);
	bench_latency(&unequal_workers);
	bench_overload(&overload_2x);
	bench_overload(&overload_10x);
	bench_third_failing(&third_failing);
	bench_black_hole(&black_hole_errors);
	bench_black_hole(&black_hole_hangs);
	bench_fairness(&flooding_caller);
	bench_regions(&register_regions);
	bench_regions(&notices_regions);
	bench_choice_time();
	return 0;
}
