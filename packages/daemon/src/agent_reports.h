#ifndef CATKINHILL_AGENT_REPORTS_H
#define CATKINHILL_AGENT_REPORTS_H

#include "agent_state.h"

/*
 * NAME
 *	agent_reports - reports of the runs of each partition to its owner
 *
 * NOTES
 *	A report goes to the entry that has shown the highest epoch of the
 *	partition. While no such entry is known or answers, it goes to all:
 *	the owner answers and so becomes known.
 */
struct agent_owner {
	struct list node;
	uint32_t partition;
	uint64_t epoch;
	struct agent_link *link; /* NULL when its link was given up */
};

void agent_reports_start(struct agent *agent);
void agent_reports_stop(struct agent *agent);

/* The entry has shown that it owns the partition under this epoch. */
void agent_reports_set_owner(struct agent_link *link, uint32_t partition,
			     uint64_t epoch);

#endif
