#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "log.h"
#include "mem.h"
#include "scheduler_internal.h"
#include "sysclock.h"

#define RETRY_MS 200

static char *encode(const struct scheduler *scheduler, struct mstime now)
{
	json_t *leases = json_object();
	json_t *root;
	struct list *pos;
	char *text;

	list_for_each (pos, dispatch_workers(scheduler->dispatch)) {
		const struct worker *worker =
			list_entry(pos, struct worker, node);

		if (worker->run_count)
			json_object_set_new(leases, worker->runner,
					    json_integer(dispatch_lease_left_ms(
						    worker, now)));
	}
	root = json_pack("{s:I,s:o}", "epoch", (json_int_t)scheduler->epoch,
			 "leases", leases);
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(root);
	return text;
}

void scheduler_handover_write(struct scheduler *scheduler)
{
	struct kv_put put = { .key = HANDOVER_KEY };
	char *text = NULL;

	if (scheduler->is_loaded) {
		text = encode(scheduler, sysclock_now());
		put.value = text;
		put.len = strlen(text);
	}
	election_resign(scheduler->election, text ? &put : NULL);
	free(text);
}

static void apply(struct scheduler *scheduler, const struct kv_item *item)
{
	json_t *root = json_loadb(item->value, item->len, 0, NULL);
	json_t *leases = json_object_get(root, "leases");
	void *iter;

	for (iter = json_object_iter(leases); iter;
	     iter = json_object_iter_next(leases, iter)) {
		const json_t *left = json_object_iter_value(iter);

		if (json_is_integer(left))
			dispatch_inherit_lease(scheduler->dispatch,
					       json_object_iter_key(iter),
					       json_integer_value(left));
	}
	log_event(EV_LEASES_INHERITED, "epoch=%lld former=%lld runners=%zu",
		  (long long)scheduler->epoch,
		  (long long)json_integer_value(json_object_get(root, "epoch")),
		  json_object_size(leases));
	json_decref(root);
}

static void retry(struct scheduler *scheduler, int err)
{
	log_event(EV_STATE_UNSETTLED, "epoch=%lld handover err=%s",
		  (long long)scheduler->epoch, error_name(err));
	loop_timer_start(scheduler->load_retry_timer, RETRY_MS);
}

static void on_removed(void *arg, const struct kv_result *result)
{
	struct scheduler *scheduler = *(struct scheduler **)arg;

	if (!result->err) {
		scheduler_load_states(scheduler);
		return;
	}
	/* An earlier attempt was carried out, or the election is lost. */
	if (result->err == ERR_CONFLICT)
		election_verify(scheduler->election);
	retry(scheduler, result->err);
}

static void on_read(void *arg, const struct kv_result *result)
{
	struct scheduler *scheduler = *(struct scheduler **)arg;
	struct kv_txn txn = { .compare_count = 2, .removal_count = 1 };

	if (result->err == ERR_NOT_FOUND) {
		scheduler_load_states(scheduler);
		return;
	}
	if (result->err || !result->count) {
		retry(scheduler, result->err);
		return;
	}
	apply(scheduler, result->items);
	txn.compares[0].key = ELECTION_KEY;
	txn.compares[0].revision = scheduler->epoch;
	txn.compares[1].key = HANDOVER_KEY;
	txn.compares[1].revision = result->items->revision;
	txn.removals[0] = HANDOVER_KEY;
	kv_txn(scheduler->kv, &txn, on_removed, &scheduler->self);
}

void scheduler_handover_read(struct scheduler *scheduler)
{
	kv_get(scheduler->kv, HANDOVER_KEY, on_read, &scheduler->self);
}
