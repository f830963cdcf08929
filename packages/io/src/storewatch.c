#include "store.h"

#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "mem.h"
#include "storecall.h"
#include "storejson.h"

/* One event with the largest value, in base64, and its other fields. */
#define LINE_MAX_BYTES (STORE_VALUE_MAX_BYTES * 3 / 2)

struct store_watch {
	struct list node; /* of store->watches */
	struct httpc_call *http;
	struct loop_timer *failure_timer;    /* when the start failed */
	struct response_buffer partial_line; /* not complete yet */
	store_watch_fn fn;
	void *arg;
	int in_callback;
	int is_stopped; /* by store_watch_stop() inside a callback */
	int status;
};

static void watch_free(struct store_watch *watch)
{
	list_del(&watch->node);
	loop_timer_delete(watch->failure_timer);
	response_buffer_clear(&watch->partial_line);
	free(watch);
}

static void notify(struct store_watch *watch, int err,
		   const struct store_item *item)
{
	watch->in_callback = 1;
	watch->fn(watch->arg, err, item);
	watch->in_callback = 0;
}

static int handle_event(struct store_watch *watch, const json_t *event)
{
	const char *type = json_string_value(json_object_get(event, "type"));
	struct store_item item, deleted;
	int err = storejson_decode_item(json_object_get(event, "kv"), &item);

	if (err)
		return err;
	deleted = item;
	deleted.value = NULL;
	deleted.len = 0;
	notify(watch, 0, type && !strcmp(type, "DELETE") ? &deleted : &item);
	storejson_item_clear(&item);
	return 0;
}

/* A line is one response of the stream; the first one has no events. */
static int handle_line(struct store_watch *watch, const char *line, size_t len)
{
	json_t *response = json_loadb(line, len, 0, NULL);
	const json_t *result = json_object_get(response, "result");
	const json_t *events = json_object_get(result, "events");
	int err = json_is_object(result) ? 0 : ERR_MALFORMED;
	size_t i;

	if (json_is_true(json_object_get(result, "canceled")))
		err = ERR_UNAVAILABLE;
	for (i = 0; i < json_array_size(events); i++) {
		if (err || watch->is_stopped)
			break;
		err = handle_event(watch, json_array_get(events, i));
	}
	json_decref(response);
	return err;
}

/* Handles all complete lines and keeps the rest. */
static int handle_lines(struct store_watch *watch)
{
	char *start = watch->partial_line.data;
	char *limit = start + watch->partial_line.len;
	char *end;
	int err = 0;

	while (!err && !watch->is_stopped &&
	       (end = memchr(start, '\n', (size_t)(limit - start)))) {
		if (end > start)
			err = handle_line(watch, start, (size_t)(end - start));
		start = end + 1;
	}
	watch->partial_line.len = (size_t)(limit - start);
	memmove(watch->partial_line.data, start, watch->partial_line.len);
	return err;
}

/* Frees the watch if it is stopped before or in fn. */
static void watch_end(struct store_watch *watch, int err)
{
	if (!watch->is_stopped)
		notify(watch, err, NULL);
	if (watch->is_stopped)
		watch_free(watch);
}

static void on_head(void *arg, int status, const struct header_list *headers)
{
	struct store_watch *watch = arg;

	watch->status = status;
}

static void on_data(void *arg, const void *data, size_t len)
{
	struct store_watch *watch = arg;
	int err = 0;

	if (watch->status != 200)
		return;
	response_buffer_append(&watch->partial_line, data, len);
	if (memchr(data, '\n', len))
		err = handle_lines(watch);
	if (watch->partial_line.len > LINE_MAX_BYTES)
		err = ERR_MALFORMED;
	if (!err && !watch->is_stopped)
		return;
	httpc_cancel(watch->http);
	watch->http = NULL;
	watch_end(watch, err);
}

static void on_end(void *arg, int err, int status)
{
	struct store_watch *watch = arg;

	watch->http = NULL;
	watch_end(watch, err == ERR_UNAVAILABLE ? err : ERR_UNKNOWN);
}

static void on_failure(void *arg)
{
	watch_end(arg, ERR_UNAVAILABLE);
}

static const struct httpc_handlers handlers = { on_head, on_data, on_end };

struct store_watch *store_watch_start(struct store *store, const char *key,
				      store_watch_fn fn, void *arg)
{
	struct store_watch *watch = xcalloc(1, sizeof(*watch));

	watch->fn = fn;
	watch->arg = arg;
	list_add_tail(&store->watches, &watch->node);
	watch->http =
		store_post(store, "/v3/watch", storejson_encode_watch(key), 0,
			   &handlers, watch);
	if (!watch->http) {
		watch->failure_timer =
			loop_timer_new(store->loop, on_failure, watch);
		loop_timer_start(watch->failure_timer, 0);
	}
	return watch;
}

void store_watch_stop(struct store_watch *watch)
{
	if (!watch)
		return;
	if (watch->in_callback) {
		watch->is_stopped = 1;
		return;
	}
	if (watch->http)
		httpc_cancel(watch->http);
	watch_free(watch);
}

void store_watches_detach(struct store *store)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &store->watches) {
		struct store_watch *watch =
			list_entry(pos, struct store_watch, node);

		list_del(pos);
		loop_timer_delete(watch->failure_timer);
		watch->failure_timer = NULL;
		if (watch->http)
			httpc_cancel(watch->http);
		watch->http = NULL;
	}
}
