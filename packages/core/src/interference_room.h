#ifndef CATKINHILL_INTERFERENCE_ROOM_H
#define CATKINHILL_INTERFERENCE_ROOM_H

#include "interference.h"

/*
 * NAME
 *	interference_room - tasks that use more than the worker has
 */

/* Sets and restores the processor caps of tasks over their declaration. */
void capacity_check_cpu(const struct interference_sample *sample,
			struct interference_task **tasks, size_t count,
			struct mstime now);

/*
 * Holds growing tasks at the floor while the memory is over the capacity.
 *
 * RETURN VALUE
 *	Index of the task to be evicted, or count.
 */
size_t capacity_check_memory(struct interference *in,
			     const struct interference_sample *sample,
			     struct interference_task **tasks, size_t count);

#endif
