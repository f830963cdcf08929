#include <string.h>

#include "dispatch.h"
#include "dispatch_internal.h"

static void note_longest(int64_t *longest_ms, struct mstime since,
			 struct mstime now)
{
	int64_t ms = since.ms ? mstime_diff(now, since) : 0;

	if (ms > *longest_ms)
		*longest_ms = ms;
}

void dispatch_count_waiting(const struct dispatch *dispatch,
			    struct dispatch_waiting *waiting, struct mstime now)
{
	const struct list *pos;

	memset(waiting, 0, sizeof(*waiting));
	waiting->reservations = (uint32_t)dispatch->reservations.count;
	waiting->reserved_ms = dispatch_reserved_wait_ms(dispatch, now);
	list_for_each (pos, &dispatch->workflows) {
		const struct workflow *workflow =
			list_entry(pos, struct workflow, node);

		if (workflow->block)
			waiting->by_block[workflow->block]++;
		waiting->unsaved += !list_empty(&workflow->unsaved_node);
		note_longest(&waiting->look_ms, workflow->looked_at, now);
		if (!workflow->assigned_total)
			note_longest(&waiting->idle_ms, workflow->idle_since,
				     now);
	}
}
