#include <stdlib.h>
#include <string.h>

#include "entry_impl.h"
#include "errors.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

static struct list *bucket_of(struct entry *entry, uint64_t id)
{
	return &entry->attempts[id % ATTEMPT_BUCKETS];
}

struct attempt *attempt_find(struct entry *entry, uint64_t id)
{
	struct list *bucket = bucket_of(entry, id), *pos;

	list_for_each (pos, bucket) {
		struct attempt *attempt =
			list_entry(pos, struct attempt, bucket_node);

		if (attempt->id == id)
			return attempt;
	}
	return NULL;
}

static struct attempt *new_attempt(struct entry *entry,
				   const struct route_choice *choice,
				   const struct attempt_params *params)
{
	struct attempt *attempt = xcalloc(1, sizeof(*attempt));
	struct member *member = choice->member;

	attempt->entry = entry;
	attempt->id = entry->next_attempt_id++;
	attempt->member = member;
	str_copy(attempt->agent, member->agent, sizeof(attempt->agent));
	str_copy(attempt->peer, member->peer, sizeof(attempt->peer));
	attempt->incarnation = member->incarnation;
	attempt->probe = choice->reason == ROUTE_PROBE;
	attempt->remote =
		strcmp(member->region, entry->daemon->settings->region) != 0;
	attempt->sent_at = sysclock_now();
	attempt->timeout_ms = params->remaining_ms;
	attempt->body = params->body;
	return attempt;
}

static int send_request(struct attempt *attempt,
			const struct attempt_params *params)
{
	struct message msg = {
		.type = MSG_REQUEST,
		.u.request = {
			.request_id = attempt->id,
			.attempt = params->attempt_number,
			.remaining_ms = (uint32_t)params->remaining_ms,
			.method = params->method,
			.path = params->path,
			.headers = *params->headers,
			.body_length = params->body.len,
		},
	};

	str_copy(msg.u.request.trace_id, params->trace,
		 sizeof(msg.u.request.trace_id));
	return entry_send(attempt->entry, attempt->peer, attempt->remote, &msg);
}

struct attempt *attempt_start(struct entry *entry,
			      const struct route_choice *choice,
			      const struct attempt_params *params, int *err)
{
	struct attempt *attempt = new_attempt(entry, choice, params);

	*err = send_request(attempt, params);
	if (*err) {
		free(attempt);
		return NULL;
	}
	entry_counter_increment(entry, COUNT_ATTEMPTS);
	list_add_head(bucket_of(entry, attempt->id), &attempt->bucket_node);
	route_sent(entry->route, choice->member, attempt->probe,
		   attempt->sent_at);
	attempt_send_body(attempt);
	return attempt;
}

/* An empty body needs no message; REQUEST has its length. */
void attempt_send_body(struct attempt *attempt)
{
	struct message msg = { .type = MSG_REQUEST_BODY };
	int err;

	while (!attempt->body_done &&
	       attempt->body_bytes_sent < attempt->body.len) {
		size_t remaining =
			attempt->body.len - (size_t)attempt->body_bytes_sent;
		size_t len = remaining < BODY_CHUNK_MAX_BYTES
				     ? remaining
				     : BODY_CHUNK_MAX_BYTES;

		msg.u.request_body.request_id = attempt->id;
		msg.u.request_body.offset = attempt->body_bytes_sent;
		msg.u.request_body.data.data =
			attempt->body.data + attempt->body_bytes_sent;
		msg.u.request_body.data.len = len;
		msg.u.request_body.is_last = len == remaining;
		err = entry_send(attempt->entry, attempt->peer, attempt->remote,
				 &msg);
		/* The queue is full; the entry's tick tries again. */
		if (err)
			return;
		attempt->body_bytes_sent += len;
	}
	attempt->body_done = 1;
}

void attempt_release_slot(struct attempt *attempt)
{
	if (attempt->slot_released)
		return;
	attempt->slot_released = 1;
	if (attempt->member)
		route_released(attempt->entry->route, attempt->member,
			       attempt->incarnation);
	entry_serve_queue_soon(attempt->entry);
}

static void log_route_event(struct attempt *attempt, enum route_event event)
{
	uint32_t active, ejected;

	route_count(attempt->entry->route, attempt->member->service, &active,
		    &ejected);
	if (event == ROUTE_EVENT_EJECTED) {
		entry_counter_increment(attempt->entry, COUNT_EJECTIONS);
		log_event(EV_UPSTREAM_EJECTED, "agent=%s active=%u ejected=%u",
			  attempt->agent, active, ejected);
	}
	if (event == ROUTE_EVENT_RETURNED) {
		entry_counter_increment(attempt->entry, COUNT_EJECTION_RETURNS);
		log_event(EV_UPSTREAM_RETURNED, "agent=%s active=%u ejected=%u",
			  attempt->agent, active, ejected);
	}
}

void attempt_record_result(struct attempt *attempt, int failed)
{
	struct mstime now = sysclock_now();
	int64_t took_ms = mstime_diff(now, attempt->sent_at);

	if (attempt->result_recorded || !attempt->member ||
	    attempt->member->incarnation != attempt->incarnation)
		return;
	attempt->result_recorded = 1;
	if (failed)
		took_ms = attempt->timeout_ms;
	log_route_event(attempt,
			route_result(attempt->entry->route, attempt->member,
				     failed, attempt->probe, took_ms, now));
}

void attempt_delete(struct attempt *attempt)
{
	if (!attempt)
		return;
	attempt_release_slot(attempt);
	if (attempt->probe && !attempt->result_recorded && attempt->member)
		route_probe_abandoned(attempt->entry->route, attempt->member);
	list_del(&attempt->bucket_node);
	free(attempt);
}

void attempt_cancel(struct attempt *attempt)
{
	struct message msg = { .type = MSG_CANCEL };

	if (!attempt)
		return;
	msg.u.cancel.request_id = attempt->id;
	/* An agent that does not receive it stops at the deadline. */
	entry_send(attempt->entry, attempt->peer, attempt->remote, &msg);
	attempt_delete(attempt);
}

void attempt_grant_credit(struct attempt *attempt, uint32_t bytes)
{
	struct message msg = { .type = MSG_CREDIT };

	attempt->unsent_credit_bytes += bytes;
	if (!attempt->unsent_credit_bytes)
		return;
	msg.u.credit.request_id = attempt->id;
	msg.u.credit.bytes = attempt->unsent_credit_bytes;
	/* Without credit the response stalls; the tick tries again. */
	if (!entry_send(attempt->entry, attempt->peer, attempt->remote, &msg))
		attempt->unsent_credit_bytes = 0;
}
