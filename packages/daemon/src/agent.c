#include "agent.h"

#include <stdlib.h>
#include <string.h>

#include "admin.h"
#include "agent_links.h"
#include "agent_requests.h"
#include "agent_state.h"
#include "agent_tasks.h"
#include "errors.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

/*
 * Entries that have not heard of the leaving yet still get refusals for this
 * long after the gate has closed.
 */
#define AFTER_CLOSE_MS 1000
#define LEAVE_TICK_MS 100

static int leaving(const struct agent *agent)
{
	return agent->stopping || agent->domain_drained;
}

static enum agent_state derive(const struct agent *agent, const char **reason)
{
	*reason = "";
	if (agent->stopping) {
		*reason = "leaving";
		return AGENT_LEAVING;
	}
	*reason = agent->domain_drained	 ? "drained"
		  : !agent->worker_known ? "worker-unknown"
		  : agent->worker_down	 ? "worker-down"
		  : agent->upstream_down ? "upstream-down"
					 : "";
	return **reason ? AGENT_NOT_READY : AGENT_READY;
}

static void set_gate(struct agent *agent)
{
	if (agent->closed_for_leaving)
		gate_close(&agent->gate, REFUSAL_LEAVING);
	else if (!agent->worker_known || agent->worker_down ||
		 agent->upstream_down)
		gate_close(&agent->gate, REFUSAL_NOT_READY);
	else
		gate_open(&agent->gate);
}

static void log_state(const struct agent *agent)
{
	switch (agent->state) {
	case AGENT_READY:
		log_event(EV_AGENT_READY, "slots=%u connections=%u",
			  agent->gate.limits.slots,
			  agent->gate.limits.connections);
		break;
	case AGENT_LEAVING:
		log_event(EV_AGENT_LEAVING, "in_flight=%u connections=%u",
			  agent->gate.slots_used, agent->gate.connections_used);
		break;
	default:
		log_event(EV_AGENT_NOT_READY, "reason=%s", agent->state_reason);
	}
}

void agent_update_state(struct agent *agent)
{
	const char *reason;
	enum agent_state state = derive(agent, &reason);

	set_gate(agent);
	agent_requests_serve_queue(agent);
	if (state == agent->state && reason == agent->state_reason)
		return;
	agent->state = state;
	agent->state_reason = reason;
	log_state(agent);
	if (agent->daemon->admin)
		admin_set_ready(agent->daemon->admin, state == AGENT_READY,
				reason);
	agent_links_announce(agent);
}

static void close_for_leaving(struct agent *agent)
{
	agent->closed_for_leaving = 1;
	log_event(EV_AGENT_GATE_CLOSED, "reason=%s in_flight=%u queued=%u",
		  agent->stopping ? "stopping" : "drained",
		  agent->gate.slots_used, agent->gate.queued);
	agent_update_state(agent);
	agent_requests_move_streams(agent);
}

static void on_leave_timer(void *arg)
{
	struct agent *agent = arg;
	int64_t since_ms;

	if (!leaving(agent))
		return;
	since_ms = mstime_diff(sysclock_now(), agent->leaving_at);
	if (since_ms >= AGENT_GATE_CLOSE_DELAY_MS && !agent->closed_for_leaving)
		close_for_leaving(agent);
	loop_timer_start(agent->leave_timer, LEAVE_TICK_MS);
	agent_check_stopped(agent);
}

static void begin_leaving(struct agent *agent, const char *reason)
{
	agent->leaving_at = sysclock_now();
	agent_update_state(agent);
	agent_tasks_stop_runs(agent, reason);
	/* The announcements in between come faster from now on. */
	loop_timer_start(agent->announce_timer,
			 AGENT_LEAVE_ANNOUNCE_INTERVAL_MS);
	loop_timer_start(agent->leave_timer, LEAVE_TICK_MS);
}

static void end_leaving(struct agent *agent)
{
	agent->closed_for_leaving = 0;
	loop_timer_stop(agent->leave_timer);
	agent_update_state(agent);
}

void agent_on_config(struct agent *agent)
{
	const struct daemon *daemon = agent->daemon;
	int drained = config_domain_drained(&daemon->config,
					    daemon->settings->domain);

	agent_tasks_on_config(agent);
	if (!agent->stopping && drained != agent->domain_drained) {
		agent->domain_drained = drained;
		if (drained)
			begin_leaving(agent, "drained");
		else
			end_leaving(agent);
	}
	/* Tells the entries which version is in force here. */
	agent_links_announce(agent);
}

void agent_check_stopped(struct agent *agent)
{
	stopped_fn fn = agent->on_stopped;
	int64_t since_ms;

	if (!agent->stopping || !fn)
		return;
	since_ms = mstime_diff(sysclock_now(), agent->leaving_at);
	if (since_ms < agent->daemon->settings->stop_ms &&
	    (since_ms < AGENT_GATE_CLOSE_DELAY_MS + AFTER_CLOSE_MS ||
	     agent_requests_count_awaited(agent) ||
	     agent_tasks_count_reportable(agent)))
		return;
	agent->on_stopped = NULL;
	loop_timer_stop(agent->leave_timer);
	fn(agent->on_stopped_arg);
}

void agent_stop(struct agent *agent, stopped_fn fn, void *arg)
{
	if (agent->stopping)
		return;
	agent->stopping = 1;
	agent->on_stopped = fn;
	agent->on_stopped_arg = arg;
	begin_leaving(agent, "stopping");
}

static void on_upstream_timer(void *arg)
{
	struct agent *agent = arg;

	agent->upstream_down = 0;
	agent_update_state(agent);
}

static void init_gate(struct agent *agent)
{
	const struct settings *s = agent->daemon->settings;
	struct gate_limits limits = {
		.slots = (uint32_t)s->slots,
		.connections = (uint32_t)s->connections,
		.queue = (uint32_t)s->queue,
		.capacity = { (uint32_t)s->cpu_milli, (uint32_t)s->mem_mb,
			      (uint32_t)s->accel },
	};

	gate_init(&agent->gate, &limits);
	gate_close(&agent->gate, REFUSAL_NOT_READY);
}

struct agent *agent_new(struct daemon *daemon)
{
	struct agent *agent = xcalloc(1, sizeof(*agent));

	agent->daemon = daemon;
	agent->state = AGENT_NOT_READY;
	agent->state_reason = "starting";
	agent->domain_drained = config_domain_drained(&daemon->config,
						      daemon->settings->domain);
	list_init(&agent->links);
	list_init(&agent->requests);
	list_init(&agent->tasks);
	list_init(&agent->owners);
	rng_seed(&agent->rng, daemon->incarnation);
	init_gate(agent);
	agent_counters_init(&agent->counters, &daemon->counters);
	agent->leave_timer =
		loop_timer_new(daemon->loop, on_leave_timer, agent);
	agent->upstream_retry_timer =
		loop_timer_new(daemon->loop, on_upstream_timer, agent);
	if (agent_requests_start(agent) || agent_tasks_start(agent) ||
	    agent_links_start(agent)) {
		log_event(EV_AGENT_NOT_READY, "reason=address-not-usable");
		agent_delete(agent);
		return NULL;
	}
	return agent;
}

void agent_delete(struct agent *agent)
{
	if (!agent)
		return;
	agent_links_stop(agent);
	agent_tasks_stop(agent);
	agent_requests_stop(agent);
	loop_timer_delete(agent->leave_timer);
	loop_timer_delete(agent->upstream_retry_timer);
	agent_counters_remove(&agent->counters);
	free(agent);
}
