#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "config.h"
#include "gate.h"
#include "grants.h"
#include "hash.h"
#include "mem.h"
#include "membership.h"
#include "partstore.h"
#include "placement.h"
#include "rng.h"
#include "route.h"

/*
 * CPU time and memory of the core's decisions for several numbers of members,
 * tasks and jobs. Each figure is the median of REPEATS runs of at least
 * RUN_NS; "least" and "most" are the extremes. Prints one JSON object a line.
 */
#define REPEATS 5
#define RUN_NS 10000000
#define SEED 1

typedef void (*operation_fn)(void *arg, uint64_t i);

static int64_t cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static double mean_ns(operation_fn operation, void *arg, uint64_t *next_input)
{
	int64_t start_ns = cpu_ns(), spent_ns;
	uint64_t count = 0, batch = 1;

	do {
		uint64_t end = *next_input + batch;

		for (; *next_input < end; (*next_input)++)
			operation(arg, *next_input);
		count += batch;
		batch *= 2;
		spent_ns = cpu_ns() - start_ns;
	} while (spent_ns < RUN_NS);
	return (double)spent_ns / (double)count;
}

static int compare_doubles(const void *a, const void *b)
{
	const double *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

static void measure(const char *metric, const char *count_name, size_t size,
		    operation_fn operation, void *arg)
{
	double results_ns[REPEATS];
	uint64_t next_input = 0;
	int i;

	mean_ns(operation, arg, &next_input);
	for (i = 0; i < REPEATS; i++)
		results_ns[i] = mean_ns(operation, arg, &next_input);
	qsort(results_ns, REPEATS, sizeof(results_ns[0]), compare_doubles);
	printf("{\"bench\": \"scale\", \"what\": \"%s\", \"%s\": %zu, "
	       "\"ns\": %.0f, \"least\": %.0f, \"most\": %.0f}\n",
	       metric, count_name, size, results_ns[REPEATS / 2], results_ns[0],
	       results_ns[REPEATS - 1]);
	fflush(stdout);
}

static void print_bytes(const char *metric, const char *count_name, size_t size,
			double bytes)
{
	printf("{\"bench\": \"scale\", \"what\": \"%s\", \"%s\": %zu, "
	       "\"bytes_each\": %.0f}\n",
	       metric, count_name, size, bytes);
}

struct members {
	struct membership membership;
	struct route *route;
	struct config config;
	struct rng rng;
	size_t count;
	uint64_t seq;
	struct mstime now;
	struct worker_view *views;
};

static void fill_announce(struct msg_announce *a, size_t i, uint64_t seq)
{
	memset(a, 0, sizeof(*a));
	snprintf(a->agent, sizeof(a->agent), "vm-%05zu", i);
	str_copy(a->service, "stock", sizeof(a->service));
	snprintf(a->region, sizeof(a->region), "r%zu", i % 4);
	snprintf(a->domain, sizeof(a->domain), "d%zu", i % 9);
	a->incarnation = 1;
	a->seq = seq;
	a->slots = 8;
	a->connections = 64;
	a->capacity = (struct resources){ 64000, 250000, 1 };
	a->state = AGENT_READY;
	a->load.in_flight = (uint32_t)(i % 4);
	a->load.latency_ms = 10 + (uint32_t)(i % 17);
}

static void apply_announce(void *arg, uint64_t i)
{
	struct members *m = arg;
	struct msg_announce a;
	char peer[2 * ID_SIZE];

	fill_announce(&a, (size_t)((i * 7919) % m->count), ++m->seq);
	snprintf(peer, sizeof(peer), "%s/1", a.agent);
	membership_apply_announce(&m->membership, &a, peer, m->now);
}

static void choose_route(void *arg, uint64_t i)
{
	struct members *m = arg;
	struct route_query query = { .service = "stock",
				     .region = "r0",
				     .in_flight_limit = 64,
				     .now = m->now };
	struct route_choice choice;

	route_choose(m->route, &query, &choice);
	if (!choice.member)
		abort();
	route_sent(m->route, choice.member, 0, m->now);
	route_released(m->route, choice.member, 1);
	route_result(m->route, choice.member, 0, 0, 12, m->now);
}

static void choose_placement(void *arg, uint64_t i)
{
	struct members *m = arg;
	struct placement_request request = {
		.need = { 2000, 8000, i % 10 ? 0 : 1 },
		.latency_weight_percent = 50,
	};
	struct placement result;

	placement_choose(&result, &request, m->views, m->count, &m->rng);
}

static void reject_impossible_job(void *arg, uint64_t i)
{
	struct members *m = arg;
	struct resources need = { 65000, 1000, 0 };

	if (placement_possible(&need, m->views, m->count))
		abort();
}

static void fill_views(struct members *m)
{
	const struct list *pos;
	size_t i = 0;

	m->views = xcalloc(m->count, sizeof(*m->views));
	list_for_each (pos, &m->membership.members) {
		const struct member *member =
			list_entry(pos, struct member, node);
		struct worker_view *view = &m->views[i++];

		view->agent = member->agent;
		view->agent_hash = hash_str(member->agent);
		view->domain = (uint32_t)(i % 9);
		view->capacity = member->capacity;
		view->used =
			(struct resources){ rng_below(&m->rng, 64000),
					    rng_below(&m->rng, 250000), 0 };
		view->request_slots = 8;
		view->usable = 1;
	}
}

static void bench_members(size_t count)
{
	struct members m = { .count = count, .now = { 1000000 } };
	size_t heap_before_bytes = heap_bytes();
	struct msg_announce a;
	struct list *pos;
	size_t i;

	rng_seed(&m.rng, SEED);
	config_init(&m.config);
	membership_init(&m.membership);
	m.route = route_new(&m.membership, SEED);
	for (i = 0; i < count; i++) {
		fill_announce(&a, i, ++m.seq);
		membership_apply_announce(&m.membership, &a, "peer/1", m.now);
	}
	list_for_each (pos, &m.membership.members)
		route_update(m.route, list_entry(pos, struct member, node),
			     &m.config);
	print_bytes("member and route state", "members", count,
		    (double)(heap_bytes() - heap_before_bytes) / (double)count);
	fill_views(&m);
	measure("announcement taken", "members", count, apply_announce, &m);
	measure("routing decision", "members", count, choose_route, &m);
	measure("placement decision", "members", count, choose_placement, &m);
	measure("impossible job", "members", count, reject_impossible_job, &m);
	membership_clear(&m.membership);
	route_delete(m.route);
	free(m.views);
}

struct worker {
	struct gate gate;
	struct grants grants;
	struct task {
		struct gate_task gate;
		struct grant_task grant;
	} * tasks;
	size_t count;
	struct gate_task extra_task;
};

static void admit_request(void *arg, uint64_t i)
{
	struct worker *w = arg;
	struct gate_request request = { 0 };
	enum refusal reason;

	gate_admit(&w->gate, &request, (struct mstime){ 1000 },
		   (struct mstime){ 1 }, &reason);
	gate_release(&w->gate, &request);
}

static void reserve_task(void *arg, uint64_t i)
{
	static const struct resources need = { 1, 1, 0 };
	struct worker *w = arg;

	if (gate_task_reserve(&w->gate, &w->extra_task, &need))
		abort();
	gate_task_release(&w->gate, &w->extra_task);
}

static void find_grant(void *arg, uint64_t i)
{
	struct worker *w = arg;
	char job[ID_SIZE];

	snprintf(job, sizeof(job), "job-%06zu", (size_t)(i * 7919 % w->count));
	if (!grants_find(&w->grants, job))
		abort();
}

static void bench_worker(size_t count)
{
	static const struct resources need = { 10, 10, 0 };
	const struct gate_limits limits = { 8, 64, 8, { 64000, 250000, 2 } };
	struct worker w = { .count = count };
	char job[ID_SIZE];
	size_t i;

	gate_init(&w.gate, &limits);
	grants_init(&w.grants, 20000);
	w.tasks = xcalloc(count, sizeof(*w.tasks));
	for (i = 0; i < count; i++) {
		snprintf(job, sizeof(job), "job-%06zu", i);
		gate_task_reserve(&w.gate, &w.tasks[i].gate, &need);
		grants_add(&w.grants, &w.tasks[i].grant, (uint32_t)(i % 4), job,
			   1, (struct mstime){ 1 });
	}
	measure("gate: request", "tasks", count, admit_request, &w);
	measure("gate: task", "tasks", count, reserve_task, &w);
	measure("grant found", "tasks", count, find_grant, &w);
	grants_clear(&w.grants);
	free(w.tasks);
}

struct jobs {
	struct partition *partition;
	char *value;
	size_t value_len, count;
	size_t change_count; /* an equal checkpoint is no change */
};

static void encode_partition(void *arg, uint64_t i)
{
	struct jobs *jobs = arg;
	char *data;
	size_t len;

	if (partition_encode(jobs->partition, "entry-a1/6b1266c4482e8e34",
			     (struct mstime){ 5000 }, &data, &len))
		abort();
	free(data);
}

static void decode_partition(void *arg, uint64_t i)
{
	struct jobs *jobs = arg;
	struct partition *partition = partition_new(3);

	if (partition_decode(partition, jobs->value, jobs->value_len,
			     (struct mstime){ 5000 }))
		abort();
	partition_delete(partition);
}

static void apply_report(void *arg, uint64_t i)
{
	struct jobs *jobs = arg;
	struct task_status status = { .run = 1,
				      .state = TASK_RUNNING,
				      .used = { 1500, 3000, 0 },
				      .checkpoint = "step-000150",
				      .detail = "" };
	const struct job_retry_policy policy = { .failed_agents_max = 3 };

	snprintf(status.job, sizeof(status.job), "reconcile-2026-49-%05zu",
		 (size_t)(i * 7919 % jobs->count));
	partition_apply_report(jobs->partition, "vm-00001", &status, &policy,
			       (struct mstime){ 5000 });
}

/* Adds a job in its usual state: running on a VM, with a placement reason. */
static int add_job(struct jobs *jobs)
{
	static const struct resources need = { 2000, 4000, 0 };
	const char *reason = "vm-00001: score 0.31 (spread 0.00, interference "
			     "0.12, leftover 0.50) over vm-00007 0.40";
	struct mstime now = { 1000 };
	struct job_spec spec = { .team = "returns",
				 .need = { 2000, 4000, 0 },
				 .command = "reconcile week=2026-49 shard=7" };
	struct job *job;
	int err;

	snprintf(spec.job, sizeof(spec.job), "reconcile-2026-49-%05zu",
		 jobs->count);
	err = partition_submit(jobs->partition, &spec, now);
	if (err)
		return err;
	job = partition_find(jobs->partition, spec.job);
	err = partition_start_run(jobs->partition, job, "vm-00001", &need,
				  reason, now);
	if (!err)
		jobs->count++;
	return err;
}

/* Ten full cycles of a log of the maximum length and its snapshot. */
#define COMMIT_COUNT (10 * (PARTSTORE_LOG_ENTRIES_MAX + 1))

/* Encodes a commit as the owner does; returns the size of the value. */
static size_t encode_commit(struct jobs *jobs, struct partstore_state *stored)
{
	struct partition *p = jobs->partition;
	const char *writer = "entry-a1/6b1266c4482e8e34";
	struct mstime now = { 5000 };
	int err, is_snapshot = partstore_snapshot_due(stored);
	char *data;
	size_t len;

	err = is_snapshot ? partition_encode(p, writer, now, &data, &len)
			  : partition_encode_delta(p, writer, now, &data, &len);
	if (err)
		abort();
	free(data);
	partition_mark_committed(p, p->version);
	if (is_snapshot) {
		*stored = (struct partstore_state){ .snapshot_bytes = len };
		return len;
	}
	p->log_seq++;
	stored->log_entries++;
	stored->log_bytes += len;
	return len;
}

static void change_job(struct jobs *jobs)
{
	size_t i = jobs->change_count++;
	struct task_status status = { .run = 1, .state = TASK_RUNNING };
	const struct job_retry_policy policy = { .failed_agents_max = 3 };
	char checkpoint[32];

	snprintf(checkpoint, sizeof(checkpoint), "step-%06zu", i);
	status.checkpoint = checkpoint;
	status.detail = "";
	snprintf(status.job, sizeof(status.job), "reconcile-2026-49-%05zu",
		 i * 7919 % jobs->count);
	partition_apply_report(jobs->partition, "vm-00001", &status, &policy,
			       (struct mstime){ 5000 });
}

/* Mean bytes of a commit, including the snapshots that replace the log. */
static void bench_commits(struct jobs *jobs, uint64_t changes_per_commit)
{
	struct partstore_state stored = { .log_bytes = 1 };
	size_t bytes = 0, i;
	char metric[64];
	uint64_t n;

	encode_commit(jobs, &stored);
	for (i = 0; i < COMMIT_COUNT; i++) {
		for (n = 0; n < changes_per_commit; n++)
			change_job(jobs);
		bytes += encode_commit(jobs, &stored);
	}
	snprintf(metric, sizeof(metric), "commit of %d changed jobs",
		 (int)changes_per_commit);
	print_bytes(metric, "jobs", jobs->count, (double)bytes / COMMIT_COUNT);
}

/* Adds count jobs, or as many as the partition accepts if count is 0. */
static void bench_partition(size_t count)
{
	struct jobs jobs = { partition_new(3) };
	size_t heap_before_bytes = heap_bytes();

	while ((!count || jobs.count < count) && !add_job(&jobs))
		;
	print_bytes("job in memory", "jobs", jobs.count,
		    (double)(heap_bytes() - heap_before_bytes) /
			    (double)jobs.count);
	if (partition_encode(jobs.partition, "entry-a1/6b1266c4482e8e34",
			     (struct mstime){ 5000 }, &jobs.value,
			     &jobs.value_len))
		abort();
	print_bytes("job in the value", "jobs", jobs.count,
		    (double)jobs.value_len / (double)jobs.count);
	print_bytes("value", "jobs", jobs.count, (double)jobs.value_len);
	measure("partition encoded", "jobs", jobs.count, encode_partition,
		&jobs);
	measure("partition decoded", "jobs", jobs.count, decode_partition,
		&jobs);
	measure("task of a report taken", "jobs", jobs.count, apply_report,
		&jobs);
	bench_commits(&jobs, 1);
	bench_commits(&jobs, 3);
	free(jobs.value);
	partition_delete(jobs.partition);
}

/* Size of a configuration with a quota for each team and a full change log. */
static void bench_config(size_t teams)
{
	struct config config;
	char *json, text[CONFIG_CHANGE_TEXT_SIZE];
	size_t i;

	config_init(&config);
	for (i = 0; i < teams; i++) {
		struct team_quota *row = &config.quotas[config.quota_count++];

		snprintf(row->team, sizeof(row->team), "team-%03zu", i);
		row->quota = (struct resources){ 640000, 2500000, 16 };
	}
	for (i = 0; i < CONFIG_CHANGES_MAX; i++) {
		snprintf(text, sizeof(text), "set-quota team-%03zu", i);
		config_record_change(&config, 18000 + i,
				     "entry-a1/6b1266c4482e8e34/12", text);
	}
	json = config_render(&config);
	print_bytes("configuration value", "teams", teams,
		    (double)strlen(json));
	free(json);
}

int main(void)
{
	static const size_t members[] = { 11, 200, 2000, 20000 };
	static const size_t tasks[] = { 13, 100, 1000 };
	static const size_t jobs[] = { 10, 100, 1000, 0 };
	size_t i;

	for (i = 0; i < sizeof(members) / sizeof(members[0]); i++)
		bench_members(members[i]);
	for (i = 0; i < sizeof(tasks) / sizeof(tasks[0]); i++)
		bench_worker(tasks[i]);
	for (i = 0; i < sizeof(jobs) / sizeof(jobs[0]); i++)
		bench_partition(jobs[i]);
	bench_config(2);
	bench_config(170);
	print_bytes("struct partition alone", "jobs", 0,
		    (double)sizeof(struct partition));
	return 0;
}
