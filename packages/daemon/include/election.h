#ifndef CATKINHILL_ELECTION_H
#define CATKINHILL_ELECTION_H

#include "kv.h"
#include "loop.h"
#include "mstime.h"

/*
 * NAME
 *	election - elects the active scheduler by a leased key in the store
 *
 * NOTES
 *	The revision at which the key was created is the scheduler's epoch;
 *	it grows with each election. Every write of a scheduler compares the
 *	key's revision, so that the store rejects writes of a former one.
 *	Candidates with a low latency to the store try first.
 */
#define ELECTION_KEY "scheduler/leader"

struct election;

struct election_handlers {
	void (*on_elected)(void *arg, int64_t epoch);
	void (*on_lost)(void *arg);
};

struct election *election_new(struct loop *loop, struct kv *kv,
			      const char *candidate,
			      const struct election_handlers *handlers,
			      void *arg);

/* No callback follows; a lease that is held is left to expire. */
void election_delete(struct election *election);

/*
 * Revokes the lease, so that others need not wait until it expires. Before
 * that, while the candidate is elected, it writes last_put, unless that is
 * NULL or the store does not answer soon.
 */
void election_resign(struct election *election, const struct kv_put *last_put);

/*
 * Reads the key again after a write that failed its comparison; on_lost
 * follows if it is no longer this candidate's.
 */
void election_verify(struct election *election);

/* Whether this candidate is elected and its lease cannot have expired. */
int election_is_leader(const struct election *election, struct mstime now);

#endif
