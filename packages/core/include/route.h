#ifndef CATKINHILL_ROUTE_H
#define CATKINHILL_ROUTE_H

#include <stddef.h>
#include <stdint.h>

#include "config.h"
#include "membership.h"
#include "mstime.h"

/*
 * NAME
 *	route - chooses an upstream for each attempt of a request
 *
 * NOTES
 *	Keeps one array of members for each service and region, so that the
 *	time of a choice does not grow with the number of members. After a
 *	change of a member's state, route_update() must be called to move it
 *	to the right array.
 *
 * SOURCE
 *	Mitzenmacher, IEEE TPDS 2001 (power of two choices); Wydrowski et al.,
 *	NSDI 2024 (requests in flight and latency as load signals).
 */
#define ROUTE_STALE_MS 3000 /* older load reports are ignored */
#define ROUTE_TRIED_MAX 8

/*
 * An agent queues up to 8 requests beyond its slots. One entry uses only
 * half of that queue, because the other entries have not yet seen its
 * requests.
 */
#define ROUTE_AGENT_QUEUE_MAX 4

struct route;

enum route_reason {
	ROUTE_LOCAL,	      /* better of two sampled in the entry's region */
	ROUTE_LOCAL_ONLY_ONE, /* the only one with capacity in that region */
	ROUTE_REMOTE,	      /* none in that region had capacity */
	ROUTE_PROBE,	      /* an ejected upstream gets a trial request */
	ROUTE_NO_MEMBER,      /* no member of this service is ready */
	ROUTE_NO_ROOM,	      /* members are ready, but full or already tried */
	ROUTE_REASON_COUNT
};

struct route_query {
	const char *service;
	const char *region; /* of the entry */
	/* Agents that this request has already been sent to. */
	const char *tried[ROUTE_TRIED_MAX];
	size_t tried_count;
	int may_probe;		  /* the request can safely be retried */
	uint32_t in_flight_limit; /* requests in flight to one upstream */
	struct mstime now;
};

struct route_choice {
	struct member *member; /* NULL if none was chosen */
	enum route_reason reason;
	uint32_t in_flight; /* larger of own count and reported load */
	double weight;	    /* load times latency; the lower one is chosen */
	int stale;	    /* the load report was too old to be used */
	char other_agent[ID_SIZE]; /* candidate that was not chosen, or "" */
	double other_weight;
	uint32_t examined_count; /* members examined */
};

enum route_event {
	ROUTE_EVENT_NONE,
	ROUTE_EVENT_EJECTED,
	ROUTE_EVENT_RETURNED,
};

struct route *route_new(struct membership *membership, uint64_t seed);

/* Members must outlive it, or be passed to route_remove() first. */
void route_delete(struct route *route);

/* Reindexes a member after a change of its state, service or region. */
void route_update(struct route *route, struct member *member,
		  const struct config *config);

/* Reindexes all members after a change of the configuration. */
void route_update_all(struct route *route, const struct config *config);
void route_remove(struct route *route, struct member *member);

void route_choose(struct route *route, const struct route_query *query,
		  struct route_choice *choice);

/* Records that an attempt was sent to a member. */
void route_sent(struct route *route, struct member *member, int probe,
		struct mstime now);

/*
 * Records that an attempt no longer holds a slot: it has ended, or it is a
 * stream whose response head has arrived. incarnation is that of the member
 * when the attempt was sent.
 */
void route_released(struct route *route, struct member *member,
		    uint64_t incarnation);

/*
 * Records the result of an attempt. latency_ms is the time to the response,
 * or the deadline of the request if the attempt failed.
 */
enum route_event route_result(struct route *route, struct member *member,
			      int failed, int probe, int64_t latency_ms,
			      struct mstime now);

/*
 * Whether a missing response after took_ms counts as a failure of the
 * upstream. It does not if the deadline was close to the service's average
 * latency.
 */
int route_timeout_is_failure(const struct route *route,
			     const struct member *member, int64_t took_ms);

/* Ends a probe that gave no result, for example one that was cancelled. */
void route_probe_abandoned(struct route *route, struct member *member);

/* Counts the members of a service that are in rotation and ejected. */
void route_count(const struct route *route, const char *service,
		 uint32_t *active, uint32_t *ejected);

/* Formats one line such as "reason=local agent=a1 weight=3.2 over=a2 ...". */
void route_explain(const struct route_choice *choice, char *text, size_t size);

const char *route_reason_name(enum route_reason reason);

#endif
