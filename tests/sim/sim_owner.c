#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "mem.h"
#include "sim.h"

struct transport {
	struct sim_owner *owner;
};

/* A frame in transit to an owner or to one incarnation of an agent. */
struct frame {
	struct sim_owner *owner;
	struct sim_agent *agent;
	int to_owner;
	uint64_t generation; /* of the owner */
	char peer[2 * ID_SIZE];
	unsigned char *data;
	size_t len;
};

static const char *format_peer(const struct sim_agent *agent, char *peer)
{
	snprintf(peer, 2 * ID_SIZE, "%s/%llu", agent->id,
		 (unsigned long long)agent->incarnation);
	return peer;
}

static void deliver_to_agent(const struct frame *frame,
			     const struct message *msg)
{
	char peer[2 * ID_SIZE];

	if (!strcmp(format_peer(frame->agent, peer), frame->peer))
		sim_agent_receive(frame->agent,
				  (int)(frame->owner - sim.owners), msg);
}

static void deliver_to_owner(const struct frame *frame,
			     const struct message *msg)
{
	struct sim_owner *owner = frame->owner;
	enum membership_change change;

	if (!owner->owner || owner->proc.generation != frame->generation)
		return;
	if (msg->type == MSG_TASK_REPORT) {
		owner_on_report(owner->owner, frame->peer, &msg->u.task_report);
		return;
	}
	change = membership_apply_announce(&owner->membership, &msg->u.announce,
					   frame->peer, mstime_from(sim.now));
	if (change == MEMBER_JOINED || change == MEMBER_STATE_CHANGED)
		owner_on_change(owner->owner);
}

static void deliver_frame(void *arg)
{
	struct frame *frame = arg;
	struct message msg;

	if (!sim.failure[0]) {
		if (message_decode(&msg, frame->data, frame->len)) {
			sim_fail("a frame cannot be decoded");
		} else {
			if (frame->to_owner)
				deliver_to_owner(frame, &msg);
			else
				deliver_to_agent(frame, &msg);
			message_clear(&msg);
		}
	}
	free(frame->data);
	free(frame);
}

static void schedule_delivery(const struct frame *frame)
{
	struct frame *copy = xmemdup(frame, sizeof(*frame));
	int64_t delay = 1 + rng_below(&sim.rng, 5);

	if (sim_chance(5))
		delay = rng_below(&sim.rng, (uint32_t)sim.max_delay_ms);
	copy->data = xmemdup(frame->data, frame->len);
	sim_add_event(sim.now + delay,
		      frame->to_owner ? &frame->owner->proc
				      : &frame->agent->proc,
		      deliver_frame, copy);
}

static void send_frame(struct frame *frame, const struct message *msg)
{
	int index = frame->agent->index;

	if (frame->owner->agent_disconnected_until[index] > sim.now ||
	    sim_chance(sim.loss_percent))
		return;
	if (message_encode(msg, &frame->data, &frame->len)) {
		sim_fail("a message cannot be encoded");
		return;
	}
	schedule_delivery(frame);
	if (sim_chance(sim.duplicate_percent))
		schedule_delivery(frame);
	free(frame->data);
}

int transport_send(struct transport *transport, const char *peer,
		   const struct message *msg)
{
	struct frame frame = { .owner = transport->owner };
	int i;

	for (i = 0; i < SIM_AGENTS; i++)
		if (!strncmp(peer, sim.agents[i].id, strlen(sim.agents[i].id)))
			frame.agent = &sim.agents[i];
	if (!frame.agent)
		return ERR_UNAVAILABLE;
	snprintf(frame.peer, sizeof(frame.peer), "%s", peer);
	send_frame(&frame, msg);
	return 0;
}

static void send_to_owner(struct sim_agent *agent, struct sim_owner *owner,
			  const struct message *msg)
{
	struct frame frame = { .owner = owner,
			       .agent = agent,
			       .to_owner = 1,
			       .generation = owner->proc.generation };

	format_peer(agent, frame.peer);
	send_frame(&frame, msg);
}

void sim_send_report(struct sim_agent *agent, int owner,
		     const struct msg_task_report *report)
{
	struct message msg = { .type = MSG_TASK_REPORT };

	msg.u.task_report = *report;
	send_to_owner(agent, &sim.owners[owner], &msg);
}

void sim_announce(struct sim_agent *agent, const struct msg_announce *announce)
{
	struct message msg = { .type = MSG_ANNOUNCE };
	int i;

	msg.u.announce = *announce;
	for (i = 0; i < SIM_OWNERS; i++)
		send_to_owner(agent, &sim.owners[i], &msg);
}

void sim_owner_start(struct sim_owner *owner)
{
	const struct entry_list entries = { NULL, 0 };
	struct daemon *daemon = &owner->daemon;
	static struct transport transports[SIM_OWNERS];
	struct transport *transport = &transports[owner - sim.owners];

	transport->owner = owner;
	memset(daemon, 0, sizeof(*daemon));
	snprintf(owner->settings.id, ID_SIZE, "%s", owner->id);
	owner->settings.store_lease_s = 15;
	daemon->settings = &owner->settings;
	daemon->loop = sim_loop_new(&owner->proc);
	daemon->incarnation = rng_next(&sim.rng);
	daemon->store = sim_store_new(owner);
	metric_set_init(&daemon->metrics);
	config_init(&daemon->config);
	daemon->config.version = 1;
	daemon->config.limits[LIMIT_PARTITIONS] = SIM_PARTITIONS;
	daemon->config.limits[LIMIT_HOLDOVER_MS] = 60000;
	daemon->config.limits[LIMIT_TASK_LEASE_MS] = 10000;
	daemon->config.limits[LIMIT_GRANT_MS] = 20000;
	membership_init(&owner->membership);
	owner->owner = owner_new(daemon, transport, &owner->membership);
	owner_set_entries(owner->owner, &entries);
	owner->stopping = 0;
	owner->stopped = 0;
	sim_trace("%s starts", owner->id);
}

void sim_owner_crash(struct sim_owner *owner)
{
	if (!owner->owner)
		return;
	sim_trace("%s terminates", owner->id);
	owner_delete(owner->owner);
	owner->owner = NULL;
	owner->proc.generation++;
	owner->proc.frozen_until = 0;
	membership_clear(&owner->membership);
	store_delete(owner->daemon.store);
	loop_delete(owner->daemon.loop);
}
