#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "log.h"
#include "mem.h"
#include "runner_internal.h"
#include "sysclock.h"

/* Longest wait of a hold call for an end; each call extends the lease. */
#define HOLD_WAIT_MAX_MS 400
/* Pause between hold calls while ends wait to be stored or after a failure. */
#define HOLD_PAUSE_MS 40
/* A worker that closes this many in a row closes each one. */
#define CONNECTIONS_LOST_MAX 3
/* Allowance for a worker's clock that runs slow, in thousandths. */
#define CLOCK_DRIFT_PERMILLE 20
/* A latency above this percentage of its target is reported this often. */
#define REPORT_LATENCY_PERCENT 90
#define REPORT_LATENCY_INTERVAL_MS 150
/* Pause before a start or stop is sent again. */
#define CALL_RETRY_MS 250

int64_t runner_lease_until_ms(const struct runner *runner)
{
	int64_t remaining_ms = mstime_diff(runner->lease_end, sysclock_now());
	int64_t since_read_ms =
		mstime_diff(runner->lease_end, runner->worker_clock_at);

	if (remaining_ms <= 0 || !runner->worker_clock_at.ms)
		return 0;
	return runner->worker_clock_ms +
	       since_read_ms * (1000 - CLOCK_DRIFT_PERMILLE) / 1000;
}

/* Whether the worker closes its connections after each response. */
static int closes_connections(const struct runner *runner)
{
	return runner->connections_lost >= CONNECTIONS_LOST_MAX;
}

/*
 * Whether calls reach the worker that is bound. Another life of it, which has
 * not announced itself yet, would take a lease by another clock.
 */
static int reaches_bound_worker(const struct runner *runner)
{
	return runner->answered_start_ms &&
	       (closes_connections(runner) ||
		workercall_is_connected(runner->calls));
}

/*
 * RETURN VALUE
 *	Whether the response is from another life of the worker, which has not
 *	announced itself yet. The bound one has ended then.
 */
static int note_other_start(struct runner *runner,
			    const struct worker_response *response)
{
	if (!response->worker_start_ms ||
	    response->worker_start_ms == runner->worker.worker_start_ms)
		return 0;
	runner->answered_start_ms = 0;
	if (runner->has_left)
		return 1;
	log_event(EV_WORKER_STATE, "worker=%s born=%llu state=restarted",
		  runner->target.id,
		  (unsigned long long)response->worker_start_ms);
	runner->has_left = 1;
	runner->worker.state = WORKER_ABSENT;
	runner_schedule_report(runner, 0);
	return 1;
}

static void update_clock(struct runner *runner,
			 const struct worker_response *response)
{
	if (response->clock_ms < 0 || note_other_start(runner, response))
		return;
	runner->worker_clock_ms = response->clock_ms;
	runner->worker_clock_at = sysclock_now();
}

static void replace_text(char **dst, const char *text)
{
	if (*dst && text && !strcmp(*dst, text))
		return;
	free(*dst);
	*dst = text && *text ? xstrdup(text) : NULL;
}

/*
 * One that no message can carry is not taken over: the task resumes from the
 * former one then.
 */
static void set_checkpoint(struct local_run *run, const char *checkpoint)
{
	size_t len = strlen(checkpoint);

	if (len > RUN_CHECKPOINT_MAX) {
		if (!run->has_long_checkpoint)
			log_event(EV_CHECKPOINT_DROPPED,
				  "task=%s.%u.%u.%u run=%u bytes=%zu max=%d",
				  run->task.job, run->task.occurrence,
				  run->task.step, run->task.index, run->run,
				  len, RUN_CHECKPOINT_MAX);
		run->has_long_checkpoint = 1;
		return;
	}
	if (run->checkpoint && !strcmp(run->checkpoint, checkpoint))
		return;
	replace_text(&run->checkpoint, checkpoint);
	run->checkpoint_sent_at = mstime_from(0);
}

/* What a reading of the worker's lists has changed. */
struct list_changes {
	uint32_t urgent; /* ends, lost runs, latencies above their targets */
	uint32_t starts;
};

static void update_run(struct runner *runner, const struct run_status *status,
		       struct list_changes *changes)
{
	struct local_run *run =
		local_run_find(runner, &status->task, status->run);

	if (!run) {
		run = local_run_new(runner, &status->task, status->run,
				    RUN_ACTIVE);
		changes->starts++;
	}
	if (run->phase != RUN_ACTIVE)
		changes->starts++;
	run->phase = RUN_ACTIVE;
	run->is_confirmed = 1;
	run->confirmed_at = runner->hold_sent_at;
	run->progress = status->progress_percent;
	run->latency_or_cpu = status->latency_or_cpu;
	set_checkpoint(run, status->checkpoint);
}

static void add_end(struct runner *runner, const struct ended_run *end,
		    struct list_changes *changes)
{
	struct local_run *run;
	struct ended_run *copy;
	uint64_t last = runner->end_count
				? runner->ends[runner->end_count - 1].number
				: runner->ends_seen;

	if (end->number <= last)
		return;
	run = local_run_find(runner, &end->task, end->run);
	if (!run)
		run = local_run_new(runner, &end->task, end->run, RUN_ACTIVE);
	set_checkpoint(run, end->checkpoint);
	runner->ends = xrealloc(runner->ends, (runner->end_count + 1) *
						      sizeof(*runner->ends));
	copy = &runner->ends[runner->end_count++];
	*copy = *end;
	copy->checkpoint = xstrdup(run->checkpoint ? run->checkpoint : "");
	local_run_delete(run);
	changes->urgent++;
}

static int is_listed(const struct worker_response *response,
		     const struct local_run *run)
{
	size_t i;

	for (i = 0; i < response->run_count; i++)
		if (response->runs[i].run == run->run &&
		    response->runs[i].task.index == run->task.index &&
		    response->runs[i].task.step == run->task.step &&
		    response->runs[i].task.occurrence == run->task.occurrence &&
		    !strcmp(response->runs[i].task.job, run->task.job))
			return 1;
	return 0;
}

/*
 * Handles a run that the worker had and that neither list names now. Without
 * all ends it may be one that has ended: it is then kept, as finished, until
 * its end is listed.
 */
static void handle_unlisted(struct local_run *run,
			    const struct worker_response *response,
			    struct list_changes *changes)
{
	if (response->has_more_ends) {
		run->progress = 100;
		return;
	}
	run->phase = RUN_GONE;
	run->ended_at = run->runner->listed_at;
	replace_text(&run->detail, "not-listed");
	changes->urgent++;
}

static void handle_unlisted_runs(struct runner *runner,
				 const struct worker_response *response,
				 struct list_changes *changes)
{
	struct list *pos;

	list_for_each (pos, &runner->runs) {
		struct local_run *run = list_entry(pos, struct local_run, node);

		if (!run->is_confirmed || run->phase == RUN_GONE ||
		    run->phase == RUN_REFUSED || run->call_in_flight ||
		    !mstime_before(run->confirmed_at, runner->hold_sent_at) ||
		    is_listed(response, run))
			continue;
		handle_unlisted(run, response, changes);
	}
}

static void apply_lists(struct runner *runner,
			const struct worker_response *response)
{
	struct list_changes changes = {
		.urgent = runner->listed_fence != runner->target.fence,
	};
	size_t i;

	runner->listed_fence = runner->target.fence;
	runner->listed_at = sysclock_now();
	for (i = 0; i < response->end_count; i++)
		add_end(runner, &response->ends[i], &changes);
	for (i = 0; i < response->run_count; i++)
		update_run(runner, &response->runs[i], &changes);
	handle_unlisted_runs(runner, response, &changes);
	if (runner_worst_latency_percent(runner) > REPORT_LATENCY_PERCENT &&
	    mstime_diff(runner->listed_at, runner->reported_at) >
		    REPORT_LATENCY_INTERVAL_MS)
		changes.urgent++;
	if (changes.urgent)
		runner_schedule_report(runner, REPORT_DELAY_MS);
	else if (changes.starts)
		runner_schedule_report(runner, REPORT_START_DELAY_MS);
	runner_send_paces(runner);
}

static void fail_hold(struct runner *runner, int err)
{
	int is_lone = runner->answered_start_ms && err == ERR_UNAVAILABLE;

	switch (err) {
	case ERR_FENCED:
	case ERR_FULL:
	case ERR_INVALID:
		break;
	default:
		runner->answered_start_ms = 0;
	}
	if (is_lone && runner->connections_lost < CONNECTIONS_LOST_MAX) {
		runner->connections_lost++;
		runner_hold(runner);
		return;
	}
	if (!runner->holds_failed.value++ || err == ERR_FENCED ||
	    err == ERR_NOT_FOUND)
		log_event(EV_WORKER_UNANSWERED, "worker=%s err=%s",
			  runner->target.id, error_name(err));
	loop_timer_start(runner->hold_timer, HOLD_PAUSE_MS);
}

static void on_hold_response(void *arg, const struct worker_response *response)
{
	struct runner *runner =
		(struct runner *)((char *)arg -
				  offsetof(struct runner, hold_call_arg));

	runner->hold_in_flight = 0;
	if (response->err) {
		update_clock(runner, response);
		fail_hold(runner, response->err);
		return;
	}
	if (note_other_start(runner, response)) {
		loop_timer_start(runner->hold_timer, HOLD_PAUSE_MS);
		return;
	}
	if (runner->answered_start_ms &&
	    runner->connections_lost < CONNECTIONS_LOST_MAX)
		runner->connections_lost = 0;
	runner->answered_start_ms = runner->worker.worker_start_ms;
	update_clock(runner, response);
	apply_lists(runner, response);
	if (runner->end_count)
		loop_timer_start(runner->hold_timer, HOLD_PAUSE_MS);
	else
		runner_hold(runner);
}

/*
 * The first call on a connection only reads the lists and the clock, as the
 * worker may have been restarted under its id: its ends are counted anew then,
 * and an acknowledgement or a lease of its former life must not reach it.
 */
void runner_hold(struct runner *runner)
{
	struct worker_poll poll = { 0 };

	if (runner->hold_in_flight || !runner->is_bound ||
	    !runner->target.fence)
		return;
	loop_timer_stop(runner->hold_timer);
	runner->hold_in_flight = 1;
	runner->hold_sent_at = sysclock_now();
	runner->holds.value++;
	if (runner->answered_start_ms) {
		poll.until_ms = runner_lease_until_ms(runner);
		poll.after_end_number = runner->ends_seen;
		poll.wait_ms = runner->end_count ? 0 : HOLD_WAIT_MAX_MS;
		poll.same_connection = !closes_connections(runner);
	}
	workercall_poll(runner->calls, &runner->target, &poll, on_hold_response,
			&runner->hold_call_arg);
}

void runner_hold_restart(struct runner *runner)
{
	workercall_cancel(runner->calls, &runner->hold_call_arg);
	runner->hold_in_flight = 0;
	runner->answered_start_ms = 0;
	runner_hold(runner);
}

/* Stops are repeated: lists read since the first answer count. */
static void mark_confirmed(struct local_run *run)
{
	if (run->is_confirmed)
		return;
	run->is_confirmed = 1;
	run->confirmed_at = sysclock_now();
}

static void refuse_start(struct local_run *run, const char *reason)
{
	struct runner *runner = run->runner;

	runner->starts_refused.value++;
	log_event(EV_START_REFUSED, "task=%s.%u.%u.%u run=%u reason=%s",
		  run->task.job, run->task.occurrence, run->task.step,
		  run->task.index, run->run, reason);
	replace_text(&run->detail, reason);
	/* An earlier start may still be carried out; a stop prevents that. */
	if (run->unanswered_starts || run->call_in_flight) {
		run->stop_requested = 1;
		return;
	}
	run->phase = RUN_REFUSED;
	run->ended_at = sysclock_now();
	runner_schedule_report(runner, REPORT_DELAY_MS);
}

static void on_started(void *arg, const struct worker_response *response)
{
	struct local_run *run = arg;
	struct runner *runner = run->runner;

	run->call_in_flight = 0;
	update_clock(runner, response);
	run->retry_at = mstime_add(sysclock_now(), CALL_RETRY_MS);
	switch (response->err) {
	case 0:
		run->phase = RUN_ACTIVE;
		mark_confirmed(run);
		runner_schedule_report(runner, REPORT_START_DELAY_MS);
		break;
	case ERR_EXISTS:
		mark_confirmed(run);
		break;
	case ERR_FULL:
		refuse_start(run, "worker-refused");
		break;
	case ERR_INVALID:
		refuse_start(run, "invalid");
		break;
	case ERR_UNKNOWN:
		run->unanswered_starts++;
		break;
	default:
		break;
	}
}

static void on_stopped(void *arg, const struct worker_response *response)
{
	struct local_run *run = arg;

	run->call_in_flight = 0;
	update_clock(run->runner, response);
	run->retry_at = mstime_add(sysclock_now(), CALL_RETRY_MS);
	if (response->err)
		return;
	run->stop_requested = 0;
	mark_confirmed(run);
	runner_hold(run->runner);
}

static void send_start(struct local_run *run)
{
	struct runner *runner = run->runner;
	struct run_order order = { .task = run->task,
				   .run = run->run,
				   .payload = run->payload,
				   .checkpoint = run->checkpoint };
	int64_t until_ms = runner_lease_until_ms(runner);

	if (!until_ms || !runner->listed_fence || !reaches_bound_worker(runner))
		return;
	/* Also one without an answer: what it starts ends with the worker. */
	if (runner->worker.state != WORKER_READY) {
		refuse_start(run, "worker-leaves");
		return;
	}
	run->call_in_flight = 1;
	runner->starts.value++;
	workercall_start(runner->calls, &runner->target, &order, until_ms,
			 on_started, run);
}

static void send_stop(struct local_run *run)
{
	struct runner *runner = run->runner;

	run->call_in_flight = 1;
	runner->stops.value++;
	workercall_stop(runner->calls, &runner->target, &run->task, run->run,
			on_stopped, run);
}

static void send_due(struct local_run *run, struct mstime now)
{
	if (run->call_in_flight || mstime_before(now, run->retry_at))
		return;
	if (run->phase == RUN_GONE || run->phase == RUN_REFUSED)
		return;
	if (run->stop_requested)
		send_stop(run);
	else if (run->phase == RUN_PENDING && !run->is_confirmed)
		send_start(run);
}

void runner_send_due(struct runner *runner)
{
	struct mstime now = sysclock_now();
	struct list *pos, *tmp;

	if (!runner->is_bound || !runner->target.fence)
		return;
	list_for_each_safe (pos, tmp, &runner->runs)
		send_due(list_entry(pos, struct local_run, node), now);
}

static void apply_start(struct runner *runner, const struct run_order *order)
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
	run->best_effort = order->best_effort;
	run->latency_target_ms = order->latency_target_ms;
	if (run->phase == RUN_PENDING && !run->payload) {
		run->payload = xstrdup(order->payload);
		replace_text(&run->checkpoint, order->checkpoint);
	}
}

static void apply_stop(struct runner *runner, const struct run_id *name)
{
	struct local_run *run = local_run_find(runner, &name->task, name->run);

	if (!run)
		run = local_run_new(runner, &name->task, name->run,
				    RUN_PENDING);
	run->stop_requested = 1;
	run->retry_at = mstime_from(0);
}

static void apply_pace(struct runner *runner, const struct run_pace *pace)
{
	struct local_run *run = local_run_find(runner, &pace->task, pace->run);

	if (!run)
		return;
	run->pace_target = pace->percent;
	/*
	 * The worker does not list the pace in force, and a restarted runner
	 * does not know it, so an ordered pace is always sent on.
	 */
	if (run->pace_target == run->pace_sent)
		run->pace_sent = PACE_UNKNOWN;
}

static void drop_stored_ends(struct runner *runner, uint64_t last_stored)
{
	size_t i, dropped = 0;

	if (last_stored <= runner->ends_seen)
		return;
	runner->ends_seen = last_stored;
	while (dropped < runner->end_count &&
	       runner->ends[dropped].number <= last_stored)
		free((char *)runner->ends[dropped++].checkpoint);
	runner->end_count -= dropped;
	for (i = 0; i < runner->end_count; i++)
		runner->ends[i] = runner->ends[i + dropped];
}

/*
 * Once their lease has passed, the scheduler may have given the runs up and
 * started their tasks elsewhere; a new lease must not revive them.
 */
static void abandon_starts(struct runner *runner)
{
	struct list *pos;

	if (mstime_before(sysclock_now(), runner->lease_end))
		return;
	list_for_each (pos, &runner->runs) {
		struct local_run *run = list_entry(pos, struct local_run, node);

		if (run->phase == RUN_PENDING && !run->is_confirmed &&
		    !run->stop_requested)
			refuse_start(run, "lease-expired");
	}
}

static void extend_lease(struct runner *runner,
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
	runner->granted_until =
		mstime_max(runner->granted_until, runner->lease_end);
}

void runner_apply_orders(struct runner *runner,
			 const struct msg_work_orders *orders)
{
	size_t i;

	if (!runner->is_bound || strcmp(orders->worker, runner->target.id) ||
	    orders->worker_start_ms != runner->worker.worker_start_ms ||
	    orders->fence < runner->target.fence)
		return;
	abandon_starts(runner);
	extend_lease(runner, orders);
	if (orders->fence > runner->target.fence) {
		runner->target.fence = orders->fence;
		runner_hold_restart(runner);
	}
	drop_stored_ends(runner, orders->stored_end_number);
	for (i = 0; i < orders->starts.count; i++)
		apply_start(runner, &orders->starts.items[i]);
	for (i = 0; i < orders->stops.count; i++)
		apply_stop(runner, &orders->stops.items[i]);
	for (i = 0; i < orders->paces.count; i++)
		apply_pace(runner, &orders->paces.items[i]);
	runner->last_orders_at = sysclock_now();
	runner_send_paces(runner);
	runner_send_due(runner);
	runner_hold(runner);
}
