#include "follow.h"

#include <stdlib.h>

#include "errors.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

/*
 * A connection that has gone silent is noticed after this time and the slack
 * of the call, which leaves room below the 3 s for a configuration.
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
	struct loop_timer *retry;
	int64_t retry_ms;
	int64_t revision; /* 0: has to be listed */
	int is_current;
	struct mstime lost_at;
};

static void next(struct kvwatcher *follow);

static void on_retry(void *arg)
{
	next(arg);
}

static void lost(struct kvwatcher *follow, int err)
{
	if (follow->is_current) {
		log_event(EV_FOLLOW_LOST, "prefix=%s err=%s", follow->prefix,
			  error_name(err));
		follow->lost_at = sysclock_now();
	}
	follow->is_current = 0;
	if (err == ERR_NOT_FOUND)
		follow->revision = 0;
	loop_timer_start(follow->retry, follow->retry_ms);
	follow->retry_ms = follow->retry_ms * 2 < RETRY_MAX_MS
				   ? follow->retry_ms * 2
				   : RETRY_MAX_MS;
}

static void answered(struct kvwatcher *follow, int64_t revision)
{
	if (!follow->is_current)
		log_event(EV_FOLLOW_CURRENT, "prefix=%s revision=%lld",
			  follow->prefix, (long long)revision);
	follow->is_current = 1;
	follow->retry_ms = RETRY_MIN_MS;
	if (revision > follow->revision)
		follow->revision = revision;
}

static void on_listed(void *arg, const struct kv_result *result)
{
	struct kvwatcher *follow = arg;

	if (result->err) {
		lost(follow, result->err);
		return;
	}
	answered(follow, result->revision);
	follow->handlers.on_list(follow->arg, result->items, result->count);
	next(follow);
}

static void on_events(void *arg, const struct kv_result *result)
{
	struct kvwatcher *follow = arg;
	size_t i;

	if (result->err) {
		lost(follow, result->err);
		return;
	}
	answered(follow, result->revision);
	for (i = 0; i < result->count; i++)
		follow->handlers.on_change(follow->arg, &result->items[i]);
	next(follow);
}

static void next(struct kvwatcher *follow)
{
	if (follow->revision)
		kv_watch(follow->kv, follow->prefix, follow->revision,
			 WATCH_WAIT_MS, on_events, follow);
	else
		kv_list(follow->kv, follow->prefix, on_listed, follow);
}

struct kvwatcher *kvwatcher_new(struct loop *loop, struct kv *kv,
				const char *prefix,
				const struct kvwatcher_handlers *handlers,
				void *arg)
{
	struct kvwatcher *follow = xcalloc(1, sizeof(*follow));

	follow->loop = loop;
	follow->kv = kv;
	follow->prefix = xstrdup(prefix);
	follow->handlers = *handlers;
	follow->arg = arg;
	follow->retry_ms = RETRY_MIN_MS;
	follow->lost_at = sysclock_now();
	follow->retry = loop_timer_new(loop, on_retry, follow);
	next(follow);
	return follow;
}

void kvwatcher_delete(struct kvwatcher *follow)
{
	if (!follow)
		return;
	kv_forget(follow->kv, follow);
	loop_timer_delete(follow->retry);
	free(follow->prefix);
	free(follow);
}

int64_t kvwatcher_stale_ms(const struct kvwatcher *follow)
{
	if (follow->is_current)
		return 0;
	return mstime_diff(sysclock_now(), follow->lost_at) + 1;
}
