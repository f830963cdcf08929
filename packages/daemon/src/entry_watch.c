#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "entry_headers.h"
#include "entry_impl.h"
#include "entry_watch.h"
#include "mem.h"

#define STOP_NOTICE "event: catkinhill-end\ndata: stopping\n\n"

void shared_stream_delete(struct shared_stream *watch)
{
	if (watch->use_count) {
		watch->delete_pending = 1;
		return;
	}
	attempt_cancel(watch->attempt);
	attempt_cancel(watch->next_attempt);
	stream_delete(watch->stream);
	header_list_clear(&watch->request_headers);
	header_list_clear(&watch->response_headers);
	free(watch->path);
	list_del(&watch->node);
	free(watch);
}

int shared_stream_wanted(const struct request *request)
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

static struct shared_stream *watch_new(struct request *leader, const char *key,
				       const char *last_event_id)
{
	struct entry *entry = leader->entry;
	struct shared_stream *watch = xcalloc(1, sizeof(*watch));

	watch->entry = entry;
	list_init(&watch->callers);
	watch->leader = leader;
	watch->stream = stream_new(&entry->streams, key, last_event_id, watch);
	str_copy(watch->trace, leader->trace, sizeof(watch->trace));
	str_copy(watch->service, leader->service, sizeof(watch->service));
	watch->path = xstrdup(leader->exchange->path);
	watch->request_headers = header_list_copy(&leader->exchange->headers);
	list_add_tail(&entry->shared_streams, &watch->node);
	return watch;
}

static void add_caller(struct shared_stream *watch, struct request *request)
{
	request->shared_stream = watch;
	list_add_tail(&watch->callers, &request->shared_stream_node);
	stream_join(watch->stream);
}

static void end_with_notice(struct request *request)
{
	struct exchange *exchange = request->exchange;

	request->exchange = NULL;
	exchange_send_body(exchange, STOP_NOTICE, strlen(STOP_NOTICE));
	exchange_end(exchange);
	request_finish(request, OUTCOME_DONE, 0);
}

static void open_caller(struct shared_stream *watch, struct request *request)
{
	loop_timer_stop(request->timer);
	admission_leave(request->entry->admission, &request->admission_item);
	request->head_sent = 1;
	request->status = 200;
	request->is_stream = 1;
	exchange_send_head(request->exchange, 200, &watch->response_headers,
			   OUTCOME_DONE, request->trace);
	if (request->entry->stopping)
		end_with_notice(request);
}

int shared_stream_join(struct request *request)
{
	struct entry *entry = request->entry;
	const char *id = exchange_header(request->exchange, "Last-Event-ID");
	char *key = key_of(request);
	struct stream *stream =
		streams_find(&entry->streams, key, id ? id : "");
	struct shared_stream *watch =
		stream ? stream->owner : watch_new(request, key, id ? id : "");

	free(key);
	add_caller(watch, request);
	if (!stream)
		return 0;
	entry_counter_increment(entry, COUNT_STREAMS_JOINED);
	explain_record_step(request->explain_record, "joined the stream of %s",
			    watch->trace);
	if (stream->state != STREAM_WAITING)
		open_caller(watch, request);
	return 1;
}

/* Takes all callers out of the list first, because serving can end them. */
void shared_stream_detach_callers(struct shared_stream *watch,
				  struct list *callers)
{
	struct list *pos, *tmp;

	list_init(callers);
	list_for_each_safe (pos, tmp, &watch->callers) {
		list_del(pos);
		list_add_tail(callers, pos);
	}
}

struct request *shared_stream_first_caller(struct list *callers)
{
	return list_entry(callers->next, struct request, shared_stream_node);
}

/* The answer is not a stream that can be shared: each goes its own way. */
static void dissolve(struct shared_stream *watch)
{
	struct list callers;

	shared_stream_detach_callers(watch, &callers);
	while (!list_empty(&callers)) {
		struct request *request = shared_stream_first_caller(&callers);

		list_del(&request->shared_stream_node);
		request->shared_stream = NULL;
		if (request != watch->leader)
			request_dispatch(request);
	}
	watch->leader = NULL;
	shared_stream_delete(watch);
}

int response_is_event_stream(const struct msg_response *head)
{
	const char *type = header_find(&head->headers, "Content-Type");

	return head->status == 200 && head->stream && type &&
	       !strncasecmp(type, "text/event-stream", 17) &&
	       !header_find(&head->headers, "Content-Encoding");
}

void shared_stream_end_use(struct shared_stream *watch)
{
	if (!--watch->use_count && watch->delete_pending)
		shared_stream_delete(watch);
}

static void open_watch(struct shared_stream *watch,
		       const struct msg_response *head)
{
	struct header_list headers;
	struct list callers;
	int64_t length;

	response_headers_filter(&head->headers, 1, &headers, &length);
	watch->response_headers = header_list_copy(&headers);
	free(headers.items);
	stream_open(watch->stream, watch->attempt->id);
	watch->leader = NULL;
	watch->use_count++;
	shared_stream_detach_callers(watch, &callers);
	while (!list_empty(&callers)) {
		struct request *request = shared_stream_first_caller(&callers);

		list_del(&request->shared_stream_node);
		list_add_tail(&watch->callers, &request->shared_stream_node);
		open_caller(watch, request);
	}
	shared_stream_end_use(watch);
}

int shared_stream_on_head(struct request *leader,
			  const struct msg_response *head)
{
	struct shared_stream *watch = leader->shared_stream;
	struct attempt *attempt = leader->attempt;

	if (!watch || watch->leader != leader)
		return 0;
	if (!response_is_event_stream(head)) {
		dissolve(watch);
		return 0;
	}
	attempt->request = NULL;
	attempt->shared_stream = watch;
	leader->attempt = NULL;
	watch->attempt = attempt;
	attempt_release_slot(attempt);
	open_watch(watch, head);
	return 1;
}

void shared_stream_leave(struct request *request)
{
	struct shared_stream *watch = request->shared_stream;

	request->shared_stream = NULL;
	list_del(&request->shared_stream_node);
	if (!stream_leave(watch->stream)) {
		shared_stream_delete(watch);
		return;
	}
	if (watch->leader != request)
		return;
	/* Not at once: many callers that fail alike would nest too deeply. */
	watch->leader = shared_stream_first_caller(&watch->callers);
	watch->dispatch_pending = 1;
}

void shared_streams_stop(struct entry *entry)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &entry->shared_streams) {
		struct shared_stream *watch =
			list_entry(pos, struct shared_stream, node);
		struct list callers;

		if (watch->stream->state == STREAM_WAITING)
			continue;
		watch->use_count++;
		shared_stream_detach_callers(watch, &callers);
		while (!list_empty(&callers))
			end_with_notice(shared_stream_first_caller(&callers));
		shared_stream_end_use(watch);
	}
}
