#ifndef CATKINHILL_OWNERLEASE_H
#define CATKINHILL_OWNERLEASE_H

#include <stddef.h>
#include <stdint.h>

#include "mstime.h"

/*
 * NAME
 *	ownerlease - how long an owner may extend grants, and from when a run
 *	at an unresponsive agent counts as stopped
 *
 * NOTES
 *	Durations are in milliseconds on this process's monotonic clock. An
 *	agent renews the lease of a task (L) only while its grant (T) is valid.
 *	The agent counts T from the time at which it sent the acknowledged
 *	report, the owner from the time of its response, so the grant ends
 *	later by the owner's count. An owner extends grants for a holdover (H)
 *	after its last confirmed renewal at the store. As long as no report of
 *	an agent has shown that it follows this epoch, a previous owner may
 *	still extend its grants until H has passed since the takeover. The wait
 *	is T + 2 L + margin: the second L covers an agent that is paused after
 *	its check of the grant and before it sends the renewal, which the worker
 *	accepts while the previous lease is valid.
 *
 * SOURCE
 *	Gray and Cheriton, Leases, SOSP 1989.
 */
struct lease_durations {
	int64_t lease_ms;     /* L */
	int64_t grant_ms;     /* T */
	int64_t holdover_ms;  /* H */
	int64_t store_ttl_ms; /* of the store lease of the ownership */
};

/* Covers rounding and the time that a worker takes to stop a task. */
#define LEASE_MARGIN_MS 2000

struct owner_lease {
	uint64_t epoch;
	struct mstime taken_at;
	struct mstime renewed_at; /* when the last confirmed renewal was sent */
	/*
	 * H of previous owners, from the partition's value; they may extend
	 * grants until it has passed since taken_at. 0 if there was none.
	 */
	int64_t previous_holdover_ms;
	int64_t own_holdover_ms; /* H for which this owner extends grants */
	int released;
};

/* An owner's record of one agent; see owner_lease_stopped_at(). */
struct agent_contact {
	int epoch_confirmed;	   /* has reported under this owner's epoch */
	struct mstime extended_at; /* last response that extended grants */
};

void owner_lease_init(struct owner_lease *lease, uint64_t epoch,
		      int64_t earlier_holdover_ms,
		      const struct lease_durations *bounds, struct mstime now);

/*
 * Apply a change of H in the configuration. A lower H takes effect at once. A
 * higher one takes effect only when a commit has written it, because the next
 * owner waits for the written H.
 */
void owner_lease_lower_holdover(struct owner_lease *lease,
				const struct lease_durations *bounds);
void owner_lease_commit_holdover(struct owner_lease *lease,
				 const struct lease_durations *bounds,
				 int64_t written_holdover_ms);

/*
 * Stops extending grants, for a graceful stop, so that the next owner need not
 * wait for the H of this one.
 */
void owner_lease_release(struct owner_lease *lease);

void owner_lease_renewed(struct owner_lease *lease, struct mstime sent_at);

/*
 * RETURN VALUE
 *	1 while the owner may extend the grants of an agent.
 *
 * known	the owner has extended grants of this agent incarnation before
 *
 * NOTES
 *	Once its store lease may have expired, an owner extends no grants for
 *	incarnations that it does not know. A restarted agent no longer knows
 *	the epoch that it followed. Without this rule it could follow an owner
 *	in holdover, while the new owner, to which it had reported before the
 *	restart, takes it for unresponsive and does not wait for the holdover.
 */
int owner_lease_may_extend(const struct owner_lease *lease,
			   const struct lease_durations *bounds, int known,
			   struct mstime now);

/*
 * H for which the next owner has to wait, to be written with the partition: the
 * larger of the configured one and that of previous owners, until the latter
 * has passed since the takeover.
 */
int64_t owner_lease_holdover(const struct owner_lease *lease,
			     const struct lease_durations *bounds,
			     struct mstime now);

/* A report under report_epoch arrived; the owner extends the agent's grants. */
void agent_contact_report(struct agent_contact *contact, uint64_t report_epoch,
			  const struct owner_lease *lease, struct mstime now);
void agent_contact_extend(struct agent_contact *contact, struct mstime now);

/*
 * Time from which a run counts as stopped if no further report of the agent
 * arrives.
 *
 * inherited	the run was created under an earlier epoch
 * sent_at	when the owner last sent the run's start command, or the last
 *		report that listed the run arrived, whichever is later
 */
struct mstime owner_lease_stopped_at(const struct owner_lease *lease,
				     const struct lease_durations *bounds,
				     const struct agent_contact *contact,
				     int inherited, struct mstime sent_at);

/*
 * Time from which a run counts as stopped at an agent that reports but no
 * longer lists the run: an agent renews the leases of listed runs only.
 */
struct mstime owner_lease_unlisted_at(const struct lease_durations *bounds,
				      struct mstime listed_at);

/*
 * Delay in milliseconds after which an entry claims an unowned partition: 0 for
 * the entry that ranks first by rendezvous hashing, rank * OWNER_CLAIM_STEP_MS
 * for others. self need not be among the entries.
 */
#define OWNER_CLAIM_STEP_MS 3000
int64_t owner_claim_delay_ms(uint32_t partition, const char *self,
			     const char *const *entries, size_t count);

#endif
