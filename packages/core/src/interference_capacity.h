#ifndef CATKINHILL_INTERFERENCE_CAPACITY_H
#define CATKINHILL_INTERFERENCE_CAPACITY_H

#include "interference.h"

/*
 * NAME
 *	interference_capacity - limits tasks when their usage is over the
 *	capacity of the worker
 */

/* Sets and restores the CPU caps of tasks that use more than declared. */
void capacity_check_cpu(const struct interference_sample *sample,
			struct interference_task **tasks, size_t count,
			struct mstime now);

/*
 * Throttles tasks that use more memory than declared to the floor while the
 * total is over the capacity.
 *
 * RETURN VALUE
 *	Index of the task to be evicted, or count if there is none.
 */
size_t capacity_check_memory(struct interference *in,
			     const struct interference_sample *sample,
			     struct interference_task **tasks, size_t count);

#endif
