#include "route.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "route_impl.h"

/* Weight of the newest answer in the latency average. */
#define LATENCY_GAIN 0.1
/* Callers with deadlines near the usual latency must not cause ejections. */
#define LATE_FACTOR 4

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
		struct group *group = list_entry(pos, struct group, node);

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

struct group *route_group(const struct service *service, const char *region)
{
	struct list *pos;

	list_for_each (pos, &service->groups) {
		struct group *group = list_entry(pos, struct group, node);

		if (!strcmp(group->region, region))
			return group;
	}
	return NULL;
}

static struct group *get_group(struct service *service, const char *region)
{
	struct group *group = route_group(service, region);

	if (group)
		return group;
	group = xcalloc(1, sizeof(*group));
	str_copy(group->region, region, sizeof(group->region));
	list_add_tail(&service->groups, &group->node);
	return group;
}

static void unfile(struct place *place)
{
	struct group *group = place->group;
	struct member *last;

	if (!group)
		return;
	last = group->items[--group->count];
	group->items[place->index] = last;
	((struct place *)last->route_state)->index = place->index;
	if (group != &place->service->ejected)
		place->service->active--;
	place->group = NULL;
}

static void file(struct place *place, struct group *group,
		 struct member *member)
{
	if (group->count == group->size) {
		group->size = group->size ? group->size * 2 : 8;
		group->items = xrealloc(group->items,
					group->size * sizeof(*group->items));
	}
	place->index = group->count;
	group->items[group->count++] = member;
	place->group = group;
	if (group != &place->service->ejected)
		place->service->active++;
}

static void file_by_state(struct place *place, struct member *member)
{
	struct service *service = place->service;

	unfile(place);
	if (place->eject.ejected)
		file(place, &service->ejected, member);
	else
		file(place, get_group(service, member->region), member);
}

void route_update(struct route *route, struct member *member,
		  const struct config *config)
{
	struct place *place = member->route_state;

	if (!place) {
		place = xcalloc(1, sizeof(*place));
		place->incarnation = member->incarnation;
		member->route_state = place;
	}
	unfile(place);
	if (place->incarnation != member->incarnation) {
		place->incarnation = member->incarnation;
		place->latency_ewma_ms = 0;
		eject_init(&place->eject);
	}
	place->service = get_service(route, member->service);
	if (member->state == AGENT_READY &&
	    !(config && config_domain_drained(config, member->domain)))
		file_by_state(place, member);
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
	struct place *place = member->route_state;

	if (!place)
		return;
	unfile(place);
	free(place);
	member->route_state = NULL;
}

void route_sent(struct route *route, struct member *member, int probe,
		struct mstime now)
{
	struct place *place = member->route_state;

	member->own_in_flight++;
	if (probe && place)
		eject_probe_start(&place->eject, now);
}

void route_released(struct route *route, struct member *member,
		    uint64_t incarnation)
{
	if (member->incarnation == incarnation && member->own_in_flight)
		member->own_in_flight--;
}

static void average(double *value, double sample_ms)
{
	*value = *value > 0 ? *value + LATENCY_GAIN * (sample_ms - *value)
			    : sample_ms;
}

/* At most half of a service is ejected, and at least one stays. */
static int may_eject(const struct service *service)
{
	uint32_t total = service->active + service->ejected.count;

	return service->active > 1 && (service->ejected.count + 1) * 2 <= total;
}

enum route_event route_result(struct route *route, struct member *member,
			      int failed, int probe, int64_t latency_ms,
			      struct mstime now)
{
	struct place *place = member->route_state;
	double sample_ms = latency_ms > 0 ? (double)latency_ms : 0.5;

	if (!place)
		return ROUTE_EVENT_NONE;
	average(&place->latency_ewma_ms, sample_ms);
	place->last_result_at = now;
	/* Failures would raise the bound above which an answer is late. */
	if (!failed)
		average(&place->service->latency_ewma_ms, sample_ms);
	if (probe && place->eject.ejected) {
		if (!eject_probe_result(&place->eject, failed, now))
			return ROUTE_EVENT_NONE;
		/* The average of the failures would keep requests away. */
		place->latency_ewma_ms = 0;
		if (place->group)
			file_by_state(place, member);
		return ROUTE_EVENT_RETURNED;
	}
	if (!eject_result(&place->eject, failed, now) || !place->group ||
	    !may_eject(place->service))
		return ROUTE_EVENT_NONE;
	eject_start(&place->eject, now);
	file_by_state(place, member);
	return ROUTE_EVENT_EJECTED;
}

int route_timeout_is_failure(const struct route *route,
			     const struct member *member, int64_t took_ms)
{
	const struct place *place = member->route_state;

	return place &&
	       (double)took_ms >= LATE_FACTOR * place->service->latency_ewma_ms;
}

void route_probe_abandoned(struct route *route, struct member *member)
{
	struct place *place = member->route_state;

	if (place)
		place->eject.probing = 0;
}

void route_count(const struct route *route, const char *service_name,
		 uint32_t *active, uint32_t *ejected)
{
	const struct service *service = route_service(route, service_name);

	*active = service ? service->active : 0;
	*ejected = service ? service->ejected.count : 0;
}
