#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "mem.h"
#include "runner_internal.h"
#include "sysclock.h"
#include "workreport.h"

/* The scheduler considers a worker silent after three intervals. */
#define REPORT_INTERVAL_MS 500
/* How long a run that has ended stays in the reports; several intervals. */
#define ENDED_KEPT_MS 3000
#define REPORT_SPACING_MIN_MS 10
/* An unchanged checkpoint is sent again this often: reports may be lost. */
#define CHECKPOINT_REPEAT_MS 1000

static int checkpoint_is_due(const struct local_run *run, struct mstime now)
{
	return run->checkpoint && (!run->checkpoint_sent_at.ms ||
				   mstime_diff(now, run->checkpoint_sent_at) >=
					   CHECKPOINT_REPEAT_MS);
}

static void add_runs(struct runner *runner, struct msg_work_report *report,
		     struct mstime now)
{
	struct list *pos;

	report->runs.items = xcalloc(runner->run_count + runner->end_count + 1,
				     sizeof(*report->runs.items));
	list_for_each (pos, &runner->runs) {
		const struct local_run *run =
			list_entry(pos, struct local_run, node);
		struct run_status *status =
			&report->runs.items[report->runs.count];

		if (report->runs.count == RUNS_MAX)
			break;
		report->runs.count++;
		status->task = run->task;
		status->run = run->run;
		status->phase = run->phase;
		status->progress_percent = run->progress;
		status->latency_or_cpu = run->latency_or_cpu;
		status->checkpoint =
			checkpoint_is_due(run, now) ? run->checkpoint : "";
		status->detail = run->detail;
	}
}

static void fill_report(struct runner *runner, struct msg_work_report *report,
			struct text_item *labels, struct mstime now)
{
	const struct announcement *worker = &runner->worker;
	size_t i;

	report->epoch = runner->epoch;
	report->seq = ++runner->report_seq;
	report->session = runner->session;
	report->state = worker->state;
	report->remaining_ms = (uint32_t)worker->remaining_ms;
	if (mstime_before(now, runner->granted_until))
		report->lease_left_ms =
			(uint32_t)mstime_diff(runner->granted_until, now);
	if (!runner->is_bound)
		return;
	str_copy(report->worker, runner->target.id, ID_SIZE);
	str_copy(report->service, worker->service, ID_SIZE);
	str_copy(report->domain, runner->daemon->settings->domain,
		 sizeof(report->domain));
	report->worker_start_ms = worker->worker_start_ms;
	report->fence = runner->listed_fence;
	report->capacity = worker->capacity;
	report->list_age_ms = (uint32_t)mstime_diff(now, runner->listed_at);
	for (i = 0; i < worker->label_count; i++)
		labels[i].text = worker->labels[i];
	report->labels.items = labels;
	report->labels.count = worker->label_count;
	add_runs(runner, report, now);
	report->ends.items = runner->ends;
	report->ends.count = runner->end_count;
	runner->first_checkpoint =
		workreport_fit(report, runner->first_checkpoint);
}

static void note_sent_checkpoints(struct runner *runner,
				  const struct msg_work_report *report,
				  struct mstime now)
{
	struct list *pos;
	size_t i = 0;

	list_for_each (pos, &runner->runs) {
		struct local_run *run = list_entry(pos, struct local_run, node);

		if (i == report->runs.count)
			return;
		if (*report->runs.items[i++].checkpoint)
			run->checkpoint_sent_at = now;
	}
}

/*
 * Reports may be lost, so a run that has ended is sent in several. What a
 * report had no room for comes first in the next one.
 */
static void drop_ended(struct runner *runner,
		       const struct msg_work_report *report, struct mstime now)
{
	size_t sent = report->runs.count < runner->run_count
			      ? report->runs.count
			      : runner->run_count;

	while (sent--) {
		struct local_run *run =
			list_entry(runner->runs.next, struct local_run, node);

		list_del(&run->node);
		list_add_tail(&runner->runs, &run->node);
		if (run->ended_at.ms &&
		    mstime_diff(now, run->ended_at) > ENDED_KEPT_MS)
			local_run_delete(run);
	}
}

void runner_report_now(void *arg)
{
	struct runner *runner = arg;
	struct message msg = { MSG_WORK_REPORT };
	struct text_item labels[LABELS_MAX];
	struct mstime now = sysclock_now();
	int err;

	runner->report_due_at = mstime_add(now, REPORT_INTERVAL_MS);
	loop_timer_start(runner->report_timer, REPORT_INTERVAL_MS);
	if (!runner->scheduler_peer[0])
		return;
	fill_report(runner, &msg.u.work_report, labels, now);
	runner->reported_at = now;
	runner->report_sent_at[runner->report_seq % REPORT_RING_SIZE] = now;
	err = msglink_server_send(runner->links, runner->scheduler_peer, &msg);
	if (!err) {
		note_sent_checkpoints(runner, &msg.u.work_report, now);
		drop_ended(runner, &msg.u.work_report, now);
	}
	free(msg.u.work_report.runs.items);
	runner->reports.value++;
}

void runner_repeat_checkpoints(struct runner *runner)
{
	struct list *pos;

	list_for_each (pos, &runner->runs)
		list_entry(pos, struct local_run, node)->checkpoint_sent_at =
			mstime_from(0);
}

void runner_schedule_report(struct runner *runner, int64_t delay_ms)
{
	struct mstime now = sysclock_now();
	struct mstime due = mstime_max(
		mstime_add(now, delay_ms),
		mstime_add(runner->reported_at, REPORT_SPACING_MIN_MS));

	if (!mstime_before(due, runner->report_due_at))
		return;
	runner->report_due_at = due;
	loop_timer_start(runner->report_timer, mstime_diff(due, now));
}
