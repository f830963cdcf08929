#include "dispatch.h"
#include "dispatch_internal.h"

/*
 * Runs that leave workers whose time is up. Load patterns: a release, in which
 * workers leave one after the other while all others are busy; a worker that
 * is emptied; a failure domain that is evacuated under a burst.
 */

/*
 * A start that was ordered before an evacuation is not repeated after it. One
 * that the worker has not confirmed by then is taken back, long before the
 * evacuation has to be in force.
 */
#define CONFIRM_WITHIN_MS 1000
/* Moves from a worker at a time: each takes room elsewhere. */
#define EVACUATIONS_AT_ONCE 2
#define DEPARTURES_AT_ONCE 4
/*
 * A run that ends within this time stays at an evacuated worker: to move it
 * costs the time since its last checkpoint and another start.
 */
#define EVACUATE_LEFT_MIN_MS 4000
/* Time to stop a run and to take over its checkpoint. */
#define STOP_MS 1000
/*
 * So long before a worker may end, what will not end there in time is stopped
 * even without another place: a run that is lost with its worker keeps its
 * task from running until its lease has expired.
 */
#define LAST_STOP_MS 1500

static const struct workflow_step *step_of(const struct run *run)
{
	return &run->workflow->spec.steps[run->id.step];
}

/* The worker is expected to be at work on the task. */
static int is_at_work(const struct run *run)
{
	return run->workflow && !run->is_orphan && !run->is_evicted &&
	       run->state != RUN_UNSAVED && !workflow_is_final(run->workflow);
}

/* Other tasks of the run's step that are not at work. */
static uint32_t count_unavailable(const struct run *run)
{
	const struct occurrence *occurrence =
		workflow_occurrence(run->workflow, run->id.occurrence);
	const struct step_state *state;
	uint32_t i, count = 0;

	if (!occurrence)
		return 0;
	state = &occurrence->steps[run->id.step];
	for (i = 0; i < step_of(run)->task_count; i++) {
		const struct workflow_task *task = workflow_step_task(state, i);
		const struct run *other = task ? task->current_run : NULL;

		if (i != run->id.index &&
		    (!other || !other->is_active || other->is_evicted ||
		     other->progress < 100))
			count++;
	}
	return count;
}

static int may_interrupt(const struct run *run)
{
	const struct workflow_step *step = step_of(run);
	uint32_t max = step->max_unavailable;

	/* Without a limit of its own, a step loses one task at a time. */
	return !step->long_running || count_unavailable(run) < (max ? max : 1);
}

/*
 * A run that never ends by itself would be lost with its worker, and so would
 * one that needs more time than the worker has left.
 */
static int must_leave(const struct dispatch *dispatch,
		      const struct worker *worker, const struct run *run,
		      struct mstime now)
{
	const struct workflow_step *step = step_of(run);

	if (step->gang)
		return 0;
	if (step->long_running)
		return 1;
	return run->is_active && worker->leaves_at.ms &&
	       mstime_diff(worker->leaves_at, now) <
		       dispatch_left_ms(dispatch, run, DURATION_MEDIAN, now) +
			       STOP_MS;
}

/* The worker goes on, so only what would stay there long has to go. */
static int should_evacuate(const struct dispatch *dispatch,
			   const struct run *run, struct mstime now)
{
	const struct workflow_step *step = step_of(run);

	if (step->gang || !run->is_active)
		return 0;
	if (step->long_running)
		return may_interrupt(run);
	return step->checkpointing &&
	       dispatch_left_ms(dispatch, run, DURATION_MEDIAN, now) >
		       EVACUATE_LEFT_MIN_MS;
}

static void evict(struct dispatch *dispatch, struct run *run,
		  const char *reason)
{
	dispatch_evict(run);
	dispatch_emit(dispatch, DISPATCH_RUN_EVICTED, run->workflow,
		      run->worker, &run->id, run->number, reason);
}

static int count_evicted(const struct worker *worker)
{
	const struct list *pos;
	int count = 0;

	list_for_each (pos, &worker->runs) {
		const struct run *run = list_entry(pos, struct run, node);

		count += run->is_active && run->is_evicted;
	}
	return count;
}

static int ends_soon(const struct worker *worker, struct mstime now)
{
	return worker->leaves_at.ms &&
	       mstime_diff(worker->leaves_at, now) < LAST_STOP_MS;
}

/* Whether the run, which has to leave, leaves now. */
static int leaves_now(struct dispatch *dispatch, const struct run *run,
		      int moving, struct mstime now)
{
	if (ends_soon(run->worker, now))
		return 1;
	if (!step_of(run)->long_running && moving >= DEPARTURES_AT_ONCE)
		return 0;
	return dispatch_can_relocate(dispatch, run, now);
}

static void move_from_leaving(struct dispatch *dispatch, struct worker *worker,
			      struct mstime now)
{
	int moving = count_evicted(worker);
	struct list *pos;

	list_for_each (pos, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (!is_at_work(run) ||
		    !must_leave(dispatch, worker, run, now) ||
		    !leaves_now(dispatch, run, moving, now))
			continue;
		evict(dispatch, run, "worker-leaves");
		moving++;
	}
}

/* Whether its start is withdrawn: the worker may not have got it. */
static int must_withdraw(const struct run *run, struct mstime now)
{
	if (!run->workflow || run->is_orphan || run->is_evicted ||
	    run->is_active)
		return 0;
	if (!run->is_ordered)
		return 1;
	/* Until then it is not known what a former scheduler has started. */
	if (!run->worker->has_current_lists)
		return 0;
	return !run->start_sent_at.ms ||
	       mstime_diff(now, run->start_sent_at) >= CONFIRM_WITHIN_MS;
}

static void move_from_evacuated(struct dispatch *dispatch,
				struct worker *worker, struct mstime now)
{
	int moving = count_evicted(worker);
	struct list *pos;

	list_for_each (pos, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (must_withdraw(run, now)) {
			evict(dispatch, run, "evacuated");
			continue;
		}
		if (moving >= EVACUATIONS_AT_ONCE || !is_at_work(run) ||
		    !should_evacuate(dispatch, run, now) ||
		    !dispatch_can_relocate(dispatch, run, now))
			continue;
		evict(dispatch, run, "evacuated");
		moving++;
	}
}

void dispatch_move_departing(struct dispatch *dispatch, struct worker *worker,
			     struct mstime now)
{
	if (worker->is_evacuated)
		move_from_evacuated(dispatch, worker, now);
	if (worker->state == WORKER_LEAVING)
		move_from_leaving(dispatch, worker, now);
}

void dispatch_set_evacuations(struct dispatch *dispatch,
			      const struct evacuations *evacuations,
			      struct mstime now)
{
	struct list *pos;

	dispatch->now = now;
	dispatch->evacuations = *evacuations;
	list_for_each (pos, &dispatch->workers) {
		struct worker *worker = list_entry(pos, struct worker, node);

		worker->is_evacuated = (unsigned)evacuations_contain(
			evacuations, worker->domain);
		dispatch_move_departing(dispatch, worker, now);
	}
}
