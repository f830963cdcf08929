#ifndef CATKINHILL_AGENT_EVICT_H
#define CATKINHILL_AGENT_EVICT_H

#include "agent_state.h"

/*
 * NAME
 *	agent_evict - evicts batch runs to free capacity for urgent runs
 *
 * NOTES
 *	An owner sees only the runs of its own partitions, the agent sees all
 *	runs at its worker. So the agent stops the runs with the least lost
 *	work, whatever their partition, and reserves their capacity for the
 *	urgent run. That run starts when they are known to have stopped.
 *
 *	A run is not stopped within the eviction pause of its job, and an agent
 *	stops at most EVICT_WINDOW_RUNS_MAX runs in EVICT_WINDOW_MS. An adopted
 *	run is not stopped either: the worker does not tell whether it is
 *	urgent.
 */

/*
 * An urgent run that waits longer is refused, so that its owner tries another
 * worker. If the worker answers, a stop takes at most two calls: the one in
 * progress and the stop itself.
 */
#define AGENT_EVICT_WAIT_MAX_MS 5000

struct agent_task;

/*
 * Stops runs so that the task fits, and reserves their capacity for it.
 *
 * RETURN VALUE
 *	0, or ERR_FULL when the runs that may be stopped do not free enough.
 */
int agent_evict_for(struct agent_task *task);

/*
 * Commits the pending reservation if the stopped runs have released theirs;
 * refuses the task when it has waited for AGENT_EVICT_WAIT_MAX_MS.
 *
 * RETURN VALUE
 *	1 when the task may not start yet or is refused, 0 when it may start.
 */
int agent_evict_await_capacity(struct agent_task *task, struct mstime now);

/* RETURN VALUE: sum of the reservations of the runs that may be stopped now. */
struct resources agent_evict_available(const struct agent *agent);

#endif
