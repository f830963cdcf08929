#include "dispatch.h"
#include "dispatch_internal.h"

/* Each latency that a worker reports covers half a second. */
#define PACING_INTERVAL_MS 400
/*
 * After the first time over a target, best-effort runs that may be the cause
 * are paused, after the second one all of them: with best-effort runs beside
 * it, a serving run must not miss its target for 4 s, and measurements and
 * orders take up to 1 s.
 */
#define PAUSE_SUSPECTS_AFTER_MS 1500
#define PAUSE_ALL_AFTER_MS 2500
/*
 * Best-effort work must make progress: after so long below full pace, a run
 * gets at least this pace, which causes little pressure, unless a target is
 * being missed.
 */
#define PACE_MIN 10
#define PACE_MIN_AFTER_MS 3000
/* Largest rise of a pace at once, because the model may be wrong. */
#define PACE_RISE_MAX 30
/* Smaller differences are not worth an order to the runner. */
#define PACE_CHANGE_MIN 8
/* A run is moved after so long at or below this pace, if possible. */
#define EVICT_AFTER_MS 800
#define EVICT_PACE_MAX 60
/* Progress in percent that may be lost by moving without a checkpoint. */
#define EVICT_PROGRESS_MAX 15
/* After so long, any progress may be lost. */
#define EVICT_ANY_AFTER_MS 3000
/* Evictions from one worker at a time. */
#define EVICTIONS_MAX 3

/* Slows the run with the highest pressure per core by the excess. */
static int slow_worst(struct dispatch *dispatch, struct worker *worker,
		      const struct run *serving, double excess)
{
	struct run *worst = NULL;
	struct list *pos;
	double worst_weight = 0, pressure;

	list_for_each (pos, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);
		double weight;

		if (!run->best_effort || !run->pace_planned)
			continue;
		weight = colocation_weight(dispatch->colocation, run->image,
					   serving->image);
		if (worst && weight <= worst_weight)
			continue;
		worst = run;
		worst_weight = weight;
	}
	if (!worst)
		return 0;
	pressure = dispatch_pressure(dispatch, worst, serving,
				     worst->pace_planned);
	if (pressure <= excess)
		worst->pace_planned = 0;
	else
		worst->pace_planned = (uint32_t)(worst->pace_planned *
						 (1 - excess / pressure));
	return 1;
}

static void plan_paces(struct dispatch *dispatch, struct worker *worker)
{
	struct list *pos;

	list_for_each (pos, &worker->runs)
		list_entry(pos, struct run, node)->pace_planned = 100;
	list_for_each (pos, &worker->serving_runs) {
		struct run *serving = list_entry(pos, struct run, serving_node);
		double excess;

		while ((excess = dispatch_planned_excess(dispatch, worker,
							 serving)) > 0.001)
			if (!slow_worst(dispatch, worker, serving, excess))
				break;
	}
}

static void set_pace(struct dispatch *dispatch, struct run *run, uint32_t pace,
		     struct mstime now)
{
	struct dispatch_event event = { .kind = DISPATCH_PACE_CHANGED,
					.workflow = run->workflow,
					.worker = run->worker,
					.task = &run->id,
					.run = run->number,
					.reason = "latency",
					.value = pace };

	if (run->pace == pace)
		return;
	if (run->pace == 100)
		run->slowed_at = now;
	run->pace = pace;
	dispatch_note_orders(run->worker);
	if (dispatch->event_fn)
		dispatch->event_fn(dispatch->event_arg, &event);
}

static void apply_pace(struct dispatch *dispatch, struct run *run,
		       struct mstime now)
{
	uint32_t pace = run->pace_planned;

	if (pace < PACE_MIN && run->pace < 100 &&
	    !run->worker->over_target_since.ms &&
	    mstime_diff(now, run->slowed_at) > PACE_MIN_AFTER_MS)
		pace = PACE_MIN;
	if (pace > run->pace + PACE_RISE_MAX)
		pace = run->pace + PACE_RISE_MAX;
	if (pace + PACE_CHANGE_MIN > run->pace &&
	    pace < run->pace + PACE_CHANGE_MIN && pace && pace != 100)
		return;
	set_pace(dispatch, run, pace, now);
}

/* Whether the run must be paused because a target has been missed for long. */
static int must_pause(const struct dispatch *dispatch,
		      const struct worker *worker, const struct run *run,
		      struct mstime now)
{
	const struct list *pos;

	list_for_each (pos, &worker->serving_runs) {
		const struct run *serving =
			list_entry(pos, struct run, serving_node);
		int64_t over_ms =
			serving->over_target_since.ms
				? mstime_diff(now, serving->over_target_since)
				: 0;

		if (over_ms < PAUSE_SUSPECTS_AFTER_MS)
			continue;
		if (over_ms >= PAUSE_ALL_AFTER_MS ||
		    dispatch_may_interfere(dispatch, run, serving))
			return 1;
	}
	return 0;
}

static void apply_paces(struct dispatch *dispatch, struct worker *worker,
			struct mstime now)
{
	struct list *pos;

	list_for_each (pos, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (!run->best_effort)
			continue;
		if (must_pause(dispatch, worker, run, now))
			set_pace(dispatch, run, 0, now);
		else
			apply_pace(dispatch, run, now);
	}
}

static int can_move(const struct run *run, struct mstime now)
{
	const struct workflow_step *step;

	if (!run->workflow || run->is_orphan || run->is_evicted)
		return 0;
	step = &run->workflow->spec.steps[run->id.step];
	return !step->gang &&
	       (step->checkpointing || run->progress <= EVICT_PROGRESS_MAX ||
		mstime_diff(now, run->slowed_at) > EVICT_ANY_AFTER_MS);
}

static void evict_slowed(struct dispatch *dispatch, struct worker *worker,
			 struct mstime now)
{
	struct list *pos;
	int count = 0;

	list_for_each (pos, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (!run->best_effort || run->pace > EVICT_PACE_MAX ||
		    mstime_diff(now, run->slowed_at) < EVICT_AFTER_MS ||
		    !can_move(run, now) ||
		    !dispatch_can_relocate(dispatch, run, now))
			continue;
		dispatch_evict(run);
		dispatch_emit(dispatch, DISPATCH_RUN_EVICTED, run->workflow,
			      worker, &run->id, run->number, "latency");
		if (++count == EVICTIONS_MAX)
			return;
	}
}

void dispatch_update_paces(struct dispatch *dispatch, struct worker *worker,
			   struct mstime now)
{
	if (mstime_diff(now, worker->paced_at) < PACING_INTERVAL_MS)
		return;
	worker->paced_at = now;
	dispatch_observe_latencies(dispatch, worker, now);
	plan_paces(dispatch, worker);
	apply_paces(dispatch, worker, now);
	evict_slowed(dispatch, worker, now);
}
