#ifndef CATKINHILL_MEMBERSHIP_H
#define CATKINHILL_MEMBERSHIP_H

#include <stdint.h>

#include "list.h"
#include "message.h"
#include "mstime.h"

/*
 * NAME
 *	membership - agents known to an entry from their announcements
 *
 * NOTES
 *	A member is one agent, and thus one upstream and one worker. A higher
 *	incarnation replaces a lower one. Within an incarnation, announcements
 *	with a sequence number that is not higher are ignored, and a member
 *	that is leaving stays so. The cost of an announcement and of
 *	membership_expire() does not grow with the number of members. The
 *	times passed by the caller must not decrease.
 */
struct member {
	struct list node;	 /* of membership.members */
	struct list report_node; /* of membership.by_report_time */
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
	/* Outdated configuration version that it reported, plus 1; 0 for none.
	 */
	uint64_t behind_version_plus_1;
	uint32_t own_in_flight; /* requests sent by this entry */
	void *route_state;	/* owned by route; NULL at first */
};

struct membership {
	struct list members;	    /* ordered by first announcement */
	struct list by_report_time; /* oldest last report first */
	struct member **buckets;
	size_t bucket_count; /* a power of two, or 0 */
	uint32_t count;
	int64_t silent_after_ms; /* not usable after this silence */
	int64_t expire_after_ms; /* removed after this silence */
	void (*on_remove)(void *arg, struct member *member);
	void *on_remove_arg;
};

#define MEMBER_SILENT_AFTER_MS 3000
#define MEMBER_EXPIRE_AFTER_MS 60000

enum membership_change {
	MEMBER_UNCHANGED,     /* a newer report of a known member */
	MEMBER_JOINED,	      /* new agent or new incarnation */
	MEMBER_STATE_CHANGED, /* state differs from the last report */
	MEMBER_STALE,	      /* out of date; ignored */
};

void membership_init(struct membership *membership);
void membership_clear(struct membership *membership);

/* Processes an announcement that was received from peer. */
enum membership_change membership_apply_announce(
	struct membership *membership, const struct msg_announce *announce,
	const char *peer, struct mstime now);

/* RETURN VALUE: the member, or NULL. */
struct member *membership_find(const struct membership *membership,
			       const char *agent);

/* Whether a member is ready and has reported within silent_after_ms. */
int member_usable(const struct membership *membership,
		  const struct member *member, struct mstime now);

/* Removes members that have been silent for longer than expire_after_ms. */
void membership_expire(struct membership *membership, struct mstime now);

#endif
