#include "route.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "route_impl.h"

/* Weight of the newest sample in the moving averages of the latency. */
#define LATENCY_EWMA_GAIN 0.1
/*
 * A timeout counts as a failure only from this multiple of the service's
 * average latency on, so that callers with deadlines near the average do not
 * cause ejections.
 */
#define TIMEOUT_LATENCY_FACTOR 4

struct route *route_new(struct membership *membership, uint64_t seed)
{
	struct route *route = xcalloc(1, sizeof(*route));

	route->membership = membership;
	rng_seed(&route->rng, seed);
	list_init(&route->services);
	return route;
}

static void delete_service(struct service *service)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &service->groups) {
		struct member_group *group =
			list_entry(pos, struct member_group, node);

		free(group->items);
		free(group);
	}
	free(service->ejected.items);
	free(service);
}

void route_delete(struct route *route)
{
	struct list *pos, *tmp;

	if (!route)
		return;
	list_for_each (pos, &route->membership->members) {
		struct member *member = list_entry(pos, struct member, node);

		free(member->route_state);
		member->route_state = NULL;
	}
	list_for_each_safe (pos, tmp, &route->services)
		delete_service(list_entry(pos, struct service, node));
	free(route);
}

struct service *route_service(const struct route *route, const char *name)
{
	struct list *pos;

	list_for_each (pos, &route->services) {
		struct service *service = list_entry(pos, struct service, node);

		if (!strcmp(service->name, name))
			return service;
	}
	return NULL;
}

static struct service *get_service(struct route *route, const char *name)
{
	struct service *service = route_service(route, name);

	if (service)
		return service;
	service = xcalloc(1, sizeof(*service));
	str_copy(service->name, name, sizeof(service->name));
	list_init(&service->groups);
	list_add_tail(&route->services, &service->node);
	return service;
}

struct member_group *route_group(const struct service *service,
				 const char *region)
{
	struct list *pos;

	list_for_each (pos, &service->groups) {
		struct member_group *group =
			list_entry(pos, struct member_group, node);

		if (!strcmp(group->region, region))
			return group;
	}
	return NULL;
}

static struct member_group *get_group(struct service *service,
				      const char *region)
{
	struct member_group *group = route_group(service, region);

	if (group)
		return group;
	group = xcalloc(1, sizeof(*group));
	str_copy(group->region, region, sizeof(group->region));
	list_add_tail(&service->groups, &group->node);
	return group;
}

static void index_remove(struct route_member *state)
{
	struct member_group *group = state->group;
	struct member *last;

	if (!group)
		return;
	last = group->items[--group->count];
	group->items[state->index] = last;
	((struct route_member *)last->route_state)->index = state->index;
	if (group != &state->service->ejected)
		state->service->active--;
	state->group = NULL;
}

static void index_add(struct route_member *state, struct member_group *group,
		      struct member *member)
{
	if (group->count == group->size) {
		group->size = group->size ? group->size * 2 : 8;
		group->items = xrealloc(group->items,
					group->size * sizeof(*group->items));
	}
	state->index = group->count;
	group->items[group->count++] = member;
	state->group = group;
	if (group != &state->service->ejected)
		state->service->active++;
}

static void index_by_state(struct route_member *state, struct member *member)
{
	struct service *service = state->service;

	index_remove(state);
	if (state->eject.ejected)
		index_add(state, &service->ejected, member);
	else
		index_add(state, get_group(service, member->region), member);
}

void route_update(struct route *route, struct member *member,
		  const struct config *config)
{
	struct route_member *state = member->route_state;

	if (!state) {
		state = xcalloc(1, sizeof(*state));
		state->incarnation = member->incarnation;
		member->route_state = state;
	}
	index_remove(state);
	if (state->incarnation != member->incarnation) {
		state->incarnation = member->incarnation;
		state->latency_ewma_ms = 0;
		eject_init(&state->eject);
	}
	state->service = get_service(route, member->service);
	if (member->state == AGENT_READY &&
	    !(config && config_domain_drained(config, member->domain)))
		index_by_state(state, member);
}

void route_update_all(struct route *route, const struct config *config)
{
	struct list *pos;

	list_for_each (pos, &route->membership->members)
		route_update(route, list_entry(pos, struct member, node),
			     config);
}

void route_remove(struct route *route, struct member *member)
{
	struct route_member *state = member->route_state;

	if (!state)
		return;
	index_remove(state);
	free(state);
	member->route_state = NULL;
}

void route_sent(struct route *route, struct member *member, int probe,
		struct mstime now)
{
	struct route_member *state = member->route_state;

	member->own_in_flight++;
	if (probe && state)
		eject_probe_start(&state->eject, now);
}

void route_released(struct route *route, struct member *member,
		    uint64_t incarnation)
{
	if (member->incarnation == incarnation && member->own_in_flight)
		member->own_in_flight--;
}

static void update_ewma(double *value, double sample_ms)
{
	*value = *value > 0 ? *value + LATENCY_EWMA_GAIN * (sample_ms - *value)
			    : sample_ms;
}

/* At most half of a service is ejected; at least one stays in rotation. */
static int may_eject(const struct service *service)
{
	uint32_t total = service->active + service->ejected.count;

	return service->active > 1 && (service->ejected.count + 1) * 2 <= total;
}

enum route_event route_result(struct route *route, struct member *member,
			      int failed, int probe, int64_t latency_ms,
			      struct mstime now)
{
	struct route_member *state = member->route_state;
	double sample_ms = latency_ms > 0 ? (double)latency_ms : 0.5;

	if (!state)
		return ROUTE_EVENT_NONE;
	update_ewma(&state->latency_ewma_ms, sample_ms);
	state->last_result_at = now;
	/*
	 * Failures are left out: they would raise the latency above which a
	 * timeout counts as a failure.
	 */
	if (!failed)
		update_ewma(&state->service->latency_ewma_ms, sample_ms);
	if (probe && state->eject.ejected) {
		if (!eject_probe_result(&state->eject, failed, now))
			return ROUTE_EVENT_NONE;
		/*
		 * The average includes the failures and would keep new
		 * requests away.
		 */
		state->latency_ewma_ms = 0;
		if (state->group)
			index_by_state(state, member);
		return ROUTE_EVENT_RETURNED;
	}
	if (!eject_result(&state->eject, failed, now) || !state->group ||
	    !may_eject(state->service))
		return ROUTE_EVENT_NONE;
	eject_start(&state->eject, now);
	index_by_state(state, member);
	return ROUTE_EVENT_EJECTED;
}

int route_timeout_is_failure(const struct route *route,
			     const struct member *member, int64_t took_ms)
{
	const struct route_member *state = member->route_state;

	return state &&
	       (double)took_ms >=
		       TIMEOUT_LATENCY_FACTOR * state->service->latency_ewma_ms;
}

void route_probe_abandoned(struct route *route, struct member *member)
{
	struct route_member *state = member->route_state;

	if (state)
		state->eject.probing = 0;
}

void route_count(const struct route *route, const char *service_name,
		 uint32_t *active, uint32_t *ejected)
{
	const struct service *service = route_service(route, service_name);

	*active = service ? service->active : 0;
	*ejected = service ? service->ejected.count : 0;
}
