#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "errors.h"
#include "log.h"
#include "owner_internal.h"

static int64_t claim_delay(const struct slot *slot)
{
	const struct owner *owner = slot->owner;
	const char *ids[OWNER_ENTRIES_MAX];
	size_t i;

	for (i = 0; i < owner->entry_count && i < OWNER_ENTRIES_MAX; i++)
		ids[i] = owner->entry_ids[i];
	return owner_claim_delay_ms(slot->number, owner->daemon->settings->id,
				    ids, i);
}

static void give_up(struct slot *slot, int64_t retry_ms)
{
	slot->retry_at = mstime_add(owner_now(), retry_ms);
	owner_slot_release(slot);
}

static char *render_claim(const struct slot *slot)
{
	const struct settings *settings = slot->owner->daemon->settings;
	char incarnation[24];
	json_t *root;
	char *text;

	snprintf(incarnation, sizeof(incarnation), "%016" PRIx64,
		 slot->owner->daemon->incarnation);
	root = json_pack("{s:s, s:s, s:I}", "entry", settings->id,
			 "incarnation", incarnation, "epoch",
			 (json_int_t)(slot->partition->epoch + 1));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

/* Raises the epoch; the former owner's commits are refused from now on. */
static void commit_epoch(struct slot *slot)
{
	struct partition *partition = slot->partition;
	const struct lease_durations *bounds = &slot->owner->bounds;
	struct mstime now = owner_now();

	owner_lease_init(&slot->lease, partition->epoch + 1,
			 partition->holdover_ms, bounds, now);
	partition->epoch++;
	partition_touch(partition);
	owner_commit_now(slot);
}

/*
 * A claim without an answer is settled by the next scan, which shows whether
 * own/N is this process's.
 */
static void on_claimed(void *arg, int err, int64_t revision)
{
	struct owner_call call;
	struct slot *slot;

	if (!owner_call_end(arg, &call))
		return;
	slot = call.slot;
	slot->claim_response_at = owner_now();
	slot->own_key_held = !err && call.number == slot->owner->store_lease;
	slot->own_key_lease = call.number;
	if (slot->state == SLOT_OWNED) {
		if (!err)
			owner_slot_reclaimed(slot);
		return;
	}
	if (slot->own_key_held)
		commit_epoch(slot);
	else
		give_up(slot, OWNER_STORE_RETRY_MS);
}

static void claim(struct slot *slot)
{
	struct owner *owner = slot->owner;
	struct owner_call *call = owner_call_new(owner, slot);
	char *text = render_claim(slot);
	char key[32];

	call->number = owner->store_lease;
	store_put_if(owner->daemon->store,
		     owner_format_key(key, sizeof(key), "own", slot->number), 0,
		     text, strlen(text), owner->store_lease, on_claimed, call);
	free(text);
}

static void on_loaded(void *arg, int err, const struct store_item *items,
		      size_t count)
{
	struct owner_call call;
	struct slot *slot;

	if (!owner_call_end(arg, &call))
		return;
	slot = call.slot;
	if (err) {
		give_up(slot, OWNER_STORE_RETRY_MS);
		return;
	}
	slot->partition = partition_new(slot->number);
	err = partstore_replay(slot->partition, items, count, owner_now(),
			       &slot->stored);
	if (err && err != ERR_NOT_FOUND) {
		log_event(EV_PARTITION_INVALID,
			  "partition=%u revision=%lld bytes=%zu "
			  "log_entries=%u",
			  slot->number, (long long)slot->stored.revision,
			  slot->stored.snapshot_bytes,
			  slot->stored.log_entries);
		give_up(slot, OWNER_INVALID_RETRY_MS);
		return;
	}
	if (slot->own_key_held)
		commit_epoch(slot);
	else if (slot->owner->store_lease)
		claim(slot);
	else
		/* Without a lease the key would outlive this process. */
		give_up(slot, OWNER_STORE_RETRY_MS);
}

static void load(struct slot *slot)
{
	slot->state = SLOT_LOADING;
	partstore_read(slot->owner->daemon->store, slot->number, on_loaded,
		       owner_call_new(slot->owner, slot));
}

void owner_takeover_tick(struct slot *slot, struct mstime now)
{
	if (mstime_before(now, slot->retry_at))
		return;
	if (slot->state == SLOT_OWNED && slot->must_reclaim) {
		slot->retry_at = mstime_add(now, OWNER_STORE_RETRY_MS);
		claim(slot);
		return;
	}
	if (slot->state != SLOT_FREE)
		return;
	if (slot->own_key_held ||
	    (slot->own_key_absent &&
	     mstime_diff(now, slot->own_key_absent_at) >= claim_delay(slot)))
		load(slot);
}

void owner_takeover_done(struct slot *slot)
{
	struct owner *owner = slot->owner;
	const struct partition *partition = slot->partition;
	uint32_t active = partition->counts[JOB_STARTING] +
			  partition->counts[JOB_RUNNING] +
			  partition->counts[JOB_STOPPING];

	slot->state = SLOT_OWNED;
	owner_counter_increment(owner, OWNER_TAKEOVERS);
	log_event(EV_PARTITION_TAKEN,
		  "partition=%u epoch=%" PRIu64
		  " queued=%u active=%u holdover_ms=%lld "
		  "reason=\"no owner in the store\"",
		  slot->number, partition->epoch, partition->counts[JOB_QUEUED],
		  active, (long long)slot->lease.previous_holdover_ms);
	owner_send_epoch_to_agents(slot);
	owner_tick_soon(owner);
}

void owner_takeover_restart(struct slot *slot)
{
	give_up(slot, 0);
}
