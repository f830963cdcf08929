#include "kvserver.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "httpd.h"
#include "list.h"
#include "mem.h"
#include "sysclock.h"

#define PAGE_ITEMS_MAX 500
#define PAGE_BYTES_MAX (1024 * 1024)
#define HISTORY_MAX 100000
#define REQUEST_BODY_MAX_BYTES (8 * 1024 * 1024)
#define TIMER_INTERVAL_MS 20

struct lease {
	struct list node;
	int64_t id;
	int64_t ttl_ms;
	struct mstime expires_at;
};

struct watcher {
	struct list node;
	struct httpd_request *request;
	char *prefix;
	int64_t after_revision;
	struct mstime deadline;
};

struct kvserver {
	struct httpd *httpd;
	struct loop_timer *timer;
	json_t *items; /* key -> item */
	json_t *events;
	int64_t revision, compacted_revision, last_lease_id;
	struct list leases, watchers;
	char mode[16];
	size_t value_max; /* bytes; 0: any */
	int calls;	  /* since they were last asked for */
};

static void reply(struct httpd_request *request, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	httpd_reply(request, status, text);
	free(text);
	json_decref(body);
}

static char *query_param(struct httpd_request *request, const char *name)
{
	struct evkeyvalq pairs;
	const char *value;
	char *copy;

	evhttp_parse_query_str(httpd_query(request), &pairs);
	value = evhttp_find_header(&pairs, name);
	copy = xstrdup(value ? value : "");
	evhttp_clear_headers(&pairs);
	return copy;
}

static int has_prefix(const char *key, const char *prefix)
{
	return !strncmp(key, prefix, strlen(prefix));
}

static void add_event(struct kvserver *server, json_t *event)
{
	json_array_append(server->events, event);
}

static void put_key(struct kvserver *server, const char *key, const char *value,
		    int64_t lease)
{
	const json_t *old = json_object_get(server->items, key);
	json_int_t created =
		old ? json_integer_value(json_object_get(old, "createdAt"))
		    : sysclock_wall_ms();
	json_t *item =
		json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", key, "value",
			  value, "revision", (json_int_t)server->revision,
			  "createdAt", created, "lease", (json_int_t)lease);

	add_event(server, item);
	json_object_set_new(server->items, key, item);
}

static void delete_key(struct kvserver *server, const char *key)
{
	json_t *event;

	if (json_object_del(server->items, key))
		return;
	event = json_pack("{s:s, s:I, s:b}", "key", key, "revision",
			  (json_int_t)server->revision, "tombstone", 1);
	add_event(server, event);
	json_decref(event);
}

static int reply_to_watcher(struct kvserver *server, struct watcher *watcher,
			    int has_timed_out)
{
	json_t *events = json_array();
	size_t i;

	for (i = 0; i < json_array_size(server->events); i++) {
		json_t *event = json_array_get(server->events, i);

		if (json_integer_value(json_object_get(event, "revision")) >
			    watcher->after_revision &&
		    has_prefix(json_string_value(json_object_get(event, "key")),
			       watcher->prefix))
			json_array_append(events, event);
	}
	if (!json_array_size(events) && !has_timed_out) {
		json_decref(events);
		return 0;
	}
	reply(watcher->request, 200,
	      json_pack("{s:o, s:I}", "events", events, "storeRevision",
			(json_int_t)server->revision));
	list_del(&watcher->node);
	free(watcher->prefix);
	free(watcher);
	return 1;
}

static void wake_watchers(struct kvserver *server)
{
	struct mstime now = sysclock_now();
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &server->watchers) {
		struct watcher *watcher = list_entry(pos, struct watcher, node);

		reply_to_watcher(server, watcher,
				 !mstime_before(now, watcher->deadline));
	}
}

static struct lease *lease_find(struct kvserver *server, int64_t id)
{
	struct list *pos;

	list_for_each (pos, &server->leases)
		if (list_entry(pos, struct lease, node)->id == id)
			return list_entry(pos, struct lease, node);
	return NULL;
}

static void lease_end(struct kvserver *server, struct lease *lease)
{
	const char *key;
	json_t *item;
	void *tmp;

	json_object_foreach_safe(server->items, tmp, key, item)
	{
		char *copy;

		if (json_integer_value(json_object_get(item, "lease")) !=
		    lease->id)
			continue;
		copy = xstrdup(key);
		server->revision++;
		delete_key(server, copy);
		free(copy);
	}
	list_del(&lease->node);
	free(lease);
}

static void on_timer(void *arg)
{
	struct kvserver *server = arg;
	struct mstime now = sysclock_now();
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &server->leases) {
		struct lease *lease = list_entry(pos, struct lease, node);

		if (!mstime_before(now, lease->expires_at))
			lease_end(server, lease);
	}
	wake_watchers(server);
	loop_timer_start(server->timer, TIMER_INTERVAL_MS);
}

static int compare_holds(struct kvserver *server, const json_t *row)
{
	const json_t *item = json_object_get(
		server->items, json_string_value(json_object_get(row, "key")));
	json_int_t revision =
		json_integer_value(json_object_get(item, "revision"));

	return revision == json_integer_value(json_object_get(row, "revision"));
}

static json_t *compared_items(struct kvserver *server, const json_t *compares)
{
	json_t *items = json_array();
	size_t i;

	for (i = 0; i < json_array_size(compares); i++) {
		const char *key = json_string_value(
			json_object_get(json_array_get(compares, i), "key"));
		json_t *item = json_object_get(server->items, key);

		if (item)
			json_array_append(items, item);
		else
			json_array_append_new(items,
					      json_pack("{s:s, s:i}", "key",
							key, "revision", 0));
	}
	return items;
}

static void apply_txn(struct kvserver *server, const json_t *body)
{
	const json_t *puts = json_object_get(body, "puts");
	const json_t *removals = json_object_get(body, "remove");
	size_t i;

	server->revision++;
	for (i = 0; i < json_array_size(puts); i++) {
		const json_t *row = json_array_get(puts, i);

		put_key(server, json_string_value(json_object_get(row, "key")),
			json_string_value(json_object_get(row, "value")),
			json_integer_value(json_object_get(row, "lease")));
	}
	for (i = 0; i < json_array_size(removals); i++)
		delete_key(server,
			   json_string_value(json_array_get(removals, i)));
	wake_watchers(server);
}

static int is_too_large(const struct kvserver *server, const json_t *puts)
{
	size_t i;

	for (i = 0; server->value_max && i < json_array_size(puts); i++) {
		const json_t *value =
			json_object_get(json_array_get(puts, i), "value");

		/* Base64 text. */
		if (json_string_length(value) / 4 * 3 > server->value_max)
			return 1;
	}
	return 0;
}

static void on_txn(struct kvserver *server, struct httpd_request *request)
{
	size_t len, i;
	const char *text = httpd_body(request, &len);
	json_t *body = json_loadb(text, len, 0, NULL);
	const json_t *compares = json_object_get(body, "expectedRev");
	int all_hold = 1;

	if (is_too_large(server, json_object_get(body, "puts"))) {
		reply(request, 413, json_object());
		json_decref(body);
		return;
	}
	for (i = 0; i < json_array_size(compares); i++)
		all_hold &= compare_holds(server, json_array_get(compares, i));
	if (!all_hold) {
		reply(request, 412,
		      json_pack("{s:o}", "items",
				compared_items(server, compares)));
		json_decref(body);
		return;
	}
	apply_txn(server, body);
	json_decref(body);
	/* Simulates a lost response: nothing is sent, the connection stays. */
	if (!strcmp(server->mode, "lost"))
		return;
	reply(request, 200,
	      json_pack("{s:I}", "revision", (json_int_t)server->revision));
}

static void on_key(struct kvserver *server, struct httpd_request *request)
{
	char *key = query_param(request, "key");
	json_t *item = json_object_get(server->items, key);

	if (item)
		reply(request, 200, json_copy(item));
	else
		reply(request, 404, json_object());
	free(key);
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* The first items of those after a key: 500 of them, or 1 MB. */
static int add_page(const struct kvserver *server, json_t *items,
		    const char **keys, size_t count)
{
	size_t i, bytes = 0;

	qsort(keys, count, sizeof(*keys), compare_keys);
	for (i = 0; i < count && i < PAGE_ITEMS_MAX && bytes < PAGE_BYTES_MAX;
	     i++) {
		json_t *item = json_object_get(server->items, keys[i]);

		bytes += json_string_length(json_object_get(item, "value"));
		json_array_append(items, item);
	}
	return i < count;
}

static void on_range(struct kvserver *server, struct httpd_request *request)
{
	char *prefix = query_param(request, "prefix"),
	     *after = query_param(request, "after");
	const char **keys =
		xcalloc(json_object_size(server->items) + 1, sizeof(*keys));
	json_t *items = json_array(), *item;
	const char *key;
	size_t count = 0;
	int truncated;

	json_object_foreach(server->items, key,
			    item) if (has_prefix(key, prefix) &&
				      strcmp(key, after) > 0) keys[count++] =
		key;
	truncated = add_page(server, items, keys, count);
	reply(request, 200,
	      json_pack("{s:o, s:b, s:I}", "items", items, "truncated",
			truncated, "storeRevision",
			(json_int_t)server->revision));
	free(keys);
	free(prefix);
	free(after);
}

static void on_watch(struct kvserver *server, struct httpd_request *request)
{
	struct watcher *watcher = xcalloc(1, sizeof(*watcher));
	char *after = query_param(request, "after"),
	     *wait = query_param(request, "waitMs");

	list_init(&watcher->node);
	watcher->request = request;
	watcher->prefix = query_param(request, "prefix");
	watcher->after_revision = strtoll(after, NULL, 10);
	watcher->deadline = mstime_add(sysclock_now(), strtoll(wait, NULL, 10));
	free(after);
	free(wait);
	list_add_tail(&server->watchers, &watcher->node);
	if (watcher->after_revision < server->compacted_revision) {
		reply(request, 410, json_object());
		list_del(&watcher->node);
		free(watcher->prefix);
		free(watcher);
		return;
	}
	reply_to_watcher(server, watcher, 0);
}

static void on_lease_grant(struct kvserver *server,
			   struct httpd_request *request)
{
	size_t len;
	const char *text = httpd_body(request, &len);
	json_t *body = json_loadb(text, len, 0, NULL);
	struct lease *lease = xcalloc(1, sizeof(*lease));

	lease->id = ++server->last_lease_id;
	lease->ttl_ms = json_integer_value(json_object_get(body, "ttlMs"));
	lease->expires_at = mstime_add(sysclock_now(), lease->ttl_ms);
	list_add_tail(&server->leases, &lease->node);
	reply(request, 200,
	      json_pack("{s:I, s:I}", "lease", (json_int_t)lease->id, "ttlMs",
			(json_int_t)lease->ttl_ms));
	json_decref(body);
}

static void on_lease_renew(struct kvserver *server,
			   struct httpd_request *request, const char *id)
{
	struct lease *lease = lease_find(server, strtoll(id, NULL, 10));

	if (lease)
		lease->expires_at = mstime_add(sysclock_now(), lease->ttl_ms);
	reply(request, lease ? 200 : 404, json_object());
}

static void on_lease_end(struct kvserver *server, struct httpd_request *request,
			 const char *id)
{
	struct lease *lease = lease_find(server, strtoll(id, NULL, 10));

	if (lease)
		lease_end(server, lease);
	reply(request, lease ? 200 : 404, json_object());
	wake_watchers(server);
}

static void on_fake_put(struct kvserver *server, struct httpd_request *request)
{
	char *key = query_param(request, "key");
	size_t len;
	const char *text = httpd_body(request, &len);

	server->revision++;
	put_key(server, key, text, 0);
	wake_watchers(server);
	reply(request, 200, json_object());
	free(key);
}

static void on_fake_mode(struct kvserver *server, struct httpd_request *request)
{
	char *name = query_param(request, "name");

	if (!strcmp(name, "forget")) {
		json_array_clear(server->events);
		server->compacted_revision = ++server->revision;
	} else {
		str_copy(server->mode, name, sizeof(server->mode));
	}
	reply(request, 200, json_object());
	free(name);
}

static void on_fake_limit(struct kvserver *server,
			  struct httpd_request *request)
{
	char *bytes = query_param(request, "bytes");

	server->value_max = (size_t)strtoull(bytes, NULL, 10);
	reply(request, 200, json_object());
	free(bytes);
}

static void on_fake_calls(struct kvserver *server,
			  struct httpd_request *request)
{
	reply(request, 200, json_pack("{s:i}", "calls", server->calls));
	server->calls = 0;
}

static int match_prefix(const char *path, const char *prefix, const char **rest)
{
	size_t len = strlen(prefix);

	*rest = path + len;
	return !strncmp(path, prefix, len);
}

static void on_request(void *arg, struct httpd_request *request)
{
	struct kvserver *server = arg;
	const char *path = httpd_path(request), *rest;

	server->calls += strncmp(path, "/fake/", 6) != 0;
	if (!strcmp(path, "/fake/put")) {
		on_fake_put(server, request);
	} else if (!strcmp(path, "/fake/mode")) {
		on_fake_mode(server, request);
	} else if (!strcmp(path, "/fake/limit")) {
		on_fake_limit(server, request);
	} else if (!strcmp(path, "/fake/calls")) {
		on_fake_calls(server, request);
	} else if (!strcmp(server->mode, "busy")) {
		reply(request, 503, json_object());
	} else if (!strcmp(server->mode, "silent")) {
		return;
	} else if (!strcmp(path, "/catkinhill/kv-txn")) {
		on_txn(server, request);
	} else if (!strcmp(path, "/catkinhill/kv-key")) {
		on_key(server, request);
	} else if (!strcmp(path, "/catkinhill/kv-range")) {
		on_range(server, request);
	} else if (!strcmp(path, "/catkinhill/kv-watch")) {
		on_watch(server, request);
	} else if (!strcmp(path, "/catkinhill/kv-lease")) {
		on_lease_grant(server, request);
	} else if (match_prefix(path, "/catkinhill/kv-keep/", &rest)) {
		on_lease_renew(server, request, rest);
	} else if (match_prefix(path, "/catkinhill/kv-lease-end/", &rest)) {
		on_lease_end(server, request, rest);
	} else {
		reply(request, 404, json_object());
	}
}

struct kvserver *kvserver_new(struct loop *loop, const char *address)
{
	struct kvserver *server = xcalloc(1, sizeof(*server));

	server->items = json_object();
	server->events = json_array();
	list_init(&server->leases);
	list_init(&server->watchers);
	server->revision = 1;
	str_copy(server->mode, "none", sizeof(server->mode));
	server->httpd = httpd_new(loop, address, REQUEST_BODY_MAX_BYTES,
				  on_request, server);
	if (!server->httpd) {
		kvserver_delete(server);
		return NULL;
	}
	server->timer = loop_timer_new(loop, on_timer, server);
	loop_timer_start(server->timer, TIMER_INTERVAL_MS);
	return server;
}

void kvserver_delete(struct kvserver *server)
{
	struct list *pos, *tmp;

	if (!server)
		return;
	list_for_each_safe (pos, tmp, &server->leases)
		free(list_entry(pos, struct lease, node));
	list_for_each_safe (pos, tmp, &server->watchers) {
		free(list_entry(pos, struct watcher, node)->prefix);
		free(list_entry(pos, struct watcher, node));
	}
	loop_timer_delete(server->timer);
	httpd_delete(server->httpd);
	json_decref(server->items);
	json_decref(server->events);
	free(server);
}
