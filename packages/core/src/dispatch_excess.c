#include "dispatch.h"
#include "dispatch_internal.h"
#include "dispatch_room.h"

static int is_unknown(const struct run *run)
{
	return run->state == RUN_SAVED && !run->is_active && !run->is_orphan &&
	       !run->is_evicted && run->workflow;
}

static void subtract(struct resources *used, const struct resources *need,
		     int best_effort)
{
	used->mem_mb -= need->mem_mb;
	used->accel -= need->accel;
	if (!best_effort)
		used->cpu_milli -= need->cpu_milli;
}

int dispatch_exceeds_capacity(const struct worker *worker)
{
	return !resources_are_at_most(&worker->used, &worker->capacity);
}

void dispatch_evict_excess(struct dispatch *dispatch, struct worker *worker)
{
	struct resources used = worker->used;
	struct list *pos;

	if (!worker->has_current_lists || !dispatch_exceeds_capacity(worker))
		return;
	list_for_each (pos, &worker->runs) {
		const struct run *run = list_entry(pos, struct run, node);

		if (run->is_evicted)
			subtract(&used, &run->reserved, run->best_effort);
	}
	for (pos = worker->runs.prev;
	     pos != &worker->runs &&
	     !resources_are_at_most(&used, &worker->capacity);
	     pos = pos->prev) {
		struct run *run = list_entry(pos, struct run, node);

		if (!is_unknown(run))
			continue;
		subtract(&used, &run->reserved, run->best_effort);
		dispatch_emit(dispatch, DISPATCH_RUN_EVICTED, run->workflow,
			      worker, &run->id, run->number, "no-room");
		dispatch_evict(run);
	}
}
