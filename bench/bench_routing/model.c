#include "model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "mem.h"
#include "retry.h"
#include "rng.h"
#include "route.h"

#define QUEUE_LIMIT 1024
#define ATTEMPTS 3
#define TICK_US 20000
#define REPORT_US 1000000
#define ERROR_US 1000

enum kind {
	ARRIVAL,
	AT_WORKER,
	SERVED,
	ANSWER,	 /* reaches the entry */
	REFUSED, /* reaches the entry */
	DEADLINE,
	REPORT,
	TICK,
};

struct request {
	struct admission_item admission_item;
	struct request *next_free;
	uint32_t generation; /* tells a reused structure apart */
	int entry;
	int keeps; /* its caller keeps to its share */
	int64_t arrived_us, sent_us;
	int attempt_count;
	int worker; /* -1 while not in flight */
	int probe;
	uint32_t attempt; /* tells answers to earlier attempts apart */
	char tried_agents[ATTEMPTS][ID_SIZE];
	int tried_agent_count;
};

struct event {
	int64_t at_us;
	uint64_t order;
	enum kind kind;
	int index; /* worker or entry */
	int failed;
	struct request *request;
	uint32_t generation, attempt;
};

struct worker {
	int busy, failing;
	double speed;
	struct event queue[GATE_QUEUE];
	int queued;
	int in_transit; /* sent, not arrived; for the oracle only */
	uint64_t seq;
};

struct entry {
	struct membership membership;
	struct member *members[WORKERS];
	struct route *route;
	struct admission *admission;
	struct retry_budget retry;
	int next; /* round robin */
};

struct model {
	const struct scenario *scenario;
	const struct policy *policy;
	struct result *result;
	struct rng rng;
	int64_t now_us;
	struct event *heap;
	size_t count, size;
	uint64_t order;
	struct worker workers[WORKERS];
	struct entry entries[ENTRIES];
	struct request *free;
};

static struct mstime now_of(const struct model *m)
{
	return mstime_from(1 + m->now_us / 1000);
}

static int earlier(const struct event *a, const struct event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->order < b->order;
}

static void push(struct model *m, struct event event, int64_t delay_us)
{
	size_t i, parent;

	event.at_us = m->now_us + delay_us;
	event.order = m->order++;
	if (m->count == m->size) {
		m->size = m->size ? m->size * 2 : 1024;
		m->heap = xrealloc(m->heap, m->size * sizeof(*m->heap));
	}
	for (i = m->count++; i; i = parent) {
		parent = (i - 1) / 2;
		if (!earlier(&event, &m->heap[parent]))
			break;
		m->heap[i] = m->heap[parent];
	}
	m->heap[i] = event;
}

static struct event pop(struct model *m)
{
	struct event top = m->heap[0], last = m->heap[--m->count];
	size_t i = 0, child;

	while ((child = 2 * i + 1) < m->count) {
		if (child + 1 < m->count &&
		    earlier(&m->heap[child + 1], &m->heap[child]))
			child++;
		if (!earlier(&m->heap[child], &last))
			break;
		m->heap[i] = m->heap[child];
		i = child;
	}
	m->heap[i] = last;
	return top;
}

static struct second *second_of(struct model *m)
{
	return &m->result->seconds[m->now_us / 1000000];
}

static const char *region_of_entry(const struct model *m, int entry)
{
	return m->scenario->remote_us && entry == ENTRIES - 1 ? "b" : "a";
}

static const char *region_of_worker(const struct model *m, int worker)
{
	return m->scenario->remote_us && worker >= WORKERS - REMOTE_WORKERS
		       ? "b"
		       : "a";
}

static int is_remote(const struct model *m, int entry, int worker)
{
	return strcmp(region_of_entry(m, entry), region_of_worker(m, worker)) !=
	       0;
}

static int64_t hop_us(const struct model *m, int entry, int worker)
{
	if (is_remote(m, entry, worker))
		return m->scenario->remote_us;
	return m->scenario->hop_us ? m->scenario->hop_us : HOP_US;
}

static void record(struct model *m, const struct request *r, int in_time)
{
	struct result *result = m->result;
	double ms = (double)(m->now_us - r->arrived_us) / 1000;

	if (result->count == result->size) {
		result->size = result->size ? result->size * 2 : 65536;
		result->samples =
			xrealloc(result->samples,
				 result->size * sizeof(*result->samples));
	}
	if (!in_time)
		ms = m->scenario->deadline_ms;
	result->samples[result->count].at_s = (float)(m->now_us / 1e6);
	result->samples[result->count++].ms = (float)ms;
	second_of(m)->in_time += in_time;
	second_of(m)->kept_in_time += in_time && r->keeps;
}

static double service_us(struct model *m, const struct worker *worker)
{
	double u = 1 - rng_unit(&m->rng), v = rng_unit(&m->rng);
	double normal = sqrt(-2 * log(u)) * cos(2 * M_PI * v);

	return MEAN_US * exp(SIGMA * normal - SIGMA * SIGMA / 2) /
	       worker->speed;
}

static struct load load_of(const struct worker *worker)
{
	struct load load = { .in_flight = (uint32_t)worker->busy,
			     .queued = (uint32_t)worker->queued,
			     .connections = (uint32_t)worker->busy };

	return load;
}

static void finish(struct model *m, struct request *r, int in_time)
{
	record(m, r, in_time);
	admission_leave(m->entries[r->entry].admission, &r->admission_item);
	r->generation++;
	r->next_free = m->free;
	m->free = r;
}

/* A remote hop counts as the queue that takes as long. */
static int pick_oracle(struct model *m, int entry)
{
	int best = -1, best_load = 0, ties = 0, i;

	for (i = 0; i < WORKERS; i++) {
		const struct worker *w = &m->workers[i];
		int load = w->busy + w->queued + w->in_transit;

		if (load >= SLOTS + GATE_QUEUE)
			continue;
		if (is_remote(m, entry, i))
			load += 2 * m->scenario->remote_us * SLOTS / MEAN_US;
		if (best < 0 || load < best_load)
			ties = 0;
		else if (load > best_load)
			continue;
		/* Ties are broken evenly. */
		if (!rng_below(&m->rng, (uint32_t)++ties))
			best = i;
		best_load = load;
	}
	return best;
}

static int pick_fewest(struct model *m, const struct entry *entry)
{
	int i, best = (int)rng_below(&m->rng, WORKERS);

	for (i = 0; i < WORKERS; i++)
		if (entry->members[i]->own_in_flight <
		    entry->members[best]->own_in_flight)
			best = i;
	return best;
}

static int pick_route(struct model *m, struct entry *entry, struct request *r)
{
	struct route_query query = { .service = "s",
				     .region = region_of_entry(m, r->entry),
				     .tried_count =
					     (size_t)r->tried_agent_count,
				     .may_probe = 1,
				     .in_flight_limit = 64,
				     .now = now_of(m) };
	struct route_choice choice;
	int i;

	for (i = 0; i < r->tried_agent_count; i++)
		query.tried[i] = r->tried_agents[i];
	route_choose(entry->route, &query, &choice);
	if (!choice.member) {
		r->tried_agent_count = 0;
		return -1;
	}
	r->probe = choice.reason == ROUTE_PROBE;
	return atoi(choice.member->agent);
}

static int pick(struct model *m, struct request *r)
{
	struct entry *entry = &m->entries[r->entry];

	r->probe = 0;
	switch (m->policy->pick) {
	case PICK_ROUTE:
		return pick_route(m, entry, r);
	case PICK_ORACLE:
		return pick_oracle(m, r->entry);
	case PICK_RANDOM:
		return (int)rng_below(&m->rng, WORKERS);
	case PICK_ROUND_ROBIN:
		return entry->next++ % WORKERS;
	case PICK_FEWEST:
		return pick_fewest(m, entry);
	}
	abort();
}

static int try_send(struct model *m, struct request *r)
{
	struct entry *entry = &m->entries[r->entry];
	int worker = pick(m, r);
	struct event event = { .kind = AT_WORKER,
			       .index = worker,
			       .request = r,
			       .generation = r->generation };

	if (worker < 0)
		return 0;
	admission_dequeue(entry->admission, &r->admission_item);
	r->worker = worker;
	r->sent_us = m->now_us;
	event.attempt = ++r->attempt;
	r->attempt_count++;
	str_copy(r->tried_agents[r->tried_agent_count++ % ATTEMPTS],
		 entry->members[worker]->agent, ID_SIZE);
	if (r->tried_agent_count > ATTEMPTS)
		r->tried_agent_count = ATTEMPTS;
	route_sent(entry->route, entry->members[worker], r->probe, now_of(m));
	second_of(m)->attempts++;
	second_of(m)->to_failing += m->workers[worker].failing;
	second_of(m)->to_remote += is_remote(m, r->entry, worker);
	m->workers[worker].in_transit++;
	push(m, event, hop_us(m, r->entry, worker));
	return 1;
}

static void refuse(struct model *m, struct request *r,
		   enum admission_verdict why)
{
	second_of(m)->kept_refused += r->keeps && why == ADMISSION_OVER_SHARE;
	finish(m, r, 0);
}

static void enqueue(struct model *m, struct request *r)
{
	struct admission_item *evicted;
	enum admission_verdict why;

	admission_enqueue(m->entries[r->entry].admission, &r->admission_item,
			  now_of(m), &evicted, &why);
	if (evicted)
		refuse(m, list_entry(evicted, struct request, admission_item),
		       why);
}

static void drain(struct model *m, struct entry *entry)
{
	struct admission_item *item;
	struct mstime now = now_of(m);

	/* The plain queue looks as if it were never overloaded. */
	if (m->policy->plain_queue)
		now = mstime_from(0);
	while ((item = admission_next(entry->admission, NULL, now)))
		if (!try_send(m,
			      list_entry(item, struct request, admission_item)))
			break;
}

static struct request *take_free(struct model *m)
{
	struct request *r = m->free;
	uint32_t generation = 0, attempt = 0;

	if (r) {
		m->free = r->next_free;
		generation = r->generation;
		attempt = r->attempt;
	} else {
		r = xmalloc(sizeof(*r));
	}
	memset(r, 0, sizeof(*r));
	r->generation = generation;
	r->attempt = attempt;
	r->worker = -1;
	return r;
}

static double load_at(const struct scenario *scenario, int64_t now_us)
{
	int i;

	for (i = 0; i < PHASES_MAX && scenario->phases[i].until_s; i++)
		if (now_us < scenario->phases[i].until_s * 1000000LL)
			return scenario->phases[i].load;
	return 0;
}

/* Index of the caller; the one that floods comes after the others. */
static int pick_caller(struct model *m, double load)
{
	const struct scenario *scenario = m->scenario;
	double kept = scenario->phases[0].load / load;

	if (!scenario->callers)
		return 0;
	if (load > scenario->phases[0].load && rng_unit(&m->rng) >= kept)
		return scenario->callers;
	return (int)rng_below(&m->rng, (uint32_t)scenario->callers);
}

static void on_arrival(struct model *m)
{
	double load = load_at(m->scenario, m->now_us);
	struct event next = { .kind = ARRIVAL };
	struct event deadline = { .kind = DEADLINE };
	enum admission_verdict verdict;
	struct request *r;
	struct entry *entry;
	char caller[16];
	int number;

	if (load <= 0)
		return;
	push(m, next,
	     (int64_t)(-log(1 - rng_unit(&m->rng)) * 1e6 /
		       (load * m->result->capacity)));
	r = take_free(m);
	r->entry = (int)rng_below(&m->rng, ENTRIES);
	r->arrived_us = m->now_us;
	entry = &m->entries[r->entry];
	number = pick_caller(m, load);
	r->keeps = number < m->scenario->callers;
	snprintf(caller, sizeof(caller), "caller%d", number);
	second_of(m)->offered++;
	second_of(m)->kept_offered += r->keeps;
	verdict = admission_enter(
		entry->admission, &r->admission_item, caller,
		mstime_add(now_of(m), m->scenario->deadline_ms), now_of(m));
	if (verdict != ADMISSION_OK) {
		refuse(m, r, verdict);
		return;
	}
	retry_count_request(&entry->retry);
	deadline.request = r;
	deadline.generation = r->generation;
	push(m, deadline, m->scenario->deadline_ms * 1000LL);
	if (admission_waiting(entry->admission) || !try_send(m, r))
		enqueue(m, r);
}

static void serve(struct model *m, struct event event)
{
	struct worker *worker = &m->workers[event.index];
	int64_t us = (int64_t)service_us(m, worker);

	worker->busy++;
	event.kind = SERVED;
	event.failed = worker->failing;
	if (worker->failing && m->scenario->failure == FAILURE_ERROR)
		us = ERROR_US;
	/* The agent gives the slot back when the deadline has passed. */
	if (worker->failing && m->scenario->failure == FAILURE_HANG)
		us = m->scenario->deadline_ms * 1000LL;
	push(m, event, us);
}

static void on_worker(struct model *m, struct event event)
{
	struct worker *worker = &m->workers[event.index];

	worker->in_transit--;
	if (worker->busy < SLOTS) {
		serve(m, event);
	} else if (worker->queued < GATE_QUEUE) {
		worker->queue[worker->queued++] = event;
	} else {
		event.kind = REFUSED;
		push(m, event, hop_us(m, event.request->entry, event.index));
	}
}

static int is_current(const struct event *event)
{
	const struct request *r = event->request;

	return r->generation == event->generation &&
	       r->attempt == event->attempt && r->worker >= 0;
}

static void on_served(struct model *m, struct event event)
{
	struct worker *worker = &m->workers[event.index];
	struct event next;

	worker->busy--;
	event.kind = ANSWER;
	push(m, event, hop_us(m, event.request->entry, event.index));
	while (worker->queued && worker->busy < SLOTS) {
		next = worker->queue[0];
		memmove(worker->queue, worker->queue + 1,
			(size_t)--worker->queued * sizeof(next));
		/* What was given up meanwhile is dropped before its start. */
		if (is_current(&next))
			serve(m, next);
	}
}

static void after_failure(struct model *m, struct request *r)
{
	struct entry *entry = &m->entries[r->entry];

	if (r->attempt_count >= ATTEMPTS ||
	    (!m->policy->free_retries &&
	     !retry_take(&entry->retry, now_of(m)))) {
		finish(m, r, 0);
		return;
	}
	if (!try_send(m, r))
		enqueue(m, r);
}

static void on_answer(struct model *m, const struct event *event)
{
	struct request *r = event->request;
	struct entry *entry = &m->entries[r->entry];
	struct member *member = entry->members[event->index];
	int failed = event->failed;

	if (!is_current(event))
		return;
	r->worker = -1;
	member->load = load_of(&m->workers[event->index]);
	route_released(entry->route, member, 1);
	if (event->kind == ANSWER)
		route_result(entry->route, member, failed, r->probe,
			     failed ? m->scenario->deadline_ms
				    : (m->now_us - r->sent_us) / 1000,
			     now_of(m));
	if (event->kind == REFUSED || failed)
		after_failure(m, r);
	else
		finish(m, r, 1);
	drain(m, entry);
}

static void on_deadline(struct model *m, const struct event *event)
{
	struct request *r = event->request;
	struct entry *entry = &m->entries[r->entry];
	struct member *member;

	if (r->generation != event->generation)
		return;
	if (r->worker >= 0) {
		member = entry->members[r->worker];
		route_released(entry->route, member, 1);
		if (route_timeout_is_failure(entry->route, member,
					     (m->now_us - r->sent_us) / 1000))
			route_result(entry->route, member, 1, r->probe,
				     m->scenario->deadline_ms, now_of(m));
		else if (r->probe)
			route_probe_abandoned(entry->route, member);
	}
	finish(m, r, 0);
	drain(m, entry);
}

static void announce(struct model *m, int index)
{
	struct worker *worker = &m->workers[index];
	struct msg_announce msg = { .incarnation = 1,
				    .service = "s",
				    .slots = SLOTS,
				    .connections = 64,
				    .state = AGENT_READY };
	int i;

	msg.seq = ++worker->seq;
	msg.load = load_of(worker);
	str_copy(msg.region, region_of_worker(m, index), sizeof(msg.region));
	snprintf(msg.agent, sizeof(msg.agent), "%d", index);
	for (i = 0; i < ENTRIES; i++) {
		struct entry *entry = &m->entries[i];

		membership_apply_announce(&entry->membership, &msg, msg.agent,
					  now_of(m));
		if (msg.seq == 1) {
			entry->members[index] =
				membership_find(&entry->membership, msg.agent);
			route_update(entry->route, entry->members[index], NULL);
		}
		drain(m, entry);
	}
}

static void on_report(struct model *m, struct event event)
{
	announce(m, event.index);
	push(m, event, (int64_t)(REPORT_US * (0.8 + 0.4 * rng_unit(&m->rng))));
}

static void on_tick(struct model *m, struct event event)
{
	struct entry *entry = &m->entries[event.index];
	struct admission_item *item;
	enum admission_verdict why;

	while (!m->policy->plain_queue &&
	       (item = admission_expired(entry->admission, now_of(m), &why)))
		refuse(m, list_entry(item, struct request, admission_item),
		       why);
	drain(m, entry);
	push(m, event, TICK_US);
}

static void dispatch(struct model *m, struct event event)
{
	switch (event.kind) {
	case ARRIVAL:
		on_arrival(m);
		break;
	case AT_WORKER:
		on_worker(m, event);
		break;
	case SERVED:
		on_served(m, event);
		break;
	case ANSWER:
	case REFUSED:
		on_answer(m, &event);
		break;
	case DEADLINE:
		on_deadline(m, &event);
		break;
	case REPORT:
		on_report(m, event);
		break;
	case TICK:
		on_tick(m, event);
		break;
	}
}

static void on_remove(void *arg, struct member *member)
{
	route_remove(arg, member);
}

static void start(struct model *m, uint64_t seed)
{
	struct event event = { .kind = ARRIVAL };
	int i;

	rng_seed(&m->rng, seed);
	for (i = 0; i < WORKERS; i++) {
		double speed = m->scenario->speed[i];

		m->workers[i].speed = speed > 0 ? speed : 1;
		m->result->capacity +=
			m->workers[i].speed * SLOTS * 1e6 / MEAN_US;
	}
	for (i = 0; i < ENTRIES; i++) {
		struct entry *entry = &m->entries[i];

		membership_init(&entry->membership);
		entry->route = route_new(&entry->membership, seed + 1 + i);
		entry->membership.on_remove = on_remove;
		entry->membership.on_remove_arg = entry->route;
		entry->admission = admission_new(QUEUE_LIMIT);
		retry_init(&entry->retry, 10, 10, now_of(m));
	}
	push(m, event, 1000);
	for (event.kind = REPORT, i = 0; i < WORKERS; i++) {
		event.index = i;
		push(m, event, 0);
	}
	for (event.kind = TICK, i = 0; i < ENTRIES; i++) {
		event.index = i;
		push(m, event, TICK_US);
	}
}

static void stop(struct model *m)
{
	int i;

	for (i = 0; i < ENTRIES; i++) {
		membership_clear(&m->entries[i].membership);
		route_delete(m->entries[i].route);
		admission_delete(m->entries[i].admission);
	}
	while (m->free) {
		struct request *r = m->free;

		m->free = r->next_free;
		free(r);
	}
	free(m->heap);
}

static void fail_workers(struct model *m)
{
	int i;

	for (i = 0; i < m->scenario->failing; i++)
		m->workers[i].failing = 1;
}

void model_run(const struct scenario *scenario, const struct policy *policy,
	       uint64_t seed, struct result *result)
{
	struct model *m = xcalloc(1, sizeof(*m));
	int64_t end_us = 0;
	int i;

	memset(result, 0, sizeof(*result));
	m->scenario = scenario;
	m->policy = policy;
	m->result = result;
	start(m, seed);
	for (i = 0; i < PHASES_MAX; i++)
		if (scenario->phases[i].until_s)
			end_us = scenario->phases[i].until_s * 1000000LL;
	/* Requests in progress at the end are let run out. */
	end_us += 2000LL * scenario->deadline_ms;
	while (m->count && m->heap[0].at_us < end_us) {
		struct event event = pop(m);

		m->now_us = event.at_us;
		if (scenario->failing &&
		    m->now_us >= scenario->fail_at_s * 1000000LL)
			fail_workers(m);
		dispatch(m, event);
	}
	stop(m);
	free(m);
}
