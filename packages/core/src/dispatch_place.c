#include <string.h>

#include "dispatch.h"
#include "dispatch_internal.h"
#include "mem.h"

/* Cost of pressure on serving runs, relative to the load of a worker. */
#define PRESSURE_WEIGHT 0.5
/* Cost of mixed serving images on a worker; of a new worker for an image. */
#define MIXED_IMAGES_COST 1.0
#define NEW_WORKER_COST 0.4
/* Preference of a serving run for a full worker over an empty one. */
#define PACKING_WEIGHT 0.1
/* Cost of a gap that is too small for a large task afterwards. */
#define BROKEN_GAP_COST 0.5
/* A run that found no other worker is not tried again for so long. */
#define RELOCATION_RETRY_MS 250

const char *placement_block_name(enum placement_block block)
{
	static const char *const names[PLACEMENT_BLOCK_COUNT] = {
		[PLACEMENT_POSSIBLE] = "possible",
		[PLACEMENT_NOT_READY] = "not_ready",
		[PLACEMENT_EVACUATED] = "evacuated",
		[PLACEMENT_NO_LISTS] = "no_lists",
		[PLACEMENT_NO_REPORT] = "no_report",
		[PLACEMENT_PENALTY] = "penalty",
		[PLACEMENT_SERVICE] = "service",
		[PLACEMENT_LABEL] = "label",
		[PLACEMENT_ROOM] = "room",
		[PLACEMENT_SPREAD] = "spread",
		[PLACEMENT_RESERVED] = "reserved",
		[PLACEMENT_PRESSURE] = "pressure",
		[PLACEMENT_TRIAL] = "trial",
		[PLACEMENT_MEMORY] = "memory",
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

/* A worker may announce less than is in use there. */
static int cpu_fits(const struct dispatch *dispatch,
		    const struct worker *worker, const struct worker_use *use,
		    const struct workflow_step *step)
{
	int64_t spare_milli = worker->capacity.cpu_milli;

	if (step->best_effort)
		spare_milli -= (int64_t)use->used.cpu_milli *
				       dispatch->limits.assumed_usage_percent /
				       100 +
			       use->best_effort_cpu_milli;
	else
		spare_milli -= use->used.cpu_milli;
	return step->need.cpu_milli <= spare_milli;
}

static int others_fit(const struct worker *worker, const struct worker_use *use,
		      const struct workflow_step *step)
{
	return use->used.mem_mb + step->need.mem_mb <=
		       worker->capacity.mem_mb &&
	       use->used.accel + step->need.accel <= worker->capacity.accel;
}

int dispatch_use_fits(const struct dispatch *dispatch,
		      const struct worker *worker, const struct worker_use *use,
		      const struct workflow_step *step)
{
	return cpu_fits(dispatch, worker, use, step) &&
	       others_fit(worker, use, step);
}

static int fits(const struct dispatch *dispatch, const struct worker *worker,
		const struct placement_request *request)
{
	const struct workflow_step *step = request->step;
	struct worker_use use = { worker->used, worker->best_effort_cpu_milli };

	return (cpu_fits(dispatch, worker, &use, step) ||
		(step->best_effort && request->is_forced)) &&
	       others_fit(worker, &use, step);
}

int dispatch_is_spread_out(const struct worker *worker,
			   const struct placement_request *request)
{
	return request->step->max_per_worker &&
	       count_siblings(worker, request) >= request->step->max_per_worker;
}

int64_t dispatch_high_ms(const struct dispatch *dispatch,
			 const struct placement_request *request)
{
	return durations_quantile_ms(
		dispatch->durations,
		durations_key(request->workflow->queue.name, request->image),
		request->step->estimate_ms, DURATION_HIGH);
}

enum placement_block dispatch_worker_block(
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
	if (worker->is_evacuated)
		return PLACEMENT_EVACUATED;
	if (!worker->has_current_lists)
		return PLACEMENT_NO_LISTS;
	if (mstime_diff(now, worker->reported_at) > silent_ms ||
	    worker->list_age_ms > silent_ms)
		return PLACEMENT_NO_REPORT;
	if (mstime_before(now, worker->penalty_until) ||
	    (mstime_before(now, worker->job_penalty_until) &&
	     !strcmp(worker->failed_job, request->workflow->spec.id)))
		return PLACEMENT_PENALTY;
	if (step->required_label && !has_label(worker, step->required_label))
		return PLACEMENT_LABEL;
	if (worker->run_count >= RUNS_MAX / 2 ||
	    !fits(dispatch, worker, request))
		return PLACEMENT_ROOM;
	if (dispatch_is_spread_out(worker, request))
		return PLACEMENT_SPREAD;
	if (!dispatch_reservation_allows(dispatch, worker, request, now))
		return PLACEMENT_RESERVED;
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

	list_for_each (pos, &worker->serving_runs) {
		const struct run *run =
			list_entry(pos, struct run, serving_node);

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

/* Also counts in dispatch->blocks what rules the worker out. */
static int is_candidate(struct dispatch *dispatch, const struct worker *worker,
			const struct placement_request *request,
			struct mstime now, double *cost)
{
	enum placement_block block =
		dispatch_worker_block(dispatch, worker, request, now);
	double excess;

	dispatch->stats.evaluations++;
	if (block == PLACEMENT_POSSIBLE) {
		*cost = placement_cost(worker, request);
		if (!request->step->long_running &&
		    dispatch_breaks_gap(dispatch, worker, request, now))
			*cost += BROKEN_GAP_COST;
		if (request->step->best_effort) {
			excess = dispatch_placement_excess(
				dispatch, worker, request->image,
				request->step->need.cpu_milli / 1000.0, now);
			*cost += excess * PRESSURE_WEIGHT;
			if (excess > 0 && !request->is_forced)
				block = PLACEMENT_PRESSURE;
			else if (!request->is_forced &&
				 dispatch_repeats_trial(dispatch, worker,
							request->image))
				block = PLACEMENT_TRIAL;
		}
	}
	dispatch->blocks[block]++;
	return block == PLACEMENT_POSSIBLE;
}

/* Among equal costs, the worker that was seen first goes first. */
static int goes_before(const struct candidate *a, const struct candidate *b)
{
	if (a->cost < b->cost || a->cost > b->cost)
		return a->cost < b->cost;
	return a->order < b->order;
}

static void sift_down(struct dispatch *dispatch, size_t at)
{
	struct candidate *heap = dispatch->candidates;
	size_t count = dispatch->candidate_count;
	struct candidate moved = heap[at];

	for (;;) {
		size_t child = 2 * at + 1;

		if (child + 1 < count &&
		    goes_before(&heap[child + 1], &heap[child]))
			child++;
		if (child >= count || !goes_before(&heap[child], &moved))
			break;
		heap[at] = heap[child];
		at = child;
	}
	heap[at] = moved;
}

void dispatch_find_candidates(struct dispatch *dispatch,
			      const struct placement_request *request,
			      struct mstime now)
{
	struct list *pos;
	uint32_t order = 0;
	size_t i;

	memset(dispatch->blocks, 0, sizeof(dispatch->blocks));
	dispatch->candidate_count = 0;
	if (request->step->best_effort)
		dispatch_mark_trials(dispatch, request->image, now);
	list_for_each (pos, &dispatch->workers) {
		struct candidate *candidate =
			&dispatch->candidates[dispatch->candidate_count];

		candidate->worker = list_entry(pos, struct worker, node);
		candidate->order = order++;
		if (is_candidate(dispatch, candidate->worker, request, now,
				 &candidate->cost))
			dispatch->candidate_count++;
	}
	for (i = dispatch->candidate_count / 2; i-- > 0;)
		sift_down(dispatch, i);
}

struct worker *dispatch_best_candidate(const struct dispatch *dispatch)
{
	return dispatch->candidate_count ? dispatch->candidates[0].worker
					 : NULL;
}

void dispatch_update_best(struct dispatch *dispatch,
			  const struct placement_request *request,
			  struct mstime now)
{
	struct candidate *best = &dispatch->candidates[0];

	/* The trial that has begun there rules out others like it. */
	if (request->step->best_effort &&
	    dispatch_is_trial(dispatch, best->worker, request->image)) {
		dispatch_find_candidates(dispatch, request, now);
		return;
	}
	dispatch->blocks[PLACEMENT_POSSIBLE]--;
	if (!is_candidate(dispatch, best->worker, request, now, &best->cost))
		*best = dispatch->candidates[--dispatch->candidate_count];
	if (dispatch->candidate_count)
		sift_down(dispatch, 0);
}

/* Which workers can take a task then depends on the others of its step. */
static int has_class(const struct placement_request *request)
{
	return !request->step->max_per_worker && !request->step->required_label;
}

static struct placement_class class_of(const struct dispatch *dispatch,
				       const struct placement_request *request)
{
	struct placement_class class = {
		.need = request->step->need,
		.image = request->image,
		.best_effort = request->step->best_effort,
		.is_forced = request->is_forced,
	};

	str_copy(class.service, request->workflow->queue.service,
		 sizeof(class.service));
	if (!dispatch->reservations.count)
		return class;
	class.may_ignore = request->step->long_running ||
			   request->workflow->has_reservation;
	class.priority = request->workflow->queue.priority;
	class.high_ms = dispatch_high_ms(dispatch, request);
	return class;
}

/*
 * Whether no worker can take a task of the second class if none could take one
 * of the first: it needs as much or more of everything. The image only matters
 * to best-effort work, whose pressure grows with its cores; forced work may be
 * wherever other work may be.
 */
static int class_covers(const struct placement_class *a,
			const struct placement_class *b)
{
	if (a->best_effort != b->best_effort ||
	    a->need.cpu_milli > b->need.cpu_milli ||
	    a->need.mem_mb > b->need.mem_mb || a->need.accel > b->need.accel ||
	    (a->best_effort &&
	     (a->image != b->image || a->is_forced < b->is_forced)))
		return 0;
	return !strcmp(a->service, b->service);
}

/*
 * A reservation may let tasks start that end sooner or have a higher priority.
 */
static int unplaced_covers(const struct unplaced_class *unplaced,
			   const struct placement_class *class)
{
	const struct placement_class *blocked = &unplaced->class;

	if (!class_covers(blocked, class))
		return 0;
	return !unplaced->is_reserved ||
	       (!class->may_ignore && blocked->priority <= class->priority &&
		class->high_ms > 0 && blocked->high_ms <= class->high_ms);
}

const struct unplaced_class *dispatch_find_unplaced(
	const struct dispatch *dispatch, const struct unplaced_classes *classes,
	const struct placement_request *request)
{
	struct placement_class class;
	size_t i;

	if (!classes->count || !has_class(request))
		return NULL;
	class = class_of(dispatch, request);
	for (i = 0; i < classes->count; i++)
		if (unplaced_covers(&classes->items[i], &class))
			return &classes->items[i];
	return NULL;
}

void dispatch_add_unplaced(const struct dispatch *dispatch,
			   struct unplaced_classes *classes,
			   const struct placement_request *request)
{
	struct unplaced_class added;
	size_t i, kept = 0;

	if (!has_class(request))
		return;
	added.class = class_of(dispatch, request);
	added.is_reserved = dispatch->blocks[PLACEMENT_RESERVED] > 0;
	memcpy(added.blocks, dispatch->blocks, sizeof(added.blocks));
	for (i = 0; i < classes->count; i++)
		if (!unplaced_covers(&added, &classes->items[i].class))
			classes->items[kept++] = classes->items[i];
	classes->count = kept;
	if (classes->count < UNPLACED_CLASSES_MAX)
		classes->items[classes->count++] = added;
}

int dispatch_can_relocate(struct dispatch *dispatch, const struct run *run,
			  struct mstime now)
{
	struct placement_request request = {
		run->workflow,	    &run->workflow->spec.steps[run->id.step],
		run->id.occurrence, run->id.step,
		run->image,	    0
	};
	const struct worker *worker;

	if (mstime_diff(now, dispatch->not_relocatable_since) >=
	    RELOCATION_RETRY_MS) {
		dispatch->not_relocatable.count = 0;
		dispatch->not_relocatable_since = now;
	}
	if (dispatch_find_unplaced(dispatch, &dispatch->not_relocatable,
				   &request))
		return 0;
	dispatch_find_candidates(dispatch, &request, now);
	worker = dispatch_best_candidate(dispatch);
	if (!worker)
		dispatch_add_unplaced(dispatch, &dispatch->not_relocatable,
				      &request);
	return worker && worker != run->worker;
}
