#include "owner.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "hash.h"
#include "log.h"
#include "mem.h"
#include "owner_internal.h"
#include "sysclock.h"

/* Groups the changes of several messages into one tick. */
#define TICK_SOON_MS 20
/* Bound of the commits at a graceful stop. */
#define STOP_COMMIT_MS 5000
/* Agents learn of lower bounds within this time. */
#define CONFIG_SPREAD_MS 20000

struct mstime owner_now(void)
{
	return sysclock_now();
}

int64_t owner_limit(const struct owner *owner, enum limit_key key)
{
	return owner->daemon->config.limits[key];
}

void owner_tick_soon(struct owner *owner)
{
	loop_timer_start(owner->tick_timer, TICK_SOON_MS);
}

static int64_t max_i64(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/*
 * Bounds that the configuration lowers are kept as they were until no agent
 * can hold a grant or lease under the old ones.
 */
static void update_bounds(struct owner *owner, struct mstime now)
{
	struct lease_durations *before = &owner->previous_bounds;
	int64_t lease_ms = owner_limit(owner, LIMIT_TASK_LEASE_MS);
	int64_t grant_ms = owner_limit(owner, LIMIT_GRANT_MS);
	struct lease_durations *bounds = &owner->bounds;

	if (lease_ms < bounds->lease_ms || grant_ms < bounds->grant_ms) {
		if (mstime_before(owner->previous_bounds_until, now))
			*before = *bounds;
		owner->previous_bounds_until = mstime_add(
			now, before->grant_ms + 2 * before->lease_ms +
				     CONFIG_SPREAD_MS);
	}
	bounds->lease_ms = lease_ms;
	bounds->grant_ms = grant_ms;
	bounds->holdover_ms = owner_limit(owner, LIMIT_HOLDOVER_MS);
	bounds->store_ttl_ms = owner->daemon->settings->store_lease_s * 1000;
	if (mstime_before(now, owner->previous_bounds_until)) {
		bounds->lease_ms = max_i64(lease_ms, before->lease_ms);
		bounds->grant_ms = max_i64(grant_ms, before->grant_ms);
	}
}

static void on_config_read(void *arg, int err, const struct store_item *item)
{
	struct owner_call call;

	if (!owner_call_end(arg, &call))
		return;
	call.owner->config_read_in_flight = 0;
	if (err == ERR_NOT_FOUND)
		call.owner->config_known = 1;
}

/* The number of partitions is not to be taken from defaults by mistake. */
static int config_ready(struct owner *owner)
{
	if (owner->daemon->config.version)
		owner->config_known = 1;
	if (!owner->config_known && !owner->config_read_in_flight) {
		owner->config_read_in_flight = 1;
		store_get(owner->daemon->store, "cfg", on_config_read,
			  owner_call_new(owner, NULL));
	}
	return owner->config_known;
}

static void tick_slots(struct owner *owner, struct mstime now)
{
	uint32_t i;

	for (i = 0; i < owner->slot_count; i++) {
		struct slot *slot = &owner->slots[i];

		if (slot->state != SLOT_OWNED)
			continue;
		owner_lease_lower_holdover(&slot->lease, &owner->bounds);
		if (!owner->stopping)
			owner_inbox_tick(slot);
		owner_agents_tick(slot);
		partition_expire(slot->partition, OWNER_ENDED_JOB_RETENTION_MS,
				 OWNER_ENDED_JOBS_MAX, now);
	}
}

static void finish_stop(struct owner *owner)
{
	stopped_fn fn = owner->on_stopped;

	owner->on_stopped = NULL;
	if (fn)
		fn(owner->on_stopped_arg);
}

static void on_revoked(void *arg, int err, int64_t lease)
{
	struct owner_call call;

	if (owner_call_end(arg, &call))
		finish_stop(call.owner);
}

static int is_committed(const struct owner *owner)
{
	uint32_t i;

	for (i = 0; i < owner->slot_count; i++)
		if (owner->slots[i].state == SLOT_OWNED &&
		    (partition_dirty(owner->slots[i].partition) ||
		     owner->slots[i].commit_state != COMMIT_IDLE))
			return 0;
	return 1;
}

/* Revoking the lease deletes all keys own/N of this entry in one call. */
static void tick_stop(struct owner *owner, struct mstime now)
{
	uint32_t i;

	if (!owner->on_stopped || owner->lease_call_in_flight < 0)
		return;
	if (!is_committed(owner) && mstime_before(now, owner->stop_deadline))
		return;
	for (i = 0; i < owner->slot_count; i++) {
		struct slot *slot = &owner->slots[i];

		if (slot->state == SLOT_OWNED)
			log_event(EV_PARTITION_RELEASED,
				  "partition=%u epoch=%" PRIu64 " committed=%d",
				  slot->number, slot->partition->epoch,
				  !partition_dirty(slot->partition));
		if (slot->state != SLOT_FREE)
			owner_slot_release(slot);
	}
	if (!owner->store_lease) {
		finish_stop(owner);
		return;
	}
	owner->lease_call_in_flight = -1;
	store_lease_revoke(owner->daemon->store, owner->store_lease, on_revoked,
			   owner_call_new(owner, NULL));
}

static void commit_slots(struct owner *owner)
{
	uint32_t i;

	for (i = 0; i < owner->slot_count; i++)
		if (owner->slots[i].state != SLOT_FREE)
			owner_commit_tick(&owner->slots[i]);
}

static void on_tick(void *arg)
{
	struct owner *owner = arg;
	struct mstime now = owner_now();

	loop_timer_start(owner->tick_timer, OWNER_TICK_MS);
	if (!config_ready(owner))
		return;
	update_bounds(owner, now);
	if (!owner->stopping)
		owner_slots_resize(owner);
	owner_store_tick(owner);
	worker_index_build(owner->workers, owner);
	tick_slots(owner, now);
	if (!owner->stopping)
		owner_schedule(owner);
	commit_slots(owner);
	owner_counters_update_gauges(owner);
	if (owner->stopping)
		tick_stop(owner, now);
}

static void on_slice(void *arg)
{
	struct owner *owner = arg;
	int more = 0;
	uint32_t i;

	if (owner->stopping && !owner->slot_count) {
		finish_stop(owner);
		return;
	}
	for (i = 0; i < owner->slot_count; i++)
		if (owner->slots[i].state == SLOT_OWNED)
			more |= owner_inbox_process_batch(&owner->slots[i]);
	if (more)
		loop_timer_start(owner->inbox_timer, 0);
}

struct owner *owner_new(struct daemon *daemon, struct transport *transport,
			const struct membership *membership)
{
	struct owner *owner = xcalloc(1, sizeof(*owner));

	owner->daemon = daemon;
	owner->transport = transport;
	owner->membership = membership;
	snprintf(owner->writer, sizeof(owner->writer), "%s/%016" PRIx64,
		 daemon->settings->id, daemon->incarnation);
	list_init(&owner->store_calls);
	owner->started_at = owner_now();
	owner->tick_timer = loop_timer_new(daemon->loop, on_tick, owner);
	owner->inbox_timer = loop_timer_new(daemon->loop, on_slice, owner);
	rng_seed(&owner->rng, daemon->incarnation);
	owner->estimate = estimate_new();
	owner->quota = quota_new();
	owner->health = taskhealth_new();
	owner->workers = worker_index_new();
	owner->counters = owner_counters_new(&daemon->counters);
	owner_api_register(owner);
	if (daemon->store)
		owner_tick_soon(owner);
	return owner;
}

void owner_delete(struct owner *owner)
{
	if (!owner)
		return;
	owner_calls_detach(owner);
	owner_slots_free(owner);
	loop_timer_delete(owner->tick_timer);
	loop_timer_delete(owner->inbox_timer);
	estimate_delete(owner->estimate);
	quota_delete(owner->quota);
	taskhealth_delete(owner->health);
	worker_index_delete(owner->workers);
	owner_counters_delete(owner->counters);
	free(owner->entry_ids);
	free(owner);
}

void owner_on_change(struct owner *owner)
{
	if (owner->daemon->store)
		owner_tick_soon(owner);
}

void owner_stop(struct owner *owner, stopped_fn fn, void *arg)
{
	uint32_t i;

	owner->stopping = 1;
	for (i = 0; i < owner->slot_count; i++) {
		if (owner->slots[i].state != SLOT_OWNED)
			continue;
		owner_lease_release(&owner->slots[i].lease);
		partition_touch(owner->slots[i].partition);
		owner->slots[i].commit_immediately = 1;
	}
	owner->stop_deadline = mstime_add(owner_now(), STOP_COMMIT_MS);
	owner->on_stopped = fn;
	owner->on_stopped_arg = arg;
	if (owner->slot_count)
		owner_tick_soon(owner);
	else
		loop_timer_start(owner->inbox_timer, 0);
}

void owner_log_job_end(const struct slot *slot, const struct job *job)
{
	log_event(EV_JOB_ENDED,
		  "partition=%u job=%s state=%s run=%" PRIu64
		  " agent=%s reason=\"%s\"",
		  slot->number, job->id, job_state_name(job->state), job->run,
		  job->agent[0] ? job->agent : "-", job->reason);
}
