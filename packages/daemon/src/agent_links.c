#include "agent_links.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "agent_requests.h"
#include "agent_evict.h"
#include "agent_tasks.h"
#include "errors.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

static void on_message(void *arg, const char *peer, const struct message *msg);

static struct agent_link *find_link_by_address(struct agent *agent,
					       const char *address)
{
	struct list *pos;

	list_for_each (pos, &agent->links) {
		struct agent_link *link =
			list_entry(pos, struct agent_link, node);

		if (!strcmp(link->address, address))
			return link;
	}
	return NULL;
}

/*
 * An entry may be reached at its own address and at that of a load balancer.
 * Two links to it would have the same routing id and keep replacing each other
 * at the entry.
 */
static struct agent_link *find_link_by_entry(struct agent *agent,
					     const char *entry,
					     const struct agent_link *except)
{
	struct list *pos;

	list_for_each (pos, &agent->links) {
		struct agent_link *link =
			list_entry(pos, struct agent_link, node);

		if (link != except && link->answering &&
		    !strcmp(link->entry_id, entry))
			return link;
	}
	return NULL;
}

static int count_links(const struct agent *agent)
{
	const struct list *pos;
	int count = 0;

	list_for_each (pos, &agent->links)
		count++;
	return count;
}

static struct agent_link *add_link(struct agent *agent, const char *address,
				   int seed)
{
	struct agent_link *link;
	char *id;

	if (count_links(agent) == AGENT_LINKS_MAX)
		return NULL;
	link = xcalloc(1, sizeof(*link));
	id = xstrfmt("%s/%llu", agent->daemon->settings->id,
		     (unsigned long long)agent->daemon->incarnation);
	link->agent = agent;
	link->is_seed = seed;
	link->last_message_at = sysclock_now();
	link->last_listed_at = link->last_message_at;
	str_copy(link->address, address, sizeof(link->address));
	link->transport = transport_client_new(agent->daemon->loop, address, id,
					       on_message, link);
	free(id);
	if (!link->transport) {
		log_event(EV_AGENT_LINK_SILENT,
			  "entry=%s reason=address-not-usable", address);
		free(link);
		return NULL;
	}
	list_add_tail(&agent->links, &link->node);
	return link;
}

static void remove_link(struct agent_link *link)
{
	agent_requests_cancel_link(link, "link-silent");
	agent_tasks_link_removed(link);
	transport_delete(link->transport);
	list_del(&link->node);
	free(link);
}

int agent_link_send(struct agent_link *link, const struct message *msg)
{
	return transport_send(link->transport, NULL, msg);
}

static void announce(struct agent_link *link)
{
	struct agent *agent = link->agent;
	const struct settings *s = agent->daemon->settings;
	struct message msg = { .type = MSG_ANNOUNCE };
	struct msg_announce *a = &msg.u.announce;

	str_copy(a->agent, s->id, sizeof(a->agent));
	str_copy(a->service, s->service, sizeof(a->service));
	str_copy(a->region, s->region, sizeof(a->region));
	str_copy(a->domain, s->domain, sizeof(a->domain));
	str_copy(a->rack, s->rack, sizeof(a->rack));
	a->incarnation = agent->daemon->incarnation;
	a->seq = agent->announce_seq;
	a->slots = agent->gate.limits.slots;
	a->connections = agent->gate.limits.connections;
	a->capacity = agent->gate.limits.capacity;
	a->state = agent->state;
	gate_fill_load(&agent->gate, &a->load);
	a->evictable = agent_evict_available(agent);
	a->load.latency_ms = (uint32_t)((agent->latency_ewma_us + 999) / 1000);
	a->config_version = agent->daemon->config.version;
	a->directory_hash = link->directory_hash;
	agent_link_send(link, &msg);
}

void agent_links_announce(struct agent *agent)
{
	struct list *pos;

	agent->announce_seq++;
	list_for_each (pos, &agent->links)
		announce(list_entry(pos, struct agent_link, node));
}

/* Sends the configuration to an entry that has an older one. */
static void send_config(struct agent_link *link, uint64_t version)
{
	const struct config *config = &link->agent->daemon->config;
	struct message msg = { .type = MSG_CONFIG };
	struct mstime now = sysclock_now();
	char *json;

	if (version >= config->version)
		return;
	if (link->config_sent_at.ms && mstime_diff(now, link->config_sent_at) <
					       AGENT_CONFIG_SEND_INTERVAL_MS)
		return;
	json = config_render(config);
	msg.u.config.version = config->version;
	msg.u.config.json = json;
	if (!agent_link_send(link, &msg))
		link->config_sent_at = now;
	free(json);
}

/* Behind a load balancer, a new connection may reach another entry. */
static void set_entry(struct agent_link *link, const char *entry)
{
	struct agent_link *other;

	if (!strcmp(link->entry_id, entry))
		return;
	str_copy(link->entry_id, entry, sizeof(link->entry_id));
	other = find_link_by_entry(link->agent, entry, link);
	if (other && !other->is_seed)
		remove_link(other);
}

static void add_listed_entry(struct agent *agent,
			     const struct entry_address *entry,
			     struct mstime now)
{
	struct agent_link *link = find_link_by_entry(agent, entry->id, NULL);

	if (!link)
		link = find_link_by_address(agent, entry->address);
	if (!link)
		link = add_link(agent, entry->address, 0);
	if (link)
		link->last_listed_at = now;
}

/*
 * The next process of an entry, or another entry behind a load balancer, knows
 * nothing of the requests of the former one.
 */
static void set_incarnation(struct agent_link *link, uint64_t incarnation)
{
	if (link->entry_incarnation && link->entry_incarnation != incarnation)
		agent_requests_cancel_link(link, "entry-restarted");
	link->entry_incarnation = incarnation;
}

static void on_ack(struct agent_link *link, const struct msg_announce_ack *ack)
{
	struct mstime now = sysclock_now();
	size_t i;

	set_incarnation(link, ack->incarnation);
	set_entry(link, ack->entry);
	send_config(link, ack->config_version);
	if (ack->directory_hash != link->directory_hash && !ack->entries.count)
		return;
	for (i = 0; i < ack->entries.count; i++)
		add_listed_entry(link->agent, &ack->entries.items[i], now);
	if (ack->entries.count)
		link->directory_hash = ack->directory_hash;
}

static void on_config(struct agent_link *link, const struct msg_config *msg)
{
	struct daemon *daemon = link->agent->daemon;
	struct config *next = xmalloc(sizeof(*next));
	int err = config_parse(next, msg->json, strlen(msg->json));

	if (!err && config_replace_if_newer(&daemon->config, next) > 0) {
		log_event(EV_CONFIG_APPLIED, "version=%llu from=%s",
			  (unsigned long long)daemon->config.version,
			  link->address);
		agent_on_config(link->agent);
	}
	free(next);
}

static void record_message(struct agent_link *link)
{
	link->last_message_at = sysclock_now();
	link->answered = 1;
	if (link->answering)
		return;
	link->answering = 1;
	log_event(EV_AGENT_LINK_UP, "entry=%s", link->address);
	/* Tells owners at once which of their runs are at this worker. */
	agent_tasks_report_all(link->agent);
}

static void on_message(void *arg, const char *peer, const struct message *msg)
{
	struct agent_link *link = arg;

	record_message(link);
	switch (msg->type) {
	case MSG_ANNOUNCE_ACK:
		on_ack(link, &msg->u.announce_ack);
		break;
	case MSG_CONFIG:
		on_config(link, &msg->u.config);
		break;
	case MSG_REQUEST:
		agent_requests_on_request(link, &msg->u.request);
		break;
	case MSG_REQUEST_BODY:
		agent_requests_on_body(link, &msg->u.request_body);
		break;
	case MSG_CANCEL:
		agent_requests_on_cancel(link, &msg->u.cancel);
		break;
	case MSG_CREDIT:
		agent_requests_on_credit(link, &msg->u.credit);
		break;
	case MSG_TASK_START:
		agent_tasks_on_start(link, &msg->u.task_start);
		break;
	case MSG_TASK_STOP:
		agent_tasks_on_stop(link, &msg->u.task_stop);
		break;
	case MSG_TASK_THROTTLE:
		agent_tasks_on_throttle(link, &msg->u.task_throttle);
		break;
	case MSG_TASK_REPORT_ACK:
		agent_tasks_on_ack(link, &msg->u.task_report_ack);
		break;
	case MSG_OWNER:
		agent_tasks_on_owner(link, &msg->u.owner);
		break;
	default:
		log_event(EV_FRAME_DROPPED, "peer=%s type=%s reason=direction",
			  link->address, message_type_name(msg->type));
	}
}

static void on_store_entries(void *arg, int err, const struct store_item *items,
			     size_t count)
{
	struct agent *agent = arg;
	size_t i;

	for (i = 0; !err && i < count; i++) {
		json_t *root = json_loadb((const char *)items[i].value,
					  items[i].len, 0, NULL);
		const char *address =
			json_string_value(json_object_get(root, "address"));

		if (address && strlen(address) < ID_SIZE &&
		    !find_link_by_address(agent, address))
			add_link(agent, address, 0);
		json_decref(root);
	}
}

static void read_store(struct agent *agent, struct mstime now)
{
	if (!agent->daemon->store || mstime_diff(now, agent->store_read_at) <
					     AGENT_STORE_READ_INTERVAL_MS)
		return;
	agent->store_read_at = now;
	store_list(agent->daemon->store, "entry/", ENTRIES_MAX,
		   on_store_entries, agent);
}

static void check_link(struct agent_link *link, struct mstime now)
{
	if (mstime_diff(now, link->last_message_at) <
	    AGENT_LINK_SILENT_AFTER_MS)
		return;
	if (link->answering) {
		link->answering = 0;
		log_event(EV_AGENT_LINK_SILENT, "entry=%s silent_ms=%lld",
			  link->address,
			  (long long)mstime_diff(now, link->last_message_at));
		agent_requests_cancel_link(link, "link-silent");
	}
	if (!link->is_seed &&
	    mstime_diff(now, link->last_message_at) >=
		    AGENT_LINK_REMOVE_AFTER_MS &&
	    mstime_diff(now, link->last_listed_at) >=
		    AGENT_LINK_REMOVE_AFTER_MS)
		remove_link(link);
}

/*
 * After this process was paused, messages of the entries are unread in its
 * sockets, so the entries do not count as silent.
 */
static void ignore_own_pause(struct agent *agent, struct mstime now)
{
	int64_t elapsed_ms = mstime_diff(now, agent->announce_tick_at);
	struct list *pos;

	agent->announce_tick_at = now;
	if (elapsed_ms < 2 * AGENT_ANNOUNCE_INTERVAL_MS)
		return;
	list_for_each (pos, &agent->links)
		list_entry(pos, struct agent_link, node)->last_message_at = now;
}

static void check_links(struct agent *agent, struct mstime now)
{
	struct list *pos, *tmp;
	int64_t answering = 0;

	ignore_own_pause(agent, now);
	list_for_each_safe (pos, tmp, &agent->links)
		check_link(list_entry(pos, struct agent_link, node), now);
	list_for_each (pos, &agent->links)
		answering +=
			list_entry(pos, struct agent_link, node)->answering;
	agent->counters.answering_links.value = answering;
	if (!answering)
		read_store(agent, now);
}

static void on_announce_timer(void *arg)
{
	struct agent *agent = arg;
	uint32_t jitter_ms = AGENT_ANNOUNCE_INTERVAL_MS * 2 / 5;
	int64_t delay_ms = AGENT_ANNOUNCE_INTERVAL_MS - jitter_ms / 2 +
			   rng_below(&agent->rng, jitter_ms + 1);

	check_links(agent, sysclock_now());
	agent_counters_update_gauges(&agent->counters, &agent->gate);
	agent_links_announce(agent);
	if (agent->stopping || agent->domain_drained)
		delay_ms = AGENT_LEAVE_ANNOUNCE_INTERVAL_MS;
	loop_timer_start(agent->announce_timer, delay_ms);
}

int agent_links_start(struct agent *agent)
{
	const struct settings *s = agent->daemon->settings;
	size_t i;

	agent->announce_tick_at = sysclock_now();
	agent->store_read_at = agent->announce_tick_at;
	agent->announce_timer =
		loop_timer_new(agent->daemon->loop, on_announce_timer, agent);
	for (i = 0; i < s->seed_count; i++)
		if (!find_link_by_address(agent, s->seeds[i]))
			add_link(agent, s->seeds[i], 1);
	if (s->seed_count && list_empty(&agent->links))
		return ERR_SYSTEM;
	loop_timer_start(agent->announce_timer, 0);
	return 0;
}

void agent_links_stop(struct agent *agent)
{
	struct list *pos, *tmp;

	loop_timer_delete(agent->announce_timer);
	if (agent->daemon->store)
		store_cancel(agent->daemon->store, agent);
	list_for_each_safe (pos, tmp, &agent->links)
		remove_link(list_entry(pos, struct agent_link, node));
}
