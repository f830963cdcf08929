#ifndef CATKINHILL_QUOTA_H
#define CATKINHILL_QUOTA_H

#include <stddef.h>
#include <stdint.h>

#include "config.h"
#include "message.h"

/*
 * NAME
 *	quota - what each team's runs reserve
 *
 * NOTES
 *	A quota only orders waiting jobs: a team over its quota comes after
 *	teams under theirs and still gets room that nobody else wants. An
 *	owner sees the jobs of its own partitions only; jobs are spread evenly
 *	over partitions by hash, so it scales its sums by the share of
 *	partitions that it owns.
 */
struct quota;

struct quota *quota_new(void);
void quota_delete(struct quota *quota);
void quota_clear(struct quota *quota);

/* sign is 1 when a run starts to reserve and -1 when it has ended. */
void quota_add(struct quota *quota, const char *team,
	       const struct resources *need, int sign);

/*
 * RETURN VALUE
 *	1 while the team's sums, scaled by partitions / owned, are below its
 *	quota in each resource that the quota bounds (0 is no bound), or
 *	when it has no quota.
 */
int quota_has_headroom(const struct quota *quota, const struct config *config,
		       const char *team, uint32_t partitions, uint32_t owned);

#endif
