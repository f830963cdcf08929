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

#define QUEUE_MAX 1024
#define ATTEMPTS_MAX 3
#define TICK_INTERVAL_US 20000
#define REPORT_INTERVAL_US 1000000
#define ERROR_RESPONSE_US 1000

enum event_kind {
	EVENT_ARRIVAL,
	EVENT_AT_WORKER,
	EVENT_SERVED,
	EVENT_RESPONSE, /* arrives at the entry */
	EVENT_REFUSAL,	/* arrives at the entry */
	EVENT_DEADLINE,
	EVENT_REPORT,
	EVENT_TICK,
};

struct request {
	struct admission_item admission_item;
	struct request *next_free;
	uint32_t generation; /* increases each time the struct is reused */
	int entry;
	int within_share; /* its caller is within its fair share */
	int64_t arrived_at_us, sent_at_us;
	int attempt_count;
	int worker; /* -1 while not in flight */
	int is_probe;
	uint32_t attempt_id; /* to ignore responses to earlier attempts */
	char tried_agents[ATTEMPTS_MAX][ID_SIZE];
	int tried_agent_count;
};

struct event {
	int64_t at_us;
	uint64_t sequence;
	enum event_kind kind;
	int index; /* worker or entry */
	int failed;
	struct request *request;
	uint32_t generation, attempt_id;
};

struct worker {
	int busy_slots, failing;
	double speed;
	struct event queue[GATE_QUEUE_MAX];
	int queued_count;
	int in_transit; /* sent, not yet arrived; for the oracle */
	uint64_t announce_seq;
};

struct entry {
	struct membership membership;
	struct member *members[WORKER_COUNT];
	struct route *route;
	struct admission *admission;
	struct retry_budget retry_budget;
	int next_worker; /* round robin */
};

struct model {
	const struct scenario *scenario;
	const struct policy *policy;
	struct result *result;
	struct rng rng;
	int64_t now_us;
	struct event *heap;
	size_t heap_count, heap_allocated;
	uint64_t next_sequence;
	struct worker workers[WORKER_COUNT];
	struct entry entries[ENTRY_COUNT];
	struct request *free_requests;
};

static struct mstime model_now(const struct model *m)
{
	return mstime_from(1 + m->now_us / 1000);
}

static int event_before(const struct event *a, const struct event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->sequence < b->sequence;
}

static void schedule_event(struct model *m, struct event event,
			   int64_t delay_us)
{
	size_t i, parent;

	event.at_us = m->now_us + delay_us;
	event.sequence = m->next_sequence++;
	if (m->heap_count == m->heap_allocated) {
		m->heap_allocated =
			m->heap_allocated ? m->heap_allocated * 2 : 1024;
		m->heap =
			xrealloc(m->heap, m->heap_allocated * sizeof(*m->heap));
	}
	for (i = m->heap_count++; i; i = parent) {
		parent = (i - 1) / 2;
		if (!event_before(&event, &m->heap[parent]))
			break;
		m->heap[i] = m->heap[parent];
	}
	m->heap[i] = event;
}

static struct event take_event(struct model *m)
{
	struct event top = m->heap[0], last = m->heap[--m->heap_count];
	size_t i = 0, child;

	while ((child = 2 * i + 1) < m->heap_count) {
		if (child + 1 < m->heap_count &&
		    event_before(&m->heap[child + 1], &m->heap[child]))
			child++;
		if (!event_before(&m->heap[child], &last))
			break;
		m->heap[i] = m->heap[child];
		i = child;
	}
	m->heap[i] = last;
	return top;
}

static struct counters *current_counters(struct model *m)
{
	return &m->result->per_second[m->now_us / 1000000];
}

static const char *region_of_entry(const struct model *m, int entry)
{
	return m->scenario->remote_latency_us && entry == ENTRY_COUNT - 1 ? "b"
									  : "a";
}

static const char *region_of_worker(const struct model *m, int worker)
{
	return m->scenario->remote_latency_us &&
			       worker >= WORKER_COUNT - REMOTE_WORKER_COUNT
		       ? "b"
		       : "a";
}

static int is_remote(const struct model *m, int entry, int worker)
{
	return strcmp(region_of_entry(m, entry), region_of_worker(m, worker)) !=
	       0;
}

static int64_t hop_latency_us(const struct model *m, int entry, int worker)
{
	if (is_remote(m, entry, worker))
		return m->scenario->remote_latency_us;
	return m->scenario->hop_latency_us ? m->scenario->hop_latency_us
					   : HOP_LATENCY_US;
}

static void record_latency(struct model *m, const struct request *r,
			   int in_time)
{
	struct result *result = m->result;
	double latency_ms = (double)(m->now_us - r->arrived_at_us) / 1000;

	if (result->sample_count == result->samples_allocated) {
		result->samples_allocated =
			result->samples_allocated
				? result->samples_allocated * 2
				: 65536;
		result->samples = xrealloc(result->samples,
					   result->samples_allocated *
						   sizeof(*result->samples));
	}
	if (!in_time)
		latency_ms = m->scenario->deadline_ms;
	result->samples[result->sample_count].ended_at_s =
		(float)(m->now_us / 1e6);
	result->samples[result->sample_count++].latency_ms = (float)latency_ms;
	current_counters(m)->in_time += in_time;
	current_counters(m)->within_share_in_time += in_time && r->within_share;
}

static double draw_service_us(struct model *m, const struct worker *worker)
{
	double u = 1 - rng_unit(&m->rng), v = rng_unit(&m->rng);
	double normal = sqrt(-2 * log(u)) * cos(2 * M_PI * v);

	return SERVICE_MEAN_US *
	       exp(SERVICE_SIGMA * normal - SERVICE_SIGMA * SERVICE_SIGMA / 2) /
	       worker->speed;
}

static struct load worker_load(const struct worker *worker)
{
	struct load load = { .in_flight = (uint32_t)worker->busy_slots,
			     .queued = (uint32_t)worker->queued_count,
			     .connections = (uint32_t)worker->busy_slots };

	return load;
}

static void finish_request(struct model *m, struct request *r, int in_time)
{
	record_latency(m, r, in_time);
	admission_leave(m->entries[r->entry].admission, &r->admission_item);
	r->generation++;
	r->next_free = m->free_requests;
	m->free_requests = r;
}

/* A remote round trip counts as a queue that takes as long to serve. */
static int pick_oracle(struct model *m, int entry)
{
	int best = -1, best_load = 0, ties = 0, i;

	for (i = 0; i < WORKER_COUNT; i++) {
		const struct worker *w = &m->workers[i];
		int load = w->busy_slots + w->queued_count + w->in_transit;

		if (load >= SLOTS_PER_WORKER + GATE_QUEUE_MAX)
			continue;
		if (is_remote(m, entry, i))
			load += 2 * m->scenario->remote_latency_us *
				SLOTS_PER_WORKER / SERVICE_MEAN_US;
		if (best < 0 || load < best_load)
			ties = 0;
		else if (load > best_load)
			continue;
		/* Chooses evenly among ties. */
		if (!rng_below(&m->rng, (uint32_t)++ties))
			best = i;
		best_load = load;
	}
	return best;
}

static int pick_fewest_in_flight(struct model *m, const struct entry *entry)
{
	int i, best = (int)rng_below(&m->rng, WORKER_COUNT);

	for (i = 0; i < WORKER_COUNT; i++)
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
				     .now = model_now(m) };
	struct route_choice choice;
	int i;

	for (i = 0; i < r->tried_agent_count; i++)
		query.tried[i] = r->tried_agents[i];
	route_choose(entry->route, &query, &choice);
	if (!choice.member) {
		r->tried_agent_count = 0;
		return -1;
	}
	r->is_probe = choice.reason == ROUTE_PROBE;
	return atoi(choice.member->agent);
}

static int pick_worker(struct model *m, struct request *r)
{
	struct entry *entry = &m->entries[r->entry];

	r->is_probe = 0;
	switch (m->policy->pick_method) {
	case PICK_ROUTE:
		return pick_route(m, entry, r);
	case PICK_ORACLE:
		return pick_oracle(m, r->entry);
	case PICK_RANDOM:
		return (int)rng_below(&m->rng, WORKER_COUNT);
	case PICK_ROUND_ROBIN:
		return entry->next_worker++ % WORKER_COUNT;
	case PICK_FEWEST_IN_FLIGHT:
		return pick_fewest_in_flight(m, entry);
	}
	abort();
}

static int try_attempt(struct model *m, struct request *r)
{
	struct entry *entry = &m->entries[r->entry];
	int worker = pick_worker(m, r);
	struct event event = { .kind = EVENT_AT_WORKER,
			       .index = worker,
			       .request = r,
			       .generation = r->generation };

	if (worker < 0)
		return 0;
	admission_dequeue(entry->admission, &r->admission_item);
	r->worker = worker;
	r->sent_at_us = m->now_us;
	event.attempt_id = ++r->attempt_id;
	r->attempt_count++;
	str_copy(r->tried_agents[r->tried_agent_count++ % ATTEMPTS_MAX],
		 entry->members[worker]->agent, ID_SIZE);
	if (r->tried_agent_count > ATTEMPTS_MAX)
		r->tried_agent_count = ATTEMPTS_MAX;
	route_sent(entry->route, entry->members[worker], r->is_probe,
		   model_now(m));
	current_counters(m)->attempts++;
	current_counters(m)->attempts_to_failing += m->workers[worker].failing;
	current_counters(m)->attempts_to_remote +=
		is_remote(m, r->entry, worker);
	m->workers[worker].in_transit++;
	schedule_event(m, event, hop_latency_us(m, r->entry, worker));
	return 1;
}

static void drop_request(struct model *m, struct request *r,
			 enum admission_verdict verdict)
{
	current_counters(m)->within_share_refused +=
		r->within_share && verdict == ADMISSION_OVER_SHARE;
	finish_request(m, r, 0);
}

static void enqueue_request(struct model *m, struct request *r)
{
	struct admission_item *shed;
	enum admission_verdict verdict;

	admission_enqueue(m->entries[r->entry].admission, &r->admission_item,
			  model_now(m), &shed, &verdict);
	if (shed)
		drop_request(m,
			     list_entry(shed, struct request, admission_item),
			     verdict);
}

static void send_queued(struct model *m, struct entry *entry)
{
	struct admission_item *item;
	struct mstime now = model_now(m);

	/* At time 0 the queue never counts as overloaded: oldest first. */
	if (m->policy->fifo_queue)
		now = mstime_from(0);
	while ((item = admission_next(entry->admission, NULL, now)))
		if (!try_attempt(m, list_entry(item, struct request,
					       admission_item)))
			break;
}

static struct request *alloc_request(struct model *m)
{
	struct request *r = m->free_requests;
	uint32_t generation = 0, attempt_id = 0;

	if (r) {
		m->free_requests = r->next_free;
		generation = r->generation;
		attempt_id = r->attempt_id;
	} else {
		r = xmalloc(sizeof(*r));
	}
	memset(r, 0, sizeof(*r));
	r->generation = generation;
	r->attempt_id = attempt_id;
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

/* RETURN VALUE: index of the caller; the flooding one is the last. */
static int pick_caller(struct model *m, double load)
{
	const struct scenario *scenario = m->scenario;
	double share = scenario->phases[0].load / load;

	if (!scenario->caller_count)
		return 0;
	if (load > scenario->phases[0].load && rng_unit(&m->rng) >= share)
		return scenario->caller_count;
	return (int)rng_below(&m->rng, (uint32_t)scenario->caller_count);
}

static void on_arrival(struct model *m)
{
	double load = load_at(m->scenario, m->now_us);
	struct event next = { .kind = EVENT_ARRIVAL };
	struct event deadline = { .kind = EVENT_DEADLINE };
	enum admission_verdict verdict;
	struct request *r;
	struct entry *entry;
	char caller[16];
	int caller_index;

	if (load <= 0)
		return;
	schedule_event(m, next,
		       (int64_t)(-log(1 - rng_unit(&m->rng)) * 1e6 /
				 (load * m->result->capacity_per_s)));
	r = alloc_request(m);
	r->entry = (int)rng_below(&m->rng, ENTRY_COUNT);
	r->arrived_at_us = m->now_us;
	entry = &m->entries[r->entry];
	caller_index = pick_caller(m, load);
	r->within_share = caller_index < m->scenario->caller_count;
	snprintf(caller, sizeof(caller), "caller%d", caller_index);
	current_counters(m)->offered++;
	current_counters(m)->within_share_offered += r->within_share;
	verdict = admission_enter(
		entry->admission, &r->admission_item, caller,
		mstime_add(model_now(m), m->scenario->deadline_ms),
		model_now(m));
	if (verdict != ADMISSION_OK) {
		drop_request(m, r, verdict);
		return;
	}
	retry_count_request(&entry->retry_budget);
	deadline.request = r;
	deadline.generation = r->generation;
	schedule_event(m, deadline, m->scenario->deadline_ms * 1000LL);
	if (admission_waiting(entry->admission) || !try_attempt(m, r))
		enqueue_request(m, r);
}

static void start_service(struct model *m, struct event event)
{
	struct worker *worker = &m->workers[event.index];
	int64_t us = (int64_t)draw_service_us(m, worker);

	worker->busy_slots++;
	event.kind = EVENT_SERVED;
	event.failed = worker->failing;
	if (worker->failing && m->scenario->failure == FAILURE_ERROR)
		us = ERROR_RESPONSE_US;
	/* The agent frees the slot at the deadline. */
	if (worker->failing && m->scenario->failure == FAILURE_HANG)
		us = m->scenario->deadline_ms * 1000LL;
	schedule_event(m, event, us);
}

static void on_request_at_worker(struct model *m, struct event event)
{
	struct worker *worker = &m->workers[event.index];

	worker->in_transit--;
	if (worker->busy_slots < SLOTS_PER_WORKER) {
		start_service(m, event);
	} else if (worker->queued_count < GATE_QUEUE_MAX) {
		worker->queue[worker->queued_count++] = event;
	} else {
		event.kind = EVENT_REFUSAL;
		schedule_event(
			m, event,
			hop_latency_us(m, event.request->entry, event.index));
	}
}

static int is_current(const struct event *event)
{
	const struct request *r = event->request;

	return r->generation == event->generation &&
	       r->attempt_id == event->attempt_id && r->worker >= 0;
}

static void on_served(struct model *m, struct event event)
{
	struct worker *worker = &m->workers[event.index];
	struct event next;

	worker->busy_slots--;
	event.kind = EVENT_RESPONSE;
	schedule_event(m, event,
		       hop_latency_us(m, event.request->entry, event.index));
	while (worker->queued_count && worker->busy_slots < SLOTS_PER_WORKER) {
		next = worker->queue[0];
		memmove(worker->queue, worker->queue + 1,
			(size_t)--worker->queued_count * sizeof(next));
		/* Requests that have ended meanwhile are not started. */
		if (is_current(&next))
			start_service(m, next);
	}
}

static void retry_or_fail(struct model *m, struct request *r)
{
	struct entry *entry = &m->entries[r->entry];

	if (r->attempt_count >= ATTEMPTS_MAX ||
	    (!m->policy->unlimited_retries &&
	     !retry_take(&entry->retry_budget, model_now(m)))) {
		finish_request(m, r, 0);
		return;
	}
	if (!try_attempt(m, r))
		enqueue_request(m, r);
}

static void on_response(struct model *m, const struct event *event)
{
	struct request *r = event->request;
	struct entry *entry = &m->entries[r->entry];
	struct member *member = entry->members[event->index];
	int failed = event->failed;

	if (!is_current(event))
		return;
	r->worker = -1;
	member->load = worker_load(&m->workers[event->index]);
	route_released(entry->route, member, 1);
	if (event->kind == EVENT_RESPONSE)
		route_result(entry->route, member, failed, r->is_probe,
			     failed ? m->scenario->deadline_ms
				    : (m->now_us - r->sent_at_us) / 1000,
			     model_now(m));
	if (event->kind == EVENT_REFUSAL || failed)
		retry_or_fail(m, r);
	else
		finish_request(m, r, 1);
	send_queued(m, entry);
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
					     (m->now_us - r->sent_at_us) /
						     1000))
			route_result(entry->route, member, 1, r->is_probe,
				     m->scenario->deadline_ms, model_now(m));
		else if (r->is_probe)
			route_probe_abandoned(entry->route, member);
	}
	finish_request(m, r, 0);
	send_queued(m, entry);
}

static void announce_worker(struct model *m, int index)
{
	struct worker *worker = &m->workers[index];
	struct msg_announce msg = { .incarnation = 1,
				    .service = "s",
				    .slots = SLOTS_PER_WORKER,
				    .connections = 64,
				    .state = AGENT_READY };
	int i;

	msg.seq = ++worker->announce_seq;
	msg.load = worker_load(worker);
	str_copy(msg.region, region_of_worker(m, index), sizeof(msg.region));
	snprintf(msg.agent, sizeof(msg.agent), "%d", index);
	for (i = 0; i < ENTRY_COUNT; i++) {
		struct entry *entry = &m->entries[i];

		membership_apply_announce(&entry->membership, &msg, msg.agent,
					  model_now(m));
		if (msg.seq == 1) {
			entry->members[index] =
				membership_find(&entry->membership, msg.agent);
			route_update(entry->route, entry->members[index], NULL);
		}
		send_queued(m, entry);
	}
}

static void on_report(struct model *m, struct event event)
{
	announce_worker(m, event.index);
	schedule_event(m, event,
		       (int64_t)(REPORT_INTERVAL_US *
				 (0.8 + 0.4 * rng_unit(&m->rng))));
}

static void on_tick(struct model *m, struct event event)
{
	struct entry *entry = &m->entries[event.index];
	struct admission_item *item;
	enum admission_verdict verdict;

	while (!m->policy->fifo_queue &&
	       (item = admission_expired(entry->admission, model_now(m),
					 &verdict)))
		drop_request(m,
			     list_entry(item, struct request, admission_item),
			     verdict);
	send_queued(m, entry);
	schedule_event(m, event, TICK_INTERVAL_US);
}

static void handle_event(struct model *m, struct event event)
{
	switch (event.kind) {
	case EVENT_ARRIVAL:
		on_arrival(m);
		break;
	case EVENT_AT_WORKER:
		on_request_at_worker(m, event);
		break;
	case EVENT_SERVED:
		on_served(m, event);
		break;
	case EVENT_RESPONSE:
	case EVENT_REFUSAL:
		on_response(m, &event);
		break;
	case EVENT_DEADLINE:
		on_deadline(m, &event);
		break;
	case EVENT_REPORT:
		on_report(m, event);
		break;
	case EVENT_TICK:
		on_tick(m, event);
		break;
	}
}

static void on_remove(void *arg, struct member *member)
{
	route_remove(arg, member);
}

static void model_init(struct model *m, uint64_t seed)
{
	struct event event = { .kind = EVENT_ARRIVAL };
	int i;

	rng_seed(&m->rng, seed);
	for (i = 0; i < WORKER_COUNT; i++) {
		double speed = m->scenario->speed[i];

		m->workers[i].speed = speed > 0 ? speed : 1;
		m->result->capacity_per_s += m->workers[i].speed *
					     SLOTS_PER_WORKER * 1e6 /
					     SERVICE_MEAN_US;
	}
	for (i = 0; i < ENTRY_COUNT; i++) {
		struct entry *entry = &m->entries[i];

		membership_init(&entry->membership);
		entry->route = route_new(&entry->membership, seed + 1 + i);
		entry->membership.on_remove = on_remove;
		entry->membership.on_remove_arg = entry->route;
		entry->admission = admission_new(QUEUE_MAX);
		retry_init(&entry->retry_budget, 10, 10, model_now(m));
	}
	schedule_event(m, event, 1000);
	for (event.kind = EVENT_REPORT, i = 0; i < WORKER_COUNT; i++) {
		event.index = i;
		schedule_event(m, event, 0);
	}
	for (event.kind = EVENT_TICK, i = 0; i < ENTRY_COUNT; i++) {
		event.index = i;
		schedule_event(m, event, TICK_INTERVAL_US);
	}
}

static void model_clear(struct model *m)
{
	int i;

	for (i = 0; i < ENTRY_COUNT; i++) {
		membership_clear(&m->entries[i].membership);
		route_delete(m->entries[i].route);
		admission_delete(m->entries[i].admission);
	}
	while (m->free_requests) {
		struct request *r = m->free_requests;

		m->free_requests = r->next_free;
		free(r);
	}
	free(m->heap);
}

static void fail_workers(struct model *m)
{
	int i;

	for (i = 0; i < m->scenario->failing_workers; i++)
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
	model_init(m, seed);
	for (i = 0; i < PHASES_MAX; i++)
		if (scenario->phases[i].until_s)
			end_us = scenario->phases[i].until_s * 1000000LL;
	/* Lets requests in progress at the end of the load complete. */
	end_us += 2000LL * scenario->deadline_ms;
	while (m->heap_count && m->heap[0].at_us < end_us) {
		struct event event = take_event(m);

		m->now_us = event.at_us;
		if (scenario->failing_workers &&
		    m->now_us >= scenario->fail_at_s * 1000000LL)
			fail_workers(m);
		handle_event(m, event);
	}
	model_clear(m);
	free(m);
}
