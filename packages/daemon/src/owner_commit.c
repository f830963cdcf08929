#include <inttypes.h>
#include <stdlib.h>

#include "errors.h"
#include "log.h"
#include "owner_internal.h"

static void log_snapshot(const struct slot *slot,
			 const struct partstore_state *stored)
{
	const char *reason = slot->state == SLOT_LOADING ? "takeover"
			     : slot->owner->stopping	 ? "stop"
							 : "log";

	owner_counter_increment(slot->owner, OWNER_SNAPSHOTS);
	log_event(EV_PARTITION_SNAPSHOT,
		  "partition=%u epoch=%" PRIu64 " seq=%" PRIu64
		  " bytes=%zu log_entries=%u log_bytes=%zu reason=%s",
		  slot->number, slot->partition->epoch,
		  slot->partition->log_seq, stored->snapshot_bytes,
		  slot->stored.log_entries, slot->stored.log_bytes, reason);
}

static void committed(struct slot *slot, uint64_t version, uint64_t seq,
		      const struct partstore_state *stored)
{
	struct owner *owner = slot->owner;

	slot->commit_state = COMMIT_IDLE;
	slot->partition->log_seq = seq;
	if (stored->revision != slot->stored.revision)
		log_snapshot(slot, stored);
	slot->stored = *stored;
	if (mstime_before(slot->own_key_lost_at, slot->commit_started_at))
		slot->ownership_unconfirmed = 0;
	partition_mark_committed(slot->partition, version);
	owner_counters_observe_commit(
		owner, mstime_diff(owner_now(), slot->commit_started_at));
	/*
	 * A value that this owner could write proves that no later owner had
	 * taken over by then, so it counts as a renewal.
	 */
	owner_lease_renewed(&slot->lease, slot->commit_started_at);
	/* An earlier attempt may have written a lower bound than the last. */
	if (version == slot->commit_version)
		owner_lease_commit_holdover(&slot->lease, &owner->bounds,
					    slot->commit_holdover_ms);
	if (slot->state == SLOT_LOADING) {
		owner_takeover_done(slot);
		return;
	}
	owner_agents_on_commit(slot);
	owner_tick_soon(owner);
}

static void lost_to(struct slot *slot, uint64_t epoch)
{
	owner_counter_increment(slot->owner, OWNER_CONFLICTS);
	if (slot->state == SLOT_LOADING && epoch < slot->partition->epoch)
		owner_takeover_restart(slot);
	else
		owner_slot_fenced(slot, epoch);
}

/*
 * The newest of snapshot and log tells the outcome: an own one of this epoch
 * shows up to which version the partition is stored.
 */
static void settle(struct slot *slot, const struct store_item *items,
		   size_t count)
{
	uint64_t epoch = 0, seq = 0, version = 0;
	struct partstore_state stored;
	int own = partstore_written_by(items, count, slot->owner->writer,
				       &stored, &epoch, &seq, &version);

	if (own == 1 && epoch == slot->partition->epoch)
		committed(slot, version, seq, &stored);
	else if (stored.revision == slot->stored.revision &&
		 seq == slot->partition->log_seq)
		slot->commit_state =
			COMMIT_IDLE; /* not written; commit again */
	else
		lost_to(slot, epoch);
}

static void on_read_back(void *arg, int err, const struct store_item *items,
			 size_t count)
{
	struct owner_call call;
	struct slot *slot;

	if (!owner_call_end(arg, &call))
		return;
	slot = call.slot;
	if (err)
		slot->commit_state = COMMIT_OUTCOME_UNKNOWN;
	else if (count)
		settle(slot, items, count);
	else if (!slot->stored.revision)
		slot->commit_state = COMMIT_IDLE;
	else
		lost_to(slot, UINT64_MAX);
}

static void read_back(struct slot *slot)
{
	slot->commit_state = COMMIT_READING_BACK;
	partstore_read(slot->owner->daemon->store, slot->number, on_read_back,
		       owner_call_new(slot->owner, slot));
}

/* What is stored after the commit in flight has taken effect. */
static void expect_stored(const struct slot *slot, int64_t revision,
			  struct partstore_state *stored)
{
	*stored = slot->stored;
	if (slot->commit_is_snapshot) {
		stored->revision = revision;
		stored->snapshot_bytes = slot->commit_bytes;
		stored->log_bytes = 0;
		stored->log_entries = 0;
	} else {
		stored->log_bytes += slot->commit_bytes;
		stored->log_entries++;
	}
}

/*
 * A conflict is read back as well: what is stored may be an earlier attempt of
 * this process that took effect after its answer was lost.
 */
static void on_committed(void *arg, int err, int64_t revision)
{
	struct partstore_state stored;
	struct owner_call call;
	struct slot *slot;

	if (!owner_call_end(arg, &call))
		return;
	slot = call.slot;
	if (!err) {
		expect_stored(slot, revision, &stored);
		committed(slot, slot->commit_version,
			  slot->partition->log_seq + !slot->commit_is_snapshot,
			  &stored);
		return;
	}
	if (err == ERR_UNAVAILABLE) {
		slot->commit_state = COMMIT_IDLE;
		return;
	}
	owner_counter_increment(slot->owner, OWNER_UNSETTLED);
	log_event(EV_COMMIT_UNSETTLED,
		  "partition=%u epoch=%" PRIu64 " version=%" PRIu64
		  " reason=%s",
		  slot->number, slot->partition->epoch, slot->commit_version,
		  error_name(err));
	read_back(slot);
}

static int needs_snapshot(const struct slot *slot)
{
	return slot->state == SLOT_LOADING || slot->owner->stopping ||
	       partstore_snapshot_due(&slot->stored);
}

/* Encodes a log entry, or a snapshot if one is due or the entry too large. */
static int encode(struct slot *slot, struct mstime now, char **data,
		  size_t *len)
{
	const char *writer = slot->owner->writer;

	slot->commit_is_snapshot = needs_snapshot(slot);
	if (!slot->commit_is_snapshot &&
	    !partition_encode_delta(slot->partition, writer, now, data, len))
		return 0;
	slot->commit_is_snapshot = 1;
	return partition_encode(slot->partition, writer, now, data, len);
}

static void send_commit(struct slot *slot, const char *data, size_t len)
{
	struct owner *owner = slot->owner;
	struct store *store = owner->daemon->store;
	struct owner_call *call = owner_call_new(owner, slot);
	uint64_t seq = slot->partition->log_seq;

	if (slot->commit_is_snapshot)
		partstore_write_snapshot(store, slot->number, &slot->stored,
					 seq, data, len, on_committed, call);
	else
		partstore_append_log(store, slot->number, &slot->stored, seq,
				     data, len, on_committed, call);
}

void owner_commit_now(struct slot *slot)
{
	struct owner *owner = slot->owner;
	struct partition *partition = slot->partition;
	struct mstime now = owner_now();
	char *data;
	size_t len;

	slot->commit_started_at = now;
	slot->commit_immediately = 0;
	partition->holdover_ms =
		owner_lease_holdover(&slot->lease, &owner->bounds, now);
	if (encode(slot, now, &data, &len)) {
		log_event(EV_PARTITION_INVALID,
			  "partition=%u reason=\"value over %d bytes\"",
			  slot->number, PARTITION_VALUE_MAX_BYTES);
		return;
	}
	slot->commit_state = COMMIT_IN_FLIGHT;
	slot->commit_version = partition->version;
	slot->commit_holdover_ms = partition->holdover_ms;
	slot->commit_bytes = len;
	owner_counter_add(owner, OWNER_COMMIT_BYTES, (int64_t)len);
	send_commit(slot, data, len);
	free(data);
}

void owner_commit_tick(struct slot *slot)
{
	int64_t since;

	if (!slot->partition || slot->commit_state == COMMIT_IN_FLIGHT ||
	    slot->commit_state == COMMIT_READING_BACK)
		return;
	since = mstime_diff(owner_now(), slot->commit_started_at);
	if (slot->commit_state == COMMIT_OUTCOME_UNKNOWN) {
		if (since >= OWNER_STORE_RETRY_MS)
			read_back(slot);
		return;
	}
	if (!partition_dirty(slot->partition))
		return;
	/* Not before the claim, whose answer comes first. */
	if (slot->state == SLOT_LOADING && !slot->own_key_held)
		return;
	if (slot->commit_immediately || since >= OWNER_COMMIT_INTERVAL_MS)
		owner_commit_now(slot);
}
