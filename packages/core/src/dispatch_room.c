#include "dispatch_room.h"

#include <stdlib.h>

#include "dispatch_internal.h"

/* A run that is being stopped ends within about this time. */
#define STOP_MS 1000

struct expected_end {
	int64_t left_ms;
	const struct run *run;
};

static const struct workflow_step *step_of(const struct run *run)
{
	return &run->workflow->spec.steps[run->id.step];
}

struct worker_use worker_use_of(const struct worker *worker)
{
	return (struct worker_use){ worker->used,
				    worker->best_effort_cpu_milli };
}

void worker_use_add(struct worker_use *use, const struct resources *need,
		    int best_effort)
{
	use->used.mem_mb += need->mem_mb;
	use->used.accel += need->accel;
	if (best_effort)
		use->best_effort_cpu_milli += need->cpu_milli;
	else
		use->used.cpu_milli += need->cpu_milli;
}

static void remove_from_use(struct worker_use *use, const struct run *run)
{
	use->used.mem_mb -= run->reserved.mem_mb;
	use->used.accel -= run->reserved.accel;
	if (run->best_effort)
		use->best_effort_cpu_milli -= run->reserved.cpu_milli;
	else
		use->used.cpu_milli -= run->reserved.cpu_milli;
}

int resources_are_at_most(const struct resources *a, const struct resources *b)
{
	return a->cpu_milli <= b->cpu_milli && a->mem_mb <= b->mem_mb &&
	       a->accel <= b->accel;
}

static int compare_ends(const void *a, const void *b)
{
	int64_t x = ((const struct expected_end *)a)->left_ms;
	int64_t y = ((const struct expected_end *)b)->left_ms;

	return (x > y) - (x < y);
}

/* The runs of the worker that are expected to end, soonest first. */
static size_t list_ends(struct dispatch *dispatch, const struct worker *worker,
			struct expected_end *ends, struct mstime now)
{
	const struct list *pos;
	size_t count = 0;

	list_for_each (pos, &worker->runs) {
		const struct run *run = list_entry(pos, struct run, node);

		dispatch->stats.evaluations++;
		if (!run->workflow || count == RUNS_MAX)
			continue;
		if (run->is_orphan || run->is_evicted || run->is_stopping ||
		    workflow_is_final(run->workflow))
			ends[count].left_ms = STOP_MS;
		else if (step_of(run)->long_running ||
			 step_of(run)->estimate_ms <= 0)
			continue;
		else
			ends[count].left_ms = dispatch_left_ms(
				dispatch, run, DURATION_MEDIAN, now);
		ends[count++].run = run;
	}
	qsort(ends, count, sizeof(*ends), compare_ends);
	return count;
}

int dispatch_expect_start(struct dispatch *dispatch,
			  const struct worker *worker,
			  const struct workflow_step *step,
			  struct expected_start *start, struct mstime now)
{
	struct expected_end ends[RUNS_MAX];
	size_t count;

	if (!resources_are_at_most(&step->need, &worker->capacity))
		return 0;
	count = list_ends(dispatch, worker, ends, now);
	*start = (struct expected_start){ .use = worker_use_of(worker) };
	while (!dispatch_use_fits(dispatch, worker, &start->use, step)) {
		if (start->ends == count)
			return 0;
		start->in_ms = ends[start->ends].left_ms;
		remove_from_use(&start->use, ends[start->ends++].run);
	}
	return 1;
}
