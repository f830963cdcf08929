#ifndef CATKINHILL_OWNERLEASE_H
#define CATKINHILL_OWNERLEASE_H

#include <stddef.h>
#include <stdint.h>

#include "mstime.h"

/*
 * NAME
 *	ownerlease - how long an owner may extend grants, and when a run at a
 *	silent agent counts as stopped
 *
 * NOTES
 *	Durations in milliseconds on this process's monotonic clock. An agent
 *	renews a task's lease (L) only while its grant (T) is valid; it
 *	counts T from the time at which it sent the acknowledged report, the
 *	owner from its own response, so the owner's bound is the later one.
 *	An owner extends grants for H after its last confirmed renewal at the
 *	store. Where the reports of an agent have not shown that it follows
 *	this epoch, an earlier owner may have extended its grants until H has
 *	passed since the takeover. The wait is T + 2 L + margin: the second L
 *	covers an agent that is paused between its check of the grant and the
 *	renewal that it sends, which the worker accepts while the lease before
 *	it lasts.
 *
 * SOURCE
 *	Gray and Cheriton, Leases, SOSP 1989.
 */
struct lease_durations {
	int64_t lease_ms;     /* L */
	int64_t grant_ms;     /* T */
	int64_t holdover_ms;  /* H */
	int64_t store_ttl_ms; /* of the store lease that ownership is tied to */
};

/* Covers rounding, and the time a stop takes at the worker. */
#define LEASE_MARGIN_MS 2000

struct owner_lease {
	uint64_t epoch;
	struct mstime taken_at;
	struct mstime renewed_at; /* last confirmed renewal, as it was sent */
	/*
	 * H of the owners before, as found in the partition's value; they may
	 * use it until it has passed since taken_at. 0 if there was none.
	 */
	int64_t previous_holdover_ms;
	int64_t own_holdover_ms; /* H under which it extends grants */
	int released;
};

/* Contact of one agent with one owner; see owner_lease_contact(). */
struct agent_contact {
	int epoch_confirmed;	   /* reported under this owner's epoch */
	struct mstime extended_at; /* latest response that extends grants */
};

void owner_lease_init(struct owner_lease *lease, uint64_t epoch,
		      int64_t earlier_holdover_ms,
		      const struct lease_durations *bounds, struct mstime now);

/*
 * Follows the H of the configuration. A lower H holds at once. A higher one
 * holds only after a commit has written it, because the next owner waits for
 * what is written.
 */
void owner_lease_lower_holdover(struct owner_lease *lease,
				const struct lease_durations *bounds);
void owner_lease_commit_holdover(struct owner_lease *lease,
				 const struct lease_durations *bounds,
				 int64_t written_holdover_ms);

/*
 * Ends all extensions for a graceful stop, so that the next owner need not
 * wait for this one's H.
 */
void owner_lease_release(struct owner_lease *lease);

void owner_lease_renewed(struct owner_lease *lease, struct mstime sent_at);

/*
 * RETURN VALUE
 *	1 while the owner may extend the grants of an agent.
 *
 * known	the owner extended grants of this incarnation of it before
 *
 * NOTES
 *	Once its store lease may have expired, an owner extends nothing for
 *	incarnations that it does not know. A restarted agent has forgotten
 *	the epoch that it followed; without this rule it could follow an owner
 *	in holdover while the new owner counts it as adopted and then silent.
 */
int owner_lease_may_extend(const struct owner_lease *lease,
			   const struct lease_durations *bounds, int known,
			   struct mstime now);

/*
 * H that the next owner has to wait for, to be written with the partition:
 * the larger of the configuration's and of that of owners before, until
 * theirs has passed since the takeover.
 */
int64_t owner_lease_holdover(const struct owner_lease *lease,
			     const struct lease_durations *bounds,
			     struct mstime now);

/* A report under epoch arrived, or the owner extends the agent's grants. */
void agent_contact_report(struct agent_contact *contact, uint64_t report_epoch,
			  const struct owner_lease *lease, struct mstime now);
void agent_contact_extend(struct agent_contact *contact, struct mstime now);

/*
 * The time from which a run counts as stopped when the agent stays silent.
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
 * The time from which a run counts as stopped at an agent that reports, but
 * no longer lists the run: an agent renews only what it lists.
 */
struct mstime owner_lease_unlisted_at(const struct lease_durations *bounds,
				      struct mstime listed_at);

/*
 * Delay after which an entry claims an unowned partition: 0 for the entry
 * that ranks first by rendezvous hashing, rank * OWNER_CLAIM_STEP_MS for
 * others. self need not be among the entries.
 */
#define OWNER_CLAIM_STEP_MS 3000
int64_t owner_claim_delay_ms(uint32_t partition, const char *self,
			     const char *const *entries, size_t count);

#endif
