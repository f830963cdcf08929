#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "entry_headers.h"
#include "entry_impl.h"
#include "entry_shared_stream.h"
#include "mem.h"

#define STOP_NOTICE "event: catkinhill-end\ndata: stopping\n\n"

void shared_stream_delete(struct shared_stream *shared)
{
	if (shared->use_count) {
		shared->delete_pending = 1;
		return;
	}
	attempt_cancel(shared->attempt);
	attempt_cancel(shared->next_attempt);
	stream_delete(shared->stream);
	header_list_clear(&shared->request_headers);
	header_list_clear(&shared->response_headers);
	free(shared->path);
	list_del(&shared->node);
	free(shared);
}

int shared_stream_wanted(const struct request *request)
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

static struct shared_stream *watch_new(struct request *leader, const char *key,
				       const char *last_event_id)
{
	struct entry *entry = leader->entry;
	struct shared_stream *shared = xcalloc(1, sizeof(*shared));

	shared->entry = entry;
	list_init(&shared->callers);
	shared->leader = leader;
	shared->stream =
		stream_new(&entry->streams, key, last_event_id, shared);
	str_copy(shared->trace, leader->trace, sizeof(shared->trace));
	str_copy(shared->service, leader->service, sizeof(shared->service));
	shared->path = xstrdup(leader->exchange->path);
	shared->request_headers = header_list_copy(&leader->exchange->headers);
	list_add_tail(&entry->shared_streams, &shared->node);
	return shared;
}

static void add_caller(struct shared_stream *shared, struct request *request)
{
	request->shared_stream = shared;
	list_add_tail(&shared->callers, &request->shared_stream_node);
	stream_join(shared->stream);
}

static void end_with_stop_notice(struct request *request)
{
	struct exchange *exchange = request->exchange;

	request->exchange = NULL;
	exchange_send_body(exchange, STOP_NOTICE, strlen(STOP_NOTICE));
	exchange_end(exchange);
	request_finish(request, OUTCOME_DONE, 0);
}

static void start_response(struct shared_stream *shared,
			   struct request *request)
{
	loop_timer_stop(request->timer);
	admission_leave(request->entry->admission, &request->admission_item);
	request->head_sent = 1;
	request->status = 200;
	request->is_stream = 1;
	exchange_send_head(request->exchange, 200, &shared->response_headers,
			   OUTCOME_DONE, request->trace);
	if (request->entry->stopping)
		end_with_stop_notice(request);
}

int shared_stream_join(struct request *request)
{
	struct entry *entry = request->entry;
	const char *last_event_id =
		exchange_header(request->exchange, "Last-Event-ID");
	char *key = stream_key_of(request);
	struct stream *stream = streams_find(
		&entry->streams, key, last_event_id ? last_event_id : "");
	struct shared_stream *shared =
		stream ? stream->owner
		       : watch_new(request, key,
				   last_event_id ? last_event_id : "");

	free(key);
	add_caller(shared, request);
	if (!stream)
		return 0;
	entry_counter_increment(entry, COUNT_STREAMS_JOINED);
	explain_record_step(request->explain_record, "joined the stream of %s",
			    shared->trace);
	if (stream->state != STREAM_WAITING)
		start_response(shared, request);
	return 1;
}

void shared_stream_detach_callers(struct shared_stream *shared,
				  struct list *callers)
{
	struct list *pos, *tmp;

	list_init(callers);
	list_for_each_safe (pos, tmp, &shared->callers) {
		list_del(pos);
		list_add_tail(callers, pos);
	}
}

struct request *shared_stream_first_caller(struct list *callers)
{
	return list_entry(callers->next, struct request, shared_stream_node);
}

/* The response cannot be shared: each caller gets its own attempt. */
static void stop_sharing(struct shared_stream *shared)
{
	struct list callers;

	shared_stream_detach_callers(shared, &callers);
	while (!list_empty(&callers)) {
		struct request *request = shared_stream_first_caller(&callers);

		list_del(&request->shared_stream_node);
		request->shared_stream = NULL;
		if (request != shared->leader)
			request_dispatch(request);
	}
	shared->leader = NULL;
	shared_stream_delete(shared);
}

int response_is_event_stream(const struct msg_response *head)
{
	const char *type = header_find(&head->headers, "Content-Type");

	return head->status == 200 && head->is_stream && type &&
	       !strncasecmp(type, "text/event-stream", 17) &&
	       !header_find(&head->headers, "Content-Encoding");
}

void shared_stream_end_use(struct shared_stream *shared)
{
	if (!--shared->use_count && shared->delete_pending)
		shared_stream_delete(shared);
}

static void open_shared_stream(struct shared_stream *shared,
			       const struct msg_response *head)
{
	struct header_list headers;
	struct list callers;
	int64_t length;

	response_headers_filter(&head->headers, 1, &headers, &length);
	shared->response_headers = header_list_copy(&headers);
	free(headers.items);
	stream_open(shared->stream, shared->attempt->id);
	shared->leader = NULL;
	shared->use_count++;
	shared_stream_detach_callers(shared, &callers);
	while (!list_empty(&callers)) {
		struct request *request = shared_stream_first_caller(&callers);

		list_del(&request->shared_stream_node);
		list_add_tail(&shared->callers, &request->shared_stream_node);
		start_response(shared, request);
	}
	shared_stream_end_use(shared);
}

int shared_stream_on_head(struct request *leader,
			  const struct msg_response *head)
{
	struct shared_stream *shared = leader->shared_stream;
	struct attempt *attempt = leader->attempt;

	if (!shared || shared->leader != leader)
		return 0;
	if (!response_is_event_stream(head)) {
		stop_sharing(shared);
		return 0;
	}
	attempt->request = NULL;
	attempt->shared_stream = shared;
	leader->attempt = NULL;
	shared->attempt = attempt;
	attempt_release_slot(attempt);
	open_shared_stream(shared, head);
	return 1;
}

void shared_stream_leave(struct request *request)
{
	struct shared_stream *shared = request->shared_stream;

	request->shared_stream = NULL;
	list_del(&request->shared_stream_node);
	if (!stream_leave(shared->stream)) {
		shared_stream_delete(shared);
		return;
	}
	if (shared->leader != request)
		return;
	/* Left to the tick: failing callers would recurse, one call each. */
	shared->leader = shared_stream_first_caller(&shared->callers);
	shared->dispatch_pending = 1;
}

void shared_streams_stop(struct entry *entry)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &entry->shared_streams) {
		struct shared_stream *shared =
			list_entry(pos, struct shared_stream, node);
		struct list callers;

		if (shared->stream->state == STREAM_WAITING)
			continue;
		shared->use_count++;
		shared_stream_detach_callers(shared, &callers);
		while (!list_empty(&callers))
			end_with_stop_notice(
				shared_stream_first_caller(&callers));
		shared_stream_end_use(shared);
	}
}
