#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench_batch/model.h"
#include "mem.h"
#include "partition.h"

#define DOMAINS 4
#define SEED 20261204
#define VARIATION 0.1

static struct mstime at(int seconds)
{
	return mstime_from((int64_t)seconds * 1000);
}

static void print_target(const char *target, double value, const char *bound,
			 int met)
{
	printf("%-58s %10.3f  %-10s %s\n", target, value, bound,
	       met ? "met" : "NOT MET");
	printf("{\"bench\":\"batch\",\"target\":\"%s\",\"value\":%.4f,"
	       "\"bound\":\"%s\",\"met\":%s}\n",
	       target, value, bound, met ? "true" : "false");
}

static void print_world(const struct world *world)
{
	printf("%-26s %8.1f %8d %8d %8.0f %8d %8d %8d %8.1f\n",
	       policy_names[world->policy],
	       world->done / MODEL_STEPS * 100 / MODEL_WORKERS, world->finished,
	       world->evictions, world->lost, world->cpu_over, world->mem_over,
	       world->killed,
	       (double)world->urgent_wait / fmax(world->urgent_started, 1));
	printf("{\"bench\":\"batch\",\"policy\":\"%s\",\"seed\":%d,"
	       "\"throughput_percent\":%.2f,\"finished\":%d,\"evictions\":%d,"
	       "\"lost_s\":%.0f,\"cpu_over_s\":%d,\"mem_over_s\":%d,"
	       "\"killed\":%d}\n",
	       policy_names[world->policy], SEED,
	       world->done / MODEL_STEPS * 100 / MODEL_WORKERS, world->finished,
	       world->evictions, world->lost, world->cpu_over, world->mem_over,
	       world->killed);
}

static void bench_policies(void)
{
	struct world *worlds = xcalloc(POLICY_COUNT, sizeof(*worlds));
	struct world *own = &worlds[POLICY_OWN];
	enum policy policy;
	double ratio;

	printf("%d workers of 64 cores and 250 GB, three to a rack, %d hours, "
	       "declared sizes off by up to 4 times\n",
	       MODEL_WORKERS, MODEL_HOURS);
	printf("%-26s %8s %8s %8s %8s %8s %8s %8s %8s\n", "policy", "work %",
	       "finished", "evicted", "lost s", "cpu over", "mem over",
	       "killed", "urgent s");
	for (policy = 0; policy < POLICY_COUNT; policy++) {
		world_run(&worlds[policy], policy, SEED, VARIATION);
		print_world(&worlds[policy]);
	}
	printf("work: share of the VMs that finished runs used; over: seconds "
	       "times VMs\n\n");
	ratio = own->done / worlds[POLICY_ORACLE].done;
	print_target("throughput against the oracle", ratio, ">= 0.9",
		     ratio >= 0.9);
	ratio = own->done / worlds[POLICY_FIRST_FIT].done;
	print_target("throughput against first fit on declared sizes", ratio,
		     ">= 1.3", ratio >= 1.3);
	print_target("seconds in which a VM was over",
		     own->cpu_over + own->mem_over, "== 0",
		     own->cpu_over + own->mem_over == 0);
	ratio = (double)own->evictions /
		fmax(worlds[POLICY_OWN_NEWEST].evictions, 1);
	print_target("evictions against evicting the newest", ratio, "<= 0.5",
		     ratio <= 0.5);
	free(worlds);
}

/* Whether the targets hold for other jobs, and for less regular classes. */
static void bench_variation(void)
{
	static const double variations[] = { 0.1, 0.3 };
	struct world *own = xcalloc(1, sizeof(*own));
	struct world *oracle = xcalloc(1, sizeof(*oracle));
	uint64_t seed;
	size_t i;

	printf("\n%10s %6s %16s %10s %10s\n", "variation", "seed",
	       "against oracle", "cpu over", "mem over");
	for (i = 0; i < sizeof(variations) / sizeof(variations[0]); i++)
		for (seed = 1; seed <= 3; seed++) {
			world_run(own, POLICY_OWN, seed, variations[i]);
			world_run(oracle, POLICY_ORACLE, seed, variations[i]);
			printf("%10.1f %6d %16.3f %10d %10d\n", variations[i],
			       (int)seed, own->done / oracle->done,
			       own->cpu_over, own->mem_over);
			printf("{\"bench\":\"batch\",\"variation\":%.1f,"
			       "\"seed\":%d,\"against_oracle\":%.4f,"
			       "\"cpu_over_s\":%d,\"mem_over_s\":%d}\n",
			       variations[i], (int)seed,
			       own->done / oracle->done, own->cpu_over,
			       own->mem_over);
		}
	printf("\n");
	free(own);
	free(oracle);
}

static double now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

#define DECISIONS 20000

/* The whole of a decision: estimate, choice, text of the reason. */
static double cost_of_decision(size_t count)
{
	struct worker_view *views = xcalloc(count, sizeof(*views));
	struct estimate *estimate = estimate_new();
	const struct resources declared = { 4000, 8000, 0 };
	const uint32_t tasks[DOMAINS] = { 3, 2, 1, 0 };
	struct placement_request request = { .domain_tasks = tasks,
					     .domain_count = DOMAINS,
					     .weight_latency = 50,
					     .weight_eviction = 50 };
	struct placement result;
	struct rng rng;
	double started;
	char text[160];
	size_t i;

	rng_seed(&rng, SEED);
	for (i = 0; i < count; i++) {
		views[i].agent = "worker";
		views[i].hash = i;
		views[i].domain = (uint32_t)(i % DOMAINS);
		views[i].capacity = model_capacity;
		views[i].used.cpu_milli = rng_below(&rng, 64000);
		views[i].used.mem_mb = rng_below(&rng, 250000);
		views[i].slots = 8;
		views[i].usable = 1;
	}
	for (i = 0; i < 20; i++)
		estimate_observe(estimate, "t", "c", &declared, at(0));
	started = now_us();
	for (i = 0; i < DECISIONS; i++) {
		estimate_need(estimate, "t", "c", &declared, &model_capacity,
			      at(1), &request.need);
		placement_choose(&result, &request, views, count, &rng);
		placement_explain(&result, views, text, sizeof(text));
	}
	started = (now_us() - started) / DECISIONS;
	estimate_delete(estimate);
	free(views);
	return started;
}

static void bench_decisions(void)
{
	static const size_t counts[] = { 11, 200, 2000, 20000 };
	char target[80];
	size_t i;

	for (i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		double us = cost_of_decision(counts[i]);

		snprintf(target, sizeof(target),
			 "microseconds per placement at %zu workers",
			 counts[i]);
		print_target(target, us, "<= 12", us <= 12);
	}
}

#define SLICE 200
#define JOBS 2500

static void bench_partition(void)
{
	struct partition *partition = partition_new(0);
	struct job_spec spec = { .team = "t", .need = { 1, 1, 0 } };
	double started, slice, encode;
	char *data;
	size_t len;
	int i;

	snprintf(spec.command, sizeof(spec.command), "reconcile steps=100");
	for (i = 0; i < JOBS; i++) {
		snprintf(spec.job, sizeof(spec.job), "job-%d", i);
		partition_submit(partition, &spec, at(0));
	}
	started = now_us();
	for (i = 0; i < SLICE; i++) {
		snprintf(spec.job, sizeof(spec.job), "job-%d", i);
		partition_cancel(partition, spec.job, at(1));
	}
	slice = (now_us() - started) / 1000;
	started = now_us();
	if (!partition_encode(partition, "w", at(2), &data, &len))
		free(data);
	encode = (now_us() - started) / 1000;
	print_target("milliseconds per slice of 200 cancellations", slice,
		     "<= 50", slice <= 50);
	print_target("milliseconds to encode a partition of 2500 jobs", encode,
		     "<= 50", encode <= 50);
	partition_delete(partition);
}

int main(void)
{
	bench_policies();
	bench_variation();
	bench_decisions();
	bench_partition();
	return 0;
}
