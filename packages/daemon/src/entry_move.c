#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "entry_impl.h"
#include "entry_watch.h"
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

static void deliver_events(struct watch *shared, struct span events)
{
	struct list callers;

	if (!events.len)
		return;
	shared->busy++;
	watch_take_callers(shared, &callers);
	while (!list_empty(&callers)) {
		struct request *request = watch_next_caller(&callers);

		list_del(&request->watch_node);
		list_add_tail(&shared->callers, &request->watch_node);
		if (request->exchange->unwritten + events.len >
		    CALLER_LAG_MAX_BYTES) {
			request_cut(request, "the caller reads too slowly");
			continue;
		}
		request->sent += events.len;
		exchange_data(request->exchange, events.data, events.len);
	}
	watch_end_busy(shared);
}

/*
 * Ends the responses to all callers, or aborts them if a reason is given; the
 * last of them deletes the stream.
 */
static void end_callers(struct watch *shared, const char *abort_reason)
{
	struct list callers;

	shared->busy++;
	watch_take_callers(shared, &callers);
	while (!list_empty(&callers)) {
		struct request *request = watch_next_caller(&callers);

		if (abort_reason)
			request_cut(request, abort_reason);
		else
			request_finish(request, OUTCOME_DONE, 0);
	}
	watch_end_busy(shared);
}

static void drop_attempt(struct attempt **attempt)
{
	struct attempt *old = *attempt;

	*attempt = NULL;
	attempt_delete(old);
}

static void move_failed(struct watch *shared)
{
	struct span events;

	attempt_cancel(shared->next);
	shared->next = NULL;
	log_event(EV_STREAM_MOVE_FAILED, "trace=%s old=%s", shared->trace,
		  shared->attempt ? shared->attempt->agent : "ended");
	if (!shared->attempt) {
		end_callers(shared, "no upstream could continue the stream");
		return;
	}
	shared->left_count = 0;
	shared->move_at = mstime_add(sysclock_now(), MOVE_RETRY_MS);
	stream_move_failed(shared->stream, &events);
	deliver_events(shared, events);
}

static struct header_list headers_with_last_event_id(const struct watch *shared,
						     const char *last_event_id)
{
	struct header_list list = { NULL, 0 };
	size_t i;

	list.items = xcalloc(shared->asked.count + 1, sizeof(*list.items));
	for (i = 0; i < shared->asked.count; i++)
		if (strcasecmp(shared->asked.items[i].name, "Last-Event-ID"))
			list.items[list.count++] = shared->asked.items[i];
	if (last_event_id[0]) {
		list.items[list.count].name = "Last-Event-ID";
		list.items[list.count++].value = last_event_id;
	}
	return list;
}

static void choose_next_upstream(struct watch *shared,
				 struct route_choice *choice)
{
	struct entry *entry = shared->entry;
	const struct daemon *daemon = entry->daemon;
	struct route_query query = {
		.service = shared->service,
		.region = daemon->settings->region,
		.tried_count = shared->left_count,
		.limit = (uint32_t)
				 daemon->config.limits[LIMIT_UPSTREAM_REQUESTS],
		.now = sysclock_now(),
	};
	size_t i;

	for (i = 0; i < shared->left_count; i++)
		query.tried[i] = shared->left[i];
	route_choose(entry->route, &query, choice);
}

static void exclude_agent(struct watch *shared, const char *agent)
{
	if (shared->left_count < ROUTE_TRIED_MAX)
		str_copy(shared->left[shared->left_count++], agent, ID_SIZE);
}

static int start_next_attempt(struct watch *shared, const char *last_event_id)
{
	struct route_choice choice;
	struct header_list headers;
	struct attempt_params params = {
		.trace = shared->trace,
		.method = "GET",
		.path = shared->path,
		.number = 1,
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
	shared->next = attempt_start(shared->entry, &choice, &params, &err);
	free(headers.items);
	if (!shared->next)
		return 0;
	shared->next->watch = shared;
	return 1;
}

static void start_move(struct watch *shared)
{
	const char *last_event_id;

	if (shared->attempt && !shared->left_count)
		exclude_agent(shared, shared->attempt->agent);
	last_event_id = stream_move_begin(shared->stream);
	if (!last_event_id) {
		end_callers(shared, "a stream without event ids cannot move");
		return;
	}
	if (!start_next_attempt(shared, last_event_id))
		move_failed(shared);
}

static void finish_move(struct watch *shared)
{
	log_event(EV_STREAM_MOVED, "trace=%s to=%s callers=%u", shared->trace,
		  shared->next->agent, shared->stream->callers);
	entry_count(shared->entry, COUNT_MOVED);
	attempt_cancel(shared->attempt);
	shared->attempt = shared->next;
	shared->next = NULL;
	shared->moving_on = 0;
	shared->left_count = 0;
	attempt_release(shared->attempt);
	stream_move_done(shared->stream, shared->attempt->number);
}

static void on_next_attempt_message(struct watch *shared,
				    const struct message *msg)
{
	const struct msg_response *head = &msg->u.response;

	if (msg->type == MSG_RESPONSE && !shared->next->head) {
		shared->next->head = 1;
		attempt_judge(shared->next, head->status >= 500);
		if (watch_is_event_stream(head)) {
			finish_move(shared);
			return;
		}
	}
	/* Refused, or not an event stream: try another upstream. */
	attempt_cancel(shared->next);
	shared->next = NULL;
	start_move(shared);
}

static void on_body(struct watch *shared, const struct msg_response_body *msg)
{
	struct attempt *attempt = shared->attempt;
	struct span events;

	if (msg->offset != attempt->received) {
		end_callers(shared, "a gap in the response body");
		return;
	}
	attempt->received += msg->data.len;
	attempt_credit(attempt, (uint32_t)msg->data.len);
	if (stream_feed(shared->stream, attempt->number, msg->data.data,
			msg->data.len, &events))
		end_callers(shared, "an event is too large");
	else
		deliver_events(shared, events);
}

static void on_end(struct watch *shared, const struct msg_response_end *msg)
{
	int complete = msg->total == shared->attempt->received;

	drop_attempt(&shared->attempt);
	if (shared->next)
		return;
	if (msg->moved) {
		start_move(shared);
		return;
	}
	if (msg->outcome != OUTCOME_DONE || !complete) {
		end_callers(shared,
			    "the response ended before it was complete");
		return;
	}
	shared->busy++;
	deliver_events(shared, stream_rest(shared->stream));
	end_callers(shared, NULL);
	watch_end_busy(shared);
}

void watch_on_message(struct attempt *attempt, const struct message *msg)
{
	struct watch *shared = attempt->watch;

	if (attempt == shared->next)
		on_next_attempt_message(shared, msg);
	else if (msg->type == MSG_RESPONSE_BODY)
		on_body(shared, &msg->u.response_body);
	else if (msg->type == MSG_RESPONSE_END)
		on_end(shared, &msg->u.response_end);
	else
		end_callers(shared, "an unexpected message");
}

void watch_attempt_lost(struct attempt *attempt)
{
	struct watch *shared = attempt->watch;

	attempt_judge(attempt, 1);
	if (attempt == shared->next) {
		drop_attempt(&shared->next);
		start_move(shared);
		return;
	}
	drop_attempt(&shared->attempt);
	/* A move in progress continues after the last delivered event. */
	if (!shared->next)
		end_callers(shared, "the upstream was lost");
}

void watch_member_leaving(struct entry *entry, const struct member *member)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &entry->watches) {
		struct watch *shared = list_entry(pos, struct watch, node);

		if (!shared->attempt || shared->attempt->member != member ||
		    shared->next)
			continue;
		shared->moving_on = 1;
		start_move(shared);
	}
}

static int dispatch_one_pending(struct entry *entry)
{
	struct list *pos;

	list_for_each (pos, &entry->watches) {
		struct watch *shared = list_entry(pos, struct watch, node);

		if (!shared->restart)
			continue;
		shared->restart = 0;
		request_dispatch(shared->leader);
		return 1;
	}
	return 0;
}

void watches_tick(struct entry *entry, struct mstime now)
{
	struct list *pos, *tmp;
	int i;

	for (i = 0; i < DISPATCHES_PER_TICK && dispatch_one_pending(entry); i++)
		continue;
	list_for_each_safe (pos, tmp, &entry->watches) {
		struct watch *shared = list_entry(pos, struct watch, node);

		if (shared->next &&
		    mstime_diff(now, shared->next->sent_at) > MOVE_TIMEOUT_MS) {
			attempt_judge(shared->next, 1);
			attempt_cancel(shared->next);
			shared->next = NULL;
			start_move(shared);
		} else if (shared->moving_on && !shared->next &&
			   !mstime_before(now, shared->move_at)) {
			start_move(shared);
		}
	}
}
