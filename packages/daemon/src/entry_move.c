#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "entry_impl.h"
#include "entry_watch.h"
#include "errors.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

/* A caller that lags so far behind is cut; it can resume by its event id. */
#define LAG_MAX (256 * 1024)
#define MOVE_HEAD_MS 5000
#define MOVE_AGAIN_MS 1000
#define RESTARTS_A_TICK 64

static void deliver(struct shared_stream *watch, struct span events)
{
	struct list callers;

	if (!events.len)
		return;
	watch->use_count++;
	shared_stream_detach_callers(watch, &callers);
	while (!list_empty(&callers)) {
		struct request *request = shared_stream_first_caller(&callers);

		list_del(&request->shared_stream_node);
		list_add_tail(&watch->callers, &request->shared_stream_node);
		if (request->exchange->unwritten_bytes + events.len > LAG_MAX) {
			request_abort(request, "the caller reads too slowly");
			continue;
		}
		request->response_bytes_sent += events.len;
		exchange_send_body(request->exchange, events.data, events.len);
	}
	shared_stream_end_use(watch);
}

/* Ends all callers; the last of them deletes the watch. */
static void end_callers(struct shared_stream *watch, const char *cut)
{
	struct list callers;

	watch->use_count++;
	shared_stream_detach_callers(watch, &callers);
	while (!list_empty(&callers)) {
		struct request *request = shared_stream_first_caller(&callers);

		if (cut)
			request_abort(request, cut);
		else
			request_finish(request, OUTCOME_DONE, 0);
	}
	shared_stream_end_use(watch);
}

static void drop_attempt(struct attempt **attempt)
{
	struct attempt *old = *attempt;

	*attempt = NULL;
	attempt_delete(old);
}

static void move_failed(struct shared_stream *watch)
{
	struct span events;

	attempt_cancel(watch->next_attempt);
	watch->next_attempt = NULL;
	log_event(EV_STREAM_MOVE_FAILED, "trace=%s old=%s", watch->trace,
		  watch->attempt ? watch->attempt->agent : "ended");
	if (!watch->attempt) {
		end_callers(watch, "no upstream took the stream over");
		return;
	}
	watch->excluded_count = 0;
	watch->next_move_at = mstime_add(sysclock_now(), MOVE_AGAIN_MS);
	stream_move_failed(watch->stream, &events);
	deliver(watch, events);
}

static struct header_list headers_with_id(const struct shared_stream *watch,
					  const char *id)
{
	struct header_list list = { NULL, 0 };
	size_t i;

	list.items =
		xcalloc(watch->request_headers.count + 1, sizeof(*list.items));
	for (i = 0; i < watch->request_headers.count; i++)
		if (strcasecmp(watch->request_headers.items[i].name,
			       "Last-Event-ID"))
			list.items[list.count++] =
				watch->request_headers.items[i];
	if (id[0]) {
		list.items[list.count].name = "Last-Event-ID";
		list.items[list.count++].value = id;
	}
	return list;
}

static void choose_next(struct shared_stream *watch,
			struct route_choice *choice)
{
	struct entry *entry = watch->entry;
	const struct daemon *daemon = entry->daemon;
	struct route_query query = {
		.service = watch->service,
		.region = daemon->settings->region,
		.tried_count = watch->excluded_count,
		.in_flight_limit = (uint32_t)daemon->config
					   .limits[LIMIT_UPSTREAM_REQUESTS],
		.now = sysclock_now(),
	};
	size_t i;

	for (i = 0; i < watch->excluded_count; i++)
		query.tried[i] = watch->excluded[i];
	route_choose(entry->route, &query, choice);
}

static void note_left(struct shared_stream *watch, const char *agent)
{
	if (watch->excluded_count < ROUTE_TRIED_MAX)
		str_copy(watch->excluded[watch->excluded_count++], agent,
			 ID_SIZE);
}

static int start_next(struct shared_stream *watch, const char *id)
{
	struct route_choice choice;
	struct header_list headers;
	struct attempt_params params = {
		.trace = watch->trace,
		.method = "GET",
		.path = watch->path,
		.attempt_number = 1,
		.remaining_ms = MOVE_HEAD_MS,
	};
	char text[256];
	int err;

	choose_next(watch, &choice);
	route_explain(&choice, text, sizeof(text));
	log_event(choice.member ? EV_ROUTE_CHOSEN : EV_ROUTE_NONE,
		  "trace=%s move=1 service=%s %s", watch->trace, watch->service,
		  text);
	if (!choice.member)
		return 0;
	note_left(watch, choice.member->agent);
	headers = headers_with_id(watch, id);
	params.headers = &headers;
	watch->next_attempt =
		attempt_start(watch->entry, &choice, &params, &err);
	free(headers.items);
	if (!watch->next_attempt)
		return 0;
	watch->next_attempt->shared_stream = watch;
	return 1;
}

static void start_move(struct shared_stream *watch)
{
	const char *id;

	if (watch->attempt && !watch->excluded_count)
		note_left(watch, watch->attempt->agent);
	id = stream_move_begin(watch->stream);
	if (!id) {
		end_callers(watch, "the stream has no event ids");
		return;
	}
	if (!start_next(watch, id))
		move_failed(watch);
}

static void finish_move(struct shared_stream *watch)
{
	log_event(EV_STREAM_MOVED, "trace=%s to=%s callers=%u", watch->trace,
		  watch->next_attempt->agent, watch->stream->callers);
	entry_counter_increment(watch->entry, COUNT_STREAMS_MOVED);
	attempt_cancel(watch->attempt);
	watch->attempt = watch->next_attempt;
	watch->next_attempt = NULL;
	watch->upstream_leaving = 0;
	watch->excluded_count = 0;
	attempt_release_slot(watch->attempt);
	stream_move_done(watch->stream, watch->attempt->id);
}

static void on_next(struct shared_stream *watch, const struct message *msg)
{
	const struct msg_response *head = &msg->u.response;

	if (msg->type == MSG_RESPONSE && !watch->next_attempt->head_received) {
		watch->next_attempt->head_received = 1;
		attempt_record_result(watch->next_attempt, head->status >= 500);
		if (response_is_event_stream(head)) {
			finish_move(watch);
			return;
		}
	}
	/* Refused, or not the answer of a watch: try another one. */
	attempt_cancel(watch->next_attempt);
	watch->next_attempt = NULL;
	start_move(watch);
}

static void on_body(struct shared_stream *watch,
		    const struct msg_response_body *msg)
{
	struct attempt *attempt = watch->attempt;
	struct span events;

	if (msg->offset != attempt->body_bytes_received) {
		end_callers(watch, "a gap in the body");
		return;
	}
	attempt->body_bytes_received += msg->data.len;
	attempt_grant_credit(attempt, (uint32_t)msg->data.len);
	if (stream_feed(watch->stream, attempt->id, msg->data.data,
			msg->data.len, &events))
		end_callers(watch, "an event is too large");
	else
		deliver(watch, events);
}

static void on_end(struct shared_stream *watch,
		   const struct msg_response_end *msg)
{
	int whole = msg->total == watch->attempt->body_bytes_received;

	drop_attempt(&watch->attempt);
	if (watch->next_attempt)
		return;
	if (msg->moved) {
		start_move(watch);
		return;
	}
	if (msg->outcome != OUTCOME_DONE || !whole) {
		end_callers(watch, "ended before it was whole");
		return;
	}
	watch->use_count++;
	deliver(watch, stream_undelivered(watch->stream));
	end_callers(watch, NULL);
	shared_stream_end_use(watch);
}

void shared_stream_on_message(struct attempt *attempt,
			      const struct message *msg)
{
	struct shared_stream *watch = attempt->shared_stream;

	if (attempt == watch->next_attempt)
		on_next(watch, msg);
	else if (msg->type == MSG_RESPONSE_BODY)
		on_body(watch, &msg->u.response_body);
	else if (msg->type == MSG_RESPONSE_END)
		on_end(watch, &msg->u.response_end);
	else
		end_callers(watch, "a second head");
}

void shared_stream_attempt_lost(struct attempt *attempt)
{
	struct shared_stream *watch = attempt->shared_stream;

	attempt_record_result(attempt, 1);
	if (attempt == watch->next_attempt) {
		drop_attempt(&watch->next_attempt);
		start_move(watch);
		return;
	}
	drop_attempt(&watch->attempt);
	/* A move in progress goes on from the last event handed out. */
	if (!watch->next_attempt)
		end_callers(watch, "the upstream is gone");
}

void shared_streams_member_leaving(struct entry *entry,
				   const struct member *member)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &entry->shared_streams) {
		struct shared_stream *watch =
			list_entry(pos, struct shared_stream, node);

		if (!watch->attempt || watch->attempt->member != member ||
		    watch->next_attempt)
			continue;
		watch->upstream_leaving = 1;
		start_move(watch);
	}
}

static int restart_one(struct entry *entry)
{
	struct list *pos;

	list_for_each (pos, &entry->shared_streams) {
		struct shared_stream *watch =
			list_entry(pos, struct shared_stream, node);

		if (!watch->dispatch_pending)
			continue;
		watch->dispatch_pending = 0;
		request_dispatch(watch->leader);
		return 1;
	}
	return 0;
}

void shared_streams_tick(struct entry *entry, struct mstime now)
{
	struct list *pos, *tmp;
	int i;

	for (i = 0; i < RESTARTS_A_TICK && restart_one(entry); i++)
		continue;
	list_for_each_safe (pos, tmp, &entry->shared_streams) {
		struct shared_stream *watch =
			list_entry(pos, struct shared_stream, node);

		if (watch->next_attempt &&
		    mstime_diff(now, watch->next_attempt->sent_at) >
			    MOVE_HEAD_MS) {
			attempt_record_result(watch->next_attempt, 1);
			attempt_cancel(watch->next_attempt);
			watch->next_attempt = NULL;
			start_move(watch);
		} else if (watch->upstream_leaving && !watch->next_attempt &&
			   !mstime_before(now, watch->next_move_at)) {
			start_move(watch);
		}
	}
}
