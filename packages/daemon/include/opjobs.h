#ifndef CATKINHILL_OPJOBS_H
#define CATKINHILL_OPJOBS_H

#include "daemon.h"
#include "plan.h"

/*
 * NAME
 *	opjobs - reads from the store the jobs that an intent is about
 *
 * NOTES
 *	A drain needs all partitions, a submit or cancel one partition and
 *	the inbox; the other intents need none. fn gets view->jobs filled in,
 *	with jobs_known 0 when the store did not answer; it is called once,
 *	never inside opjobs_start().
 */
struct opjobs;

typedef void (*opjobs_done_fn)(void *arg, const struct opjobs *jobs);

struct opjobs *opjobs_start(struct daemon *daemon, const struct intent *intent,
			    opjobs_done_fn fn, void *arg);
/* Also ends a read in progress; then fn is not called. */
void opjobs_delete(struct opjobs *jobs);

/* Points the view to the jobs read; valid until opjobs_delete(). */
void opjobs_fill_view(const struct opjobs *jobs, struct plan_view *view);

#endif
