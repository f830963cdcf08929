#ifndef CATKINHILL_SCHEDULER_H
#define CATKINHILL_SCHEDULER_H

#include "daemon.h"
#include "kv.h"

/*
 * NAME
 *	scheduler - election candidate and, while elected, active scheduler
 *
 * NOTES
 *	Every runner process has one. While elected it watches the submitted
 *	workflows, assigns their tasks, stores each assignment before it is
 *	ordered, and connects to all runners. Otherwise it only watches the
 *	election key.
 */
struct scheduler;

struct scheduler *scheduler_new(struct daemon *daemon, struct kv *kv);
void scheduler_delete(struct scheduler *scheduler);

/* Gives up the election, so that another candidate can take over. */
void scheduler_resign(struct scheduler *scheduler);

#endif
