#ifndef CATKINHILL_ROUTE_H
#define CATKINHILL_ROUTE_H

#include <stddef.h>
#include <stdint.h>

#include "config.h"
#include "membership.h"
#include "mstime.h"

/*
 * NAME
 *	route - chooses an upstream for an attempt of a request
 *
 * NOTES
 *	Keeps one array of members a service and region, so that the time of
 *	a choice does not grow with the number of members. Members whose state
 *	changed are filed again by route_update().
 *
 * SOURCE
 *	Mitzenmacher, IEEE TPDS 2001 (two choices); Wydrowski et al., NSDI
 *	2024 (requests in flight and latency as signals).
 */
#define ROUTE_STALE_MS 3000 /* older reports are not weighed */
#define ROUTE_TRIED_MAX 8

/*
 * The gate of an agent queues 8 requests beyond its slots. An entry fills
 * only half of them, because the other entries have not seen its requests.
 */
#define ROUTE_AGENT_QUEUE_MAX 4

struct route;

enum route_reason {
	ROUTE_LOCAL,	      /* the better of two in the own region */
	ROUTE_LOCAL_ONLY_ONE, /* the only one with room in the own region */
	ROUTE_REMOTE,	      /* none in the own region had room */
	ROUTE_PROBE,	      /* an ejected upstream is tried again */
	ROUTE_NO_MEMBER,      /* none is ready for this service */
	ROUTE_NO_ROOM,	      /* ready ones exist, but all are full or tried */
	ROUTE_REASON_COUNT
};

struct route_query {
	const char *service;
	const char *region; /* of the entry */
	/* Agents that this request has tried already. */
	const char *tried[ROUTE_TRIED_MAX];
	size_t tried_count;
	int may_probe;		  /* the request can be repeated */
	uint32_t in_flight_limit; /* requests in flight to one upstream */
	struct mstime now;
};

struct route_choice {
	struct member *member; /* NULL when none */
	enum route_reason reason;
	uint32_t in_flight; /* larger of own and reported */
	double weight;
	int stale;		   /* the report was too old to be weighed */
	char other_agent[ID_SIZE]; /* the other candidate, or "" */
	double other_weight;
	uint32_t examined_count;
};

enum route_event {
	ROUTE_EVENT_NONE,
	ROUTE_EVENT_EJECTED,
	ROUTE_EVENT_RETURNED,
};

struct route *route_new(struct membership *membership, uint64_t seed);

/* Members must outlive the route, or be passed to route_remove(). */
void route_delete(struct route *route);

/* Files a member anew after a change of its state, service or region. */
void route_update(struct route *route, struct member *member,
		  const struct config *config);

/* Files all members anew after a change of the configuration. */
void route_update_all(struct route *route, const struct config *config);
void route_remove(struct route *route, struct member *member);

void route_choose(struct route *route, const struct route_query *query,
		  struct route_choice *choice);

/* An attempt was sent to a member. */
void route_sent(struct route *route, struct member *member, int probe,
		struct mstime now);

/*
 * The attempt no longer holds a slot: it has ended, or it is a stream
 * whose head arrived. incarnation is the member's when it was sent.
 */
void route_released(struct route *route, struct member *member,
		    uint64_t incarnation);

/*
 * Result of an attempt: latency_ms of the answer, or the deadline of the
 * request when it failed.
 */
enum route_event route_result(struct route *route, struct member *member,
			      int failed, int probe, int64_t latency_ms,
			      struct mstime now);

/*
 * Whether an answer that did not come within took_ms tells against the
 * upstream: a deadline close to the usual latency does not.
 */
int route_timeout_is_failure(const struct route *route,
			     const struct member *member, int64_t took_ms);

/* The probe ended without a verdict, such as by a cancellation. */
void route_probe_abandoned(struct route *route, struct member *member);

/* Members of the service that are in rotation and that are ejected. */
void route_count(const struct route *route, const char *service,
		 uint32_t *active, uint32_t *ejected);

/* One line such as "reason=local agent=a1 weight=3.2 over=a2 ...". */
void route_explain(const struct route_choice *choice, char *text, size_t size);

const char *route_reason_name(enum route_reason reason);

#endif
