#include "dispatch.h"
#include "dispatch_internal.h"

/* Until then the figure of a run covers time before its start. */
#define SETTLE_MS 600
/* Share of a figure that is carried over from the one before. */
#define CARRIED 0.15
/* Lowest share of its target that a latency is taken for. */
#define LATENCY_LEAST 0.05
/* Pressure that a figure does not show. */
#define NEGLIGIBLE 0.02
/* Highest latency to plan for beside filling runs, in shares of the target. */
#define LATENCY_AIM 0.90
/* Above this share a figure counts as a missed target, since it is rough. */
#define LATENCY_HIGH 0.90

static double latency_share(const struct run *run)
{
	return (double)run->latency_or_cpu / run->latency_target_ms;
}

/* A figure holds a part of the one before. */
static double present_latency(const struct run *run)
{
	double present = ((double)run->latency_or_cpu -
			  CARRIED * run->previous_latency_ms) /
			 (1 - CARRIED);
	double share = run->previous_latency_ms
			       ? present / run->latency_target_ms
			       : latency_share(run);

	return share > LATENCY_LEAST ? share : LATENCY_LEAST;
}

static int is_settled(const struct run *run, struct mstime now)
{
	return run->is_active && mstime_diff(now, run->active_at) > SETTLE_MS;
}

static int collect_fills(const struct worker *worker, struct neighbour *fills)
{
	const struct list *pos;
	int i, count = 0;

	list_for_each (pos, &worker->runs) {
		const struct run *run = list_entry(pos, struct run, node);

		if (!run->best_effort || !run->is_active)
			continue;
		for (i = 0; i < count && fills[i].image != run->image; i++)
			;
		if (i == COLOCATION_NEIGHBOURS_MAX)
			break;
		if (i == count) {
			fills[count].image = run->image;
			fills[count++].cores = 0;
		}
		fills[i].cores += run->latency_or_cpu / 1000.0;
	}
	return count;
}

static double own_pressure(const struct dispatch *dispatch,
			   const struct run *serving)
{
	return colocation_own_pressure(dispatch->colocation, serving->image,
				       serving->load_group);
}

double dispatch_pressure(const struct dispatch *dispatch,
			 const struct run *fill, const struct run *serving,
			 uint32_t pace)
{
	return colocation_weight(dispatch->colocation, fill->image,
				 serving->image) *
	       fill->need.cpu_milli / 1000.0 * pace / 100.0;
}

static double pressure_aim(const struct dispatch *dispatch,
			   const struct run *serving)
{
	return colocation_pressure_at(dispatch->colocation, serving->image,
				      LATENCY_AIM);
}

/* Pressure of a filling run at full pace, with a margin. */
static double pressure_upper(const struct dispatch *dispatch,
			     const struct run *fill, const struct run *serving)
{
	return colocation_weight_upper(dispatch->colocation, fill->image,
				       serving->image) *
	       fill->need.cpu_milli / 1000.0;
}

int dispatch_may_interfere(const struct dispatch *dispatch,
			   const struct run *fill, const struct run *serving)
{
	return pressure_upper(dispatch, fill, serving) > NEGLIGIBLE;
}

/* Pressure that is left below the aim, with all that fills at full pace. */
static double room_of(const struct dispatch *dispatch,
		      const struct worker *worker, const struct run *serving)
{
	const struct list *pos;
	double room = pressure_aim(dispatch, serving) -
		      own_pressure(dispatch, serving);

	list_for_each (pos, &worker->runs) {
		const struct run *fill = list_entry(pos, struct run, node);

		if (fill->best_effort)
			room -= pressure_upper(dispatch, fill, serving);
	}
	return room;
}

double dispatch_placement_excess(struct dispatch *dispatch,
				 const struct worker *worker, int image,
				 double cores)
{
	const struct list *pos;
	double worst = -1;

	list_for_each (pos, &worker->runs) {
		const struct run *serving = list_entry(pos, struct run, node);
		double added, excess;

		if (!serving->latency_target_ms)
			continue;
		added = cores * colocation_weight_upper(dispatch->colocation,
							image, serving->image);
		if (added < NEGLIGIBLE)
			continue;
		excess = added - room_of(dispatch, worker, serving);
		if (serving->over_target_since.ms && excess < added)
			excess = added;
		if (excess > worst)
			worst = excess;
	}
	return worst;
}

double dispatch_planned_excess(const struct dispatch *dispatch,
			       const struct worker *worker,
			       const struct run *serving)
{
	const struct list *pos;
	double sum = own_pressure(dispatch, serving) -
		     pressure_aim(dispatch, serving);

	list_for_each (pos, &worker->runs) {
		const struct run *fill = list_entry(pos, struct run, node);

		if (fill->best_effort)
			sum += dispatch_pressure(dispatch, fill, serving,
						 fill->pace_planned);
	}
	return sum;
}

/* Since when a run has been over its target; 0: it is not. */
static void watch_target(struct run *run, struct mstime now)
{
	if (latency_share(run) <= LATENCY_HIGH)
		run->over_target_since = mstime_from(0);
	else if (!run->over_target_since.ms)
		run->over_target_since = now;
}

void dispatch_observe_latencies(struct dispatch *dispatch,
				struct worker *worker, struct mstime now)
{
	struct neighbour fills[COLOCATION_NEIGHBOURS_MAX];
	int count = collect_fills(worker, fills);
	struct list *pos;

	worker->over_target_since = mstime_from(0);

	list_for_each (pos, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (!run->latency_target_ms || !is_settled(run, now))
			continue;
		colocation_observe(dispatch->colocation, run->image,
				   run->load_group, present_latency(run), fills,
				   count, now);
		run->previous_latency_ms = run->latency_or_cpu;
		watch_target(run, now);
		if (!run->over_target_since.ms)
			continue;
		if (!worker->over_target_since.ms ||
		    mstime_before(run->over_target_since,
				  worker->over_target_since))
			worker->over_target_since = run->over_target_since;
	}
}
