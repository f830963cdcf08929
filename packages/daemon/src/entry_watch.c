#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "entry_headers.h"
#include "entry_impl.h"
#include "entry_watch.h"
#include "mem.h"

#define STOP_NOTICE "event: catkinhill-end\ndata: stopping\n\n"

void watch_delete(struct watch *watch)
{
	if (watch->busy) {
		watch->useless = 1;
		return;
	}
	attempt_cancel(watch->attempt);
	attempt_cancel(watch->next);
	stream_delete(watch->stream);
	header_list_clear(&watch->asked);
	header_list_clear(&watch->answer);
	free(watch->path);
	list_del(&watch->node);
	free(watch);
}

int watch_wanted(const struct request *request)
{
	const char *accept = exchange_header(request->exchange, "Accept");

	return request->repeatable && !request->exchange->body.len &&
	       !strcmp(request->exchange->method, "GET") && accept &&
	       strcasestr(accept, "text/event-stream");
}

/* Headers that do not change which events a caller may see. */
static int is_irrelevant(const char *name)
{
	static const char *const names[] = {
		"Host",	       "User-Agent",	    "Cache-Control",
		"Pragma",      "Catkinhill-Caller", "Last-Event-ID",
		"Traceparent", "Accept-Encoding",
	};
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (!strcasecmp(name, names[i]))
			return 1;
	return 0;
}

static char *key_of(const struct request *request)
{
	const struct header_list *headers = &request->exchange->headers;
	char *key =
		xstrfmt("%s\n%s", request->service, request->exchange->path);
	char *longer;
	size_t i;

	for (i = 0; i < headers->count; i++) {
		if (is_irrelevant(headers->items[i].name))
			continue;
		longer = xstrfmt("%s\n%s: %s", key, headers->items[i].name,
				 headers->items[i].value);
		free(key);
		key = longer;
	}
	return key;
}

static struct watch *watch_new(struct request *leader, const char *key,
			       const char *last_event_id)
{
	struct entry *entry = leader->entry;
	struct watch *watch = xcalloc(1, sizeof(*watch));

	watch->entry = entry;
	list_init(&watch->callers);
	watch->leader = leader;
	watch->stream = stream_new(&entry->streams, key, last_event_id, watch);
	str_copy(watch->trace, leader->trace, sizeof(watch->trace));
	str_copy(watch->service, leader->service, sizeof(watch->service));
	watch->path = xstrdup(leader->exchange->path);
	watch->asked = header_list_copy(&leader->exchange->headers);
	list_add_tail(&entry->watches, &watch->node);
	return watch;
}

static void add_caller(struct watch *watch, struct request *request)
{
	request->watch = watch;
	list_add_tail(&watch->callers, &request->watch_node);
	stream_join(watch->stream);
}

static void end_with_notice(struct request *request)
{
	struct exchange *exchange = request->exchange;

	request->exchange = NULL;
	exchange_data(exchange, STOP_NOTICE, strlen(STOP_NOTICE));
	exchange_end(exchange);
	request_finish(request, OUTCOME_DONE, 0);
}

static void open_caller(struct watch *watch, struct request *request)
{
	loop_timer_stop(request->timer);
	admission_leave(request->entry->admission, &request->item);
	request->head_sent = 1;
	request->status = 200;
	request->stream = 1;
	exchange_head(request->exchange, 200, &watch->answer, OUTCOME_DONE,
		      request->trace);
	if (request->entry->stopping)
		end_with_notice(request);
}

int watch_join(struct request *request)
{
	struct entry *entry = request->entry;
	const char *id = exchange_header(request->exchange, "Last-Event-ID");
	char *key = key_of(request);
	struct stream *stream =
		streams_find(&entry->streams, key, id ? id : "");
	struct watch *watch =
		stream ? stream->owner : watch_new(request, key, id ? id : "");

	free(key);
	add_caller(watch, request);
	if (!stream)
		return 0;
	entry_count(entry, COUNT_JOINED);
	trail_step(request->trail, "joined the stream of %s", watch->trace);
	if (stream->state != STREAM_WAITING)
		open_caller(watch, request);
	return 1;
}

/* Takes all callers out of the list first, because serving can end them. */
void watch_take_callers(struct watch *watch, struct list *callers)
{
	struct list *pos, *tmp;

	list_init(callers);
	list_for_each_safe (pos, tmp, &watch->callers) {
		list_del(pos);
		list_add_tail(callers, pos);
	}
}

struct request *watch_next_caller(struct list *callers)
{
	return list_entry(callers->next, struct request, watch_node);
}

/* The answer is not a stream that can be shared: each goes its own way. */
static void dissolve(struct watch *watch)
{
	struct list callers;

	watch_take_callers(watch, &callers);
	while (!list_empty(&callers)) {
		struct request *request = watch_next_caller(&callers);

		list_del(&request->watch_node);
		request->watch = NULL;
		if (request != watch->leader)
			request_dispatch(request);
	}
	watch->leader = NULL;
	watch_delete(watch);
}

int watch_is_event_stream(const struct msg_response *head)
{
	const char *type = header_find(&head->headers, "Content-Type");

	return head->status == 200 && head->stream && type &&
	       !strncasecmp(type, "text/event-stream", 17) &&
	       !header_find(&head->headers, "Content-Encoding");
}

void watch_end_busy(struct watch *watch)
{
	if (!--watch->busy && watch->useless)
		watch_delete(watch);
}

static void open_watch(struct watch *watch, const struct msg_response *head)
{
	struct header_list headers;
	struct list callers;
	int64_t length;

	answer_headers(&head->headers, 1, &headers, &length);
	watch->answer = header_list_copy(&headers);
	free(headers.items);
	stream_open(watch->stream, watch->attempt->number);
	watch->leader = NULL;
	watch->busy++;
	watch_take_callers(watch, &callers);
	while (!list_empty(&callers)) {
		struct request *request = watch_next_caller(&callers);

		list_del(&request->watch_node);
		list_add_tail(&watch->callers, &request->watch_node);
		open_caller(watch, request);
	}
	watch_end_busy(watch);
}

int watch_on_head(struct request *leader, const struct msg_response *head)
{
	struct watch *watch = leader->watch;
	struct attempt *attempt = leader->attempt;

	if (!watch || watch->leader != leader)
		return 0;
	if (!watch_is_event_stream(head)) {
		dissolve(watch);
		return 0;
	}
	attempt->request = NULL;
	attempt->watch = watch;
	leader->attempt = NULL;
	watch->attempt = attempt;
	attempt_release(attempt);
	open_watch(watch, head);
	return 1;
}

void watch_leave(struct request *request)
{
	struct watch *watch = request->watch;

	request->watch = NULL;
	list_del(&request->watch_node);
	if (!stream_leave(watch->stream)) {
		watch_delete(watch);
		return;
	}
	if (watch->leader != request)
		return;
	/* Not at once: many callers that fail alike would nest too deeply. */
	watch->leader = watch_next_caller(&watch->callers);
	watch->restart = 1;
}

void watches_stop(struct entry *entry)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &entry->watches) {
		struct watch *watch = list_entry(pos, struct watch, node);
		struct list callers;

		if (watch->stream->state == STREAM_WAITING)
			continue;
		watch->busy++;
		watch_take_callers(watch, &callers);
		while (!list_empty(&callers))
			end_with_notice(watch_next_caller(&callers));
		watch_end_busy(watch);
	}
}
