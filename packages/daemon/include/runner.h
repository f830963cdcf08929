#ifndef CATKINHILL_RUNNER_H
#define CATKINHILL_RUNNER_H

#include "daemon.h"

/*
 * NAME
 *	runner - carries out the scheduler's orders at the worker beside it
 *
 * NOTES
 *	The worker announces itself here. The runner reads its lists, extends
 *	the lease of what runs as far as the scheduler allows, and reports to
 *	the scheduler with the highest epoch. It keeps nothing: after a
 *	restart it learns all from the worker and the scheduler.
 */
struct runner;

/* RETURN VALUE: NULL after a line in the log. */
struct runner *runner_new(struct daemon *daemon);
void runner_delete(struct runner *runner);
void runner_stop(struct runner *runner, stopped_fn fn, void *arg);

#endif
