#include "membership.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

void membership_init(struct membership *membership)
{
	memset(membership, 0, sizeof(*membership));
	list_init(&membership->members);
	membership->silent_ms = MEMBER_SILENT_MS;
	membership->expire_ms = MEMBER_EXPIRE_MS;
}

static void remove_member(struct membership *membership, struct member *member)
{
	if (membership->on_remove)
		membership->on_remove(membership->on_remove_arg, member);
	list_del(&member->node);
	membership->count--;
	free(member);
}

void membership_clear(struct membership *membership)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &membership->members)
		remove_member(membership, list_entry(pos, struct member, node));
}

struct member *membership_find(const struct membership *membership,
			       const char *agent)
{
	struct list *pos;

	list_for_each (pos, &membership->members) {
		struct member *member = list_entry(pos, struct member, node);

		if (!strcmp(member->agent, agent))
			return member;
	}
	return NULL;
}

static struct member *add_member(struct membership *membership,
				 const char *agent)
{
	struct member *member = xcalloc(1, sizeof(*member));

	str_copy(member->agent, agent, sizeof(member->agent));
	list_add_tail(&membership->members, &member->node);
	membership->count++;
	return member;
}

static void take_report(struct member *member,
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
	member->reported_at = now;
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

enum membership_change membership_announce(struct membership *membership,
					   const struct msg_announce *announce,
					   const char *peer, struct mstime now)
{
	struct member *member = membership_find(membership, announce->agent);
	uint64_t incarnation;
	enum agent_state state;

	if (!member) {
		member = add_member(membership, announce->agent);
		take_report(member, announce, peer, now);
		return MEMBER_JOINED;
	}
	if (is_stale(member, announce))
		return MEMBER_STALE;
	incarnation = member->incarnation;
	state = member->state;
	take_report(member, announce, peer, now);
	if (incarnation != member->incarnation) {
		member->own_in_flight = 0;
		return MEMBER_JOINED;
	}
	return state == member->state ? MEMBER_UNCHANGED : MEMBER_STATE;
}

int member_usable(const struct membership *membership,
		  const struct member *member, struct mstime now)
{
	return member->state == AGENT_READY &&
	       mstime_diff(now, member->reported_at) <= membership->silent_ms;
}

void membership_expire(struct membership *membership, struct mstime now)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &membership->members) {
		struct member *member = list_entry(pos, struct member, node);

		if (mstime_diff(now, member->reported_at) >
		    membership->expire_ms)
			remove_member(membership, member);
	}
}
