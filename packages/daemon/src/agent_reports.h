#ifndef CATKINHILL_AGENT_REPORTS_H
#define CATKINHILL_AGENT_REPORTS_H

#include "agent_state.h"

/*
 * NAME
 *	agent_reports - reports of the runs of each partition to its owner
 *
 * NOTES
 *	A report goes to the entry that has shown the highest epoch of the
 *	partition. While no such entry is known, or it does not answer, the
 *	report goes to all entries; the owner becomes known by its
 *	acknowledgement.
 */
struct agent_owner {
	struct list node;
	uint32_t partition;
	uint64_t epoch;
	struct agent_link *link; /* NULL after its link was removed */
};

void agent_reports_start(struct agent *agent);
void agent_reports_stop(struct agent *agent);

/*
 * Answers an owner that asks again, with a report of no runs if none of the
 * partition is known here: the owner believes that there are some.
 */
void agent_reports_answer_owner(struct agent *agent, uint32_t partition);

/* Records that the link's entry owns the partition under this epoch. */
void agent_reports_set_owner(struct agent_link *link, uint32_t partition,
			     uint64_t epoch);

#endif
