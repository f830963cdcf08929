#include "dispatch.h"
#include "dispatch_internal.h"

/* A figure of the worker covers half a second. */
#define FIGURES_INTERVAL_MS 400
/* Until then the figure of a run covers time before its start. */
#define SETTLE_MS 700
/* Shares of the latency target. */
#define SLOW_SHARE 0.90
#define FAST_SHARE 0.70
/* Neighbours held less to blame than the worst one by this factor go on. */
#define GUILT_FACTOR 0.5
#define PACE_FACTOR 0.35
/* Runs that are this likely to do harm are halted, not slowed. */
#define GUILT_CERTAIN 0.5
#define PACE_STEP 25
/* A run that is slowed for so long is moved if another worker can take it. */
#define EVICT_AFTER_MS 800
#define EVICT_PACE 60
/* Work without a checkpoint up to this progress is given up. */
#define EVICT_PROGRESS_MAX 15
/* After so long, any work without a checkpoint is given up. */
#define RESTART_AFTER_MS 3000
/* Moves at once from one worker. */
#define EVICT_AT_ONCE 3

static double latency_share(const struct run *run)
{
	return (double)run->load / run->latency_target;
}

static int is_serving(const struct run *run, struct mstime now)
{
	return run->latency_target && run->is_active &&
	       mstime_diff(now, run->active_at) > SETTLE_MS;
}

static int collect_fills(const struct worker *worker, struct neighbour *fills,
			 struct mstime now)
{
	const struct list *pos;
	int i, count = 0;

	list_for_each (pos, &worker->runs) {
		const struct run *run = list_entry(pos, struct run, node);

		if (!run->fills || !run->is_active ||
		    mstime_diff(now, run->active_at) < SETTLE_MS)
			continue;
		for (i = 0; i < count && fills[i].image != run->image; i++)
			;
		if (i == COLOCATION_NEIGHBOURS_MAX)
			break;
		if (i == count) {
			fills[count].image = run->image;
			fills[count++].cores = 0;
		}
		fills[i].cores += run->load / 1000.0;
	}
	return count;
}

double dispatch_harm(struct dispatch *dispatch, const struct worker *worker,
		     int image, struct mstime now)
{
	const struct list *pos;
	double worst = 0;

	list_for_each (pos, &worker->runs) {
		const struct run *run = list_entry(pos, struct run, node);
		double harm;

		if (!run->latency_target)
			continue;
		harm = colocation_harm(dispatch->colocation, image, run->image,
				       now);
		if (harm > worst)
			worst = harm;
	}
	return worst;
}

/* Harm of an image to the serving runs that are over their target. */
static double guilt(struct dispatch *dispatch, const struct worker *worker,
		    int image, struct mstime now)
{
	const struct list *pos;
	double worst = 0;

	list_for_each (pos, &worker->runs) {
		const struct run *run = list_entry(pos, struct run, node);
		double harm;

		if (!is_serving(run, now) || latency_share(run) < SLOW_SHARE)
			continue;
		harm = colocation_harm(dispatch->colocation, image, run->image,
				       now);
		if (harm > worst)
			worst = harm;
	}
	return worst;
}

static void set_pace(struct dispatch *dispatch, struct run *run, uint32_t pace,
		     struct mstime now)
{
	if (run->pace == pace)
		return;
	if (run->pace == 100)
		run->slowed_at = now;
	run->pace = pace;
	if (dispatch->note_fn) {
		struct dispatch_note note = { .kind = NOTE_SLOWED,
					      .workflow = run->workflow,
					      .worker = run->worker,
					      .task = &run->id,
					      .run = run->number,
					      .reason = "latency",
					      .value = pace };

		dispatch->note_fn(dispatch->note_arg, &note);
	}
}

static void slow_guilty(struct dispatch *dispatch, struct worker *worker,
			struct mstime now)
{
	struct list *pos;
	double worst = 0;

	list_for_each (pos, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);
		double share;

		if (!run->fills || !run->pace)
			continue;
		share = guilt(dispatch, worker, run->image, now);
		if (share > worst)
			worst = share;
	}
	list_for_each (pos, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);
		double share;

		if (!run->fills || !run->pace)
			continue;
		share = guilt(dispatch, worker, run->image, now);
		if (share >= GUILT_CERTAIN)
			set_pace(dispatch, run, 0, now);
		else if (share >= worst * GUILT_FACTOR)
			set_pace(dispatch, run,
				 (uint32_t)(run->pace * PACE_FACTOR), now);
	}
}

static void raise_all(struct dispatch *dispatch, struct worker *worker,
		      struct mstime now)
{
	struct list *pos;

	list_for_each (pos, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);
		uint32_t pace = run->pace + PACE_STEP;

		if (run->fills && dispatch_harm(dispatch, worker, run->image,
						now) < GUILT_CERTAIN)
			set_pace(dispatch, run, pace < 100 ? pace : 100, now);
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

		if (!run->fills || run->pace > EVICT_PACE ||
		    mstime_diff(now, run->slowed_at) < EVICT_AFTER_MS ||
		    !can_move(run, now) || !dispatch_has_place(dispatch, run, now))
			continue;
		run->is_evicted = 1;
		dispatch_note(dispatch, NOTE_EVICTED, run->workflow, worker,
			      &run->id, run->number, "latency");
		if (++count == EVICT_AT_ONCE)
			return;
	}
}

void dispatch_pace(struct dispatch *dispatch, struct worker *worker,
		   struct mstime now)
{
	struct neighbour fills[COLOCATION_NEIGHBOURS_MAX];
	const struct list *pos;
	double worst = 0;
	int count;

	if (mstime_diff(now, worker->figures_at) < FIGURES_INTERVAL_MS)
		return;
	worker->figures_at = now;
	count = collect_fills(worker, fills, now);
	list_for_each (pos, &worker->runs) {
		const struct run *run = list_entry(pos, struct run, node);

		if (!is_serving(run, now))
			continue;
		colocation_observe(dispatch->colocation, run->image,
				   latency_share(run), fills, count, now);
		if (latency_share(run) > worst)
			worst = latency_share(run);
	}
	if (worst > SLOW_SHARE)
		slow_guilty(dispatch, worker, now);
	else if (worst < FAST_SHARE)
		raise_all(dispatch, worker, now);
	evict_slowed(dispatch, worker, now);
}
