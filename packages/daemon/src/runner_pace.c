#include "log.h"
#include "runner_internal.h"
#include "sysclock.h"

/* The figures of the worker cover half a second. */
#define PACE_INTERVAL_MS 500
/* Without orders for so long, the runner decides by itself. */
#define SCHEDULER_SILENT_MS 1500
/* Share of the latency target above which filling runs are slowed down. */
#define SLOW_PERCENT 90

int64_t runner_worst_latency_percent(const struct runner *runner)
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

static void on_paced(void *arg, const struct worker_answer *answer)
{
	struct local_run *run = arg;

	run->pace_in_flight = 0;
	if (answer->err)
		run->pace_sent = PACE_UNKNOWN;
}

static void send_pace(struct local_run *run)
{
	struct runner *runner = run->runner;

	runner->paces.value++;
	run->pace_in_flight = 1;
	run->pace_sent = run->pace_target;
	workercall_pace(runner->calls, &runner->target, &run->task, run->run,
			run->pace_target, on_paced, run);
}

/* Without the scheduler, all that fills gives way to what serves. */
static void slow_all(struct runner *runner, int64_t worst)
{
	struct list *pos;

	log_event(EV_PACE_CHANGED,
		  "worker=%s worst_percent=%lld reason="
		  "scheduler-silent",
		  runner->target.id, (long long)worst);
	list_for_each (pos, &runner->runs) {
		struct local_run *run = list_entry(pos, struct local_run, node);

		if (run->fills)
			run->pace_target /= 2;
	}
}

void runner_send_paces(struct runner *runner)
{
	struct mstime now = sysclock_now();
	int64_t worst = runner_worst_latency_percent(runner);
	struct list *pos;

	if (worst > SLOW_PERCENT &&
	    mstime_diff(now, runner->last_orders_at) > SCHEDULER_SILENT_MS &&
	    mstime_diff(now, runner->slowed_at) >= PACE_INTERVAL_MS) {
		runner->slowed_at = now;
		slow_all(runner, worst);
	}
	list_for_each (pos, &runner->runs) {
		struct local_run *run = list_entry(pos, struct local_run, node);

		if (run->phase == RUN_ACTIVE && !run->call_in_flight &&
		    !run->pace_in_flight && run->pace_target != run->pace_sent)
			send_pace(run);
	}
}
