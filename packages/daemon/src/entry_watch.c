#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "entry_headers.h"
#include "entry_impl.h"
#include "entry_watch.h"
#include "mem.h"

#define STOP_NOTICE "event: catkinhill-end\ndata: stopping\n\n"

void watch_delete(struct watch *shared)
{
	if (shared->busy) {
		shared->useless = 1;
		return;
	}
	attempt_cancel(shared->attempt);
	attempt_cancel(shared->next);
	stream_delete(shared->stream);
	header_list_clear(&shared->asked);
	header_list_clear(&shared->answer);
	free(shared->path);
	list_del(&shared->node);
	free(shared);
}

int watch_wanted(const struct request *request)
{
	const char *accept = exchange_header(request->exchange, "Accept");

	return request->repeatable && !request->exchange->body.len &&
	       !strcmp(request->exchange->method, "GET") && accept &&
	       strcasestr(accept, "text/event-stream");
}

/* Headers that do not change which events a caller may see. */
static int is_ignored_header(const char *name)
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

static char *stream_key_of(const struct request *request)
{
	const struct header_list *headers = &request->exchange->headers;
	char *key =
		xstrfmt("%s\n%s", request->service, request->exchange->path);
	char *extended_key;
	size_t i;

	for (i = 0; i < headers->count; i++) {
		if (is_ignored_header(headers->items[i].name))
			continue;
		extended_key =
			xstrfmt("%s\n%s: %s", key, headers->items[i].name,
				headers->items[i].value);
		free(key);
		key = extended_key;
	}
	return key;
}

static struct watch *watch_new(struct request *leader, const char *key,
			       const char *last_event_id)
{
	struct entry *entry = leader->entry;
	struct watch *shared = xcalloc(1, sizeof(*shared));

	shared->entry = entry;
	list_init(&shared->callers);
	shared->leader = leader;
	shared->stream =
		stream_new(&entry->streams, key, last_event_id, shared);
	str_copy(shared->trace, leader->trace, sizeof(shared->trace));
	str_copy(shared->service, leader->service, sizeof(shared->service));
	shared->path = xstrdup(leader->exchange->path);
	shared->asked = header_list_copy(&leader->exchange->headers);
	list_add_tail(&entry->watches, &shared->node);
	return shared;
}

static void add_caller(struct watch *shared, struct request *request)
{
	request->watch = shared;
	list_add_tail(&shared->callers, &request->watch_node);
	stream_join(shared->stream);
}

static void end_with_stop_notice(struct request *request)
{
	struct exchange *exchange = request->exchange;

	request->exchange = NULL;
	exchange_data(exchange, STOP_NOTICE, strlen(STOP_NOTICE));
	exchange_end(exchange);
	request_finish(request, OUTCOME_DONE, 0);
}

static void start_response(struct watch *shared, struct request *request)
{
	loop_timer_stop(request->timer);
	admission_leave(request->entry->admission, &request->item);
	request->head_sent = 1;
	request->status = 200;
	request->stream = 1;
	exchange_head(request->exchange, 200, &shared->answer, OUTCOME_DONE,
		      request->trace);
	if (request->entry->stopping)
		end_with_stop_notice(request);
}

int watch_join(struct request *request)
{
	struct entry *entry = request->entry;
	const char *last_event_id =
		exchange_header(request->exchange, "Last-Event-ID");
	char *key = stream_key_of(request);
	struct stream *stream = streams_find(
		&entry->streams, key, last_event_id ? last_event_id : "");
	struct watch *shared =
		stream ? stream->owner
		       : watch_new(request, key,
				   last_event_id ? last_event_id : "");

	free(key);
	add_caller(shared, request);
	if (!stream)
		return 0;
	entry_count(entry, COUNT_JOINED);
	trail_step(request->trail, "joined the stream of %s", shared->trace);
	if (stream->state != STREAM_WAITING)
		start_response(shared, request);
	return 1;
}

void watch_take_callers(struct watch *shared, struct list *callers)
{
	struct list *pos, *tmp;

	list_init(callers);
	list_for_each_safe (pos, tmp, &shared->callers) {
		list_del(pos);
		list_add_tail(callers, pos);
	}
}

struct request *watch_next_caller(struct list *callers)
{
	return list_entry(callers->next, struct request, watch_node);
}

/* The response cannot be shared: each caller gets its own attempt. */
static void stop_sharing(struct watch *shared)
{
	struct list callers;

	watch_take_callers(shared, &callers);
	while (!list_empty(&callers)) {
		struct request *request = watch_next_caller(&callers);

		list_del(&request->watch_node);
		request->watch = NULL;
		if (request != shared->leader)
			request_dispatch(request);
	}
	shared->leader = NULL;
	watch_delete(shared);
}

int watch_is_event_stream(const struct msg_response *head)
{
	const char *type = header_find(&head->headers, "Content-Type");

	return head->status == 200 && head->stream && type &&
	       !strncasecmp(type, "text/event-stream", 17) &&
	       !header_find(&head->headers, "Content-Encoding");
}

void watch_end_busy(struct watch *shared)
{
	if (!--shared->busy && shared->useless)
		watch_delete(shared);
}

static void open_shared_stream(struct watch *shared,
			       const struct msg_response *head)
{
	struct header_list headers;
	struct list callers;
	int64_t length;

	answer_headers(&head->headers, 1, &headers, &length);
	shared->answer = header_list_copy(&headers);
	free(headers.items);
	stream_open(shared->stream, shared->attempt->number);
	shared->leader = NULL;
	shared->busy++;
	watch_take_callers(shared, &callers);
	while (!list_empty(&callers)) {
		struct request *request = watch_next_caller(&callers);

		list_del(&request->watch_node);
		list_add_tail(&shared->callers, &request->watch_node);
		start_response(shared, request);
	}
	watch_end_busy(shared);
}

int watch_on_head(struct request *leader, const struct msg_response *head)
{
	struct watch *shared = leader->watch;
	struct attempt *attempt = leader->attempt;

	if (!shared || shared->leader != leader)
		return 0;
	if (!watch_is_event_stream(head)) {
		stop_sharing(shared);
		return 0;
	}
	attempt->request = NULL;
	attempt->watch = shared;
	leader->attempt = NULL;
	shared->attempt = attempt;
	attempt_release(attempt);
	open_shared_stream(shared, head);
	return 1;
}

void watch_leave(struct request *request)
{
	struct watch *shared = request->watch;

	request->watch = NULL;
	list_del(&request->watch_node);
	if (!stream_leave(shared->stream)) {
		watch_delete(shared);
		return;
	}
	if (shared->leader != request)
		return;
	/* Left to the tick: failing callers would recurse, one call each. */
	shared->leader = watch_next_caller(&shared->callers);
	shared->restart = 1;
}

void watches_stop(struct entry *entry)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &entry->watches) {
		struct watch *shared = list_entry(pos, struct watch, node);
		struct list callers;

		if (shared->stream->state == STREAM_WAITING)
			continue;
		shared->busy++;
		watch_take_callers(shared, &callers);
		while (!list_empty(&callers))
			end_with_stop_notice(watch_next_caller(&callers));
		watch_end_busy(shared);
	}
}
