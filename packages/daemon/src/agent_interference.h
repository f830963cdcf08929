#ifndef CATKINHILL_AGENT_INTERFERENCE_H
#define CATKINHILL_AGENT_INTERFERENCE_H

#include "agent_state.h"

/*
 * NAME
 *	agent_interference - throttles and evicts tasks that slow the service
 *	or outgrow the worker
 *
 * NOTES
 *	A run that resumes an evicted job is protected for evict_pause_ms from
 *	its acceptance here. The eviction was before that, perhaps at another
 *	agent, so the job is not evicted twice within the pause.
 */

/* Decides after each list of the worker. */
void agent_interference_tick(struct agent *agent);

#endif
