#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "log.h"
#include "mem.h"
#include "runner_internal.h"
#include "sysclock.h"

/* Longest wait for an end in one call; the lease is extended as often. */
#define HOLD_WAIT_MS 400
/* Pause between calls while ends wait to be stored, or after a failure. */
#define HOLD_PAUSE_MS 40
/* The clock of a worker may be this much slow, in thousandths. */
#define CLOCK_DRIFT 20
/* A latency above this share of its target is reported this often. */
#define REPORT_LATENCY_PERCENT 90
#define REPORT_LATENCY_MS 150
/* Pause before a start is sent again. */
#define START_RETRY_MS 250

int64_t runner_lease_until_ms(const struct runner *runner)
{
	int64_t left_ms = mstime_diff(runner->lease_end, sysclock_now());
	int64_t from_ms =
		mstime_diff(runner->lease_end, runner->worker_clock_at);

	if (left_ms <= 0 || !runner->worker_clock_at.ms)
		return 0;
	return runner->worker_clock_ms + from_ms * (1000 - CLOCK_DRIFT) / 1000;
}

static void take_clock(struct runner *runner,
		       const struct worker_answer *answer)
{
	if (answer->clock_ms < 0)
		return;
	runner->worker_clock_ms = answer->clock_ms;
	runner->worker_clock_at = sysclock_now();
}

static void set_text(char **dst, const char *text)
{
	if (*dst && text && !strcmp(*dst, text))
		return;
	free(*dst);
	*dst = text && *text ? xstrdup(text) : NULL;
}

static void take_run(struct runner *runner, const struct run_status *status,
		     uint64_t *changes)
{
	struct local_run *run =
		local_run_find(runner, &status->task, status->run);

	if (!run) {
		run = local_run_new(runner, &status->task, status->run,
				    RUN_ACTIVE);
		(*changes)++;
	}
	if (run->phase != RUN_ACTIVE)
		(*changes)++;
	run->phase = RUN_ACTIVE;
	run->is_confirmed = 1;
	run->confirmed_at = runner->hold_sent_at;
	run->progress = status->progress;
	run->load = status->load;
	set_text(&run->checkpoint, status->checkpoint);
}

static void take_end(struct runner *runner, const struct run_ended *end,
		     uint64_t *changes)
{
	struct local_run *run;
	struct run_ended *copy;
	uint64_t last = runner->end_count
				? runner->ends[runner->end_count - 1].number
				: runner->ends_seen;

	if (end->number <= last)
		return;
	run = local_run_find(runner, &end->task, end->run);
	if (run)
		local_run_delete(run);
	runner->ends = xrealloc(runner->ends, (runner->end_count + 1) *
						      sizeof(*runner->ends));
	copy = &runner->ends[runner->end_count++];
	*copy = *end;
	copy->checkpoint = xstrdup(end->checkpoint);
	(*changes)++;
}

static int is_listed(const struct worker_answer *answer,
		     const struct local_run *run)
{
	size_t i;

	for (i = 0; i < answer->run_count; i++)
		if (answer->runs[i].run == run->run &&
		    answer->runs[i].task.index == run->task.index &&
		    answer->runs[i].task.step == run->task.step &&
		    answer->runs[i].task.occurrence == run->task.occurrence &&
		    !strcmp(answer->runs[i].task.job, run->task.job))
			return 1;
	return 0;
}

/* A run that the worker had, and neither lists nor reports as ended. */
static void find_gone(struct runner *runner, const struct worker_answer *answer,
		      uint64_t *changes)
{
	struct list *pos;

	list_for_each (pos, &runner->runs) {
		struct local_run *run = list_entry(pos, struct local_run, node);

		if (!run->is_confirmed || run->phase == RUN_GONE ||
		    run->phase == RUN_REFUSED || run->call_in_flight ||
		    !mstime_before(run->confirmed_at, runner->hold_sent_at) ||
		    is_listed(answer, run))
			continue;
		run->phase = RUN_GONE;
		run->ended_at = runner->listed_at;
		set_text(&run->detail, "not-listed");
		(*changes)++;
	}
}

static void take_lists(struct runner *runner,
		       const struct worker_answer *answer)
{
	uint64_t changes = runner->listed_fence != runner->target.fence;
	size_t i;

	runner->listed_fence = runner->target.fence;
	runner->listed_at = sysclock_now();
	for (i = 0; i < answer->end_count; i++)
		take_end(runner, &answer->ends[i], &changes);
	for (i = 0; i < answer->run_count; i++)
		take_run(runner, &answer->runs[i], &changes);
	find_gone(runner, answer, &changes);
	if (runner_worst_latency_percent(runner) > REPORT_LATENCY_PERCENT &&
	    mstime_diff(runner->listed_at, runner->reported_at) >
		    REPORT_LATENCY_MS)
		changes++;
	if (changes)
		runner_schedule_report(runner);
	runner_send_paces(runner);
}

static void on_held(void *arg, const struct worker_answer *answer)
{
	struct runner *runner =
		(struct runner *)((char *)arg -
				  offsetof(struct runner, hold_call_arg));

	runner->hold_in_flight = 0;
	take_clock(runner, answer);
	if (answer->err) {
		if (!runner->holds_failed.value++ || answer->err == ERR_FENCED)
			log_event(EV_WORKER_UNANSWERED, "worker=%s err=%s",
				  runner->target.id, error_name(answer->err));
		loop_timer_start(runner->hold_timer, HOLD_PAUSE_MS);
		return;
	}
	if (answer->born && answer->born != runner->worker.born) {
		/* Another worker answers; it has yet to announce itself. */
		loop_timer_start(runner->hold_timer, HOLD_PAUSE_MS);
		return;
	}
	take_lists(runner, answer);
	if (runner->end_count)
		loop_timer_start(runner->hold_timer, HOLD_PAUSE_MS);
	else
		runner_hold(runner);
}

void runner_hold(struct runner *runner)
{
	int64_t wait_ms = runner->end_count ? 0 : HOLD_WAIT_MS;

	if (runner->hold_in_flight || !runner->is_bound ||
	    !runner->target.fence)
		return;
	loop_timer_stop(runner->hold_timer);
	runner->hold_in_flight = 1;
	runner->hold_sent_at = sysclock_now();
	runner->holds.value++;
	/* Without the clock of the worker, the first call only reads it. */
	if (!runner->worker_clock_at.ms)
		wait_ms = 0;
	workercall_hold(runner->calls, &runner->target,
			runner_lease_until_ms(runner), runner->ends_seen,
			wait_ms, on_held, &runner->hold_call_arg);
}

void runner_hold_restart(struct runner *runner)
{
	workercall_forget(runner->calls, &runner->hold_call_arg);
	runner->hold_in_flight = 0;
	runner_hold(runner);
}

static void settled(struct local_run *run)
{
	run->is_confirmed = 1;
	run->confirmed_at = sysclock_now();
}

static void refuse(struct local_run *run, const char *reason)
{
	struct runner *runner = run->runner;

	runner->starts_refused.value++;
	log_event(EV_START_REFUSED, "task=%s.%u.%u.%u run=%u reason=%s",
		  run->task.job, run->task.occurrence, run->task.step,
		  run->task.index, run->run, reason);
	set_text(&run->detail, reason);
	/* An earlier call may still be carried out; a stop prevents that. */
	if (run->unanswered_starts) {
		run->stop_requested = 1;
		return;
	}
	run->phase = RUN_REFUSED;
	run->ended_at = sysclock_now();
	runner_schedule_report(runner);
}

static void on_started(void *arg, const struct worker_answer *answer)
{
	struct local_run *run = arg;
	struct runner *runner = run->runner;

	run->call_in_flight = 0;
	take_clock(runner, answer);
	run->retry_at = mstime_add(sysclock_now(), START_RETRY_MS);
	switch (answer->err) {
	case 0:
		run->phase = RUN_ACTIVE;
		settled(run);
		runner_schedule_report(runner);
		break;
	case ERR_EXISTS:
		settled(run);
		break;
	case ERR_FULL:
		refuse(run, "worker-refused");
		break;
	case ERR_INVALID:
		refuse(run, "invalid");
		break;
	case ERR_UNKNOWN:
		run->unanswered_starts++;
		break;
	default:
		break;
	}
}

static void on_stopped(void *arg, const struct worker_answer *answer)
{
	struct local_run *run = arg;

	run->call_in_flight = 0;
	take_clock(run->runner, answer);
	run->retry_at = mstime_add(sysclock_now(), START_RETRY_MS);
	if (answer->err)
		return;
	run->stop_requested = 0;
	settled(run);
	runner_hold(run->runner);
}

static void start(struct local_run *run)
{
	struct runner *runner = run->runner;
	struct run_order order = { .task = run->task,
				   .run = run->run,
				   .payload = run->payload,
				   .checkpoint = run->checkpoint };
	int64_t until_ms = runner_lease_until_ms(runner);

	if (!until_ms || !runner->listed_fence)
		return;
	if (runner->worker.state != WORKER_READY && !run->attempts) {
		refuse(run, "worker-leaves");
		return;
	}
	run->attempts++;
	run->call_in_flight = 1;
	runner->starts.value++;
	workercall_start(runner->calls, &runner->target, &order, until_ms,
			 on_started, run);
}

static void stop(struct local_run *run)
{
	struct runner *runner = run->runner;

	run->call_in_flight = 1;
	runner->stops.value++;
	workercall_stop(runner->calls, &runner->target, &run->task, run->run,
			on_stopped, run);
}

static void work_on(struct local_run *run, struct mstime now)
{
	if (run->call_in_flight || mstime_before(now, run->retry_at))
		return;
	if (run->phase == RUN_GONE || run->phase == RUN_REFUSED)
		return;
	if (run->stop_requested)
		stop(run);
	else if (run->phase == RUN_PENDING && !run->is_confirmed)
		start(run);
}

void runner_send_due(struct runner *runner)
{
	struct mstime now = sysclock_now();
	struct list *pos, *tmp;

	if (!runner->is_bound || !runner->target.fence)
		return;
	list_for_each_safe (pos, tmp, &runner->runs)
		work_on(list_entry(pos, struct local_run, node), now);
}

static void take_start(struct runner *runner, const struct run_order *order)
{
	struct local_run *run =
		local_run_find(runner, &order->task, order->run);
	size_t i;

	for (i = 0; i < runner->end_count; i++)
		if (runner->ends[i].run == order->run &&
		    runner->ends[i].task.index == order->task.index &&
		    runner->ends[i].task.step == order->task.step &&
		    runner->ends[i].task.occurrence == order->task.occurrence &&
		    !strcmp(runner->ends[i].task.job, order->task.job))
			return;
	if (!run)
		run = local_run_new(runner, &order->task, order->run,
				    RUN_PENDING);
	run->fills = order->fills;
	run->latency_target_ms = order->latency_target_ms;
	if (run->phase == RUN_PENDING && !run->payload) {
		run->payload = xstrdup(order->payload);
		set_text(&run->checkpoint, order->checkpoint);
	}
}

static void take_stop(struct runner *runner, const struct run_name *name)
{
	struct local_run *run = local_run_find(runner, &name->task, name->run);

	if (!run)
		run = local_run_new(runner, &name->task, name->run,
				    RUN_PENDING);
	run->stop_requested = 1;
	run->retry_at = mstime_from(0);
}

static void take_pace(struct runner *runner, const struct run_pace *pace)
{
	struct local_run *run = local_run_find(runner, &pace->task, pace->run);

	if (!run)
		return;
	run->pace_target = pace->percent;
	/* The pace in force is not listed; a restarted runner asks again. */
	if (run->pace_target == run->pace_sent)
		run->pace_sent = PACE_UNKNOWN;
}

static void drop_seen_ends(struct runner *runner, uint64_t seen)
{
	size_t i, dropped = 0;

	if (seen <= runner->ends_seen)
		return;
	runner->ends_seen = seen;
	while (dropped < runner->end_count &&
	       runner->ends[dropped].number <= seen)
		free((char *)runner->ends[dropped++].checkpoint);
	runner->end_count -= dropped;
	for (i = 0; i < runner->end_count; i++)
		runner->ends[i] = runner->ends[i + dropped];
}

static void take_lease(struct runner *runner,
		       const struct msg_work_orders *orders)
{
	struct mstime sent;

	if (!orders->lease_ms ||
	    orders->report_seq + REPORT_RING_SIZE <= runner->report_seq ||
	    orders->report_seq > runner->report_seq)
		return;
	sent = runner->report_sent_at[orders->report_seq % REPORT_RING_SIZE];
	runner->lease_end = mstime_max(runner->lease_end,
				       mstime_add(sent, orders->lease_ms));
}

void runner_apply_orders(struct runner *runner,
			 const struct msg_work_orders *orders)
{
	size_t i;

	if (!runner->is_bound || strcmp(orders->worker, runner->target.id) ||
	    orders->born != runner->worker.born ||
	    orders->fence < runner->target.fence)
		return;
	take_lease(runner, orders);
	if (orders->fence > runner->target.fence) {
		runner->target.fence = orders->fence;
		runner_hold_restart(runner);
	}
	drop_seen_ends(runner, orders->ends_seen);
	for (i = 0; i < orders->starts.count; i++)
		take_start(runner, &orders->starts.items[i]);
	for (i = 0; i < orders->stops.count; i++)
		take_stop(runner, &orders->stops.items[i]);
	for (i = 0; i < orders->paces.count; i++)
		take_pace(runner, &orders->paces.items[i]);
	runner->last_orders_at = sysclock_now();
	runner_send_paces(runner);
	runner_send_due(runner);
	runner_hold(runner);
}
