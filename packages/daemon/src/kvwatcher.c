#include "kvwatcher.h"

#include <stdlib.h>

#include "errors.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

/*
 * Longest wait of a watch call for a change. A dead connection is detected
 * after this time plus the slack that kv_watch() adds, which leaves time to
 * apply a new configuration within 3 s.
 */
#define WATCH_WAIT_MS 1500
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 400

struct kvwatcher {
	struct loop *loop;
	struct kv *kv;
	char *prefix;
	struct kvwatcher_handlers handlers;
	void *arg;
	struct loop_timer *retry_timer;
	int64_t retry_delay_ms;
	int64_t revision; /* up to which changes are known; 0: list first */
	int is_current;
	struct mstime lost_at;
};

static void send_next(struct kvwatcher *watcher);

static void on_retry(void *arg)
{
	send_next(arg);
}

static void handle_error(struct kvwatcher *watcher, int err)
{
	if (watcher->is_current) {
		log_event(EV_FOLLOW_LOST, "prefix=%s err=%s", watcher->prefix,
			  error_name(err));
		watcher->lost_at = sysclock_now();
	}
	watcher->is_current = 0;
	if (err == ERR_NOT_FOUND || err == ERR_TOO_LARGE)
		watcher->revision = 0;
	loop_timer_start(watcher->retry_timer, watcher->retry_delay_ms);
	watcher->retry_delay_ms = watcher->retry_delay_ms * 2 < RETRY_MAX_MS
					  ? watcher->retry_delay_ms * 2
					  : RETRY_MAX_MS;
}

static void handle_response(struct kvwatcher *watcher, int64_t revision)
{
	if (!watcher->is_current)
		log_event(EV_FOLLOW_CURRENT, "prefix=%s revision=%lld",
			  watcher->prefix, (long long)revision);
	watcher->is_current = 1;
	watcher->retry_delay_ms = RETRY_MIN_MS;
	if (revision > watcher->revision)
		watcher->revision = revision;
}

static void on_page(void *arg, const struct kv_result *result)
{
	struct kvwatcher *watcher = arg;

	if (result->err) {
		handle_error(watcher, result->err);
		return;
	}
	watcher->handlers.on_page(watcher->arg, result->items, result->count,
				  result->has_more);
	if (result->has_more)
		return;
	handle_response(watcher, result->revision);
	send_next(watcher);
}

static void on_listed(void *arg, const struct kv_result *result)
{
	struct kvwatcher *watcher = arg;

	if (result->err) {
		handle_error(watcher, result->err);
		return;
	}
	handle_response(watcher, result->revision);
	watcher->handlers.on_list(watcher->arg, result->items, result->count);
	send_next(watcher);
}

static void on_changes(void *arg, const struct kv_result *result)
{
	struct kvwatcher *watcher = arg;
	size_t i;

	if (result->err) {
		handle_error(watcher, result->err);
		return;
	}
	handle_response(watcher, result->revision);
	for (i = 0; i < result->count; i++)
		watcher->handlers.on_change(watcher->arg, &result->items[i]);
	send_next(watcher);
}

static void list_pages(struct kvwatcher *watcher)
{
	watcher->handlers.on_list_start(watcher->arg);
	kv_list_pages(watcher->kv, watcher->prefix, on_page, watcher);
}

static void send_next(struct kvwatcher *watcher)
{
	if (watcher->revision)
		kv_watch(watcher->kv, watcher->prefix, watcher->revision,
			 WATCH_WAIT_MS, on_changes, watcher);
	else if (watcher->handlers.on_page)
		list_pages(watcher);
	else
		kv_list(watcher->kv, watcher->prefix, on_listed, watcher);
}

struct kvwatcher *kvwatcher_new(struct loop *loop, struct kv *kv,
				const char *prefix,
				const struct kvwatcher_handlers *handlers,
				void *arg)
{
	struct kvwatcher *watcher = xcalloc(1, sizeof(*watcher));

	watcher->loop = loop;
	watcher->kv = kv;
	watcher->prefix = xstrdup(prefix);
	watcher->handlers = *handlers;
	watcher->arg = arg;
	watcher->retry_delay_ms = RETRY_MIN_MS;
	watcher->lost_at = sysclock_now();
	watcher->retry_timer = loop_timer_new(loop, on_retry, watcher);
	send_next(watcher);
	return watcher;
}

void kvwatcher_delete(struct kvwatcher *watcher)
{
	if (!watcher)
		return;
	kv_cancel(watcher->kv, watcher);
	loop_timer_delete(watcher->retry_timer);
	free(watcher->prefix);
	free(watcher);
}

int64_t kvwatcher_stale_ms(const struct kvwatcher *watcher)
{
	if (watcher->is_current)
		return 0;
	return mstime_diff(sysclock_now(), watcher->lost_at) + 1;
}
