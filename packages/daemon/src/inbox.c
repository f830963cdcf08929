#include "inbox.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "jobspec.h"
#include "mem.h"
#include "store.h"
#include "sysclock.h"

/* As for a configuration write: a few timeouts of the store. */
#define SETTLE_MS 10000
#define SETTLE_RETRY_MS 250

struct inbox_call {
	struct daemon *daemon;
	inbox_fn done;
	void *arg;
	char *key;
	char *value;
	int sent; /* a put may have taken effect */
	struct mstime deadline;
	struct loop_timer *timer;
};

static void on_put(void *arg, int err, int64_t revision);

static void put(void *arg)
{
	struct inbox_call *call = arg;

	if (!call->daemon->store) {
		call->done(call->arg, ERR_UNAVAILABLE);
		return;
	}
	store_put_if(call->daemon->store, call->key, 0, call->value,
		     strlen(call->value), 0, on_put, call);
}

static void settle_later(struct inbox_call *call)
{
	if (mstime_before(call->deadline, sysclock_now()))
		call->done(call->arg, ERR_UNKNOWN);
	else
		loop_timer_start(call->timer, SETTLE_RETRY_MS);
}

static void on_read_back(void *arg, int err, const struct store_item *item)
{
	struct inbox_call *call = arg;

	if (err) {
		settle_later(call);
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

	if (err == ERR_CONFLICT && call->sent) {
		store_get(call->daemon->store, call->key, on_read_back, call);
	} else if (err == ERR_CONFLICT) {
		call->done(call->arg, ERR_EXISTS);
	} else if (!err || (err == ERR_UNAVAILABLE && !call->sent)) {
		call->done(call->arg, err);
	} else {
		call->sent |= err != ERR_UNAVAILABLE;
		settle_later(call);
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
	call->deadline = mstime_add(sysclock_now(), SETTLE_MS);
	call->timer = loop_timer_new(daemon->loop, put, call);
	loop_timer_start(call->timer, 0);
	return call;
}

void inbox_delete(struct inbox_call *call)
{
	if (!call)
		return;
	if (call->daemon->store)
		store_cancel(call->daemon->store, call);
	loop_timer_delete(call->timer);
	free(call->key);
	free(call->value);
	free(call);
}
