#include "route.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "mem.h"
#include "route_impl.h"

/* Members examined before a region counts as full. */
#define SAMPLE_MAX 32
/*
 * After this time without results, a member's average latency begins to
 * decay towards that of its service; the difference halves each such period.
 */
#define LATENCY_HALF_LIFE_MS 2000

struct candidates {
	struct member *items[2];
	uint32_t count;
	uint32_t examined_count;
};

static int is_stale(const struct member *member, struct mstime now)
{
	return mstime_diff(now, member->reported_at) > ROUTE_STALE_MS;
}

static uint32_t in_flight(const struct member *member, struct mstime now)
{
	uint32_t reported = member->load.in_flight + member->load.queued;

	if (is_stale(member, now) || member->own_in_flight > reported)
		return member->own_in_flight;
	return reported;
}

/*
 * A member with a high average latency gets no requests that could lower it,
 * so the average decays towards that of the service. A member without results
 * gets the average of the service, so that it is neither preferred nor
 * avoided.
 */
static double latency(const struct member *member, struct mstime now)
{
	const struct route_member *state = member->route_state;
	double service_latency_ms = state->service->latency_ewma_ms;
	int64_t age_ms = mstime_diff(now, state->last_result_at);

	if (service_latency_ms <= 0)
		service_latency_ms = 1;
	if (state->latency_ewma_ms <= 0)
		return service_latency_ms;
	if (age_ms < LATENCY_HALF_LIFE_MS)
		return state->latency_ewma_ms;
	return service_latency_ms +
	       (state->latency_ewma_ms - service_latency_ms) *
		       exp2(1 - (double)age_ms / LATENCY_HALF_LIFE_MS);
}

static double weight(const struct member *member, struct mstime now)
{
	return (in_flight(member, now) + 1) * latency(member, now);
}

static int was_tried(const struct route_query *query,
		     const struct member *member)
{
	size_t i;

	for (i = 0; i < query->tried_count; i++)
		if (!strcmp(query->tried[i], member->agent))
			return 1;
	return 0;
}

static int has_capacity(const struct member *member,
			const struct route_query *query)
{
	if (member->own_in_flight >= query->in_flight_limit)
		return 0;
	if (member->load.connections >= member->connections)
		return 0;
	return in_flight(member, query->now) <
	       member->slots + ROUTE_AGENT_QUEUE_MAX;
}

static int is_eligible(const struct route *route, const struct member *member,
		       const struct route_query *query)
{
	return member_usable(route->membership, member, query->now) &&
	       !was_tried(query, member) && has_capacity(member, query);
}

static void examine(struct route *route, const struct route_query *query,
		    struct member *member, struct candidates *found)
{
	found->examined_count++;
	if (found->count && found->items[0] == member)
		return;
	if (is_eligible(route, member, query))
		found->items[found->count++] = member;
}

/* Samples a small group without replacement, so that no member is missed. */
static void sample_all(struct route *route, const struct member_group *group,
		       const struct route_query *query,
		       struct candidates *found)
{
	uint32_t order[SAMPLE_MAX], i, j, picked;

	for (i = 0; i < group->count; i++)
		order[i] = i;
	for (i = 0; i < group->count && found->count < 2; i++) {
		j = i + rng_below(&route->rng, group->count - i);
		picked = order[j];
		order[j] = order[i];
		examine(route, query, group->items[picked], found);
	}
}

static void sample(struct route *route, const struct member_group *group,
		   const struct route_query *query, struct candidates *found)
{
	uint32_t i;

	if (group->count <= SAMPLE_MAX) {
		sample_all(route, group, query, found);
		return;
	}
	for (i = 0; i < SAMPLE_MAX && found->count < 2; i++)
		examine(route, query,
			group->items[rng_below(&route->rng, group->count)],
			found);
}

static void choose_better(struct route_choice *choice,
			  const struct candidates *found, struct mstime now)
{
	struct member *first = found->items[0], *second;
	double first_weight = weight(first, now), second_weight;

	choice->member = first;
	choice->weight = first_weight;
	if (found->count == 2) {
		second = found->items[1];
		second_weight = weight(second, now);
		if (second_weight < first_weight) {
			choice->member = second;
			choice->weight = second_weight;
			second = first;
			second_weight = first_weight;
		}
		str_copy(choice->other_agent, second->agent,
			 sizeof(choice->other_agent));
		choice->other_weight = second_weight;
	}
	choice->in_flight = in_flight(choice->member, now);
	choice->stale = is_stale(choice->member, now);
}

static int choose_probe(struct route *route, struct service *service,
			const struct route_query *query,
			struct route_choice *choice)
{
	const struct member_group *ejected = &service->ejected;
	struct member *member;
	struct route_member *state;

	if (!query->may_probe || !ejected->count || query->tried_count)
		return 0;
	member = ejected->items[service->probe_cursor++ % ejected->count];
	state = member->route_state;
	if (!eject_probe_due(&state->eject, query->now) ||
	    !member_usable(route->membership, member, query->now))
		return 0;
	choice->member = member;
	choice->reason = ROUTE_PROBE;
	choice->weight = weight(member, query->now);
	choice->in_flight = in_flight(member, query->now);
	return 1;
}

static int choose_local(struct route *route, const struct service *service,
			const struct route_query *query,
			struct route_choice *choice)
{
	const struct member_group *group = route_group(service, query->region);
	struct candidates found = { .count = 0 };

	if (!group)
		return 0;
	sample(route, group, query, &found);
	choice->examined_count += found.examined_count;
	if (!found.count)
		return 0;
	choose_better(choice, &found, query->now);
	choice->reason = found.count == 2 ? ROUTE_LOCAL : ROUTE_LOCAL_ONLY_ONE;
	return 1;
}

/* Chooses the sampled member with the least weight in all other regions. */
static int choose_remote(struct route *route, const struct service *service,
			 const struct route_query *query,
			 struct route_choice *choice)
{
	struct route_choice other;
	struct list *pos;

	list_for_each (pos, &service->groups) {
		struct member_group *group =
			list_entry(pos, struct member_group, node);
		struct candidates found = { .count = 0 };

		if (!strcmp(group->region, query->region))
			continue;
		sample(route, group, query, &found);
		choice->examined_count += found.examined_count;
		if (!found.count)
			continue;
		memset(&other, 0, sizeof(other));
		choose_better(&other, &found, query->now);
		if (choice->member && choice->weight <= other.weight)
			continue;
		other.examined_count = choice->examined_count;
		*choice = other;
		choice->reason = ROUTE_REMOTE;
	}
	return choice->member != NULL;
}

void route_choose(struct route *route, const struct route_query *query,
		  struct route_choice *choice)
{
	struct service *service = route_service(route, query->service);

	memset(choice, 0, sizeof(*choice));
	choice->reason = ROUTE_NO_MEMBER;
	if (!service)
		return;
	if (choose_probe(route, service, query, choice) ||
	    choose_local(route, service, query, choice) ||
	    choose_remote(route, service, query, choice))
		return;
	if (service->active)
		choice->reason = ROUTE_NO_ROOM;
}

const char *route_reason_name(enum route_reason reason)
{
	static const char *const names[ROUTE_REASON_COUNT] = {
		[ROUTE_LOCAL] = "local",
		[ROUTE_LOCAL_ONLY_ONE] = "local-only-one",
		[ROUTE_REMOTE] = "remote",
		[ROUTE_PROBE] = "probe",
		[ROUTE_NO_MEMBER] = "no-member",
		[ROUTE_NO_ROOM] = "no-room",
	};

	return names[reason];
}

void route_explain(const struct route_choice *choice, char *text, size_t size)
{
	if (!choice->member) {
		snprintf(text, size, "reason=%s looked_at=%u",
			 route_reason_name(choice->reason),
			 choice->examined_count);
		return;
	}
	snprintf(text, size,
		 "reason=%s agent=%s weight=%.1f in_flight=%u stale=%d "
		 "over=%s over_weight=%.1f looked_at=%u",
		 route_reason_name(choice->reason), choice->member->agent,
		 choice->weight, choice->in_flight, choice->stale,
		 choice->other_agent[0] ? choice->other_agent : "none",
		 choice->other_weight, choice->examined_count);
}
