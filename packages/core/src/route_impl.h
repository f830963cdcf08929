#ifndef CATKINHILL_ROUTE_IMPL_H
#define CATKINHILL_ROUTE_IMPL_H

#include "eject.h"
#include "list.h"
#include "rng.h"
#include "route.h"

/*
 * NAME
 *	route_impl - the index behind route.h
 *
 * NOTES
 *	route.c files members and takes results; route_choose.c samples.
 */
struct group {
	struct list node; /* in service.groups */
	char region[NAME_SIZE];
	struct member **items;
	uint32_t count, size;
};

struct service {
	struct list node;
	char name[ID_SIZE];
	struct list groups;	/* one a region, of members in rotation */
	struct group ejected;	/* of all regions */
	uint32_t active;	/* members in the groups */
	uint32_t probe_cursor;	/* next ejected member to look at */
	double latency_ewma_ms; /* average of all successes */
};

/* What member->route_state points to. */
struct place {
	struct service *service;
	struct group *group; /* NULL while the member is not filed */
	uint32_t index;
	uint64_t incarnation;
	double latency_ewma_ms; /* 0 before the first answer */
	struct mstime last_result_at;
	struct eject_state eject;
};

struct route {
	struct membership *membership;
	struct rng rng;
	struct list services;
};

/* RETURN VALUE: NULL when no member of it was ever seen. */
struct service *route_service(const struct route *route, const char *name);
struct group *route_group(const struct service *service, const char *region);

#endif
