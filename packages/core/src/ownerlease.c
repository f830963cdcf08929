#include "ownerlease.h"

#include <string.h>

#include "hash.h"

void owner_lease_init(struct owner_lease *lease, uint64_t epoch,
		      int64_t earlier_holdover_ms,
		      const struct lease_durations *bounds, struct mstime now)
{
	lease->epoch = epoch;
	lease->taken_at = now;
	lease->renewed_at = now;
	lease->previous_holdover_ms = earlier_holdover_ms;
	lease->own_holdover_ms = bounds->holdover_ms;
	lease->released = 0;
}

void owner_lease_release(struct owner_lease *lease)
{
	lease->released = 1;
}

void owner_lease_lower_holdover(struct owner_lease *lease,
				const struct lease_durations *bounds)
{
	if (bounds->holdover_ms < lease->own_holdover_ms)
		lease->own_holdover_ms = bounds->holdover_ms;
}

void owner_lease_commit_holdover(struct owner_lease *lease,
				 const struct lease_durations *bounds,
				 int64_t written_holdover_ms)
{
	lease->own_holdover_ms = bounds->holdover_ms;
	if (written_holdover_ms < lease->own_holdover_ms)
		lease->own_holdover_ms = written_holdover_ms;
}

void owner_lease_renewed(struct owner_lease *lease, struct mstime sent_at)
{
	lease->renewed_at = mstime_max(lease->renewed_at, sent_at);
}

int owner_lease_may_extend(const struct owner_lease *lease,
			   const struct lease_durations *bounds, int known,
			   struct mstime now)
{
	int64_t since_renewal_ms = mstime_diff(now, lease->renewed_at);

	if (lease->released ||
	    (!known && since_renewal_ms >= bounds->store_ttl_ms))
		return 0;
	return since_renewal_ms < lease->own_holdover_ms ||
	       since_renewal_ms < bounds->store_ttl_ms;
}

int64_t owner_lease_holdover(const struct owner_lease *lease,
			     const struct lease_durations *bounds,
			     struct mstime now)
{
	int64_t earlier = lease->previous_holdover_ms;
	int64_t own = lease->released ? 0 : bounds->holdover_ms;

	if (mstime_diff(now, lease->taken_at) >= earlier)
		earlier = 0;
	return earlier > own ? earlier : own;
}

void agent_contact_report(struct agent_contact *contact, uint64_t report_epoch,
			  const struct owner_lease *lease, struct mstime now)
{
	if (contact->epoch_confirmed || report_epoch != lease->epoch)
		return;
	contact->epoch_confirmed = 1;
	contact->extended_at = now;
}

void agent_contact_extend(struct agent_contact *contact, struct mstime now)
{
	contact->extended_at = mstime_max(contact->extended_at, now);
}

static int64_t stop_wait_ms(const struct lease_durations *bounds)
{
	return bounds->grant_ms + 2 * bounds->lease_ms + LEASE_MARGIN_MS;
}

struct mstime owner_lease_stopped_at(const struct owner_lease *lease,
				     const struct lease_durations *bounds,
				     const struct agent_contact *contact,
				     int inherited, struct mstime sent_at)
{
	struct mstime since = mstime_max(sent_at, contact->extended_at);

	if (inherited && !contact->epoch_confirmed)
		since = mstime_max(since,
				   mstime_add(lease->taken_at,
					      lease->previous_holdover_ms));
	return mstime_add(mstime_max(since, lease->taken_at),
			  stop_wait_ms(bounds));
}

struct mstime owner_lease_unlisted_at(const struct lease_durations *bounds,
				      struct mstime listed_at)
{
	return mstime_add(listed_at, stop_wait_ms(bounds));
}

int64_t owner_claim_delay_ms(uint32_t partition, const char *self,
			     const char *const *entries, size_t count)
{
	uint64_t key = (uint64_t)partition + 1;
	uint64_t own_weight = hash_rendezvous(key, self);
	int64_t rank = 0;
	size_t i;

	for (i = 0; i < count; i++)
		if (strcmp(entries[i], self) &&
		    hash_rendezvous(key, entries[i]) > own_weight)
			rank++;
	return rank * OWNER_CLAIM_STEP_MS;
}
