/*
 * Which failures are held against a worker. Load pattern: hopeless jobs of many
 * tasks among others; with a penalty for all work, a few of them took the room
 * of every worker.
 */
#include <string.h>

#include "dispatch.h"
#include "dispatch_internal.h"
#include "hash.h"
#include "mem.h"

/*
 * Consecutive failed or refused runs after which the worker, or the one
 * workflow there, gets a penalty.
 */
#define CONSECUTIVE_FAILURES_MAX 4

void dispatch_penalize(struct dispatch *dispatch, struct worker *worker,
		       struct mstime now)
{
	worker->consecutive_failures = 0;
	worker->penalty_until =
		mstime_add(now, dispatch->limits.worker_penalty_ms);
}

/* Tasks that last are never done, so that nothing tells against them. */
static int may_be_sound(const struct workflow *workflow)
{
	size_t i;

	if (workflow->done_occurrences)
		return 1;
	for (i = 0; i < workflow->spec.step_count; i++)
		if (workflow->spec.steps[i].long_running ||
		    (workflow->begun_count &&
		     workflow->begun[0]->steps[i].done_count))
			return 1;
	return 0;
}

/* Whether it fails wherever it runs, which tells nothing of a worker. */
static int fails_anywhere(struct workflow *workflow,
			  const struct worker *worker)
{
	uint64_t hash = hash_str(worker->runner);

	if (!workflow->failed_worker)
		workflow->failed_worker = hash;
	return workflow->failed_worker != hash && !may_be_sound(workflow);
}

void dispatch_count_failure(struct dispatch *dispatch, struct worker *worker,
			    struct workflow *workflow, struct mstime now)
{
	const char *job = workflow ? workflow->spec.id : "";

	if (workflow && fails_anywhere(workflow, worker))
		return;
	if (!worker->consecutive_failures) {
		if (strcmp(worker->failed_job, job) != 0)
			worker->job_penalty_until = mstime_from(0);
		str_copy(worker->failed_job, job, sizeof(worker->failed_job));
	} else if (strcmp(worker->failed_job, job) != 0) {
		worker->failed_job[0] = '\0';
	}
	if (++worker->consecutive_failures < CONSECUTIVE_FAILURES_MAX)
		return;
	if (worker->failed_job[0])
		worker->job_penalty_until =
			mstime_add(now, dispatch->limits.worker_penalty_ms);
	else
		dispatch_penalize(dispatch, worker, now);
}
