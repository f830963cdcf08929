#include "log.h"
#include "runner_internal.h"
#include "sysclock.h"

/* The worker's latency figures cover the last half second. */
#define PACE_INTERVAL_MS 500
/* Without orders for this long, the runner lowers paces by itself. */
#define SCHEDULER_SILENT_MS 1500
/* Percent of the latency target above which best-effort runs are slowed. */
#define SLOW_LATENCY_PERCENT 90

int64_t runner_worst_latency_percent(const struct runner *runner)
{
	int64_t worst_percent = -1;
	const struct list *pos;

	list_for_each (pos, &runner->runs) {
		const struct local_run *run =
			list_entry(pos, struct local_run, node);
		int64_t percent;

		if (!run->latency_target_ms || run->phase != RUN_ACTIVE)
			continue;
		percent = (int64_t)run->latency_or_cpu * 100 /
			  run->latency_target_ms;
		if (percent > worst_percent)
			worst_percent = percent;
	}
	return worst_percent;
}

static void on_pace_response(void *arg, const struct worker_response *response)
{
	struct local_run *run = arg;

	run->pace_in_flight = 0;
	if (response->err)
		run->pace_sent = PACE_UNKNOWN;
}

static void send_pace(struct local_run *run)
{
	struct runner *runner = run->runner;

	runner->paces.value++;
	run->pace_in_flight = 1;
	run->pace_sent = run->pace_target;
	workercall_set_pace(runner->calls, &runner->target, &run->task,
			    run->run, run->pace_target, on_pace_response, run);
}

/* Halves the pace of all best-effort runs while the scheduler is silent. */
static void slow_best_effort_runs(struct runner *runner, int64_t worst_percent)
{
	struct list *pos;

	log_event(EV_PACE_CHANGED,
		  "worker=%s worst_percent=%lld reason="
		  "scheduler-silent",
		  runner->target.id, (long long)worst_percent);
	list_for_each (pos, &runner->runs) {
		struct local_run *run = list_entry(pos, struct local_run, node);

		if (run->best_effort)
			run->pace_target /= 2;
	}
}

void runner_send_paces(struct runner *runner)
{
	struct mstime now = sysclock_now();
	int64_t worst_percent = runner_worst_latency_percent(runner);
	struct list *pos;

	if (worst_percent > SLOW_LATENCY_PERCENT &&
	    mstime_diff(now, runner->last_orders_at) > SCHEDULER_SILENT_MS &&
	    mstime_diff(now, runner->slowed_at) >= PACE_INTERVAL_MS) {
		runner->slowed_at = now;
		slow_best_effort_runs(runner, worst_percent);
	}
	list_for_each (pos, &runner->runs) {
		struct local_run *run = list_entry(pos, struct local_run, node);

		if (run->phase == RUN_ACTIVE && !run->call_in_flight &&
		    !run->pace_in_flight && run->pace_target != run->pace_sent)
			send_pace(run);
	}
}
