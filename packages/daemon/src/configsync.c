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

#define CONFIG_KEY "cfg"
#define READ_INTERVAL_MS 5000
#define WATCH_RETRY_MS 1000

/*
 * How long a write without a response is read back and retried before its
 * outcome is reported as unknown: a few store timeouts.
 */
#define WRITE_RESOLVE_TIMEOUT_MS 10000
#define WRITE_RESOLVE_RETRY_MS 250

/* One read or write in progress. */
struct configsync_call {
	struct list node;
	struct configsync *sync;
	configsync_done_fn done; /* NULL for the periodic read */
	void *arg;
	struct config *next; /* NULL for a read */
	char *json;
	uint64_t basis;
	int64_t revision;
	int put_may_be_applied; /* the outcome of a put is not known */
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
	uint32_t write_count;
	int store_has_responded; /* a read has succeeded */
	struct metric version;
	struct metric failures;
};

static struct configsync_call *call_new(struct configsync *sync,
					configsync_done_fn done, void *arg)
{
	struct configsync_call *call = xcalloc(1, sizeof(*call));

	call->sync = sync;
	call->done = done;
	call->arg = arg;
	list_add_tail(&sync->calls, &call->node);
	return call;
}

static void call_free(struct configsync_call *call)
{
	list_del(&call->node);
	if (call->timer)
		loop_timer_delete(call->timer);
	free(call->next);
	free(call->json);
	free(call);
}

static void call_end(struct configsync_call *call, int err)
{
	configsync_done_fn done = call->done;
	void *arg = call->arg;

	call_free(call);
	if (done)
		done(arg, err);
}

static int apply_if_newer(struct configsync *sync, const struct config *next,
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

static int parse_and_apply(struct configsync *sync, const void *value,
			   size_t len, struct config *parsed,
			   const char *source)
{
	int err = config_parse(parsed, value, len);

	if (err) {
		log_event(EV_CONFIG_REJECTED, "source=%s reason=%s", source,
			  error_name(err));
		return err;
	}
	return apply_if_newer(sync, parsed, source);
}

int configsync_apply_from_agent(struct configsync *sync, const char *json,
				size_t len)
{
	struct config *parsed = xmalloc(sizeof(*parsed));
	int changed = parse_and_apply(sync, json, len, parsed, "agent");

	free(parsed);
	return changed;
}

int configsync_is_loaded(const struct configsync *sync)
{
	return sync->store_has_responded || sync->daemon->config.version > 0;
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
	parse_and_apply(sync, item->value, item->len, parsed, "watch");
	free(parsed);
}

static void start_watch(void *arg)
{
	struct configsync *sync = arg;

	sync->watch = store_watch_start(sync->daemon->store, CONFIG_KEY,
					on_watch, sync);
	if (!sync->watch)
		loop_timer_start(sync->watch_timer, WATCH_RETRY_MS);
}

static void on_read(void *arg, int err, const struct store_item *item)
{
	struct configsync_call *call = arg;
	struct configsync *sync = call->sync;
	struct config *parsed;

	if (!err) {
		parsed = xmalloc(sizeof(*parsed));
		err = parse_and_apply(sync, item->value, item->len, parsed,
				      "read");
		err = err == ERR_MALFORMED || err == ERR_INVALID ? err : 0;
		free(parsed);
	} else if (err == ERR_NOT_FOUND) {
		err = 0;
	}
	if (!err) {
		sync->store_has_responded = 1;
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
	struct configsync_call *call = call_new(sync, done, arg);

	store_get(sync->daemon->store, CONFIG_KEY, on_read, call);
}

static void on_read_timer(void *arg)
{
	struct configsync *sync = arg;

	start_read(sync, NULL, NULL);
	loop_timer_start(sync->read_timer, READ_INTERVAL_MS);
}

/* Without a store a call ends from the loop, never inside its start. */
static void on_no_store(void *arg)
{
	call_end(arg, ERR_UNAVAILABLE);
}

static void end_without_store(struct configsync_call *call)
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

static void write_read(void *arg);

/*
 * Reads again until the deadline. Then ends the call: with a conflict if no put
 * of it can have taken effect, else as unknown.
 */
static void write_retry_or_end(struct configsync_call *call)
{
	if (!mstime_before(call->deadline, sysclock_now())) {
		loop_timer_start(call->timer, WRITE_RESOLVE_RETRY_MS);
		return;
	}
	if (!call->put_may_be_applied) {
		call_end(call, ERR_CONFLICT);
		return;
	}
	log_event(EV_CONFIG_UNKNOWN, "version=%" PRIu64 " token=%s",
		  call->next->version, call->next->token);
	call_end(call, ERR_UNKNOWN);
}

static void write_done(struct configsync_call *call)
{
	log_event(EV_CONFIG_WRITTEN, "version=%" PRIu64 " token=%s",
		  call->next->version, call->next->token);
	apply_if_newer(call->sync, call->next, "write");
	call_end(call, 0);
}

static void on_put(void *arg, int err, int64_t revision)
{
	struct configsync_call *call = arg;

	if (!err) {
		write_done(call);
	} else if (err == ERR_UNAVAILABLE && !call->put_may_be_applied) {
		call_end(call, err);
	} else {
		/*
		 * A conflict is due to another writer or to an earlier put of
		 * this call; reading back tells which.
		 */
		call->put_may_be_applied |=
			err != ERR_CONFLICT && err != ERR_UNAVAILABLE;
		write_retry_or_end(call);
	}
}

static void write_put(struct configsync_call *call)
{
	store_put_if(call->sync->daemon->store, CONFIG_KEY, call->revision,
		     call->json, strlen(call->json), 0, on_put, call);
}

/* The stored version is not basis: the token tells whether we wrote it. */
static void write_end_by_token(struct configsync_call *call,
			       const struct config *found)
{
	int is_own_write = config_written_by(found, call->next->version,
					     call->next->token);

	if (is_own_write == 1)
		write_done(call);
	else if (is_own_write == 0 || !call->put_may_be_applied)
		call_end(call, ERR_CONFLICT);
	else
		call_end(call, ERR_UNKNOWN);
}

static void write_check_stored(struct configsync_call *call,
			       const struct store_item *item)
{
	struct config *found = xmalloc(sizeof(*found));
	int err = parse_and_apply(call->sync, item->value, item->len, found,
				  "read");

	if (err == ERR_MALFORMED || err == ERR_INVALID) {
		call_end(call, call->put_may_be_applied ? ERR_UNKNOWN : err);
	} else if (found->version != call->basis) {
		write_end_by_token(call, found);
	} else {
		/*
		 * An earlier put without a response may still reach the store.
		 * Repeating it at the same revision is safe: only one of the
		 * two can take effect.
		 */
		call->revision = item->revision;
		write_put(call);
	}
	free(found);
}

static void on_write_read(void *arg, int err, const struct store_item *item)
{
	struct configsync_call *call = arg;

	if (!err) {
		write_check_stored(call, item);
	} else if (err == ERR_NOT_FOUND && call->basis) {
		call_end(call,
			 call->put_may_be_applied ? ERR_UNKNOWN : ERR_CONFLICT);
	} else if (err == ERR_NOT_FOUND) {
		call->revision = 0;
		write_put(call);
	} else if (call->put_may_be_applied) {
		write_retry_or_end(call);
	} else {
		call_end(call, ERR_UNAVAILABLE);
	}
}

static void write_read(void *arg)
{
	struct configsync_call *call = arg;

	store_get(call->sync->daemon->store, CONFIG_KEY, on_write_read, call);
}

/* The id is truncated; the incarnation keeps the token unique. */
static void make_token(struct configsync *sync, char *buf, size_t size)
{
	snprintf(buf, size, "%.24s/%016" PRIx64 "/%" PRIu32,
		 sync->daemon->settings->id, sync->daemon->incarnation,
		 ++sync->write_count);
}

void configsync_write(struct configsync *sync, const struct config *next,
		      uint64_t basis, configsync_done_fn done, void *arg)
{
	struct configsync_call *call = call_new(sync, done, arg);
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
	call->deadline = mstime_add(sysclock_now(), WRITE_RESOLVE_TIMEOUT_MS);
	call->timer = loop_timer_new(sync->daemon->loop, write_read, call);
	write_read(call);
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
	metric_register(&daemon->metrics, &sync->version);
	metric_register(&daemon->metrics, &sync->failures);
	sync->read_timer = loop_timer_new(daemon->loop, on_read_timer, sync);
	sync->watch_timer = loop_timer_new(daemon->loop, start_watch, sync);
	if (daemon->store) {
		loop_timer_start(sync->read_timer, 0);
		loop_timer_start(sync->watch_timer, 0);
	}
	return sync;
}

static void calls_cancel(struct configsync *sync)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &sync->calls) {
		struct configsync_call *call =
			list_entry(pos, struct configsync_call, node);

		if (sync->daemon->store)
			store_cancel(sync->daemon->store, call);
		call_free(call);
	}
}

void configsync_delete(struct configsync *sync)
{
	if (!sync)
		return;
	calls_cancel(sync);
	if (sync->watch)
		store_watch_stop(sync->watch);
	loop_timer_delete(sync->read_timer);
	loop_timer_delete(sync->watch_timer);
	list_del(&sync->version.node);
	list_del(&sync->failures.node);
	free(sync);
}
