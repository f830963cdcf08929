#include "log.h"
#include "runner_internal.h"
#include "sysclock.h"

/* The figures of the worker cover half a second. */
#define PACE_INTERVAL_MS 500
/* Share of the latency target above which filling runs are slowed down. */
#define SLOW_PERCENT 90
/* Share of the target below which they may work faster again. */
#define FAST_PERCENT 65
#define PACE_MIN 5
#define PACE_STEP 15
/* Smaller differences are not worth a call. */
#define PACE_DIFFERENCE 4

/* Highest latency of a serving run, in percent of its target; -1: none. */
static int64_t worst_share(const struct runner *runner)
{
	int64_t worst = -1;
	const struct list *pos;

	list_for_each (pos, &runner->runs) {
		const struct local_run *run =
			list_entry(pos, struct local_run, node);
		int64_t share;

		if (!run->latency_target_ms || run->phase != RUN_ACTIVE)
			continue;
		share = (int64_t)run->load * 100 / run->latency_target_ms;
		if (share > worst)
			worst = share;
	}
	return worst;
}

static uint32_t next_percent(uint32_t percent, int64_t worst)
{
	if (worst > SLOW_PERCENT)
		return percent / 2 > PACE_MIN ? percent / 2 : PACE_MIN;
	if (worst < FAST_PERCENT)
		return percent + PACE_STEP < 100 ? percent + PACE_STEP : 100;
	return percent;
}

static void on_paced(void *arg, const struct worker_answer *answer)
{
}

static int differs(uint32_t a, uint32_t b)
{
	uint32_t difference = a > b ? a - b : b - a;

	return difference >= PACE_DIFFERENCE || (difference && a == 100);
}

void runner_pace(struct runner *runner)
{
	struct mstime now = sysclock_now();
	int64_t worst = worst_share(runner);
	uint32_t percent = runner->pace_percent;
	struct list *pos;

	if (mstime_diff(now, runner->paced_at) >= PACE_INTERVAL_MS) {
		percent = worst < 0 ? 100 : next_percent(percent, worst);
		runner->paced_at = now;
	}
	if (percent != runner->pace_percent)
		log_event(EV_PACE_CHANGED, "worker=%s percent=%u worst=%lld",
			  runner->target.id, percent, (long long)worst);
	runner->pace_percent = percent;
	list_for_each (pos, &runner->runs) {
		struct local_run *run = list_entry(pos, struct local_run, node);

		if (!run->fills || run->phase != RUN_ACTIVE ||
		    !differs(percent, run->pace))
			continue;
		runner->paces.value++;
		run->pace = percent;
		workercall_pace(runner->calls, &runner->target, &run->task,
				run->run, percent, on_paced,
				&runner->pace_marker);
	}
}
