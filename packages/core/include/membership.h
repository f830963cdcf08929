#ifndef CATKINHILL_MEMBERSHIP_H
#define CATKINHILL_MEMBERSHIP_H

#include <stdint.h>

#include "list.h"
#include "message.h"
#include "mstime.h"

/*
 * NAME
 *	membership - the agents that an entry knows from their announcements
 *
 * NOTES
 *	A member is one agent, that is one upstream and one worker. A higher
 *	incarnation replaces a lower one; within an incarnation a lower
 *	sequence number is ignored, and leaving is never taken back. The time
 *	of an announcement and of membership_expire() does not grow with the
 *	number of members. Calls are made with times that do not decrease.
 */
struct member {
	struct list node;	 /* of membership.members */
	struct list report_node; /* of membership.by_age */
	struct member *hash_next;
	uint64_t hash; /* of agent */
	char agent[ID_SIZE];
	char peer[2 * ID_SIZE]; /* routing id for transport_send() */
	uint64_t incarnation;
	uint64_t seq;
	char service[ID_SIZE];
	char region[NAME_SIZE];
	char domain[NAME_SIZE];
	char rack[NAME_SIZE];
	uint32_t slots;
	uint32_t connections;
	struct resources capacity;
	enum agent_state state;
	uint64_t config_version;    /* in force at the agent */
	struct load load;	    /* as last reported */
	struct resources evictable; /* part of load.used */
	struct mstime reported_at;
	uint64_t behind_version_plus_1; /* old version that it last reported
					   plus 1 */
	uint32_t own_in_flight;		/* requests that this entry has sent */
	void *route_state;		/* owned by route.h; NULL at first */
};

struct membership {
	struct list members; /* in the order of their first announcement */
	struct list by_report_time; /* the longest silent one first */
	struct member **buckets;
	size_t bucket_count; /* a power of two, or 0 */
	uint32_t count;
	int64_t silent_after_ms; /* not chosen after this silence */
	int64_t expire_after_ms; /* forgotten after this silence */
	void (*on_remove)(void *arg, struct member *member);
	void *on_remove_arg;
};

#define MEMBER_SILENT_AFTER_MS 3000
#define MEMBER_EXPIRE_AFTER_MS 60000

enum membership_change {
	MEMBER_UNCHANGED,     /* a newer report of a known member */
	MEMBER_JOINED,	      /* new agent or new incarnation */
	MEMBER_STATE_CHANGED, /* its state differs from the last report */
	MEMBER_STALE,	      /* older than what is known; ignored */
};

void membership_init(struct membership *membership);
void membership_clear(struct membership *membership);

/* Takes an announcement that arrived from peer at now. */
enum membership_change membership_apply_announce(
	struct membership *membership, const struct msg_announce *announce,
	const char *peer, struct mstime now);

/* RETURN VALUE: the member, or NULL. */
struct member *membership_find(const struct membership *membership,
			       const char *agent);

/* Ready, and heard from within silent_ms. */
int member_usable(const struct membership *membership,
		  const struct member *member, struct mstime now);

/* Removes members that were silent for expire_ms. */
void membership_expire(struct membership *membership, struct mstime now);

#endif
