#ifndef CATKINHILL_WORKREPORT_H
#define CATKINHILL_WORKREPORT_H

#include <stddef.h>

#include "message.h"

/*
 * NAME
 *	workreport - fits a runner's report into one message
 *
 * NOTES
 *	The scheduler gives a run up that a whole report names neither as a run
 *	nor as an end. An end that does not fit is listed as
 *	an active run instead, and follows in a later report: the scheduler
 *	takes ends in the order of their numbers. A checkpoint that does not
 *	fit is left out, which means that it is unchanged.
 */

/*
 * Shortens the report until message_encode() accepts it. runs.items has space
 * for runs.count + ends.count rows; no checkpoint is longer than
 * RUN_CHECKPOINT_MAX. Checkpoints of runs are kept from the run with index
 * first on, in a circle.
 *
 * RETURN VALUE
 *	Index of the first run whose checkpoint was left out, from which the
 *	next report should begin; first if there is none.
 */
size_t workreport_fit(struct msg_work_report *report, size_t first);

/*
 * Whether the report names all runs of the worker. One with as many runs as a
 * message can carry may have left some out, which the next ones name.
 */
int workreport_is_whole(const struct msg_work_report *report);

#endif
