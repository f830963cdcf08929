#ifndef CATKINHILL_SCHEDULER_H
#define CATKINHILL_SCHEDULER_H

#include "daemon.h"
#include "kv.h"

/*
 * NAME
 *	scheduler - candidate for, and at times the one active, scheduler
 *
 * NOTES
 *	Hosted by every runner. While elected it follows the submitted
 *	workflows, assigns their tasks, stores each assignment before it is
 *	ordered, and talks to all runners. Without the election it only
 *	watches the key.
 */
struct scheduler;

struct scheduler *scheduler_new(struct daemon *daemon, struct kv *kv);
void scheduler_delete(struct scheduler *scheduler);

/* Hands over to another candidate. */
void scheduler_resign(struct scheduler *scheduler);

#endif
