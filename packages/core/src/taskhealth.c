#include "taskhealth.h"

#include <stdlib.h>
#include <string.h>

#include "list.h"
#include "mem.h"

struct worker {
	struct list node;
	uint64_t agent;
	uint64_t jobs[TASKHEALTH_EJECTION_FAILURES]; /* different jobs that
							failed */
	uint32_t failures;
	int blamed;
	int64_t pause_ms;
	struct mstime until;
};

/* Only workers with a failure since their last success are kept. */
struct taskhealth {
	struct list workers;
	uint64_t *blamed;
	size_t capacity;
};

struct taskhealth *taskhealth_new(void)
{
	struct taskhealth *health = xcalloc(1, sizeof(*health));

	list_init(&health->workers);
	return health;
}

static void drop(struct worker *worker)
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
		drop(list_entry(pos, struct worker, node));
	free(health->blamed);
	free(health);
}

static struct worker *find_worker(const struct taskhealth *health,
				  uint64_t agent)
{
	struct list *pos;

	list_for_each (pos, &health->workers) {
		struct worker *worker = list_entry(pos, struct worker, node);

		if (worker->agent == agent)
			return worker;
	}
	return NULL;
}

void taskhealth_finished(struct taskhealth *health, uint64_t agent)
{
	struct worker *worker = find_worker(health, agent);

	if (worker)
		drop(worker);
}

static uint32_t count_blamed(const struct taskhealth *health)
{
	struct list *pos;
	uint32_t count = 0;

	list_for_each (pos, &health->workers)
		count += list_entry(pos, struct worker, node)->blamed != 0;
	return count;
}

static int add_job(struct worker *worker, uint64_t job)
{
	uint32_t i;

	for (i = 0; i < worker->failures; i++)
		if (worker->jobs[i] == job)
			return 0;
	if (worker->failures < TASKHEALTH_EJECTION_FAILURES)
		worker->jobs[worker->failures++] = job;
	return 1;
}

static int eject(struct worker *worker, struct mstime now)
{
	if (!worker->pause_ms)
		worker->pause_ms = TASKHEALTH_EJECTION_MS;
	else if (worker->pause_ms < TASKHEALTH_EJECTION_MAX_MS)
		worker->pause_ms *= 2;
	worker->blamed = 1;
	worker->until = mstime_add(now, worker->pause_ms);
	return 1;
}

int taskhealth_failed(struct taskhealth *health, uint64_t agent, uint64_t job,
		      uint32_t workers, struct mstime now)
{
	struct worker *worker = find_worker(health, agent);

	if (!worker) {
		worker = xcalloc(1, sizeof(*worker));
		worker->agent = agent;
		list_add_tail(&health->workers, &worker->node);
	}
	if (worker->blamed)
		return mstime_before(worker->until, now) ? eject(worker, now)
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
	const struct worker *worker = find_worker(health, agent);

	return worker && worker->blamed && mstime_before(now, worker->until);
}

const uint64_t *taskhealth_blamed(struct taskhealth *health, size_t *count)
{
	struct list *pos;

	*count = 0;
	list_for_each (pos, &health->workers) {
		struct worker *worker = list_entry(pos, struct worker, node);

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
