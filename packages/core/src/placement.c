#include "placement.h"

#include <stdio.h>
#include <string.h>

/*
 * Weight in the score of spreading a team over failure domains: enough to
 * decide between workers of similar load, too little to choose a worker that is
 * nearly full.
 */
#define WEIGHT_SPREAD 0.5

const char *placement_verdict_name(enum placement_verdict verdict)
{
	static const char *const names[] = {
		[PLACEMENT_FITS] = "fits",
		[PLACEMENT_NOT_READY] = "not ready",
		[PLACEMENT_DRAINED] = "drained",
		[PLACEMENT_EJECTED] = "ejected",
		[PLACEMENT_AVOIDED] = "failed or refused it",
		[PLACEMENT_NO_CPU] = "no processors left",
		[PLACEMENT_NO_MEMORY] = "no memory left",
		[PLACEMENT_NO_ACCEL] = "no accelerators left",
	};

	return verdict < PLACEMENT_VERDICT_COUNT ? names[verdict] : "other";
}

static int fits_capacity(uint32_t need, uint32_t used, uint32_t capacity)
{
	return (uint64_t)used + need <= capacity;
}

int placement_fits(const struct resources *need, const struct resources *used,
		   const struct resources *capacity)
{
	return fits_capacity(need->cpu_milli, used->cpu_milli,
			     capacity->cpu_milli) &&
	       fits_capacity(need->mem_mb, used->mem_mb, capacity->mem_mb) &&
	       fits_capacity(need->accel, used->accel, capacity->accel);
}

static int is_avoided(const struct placement_request *request, uint64_t hash)
{
	uint32_t i;

	if (request->avoided_agents[0] == hash ||
	    request->avoided_agents[1] == hash)
		return 1;
	for (i = 0; i < request->failed_agent_count; i++)
		if (request->failed_agents[i] == hash)
			return 1;
	return 0;
}

static uint32_t subtract_saturating(uint32_t a, uint32_t b)
{
	return a > b ? a - b : 0;
}

static struct resources used_after_eviction(
	const struct placement_request *request,
	const struct worker_view *worker)
{
	struct resources used = worker->used;

	if (!request->allow_eviction)
		return used;
	used.cpu_milli = subtract_saturating(used.cpu_milli,
					     worker->evictable.cpu_milli);
	used.mem_mb =
		subtract_saturating(used.mem_mb, worker->evictable.mem_mb);
	used.accel = subtract_saturating(used.accel, worker->evictable.accel);
	return used;
}

static enum placement_verdict check_worker(
	const struct placement_request *request,
	const struct worker_view *worker)
{
	const struct resources *need = &request->need;
	const struct resources used = used_after_eviction(request, worker);

	if (!worker->usable)
		return PLACEMENT_NOT_READY;
	if (worker->drained)
		return PLACEMENT_DRAINED;
	if (worker->ejected)
		return PLACEMENT_EJECTED;
	if (is_avoided(request, worker->agent_hash))
		return PLACEMENT_AVOIDED;
	if (!fits_capacity(need->cpu_milli, used.cpu_milli,
			   worker->capacity.cpu_milli))
		return PLACEMENT_NO_CPU;
	if (!fits_capacity(need->mem_mb, used.mem_mb, worker->capacity.mem_mb))
		return PLACEMENT_NO_MEMORY;
	if (!fits_capacity(need->accel, used.accel, worker->capacity.accel))
		return PLACEMENT_NO_ACCEL;
	return PLACEMENT_FITS;
}

static double used_fraction(uint32_t need, uint32_t used, uint32_t capacity)
{
	return capacity ? ((double)used + need) / capacity : 0;
}

static double spread_score(const struct placement_request *request,
			   const struct worker_view *worker)
{
	uint64_t total = 0;
	uint32_t i;

	if (!request->domain_tasks || worker->domain >= request->domain_count)
		return 0;
	for (i = 0; i < request->domain_count; i++)
		total += request->domain_tasks[i];
	return total ? (double)request->domain_tasks[worker->domain] /
			       (double)total
		     : 0;
}

struct score {
	double total, spread, interference, leftover;
};

/*
 * The interference term grows with the CPU load and with the share of request
 * slots in use. The leftover term prefers a worker whose CPU and memory the job
 * fills up evenly, so that other workers keep capacity for large and urgent
 * jobs, without an eviction.
 */
static struct score score_worker(const struct placement_request *request,
				 const struct worker_view *worker)
{
	const struct resources *need = &request->need;
	const struct resources used = used_after_eviction(request, worker);
	double cpu = used_fraction(need->cpu_milli, used.cpu_milli,
				   worker->capacity.cpu_milli);
	double mem = used_fraction(need->mem_mb, used.mem_mb,
				   worker->capacity.mem_mb);
	double slot_usage = worker->request_slots
				    ? (double)worker->requests_in_flight /
					      worker->request_slots
				    : 0;
	double latency_weight = (double)request->latency_weight_percent / 100;
	double eviction_weight = (double)request->eviction_weight_percent / 100;
	double imbalance = cpu > mem ? cpu - mem : mem - cpu;
	struct score score;

	score.spread = spread_score(request, worker);
	score.interference =
		cpu * (0.2 + 0.8 * (slot_usage < 1 ? slot_usage : 1));
	score.leftover = (imbalance + 1 - (cpu > mem ? cpu : mem)) / 2;
	score.total = WEIGHT_SPREAD * score.spread +
		      latency_weight * score.interference +
		      eviction_weight * score.leftover;
	return score;
}

static void add_alternative(struct placement *result, int worker, double score)
{
	uint32_t i = result->alternative_count;

	if (i < PLACEMENT_ALTERNATIVES_MAX)
		result->alternative_count++;
	else if (score >= result->alternatives[--i].score)
		return;
	while (i > 0 && result->alternatives[i - 1].score > score) {
		result->alternatives[i] = result->alternatives[i - 1];
		i--;
	}
	result->alternatives[i].worker = worker;
	result->alternatives[i].score = score;
}

static void examine_worker(struct placement *result,
			   const struct placement_request *request,
			   const struct worker_view *workers, int i)
{
	enum placement_verdict verdict = check_worker(request, &workers[i]);
	struct score score;

	result->examined_count++;
	result->verdict_counts[verdict]++;
	if (verdict != PLACEMENT_FITS)
		return;
	score = score_worker(request, &workers[i]);
	if (result->worker >= 0 && score.total >= result->score) {
		add_alternative(result, i, score.total);
		return;
	}
	if (result->worker >= 0)
		add_alternative(result, result->worker, result->score);
	result->worker = i;
	result->score = score.total;
	result->spread = score.spread;
	result->interference = score.interference;
	result->leftover = score.leftover;
}

void placement_choose(struct placement *result,
		      const struct placement_request *request,
		      const struct worker_view *workers, size_t count,
		      struct rng *rng)
{
	uint32_t round, i;

	memset(result, 0, sizeof(*result));
	result->worker = -1;
	if (count <= PLACEMENT_FULL_SCAN_MAX) {
		for (i = 0; i < count; i++)
			examine_worker(result, request, workers, (int)i);
		return;
	}
	for (round = 0; round < PLACEMENT_SAMPLE_ROUNDS && result->worker < 0;
	     round++)
		for (i = 0; i < PLACEMENT_SAMPLE_SIZE; i++)
			examine_worker(result, request, workers,
				       (int)rng_below(rng, (uint32_t)count));
}

static void explain_no_fit(const struct placement *result, char *text,
			   size_t size)
{
	size_t len, i;

	snprintf(text, size, "no worker fits, %u looked at",
		 result->examined_count);
	for (i = PLACEMENT_FITS + 1; i < PLACEMENT_VERDICT_COUNT; i++) {
		len = strlen(text);
		if (result->verdict_counts[i] && len < size)
			snprintf(text + len, size - len, "; %u %s",
				 result->verdict_counts[i],
				 placement_verdict_name(i));
	}
}

void placement_explain(const struct placement *result,
		       const struct worker_view *workers, char *text,
		       size_t size)
{
	size_t len;
	uint32_t i;

	if (result->worker < 0) {
		explain_no_fit(result, text, size);
		return;
	}
	snprintf(text, size,
		 "%.40s: score %.2f (spread %.2f, interference %.2f, leftover "
		 "%.2f)",
		 workers[result->worker].agent, result->score, result->spread,
		 result->interference, result->leftover);
	for (i = 0; i < result->alternative_count; i++) {
		len = strlen(text);
		if (len < size)
			snprintf(text + len, size - len, "%s%.20s %.2f",
				 i ? ", " : " over ",
				 workers[result->alternatives[i].worker].agent,
				 result->alternatives[i].score);
	}
}

int placement_possible(const struct resources *need,
		       const struct worker_view *workers, size_t count)
{
	const struct resources none = { 0, 0, 0 };
	size_t i;

	if (!count)
		return -1;
	for (i = 0; i < count; i++)
		if (placement_fits(need, &none, &workers[i].capacity))
			return 1;
	return 0;
}

int placement_compare(const struct placement_order *a,
		      const struct placement_order *b)
{
	if (a->urgent != b->urgent)
		return a->urgent ? -1 : 1;
	if (a->under_quota != b->under_quota)
		return a->under_quota ? -1 : 1;
	if (a->arrival_order != b->arrival_order)
		return a->arrival_order < b->arrival_order ? -1 : 1;
	return 0;
}
