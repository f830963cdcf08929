#include <inttypes.h>
#include <stdlib.h>

#include "errors.h"
#include "log.h"
#include "owner_internal.h"

static void committed(struct slot *slot, uint64_t version, int64_t revision)
{
	struct owner *owner = slot->owner;

	slot->commit = COMMIT_IDLE;
	slot->revision = revision;
	if (mstime_before(slot->unproved_at, slot->commit_at))
		slot->unproved = 0;
	partition_committed(slot->partition, version);
	owner_counters_commit(owner, mstime_diff(owner_now(), slot->commit_at));
	/*
	 * A value that this owner could write proves that no later owner had
	 * taken over by then, so it counts as a renewal.
	 */
	owner_lease_renewed(&slot->lease, slot->commit_at);
	/* An earlier attempt may have written a lower bound than the last. */
	if (version == slot->commit_version)
		owner_lease_committed(&slot->lease, &owner->bounds,
				      slot->commit_holdover_ms);
	if (slot->state == SLOT_LOADING) {
		owner_takeover_done(slot);
		return;
	}
	owner_agents_committed(slot);
	owner_tick_soon(owner);
}

static void lost_to(struct slot *slot, uint64_t epoch)
{
	owner_count(slot->owner, OWNER_CONFLICTS);
	if (slot->state == SLOT_LOADING && epoch < slot->partition->epoch)
		owner_takeover_again(slot);
	else
		owner_slot_fenced(slot, epoch);
}

static void settle(struct slot *slot, const struct store_item *item)
{
	uint64_t epoch = 0, seq = 0, version = 0;
	int own = partition_value_writer(item->value, item->len,
					 slot->owner->writer, &epoch, &seq,
					 &version);

	if (own == 1 && epoch == slot->partition->epoch)
		committed(slot, version, item->revision);
	else if (item->revision == slot->revision)
		slot->commit = COMMIT_IDLE; /* not written; commit again */
	else
		lost_to(slot, epoch);
}

static void on_read_back(void *arg, int err, const struct store_item *item)
{
	struct owner_call call;
	struct slot *slot;

	if (!owner_call_end(arg, &call))
		return;
	slot = call.slot;
	if (!err) {
		settle(slot, item);
		return;
	}
	slot->commit = COMMIT_UNSETTLED;
	if (err != ERR_NOT_FOUND)
		return;
	if (!slot->revision)
		slot->commit = COMMIT_IDLE;
	else
		lost_to(slot, UINT64_MAX);
}

static void read_back(struct slot *slot)
{
	char key[32];

	slot->commit = COMMIT_READING;
	store_get(slot->owner->daemon->store,
		  owner_key(key, sizeof(key), "part", slot->number),
		  on_read_back, owner_call_new(slot->owner, slot));
}

/*
 * A conflict is read back as well: the value may be an earlier attempt of
 * this process that took effect after its answer was lost.
 */
static void on_committed(void *arg, int err, int64_t revision)
{
	struct owner_call call;
	struct slot *slot;

	if (!owner_call_end(arg, &call))
		return;
	slot = call.slot;
	if (!err) {
		committed(slot, slot->commit_version, revision);
		return;
	}
	if (err == ERR_UNAVAILABLE) {
		slot->commit = COMMIT_IDLE;
		return;
	}
	owner_count(slot->owner, OWNER_UNSETTLED);
	log_event(EV_COMMIT_UNSETTLED,
		  "partition=%u epoch=%" PRIu64 " version=%" PRIu64
		  " reason=%s",
		  slot->number, slot->partition->epoch, slot->commit_version,
		  error_name(err));
	read_back(slot);
}

void owner_commit_now(struct slot *slot)
{
	struct owner *owner = slot->owner;
	struct partition *partition = slot->partition;
	struct mstime now = owner_now();
	char key[32], *data;
	size_t len;

	slot->commit_at = now;
	slot->urgent = 0;
	partition->holdover_ms =
		owner_lease_holdover(&slot->lease, &owner->bounds, now);
	if (partition_encode(partition, owner->writer, now, &data, &len)) {
		log_event(EV_PARTITION_INVALID,
			  "partition=%u reason=\"value over %d bytes\"",
			  slot->number, PARTITION_VALUE_MAX);
		return;
	}
	slot->commit = COMMIT_SENT;
	slot->commit_version = partition->version;
	slot->commit_holdover_ms = partition->holdover_ms;
	store_put_if(owner->daemon->store,
		     owner_key(key, sizeof(key), "part", slot->number),
		     slot->revision, data, len, 0, on_committed,
		     owner_call_new(owner, slot));
	free(data);
}

void owner_commit_tick(struct slot *slot)
{
	int64_t since;

	if (!slot->partition || slot->commit == COMMIT_SENT ||
	    slot->commit == COMMIT_READING)
		return;
	since = mstime_diff(owner_now(), slot->commit_at);
	if (slot->commit == COMMIT_UNSETTLED) {
		if (since >= OWNER_RETRY_MS)
			read_back(slot);
		return;
	}
	if (!partition_dirty(slot->partition))
		return;
	/* Not before the claim, whose answer comes first. */
	if (slot->state == SLOT_LOADING && !slot->claimed)
		return;
	if (slot->urgent || since >= OWNER_COMMIT_MS)
		owner_commit_now(slot);
}
