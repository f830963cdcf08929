#ifndef CATKINHILL_ELECTION_H
#define CATKINHILL_ELECTION_H

#include "kv.h"
#include "loop.h"
#include "mstime.h"

/*
 * NAME
 *	election - one scheduler at a time, by a leased key in the store
 *
 * NOTES
 *	The revision at which the key was created is the scheduler's epoch;
 *	it grows with each scheduler. Every write of a scheduler compares the
 *	key's revision, so that the store refuses a former one. Candidates
 *	close to the store try first.
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

/* Ends without a callback; the lease runs out by itself. */
void election_delete(struct election *election);

/* Gives the key up, so that another candidate need not wait. */
void election_resign(struct election *election);

/* A write was refused because the key has changed. */
void election_verify(struct election *election);

/* Whether the lease is certainly held at this time. */
int election_is_leader(const struct election *election, struct mstime now);

#endif
