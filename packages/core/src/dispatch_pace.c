#include "dispatch.h"
#include "dispatch_internal.h"

/* A figure of the worker covers half a second. */
#define FIGURES_INTERVAL_MS 400
/*
 * After so long over a target, what may be the cause is halted, and then all
 * that fills: a target must not be missed for 4 s beside filling work, and
 * figures and orders take up to 1 s.
 */
#define HALT_SUSPECTS_MS 1500
#define HALT_ALL_MS 2500
/*
 * Batch work finishes: a run that finds no other place goes on at a pace that
 * hardly presses, unless a target is being missed.
 */
#define PACE_LEAST 10
#define LEAST_AFTER_MS 3000
/* Raised in steps, because the model may be wrong. */
#define PACE_STEP 30
/* Smaller differences are not worth an order. */
#define PACE_DIFFERENCE 8
/* A run that is slowed for so long is moved if another worker can take it. */
#define EVICT_AFTER_MS 800
#define EVICT_PACE 60
/* Work without a checkpoint up to this progress is given up. */
#define EVICT_PROGRESS_MAX 15
/* After so long, any work without a checkpoint is given up. */
#define RESTART_AFTER_MS 3000
/* Moves at once from one worker. */
#define EVICT_AT_ONCE 3

/* Takes the excess from the run that presses most, core for core. */
static int slow_one(struct dispatch *dispatch, struct worker *worker,
		    const struct run *serving, double excess)
{
	struct run *worst = NULL;
	struct list *pos;
	double weight = 0, pressure;

	list_for_each (pos, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);
		double at;

		if (!run->best_effort || !run->pace_planned)
			continue;
		at = colocation_weight(dispatch->colocation, run->image,
				       serving->image);
		if (worst && at <= weight)
			continue;
		worst = run;
		weight = at;
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
	list_for_each (pos, &worker->runs) {
		struct run *serving = list_entry(pos, struct run, node);
		double excess;

		if (!serving->latency_target_ms)
			continue;
		while ((excess = dispatch_planned_excess(dispatch, worker,
							 serving)) > 0.001)
			if (!slow_one(dispatch, worker, serving, excess))
				break;
	}
}

static void set_pace(struct dispatch *dispatch, struct run *run, uint32_t pace,
		     struct mstime now)
{
	struct dispatch_event note = { .kind = DISPATCH_PACE_CHANGED,
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
	if (dispatch->event_fn)
		dispatch->event_fn(dispatch->event_arg, &note);
}

static void apply_pace(struct dispatch *dispatch, struct run *run,
		       struct mstime now)
{
	uint32_t pace = run->pace_planned;

	if (pace < PACE_LEAST && run->pace < 100 &&
	    !run->worker->over_target_since.ms &&
	    mstime_diff(now, run->slowed_at) > LEAST_AFTER_MS)
		pace = PACE_LEAST;
	if (pace > run->pace + PACE_STEP)
		pace = run->pace + PACE_STEP;
	if (pace + PACE_DIFFERENCE > run->pace &&
	    pace < run->pace + PACE_DIFFERENCE && pace && pace != 100)
		return;
	set_pace(dispatch, run, pace, now);
}

/* Whether the run may be the cause of a target that is missed for long. */
static int is_suspect(const struct dispatch *dispatch,
		      const struct worker *worker, const struct run *fill,
		      struct mstime now)
{
	const struct list *pos;

	list_for_each (pos, &worker->runs) {
		const struct run *serving = list_entry(pos, struct run, node);
		int64_t over_ms =
			serving->over_target_since.ms
				? mstime_diff(now, serving->over_target_since)
				: 0;

		if (!serving->latency_target_ms || over_ms < HALT_SUSPECTS_MS)
			continue;
		if (over_ms >= HALT_ALL_MS ||
		    dispatch_may_interfere(dispatch, fill, serving))
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
		if (is_suspect(dispatch, worker, run, now))
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
		mstime_diff(now, run->slowed_at) > RESTART_AFTER_MS);
}

static void evict_slowed(struct dispatch *dispatch, struct worker *worker,
			 struct mstime now)
{
	struct list *pos;
	int count = 0;

	list_for_each (pos, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (!run->best_effort || run->pace > EVICT_PACE ||
		    mstime_diff(now, run->slowed_at) < EVICT_AFTER_MS ||
		    !can_move(run, now) ||
		    !dispatch_can_relocate(dispatch, run, now))
			continue;
		run->is_evicted = 1;
		dispatch_emit(dispatch, DISPATCH_RUN_EVICTED, run->workflow,
			      worker, &run->id, run->number, "latency");
		if (++count == EVICT_AT_ONCE)
			return;
	}
}

void dispatch_update_paces(struct dispatch *dispatch, struct worker *worker,
			   struct mstime now)
{
	if (mstime_diff(now, worker->paced_at) < FIGURES_INTERVAL_MS)
		return;
	worker->paced_at = now;
	dispatch_observe_latencies(dispatch, worker, now);
	plan_paces(dispatch, worker);
	apply_paces(dispatch, worker, now);
	evict_slowed(dispatch, worker, now);
}
