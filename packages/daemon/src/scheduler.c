#include "scheduler.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "log.h"
#include "mem.h"
#include "scheduler_internal.h"
#include "sysclock.h"

/* Interval of checks for resends, expired leases and retries. */
#define TICK_INTERVAL_MS 100
#define METRICS_INTERVAL_MS 1000
/* Reports that arrive within this time are handled together. */
#define WAKE_DELAY_MS 1
/* A tick that is late by this much shows a lack of processor time... */
#define BEHIND_MS 300
/* ...until none has been late for so long. */
#define CAUGHT_UP_AFTER_MS 2000

static void format_run(const struct dispatch_event *event, char *buf,
		       size_t size)
{
	snprintf(buf, size, "%s.%u.%u.%u run=%u", event->task->job,
		 event->task->occurrence, event->task->step, event->task->index,
		 event->run);
}

static void log_workflow_ended(struct scheduler *scheduler,
			       const struct dispatch_event *event)
{
	const struct workflow *workflow = event->workflow;
	int64_t age_ms = sysclock_wall_ms() - workflow->submitted_ms;

	histogram_observe(&scheduler->workflow_ms, age_ms < 0 ? 0 : age_ms);
	log_event(EV_WORKFLOW_ENDED, "job=%s queue=%s state=%s age_ms=%lld",
		  workflow->spec.id, workflow->queue.name, event->reason,
		  (long long)age_ms);
}

static void log_task_unplaced(const struct dispatch_event *event,
			      const char *task)
{
	char text[256] = "";
	size_t i, len = 0;

	for (i = 0; i < PLACEMENT_BLOCK_COUNT; i++)
		if (event->blocks[i] && len < sizeof(text))
			len += (size_t)snprintf(
				text + len, sizeof(text) - len, " %s=%u",
				placement_block_name((enum placement_block)i),
				event->blocks[i]);
	log_event(EV_TASK_UNPLACED, "task=%s waited_ms=%u%s", task,
		  event->value, text);
}

static void on_dispatch_event(void *arg, const struct dispatch_event *event)
{
	struct scheduler *scheduler = arg;
	char task[96] = "";

	if (event->task)
		format_run(event, task, sizeof(task));
	switch (event->kind) {
	case DISPATCH_RUN_ASSIGNED:
		scheduler->runs_assigned.value++;
		log_event(EV_RUN_ASSIGNED,
			  "task=%s runner=%s cpu_used=%u fill_cpu=%u runs=%u "
			  "report_age_ms=%lld reason=%s",
			  task, event->worker->runner,
			  event->worker->used.cpu_milli,
			  event->worker->best_effort_cpu_milli,
			  event->worker->run_count,
			  (long long)mstime_diff(sysclock_now(),
						 event->worker->reported_at),
			  event->reason);
		break;
	case DISPATCH_RUN_ENDED:
		scheduler_outlook_note_end(scheduler, event);
		log_event(EV_RUN_ENDED, "task=%s runner=%s how=%s", task,
			  event->worker->runner, event->reason);
		break;
	case DISPATCH_RUN_LOST:
		scheduler->runs_lost.value++;
		log_event(EV_RUN_DROPPED, "task=%s runner=%s reason=%s", task,
			  event->worker->runner, event->reason);
		break;
	case DISPATCH_RUN_ORPHANED:
		log_event(EV_RUN_ORPHAN, "task=%s runner=%s", task,
			  event->worker->runner);
		break;
	case DISPATCH_WORKER_SEEN:
		log_event(EV_WORKER_SEEN,
			  "runner=%s worker=%s born=%llu session=%llx "
			  "fence=%llu",
			  event->worker->runner, event->worker->id,
			  (unsigned long long)event->worker->start_ms,
			  (unsigned long long)event->worker->session,
			  (unsigned long long)event->worker->fence);
		break;
	case DISPATCH_WORKER_LEASE_EXPIRED:
		log_event(EV_WORKER_LAPSED,
			  "runner=%s worker=%s runs=%u reason=%s",
			  event->worker->runner, event->worker->id,
			  event->worker->run_count, event->reason);
		break;
	case DISPATCH_WORKER_LEASE:
		log_event(EV_WORKER_LEASE,
			  "runner=%s worker=%s runs=%u extended=%u reason=%s "
			  "report_seq=%llu report_age_ms=%lld list_age_ms=%u "
			  "lease_left_ms=%lld",
			  event->worker->runner, event->worker->id,
			  event->worker->run_count, event->value, event->reason,
			  (unsigned long long)event->worker->report_seq,
			  (long long)mstime_diff(sysclock_now(),
						 event->worker->reported_at),
			  event->worker->list_age_ms,
			  (long long)event->lease_left_ms);
		break;
	case DISPATCH_RUN_UNCONFIRMED:
		log_event(EV_RUN_UNCONFIRMED,
			  "task=%s runner=%s worker=%s list_age_ms=%u", task,
			  event->worker->runner, event->worker->id,
			  event->worker->list_age_ms);
		break;
	case DISPATCH_TASK_UNPLACED:
		log_task_unplaced(event, task);
		break;
	case DISPATCH_RESERVATION_MADE:
		log_event(EV_RESERVATION_MADE,
			  "task=%s runner=%s waited_ms=%u start_in_ms=%lld",
			  task, event->worker->runner, event->value,
			  (long long)event->start_in_ms);
		break;
	case DISPATCH_RESERVATION_ENDED:
		log_event(EV_RESERVATION_ENDED,
			  "task=%s runner=%s waited_ms=%u reason=%s", task,
			  event->worker->runner, event->value, event->reason);
		break;
	case DISPATCH_QUEUE_CHANGED:
		log_event(EV_WORKFLOW_QUEUE_CHANGED,
			  "job=%s queue=%s service=%s version=%lld priority=%u",
			  event->workflow->spec.id, event->workflow->queue.name,
			  event->workflow->queue.service,
			  (long long)event->workflow->queue.version,
			  event->workflow->queue.priority);
		break;
	case DISPATCH_PACE_CHANGED:
		log_event(EV_RUN_SLOWED, "task=%s runner=%s percent=%u", task,
			  event->worker->runner, event->value);
		break;
	case DISPATCH_RUN_EVICTED:
		log_event(EV_RUN_EVICTED, "task=%s runner=%s reason=%s", task,
			  event->worker->runner, event->reason);
		break;
	case DISPATCH_WORKFLOW_ENDED:
		log_workflow_ended(scheduler, event);
		break;
	}
}

static void assign(struct scheduler *scheduler, struct mstime now)
{
	struct mstime end;
	int64_t pass_ms, spacing_ms;

	if (mstime_before(now, scheduler->next_pass_at)) {
		loop_timer_start(scheduler->pass_timer,
				 mstime_diff(scheduler->next_pass_at, now));
		return;
	}
	dispatch_assign(scheduler->dispatch, now);
	scheduler->evaluations.value =
		(int64_t)dispatch_get_stats(scheduler->dispatch)->evaluations;
	end = sysclock_now();
	pass_ms = mstime_diff(end, now);
	histogram_observe(&scheduler->pass_ms, pass_ms);
	spacing_ms = dispatch_pass_spacing_ms(pass_ms);
	scheduler->next_pass_at = mstime_add(end, spacing_ms);
	if (dispatch_is_assigning(scheduler->dispatch))
		loop_timer_start(scheduler->pass_timer, spacing_ms);
}

static void on_pass_timer(void *arg)
{
	scheduler_wake(arg);
}

static void on_wake(void *arg)
{
	struct scheduler *scheduler = arg;
	struct mstime now = sysclock_now();

	scheduler->wake_is_scheduled = 0;
	/* Starts at evacuated workers must not be ordered again. */
	if (!scheduler->is_loaded || !queues_is_listed(scheduler->queues))
		return;
	dispatch_set_wall_clock(scheduler->dispatch, sysclock_wall_ms());
	scheduler_backlog_check(scheduler, now);
	if (election_is_leader(scheduler->election, now))
		assign(scheduler, now);
	scheduler_commit(scheduler, now);
	scheduler_links_send(scheduler);
}

void scheduler_wake(struct scheduler *scheduler)
{
	if (scheduler->wake_is_scheduled)
		return;
	scheduler->wake_is_scheduled = 1;
	loop_timer_start(scheduler->wake_timer, WAKE_DELAY_MS);
}

/* Tells when the scheduler falls behind its timers, and when it is over. */
static void observe_lag(struct scheduler *scheduler, struct mstime now)
{
	int64_t lag_ms = mstime_diff(now, scheduler->tick_due_at);

	histogram_observe(&scheduler->lag_ms, lag_ms > 0 ? lag_ms : 0);
	if (lag_ms >= BEHIND_MS) {
		scheduler->late_tick_at = now;
		if (scheduler->is_behind)
			return;
		scheduler->is_behind = 1;
		scheduler->behind_since = now;
		log_event(EV_SCHEDULER_BEHIND,
			  "epoch=%lld lag_ms=%lld waiting=%u",
			  (long long)scheduler->epoch, (long long)lag_ms,
			  scheduler->pending_count);
	} else if (scheduler->is_behind &&
		   mstime_diff(now, scheduler->late_tick_at) >=
			   CAUGHT_UP_AFTER_MS) {
		scheduler->is_behind = 0;
		log_event(EV_SCHEDULER_CAUGHT_UP,
			  "epoch=%lld behind_ms=%lld waiting=%u",
			  (long long)scheduler->epoch,
			  (long long)mstime_diff(scheduler->late_tick_at,
						 scheduler->behind_since),
			  scheduler->pending_count);
	}
}

static void start_tick(struct scheduler *scheduler, struct mstime now)
{
	scheduler->tick_due_at = mstime_add(now, TICK_INTERVAL_MS);
	loop_timer_start(scheduler->tick_timer, TICK_INTERVAL_MS);
}

static void on_tick(void *arg)
{
	struct scheduler *scheduler = arg;
	struct mstime now = sysclock_now();

	observe_lag(scheduler, now);
	start_tick(scheduler, now);
	if (!scheduler->is_loaded)
		return;
	dispatch_expire(scheduler->dispatch, now);
	scheduler_links_check(scheduler, now);
	scheduler_publish_pending(scheduler, now);
	scheduler_interference_write(scheduler, now);
	scheduler_publish_outlook(scheduler, now);
	if (mstime_diff(now, scheduler->metrics_at) >= METRICS_INTERVAL_MS)
		scheduler_metrics_update(scheduler, now);
	scheduler_remove_old(scheduler, now);
	scheduler_backlog_check(scheduler, now);
	scheduler_wake(scheduler);
}

static void on_elected(void *arg, int64_t epoch)
{
	struct scheduler *scheduler = arg;

	scheduler->epoch = epoch;
	scheduler->dispatch =
		dispatch_new(&dispatch_defaults, (uint64_t)epoch,
			     sysclock_now(), on_dispatch_event, scheduler);
	scheduler_links_start(scheduler);
	scheduler_backlog_start(scheduler);
	scheduler_load_start(scheduler);
	scheduler_interference_start(scheduler);
	scheduler->is_behind = 0;
	scheduler->value_max = KV_VALUE_MAX;
	scheduler->next_pass_at = mstime_from(0);
	start_tick(scheduler, sysclock_now());
}

static void end_term(struct scheduler *scheduler)
{
	if (!scheduler->dispatch)
		return;
	loop_timer_stop(scheduler->tick_timer);
	loop_timer_stop(scheduler->wake_timer);
	loop_timer_stop(scheduler->pass_timer);
	scheduler->wake_is_scheduled = 0;
	kv_cancel(scheduler->kv, scheduler);
	kv_cancel(scheduler->kv, &scheduler->self);
	scheduler_load_stop(scheduler);
	scheduler_interference_stop(scheduler);
	scheduler_commit_stop(scheduler);
	scheduler_outlook_stop(scheduler);
	scheduler_backlog_stop(scheduler);
	scheduler_links_stop(scheduler);
	dispatch_delete(scheduler->dispatch);
	scheduler->dispatch = NULL;
	scheduler_metrics_update(scheduler, sysclock_now());
	scheduler->epoch = 0;
	scheduler->removal_count = 0;
}

static void on_lost(void *arg)
{
	end_term(arg);
}

static void on_load_retry(void *arg)
{
	struct scheduler *scheduler = arg;

	scheduler_load_stop(scheduler);
	scheduler_load_start(scheduler);
}

struct scheduler *scheduler_new(struct daemon *daemon, struct kv *kv)
{
	static const struct election_handlers handlers = {
		.on_elected = on_elected,
		.on_lost = on_lost,
	};
	struct scheduler *scheduler = xcalloc(1, sizeof(*scheduler));

	scheduler->daemon = daemon;
	scheduler->kv = kv;
	scheduler->self = scheduler;
	list_init(&scheduler->links);
	str_copy(scheduler->id, daemon->settings->id, sizeof(scheduler->id));
	scheduler->tick_timer =
		loop_timer_new(daemon->loop, on_tick, scheduler);
	scheduler->wake_timer =
		loop_timer_new(daemon->loop, on_wake, scheduler);
	scheduler->pass_timer =
		loop_timer_new(daemon->loop, on_pass_timer, scheduler);
	scheduler->load_retry_timer =
		loop_timer_new(daemon->loop, on_load_retry, scheduler);
	scheduler_commit_init(scheduler);
	scheduler_metrics_init(scheduler);
	scheduler->election = election_new(daemon->loop, kv, scheduler->id,
					   &handlers, scheduler);
	return scheduler;
}

void scheduler_resign(struct scheduler *scheduler)
{
	scheduler_handover_write(scheduler);
	end_term(scheduler);
}

void scheduler_delete(struct scheduler *scheduler)
{
	if (!scheduler)
		return;
	election_delete(scheduler->election);
	end_term(scheduler);
	loop_timer_delete(scheduler->tick_timer);
	loop_timer_delete(scheduler->wake_timer);
	loop_timer_delete(scheduler->pass_timer);
	loop_timer_delete(scheduler->load_retry_timer);
	loop_timer_delete(scheduler->commit.retry_timer);
	free(scheduler);
}
