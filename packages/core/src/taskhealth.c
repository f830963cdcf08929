#include "taskhealth.h"

#include <stdlib.h>
#include <string.h>

#include "list.h"
#include "mem.h"

/* Failures of one worker since its last success. */
struct worker_health {
	struct list node;
	uint64_t agent;
	uint64_t jobs[TASKHEALTH_EJECTION_FAILURES]; /* different jobs that
							failed */
	uint32_t failures;
	int blamed; /* ejected at least once since the last success */
	int64_t ejection_ms;
	struct mstime ejected_until; /* end of the last ejection */
};

/* Contains only workers with a failure since their last success. */
struct taskhealth {
	struct list workers;
	uint64_t *blamed; /* result of taskhealth_blamed() */
	size_t capacity;
};

struct taskhealth *taskhealth_new(void)
{
	struct taskhealth *health = xcalloc(1, sizeof(*health));

	list_init(&health->workers);
	return health;
}

static void remove_worker(struct worker_health *worker)
{
	list_del(&worker->node);
	free(worker);
}

void taskhealth_delete(struct taskhealth *health)
{
	struct list *pos, *tmp;

	if (!health)
		return;
	list_for_each_safe (pos, tmp, &health->workers)
		remove_worker(list_entry(pos, struct worker_health, node));
	free(health->blamed);
	free(health);
}

static struct worker_health *find_worker(const struct taskhealth *health,
					 uint64_t agent)
{
	struct list *pos;

	list_for_each (pos, &health->workers) {
		struct worker_health *worker =
			list_entry(pos, struct worker_health, node);

		if (worker->agent == agent)
			return worker;
	}
	return NULL;
}

void taskhealth_finished(struct taskhealth *health, uint64_t agent)
{
	struct worker_health *worker = find_worker(health, agent);

	if (worker)
		remove_worker(worker);
}

static uint32_t count_blamed(const struct taskhealth *health)
{
	struct list *pos;
	uint32_t count = 0;

	list_for_each (pos, &health->workers)
		count += list_entry(pos, struct worker_health, node)->blamed !=
			 0;
	return count;
}

static int add_job(struct worker_health *worker, uint64_t job)
{
	uint32_t i;

	for (i = 0; i < worker->failures; i++)
		if (worker->jobs[i] == job)
			return 0;
	if (worker->failures < TASKHEALTH_EJECTION_FAILURES)
		worker->jobs[worker->failures++] = job;
	return 1;
}

static int eject(struct worker_health *worker, struct mstime now)
{
	if (!worker->ejection_ms)
		worker->ejection_ms = TASKHEALTH_EJECTION_MS;
	else if (worker->ejection_ms < TASKHEALTH_EJECTION_MAX_MS)
		worker->ejection_ms *= 2;
	worker->blamed = 1;
	worker->ejected_until = mstime_add(now, worker->ejection_ms);
	return 1;
}

int taskhealth_failed(struct taskhealth *health, uint64_t agent, uint64_t job,
		      uint32_t workers, struct mstime now)
{
	struct worker_health *worker = find_worker(health, agent);

	if (!worker) {
		worker = xcalloc(1, sizeof(*worker));
		worker->agent = agent;
		list_add_tail(&health->workers, &worker->node);
	}
	if (worker->blamed)
		return mstime_before(worker->ejected_until, now)
			       ? eject(worker, now)
			       : 0;
	if (!add_job(worker, job) ||
	    worker->failures < TASKHEALTH_EJECTION_FAILURES ||
	    (count_blamed(health) + 1) * 2 > workers)
		return 0;
	return eject(worker, now);
}

int taskhealth_ejected(const struct taskhealth *health, uint64_t agent,
		       struct mstime now)
{
	const struct worker_health *worker = find_worker(health, agent);

	return worker && worker->blamed &&
	       mstime_before(now, worker->ejected_until);
}

const uint64_t *taskhealth_blamed(struct taskhealth *health, size_t *count)
{
	struct list *pos;

	*count = 0;
	list_for_each (pos, &health->workers) {
		struct worker_health *worker =
			list_entry(pos, struct worker_health, node);

		if (!worker->blamed)
			continue;
		if (*count == health->capacity) {
			health->capacity = health->capacity * 2 + 16;
			health->blamed = xrealloc(
				health->blamed,
				health->capacity * sizeof(*health->blamed));
		}
		health->blamed[(*count)++] = worker->agent;
	}
	return health->blamed;
}
