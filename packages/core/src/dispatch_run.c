#include <stdlib.h>
#include <string.h>

#include "dispatch.h"
#include "dispatch_internal.h"
#include "hash.h"
#include "mem.h"

int task_id_equal(const struct task_id *a, const struct task_id *b)
{
	return a->index == b->index && a->step == b->step &&
	       a->occurrence == b->occurrence && !strcmp(a->job, b->job);
}

/* Tasks of the same step share their user load. */
static uint64_t load_group_key(const struct task_id *id)
{
	return hash_str(id->job) + id->step;
}

struct run *dispatch_run_new(struct dispatch *dispatch, struct worker *worker,
			     struct workflow *workflow,
			     const struct task_id *id, uint32_t number)
{
	const struct workflow_step *step = &workflow->spec.steps[id->step];
	struct run *run = xcalloc(1, sizeof(*run));

	list_init(&run->node);
	list_init(&run->serving_node);
	list_init(&run->unsaved_node);
	list_init(&run->image_node);
	run->worker = worker;
	run->workflow = workflow;
	run->id = *id;
	run->number = number;
	run->reserved = step->need;
	run->best_effort = step->best_effort;
	run->latency_target_ms = (uint32_t)step->latency_target_ms;
	run->image = step->image_index;
	run->load_group = load_group_key(id);
	run->pace = 100;
	run->pace_sent = 100;
	list_add_tail(&worker->runs, &run->node);
	if (run->latency_target_ms)
		list_add_tail(&worker->serving_runs, &run->serving_node);
	if (run->best_effort && run->image >= 0)
		list_add_tail(&dispatch->fills[run->image], &run->image_node);
	worker->fill_version += run->best_effort;
	worker->run_count++;
	workflow->run_count++;
	worker->used.mem_mb += run->reserved.mem_mb;
	worker->used.accel += run->reserved.accel;
	if (run->best_effort)
		worker->best_effort_cpu_milli += run->reserved.cpu_milli;
	else
		worker->used.cpu_milli += run->reserved.cpu_milli;
	return run;
}

static struct duration_sample sample_of(const struct run *run,
					struct mstime now)
{
	const struct workflow_step *step =
		&run->workflow->spec.steps[run->id.step];
	struct duration_sample sample = {
		.key = durations_key(run->workflow->queue.name, run->image),
		.estimate_ms = step->estimate_ms,
	};

	if (!run->is_active)
		return sample;
	sample.ran_ms = mstime_diff(now, run->active_at);
	sample.progress_first = run->progress_first;
	sample.progress = run->progress;
	return sample;
}

int64_t dispatch_left_ms(const struct dispatch *dispatch, const struct run *run,
			 uint32_t quantile, struct mstime now)
{
	struct duration_sample sample = sample_of(run, now);

	return durations_left_ms(dispatch->durations, &sample, quantile);
}

void dispatch_learn_duration(struct dispatch *dispatch, const struct run *run,
			     struct mstime now)
{
	struct duration_sample sample = sample_of(run, now);

	if (run->workflow->spec.steps[run->id.step].long_running)
		return;
	/* A short run may end before a report lists it as active. */
	if (!run->is_active && run->start_sent_at.ms)
		sample.ran_ms = mstime_diff(now, run->start_sent_at);
	durations_observe(dispatch->durations, &sample);
}

struct run *dispatch_run_find(struct worker *worker, const struct task_id *id,
			      uint32_t number)
{
	struct list *pos;

	list_for_each (pos, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (run->number == number && task_id_equal(&run->id, id))
			return run;
	}
	return NULL;
}

static void release_task(struct run *run, struct mstime now)
{
	struct workflow *workflow = run->workflow;
	struct workflow_task *task = workflow_find_task(workflow, &run->id);

	if (!task || task->current_run != run)
		return;
	task->current_run = NULL;
	task->waiting_from = now;
	if (task->phase == TASK_ASSIGNED) {
		task->phase = TASK_WAITING;
		free(task->location);
		task->location = NULL;
	}
	workflow_count_assigned(workflow, &run->id, -1);
}

void dispatch_evict(struct run *run)
{
	run->is_evicted = 1;
	dispatch_note_orders(run->worker);
}

void dispatch_run_end(struct dispatch *dispatch, struct run *run,
		      struct mstime now)
{
	if (run->workflow && !run->is_orphan) {
		release_task(run, now);
		dispatch_mark_changed(dispatch, run->workflow);
	}
	dispatch_run_free(run);
}

void dispatch_run_free(struct run *run)
{
	struct worker *worker = run->worker;

	worker->run_count--;
	if (run->workflow)
		run->workflow->run_count--;
	worker->used.mem_mb -= run->reserved.mem_mb;
	worker->used.accel -= run->reserved.accel;
	if (run->best_effort)
		worker->best_effort_cpu_milli -= run->reserved.cpu_milli;
	else
		worker->used.cpu_milli -= run->reserved.cpu_milli;
	list_del(&run->node);
	list_del(&run->serving_node);
	list_del(&run->unsaved_node);
	list_del(&run->image_node);
	worker->fill_version += run->best_effort;
	free(run);
}
