#include "dispatch.h"
#include "dispatch_internal.h"

/* Until then the measurement of a run covers time before its start. */
#define SETTLE_MS 600
/* Fraction of a reported latency that comes from the previous one. */
#define CARRIED 0.15
/* Lower bound of a latency, as a fraction of its target. */
#define LATENCY_LEAST 0.05
/* Pressure that is too small to be measured. */
#define NEGLIGIBLE 0.02
/* Highest planned latency with best-effort runs, as a fraction of the target.
 */
#define LATENCY_AIM 0.90
/* Above this fraction the target counts as missed, since latencies are rough.
 */
#define LATENCY_HIGH 0.90

static double latency_share(const struct run *run)
{
	return (double)run->load / run->latency_target;
}

/* Removes the part of the reported latency that comes from the previous one. */
static double present_latency(const struct run *run)
{
	double present = ((double)run->load - CARRIED * run->former_load) /
			 (1 - CARRIED);
	double share = run->former_load ? present / run->latency_target
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

		if (!run->fills || !run->is_active)
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

static double own_pressure(const struct dispatch *dispatch,
			   const struct run *serving)
{
	return colocation_own(dispatch->colocation, serving->image,
			      serving->own_load);
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
	return colocation_pressure(dispatch->colocation, serving->image,
				   LATENCY_AIM);
}

/* Upper bound of the pressure of a best-effort run at full pace. */
static double pressure_upper(const struct dispatch *dispatch,
			     const struct run *fill, const struct run *serving)
{
	return colocation_weight_upper(dispatch->colocation, fill->image,
				       serving->image) *
	       fill->need.cpu_milli / 1000.0;
}

int dispatch_may_press(const struct dispatch *dispatch, const struct run *fill,
		       const struct run *serving)
{
	return pressure_upper(dispatch, fill, serving) > NEGLIGIBLE;
}

/* Remaining pressure up to the target, with best-effort runs at full pace. */
static double room_of(const struct dispatch *dispatch,
		      const struct worker *worker, const struct run *serving)
{
	const struct list *pos;
	double room = pressure_aim(dispatch, serving) -
		      own_pressure(dispatch, serving);

	list_for_each (pos, &worker->runs) {
		const struct run *fill = list_entry(pos, struct run, node);

		if (fill->fills)
			room -= pressure_upper(dispatch, fill, serving);
	}
	return room;
}

double dispatch_excess(struct dispatch *dispatch, const struct worker *worker,
		       int image, double cores)
{
	const struct list *pos;
	double worst = -1;

	list_for_each (pos, &worker->runs) {
		const struct run *serving = list_entry(pos, struct run, node);
		double added, excess;

		if (!serving->latency_target)
			continue;
		added = cores * colocation_weight_upper(dispatch->colocation,
							image, serving->image);
		if (added < NEGLIGIBLE)
			continue;
		excess = added - room_of(dispatch, worker, serving);
		if (serving->over_since.ms && excess < added)
			excess = added;
		if (excess > worst)
			worst = excess;
	}
	return worst;
}

double dispatch_excess_on(const struct dispatch *dispatch,
			  const struct worker *worker,
			  const struct run *serving)
{
	const struct list *pos;
	double sum = own_pressure(dispatch, serving) -
		     pressure_aim(dispatch, serving);

	list_for_each (pos, &worker->runs) {
		const struct run *fill = list_entry(pos, struct run, node);

		if (fill->fills)
			sum += dispatch_pressure(dispatch, fill, serving,
						 fill->pace_planned);
	}
	return sum;
}

/* Updates since when a run has been over its target. */
static void watch_target(struct run *run, struct mstime now)
{
	if (latency_share(run) <= LATENCY_HIGH)
		run->over_since = mstime_from(0);
	else if (!run->over_since.ms)
		run->over_since = now;
}

void dispatch_observe(struct dispatch *dispatch, struct worker *worker,
		      struct mstime now)
{
	struct neighbour fills[COLOCATION_NEIGHBOURS_MAX];
	int count = collect_fills(worker, fills);
	struct list *pos;

	worker->over_since = mstime_from(0);

	list_for_each (pos, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (!run->latency_target || !is_settled(run, now))
			continue;
		colocation_observe(dispatch->colocation, run->image,
				   run->own_load, present_latency(run), fills,
				   count, now);
		run->former_load = run->load;
		watch_target(run, now);
		if (!run->over_since.ms)
			continue;
		if (!worker->over_since.ms ||
		    mstime_before(run->over_since, worker->over_since))
			worker->over_since = run->over_since;
	}
}
