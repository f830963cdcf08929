#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "log.h"
#include "scheduler_internal.h"
#include "sysclock.h"

/*
 * What has been learned of images that slow each other outlives a scheduler in
 * the store: the next one would learn it anew at the cost of serving tasks.
 * Both ways are best effort; nothing waits for them.
 */
#define WRITE_INTERVAL_MS 2000

static void on_read(void *arg, const struct kv_result *result)
{
	struct scheduler *scheduler = *(struct scheduler **)arg;
	int err = result->err;

	if (!err && result->count)
		err = dispatch_decode_interference(
			scheduler->dispatch, result->items->value,
			result->items->len, sysclock_now());
	log_event(EV_INTERFERENCE_READ, "epoch=%lld err=%s bytes=%zu",
		  (long long)scheduler->epoch, error_name(err),
		  err ? (size_t)0 : result->items->len);
	scheduler->interference_is_read = 1;
}

void scheduler_interference_start(struct scheduler *scheduler)
{
	scheduler->interference_is_read = 0;
	scheduler->interference_in_flight = 0;
	kv_get(scheduler->kv, INTERFERENCE_KEY, on_read, &scheduler->self);
}

void scheduler_interference_stop(struct scheduler *scheduler)
{
	free(scheduler->interference_text);
	scheduler->interference_text = NULL;
}

static void on_written(void *arg, const struct kv_result *result)
{
	struct scheduler *scheduler = *(struct scheduler **)arg;

	scheduler->interference_in_flight = 0;
	if (!result->err)
		return;
	/* Written again, with what is known by then. */
	scheduler_interference_stop(scheduler);
}

/* A text that can't be read is not overwritten before it has been asked for. */
void scheduler_interference_write(struct scheduler *scheduler,
				  struct mstime now)
{
	struct kv_txn txn = { .compare_count = 1, .put_count = 1 };
	char *text;

	if (!scheduler->interference_is_read ||
	    scheduler->interference_in_flight ||
	    mstime_diff(now, scheduler->interference_at) < WRITE_INTERVAL_MS)
		return;
	scheduler->interference_at = now;
	text = dispatch_encode_interference(scheduler->dispatch, now);
	if (scheduler->interference_text &&
	    !strcmp(text, scheduler->interference_text)) {
		free(text);
		return;
	}
	free(scheduler->interference_text);
	scheduler->interference_text = text;
	scheduler->interference_in_flight = 1;
	txn.compares[0].key = ELECTION_KEY;
	txn.compares[0].revision = scheduler->epoch;
	txn.puts[0].key = INTERFERENCE_KEY;
	txn.puts[0].value = text;
	txn.puts[0].len = strlen(text);
	kv_txn(scheduler->kv, &txn, on_written, &scheduler->self);
}
