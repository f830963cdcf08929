#include "agent_reports.h"

#include <stdlib.h>
#include <string.h>

#include "agent_links.h"
#include "agent_task.h"
#include "agent_tasks.h"
#include "hash.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

static struct agent_owner *find_owner(const struct agent *agent,
				      uint32_t partition)
{
	struct list *pos;

	list_for_each (pos, &agent->owners) {
		struct agent_owner *owner =
			list_entry(pos, struct agent_owner, node);

		if (owner->partition == partition)
			return owner;
	}
	return NULL;
}

void agent_reports_set_owner(struct agent_link *link, uint32_t partition,
			     uint64_t epoch)
{
	struct agent *agent = link->agent;
	struct agent_owner *owner = find_owner(agent, partition);

	if (owner && owner->epoch == epoch && owner->link == link)
		return;
	if (!owner) {
		owner = xcalloc(1, sizeof(*owner));
		owner->partition = partition;
		list_add_tail(&agent->owners, &owner->node);
	}
	owner->epoch = epoch;
	owner->link = link;
	log_event(EV_TASK_OWNER, "partition=%u epoch=%llu entry=%s", partition,
		  (unsigned long long)epoch, link->address);
	agent_tasks_report_all(agent);
}

void agent_tasks_link_removed(struct agent_link *link)
{
	struct list *pos;

	list_for_each (pos, &link->agent->owners) {
		struct agent_owner *owner =
			list_entry(pos, struct agent_owner, node);

		if (owner->link == link)
			owner->link = NULL;
	}
}

void agent_tasks_report_soon(struct agent *agent)
{
	if (agent->report_timer)
		loop_timer_start(agent->report_timer, 0);
}

void agent_tasks_report_all(struct agent *agent)
{
	agent->report_all = 1;
	agent_tasks_report_soon(agent);
}

static void send_report(struct agent *agent, const struct message *msg)
{
	const struct agent_owner *owner =
		find_owner(agent, msg->u.task_report.partition);
	struct list *pos;

	if (owner && owner->link && owner->link->answering) {
		agent_link_send(owner->link, msg);
		return;
	}
	list_for_each (pos, &agent->links)
		agent_link_send(list_entry(pos, struct agent_link, node), msg);
}

static void fill_row(struct task_status *row, const struct agent_task *t)
{
	str_copy(row->job, t->grant.job, sizeof(row->job));
	row->run = t->grant.run;
	row->state = t->state;
	row->used = t->used;
	row->checkpoint = t->checkpoint;
	row->detail = t->detail;
}

/* Hash of all that a report says about the run except its usage; never 0. */
static uint64_t hash_run(const struct agent_task *t)
{
	uint64_t parts[] = { t->grant.run, (uint64_t)t->state,
			     hash_str(t->checkpoint), hash_str(t->detail) };

	return hash_bytes(parts, sizeof(parts)) | 1;
}

static int is_due(const struct agent *agent, const struct agent_task *t)
{
	return t->report_round != agent->report_round &&
	       grants_reportable(&t->grant) &&
	       (agent->report_all || t->reported_hash != hash_run(t));
}

/*
 * Sends one report of runs of first's partition that are due in this round, at
 * most AGENT_REPORT_TASKS_MAX of them.
 */
static void report_partition(struct agent *agent, struct list *first)
{
	uint32_t partition =
		list_entry(first, struct agent_task, node)->grant.partition;
	struct task_status rows[AGENT_REPORT_TASKS_MAX];
	struct message msg = { .type = MSG_TASK_REPORT };
	struct msg_task_report *report = &msg.u.task_report;
	struct mstime now = sysclock_now();
	struct list *pos;

	report->seq = ++agent->report_seq;
	report->partition = partition;
	report->epoch = grants_epoch(&agent->grants, partition);
	report->tasks.items = rows;
	str_copy(report->agent, agent->daemon->settings->id,
		 sizeof(report->agent));
	for (pos = first; pos != &agent->tasks; pos = pos->next) {
		struct agent_task *t = list_entry(pos, struct agent_task, node);

		if (t->grant.partition != partition || !is_due(agent, t))
			continue;
		t->report_round = agent->report_round;
		t->reported_hash = hash_run(t);
		grants_record_report(&t->grant, report->seq, now);
		fill_row(&rows[report->tasks.count++], t);
		if (report->tasks.count == AGENT_REPORT_TASKS_MAX)
			break;
	}
	send_report(agent, &msg);
}

void agent_reports_answer_owner(struct agent *agent, uint32_t partition)
{
	struct message msg = { .type = MSG_TASK_REPORT };
	struct msg_task_report *report = &msg.u.task_report;
	struct list *pos;

	list_for_each (pos, &agent->tasks) {
		const struct agent_task *t =
			list_entry(pos, struct agent_task, node);

		if (t->grant.partition == partition &&
		    grants_reportable(&t->grant))
			return;
	}
	report->seq = ++agent->report_seq;
	report->partition = partition;
	report->epoch = grants_epoch(&agent->grants, partition);
	str_copy(report->agent, agent->daemon->settings->id,
		 sizeof(report->agent));
	send_report(agent, &msg);
}

/*
 * Immediate reports list only the runs that changed: with all runs in each
 * report, a run cost twice as many bytes at 200 runs. The full report every
 * second extends the grants and makes up for lost reports.
 */
static void on_timer(void *arg)
{
	struct agent *agent = arg;
	struct mstime now = sysclock_now();
	struct list *pos;

	if (mstime_diff(now, agent->full_report_at) >= AGENT_REPORT_INTERVAL_MS)
		agent->report_all = 1;
	if (agent->report_all)
		agent->full_report_at = now;
	agent->report_round++;
	list_for_each (pos, &agent->tasks)
		if (is_due(agent, list_entry(pos, struct agent_task, node)))
			report_partition(agent, pos);
	agent->report_all = 0;
	loop_timer_start(agent->report_timer,
			 AGENT_REPORT_INTERVAL_MS -
				 mstime_diff(now, agent->full_report_at));
}

void agent_reports_start(struct agent *agent)
{
	agent->report_timer =
		loop_timer_new(agent->daemon->loop, on_timer, agent);
	loop_timer_start(agent->report_timer, AGENT_REPORT_INTERVAL_MS);
}

void agent_reports_stop(struct agent *agent)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &agent->owners)
		free(list_entry(pos, struct agent_owner, node));
	list_init(&agent->owners);
	loop_timer_delete(agent->report_timer);
	agent->report_timer = NULL;
}
