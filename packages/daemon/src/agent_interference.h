#ifndef CATKINHILL_AGENT_INTERFERENCE_H
#define CATKINHILL_AGENT_INTERFERENCE_H

#include "agent_state.h"

/*
 * NAME
 *	agent_interference - throttles and evicts tasks that slow down the
 *	service or use more than the worker's capacity
 *
 * NOTES
 *	A run that resumes an evicted job is not evicted for evict_pause_ms
 *	after it is accepted here. The earlier eviction was before that, perhaps
 *	at another agent, so the job is not evicted twice within the pause.
 */

/* Updates throttles and evictions; called after each list of the worker. */
void agent_interference_tick(struct agent *agent);

#endif
