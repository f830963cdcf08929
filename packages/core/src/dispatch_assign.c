#include <stdlib.h>
#include <string.h>

#include "dispatch.h"
#include "dispatch_internal.h"
#include "mem.h"

/* Placement request; the same for all tasks of a step. */
struct placement_request {
	struct workflow *workflow;
	const struct workflow_step *step;
	uint32_t occurrence, step_index;
	int image;
	int is_forced; /* the workflow has been without a run for too long */
};

/* Cost of pressure on serving runs, relative to the load of a worker. */
#define PRESSURE_WEIGHT 0.5
/*
 * A workflow that could run and has had no run for so long gets one regardless
 * of its pressure on serving runs, which are then protected by its pace.
 */
#define STARVED_MS 1500
/* Cost of mixed serving images on a worker; of a new worker for an image. */
#define MIXED_IMAGES_COST 1.0
#define NEW_WORKER_COST 0.4
/* Preference of a serving run for a full worker over an empty one. */
#define PACKING_WEIGHT 0.1

/* A task without a worker for so long is reported, at most so often. */
#define UNPLACED_MS 2000
#define UNPLACED_SPACING_MS 250

const char *placement_block_name(enum placement_block block)
{
	static const char *const names[PLACEMENT_BLOCK_COUNT] = {
		[PLACEMENT_POSSIBLE] = "possible",
		[PLACEMENT_NOT_READY] = "not_ready",
		[PLACEMENT_NO_LISTS] = "no_lists",
		[PLACEMENT_NO_REPORT] = "no_report",
		[PLACEMENT_PENALTY] = "penalty",
		[PLACEMENT_SERVICE] = "service",
		[PLACEMENT_LABEL] = "label",
		[PLACEMENT_ROOM] = "room",
		[PLACEMENT_SPREAD] = "spread",
		[PLACEMENT_PRESSURE] = "pressure",
	};

	return names[block];
}

static int has_label(const struct worker *worker, const char *label)
{
	size_t i;

	for (i = 0; i < worker->label_count; i++)
		if (!strcmp(worker->labels[i], label))
			return 1;
	return 0;
}

static uint32_t count_siblings(const struct worker *worker,
			       const struct placement_request *request)
{
	uint32_t count = 0;
	const struct list *pos;

	list_for_each (pos, &worker->runs) {
		const struct run *run = list_entry(pos, struct run, node);

		count += run->workflow == request->workflow &&
			 run->id.step == request->step_index &&
			 run->id.occurrence == request->occurrence;
	}
	return count;
}

static uint32_t spare_cpu_milli(const struct worker *worker)
{
	return worker->capacity.cpu_milli > worker->used.cpu_milli
		       ? worker->capacity.cpu_milli - worker->used.cpu_milli
		       : 0;
}

static int cpu_fits(const struct dispatch *dispatch,
		    const struct worker *worker,
		    const struct workflow_step *step)
{
	uint64_t unused_milli;

	if (!step->best_effort)
		return step->need.cpu_milli <= spare_cpu_milli(worker);
	unused_milli = worker->capacity.cpu_milli -
		       (uint64_t)worker->used.cpu_milli *
			       dispatch->limits.assumed_usage_percent / 100;
	return (uint64_t)worker->best_effort_cpu_milli + step->need.cpu_milli <=
	       unused_milli;
}

static int fits(const struct dispatch *dispatch, const struct worker *worker,
		const struct placement_request *request)
{
	const struct workflow_step *step = request->step;

	return (cpu_fits(dispatch, worker, step) ||
		(step->best_effort && request->is_forced)) &&
	       worker->used.mem_mb + step->need.mem_mb <=
		       worker->capacity.mem_mb &&
	       worker->used.accel + step->need.accel <= worker->capacity.accel;
}

static enum placement_block worker_block(
	const struct dispatch *dispatch, const struct worker *worker,
	const struct placement_request *request, struct mstime now)
{
	const struct workflow_step *step = request->step;
	int64_t silent_ms = dispatch->limits.worker_report_timeout_ms;

	if (worker->service[0] &&
	    strcmp(worker->service, request->workflow->queue.service))
		return PLACEMENT_SERVICE;
	if (worker->state != WORKER_READY || !worker->service[0])
		return PLACEMENT_NOT_READY;
	if (!worker->has_current_lists)
		return PLACEMENT_NO_LISTS;
	if (mstime_diff(now, worker->reported_at) > silent_ms ||
	    worker->list_age_ms > silent_ms)
		return PLACEMENT_NO_REPORT;
	if (mstime_before(now, worker->penalty_until))
		return PLACEMENT_PENALTY;
	if (step->required_label && !has_label(worker, step->required_label))
		return PLACEMENT_LABEL;
	if (worker->run_count >= RUNS_MAX / 2 ||
	    !fits(dispatch, worker, request))
		return PLACEMENT_ROOM;
	if (step->max_per_worker &&
	    count_siblings(worker, request) >= step->max_per_worker)
		return PLACEMENT_SPREAD;
	return PLACEMENT_POSSIBLE;
}

/* CPU load of the worker with the task; lower is better. */
static double cpu_load_with(const struct worker *worker,
			    const struct workflow_step *step)
{
	double used = (double)worker->used.cpu_milli +
		      worker->best_effort_cpu_milli + step->need.cpu_milli;

	return used / (worker->capacity.cpu_milli + 1.0);
}

/*
 * Serving runs of the same image are packed on the same workers, so that a
 * best-effort image that slows them finds workers without them.
 */
static double image_mix_cost(const struct worker *worker,
			     const struct placement_request *request)
{
	const struct list *pos;
	int others = 0, same = 0;

	list_for_each (pos, &worker->runs) {
		const struct run *run = list_entry(pos, struct run, node);

		if (!run->latency_target_ms)
			continue;
		if (run->image == request->image)
			same++;
		else
			others++;
	}
	if (others)
		return same ? MIXED_IMAGES_COST / 2 : MIXED_IMAGES_COST;
	return same ? 0 : NEW_WORKER_COST;
}

static double placement_cost(const struct worker *worker,
			     const struct placement_request *request)
{
	const struct workflow_step *step = request->step;
	double cost = cpu_load_with(worker, step);

	if (step->latency_target_ms)
		cost = image_mix_cost(worker, request) - cost * PACKING_WEIGHT;

	if (step->data_rack && !has_label(worker, step->data_rack))
		cost += 1;
	if (step->same_rack && !count_siblings(worker, request))
		cost += 0.5;
	return cost;
}

/* Also counts in dispatch->blocks what rules the workers out. */
static struct worker *choose_worker(struct dispatch *dispatch,
				    const struct placement_request *request,
				    struct mstime now)
{
	struct worker *best = NULL;
	double best_cost = 0;
	struct list *pos;

	memset(dispatch->blocks, 0, sizeof(dispatch->blocks));
	list_for_each (pos, &dispatch->workers) {
		struct worker *worker = list_entry(pos, struct worker, node);
		enum placement_block block =
			worker_block(dispatch, worker, request, now);
		double cost, excess;

		dispatch->blocks[block]++;
		if (block != PLACEMENT_POSSIBLE)
			continue;
		cost = placement_cost(worker, request);
		if (request->step->best_effort) {
			excess = dispatch_placement_excess(
				dispatch, worker, request->image,
				request->step->need.cpu_milli / 1000.0);
			if (excess > 0 && !request->is_forced) {
				dispatch->blocks[PLACEMENT_POSSIBLE]--;
				dispatch->blocks[PLACEMENT_PRESSURE]++;
				continue;
			}
			cost += excess * PRESSURE_WEIGHT;
		}
		if (best && cost >= best_cost)
			continue;
		best = worker;
		best_cost = cost;
	}
	return best;
}

/* Reports a task that waits for a worker, with what rules the workers out. */
static void note_unplaced(struct dispatch *dispatch,
			  const struct placement_request *request,
			  uint32_t index, struct mstime now)
{
	struct workflow *workflow = request->workflow;
	struct workflow_task *task = workflow_task(
		workflow, request->occurrence, request->step_index, index);
	struct task_id id = { "", request->occurrence, request->step_index,
			      index };
	struct dispatch_event event = {
		.kind = DISPATCH_TASK_UNPLACED,
		.workflow = workflow,
		.task = &id,
		.run = task->last_run,
		.blocks = dispatch->blocks,
	};

	if (!task->unplaced_since.ms)
		task->unplaced_since = now;
	event.value = (uint32_t)mstime_diff(now, task->unplaced_since);
	if (event.value < UNPLACED_MS ||
	    mstime_diff(now, workflow->unplaced_noted_at) < UNPLACED_MS ||
	    mstime_diff(now, dispatch->unplaced_noted_at) < UNPLACED_SPACING_MS)
		return;
	workflow->unplaced_noted_at = now;
	dispatch->unplaced_noted_at = now;
	str_copy(id.job, workflow->spec.id, sizeof(id.job));
	if (dispatch->event_fn)
		dispatch->event_fn(dispatch->event_arg, &event);
}

static struct run *assign_task(struct dispatch *dispatch,
			       const struct placement_request *request,
			       uint32_t index, struct worker *worker,
			       uint32_t number)
{
	struct workflow *workflow = request->workflow;
	struct workflow_task *task = workflow_task(
		workflow, request->occurrence, request->step_index, index);
	struct task_id id = { "", request->occurrence, request->step_index,
			      index };

	str_copy(id.job, workflow->spec.id, sizeof(id.job));
	task->phase = TASK_ASSIGNED;
	task->unplaced_since = mstime_from(0);
	task->last_run = number;
	task->location = xcalloc(1, sizeof(*task->location));
	str_copy(task->location->node, worker->runner,
		 sizeof(task->location->node));
	str_copy(task->location->worker, worker->id,
		 sizeof(task->location->worker));
	task->location->worker_start_ms = worker->start_ms;
	task->current_run =
		dispatch_run_new(dispatch, worker, workflow, &id, number);
	task->current_run->worker_start_ms = worker->start_ms;
	workflow->occurrences[id.occurrence].assigned_count[id.step]++;
	return task->current_run;
}

static void commit_run(struct dispatch *dispatch, struct run *run)
{
	struct workflow *workflow = run->workflow;

	if (workflow->state == WORKFLOW_QUEUED)
		workflow->state = WORKFLOW_RUNNING;
	dispatch_mark_changed(dispatch, workflow);
	run->version = workflow->version;
	dispatch_emit(dispatch, DISPATCH_RUN_ASSIGNED, workflow, run->worker,
		      &run->id, run->number, "least-loaded");
}

static int task_ready(const struct workflow_task *task, struct mstime now)
{
	return task->phase == TASK_WAITING && !task->current_run &&
	       !mstime_before(now, task->not_before);
}

/* Assigns all tasks of the gang, with the same run number, or none. */
static int assign_gang(struct dispatch *dispatch,
		       const struct placement_request *request,
		       struct mstime now)
{
	uint32_t i, number = 0, count = request->step->task_count;
	struct run **runs;
	int placed = 0;

	for (i = 0; i < count; i++) {
		struct workflow_task *task =
			workflow_task(request->workflow, request->occurrence,
				      request->step_index, i);

		if (!task_ready(task, now))
			return 0;
		if (task->last_run > number)
			number = task->last_run;
	}
	runs = xcalloc(count, sizeof(struct run *));
	for (i = 0; i < count; i++) {
		struct worker *worker = choose_worker(dispatch, request, now);

		if (!worker) {
			note_unplaced(dispatch, request, i, now);
			break;
		}
		runs[placed++] =
			assign_task(dispatch, request, i, worker, number + 1);
	}
	for (i = 0; i < (uint32_t)placed; i++) {
		if ((uint32_t)placed == count)
			commit_run(dispatch, runs[i]);
		else
			dispatch_run_end(dispatch, runs[i], now);
	}
	free(runs);
	return (uint32_t)placed == count ? placed : 0;
}

/* Assigns one task, so that the workflow makes progress. */
static int assign_starved(struct dispatch *dispatch,
			  const struct placement_request *request,
			  struct mstime now)
{
	uint32_t i;

	for (i = 0; i < request->step->task_count; i++) {
		struct workflow_task *task =
			workflow_task(request->workflow, request->occurrence,
				      request->step_index, i);
		struct worker *worker;

		if (!task_ready(task, now))
			continue;
		worker = choose_worker(dispatch, request, now);
		if (!worker) {
			note_unplaced(dispatch, request, i, now);
			return 0;
		}
		commit_run(dispatch, assign_task(dispatch, request, i, worker,
						 task->last_run + 1));
		return 1;
	}
	return 0;
}

static int assign_step(struct dispatch *dispatch,
		       const struct placement_request *request,
		       struct mstime now)
{
	uint32_t i;
	int placed = 0;

	if (request->step->gang)
		return assign_gang(dispatch, request, now);
	if (request->is_forced)
		return assign_starved(dispatch, request, now);
	for (i = 0; i < request->step->task_count; i++) {
		struct workflow_task *task =
			workflow_task(request->workflow, request->occurrence,
				      request->step_index, i);
		struct worker *worker;

		if (!task_ready(task, now))
			continue;
		worker = choose_worker(dispatch, request, now);
		if (!worker) {
			note_unplaced(dispatch, request, i, now);
			break;
		}
		commit_run(dispatch, assign_task(dispatch, request, i, worker,
						 task->last_run + 1));
		placed++;
	}
	return placed;
}

static int occurrence_is_due(const struct dispatch *dispatch,
			     const struct workflow *workflow, uint32_t k)
{
	const struct workflow_spec *spec = &workflow->spec;

	if (!spec->interval_ms && !spec->first_due_ms)
		return 1;
	return spec->first_due_ms + (int64_t)k * spec->interval_ms <=
	       dispatch->wall_ms;
}

static int step_has_waiting(const struct workflow *workflow, uint32_t k,
			    uint32_t step)
{
	const struct occurrence *state = &workflow->occurrences[k];

	if (!state->tasks)
		return 1;
	return state->done_count[step] + state->assigned_count[step] <
	       workflow->spec.steps[step].task_count;
}

/* Also updates since when the workflow has had no run. */
static int is_starved(struct workflow *workflow, struct mstime now)
{
	uint32_t k, step, count = 0;

	for (k = 0; k < workflow->spec.occurrences; k++)
		for (step = 0; workflow->occurrences[k].tasks &&
			       step < workflow->spec.step_count;
		     step++)
			count += workflow->occurrences[k].assigned_count[step];
	if (count || !workflow->idle_since.ms)
		workflow->idle_since = now;
	return mstime_diff(now, workflow->idle_since) >= STARVED_MS;
}

static int assign_workflow(struct dispatch *dispatch, struct workflow *workflow,
			   struct mstime now)
{
	uint32_t k, step;
	int placed = 0;

	for (k = 0; k < workflow->spec.occurrences; k++) {
		if (!occurrence_is_due(dispatch, workflow, k))
			break;
		for (step = 0; step < workflow->spec.step_count; step++) {
			struct placement_request request = {
				workflow, &workflow->spec.steps[step], k, step,
				-1,	  is_starved(workflow, now)
			};

			if (!step_has_waiting(workflow, k, step) ||
			    !workflow_step_ready(workflow, k, step))
				continue;
			request.image = colocation_image_index(
				dispatch->colocation, request.step->image);
			placed += assign_step(dispatch, &request, now);
		}
	}
	return placed;
}

int dispatch_assign(struct dispatch *dispatch, struct mstime now)
{
	struct list *pos;
	int placed = 0;

	dispatch_sort_workflows(dispatch, now);
	list_for_each (pos, &dispatch->workflows)
		placed += assign_workflow(
			dispatch, list_entry(pos, struct workflow, node), now);
	return placed;
}

int dispatch_can_relocate(struct dispatch *dispatch, const struct run *run,
			  struct mstime now)
{
	struct placement_request request = {
		run->workflow,	    &run->workflow->spec.steps[run->id.step],
		run->id.occurrence, run->id.step,
		run->image,	    0
	};
	const struct worker *worker = choose_worker(dispatch, &request, now);

	return worker && worker != run->worker;
}
