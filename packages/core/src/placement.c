#include "placement.h"

#include <stdio.h>
#include <string.h>

/*
 * Share of the score for spreading a team over failure domains. It decides
 * between workers of similar load and gives way to a crowded worker.
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

static int has_room(uint32_t need, uint32_t used, uint32_t capacity)
{
	return (uint64_t)used + need <= capacity;
}

int placement_fits(const struct resources *need, const struct resources *used,
		   const struct resources *capacity)
{
	return has_room(need->cpu_milli, used->cpu_milli,
			capacity->cpu_milli) &&
	       has_room(need->mem_mb, used->mem_mb, capacity->mem_mb) &&
	       has_room(need->accel, used->accel, capacity->accel);
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

static uint32_t minus(uint32_t a, uint32_t b)
{
	return a > b ? a - b : 0;
}

static struct resources used_of(const struct placement_request *request,
				const struct worker_view *worker)
{
	struct resources used = worker->used;

	if (!request->allow_eviction)
		return used;
	used.cpu_milli = minus(used.cpu_milli, worker->evictable.cpu_milli);
	used.mem_mb = minus(used.mem_mb, worker->evictable.mem_mb);
	used.accel = minus(used.accel, worker->evictable.accel);
	return used;
}

static enum placement_verdict judge(const struct placement_request *request,
				    const struct worker_view *worker)
{
	const struct resources *need = &request->need;
	const struct resources used = used_of(request, worker);

	if (!worker->usable)
		return PLACEMENT_NOT_READY;
	if (worker->drained)
		return PLACEMENT_DRAINED;
	if (worker->ejected)
		return PLACEMENT_EJECTED;
	if (is_avoided(request, worker->agent_hash))
		return PLACEMENT_AVOIDED;
	if (!has_room(need->cpu_milli, used.cpu_milli,
		      worker->capacity.cpu_milli))
		return PLACEMENT_NO_CPU;
	if (!has_room(need->mem_mb, used.mem_mb, worker->capacity.mem_mb))
		return PLACEMENT_NO_MEMORY;
	if (!has_room(need->accel, used.accel, worker->capacity.accel))
		return PLACEMENT_NO_ACCEL;
	return PLACEMENT_FITS;
}

static double fraction(uint32_t need, uint32_t used, uint32_t capacity)
{
	return capacity ? ((double)used + need) / capacity : 0;
}

static double spread_of(const struct placement_request *request,
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
 * Interference grows with the processor load next to requests in flight. The
 * leftover term prefers a worker that the job fills up evenly, so that large
 * and urgent jobs find room elsewhere without an eviction.
 */
static struct score score_of(const struct placement_request *request,
			     const struct worker_view *worker)
{
	const struct resources *need = &request->need;
	const struct resources used = used_of(request, worker);
	double cpu = fraction(need->cpu_milli, used.cpu_milli,
			      worker->capacity.cpu_milli);
	double mem =
		fraction(need->mem_mb, used.mem_mb, worker->capacity.mem_mb);
	double busy = worker->request_slots
			      ? (double)worker->requests_in_flight /
					worker->request_slots
			      : 0;
	double latency = (double)request->latency_weight_percent / 100;
	double eviction = (double)request->eviction_weight_percent / 100;
	double skew = cpu > mem ? cpu - mem : mem - cpu;
	struct score score;

	score.spread = spread_of(request, worker);
	score.interference = cpu * (0.2 + 0.8 * (busy < 1 ? busy : 1));
	score.leftover = (skew + 1 - (cpu > mem ? cpu : mem)) / 2;
	score.total = WEIGHT_SPREAD * score.spread +
		      latency * score.interference + eviction * score.leftover;
	return score;
}

static void add_other(struct placement *result, int worker, double score)
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

static void look_at(struct placement *result,
		    const struct placement_request *request,
		    const struct worker_view *workers, int i)
{
	enum placement_verdict verdict = judge(request, &workers[i]);
	struct score score;

	result->examined_count++;
	result->verdict_counts[verdict]++;
	if (verdict != PLACEMENT_FITS)
		return;
	score = score_of(request, &workers[i]);
	if (result->worker >= 0 && score.total >= result->score) {
		add_other(result, i, score.total);
		return;
	}
	if (result->worker >= 0)
		add_other(result, result->worker, result->score);
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
			look_at(result, request, workers, (int)i);
		return;
	}
	for (round = 0; round < PLACEMENT_SAMPLE_ROUNDS && result->worker < 0;
	     round++)
		for (i = 0; i < PLACEMENT_SAMPLE_SIZE; i++)
			look_at(result, request, workers,
				(int)rng_below(rng, (uint32_t)count));
}

static void explain_refusal(const struct placement *result, char *text,
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
		explain_refusal(result, text, size);
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
