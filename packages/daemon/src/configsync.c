#include "configsync.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "list.h"
#include "log.h"
#include "mem.h"
#include "store.h"
#include "sysclock.h"

#define KEY "cfg"
#define READ_INTERVAL_MS 5000
#define WATCH_RETRY_MS 1000

/*
 * How long a write without an answer is settled before the operator is told
 * that its outcome is unknown: a few timeouts of the store.
 */
#define SETTLE_MS 10000
#define SETTLE_RETRY_MS 250

/* One read or write in progress. */
struct call {
	struct list node;
	struct configsync *sync;
	configsync_done_fn done; /* NULL for the periodic read */
	void *arg;
	struct config *next; /* NULL for a read */
	char *json;
	uint64_t basis;
	int64_t revision;
	int sent; /* a put may have taken effect */
	struct mstime deadline;
	struct loop_timer *timer;
};

struct configsync {
	struct daemon *daemon;
	configsync_changed_fn fn;
	void *arg;
	struct store_watch *watch;
	struct loop_timer *read_timer;
	struct loop_timer *watch_timer;
	struct list calls;
	uint32_t writes;
	int told; /* the store has answered */
	struct metric version;
	struct metric failures;
};

static struct call *call_new(struct configsync *sync, configsync_done_fn done,
			     void *arg)
{
	struct call *call = xcalloc(1, sizeof(*call));

	call->sync = sync;
	call->done = done;
	call->arg = arg;
	list_add_tail(&sync->calls, &call->node);
	return call;
}

static void call_free(struct call *call)
{
	list_del(&call->node);
	if (call->timer)
		loop_timer_delete(call->timer);
	free(call->next);
	free(call->json);
	free(call);
}

static void call_end(struct call *call, int err)
{
	configsync_done_fn done = call->done;
	void *arg = call->arg;

	call_free(call);
	if (done)
		done(arg, err);
}

static int take(struct configsync *sync, const struct config *next,
		const char *source)
{
	struct daemon *daemon = sync->daemon;
	int changed = config_replace_if_newer(&daemon->config, next);

	if (changed != 1)
		return changed;
	sync->version.value = (int64_t)daemon->config.version;
	log_event(EV_CONFIG_APPLIED, "version=%" PRIu64 " token=%s source=%s",
		  daemon->config.version, daemon->config.token, source);
	sync->fn(sync->arg);
	return changed;
}

static int take_value(struct configsync *sync, const void *value, size_t len,
		      struct config *parsed, const char *source)
{
	int err = config_parse(parsed, value, len);

	if (err) {
		log_event(EV_CONFIG_REJECTED, "source=%s reason=%s", source,
			  error_name(err));
		return err;
	}
	return take(sync, parsed, source);
}

int configsync_apply_from_agent(struct configsync *sync, const char *json,
				size_t len)
{
	struct config *parsed = xmalloc(sizeof(*parsed));
	int changed = take_value(sync, json, len, parsed, "agent");

	free(parsed);
	return changed;
}

int configsync_is_loaded(const struct configsync *sync)
{
	return sync->told || sync->daemon->config.version > 0;
}

static void on_watch(void *arg, int err, const struct store_item *item)
{
	struct configsync *sync = arg;
	struct config *parsed;

	if (err) {
		sync->failures.value++;
		log_event(EV_CONFIG_FOLLOW_LOST, "call=watch error=%s",
			  error_name(err));
		store_watch_stop(sync->watch);
		sync->watch = NULL;
		loop_timer_start(sync->watch_timer, WATCH_RETRY_MS);
		return;
	}
	if (!item || !item->value)
		return;
	parsed = xmalloc(sizeof(*parsed));
	take_value(sync, item->value, item->len, parsed, "watch");
	free(parsed);
}

static void start_watch(void *arg)
{
	struct configsync *sync = arg;

	sync->watch =
		store_watch_start(sync->daemon->store, KEY, on_watch, sync);
	if (!sync->watch)
		loop_timer_start(sync->watch_timer, WATCH_RETRY_MS);
}

static void on_read(void *arg, int err, const struct store_item *item)
{
	struct call *call = arg;
	struct configsync *sync = call->sync;
	struct config *parsed;

	if (!err) {
		parsed = xmalloc(sizeof(*parsed));
		err = take_value(sync, item->value, item->len, parsed, "read");
		err = err == ERR_MALFORMED || err == ERR_INVALID ? err : 0;
		free(parsed);
	} else if (err == ERR_NOT_FOUND) {
		err = 0;
	}
	if (!err) {
		sync->told = 1;
	} else {
		sync->failures.value++;
		log_event(EV_CONFIG_FOLLOW_LOST, "call=read error=%s",
			  error_name(err));
	}
	call_end(call, err);
}

static void start_read(struct configsync *sync, configsync_done_fn done,
		       void *arg)
{
	struct call *call = call_new(sync, done, arg);

	store_get(sync->daemon->store, KEY, on_read, call);
}

static void on_read_timer(void *arg)
{
	struct configsync *sync = arg;

	start_read(sync, NULL, NULL);
	loop_timer_start(sync->read_timer, READ_INTERVAL_MS);
}

/* A call that has no store to ask ends on the loop, not inside its start. */
static void on_no_store(void *arg)
{
	call_end(arg, ERR_UNAVAILABLE);
}

static void end_without_store(struct call *call)
{
	call->timer =
		loop_timer_new(call->sync->daemon->loop, on_no_store, call);
	loop_timer_start(call->timer, 0);
}

void configsync_refresh(struct configsync *sync, configsync_done_fn done,
			void *arg)
{
	if (sync->daemon->store)
		start_read(sync, done, arg);
	else
		end_without_store(call_new(sync, done, arg));
}

static void write_get(void *arg);

/* Tries again until the bound, then reports what is known. */
static void settle_later(struct call *call)
{
	if (!mstime_before(call->deadline, sysclock_now())) {
		loop_timer_start(call->timer, SETTLE_RETRY_MS);
		return;
	}
	if (!call->sent) {
		call_end(call, ERR_CONFLICT);
		return;
	}
	log_event(EV_CONFIG_UNKNOWN, "version=%" PRIu64 " token=%s",
		  call->next->version, call->next->token);
	call_end(call, ERR_UNKNOWN);
}

static void write_done(struct call *call)
{
	log_event(EV_CONFIG_WRITTEN, "version=%" PRIu64 " token=%s",
		  call->next->version, call->next->token);
	take(call->sync, call->next, "write");
	call_end(call, 0);
}

static void on_put(void *arg, int err, int64_t revision)
{
	struct call *call = arg;

	if (!err) {
		write_done(call);
	} else if (err == ERR_UNAVAILABLE && !call->sent) {
		call_end(call, err);
	} else {
		/* A conflict comes from another write or an earlier try. */
		call->sent |= err != ERR_CONFLICT && err != ERR_UNAVAILABLE;
		settle_later(call);
	}
}

static void put(struct call *call)
{
	store_put_if(call->sync->daemon->store, KEY, call->revision, call->json,
		     strlen(call->json), 0, on_put, call);
}

/* The value in the store is newer than the basis: whose write was it? */
static void settle_by_token(struct call *call, const struct config *found)
{
	int mine = config_written_by(found, call->next->version,
				     call->next->token);

	if (mine == 1)
		write_done(call);
	else if (mine == 0 || !call->sent)
		call_end(call, ERR_CONFLICT);
	else
		call_end(call, ERR_UNKNOWN);
}

static void write_found(struct call *call, const struct store_item *item)
{
	struct config *found = xmalloc(sizeof(*found));
	int err = take_value(call->sync, item->value, item->len, found, "read");

	if (err == ERR_MALFORMED || err == ERR_INVALID) {
		call_end(call, call->sent ? ERR_UNKNOWN : err);
	} else if (found->version != call->basis) {
		settle_by_token(call, found);
	} else {
		/*
		 * An earlier put without an answer may still arrive. Putting
		 * the same value at the same revision settles it: only one of
		 * the two can take effect.
		 */
		call->revision = item->revision;
		put(call);
	}
	free(found);
}

static void on_write_get(void *arg, int err, const struct store_item *item)
{
	struct call *call = arg;

	if (!err) {
		write_found(call, item);
	} else if (err == ERR_NOT_FOUND && call->basis) {
		call_end(call, call->sent ? ERR_UNKNOWN : ERR_CONFLICT);
	} else if (err == ERR_NOT_FOUND) {
		call->revision = 0;
		put(call);
	} else if (call->sent) {
		settle_later(call);
	} else {
		call_end(call, ERR_UNAVAILABLE);
	}
}

static void write_get(void *arg)
{
	struct call *call = arg;

	store_get(call->sync->daemon->store, KEY, on_write_get, call);
}

/* The id is cut; the incarnation makes the token unique. */
static void make_token(struct configsync *sync, char *buf, size_t size)
{
	snprintf(buf, size, "%.24s/%016" PRIx64 "/%" PRIu32,
		 sync->daemon->settings->id, sync->daemon->incarnation,
		 ++sync->writes);
}

void configsync_write(struct configsync *sync, const struct config *next,
		      uint64_t basis, configsync_done_fn done, void *arg)
{
	struct call *call = call_new(sync, done, arg);
	char token[ID_SIZE];

	if (!sync->daemon->store) {
		end_without_store(call);
		return;
	}
	make_token(sync, token, sizeof(token));
	call->next = xmemdup(next, sizeof(*next));
	call->next->version = basis + 1;
	config_set_token(call->next, token);
	call->json = config_render(call->next);
	call->basis = basis;
	call->deadline = mstime_add(sysclock_now(), SETTLE_MS);
	call->timer = loop_timer_new(sync->daemon->loop, write_get, call);
	write_get(call);
}

struct configsync *configsync_new(struct daemon *daemon,
				  configsync_changed_fn fn, void *arg)
{
	struct configsync *sync = xcalloc(1, sizeof(*sync));

	sync->daemon = daemon;
	sync->fn = fn;
	sync->arg = arg;
	list_init(&sync->calls);
	sync->version = (struct metric){
		.kind = METRIC_GAUGE,
		.name = "catkinhill_config_version",
		.help = "Configuration version in force in this process.",
	};
	sync->failures = (struct metric){
		.name = "catkinhill_config_follow_failures_total",
		.help = "Failed watches and reads of the configuration.",
	};
	metric_register(&daemon->counters, &sync->version);
	metric_register(&daemon->counters, &sync->failures);
	sync->read_timer = loop_timer_new(daemon->loop, on_read_timer, sync);
	sync->watch_timer = loop_timer_new(daemon->loop, start_watch, sync);
	if (daemon->store) {
		loop_timer_start(sync->read_timer, 0);
		loop_timer_start(sync->watch_timer, 0);
	}
	return sync;
}

static void calls_drop(struct configsync *sync)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &sync->calls) {
		struct call *call = list_entry(pos, struct call, node);

		if (sync->daemon->store)
			store_cancel(sync->daemon->store, call);
		call_free(call);
	}
}

void configsync_delete(struct configsync *sync)
{
	if (!sync)
		return;
	calls_drop(sync);
	if (sync->watch)
		store_watch_stop(sync->watch);
	loop_timer_delete(sync->read_timer);
	loop_timer_delete(sync->watch_timer);
	list_del(&sync->version.node);
	list_del(&sync->failures.node);
	free(sync);
}
