#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "entry_impl.h"
#include "entry_shared_stream.h"
#include "errors.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

/*
 * The response to a caller with more unwritten bytes is aborted; the caller
 * can resume with Last-Event-ID.
 */
#define CALLER_LAG_MAX_BYTES (256 * 1024)
#define MOVE_TIMEOUT_MS 5000
#define MOVE_RETRY_MS 1000
#define DISPATCHES_PER_TICK 64

static void deliver_events(struct shared_stream *shared, struct span events)
{
	struct list callers;

	if (!events.len)
		return;
	shared->use_count++;
	shared_stream_detach_callers(shared, &callers);
	while (!list_empty(&callers)) {
		struct request *request = shared_stream_first_caller(&callers);

		list_del(&request->shared_stream_node);
		list_add_tail(&shared->callers, &request->shared_stream_node);
		if (request->exchange->unwritten_bytes + events.len >
		    CALLER_LAG_MAX_BYTES) {
			request_abort(request, "the caller reads too slowly");
			continue;
		}
		request->response_bytes_sent += events.len;
		exchange_send_body(request->exchange, events.data, events.len);
	}
	shared_stream_end_use(shared);
}

/*
 * Ends the responses to all callers, or aborts them if a reason is given; the
 * last of them deletes the stream.
 */
static void end_callers(struct shared_stream *shared, const char *abort_reason)
{
	struct list callers;

	shared->use_count++;
	shared_stream_detach_callers(shared, &callers);
	while (!list_empty(&callers)) {
		struct request *request = shared_stream_first_caller(&callers);

		if (abort_reason)
			request_abort(request, abort_reason);
		else
			request_finish(request, OUTCOME_DONE, 0);
	}
	shared_stream_end_use(shared);
}

static void drop_attempt(struct attempt **attempt)
{
	struct attempt *old = *attempt;

	*attempt = NULL;
	attempt_delete(old);
}

static void move_failed(struct shared_stream *shared)
{
	struct span events;

	attempt_cancel(shared->next_attempt);
	shared->next_attempt = NULL;
	log_event(EV_STREAM_MOVE_FAILED, "trace=%s old=%s", shared->trace,
		  shared->attempt ? shared->attempt->agent : "ended");
	if (!shared->attempt) {
		end_callers(shared, "no upstream could continue the stream");
		return;
	}
	shared->excluded_count = 0;
	shared->next_move_at = mstime_add(sysclock_now(), MOVE_RETRY_MS);
	stream_move_failed(shared->stream, &events);
	deliver_events(shared, events);
}

static struct header_list headers_with_last_event_id(
	const struct shared_stream *shared, const char *last_event_id)
{
	struct header_list list = { NULL, 0 };
	size_t i;

	list.items =
		xcalloc(shared->request_headers.count + 1, sizeof(*list.items));
	for (i = 0; i < shared->request_headers.count; i++)
		if (strcasecmp(shared->request_headers.items[i].name,
			       "Last-Event-ID"))
			list.items[list.count++] =
				shared->request_headers.items[i];
	if (last_event_id[0]) {
		list.items[list.count].name = "Last-Event-ID";
		list.items[list.count++].value = last_event_id;
	}
	return list;
}

static void choose_next_upstream(struct shared_stream *shared,
				 struct route_choice *choice)
{
	struct entry *entry = shared->entry;
	const struct daemon *daemon = entry->daemon;
	struct route_query query = {
		.service = shared->service,
		.region = daemon->settings->region,
		.tried_count = shared->excluded_count,
		.in_flight_limit = (uint32_t)daemon->config
					   .limits[LIMIT_UPSTREAM_REQUESTS],
		.now = sysclock_now(),
	};
	size_t i;

	for (i = 0; i < shared->excluded_count; i++)
		query.tried[i] = shared->excluded[i];
	route_choose(entry->route, &query, choice);
}

static void exclude_agent(struct shared_stream *shared, const char *agent)
{
	if (shared->excluded_count < ROUTE_TRIED_MAX)
		str_copy(shared->excluded[shared->excluded_count++], agent,
			 ID_SIZE);
}

static int start_next_attempt(struct shared_stream *shared,
			      const char *last_event_id)
{
	struct route_choice choice;
	struct header_list headers;
	struct attempt_params params = {
		.trace = shared->trace,
		.method = "GET",
		.path = shared->path,
		.attempt_number = 1,
		.remaining_ms = MOVE_TIMEOUT_MS,
	};
	char text[256];
	int err;

	choose_next_upstream(shared, &choice);
	route_explain(&choice, text, sizeof(text));
	log_event(choice.member ? EV_ROUTE_CHOSEN : EV_ROUTE_NONE,
		  "trace=%s move=1 service=%s %s", shared->trace,
		  shared->service, text);
	if (!choice.member)
		return 0;
	exclude_agent(shared, choice.member->agent);
	headers = headers_with_last_event_id(shared, last_event_id);
	params.headers = &headers;
	shared->next_attempt =
		attempt_start(shared->entry, &choice, &params, &err);
	free(headers.items);
	if (!shared->next_attempt)
		return 0;
	shared->next_attempt->shared_stream = shared;
	return 1;
}

static void start_move(struct shared_stream *shared)
{
	const char *last_event_id;

	if (shared->attempt && !shared->excluded_count)
		exclude_agent(shared, shared->attempt->agent);
	last_event_id = stream_move_begin(shared->stream);
	if (!last_event_id) {
		end_callers(shared, "a stream without event ids cannot move");
		return;
	}
	if (!start_next_attempt(shared, last_event_id))
		move_failed(shared);
}

static void finish_move(struct shared_stream *shared)
{
	log_event(EV_STREAM_MOVED, "trace=%s to=%s callers=%u", shared->trace,
		  shared->next_attempt->agent, shared->stream->callers);
	entry_counter_increment(shared->entry, COUNT_STREAMS_MOVED);
	attempt_cancel(shared->attempt);
	shared->attempt = shared->next_attempt;
	shared->next_attempt = NULL;
	shared->upstream_leaving = 0;
	shared->excluded_count = 0;
	attempt_release_slot(shared->attempt);
	stream_move_done(shared->stream, shared->attempt->id);
}

static void on_next_attempt_message(struct shared_stream *shared,
				    const struct message *msg)
{
	const struct msg_response *head = &msg->u.response;

	if (msg->type == MSG_RESPONSE && !shared->next_attempt->head_received) {
		shared->next_attempt->head_received = 1;
		attempt_record_result(shared->next_attempt,
				      head->status >= 500);
		if (response_is_event_stream(head)) {
			finish_move(shared);
			return;
		}
	}
	/* Refused, or not an event stream: try another upstream. */
	attempt_cancel(shared->next_attempt);
	shared->next_attempt = NULL;
	start_move(shared);
}

static void on_body(struct shared_stream *shared,
		    const struct msg_response_body *msg)
{
	struct attempt *attempt = shared->attempt;
	struct span events;

	if (msg->offset != attempt->body_bytes_received) {
		end_callers(shared, "a gap in the response body");
		return;
	}
	attempt->body_bytes_received += msg->data.len;
	attempt_grant_credit(attempt, (uint32_t)msg->data.len);
	if (stream_feed(shared->stream, attempt->id, msg->data.data,
			msg->data.len, &events))
		end_callers(shared, "an event is too large");
	else
		deliver_events(shared, events);
}

static void on_end(struct shared_stream *shared,
		   const struct msg_response_end *msg)
{
	int complete = msg->body_length == shared->attempt->body_bytes_received;

	drop_attempt(&shared->attempt);
	if (shared->next_attempt)
		return;
	if (msg->upstream_leaving) {
		start_move(shared);
		return;
	}
	if (msg->outcome != OUTCOME_DONE || !complete) {
		end_callers(shared,
			    "the response ended before it was complete");
		return;
	}
	shared->use_count++;
	deliver_events(shared, stream_undelivered(shared->stream));
	end_callers(shared, NULL);
	shared_stream_end_use(shared);
}

void shared_stream_on_message(struct attempt *attempt,
			      const struct message *msg)
{
	struct shared_stream *shared = attempt->shared_stream;

	if (attempt == shared->next_attempt)
		on_next_attempt_message(shared, msg);
	else if (msg->type == MSG_RESPONSE_BODY)
		on_body(shared, &msg->u.response_body);
	else if (msg->type == MSG_RESPONSE_END)
		on_end(shared, &msg->u.response_end);
	else
		end_callers(shared, "an unexpected message");
}

void shared_stream_attempt_lost(struct attempt *attempt)
{
	struct shared_stream *shared = attempt->shared_stream;

	attempt_record_result(attempt, 1);
	if (attempt == shared->next_attempt) {
		drop_attempt(&shared->next_attempt);
		start_move(shared);
		return;
	}
	drop_attempt(&shared->attempt);
	/* A move in progress continues after the last delivered event. */
	if (!shared->next_attempt)
		end_callers(shared, "the upstream was lost");
}

void shared_streams_member_leaving(struct entry *entry,
				   const struct member *member)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &entry->shared_streams) {
		struct shared_stream *shared =
			list_entry(pos, struct shared_stream, node);

		if (!shared->attempt || shared->attempt->member != member ||
		    shared->next_attempt)
			continue;
		shared->upstream_leaving = 1;
		start_move(shared);
	}
}

static int dispatch_one_pending(struct entry *entry)
{
	struct list *pos;

	list_for_each (pos, &entry->shared_streams) {
		struct shared_stream *shared =
			list_entry(pos, struct shared_stream, node);

		if (!shared->dispatch_pending)
			continue;
		shared->dispatch_pending = 0;
		request_dispatch(shared->leader);
		return 1;
	}
	return 0;
}

void shared_streams_tick(struct entry *entry, struct mstime now)
{
	struct list *pos, *tmp;
	int i;

	for (i = 0; i < DISPATCHES_PER_TICK && dispatch_one_pending(entry); i++)
		continue;
	list_for_each_safe (pos, tmp, &entry->shared_streams) {
		struct shared_stream *shared =
			list_entry(pos, struct shared_stream, node);

		if (shared->next_attempt &&
		    mstime_diff(now, shared->next_attempt->sent_at) >
			    MOVE_TIMEOUT_MS) {
			attempt_record_result(shared->next_attempt, 1);
			attempt_cancel(shared->next_attempt);
			shared->next_attempt = NULL;
			start_move(shared);
		} else if (shared->upstream_leaving && !shared->next_attempt &&
			   !mstime_before(now, shared->next_move_at)) {
			start_move(shared);
		}
	}
}
