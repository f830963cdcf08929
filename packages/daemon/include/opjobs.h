#ifndef CATKINHILL_OPJOBS_H
#define CATKINHILL_OPJOBS_H

#include "daemon.h"
#include "plan.h"

/*
 * NAME
 *	opjobs - reads the jobs that an intent affects from the store
 *
 * NOTES
 *	A drain reads all partitions, a submit or cancel reads the partition
 *	of the job and its inbox; other intents read nothing. fn is called
 *	once, never inside opjobs_start(). opjobs_fill_view() sets jobs_known
 *	to 0 if the read failed.
 */
struct opjobs;

typedef void (*opjobs_done_fn)(void *arg, const struct opjobs *jobs);

struct opjobs *opjobs_start(struct daemon *daemon, const struct intent *intent,
			    opjobs_done_fn fn, void *arg);
/* Also cancels a read in progress; fn is not called then. */
void opjobs_delete(struct opjobs *jobs);

/* Sets the job fields of view; jobs are valid until opjobs_delete(). */
void opjobs_fill_view(const struct opjobs *jobs, struct plan_view *view);

#endif
