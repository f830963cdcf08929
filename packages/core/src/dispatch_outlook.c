#include <string.h>

#include "dispatch.h"
#include "dispatch_internal.h"

static int takes_work(const struct dispatch *dispatch,
		      const struct worker *worker, struct mstime now)
{
	int64_t silent_ms = dispatch->limits.worker_report_timeout_ms;

	return worker->state == WORKER_READY && worker->service[0] &&
	       !worker->is_evacuated && worker->has_current_lists &&
	       mstime_diff(now, worker->reported_at) <= silent_ms &&
	       worker->list_age_ms <= silent_ms;
}

/* CPU of the tasks that last at a worker, which they don't give back. */
static int64_t lasting_milli(const struct worker *worker)
{
	int64_t milli = 0;
	struct list *pos;

	list_for_each (pos, &worker->runs) {
		const struct run *run = list_entry(pos, struct run, node);

		if (run->workflow && !run->best_effort &&
		    run->workflow->spec.steps[run->id.step].long_running)
			milli += run->reserved.cpu_milli;
	}
	return milli;
}

static void add_worker(const struct dispatch *dispatch, struct outlook *outlook,
		       const struct worker *worker)
{
	struct outlook_service *service = outlook_get(outlook, worker->service);
	int64_t capacity = worker->capacity.cpu_milli;
	int64_t used = worker->used.cpu_milli;
	int64_t spare = capacity - worker->best_effort_cpu_milli -
			used * dispatch->limits.assumed_usage_percent / 100;
	int64_t left = capacity - lasting_milli(worker);

	if (!service)
		return;
	service->capacity_milli += left > 0 ? left : 0;
	if (capacity - used > service->free_milli)
		service->free_milli = capacity - used;
	if (spare > service->spare_milli)
		service->spare_milli = spare;
}

static int64_t step_work(const struct workflow_step *step,
			 const struct step_state *state)
{
	int64_t count = step->task_count;

	if (step->long_running)
		return 0;
	if (state)
		count -= state->done_count + state->assigned_count;
	return count * step->need.cpu_milli * step->estimate_ms;
}

/* Of later occurrences only what has begun is counted. */
static int64_t waiting_work(const struct workflow *workflow)
{
	const struct workflow_spec *spec = &workflow->spec;
	int64_t work = 0;
	size_t i, k;

	for (i = 0; i < workflow->begun_count; i++)
		for (k = 0; k < spec->step_count; k++)
			work += step_work(&spec->steps[k],
					  &workflow->begun[i]->steps[k]);
	if (workflow->begun_count || spec->occurrences > 1 ||
	    spec->first_due_ms)
		return work;
	for (k = 0; k < spec->step_count; k++)
		work += step_work(&spec->steps[k], NULL);
	return work;
}

static void add_workflow(struct outlook *outlook,
			 const struct workflow *workflow, struct mstime now)
{
	struct outlook_service *service =
		outlook_get(outlook, workflow->queue.service);
	int64_t age_ms = mstime_diff(now, workflow->submitted_at);
	int64_t work = waiting_work(workflow);

	if (!service || work <= 0)
		return;
	outlook_add_waiting(service, workflow->queue.priority,
			    workflow->urgency > URGENCY_ON_TIME,
			    dispatch_objective_ms(workflow) - age_ms, work);
}

/*
 * block is what rules most workers out. Where these are lost or penalized, the
 * others may still lack room.
 */
static int lacks_room(const struct dispatch *dispatch)
{
	const struct list *pos;

	list_for_each (pos, &dispatch->workflows) {
		const struct workflow *workflow =
			list_entry(pos, struct workflow, node);

		if (workflow->block != PLACEMENT_POSSIBLE &&
		    workflow->block != PLACEMENT_MEMORY)
			return 1;
	}
	return 0;
}

void dispatch_get_outlook(const struct dispatch *dispatch,
			  struct outlook *outlook, struct mstime now)
{
	const struct list *pos;

	memset(outlook, 0, sizeof(*outlook));
	if (!lacks_room(dispatch))
		return;
	list_for_each (pos, &dispatch->workers) {
		const struct worker *worker =
			list_entry(pos, struct worker, node);

		if (takes_work(dispatch, worker, now))
			add_worker(dispatch, outlook, worker);
	}
	list_for_each (pos, &dispatch->workflows)
		add_workflow(outlook, list_entry(pos, struct workflow, node),
			     now);
}
