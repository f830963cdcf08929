#include <stdlib.h>
#include <string.h>

#include "dispatch.h"
#include "dispatch_internal.h"
#include "mem.h"

/*
 * A workflow that could run and has had no run for so long gets one regardless
 * of its pressure on serving runs, which are then protected by its pace.
 */
#define STARVED_MS 1500

/* A task without a worker for so long is reported, at most so often. */
#define UNPLACED_MS 2000
#define UNPLACED_SPACING_MS 250

/* Order changes with time, by deadlines; it is renewed this often. */
#define URGENCY_INTERVAL_MS 100
/*
 * A pass ends after so many evaluations of workers, or looks at workflows and
 * their occurrences, and is resumed by the next one, so that reports, cancels
 * and leases are not delayed.
 */
#define PASS_EVALUATIONS_MAX 20000
#define PASS_LOOKS_MAX 5000
/* Pause after a pass, as a multiple of its length, and its bounds. */
#define PASS_SPACING_FACTOR 4
#define PASS_SPACING_MIN_MS 10
#define PASS_SPACING_MAX_MS 250

static enum placement_block most_frequent(const uint32_t *blocks)
{
	int i, most = PLACEMENT_NOT_READY;

	for (i = PLACEMENT_NOT_READY; i < PLACEMENT_BLOCK_COUNT; i++)
		if (blocks[i] > blocks[most])
			most = i;
	return (enum placement_block)most;
}

/* The first task that a look leaves without a worker stands for the others. */
static void note_unplaced(struct dispatch *dispatch,
			  const struct placement_request *request,
			  uint32_t index, const uint32_t *blocks,
			  struct mstime now)
{
	struct workflow *workflow = request->workflow;
	struct task_id id = { "", request->occurrence, request->step_index,
			      index };
	const struct workflow_task *task = workflow_find_task(workflow, &id);
	struct dispatch_event event = {
		.kind = DISPATCH_TASK_UNPLACED,
		.workflow = workflow,
		.task = &id,
		.run = task ? task->last_run : 0,
		.blocks = blocks,
	};

	if (workflow->block != PLACEMENT_POSSIBLE)
		return;
	workflow->block = most_frequent(blocks);
	if (!workflow->unplaced_since.ms ||
	    !task_id_equal(&workflow->unplaced_task, &id)) {
		workflow->unplaced_task = id;
		workflow->unplaced_since = now;
	}
	event.value = (uint32_t)mstime_diff(now, workflow->unplaced_since);
	if (event.value < UNPLACED_MS ||
	    mstime_diff(now, workflow->unplaced_noted_at) < UNPLACED_MS ||
	    mstime_diff(now, dispatch->unplaced_noted_at) < UNPLACED_SPACING_MS)
		return;
	workflow->unplaced_noted_at = now;
	dispatch->unplaced_noted_at = now;
	str_copy(id.job, workflow->spec.id, sizeof(id.job));
	if (dispatch->event_fn)
		dispatch->event_fn(dispatch->event_arg, &event);
}

static struct task_id request_task(const struct placement_request *request,
				   uint32_t index)
{
	struct task_id id = { "", request->occurrence, request->step_index,
			      index };

	str_copy(id.job, request->workflow->spec.id, sizeof(id.job));
	return id;
}

/* Reserves the worker's resources; the task does not change. */
static struct run *place_task(struct dispatch *dispatch,
			      const struct placement_request *request,
			      uint32_t index, struct worker *worker,
			      uint32_t number)
{
	struct task_id id = request_task(request, index);
	struct run *run = dispatch_run_new(dispatch, worker, request->workflow,
					   &id, number);

	run->worker_start_ms = worker->start_ms;
	return run;
}

static void assign_run(struct run *run)
{
	struct workflow *workflow = run->workflow;
	struct workflow_task *task = workflow_begin_task(workflow, &run->id);

	task->phase = TASK_ASSIGNED;
	task->last_run = run->number;
	task->location = xcalloc(1, sizeof(*task->location));
	str_copy(task->location->node, run->worker->runner,
		 sizeof(task->location->node));
	str_copy(task->location->worker, run->worker->id,
		 sizeof(task->location->worker));
	task->location->worker_start_ms = run->worker_start_ms;
	task->current_run = run;
	workflow_count_assigned(workflow, &run->id, 1);
}

static void commit_run(struct dispatch *dispatch, struct run *run)
{
	struct workflow *workflow = run->workflow;

	assign_run(run);
	dispatch_count_share(run, dispatch->now);
	if (workflow->state == WORKFLOW_QUEUED)
		workflow->state = WORKFLOW_RUNNING;
	list_add_tail(&workflow->unsaved_runs, &run->unsaved_node);
	dispatch_mark_changed(dispatch, workflow);
	dispatch_reservation_note_run(dispatch, run, dispatch->now);
	run->version = workflow->version;
	dispatch_emit(dispatch, DISPATCH_RUN_ASSIGNED, workflow, run->worker,
		      &run->id, run->number, "least-loaded");
}

static int task_ready(const struct placement_request *request, uint32_t index,
		      struct mstime now)
{
	struct task_id id = { "", request->occurrence, request->step_index,
			      index };
	const struct workflow_task *task =
		workflow_find_task(request->workflow, &id);

	if (!task)
		return workflow_task_phase(request->workflow, &id) ==
		       TASK_WAITING;
	return task->phase == TASK_WAITING && !task->current_run &&
	       !mstime_before(now, task->not_before);
}

static uint32_t last_run(const struct placement_request *request,
			 uint32_t index)
{
	struct task_id id = { "", request->occurrence, request->step_index,
			      index };
	const struct workflow_task *task =
		workflow_find_task(request->workflow, &id);

	return task ? task->last_run : 0;
}

/*
 * The checkpoint of any member is valid for all, and they work together only
 * from the same one. At the end of a run, or when its worker is lost, members
 * may have saved different ones; the newest is taken.
 */
static void share_checkpoint(const struct placement_request *request)
{
	struct workflow *workflow = request->workflow;
	struct workflow_task *task, *newest = NULL;
	struct task_id id = { "", request->occurrence, request->step_index, 0 };

	for (; id.index < request->step->task_count; id.index++) {
		task = workflow_find_task(workflow, &id);
		if (task && task->checkpoint &&
		    (!newest ||
		     task->checkpoint_order > newest->checkpoint_order))
			newest = task;
	}
	if (!newest)
		return;
	newest->checkpoint_order = 0;
	for (id.index = 0; id.index < request->step->task_count; id.index++) {
		task = workflow_begin_task(workflow, &id);
		if (task == newest)
			continue;
		workflow_set_checkpoint(workflow, task, newest->checkpoint);
		task->checkpoint_order = 0;
	}
}

/* Assigns all tasks of the gang, with the same run number, or none. */
static int assign_gang(struct dispatch *dispatch,
		       struct placement_request *request, struct mstime now)
{
	uint32_t i, number = 0, count = request->step->task_count;
	struct run **runs;
	int placed = 0;

	for (i = 0; i < count; i++) {
		if (!task_ready(request, i, now))
			return 0;
		if (last_run(request, i) > number)
			number = last_run(request, i);
	}
	runs = xcalloc(count, sizeof(struct run *));
	dispatch_find_candidates(dispatch, request, now);
	for (i = 0; i < count; i++) {
		struct worker *worker = dispatch_best_candidate(dispatch);

		if (!worker) {
			note_unplaced(dispatch, request, i, dispatch->blocks,
				      now);
			request->has_no_place = 1;
			break;
		}
		runs[placed++] =
			place_task(dispatch, request, i, worker, number + 1);
		dispatch_update_best(dispatch, request, now);
	}
	if ((uint32_t)placed == count)
		share_checkpoint(request);
	for (i = 0; i < (uint32_t)placed; i++) {
		if ((uint32_t)placed == count)
			commit_run(dispatch, runs[i]);
		else
			dispatch_run_free(runs[i]);
	}
	free(runs);
	return (uint32_t)placed == count ? placed : 0;
}

/* Index of the next task of the step that can be assigned, or task_count. */
static uint32_t next_ready(const struct placement_request *request, uint32_t i,
			   struct mstime now)
{
	const struct occurrence *occurrence =
		workflow_occurrence(request->workflow, request->occurrence);
	const struct step_state *state =
		occurrence ? &occurrence->steps[request->step_index] : NULL;

	if (!state || !state->blocks)
		return i;
	while (i < request->step->task_count && !task_ready(request, i, now)) {
		i++;
		while (i < request->step->task_count &&
		       state->blocks[i / TASK_BLOCK_SIZE] == &task_block_done)
			i = (i / TASK_BLOCK_SIZE + 1) * TASK_BLOCK_SIZE;
	}
	return i < request->step->task_count ? i : request->step->task_count;
}

/* The first task that waits stands for the others of its step. */
static void note_no_place(struct dispatch *dispatch,
			  struct placement_request *request, uint32_t index,
			  struct mstime now)
{
	request->has_no_place = 1;
	note_unplaced(dispatch, request, index, dispatch->blocks, now);
	dispatch_consider_reservation(dispatch, request, index,
				      dispatch->blocks, now);
	/* It may be ruled out by its own failures, where others are not. */
	if (!request->workflow->failed_worker)
		dispatch_add_unplaced(dispatch, &dispatch->unplaced, request);
}

/* Assigns up to max tasks of the step. */
static int assign_tasks(struct dispatch *dispatch,
			struct placement_request *request, int max,
			struct mstime now)
{
	const struct unplaced_class *unplaced;
	uint32_t i = next_ready(request, 0, now);
	int placed = 0;

	if (i == request->step->task_count)
		return 0;
	unplaced =
		dispatch_find_unplaced(dispatch, &dispatch->unplaced, request);
	if (unplaced) {
		request->has_no_place = 1;
		note_unplaced(dispatch, request, i, unplaced->blocks, now);
		dispatch_consider_reservation(dispatch, request, i,
					      unplaced->blocks, now);
		return 0;
	}
	dispatch_find_candidates(dispatch, request, now);
	while (i < request->step->task_count && placed < max) {
		struct worker *worker = dispatch_best_candidate(dispatch);

		if (!worker) {
			note_no_place(dispatch, request, i, now);
			break;
		}
		commit_run(dispatch, place_task(dispatch, request, i, worker,
						last_run(request, i) + 1));
		placed++;
		dispatch_update_best(dispatch, request, now);
		i = next_ready(request, i + 1, now);
	}
	return placed;
}

/* The states of tasks take memory from the first assignment on. */
static int has_memory(const struct dispatch *dispatch)
{
	return dispatch->memory +
		       TASK_BLOCK_SIZE * sizeof(struct workflow_task) <=
	       dispatch->limits.memory_max;
}

static int assign_step(struct dispatch *dispatch,
		       struct placement_request *request, struct mstime now)
{
	if (!has_memory(dispatch)) {
		memset(dispatch->blocks, 0, sizeof(dispatch->blocks));
		dispatch->blocks[PLACEMENT_MEMORY] = 1;
		request->has_no_place = 1;
		note_unplaced(dispatch, request, 0, dispatch->blocks, now);
		return 0;
	}
	if (request->step->gang)
		return assign_gang(dispatch, request, now);
	/* A forced task only lets the workflow make progress. */
	return assign_tasks(
		dispatch, request,
		request->is_forced ? 1 : (int)request->step->task_count, now);
}

static int occurrence_is_due(const struct dispatch *dispatch,
			     const struct workflow *workflow, uint32_t k)
{
	const struct workflow_spec *spec = &workflow->spec;

	if (!spec->interval_ms && !spec->first_due_ms)
		return 1;
	return spec->first_due_ms + (int64_t)k * spec->interval_ms <=
	       dispatch->wall_ms;
}

static int step_has_waiting(const struct workflow *workflow, uint32_t k,
			    uint32_t step)
{
	const struct occurrence *occurrence = workflow_occurrence(workflow, k);
	const struct step_state *state;

	if (!occurrence)
		return 1;
	state = &occurrence->steps[step];
	return state->done_count + state->assigned_count <
	       workflow->spec.steps[step].task_count;
}

/* Also updates since when the workflow has had no run. */
static int is_starved(struct workflow *workflow, struct mstime now)
{
	if (workflow->assigned_total || !workflow->idle_since.ms)
		workflow->idle_since = now;
	return mstime_diff(now, workflow->idle_since) >= STARVED_MS;
}

/* Steps of a workflow for which no worker was found in this pass. */
struct blocked_steps {
	unsigned char is_blocked[STEPS_MAX];
	size_t count;
};

/*
 * Whether another occurrence may find a worker where this one found none: tasks
 * of this one are in its way. A gang has none when it is placed.
 */
static int depends_on_occurrence(const struct dispatch *dispatch,
				 const struct placement_request *request)
{
	return request->step->max_per_worker && !request->step->gang &&
	       dispatch->blocks[PLACEMENT_SPREAD];
}

static int assign_occurrence(struct dispatch *dispatch,
			     struct workflow *workflow, uint32_t k,
			     struct blocked_steps *blocked, struct mstime now)
{
	uint32_t step;
	int placed = 0;

	for (step = 0; step < workflow->spec.step_count; step++) {
		struct placement_request request = {
			workflow,
			&workflow->spec.steps[step],
			k,
			step,
		};

		if (blocked->is_blocked[step] ||
		    !step_has_waiting(workflow, k, step) ||
		    !workflow_step_ready(workflow, k, step))
			continue;
		request.image = request.step->image_index;
		request.is_forced = is_starved(workflow, now);
		placed += assign_step(dispatch, &request, now);
		if (!request.has_no_place ||
		    depends_on_occurrence(dispatch, &request))
			continue;
		blocked->is_blocked[step] = 1;
		blocked->count++;
	}
	return placed;
}

static int pass_is_over(const struct dispatch *dispatch)
{
	return dispatch->stats.evaluations >= dispatch->pass_end.evaluations ||
	       dispatch->stats.looks >= dispatch->pass_end.looks ||
	       dispatch_waits_for_saves(dispatch);
}

/*
 * RETURN VALUE
 *	Whether the pass has ended before the occurrence; the next one goes on
 *	there.
 */
static int ends_pass(struct dispatch *dispatch, struct workflow *workflow,
		     enum look_stage stage, uint32_t k)
{
	if (!pass_is_over(dispatch))
		return 0;
	workflow->look_stage = stage;
	workflow->look_from = k;
	return 1;
}

static int assign_begun(struct dispatch *dispatch, struct workflow *workflow,
			uint32_t from, struct blocked_steps *blocked,
			struct mstime now)
{
	size_t i = workflow_begun_from(workflow, from);
	int placed = 0;

	for (; i < workflow->begun_count &&
	       blocked->count < workflow->spec.step_count;
	     i++) {
		uint32_t k = workflow->begun[i]->number;

		if (k > from && ends_pass(dispatch, workflow, LOOK_BEGUN, k))
			break;
		dispatch->stats.looks++;
		placed +=
			assign_occurrence(dispatch, workflow, k, blocked, now);
	}
	return placed;
}

static int may_begin(const struct dispatch *dispatch,
		     const struct workflow *workflow, uint32_t k)
{
	return k < workflow->spec.occurrences &&
	       occurrence_is_due(dispatch, workflow, k) &&
	       workflow_may_begin(workflow, k);
}

/*
 * Occurrences that have not begun are alike: where one finds no place, none
 * does.
 */
static int assign_fresh(struct dispatch *dispatch, struct workflow *workflow,
			uint32_t from, struct blocked_steps *blocked,
			struct mstime now)
{
	uint32_t k = workflow_next_fresh(workflow, from);
	int placed = 0, added = 1;

	for (; added && may_begin(dispatch, workflow, k) &&
	       blocked->count < workflow->spec.step_count;
	     k = workflow_next_fresh(workflow, k + 1)) {
		if (k > from && ends_pass(dispatch, workflow, LOOK_FRESH, k))
			break;
		dispatch->stats.looks++;
		added = assign_occurrence(dispatch, workflow, k, blocked, now);
		placed += added;
	}
	return placed;
}

/* If the pass ends within the workflow, look_stage tells so. */
static int assign_workflow(struct dispatch *dispatch, struct workflow *workflow,
			   struct mstime now)
{
	struct blocked_steps blocked = { 0 };
	enum look_stage stage = workflow->look_stage;
	uint32_t from = stage == LOOK_FROM_START ? 0 : workflow->look_from;
	int placed = 0;

	workflow->look_stage = LOOK_FROM_START;
	workflow->looked_at = now;
	if (stage == LOOK_FROM_START)
		workflow->block = PLACEMENT_POSSIBLE;
	if (workflow->assigned_total ||
	    !occurrence_is_due(dispatch, workflow, workflow->first_open))
		workflow->idle_since = now;
	if (stage != LOOK_FRESH) {
		placed = assign_begun(dispatch, workflow, from, &blocked, now);
		from = 0;
	}
	if (workflow->look_stage == LOOK_FROM_START)
		placed += assign_fresh(dispatch, workflow, from, &blocked, now);
	if (workflow->block == PLACEMENT_POSSIBLE &&
	    workflow->look_stage == LOOK_FROM_START)
		workflow->unplaced_since = mstime_from(0);
	return placed;
}

static int node_goes_before(const struct list *a, const struct list *b)
{
	return dispatch_goes_before(list_entry(a, struct workflow, node),
				    list_entry(b, struct workflow, node));
}

static int arrival_goes_before(const struct list *a, const struct list *b)
{
	return dispatch_goes_before(list_entry(a, struct workflow, round_node),
				    list_entry(b, struct workflow, round_node));
}

static void update_urgencies(struct dispatch *dispatch, struct mstime now)
{
	struct list *pos;

	if (dispatch->urgency_updated_at.ms &&
	    mstime_diff(now, dispatch->urgency_updated_at) <
		    URGENCY_INTERVAL_MS)
		return;
	dispatch->urgency_updated_at = now;
	list_for_each (pos, &dispatch->workflows)
		dispatch_update_urgency(list_entry(pos, struct workflow, node),
					now);
}

static void start_round(struct dispatch *dispatch, struct mstime now)
{
	struct list *pos;

	dispatch->round_is_open = 1;
	update_urgencies(dispatch, now);
	list_sort(&dispatch->workflows, node_goes_before);
	list_for_each (pos, &dispatch->workflows) {
		struct workflow *workflow =
			list_entry(pos, struct workflow, node);

		list_del(&workflow->round_node);
		list_add_tail(&dispatch->to_look, &workflow->round_node);
	}
}

/* The next workflow that this round has not looked at, or NULL. */
static struct workflow *next_to_look(struct dispatch *dispatch)
{
	struct list *next = &dispatch->to_look, *arrival = &dispatch->arrivals;

	if (list_empty(arrival))
		next = list_empty(next) ? NULL : next->next;
	else if (list_empty(next) ||
		 arrival_goes_before(arrival->next, next->next))
		next = arrival->next;
	else
		next = next->next;
	return next ? list_entry(next, struct workflow, round_node) : NULL;
}

int dispatch_assign(struct dispatch *dispatch, struct mstime now)
{
	struct workflow *workflow;
	int placed = 0;

	dispatch->now = now;
	dispatch->stats.passes++;
	dispatch->pass_end.evaluations =
		dispatch->stats.evaluations + PASS_EVALUATIONS_MAX;
	dispatch->pass_end.looks = dispatch->stats.looks + PASS_LOOKS_MAX;
	dispatch->unplaced.count = 0;
	dispatch_count_serving(dispatch);
	dispatch_update_reservations(dispatch, now);
	if (!dispatch->round_is_open)
		start_round(dispatch, now);
	list_sort(&dispatch->arrivals, arrival_goes_before);
	while ((workflow = next_to_look(dispatch))) {
		if (pass_is_over(dispatch))
			return placed;
		list_del(&workflow->round_node);
		placed += assign_workflow(dispatch, workflow, now);
		if (workflow->look_stage != LOOK_FROM_START)
			list_add_head(&dispatch->to_look,
				      &workflow->round_node);
	}
	dispatch->round_is_open = 0;
	return placed;
}

int64_t dispatch_pass_spacing_ms(int64_t pass_ms)
{
	int64_t spacing_ms = pass_ms * PASS_SPACING_FACTOR;

	if (spacing_ms > PASS_SPACING_MAX_MS)
		return PASS_SPACING_MAX_MS;
	return spacing_ms < PASS_SPACING_MIN_MS ? PASS_SPACING_MIN_MS
						: spacing_ms;
}

int dispatch_is_assigning(const struct dispatch *dispatch)
{
	return dispatch->round_is_open;
}
