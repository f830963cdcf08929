#include "dispatch.h"
#include "dispatch_internal.h"

/* Until then the measurement of a run covers time before its start. */
#define WARMUP_MS 600
/* Fraction of a reported latency that comes from the previous one. */
#define CARRIED_SHARE 0.15
/* Lower bound of a latency, as a fraction of its target. */
#define LATENCY_SHARE_MIN 0.05
/* Pressure that is too small to be measured. */
#define PRESSURE_NEGLIGIBLE 0.02
/* Highest planned latency beside best-effort runs, relative to the target. */
#define LATENCY_SHARE_PLANNED 0.90
/* Each latency that a worker reports covers half a second. */
#define SPARE_VALID_MS 100
/* Above this fraction the target counts as missed: latencies are rough. */
#define LATENCY_SHARE_MISSED 0.90

static double latency_share(const struct run *run)
{
	return (double)run->latency_or_cpu / run->latency_target_ms;
}

/* Removes the part of the reported latency that comes from the previous one. */
static double corrected_latency_share(const struct run *run)
{
	double corrected = ((double)run->latency_or_cpu -
			    CARRIED_SHARE * run->previous_latency_ms) /
			   (1 - CARRIED_SHARE);
	double share = run->previous_latency_ms
			       ? corrected / run->latency_target_ms
			       : latency_share(run);

	return share > LATENCY_SHARE_MIN ? share : LATENCY_SHARE_MIN;
}

static int is_measured(const struct run *run, struct mstime now)
{
	return run->is_active && mstime_diff(now, run->active_at) > WARMUP_MS;
}

static int collect_neighbours(const struct worker *worker,
			      struct neighbour *neighbours)
{
	const struct list *pos;
	int i, count = 0;

	list_for_each (pos, &worker->runs) {
		const struct run *run = list_entry(pos, struct run, node);

		if (!run->best_effort || !run->is_active)
			continue;
		for (i = 0; i < count && neighbours[i].image != run->image; i++)
			;
		if (i == COLOCATION_NEIGHBOURS_MAX)
			break;
		if (i == count) {
			neighbours[count].image = run->image;
			neighbours[count++].cores = 0;
		}
		neighbours[i].cores += run->latency_or_cpu / 1000.0;
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
			 const struct run *neighbour, const struct run *serving,
			 uint32_t pace)
{
	return colocation_weight(dispatch->colocation, neighbour->image,
				 serving->image) *
	       neighbour->reserved.cpu_milli / 1000.0 * pace / 100.0;
}

static double target_pressure(const struct dispatch *dispatch,
			      const struct run *serving)
{
	return colocation_pressure_at(dispatch->colocation, serving->image,
				      LATENCY_SHARE_PLANNED);
}

/* Upper bound of the pressure of a best-effort run at full pace. */
static double pressure_upper(const struct dispatch *dispatch,
			     const struct run *neighbour,
			     const struct run *serving)
{
	return colocation_weight_upper(dispatch->colocation, neighbour->image,
				       serving->image) *
	       neighbour->reserved.cpu_milli / 1000.0;
}

int dispatch_may_interfere(const struct dispatch *dispatch,
			   const struct run *neighbour,
			   const struct run *serving)
{
	return pressure_upper(dispatch, neighbour, serving) >
	       PRESSURE_NEGLIGIBLE;
}

/* Remaining pressure up to the target, with best-effort runs at full pace. */
static double spare_pressure(const struct dispatch *dispatch,
			     const struct worker *worker,
			     const struct run *serving)
{
	const struct list *pos;
	double spare = target_pressure(dispatch, serving) -
		       own_pressure(dispatch, serving);

	list_for_each (pos, &worker->runs) {
		const struct run *neighbour = list_entry(pos, struct run, node);

		if (neighbour->best_effort)
			spare -= pressure_upper(dispatch, neighbour, serving);
	}
	return spare;
}

/* A placement asks for it at each worker; the estimates change slowly. */
static double recent_spare_pressure(const struct dispatch *dispatch,
				    struct run *serving, struct mstime now)
{
	const struct worker *worker = serving->worker;

	if (serving->spare_pressure_at.ms &&
	    serving->spare_pressure_fill == worker->fill_version &&
	    mstime_diff(now, serving->spare_pressure_at) < SPARE_VALID_MS)
		return serving->spare_pressure;
	serving->spare_pressure = spare_pressure(dispatch, worker, serving);
	serving->spare_pressure_at = now;
	serving->spare_pressure_fill = worker->fill_version;
	return serving->spare_pressure;
}

double dispatch_placement_excess(struct dispatch *dispatch,
				 const struct worker *worker, int image,
				 double cores, struct mstime now)
{
	const struct list *pos;
	double worst = -1;

	list_for_each (pos, &worker->serving_runs) {
		struct run *serving = list_entry(pos, struct run, serving_node);
		double added, excess;

		added = cores * colocation_weight_upper(dispatch->colocation,
							image, serving->image);
		if (added < PRESSURE_NEGLIGIBLE)
			continue;
		excess = added - recent_spare_pressure(dispatch, serving, now);
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
		     target_pressure(dispatch, serving);

	list_for_each (pos, &worker->runs) {
		const struct run *neighbour = list_entry(pos, struct run, node);

		if (neighbour->best_effort)
			sum += dispatch_pressure(dispatch, neighbour, serving,
						 neighbour->pace_planned);
	}
	return sum;
}

/* Updates since when a run has been over its target. */
static void track_target(struct run *run, struct mstime now)
{
	if (latency_share(run) <= LATENCY_SHARE_MISSED)
		run->over_target_since = mstime_from(0);
	else if (!run->over_target_since.ms)
		run->over_target_since = now;
}

void dispatch_observe_latencies(struct dispatch *dispatch,
				struct worker *worker, struct mstime now)
{
	struct neighbour neighbours[COLOCATION_NEIGHBOURS_MAX];
	int count = collect_neighbours(worker, neighbours);
	struct list *pos;

	worker->over_target_since = mstime_from(0);

	list_for_each (pos, &worker->serving_runs) {
		struct run *run = list_entry(pos, struct run, serving_node);

		if (!is_measured(run, now))
			continue;
		colocation_observe(
			dispatch->colocation, run->image, run->load_group,
			corrected_latency_share(run), neighbours, count, now);
		run->previous_latency_ms = run->latency_or_cpu;
		track_target(run, now);
		if (!run->over_target_since.ms)
			continue;
		if (!worker->over_target_since.ms ||
		    mstime_before(run->over_target_since,
				  worker->over_target_since))
			worker->over_target_since = run->over_target_since;
	}
}

char *dispatch_encode_interference(const struct dispatch *dispatch,
				   struct mstime now)
{
	return colocation_encode(dispatch->colocation, now);
}

int dispatch_decode_interference(struct dispatch *dispatch, const char *text,
				 size_t len, struct mstime now)
{
	return colocation_decode(dispatch->colocation, text, len, now);
}
