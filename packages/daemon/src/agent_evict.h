#ifndef CATKINHILL_AGENT_EVICT_H
#define CATKINHILL_AGENT_EVICT_H

#include "agent_state.h"

/*
 * NAME
 *	agent_room - makes room for urgent runs
 *
 * NOTES
 *	An owner sees only the runs of its own partitions, the agent sees all
 *	runs at its worker. So it is the agent that stops the runs with the
 *	least lost work, whatever their partition, and keeps their room for the
 *	urgent run. That run starts when they are proved stopped.
 *
 *	A run is not stopped within the eviction pause of its job, and an agent
 *	stops at most EVICT_WINDOW_RUNS_MAX runs in EVICT_WINDOW_MS. An adopted
 *run is not stopped either: the worker does not tell whether it is urgent.
 */

/*
 * An urgent run that waits longer is refused, so that its owner tries another
 * worker. A stop that the worker answers takes two calls at most.
 */
#define AGENT_EVICT_WAIT_MAX_MS 5000

struct agent_task;

/*
 * Stops runs so that the task fits, and claims the room.
 *
 * RETURN VALUE
 *	0, or ERR_FULL when no runs may be stopped that make enough room.
 */
int agent_evict_for(struct agent_task *task);

/*
 * Takes the claimed room if the runs before have left it; refuses the task
 * when it has waited for AGENT_EVICT_WAIT_MAX_MS.
 *
 * RETURN VALUE
 *	1 when the task may not start.
 */
int agent_evict_await_capacity(struct agent_task *task, struct mstime now);

/* RETURN VALUE: what the runs have reserved that may be stopped now. */
struct resources agent_evict_available(const struct agent *agent);

#endif
