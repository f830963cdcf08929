#include "evict.h"

#include <string.h>

#include "placement.h"

uint32_t evict_window_remaining(const struct evict_window *window,
				struct mstime now)
{
	uint32_t recorded = window->count < EVICT_WINDOW_RUNS_MAX
				    ? window->count
				    : EVICT_WINDOW_RUNS_MAX;
	uint32_t recent = 0, i;

	for (i = 0; i < recorded; i++)
		if (mstime_diff(now, window->times[i]) < EVICT_WINDOW_MS)
			recent++;
	return EVICT_WINDOW_RUNS_MAX - recent;
}

void evict_window_add(struct evict_window *window, struct mstime now)
{
	window->times[window->count++ % EVICT_WINDOW_RUNS_MAX] = now;
}

static int may_evict(const struct evict_candidate *candidate, int64_t pause_ms,
		     struct mstime now)
{
	return !candidate->urgent &&
	       (!candidate->evicted ||
		mstime_diff(now, candidate->evicted_at) >= pause_ms);
}

/*
 * Adds a millisecond, so that a run with a fresh checkpoint still has a cost,
 * that of its restart.
 */
static int64_t lost_work(const struct evict_candidate *candidate,
			 struct mstime now)
{
	int64_t since = mstime_diff(now, candidate->checkpointed_at) + 1;

	return (since > 0 ? since : 1) *
	       ((int64_t)candidate->reserved.cpu_milli + 1) / 1000;
}

static int is_chosen(const struct evict_choice *choice, uint32_t candidate)
{
	uint32_t i;

	for (i = 0; i < choice->count; i++)
		if (choice->victims[i] == candidate)
			return 1;
	return 0;
}

struct search {
	const struct resources *need;
	const struct evict_candidate *candidates;
	size_t count;
	int64_t pause_ms;
	struct mstime now;
};

static int find_cheapest_victim(const struct search *search, uint32_t worker,
				const struct evict_choice *choice)
{
	int64_t least = INT64_MAX;
	int found = -1;
	size_t i;

	for (i = 0; i < search->count; i++) {
		const struct evict_candidate *c = &search->candidates[i];
		int64_t lost;

		if (c->worker != worker ||
		    !may_evict(c, search->pause_ms, search->now) ||
		    is_chosen(choice, (uint32_t)i))
			continue;
		lost = lost_work(c, search->now);
		if (lost < least) {
			least = lost;
			found = (int)i;
		}
	}
	return found;
}

static uint32_t subtract_saturating(uint32_t a, uint32_t b)
{
	return a > b ? a - b : 0;
}

static void subtract_resources(struct resources *used,
			       const struct resources *need)
{
	used->cpu_milli = subtract_saturating(used->cpu_milli, need->cpu_milli);
	used->mem_mb = subtract_saturating(used->mem_mb, need->mem_mb);
	used->accel = subtract_saturating(used->accel, need->accel);
}

/* Removes victims that are not needed after all, the costliest first. */
static void drop_unneeded_victims(const struct search *search,
				  struct evict_choice *choice,
				  const struct evict_worker *worker,
				  struct resources used)
{
	uint32_t i = choice->count;

	while (i-- > 0) {
		const struct evict_candidate *c =
			&search->candidates[choice->victims[i]];
		struct resources used_with_run = used;

		used_with_run.cpu_milli += c->reserved.cpu_milli;
		used_with_run.mem_mb += c->reserved.mem_mb;
		used_with_run.accel += c->reserved.accel;
		if (!placement_fits(search->need, &used_with_run,
				    &worker->capacity))
			continue;
		used = used_with_run;
		choice->lost_cpu_ms -= lost_work(c, search->now);
		memmove(&choice->victims[i], &choice->victims[i + 1],
			(choice->count - i - 1) * sizeof(choice->victims[0]));
		choice->count--;
	}
}

static int try_worker(const struct search *search, uint32_t index,
		      const struct evict_worker *worker, uint32_t limit,
		      struct evict_choice *choice)
{
	struct resources used = worker->used;

	memset(choice, 0, sizeof(*choice));
	choice->worker = index;
	while (!placement_fits(search->need, &used, &worker->capacity)) {
		int victim = find_cheapest_victim(search, index, choice);

		if (victim < 0 || choice->count == EVICT_VICTIMS_MAX)
			return 0;
		choice->victims[choice->count++] = (uint32_t)victim;
		choice->lost_cpu_ms +=
			lost_work(&search->candidates[victim], search->now);
		subtract_resources(&used, &search->candidates[victim].reserved);
	}
	drop_unneeded_victims(search, choice, worker, used);
	return choice->count > 0 && choice->count <= limit;
}

void evict_choose(struct evict_choice *choice, const struct resources *need,
		  const struct evict_candidate *candidates, size_t count,
		  const struct evict_worker *workers, size_t worker_count,
		  int64_t pause_ms, uint32_t limit, struct mstime now)
{
	const struct search search = { need, candidates, count, pause_ms, now };
	struct evict_choice trial;
	size_t i;

	memset(choice, 0, sizeof(*choice));
	for (i = 0; i < worker_count; i++) {
		if (!workers[i].usable ||
		    !try_worker(&search, (uint32_t)i, &workers[i], limit,
				&trial))
			continue;
		if (!choice->count || trial.lost_cpu_ms < choice->lost_cpu_ms)
			*choice = trial;
	}
}
