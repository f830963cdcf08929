#include <stdlib.h>
#include <string.h>

#include "config.h"
#include "entry_impl.h"
#include "errors.h"
#include "hash.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

/* The transport counts its bytes; the difference is the size of msg. */
int entry_send(struct entry *entry, const char *peer, int remote,
	       const struct message *msg)
{
	const struct transport_stats *stats = transport_stats(entry->transport);
	int64_t before = stats->bytes_out;
	int err = transport_send(entry->transport, peer, msg);

	if (remote)
		entry->counters[COUNT_LINK_BYTES_OUT].value +=
			stats->bytes_out - before;
	return err;
}

static void count_link_bytes_in(struct entry *entry, const char *region)
{
	const struct transport_stats *stats = transport_stats(entry->transport);

	if (region && strcmp(region, entry->daemon->settings->region) != 0)
		entry->counters[COUNT_LINK_BYTES_IN].value +=
			stats->bytes_in - entry->last_bytes_in;
}

static void send_config(struct entry *entry, const struct member *member,
			int remote)
{
	const struct config *config = &entry->daemon->config;
	struct message msg = { .type = MSG_CONFIG };

	if (!entry->config_json ||
	    entry->config_json_version != config->version) {
		free(entry->config_json);
		entry->config_json = config_render(config);
		entry->config_json_version = config->version;
	}
	msg.u.config.version = config->version;
	msg.u.config.json = entry->config_json;
	entry_send(entry, member->peer, remote, &msg);
}

/* Whether this entry ranks first for the agent in rendezvous hashing. */
static int is_first_ranked(const struct entry *entry,
			   const struct member *member)
{
	const struct entry_list *entries = registry_entries(entry->registry);
	uint64_t key = hash_str(member->agent);
	uint64_t own = hash_rendezvous(key, entry->daemon->settings->id);
	size_t i;

	for (i = 0; i < entries->count; i++)
		if (hash_rendezvous(key, entries->items[i].id) > own)
			return 0;
	return 1;
}

/*
 * An agent announces itself to all entries, so all of them notice an old
 * configuration version. The first in rank sends the configuration at once;
 * the others do if the agent's next announcement has the same version.
 */
static void send_config_if_behind(struct entry *entry, struct member *member,
				  int remote, uint64_t announced_version)
{
	int behind = announced_version < entry->daemon->config.version;
	int still_behind =
		member->behind_version_plus_1 == announced_version + 1;

	member->behind_version_plus_1 = behind ? announced_version + 1 : 0;
	if (behind && (still_behind || is_first_ranked(entry, member)))
		send_config(entry, member, remote);
}

static void acknowledge(struct entry *entry, struct member *member,
			const struct msg_announce *announce)
{
	const struct entry_list *entries = registry_entries(entry->registry);
	uint64_t version = entry->daemon->config.version;
	uint64_t hash = registry_directory_hash(entry->registry);
	int remote =
		strcmp(member->region, entry->daemon->settings->region) != 0;
	struct message msg = { .type = MSG_ANNOUNCE_ACK };

	str_copy(msg.u.announce_ack.entry, entry->daemon->settings->id,
		 sizeof(msg.u.announce_ack.entry));
	msg.u.announce_ack.incarnation = entry->daemon->incarnation;
	msg.u.announce_ack.seq = announce->seq;
	msg.u.announce_ack.config_version = version;
	msg.u.announce_ack.directory_hash = hash;
	if (announce->directory_hash != hash)
		msg.u.announce_ack.entries = *entries;
	entry_send(entry, member->peer, remote, &msg);
	send_config_if_behind(entry, member, remote, announce->config_version);
}

/*
 * Fails the attempts at a member: those sent to an earlier incarnation, which
 * can get no response any more, or those to any incarnation.
 */
static void fail_attempts(struct entry *entry, const struct member *member,
			  int any_incarnation, const char *reason)
{
	size_t i;

	for (i = 0; i < ATTEMPT_BUCKETS; i++) {
		struct list *pos, *tmp;

		list_for_each_safe (pos, tmp, &entry->attempts[i]) {
			struct attempt *attempt =
				list_entry(pos, struct attempt, bucket_node);

			if (attempt->member != member ||
			    (!any_incarnation &&
			     attempt->incarnation == member->incarnation))
				continue;
			if (attempt->shared_stream)
				shared_stream_attempt_lost(attempt);
			else
				request_attempt_lost(attempt->request, reason);
			/* This can delete the next attempt: start over. */
			tmp = entry->attempts[i].next;
		}
	}
}

static void on_announce(struct entry *entry, const char *peer,
			const struct msg_announce *announce)
{
	size_t len = strlen(announce->agent);
	enum membership_change change;
	struct member *member;

	if (strncmp(peer, announce->agent, len) != 0 || peer[len] != '/') {
		entry_counter_increment(entry, COUNT_STRAY_MESSAGES);
		return;
	}
	change = membership_apply_announce(&entry->membership, announce, peer,
					   sysclock_now());
	if (change == MEMBER_STALE)
		return;
	member = membership_find(&entry->membership, announce->agent);
	count_link_bytes_in(entry, member->region);
	if (change != MEMBER_UNCHANGED) {
		log_event(EV_MEMBER_CHANGED,
			  "agent=%s state=%s service=%s region=%s domain=%s "
			  "joined=%d",
			  member->agent, agent_state_name(member->state),
			  member->service, member->region, member->domain,
			  change == MEMBER_JOINED);
		route_update(entry->route, member, &entry->daemon->config);
		owner_on_change(entry->owner);
	}
	if (change == MEMBER_JOINED)
		fail_attempts(entry, member, 0, "the agent has restarted");
	if (change == MEMBER_STATE_CHANGED && member->state == AGENT_LEAVING)
		shared_streams_member_leaving(entry, member);
	acknowledge(entry, member, announce);
	entry_serve_queue_soon(entry);
}

/* An agent sends a configuration that is newer than the entry's. */
static void on_config(struct entry *entry, const struct msg_config *msg)
{
	int err = configsync_apply_from_agent(entry->config_sync, msg->json,
					      strlen(msg->json));

	/* An older version than that of this entry is not an error. */
	if (err < 0 && err != ERR_FENCED)
		entry_counter_increment(entry, COUNT_STRAY_MESSAGES);
}

static uint64_t attempt_id_of(const struct message *msg)
{
	switch (msg->type) {
	case MSG_REFUSED:
		return msg->u.refused.request_id;
	case MSG_RESPONSE:
		return msg->u.response.request_id;
	case MSG_RESPONSE_BODY:
		return msg->u.response_body.request_id;
	case MSG_RESPONSE_END:
		return msg->u.response_end.request_id;
	default:
		return 0;
	}
}

/* Responses to finished or unknown attempts are dropped. */
static void on_response(struct entry *entry, const char *peer,
			const struct message *msg)
{
	struct attempt *attempt = attempt_find(entry, attempt_id_of(msg));

	if (!attempt || strcmp(attempt->peer, peer) != 0) {
		entry_counter_increment(entry, COUNT_STRAY_MESSAGES);
		return;
	}
	if (attempt->remote)
		count_link_bytes_in(entry, attempt->member
						   ? attempt->member->region
						   : NULL);
	if (attempt->shared_stream)
		shared_stream_on_message(attempt, msg);
	else
		request_on_message(attempt, msg);
}

void entry_on_message(void *arg, const char *peer, const struct message *msg)
{
	struct entry *entry = arg;

	switch (msg->type) {
	case MSG_ANNOUNCE:
		on_announce(entry, peer, &msg->u.announce);
		break;
	case MSG_CONFIG:
		on_config(entry, &msg->u.config);
		break;
	case MSG_REFUSED:
	case MSG_RESPONSE:
	case MSG_RESPONSE_BODY:
	case MSG_RESPONSE_END:
		on_response(entry, peer, msg);
		break;
	case MSG_TASK_REPORT:
		owner_on_report(entry->owner, peer, &msg->u.task_report);
		break;
	default:
		entry_counter_increment(entry, COUNT_STRAY_MESSAGES);
		break;
	}
	entry->last_bytes_in = transport_stats(entry->transport)->bytes_in;
}

void entry_on_member_removed(void *arg, struct member *member)
{
	struct entry *entry = arg;
	size_t i;

	fail_attempts(entry, member, 1,
		      "the agent was removed after a long silence");
	for (i = 0; i < ATTEMPT_BUCKETS; i++) {
		struct list *pos;

		list_for_each (pos, &entry->attempts[i]) {
			struct attempt *attempt =
				list_entry(pos, struct attempt, bucket_node);

			if (attempt->member == member)
				attempt->member = NULL;
		}
	}
	route_remove(entry->route, member);
}

/*
 * Fails attempts at silent agents; sends body chunks and credit again that a
 * full transport queue has refused.
 */
void entry_tick_attempts(struct entry *entry, struct mstime now)
{
	size_t i;

	for (i = 0; i < ATTEMPT_BUCKETS; i++) {
		struct list *pos, *tmp;

		list_for_each_safe (pos, tmp, &entry->attempts[i]) {
			struct attempt *attempt =
				list_entry(pos, struct attempt, bucket_node);
			const struct member *member = attempt->member;

			if (!attempt->body_done)
				attempt_send_body(attempt);
			if (attempt->unsent_credit_bytes)
				attempt_grant_credit(attempt, 0);
			if (!member ||
			    mstime_before(now, entry->ignore_silence_until) ||
			    mstime_diff(now, member->reported_at) <=
				    entry->membership.silent_after_ms)
				continue;
			if (attempt->shared_stream)
				shared_stream_attempt_lost(attempt);
			else
				request_attempt_lost(
					attempt->request,
					"no announcements from the agent");
			tmp = entry->attempts[i].next;
		}
	}
}
