#include "agent_tasks.h"

#include <string.h>

#include "agent_interference.h"
#include "agent_reports.h"
#include "agent_requests.h"
#include "agent_evict.h"
#include "agent_task.h"
#include "errors.h"
#include "jobspec.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

static struct agent_task *task_of(struct list *pos)
{
	return list_entry(pos, struct agent_task, node);
}

static uint32_t partition_of(const struct agent *agent, const char *job)
{
	const int64_t *limits = agent->daemon->config.limits;

	return job_partition(job, (uint32_t)limits[LIMIT_PARTITIONS]);
}

static void record_fenced(struct agent_link *link, const char *command,
			  uint64_t epoch, const char *job, uint64_t run)
{
	link->agent->counters.fenced_messages.value++;
	log_event(EV_TASK_FENCED,
		  "entry=%s command=%s epoch=%llu job=%s run=%llu",
		  link->address, command, (unsigned long long)epoch, job,
		  (unsigned long long)run);
}

/* Adds a run in place of the previous, ended run of the job. */
static struct agent_task *replace_run(struct agent *agent, uint32_t partition,
				      const char *job, uint64_t run)
{
	struct agent_task *old = agent_task_find(agent, job);

	/* A call in progress refers to its task until the call ends. */
	if (old && !old->call_in_flight)
		agent_task_delete(old);
	return agent_task_new(agent, partition, job, run);
}

/* RETURN VALUE: why the run cannot be accepted, or NULL. */
static const char *accept_run(struct agent_task *t, int urgent)
{
	struct agent *agent = t->agent;
	int err;

	if (agent->stopping)
		return "leaving";
	if (agent->domain_drained)
		return "drained";
	if (!agent->worker_known || agent->worker_down)
		return "worker-down";
	err = gate_task_reserve(&agent->gate, &t->gate, &t->declared);
	if (err == ERR_FULL && urgent)
		err = agent_evict_for(t);
	switch (err) {
	case 0:
		return NULL;
	case ERR_TOO_LARGE:
		return "larger-than-worker";
	case ERR_STOPPING:
		return "leaving";
	default:
		return "no-room";
	}
}

static void add_run(struct agent *agent, const struct msg_task_start *msg)
{
	struct agent_task *t =
		replace_run(agent, msg->partition, msg->job, msg->run);
	const char *refusal;

	t->declared = msg->reserved;
	t->command = xstrdup(msg->command);
	str_copy(t->checkpoint, msg->checkpoint, sizeof(t->checkpoint));
	t->evictable = !msg->urgent;
	t->protected_until = mstime_add(t->accepted_at, msg->eviction_pause_ms);
	refusal = accept_run(t, (int)msg->urgent);
	if (refusal) {
		agent_task_end(t, TASK_REFUSED, refusal);
		return;
	}
	log_event(EV_TASK_ACCEPTED,
		  "job=%s run=%llu partition=%u epoch=%llu cpu_milli=%u "
		  "mem_mb=%u accel=%u",
		  t->grant.job, (unsigned long long)t->grant.run,
		  msg->partition, (unsigned long long)msg->epoch,
		  t->declared.cpu_milli, t->declared.mem_mb, t->declared.accel);
	agent_tasks_report_soon(agent);
}

/* Reports a run whose state the owner has not seen or has lost. */
static void report_again(struct agent_task *t)
{
	t->adopted = 0;
	t->grant.end_acked = 0;
	t->reported_hash = 0;
	agent_tasks_report_soon(t->agent);
}

/*
 * Checks a command; *task receives the run if it is known here.
 *
 * RETURN VALUE
 *	0, ERR_NOT_FOUND when the run is not known here, or another error, after
 *	which the command is dropped.
 */
static int check_command(struct agent_link *link, const char *command,
			 uint32_t partition, uint64_t epoch, const char *job,
			 uint64_t run, struct agent_task **task)
{
	struct agent *agent = link->agent;
	struct grant_task *grant;
	int err = grants_check_command(&agent->grants, partition, epoch, job,
				       run, &grant);

	*task = grant ? list_entry(grant, struct agent_task, grant) : NULL;
	if (err == ERR_FENCED)
		record_fenced(link, command, epoch, job, run);
	if (epoch == grants_epoch(&agent->grants, partition))
		agent_reports_set_owner(link, partition, epoch);
	if (err == ERR_CONFLICT)
		agent_task_request_stop(*task, STOP_WITH_CHECKPOINT,
					"superseded");
	return err;
}

void agent_tasks_on_start(struct agent_link *link,
			  const struct msg_task_start *msg)
{
	struct agent_task *t;
	int err = check_command(link, "start", msg->partition, msg->epoch,
				msg->job, msg->run, &t);

	if (!err)
		report_again(t);
	else if (err == ERR_NOT_FOUND)
		add_run(link->agent, msg);
}

void agent_tasks_on_stop(struct agent_link *link,
			 const struct msg_task_stop *msg)
{
	struct agent_task *t;
	int err = check_command(link, "stop", msg->partition, msg->epoch,
				msg->job, msg->run, &t);

	if (err == ERR_NOT_FOUND) {
		/*
		 * Until its list is read, the worker may have the run. The
		 * owner sends the stop again.
		 */
		if (!link->agent->worker_known)
			return;
		/* Makes a start that arrives after this stop be refused. */
		t = replace_run(link->agent, msg->partition, msg->job,
				msg->run);
		agent_task_end(t, TASK_LOST, "not-known");
		return;
	}
	if (err)
		return;
	report_again(t);
	t->stop_commanded = 1;
	agent_task_request_stop(
		t,
		msg->mode == STOP_EVICT ? STOP_WITH_CHECKPOINT
					: STOP_WITHOUT_CHECKPOINT,
		msg->mode == STOP_EVICT ? "evicted" : "cancelled");
	agent_task_step(t, sysclock_now());
}

void agent_tasks_on_throttle(struct agent_link *link,
			     const struct msg_task_throttle *msg)
{
	struct agent_task *t;

	if (check_command(link, "throttle", msg->partition, msg->epoch,
			  msg->job, msg->run, &t))
		return;
	t->owner_throttle_percent = msg->percent;
	agent_task_set_throttle(t, t->interference.level_percent
					   ? t->interference.level_percent
					   : 100);
	agent_task_step(t, sysclock_now());
}

static void step_all(struct agent *agent)
{
	struct mstime now = sysclock_now();
	struct list *pos;

	list_for_each (pos, &agent->tasks)
		agent_task_step(task_of(pos), now);
}

void agent_tasks_on_ack(struct agent_link *link,
			const struct msg_task_report_ack *msg)
{
	struct agent *agent = link->agent;

	if (grants_ack(&agent->grants, msg->partition, msg->epoch, msg->seq,
		       (int)msg->ends_recorded, sysclock_now()) < 0) {
		record_fenced(link, "ack", msg->epoch, "", 0);
		return;
	}
	agent_reports_set_owner(link, msg->partition, msg->epoch);
	step_all(agent);
	agent_check_stopped(agent);
}

void agent_tasks_on_owner(struct agent_link *link, const struct msg_owner *msg)
{
	int advanced = grants_advance_epoch(&link->agent->grants,
					    msg->partition, msg->epoch);

	if (advanced < 0) {
		record_fenced(link, "owner", msg->epoch, "", 0);
		return;
	}
	agent_reports_set_owner(link, msg->partition, msg->epoch);
	if (!advanced)
		agent_reports_answer_owner(link->agent, msg->partition);
}

static void adopt(struct agent *agent, const struct taskapi_task *row)
{
	const struct task_status *status = &row->status;
	struct agent_task *t =
		replace_run(agent, partition_of(agent, status->job),
			    status->job, status->run);

	t->adopted = 1;
	t->starts_sent = 1;
	/* The previous agent process may have left it throttled. */
	t->throttle_due = 1;
	t->confirmed = 1;
	t->confirmed_at = agent->list_sent_at;
	t->lease_answered_at = sysclock_now();
	t->declared = row->declared;
	t->state = TASK_RUNNING;
	t->grant.phase = GRANT_LIVE;
	gate_task_adopt(&agent->gate, &t->gate, &status->used);
	t->gate.declared = row->declared;
	log_event(EV_TASK_ADOPTED, "job=%s run=%llu state=%s partition=%u",
		  status->job, (unsigned long long)status->run,
		  task_state_name(status->state), t->grant.partition);
	agent_task_observe(t, status);
	agent_tasks_report_soon(agent);
}

static void ignore_stop(void *arg, int err, const char *checkpoint)
{
}

/* Stops a run that the worker still runs and a later run has replaced. */
static void stop_replaced(struct agent *agent, const struct task_status *status)
{
	if (status->state != TASK_RUNNING)
		return;
	log_event(EV_TASK_STOPPING,
		  "job=%s run=%llu reason=superseded checkpoint=1", status->job,
		  (unsigned long long)status->run);
	taskapi_stop(agent->taskapi, status->job, status->run, 1, ignore_stop,
		     agent);
}

static void apply_row(struct agent *agent, const struct taskapi_task *row)
{
	const struct task_status *status = &row->status;
	struct agent_task *t = agent_task_find(agent, status->job);

	if (t && status->run < t->grant.run) {
		stop_replaced(agent, status);
		return;
	}
	if (!t || status->run > t->grant.run)
		adopt(agent, row);
	else
		agent_task_observe(t, status);
	agent_task_find(agent, status->job)->list_round = agent->list_round;
}

/* Ends the runs that the worker had and does not list any more. */
static void end_lost(struct agent *agent)
{
	struct list *pos;

	list_for_each (pos, &agent->tasks) {
		struct agent_task *t = task_of(pos);

		if (t->grant.phase == GRANT_ENDED || !t->confirmed ||
		    t->list_round == agent->list_round ||
		    !mstime_before(t->confirmed_at, agent->list_sent_at))
			continue;
		agent_task_end(t, TASK_LOST, "not-listed");
	}
}

static void check_overcommitted(struct agent *agent)
{
	struct resources r = gate_reserved(&agent->gate);
	int over = gate_overcommitted(&agent->gate);

	if (over && !agent->overcommitted)
		log_event(EV_WORKER_OVER, "cpu_milli=%u mem_mb=%u accel=%u",
			  r.cpu_milli, r.mem_mb, r.accel);
	agent->overcommitted = over;
}

static void on_list_failed(struct agent *agent, int err)
{
	agent->consecutive_list_failures++;
	if (err != ERR_UNAVAILABLE &&
	    agent->consecutive_list_failures < AGENT_WORKER_DOWN_FAILURES)
		return;
	agent->worker_down = 1;
	agent_update_state(agent);
}

static void on_list(void *arg, int err, const struct taskapi_task *tasks,
		    size_t count)
{
	struct agent *agent = arg;
	size_t i;

	agent->list_in_flight = 0;
	if (err) {
		on_list_failed(agent, err);
		return;
	}
	agent->consecutive_list_failures = 0;
	agent->list_round++;
	for (i = 0; i < count; i++)
		apply_row(agent, &tasks[i]);
	end_lost(agent);
	check_overcommitted(agent);
	agent_interference_tick(agent);
	agent->worker_known = 1;
	agent->worker_down = 0;
	agent_update_state(agent);
	if (agent->stopping || agent->domain_drained)
		agent_tasks_stop_runs(agent, "leaving");
}

static void remove_ended(struct agent *agent, struct mstime now)
{
	struct grant_task *grant;

	while ((grant = grants_find_removable(&agent->grants, now))) {
		struct agent_task *t =
			list_entry(grant, struct agent_task, grant);

		if (t->call_in_flight)
			return;
		agent_task_delete(t);
	}
}

static void count_states(struct agent *agent)
{
	struct list *pos;
	int i;

	for (i = 0; i < TASK_STATE_COUNT; i++)
		agent->counters.tasks[i].value = 0;
	list_for_each (pos, &agent->tasks)
		agent->counters.tasks[task_of(pos)->state].value++;
}

static void on_timer(void *arg)
{
	struct agent *agent = arg;
	struct mstime now = sysclock_now();

	if (!agent->list_in_flight &&
	    (!agent->worker_known ||
	     mstime_diff(now, agent->list_sent_at) >= AGENT_LIST_INTERVAL_MS)) {
		agent->list_in_flight = 1;
		agent->list_sent_at = now;
		taskapi_list(agent->taskapi, on_list, agent);
	}
	step_all(agent);
	remove_ended(agent, now);
	count_states(agent);
	loop_timer_start(agent->task_timer, AGENT_TASK_TICK_MS);
}

int agent_tasks_start(struct agent *agent)
{
	struct daemon *daemon = agent->daemon;

	interference_init(&agent->interference);
	grants_init(&agent->grants, daemon->config.limits[LIMIT_GRANT_MS]);
	agent->taskapi = taskapi_new(daemon->loop, daemon->settings->tasks,
				     AGENT_TASK_CALL_TIMEOUT_MS);
	if (!agent->taskapi)
		return ERR_SYSTEM;
	agent->task_timer = loop_timer_new(daemon->loop, on_timer, agent);
	agent_reports_start(agent);
	loop_timer_start(agent->task_timer, 0);
	return 0;
}

void agent_tasks_stop(struct agent *agent)
{
	struct list *pos, *tmp;

	taskapi_delete(agent->taskapi);
	list_for_each_safe (pos, tmp, &agent->tasks)
		agent_task_delete(task_of(pos));
	agent_reports_stop(agent);
	loop_timer_delete(agent->task_timer);
	if (agent->taskapi)
		grants_clear(&agent->grants);
}

void agent_tasks_on_config(struct agent *agent)
{
	struct list *pos;

	agent->grants.grant_ms = agent->daemon->config.limits[LIMIT_GRANT_MS];
	list_for_each (pos, &agent->tasks) {
		struct agent_task *t = task_of(pos);

		if (t->adopted)
			t->grant.partition = partition_of(agent, t->grant.job);
	}
	agent_tasks_report_all(agent);
}

void agent_tasks_stop_runs(struct agent *agent, const char *reason)
{
	struct list *pos;

	list_for_each (pos, &agent->tasks)
		agent_task_request_stop(task_of(pos), STOP_WITH_CHECKPOINT,
					reason);
	step_all(agent);
}

uint32_t agent_tasks_count_reportable(const struct agent *agent)
{
	const struct list *pos;
	uint32_t count = 0;

	list_for_each (pos, &agent->tasks)
		count += (uint32_t)grants_reportable(
			&list_entry(pos, struct agent_task, node)->grant);
	return count;
}
