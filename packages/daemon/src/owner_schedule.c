#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hash.h"
#include "log.h"
#include "mem.h"
#include "owner_internal.h"

/* Bounds of the work of one tick; what is left waits for the next one. */
#define STARTS_MAX 500
#define FAILURES_MAX 2000

/*
 * A job that waited this long gets a worker held free for it, so that large
 * jobs are not passed by small ones for ever.
 */
#define HOLD_AFTER_MS 60000
#define HOLD_LOOKED_AT 32

struct waiting {
	struct placement_order order;
	struct slot *slot;
	struct job *job;
};

struct round {
	struct owner *owner;
	struct worker_view *views;
	size_t view_count;
	struct resources largest; /* capacity, by resource */
	struct waiting *waiting;
	size_t count, capacity;
	uint32_t owned; /* partitions */
	uint32_t starts, failures, holds;
	struct mstime now;
};

void owner_retry_policy(struct owner *owner, struct job_retry_policy *policy)
{
	policy->failed_agents_max =
		(uint32_t)owner_limit(owner, LIMIT_JOB_TRIES);
	policy->faulty_agents =
		taskhealth_blamed(owner->health, &policy->faulty_agent_count);
}

static uint32_t max_u32(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

static void find_largest(struct round *round)
{
	size_t i;

	for (i = 0; i < round->view_count; i++) {
		const struct resources *capacity = &round->views[i].capacity;

		round->largest.cpu_milli =
			max_u32(round->largest.cpu_milli, capacity->cpu_milli);
		round->largest.mem_mb =
			max_u32(round->largest.mem_mb, capacity->mem_mb);
		round->largest.accel =
			max_u32(round->largest.accel, capacity->accel);
	}
}

static void add_waiting(struct round *round, struct slot *slot, struct job *job)
{
	struct owner *owner = round->owner;
	struct waiting *waiting;

	if (round->count == round->capacity) {
		round->capacity = round->capacity * 2 + 64;
		round->waiting =
			xrealloc(round->waiting,
				 round->capacity * sizeof(*round->waiting));
	}
	waiting = &round->waiting[round->count++];
	waiting->slot = slot;
	waiting->job = job;
	waiting->order.urgent = job->urgent;
	waiting->order.arrival_order = job->arrival_order;
	waiting->order.under_quota =
		quota_has_headroom(owner->quota, &owner->daemon->config,
				   job->team, owner->slot_count, round->owned);
}

/*
 * Jobs wait until everything submitted and cancelled before is known, so
 * that a cancelled job is not started.
 */
static int may_place(const struct slot *slot)
{
	return slot->state == SLOT_OWNED && owner_inbox_caught_up(slot) &&
	       slot->commit_state != COMMIT_OUTCOME_UNKNOWN &&
	       slot->commit_state != COMMIT_READING_BACK &&
	       !slot->owner->in_holdover;
}

static void gather(struct round *round)
{
	struct owner *owner = round->owner;
	struct list *pos;
	uint32_t i;

	for (i = 0; i < owner->slot_count; i++)
		round->owned += owner->slots[i].state == SLOT_OWNED;
	for (i = 0; i < owner->slot_count; i++) {
		struct slot *slot = &owner->slots[i];

		if (!may_place(slot) || !slot->partition->counts[JOB_QUEUED])
			continue;
		list_for_each (pos, &slot->partition->jobs) {
			struct job *job = list_entry(pos, struct job, node);

			if (job->state == JOB_QUEUED)
				add_waiting(round, slot, job);
		}
	}
}

static int compare_waiting(const void *a, const void *b)
{
	return placement_compare(&((const struct waiting *)a)->order,
				 &((const struct waiting *)b)->order);
}

static void evict(struct round *round, struct slot *slot, struct job *job,
		  const char *reason)
{
	struct owner *owner = round->owner;

	if (partition_evict_run(slot->partition, job, reason, round->now))
		return;
	slot->commit_immediately = 1;
	owner_counter_increment(owner, OWNER_EVICTIONS);
	log_event(EV_JOB_EVICTED,
		  "partition=%u job=%s run=%" PRIu64 " agent=%s reason=\"%s\"",
		  slot->number, job->id, job->run, job->agent, reason);
}

/* Runs at drained or leaving workers move elsewhere. */
static void evict_drained(struct round *round, struct slot *slot)
{
	struct list *pos;

	list_for_each (pos, &slot->partition->jobs) {
		struct job *job = list_entry(pos, struct job, node);
		int i;

		if (job->state != JOB_STARTING && job->state != JOB_RUNNING)
			continue;
		i = worker_index_find(round->owner->workers, job->agent);
		if (i >= 0 && round->views[i].drained)
			evict(round, slot, job,
			      "its worker is drained or leaving");
	}
}

static void fill_request(struct round *round, const struct job *job,
			 struct placement_request *request)
{
	struct owner *owner = round->owner;

	memset(request, 0, sizeof(*request));
	estimate_need(owner->estimate, job->team, job->command, &job->declared,
		      &round->largest, round->now, &request->need);
	/* Bounded by each resource's largest VM, which may be different ones.
	 */
	if (!placement_possible(&request->need, round->views,
				round->view_count))
		request->need = job->declared;
	if (mstime_before(round->now, job->avoid_until))
		request->avoided_agents[0] = job->avoided_agent;
	request->failed_agents = job->failed_agents;
	request->failed_agent_count = job->failed_agent_count;
	request->domain_tasks = worker_index_team_tasks(
		owner->workers, job->team, &request->domain_count);
	request->latency_weight_percent =
		owner_limit(owner, LIMIT_WEIGHT_LATENCY);
	request->eviction_weight_percent =
		owner_limit(owner, LIMIT_WEIGHT_EVICTION);
}

static void placed(struct round *round, struct waiting *waiting,
		   const struct placement_request *request,
		   const struct placement *result)
{
	struct job *job = waiting->job;
	const char *agent = round->views[result->worker].agent;
	char reason[JOB_REASON_SIZE];
	size_t len;

	placement_explain(result, round->views, reason, sizeof(reason));
	len = strlen(reason);
	if (request->allow_eviction)
		snprintf(reason + len, sizeof(reason) - len,
			 "; runs there are stopped for it");
	if (partition_start_run(waiting->slot->partition, job, agent,
				&request->need, reason, round->now)) {
		partition_set_wait_reason(job, "the partition's value is full");
		return;
	}
	if (job->urgent)
		waiting->slot->commit_immediately = 1;
	round->starts++;
	worker_index_reserve(round->owner->workers, result->worker,
			     &request->need);
	worker_index_add_task(round->owner->workers, result->worker, job->team);
	quota_add(round->owner->quota, job->team, &request->need, 1);
	owner_counter_increment(round->owner, OWNER_STARTS);
	log_event(EV_JOB_PLACED,
		  "partition=%u job=%s run=%" PRIu64
		  " agent=%s cpu_milli=%u mem_mb=%u declared_cpu_milli=%u "
		  "declared_mem_mb=%u checkpoint=%s reason=\"%s\"",
		  waiting->slot->number, job->id, job->run, agent,
		  request->need.cpu_milli, request->need.mem_mb,
		  job->declared.cpu_milli, job->declared.mem_mb,
		  job->checkpoint[0] ? job->checkpoint : "-", reason);
}

static int is_impossible(struct round *round, struct waiting *waiting)
{
	struct job *job = waiting->job;
	const struct resources *largest = &round->largest;
	char reason[JOB_REASON_SIZE];

	/* A new process does not know all agents yet. */
	if (mstime_diff(round->now, round->owner->started_at) <
		    OWNER_AGENT_DISCOVERY_MS ||
	    placement_possible(&job->declared, round->views, round->view_count))
		return 0;
	snprintf(reason, sizeof(reason),
		 "needs %u milli-cpu, %u MB, %u accelerators; the largest VMs "
		 "have %u, %u, %u",
		 job->declared.cpu_milli, job->declared.mem_mb,
		 job->declared.accel, largest->cpu_milli, largest->mem_mb,
		 largest->accel);
	partition_mark_impossible(waiting->slot->partition, job, reason,
				  round->now);
	owner_log_job_end(waiting->slot, job);
	return 1;
}

static int may_hold(const struct worker_view *view,
		    const struct resources *need)
{
	const struct resources none = { 0, 0, 0 };

	return view->usable && !view->drained && !view->ejected &&
	       placement_fits(need, &none, &view->capacity);
}

static int find_hold(struct round *round, const struct resources *need)
{
	uint32_t i, least = UINT32_MAX;
	int found = -1;

	for (i = 0; i < HOLD_LOOKED_AT && round->view_count; i++) {
		int n = (int)rng_below(&round->owner->rng,
				       (uint32_t)round->view_count);
		const struct worker_view *view = &round->views[n];

		if (!may_hold(view, need) || view->used.cpu_milli >= least)
			continue;
		least = view->used.cpu_milli;
		found = n;
	}
	return found;
}

static int find_by_hash(const struct round *round, uint64_t hash)
{
	size_t i;

	for (i = 0; i < round->view_count; i++)
		if (round->views[i].agent_hash == hash)
			return (int)i;
	return -1;
}

/* Takes the worker's room out of this round; its runs end one by one. */
static void hold_worker(struct round *round, struct job *job,
			const struct resources *need)
{
	int i;

	if (mstime_diff(round->now, job->submitted_at) < HOLD_AFTER_MS ||
	    round->holds > round->view_count / 8)
		return;
	i = job->held_agent ? find_by_hash(round, job->held_agent) : -1;
	if (i < 0 || !may_hold(&round->views[i], need))
		i = find_hold(round, need);
	job->held_agent = i < 0 ? 0 : round->views[i].agent_hash;
	if (i < 0)
		return;
	round->holds++;
	worker_index_reserve(round->owner->workers, i, need);
}

/* What every VM is too small for in one resource alone is found at once. */
static int exceeds_largest(const struct round *round, const struct job *job)
{
	const struct resources none = { 0, 0, 0 };

	return !placement_fits(&job->declared, &none, &round->largest);
}

/*
 * Where it failed before is avoided, but if only those workers are left it
 * may run there again.
 */
static void place(struct round *round, struct waiting *waiting)
{
	struct placement_request request;
	struct placement result;
	char reason[JOB_REASON_SIZE];
	struct job *job = waiting->job;

	if (exceeds_largest(round, job)) {
		if (!is_impossible(round, waiting))
			partition_set_wait_reason(
				job, "no VM known so far is as large");
		return;
	}
	fill_request(round, job, &request);
	placement_choose(&result, &request, round->views, round->view_count,
			 &round->owner->rng);
	if (result.worker < 0 && job->urgent) {
		/* The agent stops other runs for it. */
		request.allow_eviction = 1;
		placement_choose(&result, &request, round->views,
				 round->view_count, &round->owner->rng);
	}
	if (result.worker < 0 && result.verdict_counts[PLACEMENT_AVOIDED] &&
	    result.verdict_counts[PLACEMENT_AVOIDED] +
			    result.verdict_counts[PLACEMENT_NOT_READY] +
			    result.verdict_counts[PLACEMENT_DRAINED] +
			    result.verdict_counts[PLACEMENT_EJECTED] ==
		    result.examined_count) {
		request.failed_agent_count = 0;
		placement_choose(&result, &request, round->views,
				 round->view_count, &round->owner->rng);
	}
	if (result.worker >= 0) {
		placed(round, waiting, &request, &result);
		return;
	}
	if (is_impossible(round, waiting))
		return;
	round->failures++;
	placement_explain(&result, round->views, reason, sizeof(reason));
	partition_set_wait_reason(job, reason);
	hold_worker(round, job, &request.need);
}

void owner_schedule(struct owner *owner)
{
	struct round round = { .owner = owner, .now = owner_now() };
	size_t i;

	round.views = worker_index_views(owner->workers, &round.view_count);
	find_largest(&round);
	for (i = 0; i < owner->slot_count; i++)
		if (owner->slots[i].state == SLOT_OWNED)
			evict_drained(&round, &owner->slots[i]);
	gather(&round);
	if (round.count)
		qsort(round.waiting, round.count, sizeof(*round.waiting),
		      compare_waiting);
	for (i = 0; i < round.count; i++) {
		if (round.starts < STARTS_MAX && round.failures < FAILURES_MAX)
			place(&round, &round.waiting[i]);
		else
			partition_set_wait_reason(round.waiting[i].job,
						  "other jobs go before it");
	}
	free(round.waiting);
}
