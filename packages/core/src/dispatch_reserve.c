#include "dispatch_reserve.h"

#include <string.h>

#include "dispatch_internal.h"
#include "dispatch_room.h"
#include "mem.h"

/* A task waits for so much of its objective first, within these bounds. */
#define WAIT_OBJECTIVE_PERCENT 10
#define WAIT_MIN_MS 200
#define WAIT_MAX_MS 1000
/* A reservation ends after so long; another worker may then be better. */
#define RESERVATION_MAX_MS 10000
/* So many workers for each reservation. */
#define WORKERS_PER_RESERVATION 8
/* With one run that has to end, the order of work gives the task its room. */
#define ENDS_MIN 2
/* Searches look at the runs of all workers; updates at those of a few. */
#define SEARCH_INTERVAL_MS 100
#define UPDATE_INTERVAL_MS 100
/* A workflow or a size without success is not considered for so long. */
#define RETRY_MS 1000
/* How long gaps are kept whole after a large task has waited. */
#define LARGE_RECENT_MS 10000
static int would_slow_others(struct dispatch *dispatch,
			     const struct worker *worker,
			     const struct placement_request *request,
			     struct mstime now)
{
	const struct workflow_step *step = request->step;

	return step->best_effort && !request->is_forced &&
	       dispatch_placement_excess(dispatch, worker, request->image,
					 step->need.cpu_milli / 1000.0,
					 now) > 0;
}

/* The worker where the task can start soonest, or NULL. */
static struct worker *find_worker(struct dispatch *dispatch,
				  const struct placement_request *request,
				  struct expected_start *best,
				  struct mstime now)
{
	struct worker *found = NULL;
	struct list *pos;

	list_for_each (pos, &dispatch->workers) {
		struct worker *worker = list_entry(pos, struct worker, node);
		struct expected_start start;

		dispatch->stats.evaluations++;
		if (worker->reservation ||
		    dispatch_worker_block(dispatch, worker, request, now) !=
			    PLACEMENT_ROOM ||
		    dispatch_is_spread_out(worker, request) ||
		    !dispatch_expect_start(dispatch, worker, request->step,
					   &start, now) ||
		    (found && start.in_ms >= best->in_ms) ||
		    would_slow_others(dispatch, worker, request, now))
			continue;
		found = worker;
		*best = start;
	}
	return found;
}

static size_t reservations_max(const struct dispatch *dispatch)
{
	size_t max = dispatch->worker_count / WORKERS_PER_RESERVATION;

	if (!max)
		max = 1;
	if (max > dispatch->limits.reservations_max)
		max = dispatch->limits.reservations_max;
	return max < RESERVATIONS_MAX ? max : RESERVATIONS_MAX;
}

static int64_t wait_min_ms(const struct workflow *workflow)
{
	int64_t ms =
		dispatch_objective_ms(workflow) * WAIT_OBJECTIVE_PERCENT / 100;

	if (ms < WAIT_MIN_MS)
		return WAIT_MIN_MS;
	return ms > WAIT_MAX_MS ? WAIT_MAX_MS : ms;
}

/* The task is the first of its workflow without a worker, for long enough. */
static int has_waited(const struct placement_request *request, uint32_t index,
		      struct mstime now)
{
	const struct workflow *workflow = request->workflow;
	const struct task_id *first = &workflow->unplaced_task;

	return workflow->unplaced_since.ms && first->index == index &&
	       first->step == request->step_index &&
	       first->occurrence == request->occurrence &&
	       mstime_diff(now, workflow->unplaced_since) >=
		       wait_min_ms(workflow);
}

static int is_known_small(const struct reservations *reservations,
			  const struct resources *need, struct mstime now)
{
	return reservations->small_at.ms &&
	       mstime_diff(now, reservations->small_at) < RETRY_MS &&
	       resources_are_at_most(need, &reservations->small);
}

static int may_reserve(const struct dispatch *dispatch,
		       const struct placement_request *request, uint32_t index,
		       struct mstime now)
{
	const struct reservations *reservations = &dispatch->reservations;
	const struct workflow *workflow = request->workflow;

	if (reservations->count >= reservations_max(dispatch) ||
	    dispatch->evacuations.count || request->step->gang ||
	    workflow->has_reservation || workflow->urgency == URGENCY_OVERDUE ||
	    !has_waited(request, index, now))
		return 0;
	if (workflow->reservation_sought_at.ms &&
	    mstime_diff(now, workflow->reservation_sought_at) < RETRY_MS)
		return 0;
	if (reservations->sought_at.ms &&
	    mstime_diff(now, reservations->sought_at) < SEARCH_INTERVAL_MS)
		return 0;
	return !is_known_small(reservations, &request->step->need, now);
}

static void note_large(struct reservations *reservations,
		       const struct workflow_step *step, struct mstime now)
{
	int is_recent =
		reservations->large_at.ms &&
		mstime_diff(now, reservations->large_at) < LARGE_RECENT_MS;

	if (!is_recent ||
	    resources_are_at_most(&reservations->large, &step->need)) {
		reservations->large = step->need;
		reservations->large_is_best_effort = step->best_effort;
	}
	reservations->large_at = now;
}

static void emit(struct dispatch *dispatch, enum dispatch_event_kind kind,
		 const struct reservation *reservation, const char *reason,
		 struct mstime now)
{
	struct dispatch_event event = {
		.kind = kind,
		.workflow = reservation->workflow,
		.worker = reservation->worker,
		.task = &reservation->task,
		.reason = reason,
		.value = (uint32_t)mstime_diff(now, reservation->waits_since),
		.start_in_ms = mstime_diff(reservation->start_at, now),
	};

	if (dispatch->event_fn)
		dispatch->event_fn(dispatch->event_arg, &event);
}

static void reserve(struct dispatch *dispatch, struct worker *worker,
		    const struct placement_request *request, uint32_t index,
		    const struct expected_start *start, struct mstime now)
{
	struct reservations *reservations = &dispatch->reservations;
	struct reservation *reservation = reservations->items;

	while (reservation->worker)
		reservation++;
	*reservation = (struct reservation){
		.worker = worker,
		.workflow = request->workflow,
		.task = { "", request->occurrence, request->step_index, index },
		.made_at = now,
		.waits_since = request->workflow->unplaced_since,
		.start_at = mstime_add(now, start->in_ms),
		.use = start->use,
	};
	str_copy(reservation->task.job, request->workflow->spec.id,
		 sizeof(reservation->task.job));
	worker_use_add(&reservation->use, &request->step->need,
		       request->step->best_effort);
	reservations->count++;
	worker->reservation = reservation;
	request->workflow->has_reservation = 1;
	note_large(reservations, request->step, now);
	emit(dispatch, DISPATCH_RESERVATION_MADE, reservation, "waits-for-room",
	     now);
}

void dispatch_consider_reservation(struct dispatch *dispatch,
				   const struct placement_request *request,
				   uint32_t index, const uint32_t *blocks,
				   struct mstime now)
{
	struct reservations *reservations = &dispatch->reservations;
	struct expected_start start = { 0 };
	struct worker *worker;

	if (!blocks[PLACEMENT_ROOM] ||
	    !may_reserve(dispatch, request, index, now))
		return;
	reservations->sought_at = now;
	request->workflow->reservation_sought_at = now;
	worker = find_worker(dispatch, request, &start, now);
	if (!worker)
		return;
	if (start.ends < ENDS_MIN) {
		reservations->small = request->step->need;
		reservations->small_at = now;
		return;
	}
	reserve(dispatch, worker, request, index, &start, now);
}

static void release(struct dispatch *dispatch, struct reservation *reservation,
		    const char *reason, struct mstime now)
{
	emit(dispatch, DISPATCH_RESERVATION_ENDED, reservation, reason, now);
	reservation->worker->reservation = NULL;
	reservation->workflow->has_reservation = 0;
	reservation->worker = NULL;
	dispatch->reservations.count--;
}

/* Why the reservation is over, or NULL. */
static const char *end_reason(const struct dispatch *dispatch,
			      const struct reservation *reservation,
			      struct mstime now)
{
	const struct worker *worker = reservation->worker;
	const struct workflow *workflow = reservation->workflow;
	int64_t silent_ms = dispatch->limits.worker_report_timeout_ms;

	if (workflow_task_phase(workflow, &reservation->task) != TASK_WAITING)
		return "started";
	if (dispatch->evacuations.count)
		return "evacuation";
	if (worker->state != WORKER_READY || !worker->has_current_lists ||
	    mstime_diff(now, worker->reported_at) > silent_ms ||
	    mstime_before(now, worker->penalty_until))
		return "worker-unavailable";
	if (mstime_diff(now, reservation->made_at) >= RESERVATION_MAX_MS)
		return "expired";
	return NULL;
}

/* What has started at the worker meanwhile may be there at its start. */
static void update_use(struct dispatch *dispatch,
		       struct reservation *reservation, struct mstime now)
{
	const struct workflow_step *step =
		&reservation->workflow->spec.steps[reservation->task.step];
	struct expected_start start;
	struct mstime start_at;

	if (!dispatch_expect_start(dispatch, reservation->worker, step, &start,
				   now))
		return;
	start_at = mstime_add(now, start.in_ms);
	if (mstime_before(start_at, reservation->start_at))
		reservation->start_at = start_at;
	reservation->use = start.use;
	worker_use_add(&reservation->use, &step->need, step->best_effort);
}

void dispatch_update_reservations(struct dispatch *dispatch, struct mstime now)
{
	struct reservations *reservations = &dispatch->reservations;
	int is_due = mstime_diff(now, reservations->updated_at) >=
		     UPDATE_INTERVAL_MS;
	size_t i;

	if (!reservations->count)
		return;
	if (is_due)
		reservations->updated_at = now;
	for (i = 0; i < RESERVATIONS_MAX; i++) {
		struct reservation *reservation = &reservations->items[i];
		const char *reason;

		if (!reservation->worker)
			continue;
		reason = end_reason(dispatch, reservation, now);
		if (reason)
			release(dispatch, reservation, reason, now);
		else if (is_due)
			update_use(dispatch, reservation, now);
	}
}

static int is_owner(const struct reservation *reservation,
		    const struct placement_request *request)
{
	return reservation->workflow == request->workflow &&
	       reservation->task.step == request->step_index;
}

int dispatch_reservation_allows(const struct dispatch *dispatch,
				const struct worker *worker,
				const struct placement_request *request,
				struct mstime now)
{
	const struct reservation *reservation = worker->reservation;
	int64_t high_ms;

	if (!reservation || is_owner(reservation, request) ||
	    request->step->long_running ||
	    request->workflow->queue.priority <
		    reservation->workflow->queue.priority ||
	    dispatch_use_fits(dispatch, worker, &reservation->use,
			      request->step))
		return 1;
	high_ms = dispatch_high_ms(dispatch, request);
	return high_ms > 0 &&
	       high_ms <= mstime_diff(reservation->start_at, now);
}

int dispatch_breaks_gap(const struct dispatch *dispatch,
			const struct worker *worker,
			const struct placement_request *request,
			struct mstime now)
{
	const struct reservations *reservations = &dispatch->reservations;
	struct workflow_step large = {
		.need = reservations->large,
		.best_effort = reservations->large_is_best_effort,
	};
	struct worker_use use;

	if (!reservations->large_at.ms ||
	    mstime_diff(now, reservations->large_at) >= LARGE_RECENT_MS ||
	    resources_are_at_most(&reservations->large, &request->step->need))
		return 0;
	use = worker_use_of(worker);
	if (!dispatch_use_fits(dispatch, worker, &use, &large))
		return 0;
	worker_use_add(&use, &request->step->need, request->step->best_effort);
	return !dispatch_use_fits(dispatch, worker, &use, &large);
}

void dispatch_reservation_note_run(struct dispatch *dispatch,
				   const struct run *run, struct mstime now)
{
	size_t i;

	if (!dispatch->reservations.count)
		return;
	for (i = 0; i < RESERVATIONS_MAX; i++) {
		struct reservation *reservation =
			&dispatch->reservations.items[i];

		if (!reservation->worker)
			continue;
		if (reservation->workflow == run->workflow &&
		    reservation->task.step == run->id.step)
			release(dispatch, reservation, "started", now);
		else if (reservation->worker == run->worker)
			worker_use_add(&reservation->use, &run->reserved,
				       run->best_effort);
	}
}

void dispatch_release_workflow(struct dispatch *dispatch,
			       struct workflow *workflow, const char *reason)
{
	size_t i;

	if (!workflow || !workflow->has_reservation)
		return;
	for (i = 0; i < RESERVATIONS_MAX; i++) {
		struct reservation *reservation =
			&dispatch->reservations.items[i];

		if (reservation->worker && reservation->workflow == workflow)
			release(dispatch, reservation, reason, dispatch->now);
	}
}

void dispatch_release_worker(struct dispatch *dispatch,
			     const struct worker *worker)
{
	size_t i;

	for (i = 0; worker->reservation && i < RESERVATIONS_MAX; i++)
		if (dispatch->reservations.items[i].worker == worker)
			release(dispatch, &dispatch->reservations.items[i],
				"worker-unavailable", dispatch->now);
}

int64_t dispatch_reserved_wait_ms(const struct dispatch *dispatch,
				  struct mstime now)
{
	int64_t ms, longest_ms = 0;
	size_t i;

	for (i = 0; i < RESERVATIONS_MAX; i++) {
		const struct reservation *reservation =
			&dispatch->reservations.items[i];

		if (!reservation->worker)
			continue;
		ms = mstime_diff(now, reservation->waits_since);
		if (ms > longest_ms)
			longest_ms = ms;
	}
	return longest_ms;
}
