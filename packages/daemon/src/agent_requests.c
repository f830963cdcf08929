#include "agent_requests.h"

#include <string.h>

#include "agent_links.h"
#include "agent_request.h"
#include "errors.h"
#include "log.h"
#include "sysclock.h"

#define IDLE_CONNECTIONS_MAX 8

static struct agent_request *request_of(struct list *pos)
{
	return list_entry(pos, struct agent_request, node);
}

static struct agent_request *find_request(struct agent_link *link,
					  uint64_t request_id)
{
	struct list *pos;

	list_for_each (pos, &link->agent->requests) {
		struct agent_request *r = request_of(pos);

		if (r->link == link && r->request_id == request_id)
			return r;
	}
	return NULL;
}

/* RETURN VALUE: 1 and the time of the next check of the request, or 0. */
static int due_at(const struct agent_request *r, struct mstime *at)
{
	int has_no_deadline =
		r->stage == REQUEST_RUNNING && r->is_stream && r->head_sent;

	if (!r->link)
		*at = r->drain_until;
	else if (r->send_blocked)
		*at = mstime_add(sysclock_now(), AGENT_SEND_RETRY_DELAY_MS);
	else if (!has_no_deadline || !r->link->answering)
		*at = r->deadline;
	else
		return 0;
	return 1;
}

void agent_requests_arm_timer(struct agent *agent)
{
	struct mstime now = sysclock_now(), next = mstime_add(now, 60000), at;
	struct list *pos;

	list_for_each (pos, &agent->requests)
		if (due_at(request_of(pos), &at))
			next = mstime_min(next, at);
	loop_timer_start(agent->request_timer, mstime_diff(next, now));
}

static void check_request(struct agent_request *r, struct mstime now)
{
	if (!r->link) {
		if (!mstime_before(now, r->drain_until))
			agent_request_delete(r);
		return;
	}
	if (mstime_before(now, r->deadline) ||
	    (r->is_stream && r->stage >= REQUEST_RUNNING)) {
		if (r->send_blocked)
			agent_request_flush(r);
		return;
	}
	if (r->stage < REQUEST_RUNNING)
		agent_request_refuse(r, REFUSAL_DEADLINE);
	else
		agent_request_abort(r, 0, "deadline");
}

static void on_timer(void *arg)
{
	struct agent *agent = arg;
	struct mstime now = sysclock_now();
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &agent->requests)
		check_request(request_of(pos), now);
	agent_requests_serve_queue(agent);
	agent_check_stopped(agent);
}

int agent_requests_start(struct agent *agent)
{
	struct daemon *daemon = agent->daemon;

	agent->request_timer = loop_timer_new(daemon->loop, on_timer, agent);
	agent->upstream_pool = httpc_pool_new(
		daemon->loop, daemon->settings->upstream, IDLE_CONNECTIONS_MAX);
	agent->upstream_fresh_pool =
		httpc_pool_new(daemon->loop, daemon->settings->upstream, 0);
	return agent->upstream_pool && agent->upstream_fresh_pool ? 0
								  : ERR_SYSTEM;
}

void agent_requests_stop(struct agent *agent)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &agent->requests)
		agent_request_delete(request_of(pos));
	loop_timer_delete(agent->request_timer);
	if (agent->upstream_pool)
		httpc_pool_delete(agent->upstream_pool);
	if (agent->upstream_fresh_pool)
		httpc_pool_delete(agent->upstream_fresh_pool);
}

static void admit(struct agent_request *r)
{
	enum refusal reason = REFUSAL_FULL;

	switch (gate_admit(&r->agent->gate, &r->gate_request, r->deadline,
			   sysclock_now(), &reason)) {
	case GATE_RUNNING:
		agent_request_run(r);
		break;
	case GATE_WAITING:
		r->stage = REQUEST_QUEUED;
		break;
	default:
		agent_request_refuse(r, reason);
	}
}

void agent_requests_serve_queue(struct agent *agent)
{
	struct gate_request *queued;
	enum refusal reason = REFUSAL_FULL;

	while ((queued = gate_dequeue(&agent->gate, sysclock_now(), &reason))) {
		struct agent_request *r =
			list_entry(queued, struct agent_request, gate_request);

		if (queued->stage == GATE_RUNNING)
			agent_request_run(r);
		else
			agent_request_refuse(r, reason);
	}
	agent_requests_arm_timer(agent);
}

/*
 * Checks a request before its body arrives, so that no body is sent in vain.
 *
 * RETURN VALUE
 *	1, or 0 with *reason set when the request must be refused.
 */
static int may_accept(const struct agent *agent, const struct msg_request *msg,
		      enum refusal *reason)
{
	if (msg->body_length > AGENT_BODY_MAX_BYTES) {
		*reason = REFUSAL_MALFORMED;
		return 0;
	}
	if (agent->gate.refusing) {
		*reason = agent->gate.reason;
		return 0;
	}
	*reason = REFUSAL_FULL;
	return agent->request_body_bytes + msg->body_length <=
	       AGENT_BODIES_MAX_BYTES;
}

void agent_requests_on_request(struct agent_link *link,
			       const struct msg_request *msg)
{
	struct agent_request *r;
	enum refusal reason;

	if (find_request(link, msg->request_id)) {
		log_event(EV_FRAME_DROPPED, "peer=%s reason=duplicate-request",
			  link->address);
		return;
	}
	if (!may_accept(link->agent, msg, &reason)) {
		/* No buffer is needed for the body of a refused request. */
		struct msg_request without_body = *msg;

		without_body.body_length = 0;
		agent_request_refuse(agent_request_new(link, &without_body),
				     reason);
		return;
	}
	r = agent_request_new(link, msg);
	if (!r->body_len)
		admit(r);
	agent_requests_arm_timer(link->agent);
}

void agent_requests_on_body(struct agent_link *link,
			    const struct msg_request_body *msg)
{
	struct agent_request *r = find_request(link, msg->request_id);

	if (!r || r->stage != REQUEST_RECEIVING_BODY)
		return;
	if (msg->offset != r->body_received ||
	    msg->data.len > r->body_len - r->body_received) {
		agent_request_refuse(r, REFUSAL_MALFORMED);
		return;
	}
	if (msg->data.len)
		memcpy(r->body + r->body_received, msg->data.data,
		       msg->data.len);
	r->body_received += msg->data.len;
	if (r->body_received == r->body_len)
		admit(r);
	else if (msg->is_last)
		agent_request_refuse(r, REFUSAL_MALFORMED);
	agent_requests_arm_timer(link->agent);
}

void agent_requests_on_cancel(struct agent_link *link,
			      const struct msg_cancel *msg)
{
	struct agent_request *r = find_request(link, msg->request_id);

	if (!r)
		return;
	if (r->stage < REQUEST_RUNNING)
		agent_request_refuse(r, REFUSAL_CANCELLED);
	else
		agent_request_abort(r, 0, "cancelled");
	agent_requests_serve_queue(link->agent);
	agent_check_stopped(link->agent);
}

void agent_requests_on_credit(struct agent_link *link,
			      const struct msg_credit *msg)
{
	struct agent_request *r = find_request(link, msg->request_id);

	if (!r)
		return;
	r->window_bytes += msg->bytes;
	/* An entry that sends too much credit does not raise the limit. */
	if (r->window_bytes > AGENT_WINDOW_MAX_BYTES)
		r->window_bytes = AGENT_WINDOW_MAX_BYTES;
	agent_request_flush(r);
	agent_check_stopped(link->agent);
}

void agent_requests_cancel_link(struct agent_link *link, const char *reason)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &link->agent->requests) {
		struct agent_request *r = request_of(pos);

		if (r->link != link)
			continue;
		if (r->stage < REQUEST_RUNNING)
			agent_request_refuse(r, REFUSAL_CANCELLED);
		else
			agent_request_abort(r, 0, reason);
	}
	agent_requests_serve_queue(link->agent);
}

void agent_requests_move_streams(struct agent *agent)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &agent->requests) {
		struct agent_request *r = request_of(pos);

		if (r->is_stream && r->stage == REQUEST_RUNNING)
			agent_request_abort(r, 1, "moved");
	}
	agent_requests_serve_queue(agent);
}

uint32_t agent_requests_count_awaited(const struct agent *agent)
{
	const struct list *pos;
	uint32_t count = 0;

	list_for_each (pos, &agent->requests)
		if (list_entry(pos, struct agent_request, node)->link)
			count++;
	return count;
}
