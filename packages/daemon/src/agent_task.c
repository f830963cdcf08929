#include "agent_task.h"

#include <stdlib.h>
#include <string.h>

#include "agent_evict.h"
#include "agent_tasks.h"
#include "errors.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

struct agent_task *agent_task_new(struct agent *agent, uint32_t partition,
				  const char *job, uint64_t run)
{
	struct agent_task *t = xcalloc(1, sizeof(*t));
	struct mstime now = sysclock_now();

	t->agent = agent;
	t->state = TASK_STARTING;
	t->accepted_at = now;
	t->checkpointed_at = now;
	t->lease_sent_at = now;
	t->renew_at = now;
	t->retry_at = now;
	t->throttle_percent = 100;
	t->owner_throttle_percent = 100;
	t->checkpoint_at = mstime_add(now, AGENT_CHECKPOINT_INTERVAL_MS);
	grants_add(&agent->grants, &t->grant, partition, job, run, now);
	list_add_tail(&agent->tasks, &t->node);
	return t;
}

void agent_task_delete(struct agent_task *t)
{
	gate_task_release(&t->agent->gate, &t->gate);
	grants_remove(&t->agent->grants, &t->grant);
	list_del(&t->node);
	free(t->command);
	free(t);
}

struct agent_task *agent_task_find(const struct agent *agent, const char *job)
{
	struct grant_task *grant = grants_find(&agent->grants, job);

	return grant ? list_entry(grant, struct agent_task, grant) : NULL;
}

static int64_t lease_ms(const struct agent_task *t)
{
	return t->agent->daemon->config.limits[LIMIT_TASK_LEASE_MS];
}

/* The worker refuses a call that arrives after the grant's present end. */
static struct taskapi_lease lease_of(const struct agent_task *t)
{
	struct taskapi_lease lease = { lease_ms(t), t->grant.deadline };

	return lease;
}

void agent_task_end(struct agent_task *t, enum task_state state,
		    const char *detail)
{
	t->state = state;
	str_copy(t->detail, detail, sizeof(t->detail));
	grants_end(&t->grant, sysclock_now());
	gate_task_release(&t->agent->gate, &t->gate);
	log_event(state == TASK_REFUSED ? EV_TASK_REFUSED : EV_TASK_ENDED,
		  "job=%s run=%llu state=%s reason=\"%s\" checkpoint=\"%s\"",
		  t->grant.job, (unsigned long long)t->grant.run,
		  task_state_name(state), t->detail, t->checkpoint);
	agent_tasks_report_soon(t->agent);
}

void agent_task_request_stop(struct agent_task *t, enum agent_stop_kind stop,
			     const char *reason)
{
	if (t->grant.phase == GRANT_ENDED || t->stop_kind >= stop)
		return;
	t->stop_kind = stop;
	t->stop_reason = reason;
	t->retry_at = sysclock_now();
	t->state = TASK_STOPPING;
	gate_task_stopping(&t->agent->gate, &t->gate);
	log_event(EV_TASK_STOPPING, "job=%s run=%llu reason=%s checkpoint=%d",
		  t->grant.job, (unsigned long long)t->grant.run, reason,
		  stop == STOP_WITH_CHECKPOINT);
	agent_tasks_report_soon(t->agent);
}

void agent_task_set_throttle(struct agent_task *t, uint32_t percent)
{
	if (percent > t->owner_throttle_percent)
		percent = t->owner_throttle_percent;
	if (percent == t->throttle_percent)
		return;
	t->throttle_percent = percent;
	t->throttle_due = 1;
}

static void confirm(struct agent_task *t)
{
	if (t->confirmed)
		return;
	t->confirmed = 1;
	t->confirmed_at = sysclock_now();
	t->lease_answered_at = t->confirmed_at;
	t->grant.phase = GRANT_LIVE;
	if (t->state == TASK_STARTING)
		t->state = TASK_RUNNING;
	log_event(EV_TASK_STARTED, "job=%s run=%llu checkpoint=\"%s\"",
		  t->grant.job, (unsigned long long)t->grant.run,
		  t->checkpoint);
	agent_tasks_report_soon(t->agent);
}

static void set_checkpoint(struct agent_task *t, const char *checkpoint)
{
	if (!*checkpoint || !strcmp(t->checkpoint, checkpoint))
		return;
	/* A part of it would be another checkpoint than the task's. */
	if (strlen(checkpoint) >= sizeof(t->checkpoint)) {
		if (!t->has_long_checkpoint)
			log_event(
				EV_CHECKPOINT_DROPPED,
				"job=%s run=%llu bytes=%zu max=%zu",
				t->grant.job, (unsigned long long)t->grant.run,
				strlen(checkpoint), sizeof(t->checkpoint) - 1);
		t->has_long_checkpoint = 1;
		return;
	}
	str_copy(t->checkpoint, checkpoint, sizeof(t->checkpoint));
	t->checkpointed_at = sysclock_now();
	agent_tasks_report_soon(t->agent);
}

void agent_task_observe(struct agent_task *t, const struct task_status *row)
{
	if (t->grant.phase == GRANT_ENDED)
		return;
	t->used = row->used;
	gate_task_observe(&t->agent->gate, &t->gate, &row->used);
	set_checkpoint(t, row->checkpoint);
	switch (row->state) {
	case TASK_STOPPED:
	case TASK_FINISHED:
	case TASK_FAILED:
		agent_task_end(t, row->state, row->detail);
		break;
	default:
		confirm(t);
	}
}

static void schedule_retry(struct agent_task *t, const char *call, int err)
{
	t->retry_at = mstime_add(sysclock_now(), AGENT_TASK_RETRY_DELAY_MS);
	log_event(EV_TASK_CALL_FAILED, "job=%s run=%llu call=%s error=%s",
		  t->grant.job, (unsigned long long)t->grant.run, call,
		  error_name(err));
}

/*
 * RETURN VALUE
 *	1 when the result needs no further handling: the call failed, or the
 *	run has ended.
 */
static int handle_result(struct agent_task *t, const char *call, int err)
{
	t->call_in_flight = 0;
	if (t->grant.phase == GRANT_ENDED)
		return 1;
	switch (err) {
	case 0:
		return 0;
	case ERR_NOT_FOUND:
		agent_task_end(t, TASK_LOST, "unknown-to-worker");
		return 1;
	case ERR_FENCED:
		agent_task_end(t, TASK_LOST, "fenced-by-worker");
		return 1;
	case ERR_CONFLICT:
		/* The next list shows the state in which it ended. */
		t->retry_at =
			mstime_add(sysclock_now(), AGENT_LIST_INTERVAL_MS);
		return 1;
	default:
		schedule_retry(t, call, err);
		return 1;
	}
}

/* The call did not reach the worker, or arrived after the grant's end. */
static int had_no_effect(int err)
{
	return err == ERR_UNAVAILABLE || err == ERR_TIMEOUT;
}

static void on_started(void *arg, int err)
{
	struct agent_task *t = arg;

	t->call_in_flight = 0;
	if (t->grant.phase == GRANT_ENDED)
		return;
	switch (err) {
	case 0:
		confirm(t);
		/* Stops at once a run whose grant expired during the call. */
		agent_task_step(t, sysclock_now());
		return;
	case ERR_FULL:
		agent_task_end(t, TASK_REFUSED, "worker-full");
		return;
	case ERR_INVALID:
		agent_task_end(t, TASK_REFUSED, "worker-refused");
		return;
	case ERR_FENCED:
		agent_task_end(t, TASK_REFUSED, "fenced-by-worker");
		return;
	default:
		schedule_retry(t, "start", err);
	}
	/* This start had no effect; if it was the only one, none had. */
	if (had_no_effect(err) && t->starts_sent == 1) {
		t->starts_sent = 0;
		t->grant.phase = GRANT_PENDING;
	}
	if (mstime_diff(sysclock_now(), t->accepted_at) >=
	    AGENT_START_TIMEOUT_MS)
		agent_task_request_stop(t, STOP_WITH_CHECKPOINT,
					"worker-unreachable");
}

static void call_start(struct agent_task *t, struct mstime now)
{
	struct taskapi_start start = { .job = t->grant.job,
				       .run = t->grant.run,
				       .lease = lease_of(t),
				       .reserved = t->declared,
				       .checkpoint = t->checkpoint,
				       .command = t->command };

	/* The result of a second start does not tell if the first arrived. */
	t->starts_sent++;
	t->grant.phase = GRANT_LIVE;
	t->lease_sent_at = now;
	t->renew_at = mstime_add(now, lease_ms(t) / 3);
	t->call_in_flight = 1;
	taskapi_start(t->agent->taskapi, &start, on_started, t);
}

static void on_renewed(void *arg, int err)
{
	struct agent_task *t = arg;

	if (had_no_effect(err))
		t->lease_sent_at = t->previous_lease_sent_at;
	if (handle_result(t, "renew", err))
		return;
	t->lease_answered_at = sysclock_now();
	t->renew_at = mstime_add(t->lease_sent_at, lease_ms(t) / 3);
}

static void on_throttled(void *arg, int err)
{
	struct agent_task *t = arg;

	if (!handle_result(t, "throttle", err))
		/* It may have changed again during the call. */
		t->throttle_due =
			t->throttle_percent != t->throttle_percent_sent;
}

static void on_checkpoint(void *arg, int err, const char *checkpoint)
{
	struct agent_task *t = arg;

	t->checkpoint_at =
		mstime_add(sysclock_now(), AGENT_CHECKPOINT_INTERVAL_MS);
	if (!handle_result(t, "checkpoint", err))
		set_checkpoint(t, checkpoint);
}

static void on_stopped(void *arg, int err, const char *checkpoint)
{
	struct agent_task *t = arg;

	if (handle_result(t, "stop", err))
		return;
	set_checkpoint(t, checkpoint);
	agent_task_end(t, TASK_STOPPED, t->stop_reason);
}

static void step_stop(struct agent_task *t)
{
	if (!t->starts_sent) {
		agent_task_end(t,
			       t->stop_commanded ? TASK_STOPPED : TASK_REFUSED,
			       t->stop_reason);
		return;
	}
	t->call_in_flight = 1;
	taskapi_stop(t->agent->taskapi, t->grant.job, t->grant.run,
		     t->stop_kind == STOP_WITH_CHECKPOINT, on_stopped, t);
}

static void call_renew(struct agent_task *t, struct mstime now)
{
	struct taskapi_lease lease = lease_of(t);

	t->previous_lease_sent_at = t->lease_sent_at;
	t->lease_sent_at = now;
	t->call_in_flight = 1;
	taskapi_renew(t->agent->taskapi, t->grant.job, t->grant.run, &lease,
		      on_renewed, t);
}

static void step_live(struct agent_task *t, struct mstime now)
{
	struct taskapi *api = t->agent->taskapi;
	const char *job = t->grant.job;
	uint64_t run = t->grant.run;

	if (!mstime_before(now, t->renew_at)) {
		call_renew(t, now);
	} else if (t->throttle_due) {
		t->call_in_flight = 1;
		t->throttle_percent_sent = t->throttle_percent;
		taskapi_throttle(api, job, run, t->throttle_percent,
				 on_throttled, t);
	} else if (!mstime_before(now, t->checkpoint_at)) {
		t->call_in_flight = 1;
		taskapi_checkpoint(api, job, run, on_checkpoint, t);
	}
}

/* RETURN VALUE: 1 when every lease that this agent has sent has expired. */
static int leases_expired(const struct agent_task *t, struct mstime now)
{
	return t->starts_sent && t->agent->worker_down &&
	       mstime_diff(now, t->lease_sent_at) >=
		       2 * lease_ms(t) + AGENT_LEASE_MARGIN_MS;
}

/* Stops a run whose grant has expired or whose worker does not answer. */
static void check_stop(struct agent_task *t, struct mstime now)
{
	if (grants_expired(&t->grant, now))
		agent_task_request_stop(t, STOP_WITH_CHECKPOINT,
					t->grant.granted ? "grant-expired"
							 : "no-grant");
	if (t->confirmed && t->grant.granted &&
	    mstime_diff(now, t->lease_answered_at) >= AGENT_RENEW_TIMEOUT_MS)
		agent_task_request_stop(t, STOP_WITH_CHECKPOINT,
					"worker-unreachable");
}

void agent_task_step(struct agent_task *t, struct mstime now)
{
	if (t->grant.phase == GRANT_ENDED)
		return;
	if (leases_expired(t, now)) {
		agent_task_end(t, TASK_LOST, "worker-down");
		return;
	}
	check_stop(t, now);
	if (t->call_in_flight || mstime_before(now, t->retry_at))
		return;
	if (t->stop_kind)
		step_stop(t);
	else if (!grants_valid(&t->grant, now))
		return;
	else if (t->gate.pending && agent_evict_await_capacity(t, now))
		return;
	else if (!t->confirmed)
		call_start(t, now);
	else
		step_live(t, now);
}
