#ifndef CATKINHILL_ROUTE_IMPL_H
#define CATKINHILL_ROUTE_IMPL_H

#include "eject.h"
#include "list.h"
#include "rng.h"
#include "route.h"

/*
 * NAME
 *	route_impl - index of members that route.h is built on
 *
 * NOTES
 *	route.c maintains the index and records results of attempts;
 *	route_choose.c samples members from it.
 */
struct member_group {
	struct list node; /* in service.groups */
	char region[NAME_SIZE];
	struct member **items;
	uint32_t count, size;
};

struct service {
	struct list node;
	char name[ID_SIZE];
	struct list groups; /* one for each region, members in rotation */
	struct member_group ejected; /* ejected members of all regions */
	uint32_t active;	     /* members in rotation, sum over groups */
	uint32_t probe_cursor;	     /* next ejected member to consider */
	double latency_ewma_ms;	     /* over all successful attempts */
};

/* What member->route_state points to. */
struct route_member {
	struct service *service;
	struct member_group *group; /* NULL while the member is in no group */
	uint32_t index;		    /* in group->items */
	uint64_t incarnation;
	double latency_ewma_ms; /* 0 before the first result */
	struct mstime last_result_at;
	struct eject_state eject;
};

struct route {
	struct membership *membership;
	struct rng rng;
	struct list services;
};

/* RETURN VALUE: NULL if no member of this service was ever seen. */
struct service *route_service(const struct route *route, const char *name);
struct member_group *route_group(const struct service *service,
				 const char *region);

#endif
