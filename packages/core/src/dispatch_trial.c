#include <string.h>

#include "dispatch.h"
#include "dispatch_internal.h"

/*
 * What a best-effort image does to a serving image is learned at a few workers
 * before others take the same risk. Load pattern: a wide step of an image that
 * nobody knows, whose tasks would otherwise start beside all tasks of a serving
 * step at once, and slow all of them until the first measurement.
 */

/* A run that has been at work for so long has been measured, or never is. */
#define TRIAL_MS 1500
/*
 * One in so many workers of a serving image may try the same pair: some of its
 * tasks are at risk, but a wide step need not wait for a single measurement.
 */
#define TRIAL_PART 3

/* Counts each worker once: the serving runs of an image stand together. */
static void count_images(const struct worker *worker, unsigned short *counts)
{
	const struct list *pos;
	int last = -1;

	list_for_each (pos, &worker->serving_runs) {
		int image = list_entry(pos, struct run, serving_node)->image;

		if (image >= 0 && image != last)
			counts[image]++;
		last = image;
	}
}

void dispatch_count_serving(struct dispatch *dispatch)
{
	const struct list *pos;

	memset(dispatch->serving_workers, 0, sizeof(dispatch->serving_workers));
	list_for_each (pos, &dispatch->workers)
		count_images(list_entry(pos, struct worker, node),
			     dispatch->serving_workers);
}

static int is_measured(const struct run *run, struct mstime now)
{
	return run->is_active && mstime_diff(now, run->active_at) >= TRIAL_MS;
}

void dispatch_mark_trials(struct dispatch *dispatch, int image,
			  struct mstime now)
{
	const struct list *pos;

	memset(dispatch->trials, 0, sizeof(dispatch->trials));
	if (image < 0)
		return;
	list_for_each (pos, &dispatch->fills[image]) {
		const struct run *run = list_entry(pos, struct run, image_node);

		if (is_measured(run, now))
			continue;
		count_images(run->worker, dispatch->trials);
	}
}

/* The serving image, or -1 if the pair needs no trial. */
static int unknown_serving(const struct dispatch *dispatch,
			   const struct list *serving_node, int image)
{
	const struct run *serving =
		list_entry(serving_node, struct run, serving_node);

	if (image < 0 || serving->image < 0 ||
	    colocation_is_known(dispatch->colocation, image, serving->image))
		return -1;
	return serving->image;
}

int dispatch_repeats_trial(const struct dispatch *dispatch,
			   const struct worker *worker, int image)
{
	const struct list *pos;

	list_for_each (pos, &worker->serving_runs) {
		int serving = unknown_serving(dispatch, pos, image);

		if (serving >= 0 &&
		    dispatch->trials[serving] * TRIAL_PART >=
			    dispatch->serving_workers[serving] &&
		    dispatch->trials[serving])
			return 1;
	}
	return 0;
}

int dispatch_is_trial(const struct dispatch *dispatch,
		      const struct worker *worker, int image)
{
	const struct list *pos;

	list_for_each (pos, &worker->serving_runs)
		if (unknown_serving(dispatch, pos, image) >= 0)
			return 1;
	return 0;
}
