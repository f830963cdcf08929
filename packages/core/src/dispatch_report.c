#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "dispatch.h"
#include "dispatch_internal.h"
#include "errors.h"
#include "mem.h"
#include "workreport.h"

/* Number of fences of one scheduler epoch; the epoch is the high part. */
#define FENCES_PER_EPOCH 4096

/*
 * Reports that follow each other sooner share a response; what they cause is
 * ordered at once. Leases are extended by responses.
 */
#define RESPONSE_INTERVAL_MS 300

/*
 * The members of a gang end together, so what one of them saved then is newer
 * than what a running one is still reported to have saved.
 */
#define SAVED_AT_END (UINT64_C(1) << 63)

/* Rows of the first list of pending ends. */
#define PENDING_ENDS_MIN 16

static void renew_fence(struct dispatch *dispatch, struct worker *worker)
{
	worker->incarnations++;
	worker->fence = dispatch->epoch * FENCES_PER_EPOCH +
			worker->incarnations % FENCES_PER_EPOCH;
	worker->has_current_lists = 0;
	worker->needs_fence = 0;
	worker->needs_response = 1;
}

static void drop_previous_runs(struct dispatch *dispatch, struct worker *worker,
			       struct mstime now)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);

		/* A report of the previous worker may arrive late. */
		if (run->worker_start_ms >= worker->start_ms)
			continue;
		dispatch_emit(dispatch, DISPATCH_RUN_LOST, run->workflow,
			      worker, &run->id, run->number,
			      "worker-restarted");
		dispatch_run_end(dispatch, run, now);
	}
}

/*
 * Unreported ends of the previous worker are lost; known ones get stored. A
 * worker that has restarted under its id may still carry out a start that was
 * meant for the previous one, until its lists were read under the new fence.
 */
static void replace_worker(struct dispatch *dispatch, struct worker *worker,
			   const struct msg_work_report *report,
			   struct mstime now)
{
	int same_id = !strcmp(worker->id, report->worker);

	str_copy(worker->id, report->worker, sizeof(worker->id));
	worker->start_ms = report->worker_start_ms;
	worker->last_end_number = 0;
	worker->stored_end_number = 0;
	worker->pending_end_count = 0;
	list_del(&worker->ends_node);
	worker->consecutive_failures = 0;
	worker->needs_fence = 1;
	if (!same_id)
		drop_previous_runs(dispatch, worker, now);
}

static void start_session(struct worker *worker, uint64_t session)
{
	struct list *pos;

	worker->previous_session = worker->session;
	worker->session = session;
	worker->report_seq = 0;
	worker->has_current_lists = 0;
	worker->needs_fence = 1;
	list_for_each (pos, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);

		run->is_active = 0;
		if (run->state == RUN_CONFIRMED)
			run->state = RUN_SAVED;
		run->unconfirmed_since = mstime_from(0);
		run->pace_sent = PACE_UNKNOWN;
	}
}

static void copy_labels(struct worker *worker, const struct text_list *labels)
{
	size_t i;

	worker->label_count = 0;
	for (i = 0; i < labels->count && worker->label_count < LABELS_MAX; i++)
		if (!str_copy(worker->labels[worker->label_count],
			      labels->items[i].text, NAME_SIZE))
			worker->label_count++;
}

static void copy_description(const struct dispatch *dispatch,
			     struct worker *worker,
			     const struct msg_work_report *report,
			     struct mstime now)
{
	worker->state = (enum worker_state)report->state;
	worker->capacity = report->capacity;
	str_copy(worker->service, report->service, sizeof(worker->service));
	str_copy(worker->domain, report->domain, sizeof(worker->domain));
	worker->is_evacuated = (unsigned)evacuations_contain(
		&dispatch->evacuations, worker->domain);
	if (worker->state != WORKER_LEAVING)
		worker->leaves_at = mstime_from(0);
	else if (report->remaining_ms)
		worker->leaves_at = mstime_add(now, report->remaining_ms);
	copy_labels(worker, &report->labels);
}

int dispatch_starts_nothing(const struct run *run)
{
	return mstime_before(run->worker->started_at, run->unconfirmed_since);
}

static void handle_failed_task(struct dispatch *dispatch,
			       struct workflow *workflow,
			       const struct task_id *id, struct mstime now)
{
	const struct workflow_step *step = &workflow->spec.steps[id->step];
	struct workflow_task *task = workflow_find_task(workflow, id);

	if (!task)
		return;
	task->not_before = mstime_add(now, dispatch->limits.retry_delay_ms);
	if (step->long_running)
		return;
	task->failures++;
	if (workflow->queue.max_attempts &&
	    task->failures >= workflow->queue.max_attempts &&
	    !workflow_is_final(workflow))
		workflow->state = WORKFLOW_FAILED;
}

static int text_is_utf8(const char *text)
{
	json_t *json = json_string(text);

	json_decref(json);
	return json != NULL;
}

/* A task without a state needs none: its step is done. */
static void set_checkpoint(struct dispatch *dispatch, struct workflow *workflow,
			   const struct task_id *id, const char *checkpoint,
			   int at_end)
{
	struct workflow_task *task = workflow_find_task(workflow, id);

	if (!task || !checkpoint || !*checkpoint)
		return;
	if (task->checkpoint && !strcmp(task->checkpoint, checkpoint))
		return;
	/* The stored state would be unreadable for the next scheduler. */
	if (!text_is_utf8(checkpoint))
		return;
	workflow_set_checkpoint(workflow, task, checkpoint);
	task->checkpoint_order = ++dispatch->checkpoint_count;
	if (at_end)
		task->checkpoint_order |= SAVED_AT_END;
}

/* Only the worker tells that it has begun a task; an order may never start. */
static void note_started(struct dispatch *dispatch, struct workflow *workflow)
{
	if (!workflow || workflow->started || workflow_is_final(workflow))
		return;
	workflow->started = 1;
	dispatch_mark_changed(dispatch, workflow);
}

/* Handles the end of a known run. */
static void handle_run_end(struct dispatch *dispatch, struct run *run,
			   const struct ended_run *end, struct mstime now)
{
	struct workflow *workflow = run->workflow;
	const struct workflow_step *step = &workflow->spec.steps[run->id.step];
	struct task_id id = run->id;

	set_checkpoint(dispatch, workflow, &id, end->checkpoint, 1);
	if (end->how == RUN_END_FAILED) {
		handle_failed_task(dispatch, workflow, &id, now);
		dispatch_count_failure(dispatch, run->worker, workflow, now);
	}
	if (end->how == RUN_END_DONE) {
		run->worker->consecutive_failures = 0;
		dispatch_learn_duration(dispatch, run, now);
		if (!step->long_running)
			workflow_task_done(workflow, id.occurrence, id.step,
					   id.index);
	}
	dispatch_run_end(dispatch, run, now);
	dispatch_check_final(dispatch, workflow, now);
}

/* As many may be pending as runs have ended since something was stored. */
static struct pending_end *add_pending_end(struct worker *worker,
					   uint64_t number)
{
	struct pending_end *end;

	if (worker->pending_end_count == worker->pending_ends_size) {
		worker->pending_ends_size =
			2 * worker->pending_ends_size + PENDING_ENDS_MIN;
		worker->pending_ends =
			xrealloc(worker->pending_ends,
				 worker->pending_ends_size * sizeof(*end));
	}
	end = &worker->pending_ends[worker->pending_end_count++];
	end->number = number;
	end->workflow = NULL;
	end->version = 0;
	return end;
}

static void process_end(struct dispatch *dispatch, struct worker *worker,
			const struct ended_run *end, struct mstime now)
{
	struct run *run;
	struct pending_end *record;

	if (end->number <= worker->last_end_number)
		return;
	worker->last_end_number = end->number;
	record = add_pending_end(worker, end->number);
	if (list_empty(&worker->ends_node))
		list_add_tail(&dispatch->workers_with_ends, &worker->ends_node);
	note_started(dispatch, dispatch_find_workflow(dispatch, end->task.job));
	run = dispatch_run_find(worker, &end->task, end->run);
	dispatch_emit(dispatch, DISPATCH_RUN_ENDED, run ? run->workflow : NULL,
		      worker, &end->task, end->run,
		      run_end_name((enum run_end)end->how));
	if (!run)
		return;
	if (run->is_orphan) {
		dispatch_run_end(dispatch, run, now);
		return;
	}
	record->workflow = run->workflow;
	handle_run_end(dispatch, run, end, now);
	record->version = dispatch->version;
}

static struct run *orphan_new(struct dispatch *dispatch, struct worker *worker,
			      const struct run_status *status)
{
	struct workflow *workflow =
		dispatch_find_workflow(dispatch, status->task.job);
	struct run *run;

	if (workflow && workflow_has_task(workflow, &status->task)) {
		run = dispatch_run_new(dispatch, worker, workflow,
				       &status->task, status->run);
	} else {
		run = xcalloc(1, sizeof(*run));
		list_init(&run->serving_node);
		list_init(&run->unsaved_node);
		list_init(&run->image_node);
		run->worker = worker;
		run->id = status->task;
		run->number = status->run;
		list_add_tail(&worker->runs, &run->node);
		worker->run_count++;
	}
	run->is_orphan = 1;
	run->is_ordered = 1;
	run->worker_start_ms = worker->start_ms;
	dispatch_emit(dispatch, DISPATCH_RUN_ORPHANED, workflow, worker,
		      &status->task, status->run, "not-assigned-here");
	return run;
}

/* Whether the run should have started and didn't. */
static int is_failed_start(const struct run *run,
			   const struct run_status *status)
{
	if (status->phase == RUN_REFUSED)
		return 1;
	return !run->is_active && !run->is_orphan &&
	       !workflow_is_final(run->workflow);
}

static void handle_refused_run(struct dispatch *dispatch, struct run *run,
			       const struct run_status *status,
			       struct mstime now)
{
	struct workflow_task *task;

	dispatch_emit(dispatch, DISPATCH_RUN_LOST, run->workflow, run->worker,
		      &run->id, run->number, status->detail);
	if (is_failed_start(run, status)) {
		/* The penalty of the eviction may have passed by now. */
		if (run->is_evicted && dispatch_starts_nothing(run))
			dispatch_penalize(dispatch, run->worker, now);
		else
			dispatch_count_failure(dispatch, run->worker, NULL,
					       now);
	}
	if (run->workflow && !run->is_orphan) {
		task = workflow_find_task(run->workflow, &run->id);
		if (task)
			task->not_before = mstime_add(
				now, dispatch->limits.retry_delay_ms);
	}
	dispatch_run_end(dispatch, run, now);
}

/* Its end may be listed only once those that wait to be stored are. */
static int may_have_ended(const struct worker *worker,
			  const struct run_status *status)
{
	return status->progress_percent == 100 && worker->pending_end_count;
}

static void process_status(struct dispatch *dispatch, struct worker *worker,
			   const struct run_status *status, uint64_t seq,
			   struct mstime now)
{
	struct run *run = dispatch_run_find(worker, &status->task, status->run);
	int exists =
		status->phase == RUN_PENDING || status->phase == RUN_ACTIVE;

	if (!run && !exists)
		return;
	if (!run)
		run = orphan_new(dispatch, worker, status);
	run->last_report_seq = seq;
	if (!exists) {
		handle_refused_run(dispatch, run, status, now);
		return;
	}
	run->state = RUN_CONFIRMED;
	run->worker_start_ms = worker->start_ms;
	if (status->phase == RUN_PENDING) {
		if (!run->unconfirmed_since.ms)
			run->unconfirmed_since = now;
		return;
	}
	if (!run->is_active) {
		run->is_active = 1;
		run->active_at = now;
		run->progress_first = status->progress_percent;
		worker->started_at = now;
		note_started(dispatch, run->workflow);
	}
	if (run->progress != status->progress_percent || !run->progress_at.ms ||
	    run->pace < 100 || may_have_ended(worker, status))
		run->progress_at = now;
	run->progress = status->progress_percent;
	run->latency_or_cpu = status->latency_or_cpu;
	if (run->workflow && !run->is_orphan)
		set_checkpoint(dispatch, run->workflow, &run->id,
			       status->checkpoint, 0);
}

/* Drops confirmed runs that the runner no longer reports. */
static void drop_unreported(struct dispatch *dispatch, struct worker *worker,
			    uint64_t seq, struct mstime now)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (run->last_report_seq == seq ||
		    (!run->is_orphan && run->state != RUN_CONFIRMED))
			continue;
		if (!run->is_orphan)
			dispatch_emit(dispatch, DISPATCH_RUN_LOST,
				      run->workflow, worker, &run->id,
				      run->number, "not-reported");
		dispatch_run_end(dispatch, run, now);
	}
}

static void process_lists(struct dispatch *dispatch, struct worker *worker,
			  const struct msg_work_report *report,
			  struct mstime now)
{
	size_t i;

	for (i = 0; i < report->ends.count; i++)
		process_end(dispatch, worker, &report->ends.items[i], now);
	/* Ends without a change to store are acknowledged at once. */
	dispatch_acknowledge_ends(worker);
	for (i = 0; i < report->runs.count; i++)
		process_status(dispatch, worker, &report->runs.items[i],
			       report->seq, now);
	drop_previous_runs(dispatch, worker, now);
	if (workreport_is_whole(report))
		drop_unreported(dispatch, worker, report->seq, now);
	dispatch_update_paces(dispatch, worker, now);
}

int dispatch_report(struct dispatch *dispatch, const char *runner,
		    const struct msg_work_report *report, struct mstime now)
{
	struct worker *worker = dispatch_get_worker(dispatch, runner, now);

	dispatch->now = now;
	if (report->epoch != dispatch->epoch)
		return ERR_FENCED;
	if (report->session == worker->previous_session ||
	    (report->session == worker->session &&
	     report->seq <= worker->report_seq))
		return ERR_FENCED;
	if (report->session != worker->session)
		start_session(worker, report->session);
	worker->report_seq = report->seq;
	worker->reported_at = now;
	if (mstime_diff(now, worker->responded_at) >= RESPONSE_INTERVAL_MS)
		worker->needs_response = 1;
	dispatch_note_orders(worker);
	worker->list_age_ms = report->list_age_ms;
	worker->is_unbound = !report->worker[0];
	worker->listed_fence = report->fence;
	dispatch_bound_lease(dispatch, worker, report, now);
	if (!report->worker[0]) {
		worker->state = WORKER_ABSENT;
		return 0;
	}
	if (report->worker_start_ms != worker->start_ms ||
	    strcmp(report->worker, worker->id))
		replace_worker(dispatch, worker, report, now);
	copy_description(dispatch, worker, report, now);
	if (worker->needs_fence) {
		renew_fence(dispatch, worker);
		dispatch_emit(dispatch, DISPATCH_WORKER_SEEN, NULL, worker,
			      NULL, 0, "session-or-worker");
	}
	if (report->fence != worker->fence)
		return 0;
	worker->has_current_lists = 1;
	process_lists(dispatch, worker, report, now);
	return 0;
}
