#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "errors.h"
#include "log.h"
#include "mem.h"
#include "owner_internal.h"

/* Entries that start together are listed before the first claim. */
#define FIRST_CLAIM_MS 2000

const char *owner_format_key(char *key, size_t size, const char *prefix,
			     uint32_t number)
{
	snprintf(key, size, "%s/%u", prefix, number);
	return key;
}

void owner_slots_resize(struct owner *owner)
{
	uint32_t count = (uint32_t)owner_limit(owner, LIMIT_PARTITIONS), i;

	/* Fixed once written, so that slots never move under a call. */
	if (owner->slot_count)
		return;
	owner->slots = xcalloc(count, sizeof(*owner->slots));
	owner->slot_count = count;
	for (i = 0; i < count; i++) {
		owner->slots[i].owner = owner;
		owner->slots[i].number = i;
		list_init(&owner->slots[i].agents);
	}
}

void owner_slot_release(struct slot *slot)
{
	slot->generation++;
	slot->state = SLOT_FREE;
	slot->commit_state = COMMIT_IDLE;
	slot->commit_immediately = 0;
	slot->must_reclaim = 0;
	slot->ownership_unconfirmed = 0;
	slot->own_key_absent = 0;
	owner_agents_free(slot);
	owner_inbox_clear(slot);
	partition_delete(slot->partition);
	slot->partition = NULL;
}

void owner_slot_own_key_lost(struct slot *slot)
{
	slot->own_key_held = 0;
	if (slot->state != SLOT_OWNED)
		return;
	slot->must_reclaim = 1;
	slot->ownership_unconfirmed = 1;
	slot->own_key_lost_at = owner_now();
}

void owner_slot_reclaimed(struct slot *slot)
{
	if (!slot->must_reclaim)
		return;
	slot->must_reclaim = 0;
	partition_touch(slot->partition);
	slot->commit_immediately = 1;
}

void owner_slots_free(struct owner *owner)
{
	uint32_t i;

	for (i = 0; i < owner->slot_count; i++)
		owner_slot_release(&owner->slots[i]);
	free(owner->slots);
	owner->slots = NULL;
	owner->slot_count = 0;
}

void owner_slot_fenced(struct slot *slot, uint64_t epoch)
{
	log_event(EV_PARTITION_FENCED,
		  "partition=%u epoch=%" PRIu64 " found_epoch=%" PRIu64
		  " holder=%s",
		  slot->number, slot->partition->epoch, epoch,
		  slot->own_key_holder[0] ? slot->own_key_holder : "-");
	owner_counter_increment(slot->owner, OWNER_FENCED);
	owner_slot_release(slot);
}

/* Lease of this process, to which its keys own/N are attached. */

static void lease_lost(struct owner *owner)
{
	uint32_t i;

	owner->store_lease = 0;
	for (i = 0; i < owner->slot_count; i++)
		owner_slot_own_key_lost(&owner->slots[i]);
}

static void lease_renewed(struct owner *owner, struct mstime sent_at)
{
	uint32_t i;

	if (owner->in_holdover)
		log_event(EV_HOLDOVER, "state=ended");
	owner->in_holdover = 0;
	for (i = 0; i < owner->slot_count; i++) {
		struct slot *slot = &owner->slots[i];

		if (slot->state == SLOT_OWNED && slot->own_key_held &&
		    !slot->ownership_unconfirmed &&
		    slot->own_key_lease == owner->store_lease)
			owner_lease_renewed(&slot->lease, sent_at);
	}
}

static void lease_silent(struct owner *owner, int err)
{
	if (!owner->in_holdover)
		log_event(EV_HOLDOVER, "state=begun reason=%s holdover_ms=%lld",
			  error_name(err),
			  (long long)owner->bounds.holdover_ms);
	owner->in_holdover = 1;
}

static void on_lease(void *arg, int err, int64_t lease)
{
	struct owner_call call;
	struct owner *owner;

	if (!owner_call_end(arg, &call))
		return;
	owner = call.owner;
	if (owner->lease_call_in_flight < 0)
		return;
	owner->lease_call_in_flight = 0;
	if (err == ERR_NOT_FOUND) {
		lease_lost(owner);
		owner_tick_soon(owner);
	} else if (err) {
		lease_silent(owner, err);
	} else {
		owner->store_lease = lease;
		lease_renewed(owner, call.started_at);
	}
}

static void tick_lease(struct owner *owner, struct mstime now)
{
	struct store *store = owner->daemon->store;
	int64_t ttl_s = owner->daemon->settings->store_lease_s;
	int64_t wait = owner->store_lease && !owner->in_holdover
			       ? ttl_s * 1000 / 3
			       : OWNER_STORE_RETRY_MS;

	if (owner->lease_call_in_flight ||
	    (owner->lease_attempt_at.ms &&
	     mstime_diff(now, owner->lease_attempt_at) < wait))
		return;
	owner->lease_attempt_at = now;
	owner->lease_call_in_flight = 1;
	if (owner->store_lease)
		store_lease_keepalive(store, owner->store_lease, on_lease,
				      owner_call_new(owner, NULL));
	else if (!owner->stopping)
		store_lease_grant(store, ttl_s, on_lease,
				  owner_call_new(owner, NULL));
	else
		owner->lease_call_in_flight = 0;
}

void owner_set_entries(struct owner *owner, const struct entry_list *entries)
{
	size_t i;

	owner->entries_known = 1;
	free(owner->entry_ids);
	owner->entry_ids =
		xcalloc(entries->count + 1, sizeof(*owner->entry_ids));
	owner->entry_count = entries->count;
	for (i = 0; i < entries->count; i++)
		str_copy(owner->entry_ids[i], entries->items[i].id, ID_SIZE);
}

/* Scan of own/ */

static void see_holder(struct slot *slot, const struct store_item *item)
{
	const struct owner *owner = slot->owner;
	json_t *root =
		json_loadb((const char *)item->value, item->len, 0, NULL);
	const char *entry = "", *incarnation = "";
	char own[24];

	if (root)
		json_unpack(root, "{s:s, s:s}", "entry", &entry, "incarnation",
			    &incarnation);
	str_copy(slot->own_key_holder, entry, sizeof(slot->own_key_holder));
	snprintf(own, sizeof(own), "%016" PRIx64, owner->daemon->incarnation);
	slot->own_key_held = !strcmp(entry, owner->daemon->settings->id) &&
			     !strcmp(incarnation, own);
	if (slot->own_key_held) {
		slot->own_key_lease = owner->store_lease;
		owner_slot_reclaimed(slot);
	}
	json_decref(root);
	slot->own_key_absent = 0;
}

static void see_absent(struct slot *slot, struct mstime scan_at)
{
	if (slot->state == SLOT_LOADING)
		return;
	slot->own_key_holder[0] = '\0';
	owner_slot_own_key_lost(slot);
	if (slot->state != SLOT_OWNED && !slot->own_key_absent) {
		slot->own_key_absent = 1;
		slot->own_key_absent_at = scan_at;
	}
}

/*
 * Another entry holds own/N of a partition that this one works on. A commit
 * finds out which of the two the partition's value belongs to.
 */
static void check_foreign(struct slot *slot)
{
	if (slot->state != SLOT_OWNED || slot->own_key_held)
		return;
	owner_slot_own_key_lost(slot);
	slot->must_reclaim = 0;
	partition_touch(slot->partition);
	slot->commit_immediately = 1;
}

static void on_scan(void *arg, int err, const struct store_item *items,
		    size_t count)
{
	struct owner_call call;
	struct owner *owner;
	size_t i = 0;
	uint32_t n;
	char *present;

	if (!owner_call_end(arg, &call))
		return;
	owner = call.owner;
	owner->scan_in_flight = 0;
	if (err)
		return;
	present = xcalloc(owner->slot_count, 1);
	for (i = 0; i < count; i++) {
		n = (uint32_t)strtoul(items[i].key + strlen("own/"), NULL, 10);
		if (n >= owner->slot_count)
			continue;
		present[n] = 1;
		if (!mstime_before(owner->slots[n].claim_response_at,
				   call.started_at))
			continue;
		see_holder(&owner->slots[n], &items[i]);
		check_foreign(&owner->slots[n]);
	}
	for (n = 0; n < owner->slot_count; n++)
		if (!present[n] &&
		    mstime_before(owner->slots[n].claim_response_at,
				  call.started_at))
			see_absent(&owner->slots[n], call.started_at);
	free(present);
}

static void tick_scan(struct owner *owner, struct mstime now)
{
	if (owner->scan_in_flight ||
	    (owner->last_scan_at.ms &&
	     mstime_diff(now, owner->last_scan_at) < OWNER_SCAN_INTERVAL_MS))
		return;
	owner->scan_in_flight = 1;
	owner->last_scan_at = now;
	store_list(owner->daemon->store, "own/", OWNER_LIST_MAX, on_scan,
		   owner_call_new(owner, NULL));
}

void owner_store_tick(struct owner *owner)
{
	struct mstime now = owner_now();
	uint32_t i;

	tick_lease(owner, now);
	if (owner->stopping)
		return;
	tick_scan(owner, now);
	if (!owner->store_lease || !owner->entries_known ||
	    mstime_diff(now, owner->started_at) < FIRST_CLAIM_MS)
		return;
	for (i = 0; i < owner->slot_count; i++)
		owner_takeover_tick(&owner->slots[i], now);
}
