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

static void deliver(struct watch *watch, struct span events)
{
	struct list callers;

	if (!events.len)
		return;
	watch->busy++;
	watch_take_callers(watch, &callers);
	while (!list_empty(&callers)) {
		struct request *request = watch_next_caller(&callers);

		list_del(&request->watch_node);
		list_add_tail(&watch->callers, &request->watch_node);
		if (request->exchange->unwritten + events.len > LAG_MAX) {
			request_cut(request, "the caller reads too slowly");
			continue;
		}
		request->sent += events.len;
		exchange_data(request->exchange, events.data, events.len);
	}
	watch_end_busy(watch);
}

/* Ends all callers; the last of them deletes the watch. */
static void end_callers(struct watch *watch, const char *cut)
{
	struct list callers;

	watch->busy++;
	watch_take_callers(watch, &callers);
	while (!list_empty(&callers)) {
		struct request *request = watch_next_caller(&callers);

		if (cut)
			request_cut(request, cut);
		else
			request_finish(request, OUTCOME_DONE, 0);
	}
	watch_end_busy(watch);
}

static void drop_attempt(struct attempt **attempt)
{
	struct attempt *old = *attempt;

	*attempt = NULL;
	attempt_delete(old);
}

static void move_failed(struct watch *watch)
{
	struct span events;

	attempt_cancel(watch->next);
	watch->next = NULL;
	log_event(EV_STREAM_MOVE_FAILED, "trace=%s old=%s", watch->trace,
		  watch->attempt ? watch->attempt->agent : "ended");
	if (!watch->attempt) {
		end_callers(watch, "no upstream took the stream over");
		return;
	}
	watch->left_count = 0;
	watch->move_at = mstime_add(sysclock_now(), MOVE_AGAIN_MS);
	stream_move_failed(watch->stream, &events);
	deliver(watch, events);
}

static struct header_list headers_with_id(const struct watch *watch,
					  const char *id)
{
	struct header_list list = { NULL, 0 };
	size_t i;

	list.items = xcalloc(watch->asked.count + 1, sizeof(*list.items));
	for (i = 0; i < watch->asked.count; i++)
		if (strcasecmp(watch->asked.items[i].name, "Last-Event-ID"))
			list.items[list.count++] = watch->asked.items[i];
	if (id[0]) {
		list.items[list.count].name = "Last-Event-ID";
		list.items[list.count++].value = id;
	}
	return list;
}

static void choose_next(struct watch *watch, struct route_choice *choice)
{
	struct entry *entry = watch->entry;
	const struct daemon *daemon = entry->daemon;
	struct route_query query = {
		.service = watch->service,
		.region = daemon->settings->region,
		.tried_count = watch->left_count,
		.limit = (uint32_t)
				 daemon->config.limits[LIMIT_UPSTREAM_REQUESTS],
		.now = sysclock_now(),
	};
	size_t i;

	for (i = 0; i < watch->left_count; i++)
		query.tried[i] = watch->left[i];
	route_choose(entry->route, &query, choice);
}

static void note_left(struct watch *watch, const char *agent)
{
	if (watch->left_count < ROUTE_TRIED_MAX)
		str_copy(watch->left[watch->left_count++], agent, ID_SIZE);
}

static int start_next(struct watch *watch, const char *id)
{
	struct route_choice choice;
	struct header_list headers;
	struct attempt_params params = {
		.trace = watch->trace,
		.method = "GET",
		.path = watch->path,
		.number = 1,
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
	watch->next = attempt_start(watch->entry, &choice, &params, &err);
	free(headers.items);
	if (!watch->next)
		return 0;
	watch->next->watch = watch;
	return 1;
}

static void start_move(struct watch *watch)
{
	const char *id;

	if (watch->attempt && !watch->left_count)
		note_left(watch, watch->attempt->agent);
	id = stream_move_begin(watch->stream);
	if (!id) {
		end_callers(watch, "the stream has no event ids");
		return;
	}
	if (!start_next(watch, id))
		move_failed(watch);
}

static void finish_move(struct watch *watch)
{
	log_event(EV_STREAM_MOVED, "trace=%s to=%s callers=%u", watch->trace,
		  watch->next->agent, watch->stream->callers);
	entry_count(watch->entry, COUNT_MOVED);
	attempt_cancel(watch->attempt);
	watch->attempt = watch->next;
	watch->next = NULL;
	watch->moving_on = 0;
	watch->left_count = 0;
	attempt_release(watch->attempt);
	stream_move_done(watch->stream, watch->attempt->number);
}

static void on_next(struct watch *watch, const struct message *msg)
{
	const struct msg_response *head = &msg->u.response;

	if (msg->type == MSG_RESPONSE && !watch->next->head) {
		watch->next->head = 1;
		attempt_judge(watch->next, head->status >= 500);
		if (watch_is_event_stream(head)) {
			finish_move(watch);
			return;
		}
	}
	/* Refused, or not the answer of a watch: try another one. */
	attempt_cancel(watch->next);
	watch->next = NULL;
	start_move(watch);
}

static void on_body(struct watch *watch, const struct msg_response_body *msg)
{
	struct attempt *attempt = watch->attempt;
	struct span events;

	if (msg->offset != attempt->received) {
		end_callers(watch, "a gap in the body");
		return;
	}
	attempt->received += msg->data.len;
	attempt_credit(attempt, (uint32_t)msg->data.len);
	if (stream_feed(watch->stream, attempt->number, msg->data.data,
			msg->data.len, &events))
		end_callers(watch, "an event is too large");
	else
		deliver(watch, events);
}

static void on_end(struct watch *watch, const struct msg_response_end *msg)
{
	int whole = msg->total == watch->attempt->received;

	drop_attempt(&watch->attempt);
	if (watch->next)
		return;
	if (msg->moved) {
		start_move(watch);
		return;
	}
	if (msg->outcome != OUTCOME_DONE || !whole) {
		end_callers(watch, "ended before it was whole");
		return;
	}
	watch->busy++;
	deliver(watch, stream_rest(watch->stream));
	end_callers(watch, NULL);
	watch_end_busy(watch);
}

void watch_on_message(struct attempt *attempt, const struct message *msg)
{
	struct watch *watch = attempt->watch;

	if (attempt == watch->next)
		on_next(watch, msg);
	else if (msg->type == MSG_RESPONSE_BODY)
		on_body(watch, &msg->u.response_body);
	else if (msg->type == MSG_RESPONSE_END)
		on_end(watch, &msg->u.response_end);
	else
		end_callers(watch, "a second head");
}

void watch_attempt_lost(struct attempt *attempt)
{
	struct watch *watch = attempt->watch;

	attempt_judge(attempt, 1);
	if (attempt == watch->next) {
		drop_attempt(&watch->next);
		start_move(watch);
		return;
	}
	drop_attempt(&watch->attempt);
	/* A move in progress goes on from the last event handed out. */
	if (!watch->next)
		end_callers(watch, "the upstream is gone");
}

void watch_member_leaving(struct entry *entry, const struct member *member)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &entry->watches) {
		struct watch *watch = list_entry(pos, struct watch, node);

		if (!watch->attempt || watch->attempt->member != member ||
		    watch->next)
			continue;
		watch->moving_on = 1;
		start_move(watch);
	}
}

static int restart_one(struct entry *entry)
{
	struct list *pos;

	list_for_each (pos, &entry->watches) {
		struct watch *watch = list_entry(pos, struct watch, node);

		if (!watch->restart)
			continue;
		watch->restart = 0;
		request_dispatch(watch->leader);
		return 1;
	}
	return 0;
}

void watches_tick(struct entry *entry, struct mstime now)
{
	struct list *pos, *tmp;
	int i;

	for (i = 0; i < RESTARTS_A_TICK && restart_one(entry); i++)
		continue;
	list_for_each_safe (pos, tmp, &entry->watches) {
		struct watch *watch = list_entry(pos, struct watch, node);

		if (watch->next &&
		    mstime_diff(now, watch->next->sent_at) > MOVE_HEAD_MS) {
			attempt_judge(watch->next, 1);
			attempt_cancel(watch->next);
			watch->next = NULL;
			start_move(watch);
		} else if (watch->moving_on && !watch->next &&
			   !mstime_before(now, watch->move_at)) {
			start_move(watch);
		}
	}
}
