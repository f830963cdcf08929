#ifndef CATKINHILL_QUOTA_H
#define CATKINHILL_QUOTA_H

#include <stddef.h>
#include <stdint.h>

#include "config.h"
#include "message.h"

/*
 * NAME
 *	quota - sums of the resources that the runs of each team reserve
 *
 * NOTES
 *	A quota only affects the order of waiting jobs: those of a team over
 *	its quota come after those of teams under theirs, and still get
 *	resources that no other team needs. An owner knows the jobs of its own
 *	partitions only. A hash spreads jobs evenly over partitions, so the
 *	owner scales its sums by the share of partitions that it owns.
 */
struct quota;

struct quota *quota_new(void);
void quota_delete(struct quota *quota);
void quota_clear(struct quota *quota);

/* sign is 1 when a run reserves need, and -1 when it has released it. */
void quota_add(struct quota *quota, const char *team,
	       const struct resources *need, int sign);

/*
 * RETURN VALUE
 *	1 while the team's sums, scaled by partitions / owned, are below its
 *	quota in each resource that the quota limits (0: no limit), or
 *	when it has no quota.
 */
int quota_has_headroom(const struct quota *quota, const struct config *config,
		       const char *team, uint32_t partitions, uint32_t owned);

#endif
