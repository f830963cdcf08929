#include "membership.h"

#include <stdlib.h>
#include <string.h>

#include "hash.h"
#include "mem.h"

#define BUCKETS_MIN 64

void membership_init(struct membership *membership)
{
	memset(membership, 0, sizeof(*membership));
	list_init(&membership->members);
	list_init(&membership->by_report_time);
	membership->silent_after_ms = MEMBER_SILENT_AFTER_MS;
	membership->expire_after_ms = MEMBER_EXPIRE_AFTER_MS;
}

static struct member **bucket_of(const struct membership *membership,
				 uint64_t hash)
{
	return &membership->buckets[hash & (membership->bucket_count - 1)];
}

static void hash_insert(struct membership *membership, struct member *member)
{
	struct member **bucket = bucket_of(membership, member->hash);

	member->hash_next = *bucket;
	*bucket = member;
}

static void hash_grow(struct membership *membership)
{
	struct list *pos;

	if (membership->count < membership->bucket_count)
		return;
	membership->bucket_count = membership->bucket_count
					   ? membership->bucket_count * 2
					   : BUCKETS_MIN;
	free(membership->buckets);
	membership->buckets =
		xcalloc(membership->bucket_count, sizeof(*membership->buckets));
	list_for_each (pos, &membership->members)
		hash_insert(membership, list_entry(pos, struct member, node));
}

static void unlink_member(struct membership *membership, struct member *member)
{
	struct member **link = bucket_of(membership, member->hash);

	while (*link != member)
		link = &(*link)->hash_next;
	*link = member->hash_next;
	list_del(&member->report_node);
	list_del(&member->node);
	membership->count--;
}

static void remove_member(struct membership *membership, struct member *member)
{
	if (membership->on_remove)
		membership->on_remove(membership->on_remove_arg, member);
	unlink_member(membership, member);
	free(member);
}

void membership_clear(struct membership *membership)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &membership->members)
		remove_member(membership, list_entry(pos, struct member, node));
	free(membership->buckets);
	membership->buckets = NULL;
	membership->bucket_count = 0;
}

struct member *membership_find(const struct membership *membership,
			       const char *agent)
{
	uint64_t hash = hash_str(agent);
	struct member *member;

	if (!membership->bucket_count)
		return NULL;
	for (member = *bucket_of(membership, hash); member;
	     member = member->hash_next)
		if (member->hash == hash && !strcmp(member->agent, agent))
			return member;
	return NULL;
}

static struct member *add_member(struct membership *membership,
				 const char *agent)
{
	struct member *member = xcalloc(1, sizeof(*member));

	str_copy(member->agent, agent, sizeof(member->agent));
	member->hash = hash_str(member->agent);
	hash_grow(membership);
	list_add_tail(&membership->members, &member->node);
	list_init(&member->report_node);
	hash_insert(membership, member);
	membership->count++;
	return member;
}

static void store_report(struct membership *membership, struct member *member,
			 const struct msg_announce *announce, const char *peer,
			 struct mstime now)
{
	str_copy(member->peer, peer, sizeof(member->peer));
	member->incarnation = announce->incarnation;
	member->seq = announce->seq;
	str_copy(member->service, announce->service, sizeof(member->service));
	str_copy(member->region, announce->region, sizeof(member->region));
	str_copy(member->domain, announce->domain, sizeof(member->domain));
	str_copy(member->rack, announce->rack, sizeof(member->rack));
	member->slots = announce->slots;
	member->connections = announce->connections;
	member->capacity = announce->capacity;
	member->state = (enum agent_state)announce->state;
	member->config_version = announce->config_version;
	member->load = announce->load;
	member->evictable = announce->evictable;
	member->reported_at = now;
	list_del(&member->report_node);
	list_add_tail(&membership->by_report_time, &member->report_node);
}

static int is_stale(const struct member *member,
		    const struct msg_announce *announce)
{
	if (announce->incarnation != member->incarnation)
		return announce->incarnation < member->incarnation;
	if (announce->seq <= member->seq)
		return 1;
	return member->state == AGENT_LEAVING &&
	       announce->state != AGENT_LEAVING;
}

enum membership_change membership_apply_announce(
	struct membership *membership, const struct msg_announce *announce,
	const char *peer, struct mstime now)
{
	struct member *member = membership_find(membership, announce->agent);
	uint64_t incarnation;
	enum agent_state state;

	if (!member) {
		member = add_member(membership, announce->agent);
		store_report(membership, member, announce, peer, now);
		return MEMBER_JOINED;
	}
	if (is_stale(member, announce))
		return MEMBER_STALE;
	incarnation = member->incarnation;
	state = member->state;
	store_report(membership, member, announce, peer, now);
	if (incarnation != member->incarnation) {
		member->own_in_flight = 0;
		return MEMBER_JOINED;
	}
	return state == member->state ? MEMBER_UNCHANGED : MEMBER_STATE_CHANGED;
}

int member_usable(const struct membership *membership,
		  const struct member *member, struct mstime now)
{
	return member->state == AGENT_READY &&
	       mstime_diff(now, member->reported_at) <=
		       membership->silent_after_ms;
}

void membership_expire(struct membership *membership, struct mstime now)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &membership->by_report_time) {
		struct member *member =
			list_entry(pos, struct member, report_node);

		if (mstime_diff(now, member->reported_at) <=
		    membership->expire_after_ms)
			break;
		remove_member(membership, member);
	}
}
