#include "dispatch.h"

#include <stdlib.h>
#include <string.h>

#include "dispatch_internal.h"
#include "errors.h"
#include "hash.h"
#include "mem.h"

const struct dispatch_limits dispatch_defaults = {
	/* Less than the worker's limit of 6 s for the leases of runs. */
	.lease_ms = 5500,
	/* The lease, plus 2% drift of the worker's clock and 300 ms. */
	.lease_max_ms = 5910,
	/* The scheduler's own lease of 1.5 s, plus a call in flight. */
	.takeover_grace_ms = 2500,
	/* Several round trips between regions, and less than the limit
	 * for the effect of a cancel. */
	.resend_interval_ms = 400,
	/* A failing worker must not use up all attempts at once. */
	.retry_delay_ms = 50,
	/* Callers may query the state of a final job for 120 s. */
	.final_retention_ms = 130000,
	/* Three report intervals. */
	.worker_report_timeout_ms = 1600,
	.worker_penalty_ms = 3000,
	/* Four report intervals, about the run time of a task. */
	.stuck_timeout_ms = 2000,
	/* The average usage is well below the declared sizes. */
	.assumed_usage_percent = 45,
	.memory_max = 32 * 1024 * 1024,
	.reservations_max = RESERVATIONS_MAX,
};

/*
 * Ends of the tasks of a step that follow each other are stored together. What
 * starts wait for goes before them, after the second time by turns.
 */
#define SAVE_AFTER_MS 200
#define SAVE_WITHIN_MS 1000
/*
 * No more is assigned while so many workflows wait to be stored, which is two
 * commits: their runs could not be started, but would hold their room.
 */
#define UNSAVED_MAX 30

/* At a lower pace a run makes no measurable progress. */
#define STUCK_PACE_MIN 50

void dispatch_emit(struct dispatch *dispatch, enum dispatch_event_kind kind,
		   const struct workflow *workflow, const struct worker *worker,
		   const struct task_id *task, uint32_t run, const char *reason)
{
	struct dispatch_event event = { .kind = kind,
					.workflow = workflow,
					.worker = worker,
					.task = task,
					.run = run,
					.reason = reason };

	if (dispatch->event_fn)
		dispatch->event_fn(dispatch->event_arg, &event);
}

struct dispatch *dispatch_new(const struct dispatch_limits *limits,
			      uint64_t epoch, struct mstime now,
			      dispatch_event_fn fn, void *arg)
{
	struct dispatch *dispatch = xcalloc(1, sizeof(*dispatch));
	int i;

	dispatch->limits = *limits;
	dispatch->epoch = epoch;
	dispatch->takeover_at = now;
	dispatch->event_fn = fn;
	dispatch->event_arg = arg;
	dispatch->colocation = colocation_new();
	dispatch->durations = durations_new();
	list_init(&dispatch->workflows);
	list_init(&dispatch->to_look);
	list_init(&dispatch->arrivals);
	list_init(&dispatch->finals);
	list_init(&dispatch->ended);
	list_init(&dispatch->workers);
	list_init(&dispatch->unsaved);
	list_init(&dispatch->urgent_unsaved);
	list_init(&dispatch->workers_with_ends);
	list_init(&dispatch->workers_with_orders);
	queue_table_init(&dispatch->queues);
	for (i = 0; i < COLOCATION_IMAGES_MAX; i++)
		list_init(&dispatch->fills[i]);
	return dispatch;
}

static void worker_delete(struct worker *worker)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &worker->runs)
		free(list_entry(pos, struct run, node));
	list_del(&worker->node);
	free(worker->pending_ends);
	free(worker);
}

static void remove_workflows(struct dispatch *dispatch, struct list *head)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, head)
		dispatch_remove_entry(
			dispatch,
			list_entry(pos, struct workflow, node)->spec.id);
}

void dispatch_delete(struct dispatch *dispatch)
{
	struct list *pos, *tmp;

	if (!dispatch)
		return;
	memset(&dispatch->reservations, 0, sizeof(dispatch->reservations));
	list_for_each_safe (pos, tmp, &dispatch->workers)
		worker_delete(list_entry(pos, struct worker, node));
	remove_workflows(dispatch, &dispatch->workflows);
	remove_workflows(dispatch, &dispatch->finals);
	while (!list_empty(&dispatch->ended))
		dispatch_remove_entry(dispatch,
				      list_entry(dispatch->ended.next,
						 struct workflow_entry, node)
					      ->id);
	queue_table_clear(&dispatch->queues);
	colocation_delete(dispatch->colocation);
	durations_delete(dispatch->durations);
	free(dispatch->candidates);
	free(dispatch);
}

struct list *dispatch_workers(struct dispatch *dispatch)
{
	return &dispatch->workers;
}

size_t dispatch_memory(const struct dispatch *dispatch)
{
	return dispatch->memory;
}

const struct dispatch_stats *dispatch_get_stats(const struct dispatch *dispatch)
{
	return &dispatch->stats;
}

struct list *dispatch_workflows(struct dispatch *dispatch)
{
	return &dispatch->workflows;
}

/* Starts, callers and takeovers wait for these changes. */
static int save_is_urgent(const struct workflow *workflow)
{
	return !list_empty(&workflow->unsaved_runs) ||
	       workflow_is_final(workflow);
}

static void queue_unsaved(struct dispatch *dispatch, struct workflow *workflow)
{
	struct list *queue = &dispatch->unsaved;

	workflow->in_urgent = (unsigned)save_is_urgent(workflow);
	if (workflow->in_urgent)
		queue = &dispatch->urgent_unsaved;
	list_del(&workflow->unsaved_node);
	list_add_tail(queue, &workflow->unsaved_node);
}

int dispatch_waits_for_saves(const struct dispatch *dispatch)
{
	const struct list *pos;
	size_t count = 0;

	list_for_each (pos, &dispatch->urgent_unsaved)
		if (++count >= UNSAVED_MAX)
			return 1;
	return 0;
}

void dispatch_mark_changed(struct dispatch *dispatch, struct workflow *workflow)
{
	workflow->version = ++dispatch->version;
	if (!workflow->unsaved_since.ms)
		workflow->unsaved_since = dispatch->now;
	if (list_empty(&workflow->unsaved_node) ||
	    (save_is_urgent(workflow) && !workflow->in_urgent))
		queue_unsaved(dispatch, workflow);
}

void dispatch_set_wall_clock(struct dispatch *dispatch, int64_t wall_ms)
{
	dispatch->wall_ms = wall_ms;
}

/*
 * Restores a run that a previous scheduler ordered, with its resources, unless
 * its worker is known to have been replaced since, and its late start to be
 * impossible.
 */
static void adopt_run(struct dispatch *dispatch, struct workflow *workflow,
		      struct workflow_task *task, struct task_id *id,
		      struct mstime now)
{
	const struct run_location *location = task->location;
	struct worker *worker =
		dispatch_get_worker(dispatch, location->node, now);
	struct run *run;

	if (!worker->id[0]) {
		str_copy(worker->id, location->worker, sizeof(worker->id));
		worker->start_ms = location->worker_start_ms;
	}
	str_copy(id->job, workflow->spec.id, sizeof(id->job));
	run = dispatch_run_new(dispatch, worker, workflow, id, task->last_run);
	task->current_run = run;
	run->state = RUN_SAVED;
	run->is_ordered = 1;
	run->pace_sent = PACE_UNKNOWN;
	run->worker_start_ms = location->worker_start_ms;
	if (run->worker_start_ms >= worker->start_ms ||
	    (!worker->has_current_lists &&
	     !strcmp(location->worker, worker->id)))
		return;
	dispatch_emit(dispatch, DISPATCH_RUN_LOST, workflow, worker, id,
		      run->number, "worker-restarted");
	dispatch_run_end(dispatch, run, now);
}

static void adopt_step(struct dispatch *dispatch, struct workflow *workflow,
		       const struct occurrence *occurrence, uint32_t step,
		       struct mstime now)
{
	const struct step_state *state = &occurrence->steps[step];
	struct task_id id = { "", occurrence->number, step, 0 };

	for (; state->assigned_count &&
	       id.index < workflow->spec.steps[step].task_count;
	     id.index++) {
		struct workflow_task *task =
			workflow_step_task(state, id.index);

		if (task && task->phase == TASK_ASSIGNED)
			adopt_run(dispatch, workflow, task, &id, now);
	}
}

static void adopt_runs(struct dispatch *dispatch, struct workflow *workflow,
		       struct mstime now)
{
	uint32_t step;
	size_t i;

	for (i = 0; i < workflow->begun_count; i++)
		for (step = 0; step < workflow->spec.step_count; step++)
			adopt_step(dispatch, workflow, workflow->begun[i], step,
				   now);
}

/* The age may be negative: the store's clock and this one differ slightly. */
static void set_age(const struct dispatch *dispatch, struct workflow *workflow,
		    struct mstime now)
{
	int64_t age_ms = dispatch->wall_ms - workflow->submitted_ms;

	if (age_ms < 0 || !dispatch->wall_ms)
		age_ms = 0;
	workflow->submitted_at = mstime_add(now, -age_ms);
	workflow->critical_path_ms = workflow_critical_path_ms(workflow);
}

static void set_images(struct dispatch *dispatch, struct workflow *workflow)
{
	size_t i;

	for (i = 0; i < workflow->spec.step_count; i++) {
		struct workflow_step *step = &workflow->spec.steps[i];

		step->image_index = colocation_image_index(dispatch->colocation,
							   step->image);
	}
}

int dispatch_add(struct dispatch *dispatch, struct workflow *workflow,
		 struct mstime now)
{
	struct workflow_entry **link =
		dispatch_entry_link(dispatch, workflow->spec.id);

	dispatch->now = now;
	if (*link) {
		workflow_delete(workflow);
		return ERR_EXISTS;
	}
	*link = dispatch_entry_new(workflow->spec.id);
	(*link)->workflow = workflow;
	workflow->known_at = now;
	workflow->memory_sum = &dispatch->memory;
	dispatch->memory += workflow_memory(workflow);
	set_age(dispatch, workflow, now);
	set_images(dispatch, workflow);
	dispatch_update_queue(dispatch, workflow);
	dispatch_update_urgency(workflow, now);
	adopt_runs(dispatch, workflow, now);
	if (workflow_is_final(workflow)) {
		workflow->ended_at = now;
		list_add_tail(&dispatch->finals, &workflow->node);
		return 0;
	}
	list_add_tail(&dispatch->workflows, &workflow->node);
	list_add_tail(&dispatch->arrivals, &workflow->round_node);
	workflow->looked_at = now;
	return 0;
}

static void check_orders_of_step(const struct step_state *state, uint32_t count)
{
	uint32_t i;

	for (i = 0; state->assigned_count && i < count; i++) {
		const struct workflow_task *task = workflow_step_task(state, i);

		if (task && task->current_run)
			dispatch_note_orders(task->current_run->worker);
	}
}

static void check_orders_of_runs(const struct workflow *workflow)
{
	uint32_t step;
	size_t i;

	for (i = 0; i < workflow->begun_count; i++)
		for (step = 0; step < workflow->spec.step_count; step++)
			check_orders_of_step(
				&workflow->begun[i]->steps[step],
				workflow->spec.steps[step].task_count);
}

void dispatch_check_final(struct dispatch *dispatch, struct workflow *workflow,
			  struct mstime now)
{
	if (!workflow_is_final(workflow) || workflow->ended_at.ms)
		return;
	workflow->ended_at = now;
	dispatch_release_workflow(dispatch, workflow, "workflow-ended");
	list_del(&workflow->round_node);
	list_del(&workflow->node);
	list_add_tail(&dispatch->finals, &workflow->node);
	check_orders_of_runs(workflow);
	dispatch_emit(dispatch, DISPATCH_WORKFLOW_ENDED, workflow, NULL, NULL,
		      0, workflow_state_name(workflow->state));
}

int dispatch_cancel(struct dispatch *dispatch, const char *job,
		    struct mstime now)
{
	struct workflow *workflow = dispatch_find_workflow(dispatch, job);

	dispatch->now = now;
	if (!workflow)
		return dispatch_knows(dispatch, job) ? 0 : ERR_NOT_FOUND;
	if (workflow_is_final(workflow))
		return 0;
	workflow->cancelled = 1;
	workflow->state = WORKFLOW_CANCELLED;
	dispatch_mark_changed(dispatch, workflow);
	dispatch_check_final(dispatch, workflow, now);
	return 0;
}

void dispatch_fail(struct dispatch *dispatch, struct workflow *workflow,
		   struct mstime now)
{
	if (workflow_is_final(workflow))
		return;
	dispatch->now = now;
	workflow->state = WORKFLOW_FAILED;
	dispatch_mark_changed(dispatch, workflow);
	dispatch_check_final(dispatch, workflow, now);
}

struct worker *dispatch_get_worker(struct dispatch *dispatch,
				   const char *runner, struct mstime now)
{
	struct worker **bucket =
		&dispatch->worker_buckets[hash_str(runner) % WORKER_BUCKETS];
	struct worker *worker = *bucket;

	while (worker && strcmp(worker->runner, runner))
		worker = worker->hash_next;
	if (worker)
		return worker;
	worker = xcalloc(1, sizeof(*worker));
	list_init(&worker->node);
	list_init(&worker->runs);
	list_init(&worker->serving_runs);
	list_init(&worker->ends_node);
	list_init(&worker->orders_node);
	worker->workers_with_orders = &dispatch->workers_with_orders;
	dispatch->candidates =
		xrealloc(dispatch->candidates,
			 ++dispatch->worker_count * sizeof(struct candidate));
	worker->hash_next = *bucket;
	*bucket = worker;
	str_copy(worker->runner, runner, sizeof(worker->runner));
	worker->reported_at = now;
	worker->incarnations = dispatch->incarnations_floor;
	worker->inherited_lease_end = mstime_add(
		dispatch->takeover_at, dispatch->limits.takeover_grace_ms +
					       dispatch->limits.lease_max_ms);
	list_add_tail(&dispatch->workers, &worker->node);
	return worker;
}

/* The fences of a runner that comes back must be higher than before. */
int dispatch_forget_worker(struct dispatch *dispatch, struct worker *worker,
			   struct mstime now)
{
	struct worker **link =
		&dispatch->worker_buckets[hash_str(worker->runner) %
					  WORKER_BUCKETS];

	if (worker->run_count || worker->pending_end_count ||
	    dispatch_lease_left_ms(worker, now) > 0 ||
	    mstime_diff(now, worker->reported_at) <
		    dispatch->limits.lease_max_ms)
		return 0;
	while (*link != worker)
		link = &(*link)->hash_next;
	*link = worker->hash_next;
	if (worker->incarnations > dispatch->incarnations_floor)
		dispatch->incarnations_floor = worker->incarnations;
	dispatch_release_worker(dispatch, worker);
	list_del(&worker->orders_node);
	list_del(&worker->ends_node);
	worker_delete(worker);
	dispatch->worker_count--;
	return 1;
}

static int is_stuck(const struct dispatch *dispatch, const struct run *run,
		    struct mstime now)
{
	if (!run->workflow || run->is_orphan || run->is_evicted ||
	    !run->is_active || run->pace < STUCK_PACE_MIN ||
	    workflow_is_final(run->workflow) ||
	    run->workflow->spec.steps[run->id.step].long_running ||
	    run->workflow->spec.steps[run->id.step].gang)
		return 0;
	return mstime_diff(now, run->progress_at) >
	       dispatch->limits.stuck_timeout_ms;
}

/* Without recent lists it is unknown what the worker does. */
static int has_recent_lists(const struct dispatch *dispatch,
			    const struct worker *worker, struct mstime now)
{
	int64_t silent_ms = dispatch->limits.worker_report_timeout_ms;

	return worker->has_current_lists &&
	       mstime_diff(now, worker->reported_at) <= silent_ms &&
	       worker->list_age_ms <= silent_ms;
}

/* Ordered for too long without having been started. */
static int is_unconfirmed(const struct dispatch *dispatch,
			  const struct run *run, struct mstime now)
{
	if (run->is_orphan || run->is_evicted || run->is_active ||
	    !run->unconfirmed_since.ms || workflow_is_final(run->workflow))
		return 0;
	return mstime_diff(now, run->unconfirmed_since) >
	       dispatch->limits.stuck_timeout_ms;
}

static void evict_stuck(struct dispatch *dispatch, struct worker *worker,
			struct mstime now)
{
	struct list *pos;

	if (!has_recent_lists(dispatch, worker, now))
		return;
	list_for_each (pos, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (is_unconfirmed(dispatch, run, now))
			dispatch_emit(dispatch, DISPATCH_RUN_UNCONFIRMED,
				      run->workflow, worker, &run->id,
				      run->number, "not-confirmed");
		else if (is_stuck(dispatch, run, now))
			dispatch_emit(dispatch, DISPATCH_RUN_EVICTED,
				      run->workflow, worker, &run->id,
				      run->number, "no-progress");
		else
			continue;
		dispatch_evict(run);
		if (run->is_active || dispatch_starts_nothing(run))
			dispatch_penalize(dispatch, worker, now);
	}
}

void dispatch_expire(struct dispatch *dispatch, struct mstime now)
{
	struct list *pos;

	dispatch->now = now;
	list_for_each (pos, &dispatch->workers) {
		struct worker *worker = list_entry(pos, struct worker, node);

		/* Orders that were not confirmed are repeated. */
		if (!list_empty(&worker->runs) || worker->needs_acknowledgement)
			dispatch_note_orders(worker);
		dispatch_expire_lease(dispatch, worker, now);
		evict_stuck(dispatch, worker, now);
		dispatch_evict_excess(dispatch, worker);
		dispatch_move_departing(dispatch, worker, now);
	}
}

/* The first one in the queue that is not being saved, or NULL. */
static struct workflow *first_unsaved(struct list *queue)
{
	struct list *pos;

	list_for_each (pos, queue) {
		struct workflow *workflow =
			list_entry(pos, struct workflow, unsaved_node);

		if (!workflow->saving)
			return workflow;
	}
	return NULL;
}

struct workflow *dispatch_next_unsaved(struct dispatch *dispatch,
				       struct mstime now)
{
	struct workflow *urgent = first_unsaved(&dispatch->urgent_unsaved);
	struct workflow *other = first_unsaved(&dispatch->unsaved);
	int64_t age_ms = other ? mstime_diff(now, other->unsaved_since) : 0;

	if (!urgent || age_ms >= SAVE_WITHIN_MS)
		dispatch->urgent_turn = urgent && !dispatch->urgent_turn;
	else
		dispatch->urgent_turn = 1;
	if (dispatch->urgent_turn)
		return urgent;
	return age_ms >= SAVE_AFTER_MS ? other : NULL;
}

void dispatch_acknowledge_ends(struct worker *worker)
{
	size_t stored = 0;

	while (stored < worker->pending_end_count &&
	       !worker->pending_ends[stored].workflow)
		worker->stored_end_number =
			worker->pending_ends[stored++].number;
	if (!stored)
		return;
	worker->needs_acknowledgement = 1;
	worker->pending_end_count -= stored;
	memmove(worker->pending_ends, worker->pending_ends + stored,
		worker->pending_end_count * sizeof(worker->pending_ends[0]));
	if (worker->pending_end_count)
		return;
	list_del(&worker->ends_node);
	free(worker->pending_ends);
	worker->pending_ends = NULL;
	worker->pending_ends_size = 0;
}

static void settle_ends(struct worker *worker, const struct workflow *workflow,
			uint64_t version)
{
	size_t i;

	for (i = 0; i < worker->pending_end_count; i++) {
		struct pending_end *end = &worker->pending_ends[i];

		if (end->workflow == workflow && end->version <= version)
			end->workflow = NULL;
	}
	dispatch_acknowledge_ends(worker);
}

void dispatch_mark_saved(struct dispatch *dispatch, struct workflow *workflow,
			 uint64_t version)
{
	struct list *pos, *tmp;

	workflow->saved_version = version;
	if (workflow->version == version) {
		workflow->unsaved_since = mstime_from(0);
		list_del(&workflow->unsaved_node);
	}
	list_for_each_safe (pos, tmp, &dispatch->workers_with_ends)
		settle_ends(list_entry(pos, struct worker, ends_node), workflow,
			    version);
	list_for_each_safe (pos, tmp, &workflow->unsaved_runs) {
		struct run *run = list_entry(pos, struct run, unsaved_node);

		if (run->version > version)
			continue;
		list_del(&run->unsaved_node);
		if (run->state == RUN_UNSAVED)
			run->state = RUN_SAVED;
		dispatch_note_orders(run->worker);
	}
	if (workflow->version == version)
		return;
	/* It has changed since: what has is stored with what follows. */
	workflow->unsaved_since = dispatch->now;
	queue_unsaved(dispatch, workflow);
}
