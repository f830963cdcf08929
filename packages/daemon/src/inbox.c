#include "inbox.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "jobspec.h"
#include "mem.h"
#include "store.h"
#include "sysclock.h"

/* As for a configuration write: long enough for a few timeouts of the store */
#define WRITE_TIMEOUT_MS 10000
#define WRITE_RETRY_MS 250

struct inbox_call {
	struct daemon *daemon;
	inbox_fn done;
	void *arg;
	char *key;
	char *value;
	int may_be_stored; /* a put may have taken effect */
	struct mstime deadline;
	struct loop_timer *put_timer;
};

static void on_put(void *arg, int err, int64_t revision);

static void start_put(void *arg)
{
	struct inbox_call *call = arg;

	if (!call->daemon->store) {
		call->done(call->arg, ERR_UNAVAILABLE);
		return;
	}
	store_put_if(call->daemon->store, call->key, 0, call->value,
		     strlen(call->value), 0, on_put, call);
}

static void retry_later(struct inbox_call *call)
{
	if (mstime_before(call->deadline, sysclock_now()))
		call->done(call->arg, ERR_UNKNOWN);
	else
		loop_timer_start(call->put_timer, WRITE_RETRY_MS);
}

static void on_read_back(void *arg, int err, const struct store_item *item)
{
	struct inbox_call *call = arg;

	if (err) {
		retry_later(call);
		return;
	}
	if (item->len == strlen(call->value) &&
	    !memcmp(item->value, call->value, item->len))
		call->done(call->arg, 0);
	else
		call->done(call->arg, ERR_EXISTS);
}

static void on_put(void *arg, int err, int64_t revision)
{
	struct inbox_call *call = arg;

	if (err == ERR_CONFLICT && call->may_be_stored) {
		store_get(call->daemon->store, call->key, on_read_back, call);
	} else if (err == ERR_CONFLICT) {
		call->done(call->arg, ERR_EXISTS);
	} else if (!err || (err == ERR_UNAVAILABLE && !call->may_be_stored)) {
		call->done(call->arg, err);
	} else {
		call->may_be_stored |= err != ERR_UNAVAILABLE;
		retry_later(call);
	}
}

static char *make_key(const struct daemon *daemon, const struct intent *intent)
{
	uint32_t partitions = (uint32_t)daemon->config.limits[LIMIT_PARTITIONS];
	const char *job = intent->kind == INTENT_SUBMIT ? intent->u.submit.job
							: intent->u.job;

	return xstrfmt("inbox/%" PRIu32 "/%s%s", job_partition(job, partitions),
		       job, intent->kind == INTENT_SUBMIT ? "" : ".cancel");
}

struct inbox_call *inbox_start(struct daemon *daemon,
			       const struct intent *intent, inbox_fn done,
			       void *arg)
{
	struct inbox_call *call = xcalloc(1, sizeof(*call));

	call->daemon = daemon;
	call->done = done;
	call->arg = arg;
	call->key = make_key(daemon, intent);
	if (intent->kind == INTENT_SUBMIT)
		call->value = job_spec_render(&intent->u.submit);
	else
		call->value = intent_render(intent);
	call->deadline = mstime_add(sysclock_now(), WRITE_TIMEOUT_MS);
	call->put_timer = loop_timer_new(daemon->loop, start_put, call);
	loop_timer_start(call->put_timer, 0);
	return call;
}

void inbox_delete(struct inbox_call *call)
{
	if (!call)
		return;
	if (call->daemon->store)
		store_cancel(call->daemon->store, call);
	loop_timer_delete(call->put_timer);
	free(call->key);
	free(call->value);
	free(call);
}
