#ifndef CATKINHILL_RUNNER_H
#define CATKINHILL_RUNNER_H

#include "daemon.h"

/*
 * NAME
 *	runner - executes the scheduler's orders on the worker of the same VM
 *
 * NOTES
 *	The worker announces itself to the runner. The runner polls the
 *	worker's lists of runs, extends the lease of these runs as far as the
 *	scheduler allows, and reports to the scheduler with the highest epoch.
 *	It has no persistent state: after a restart it gets everything from
 *	the worker and the scheduler.
 */
struct runner;

/* RETURN VALUE: NULL on failure, which is logged. */
struct runner *runner_new(struct daemon *daemon);
void runner_delete(struct runner *runner);
/* Resigns from the election, then calls fn. */
void runner_stop(struct runner *runner, stopped_fn fn, void *arg);

#endif
