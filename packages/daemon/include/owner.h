#ifndef CATKINHILL_OWNER_H
#define CATKINHILL_OWNER_H

#include "daemon.h"
#include "membership.h"
#include "message.h"
#include "transport.h"

/*
 * NAME
 *	owner - owns batch partitions: takes over, places, commits, evicts
 *
 * NOTES
 *	Lives in an entry. Sends TASK_* and OWNER messages to agents over the
 *	entry's transport; reads members, never changes them. Registers
 *	GET /v1/jobs, /v1/jobs/ and /v1/explain/job/ with the admin server.
 */
struct owner;

struct owner *owner_new(struct daemon *daemon, struct transport *transport,
			const struct membership *membership);
void owner_delete(struct owner *owner);

/* A TASK_REPORT arrived from peer. */
void owner_on_report(struct owner *owner, const char *peer,
		     const struct msg_task_report *report);

/* An agent joined or changed its state, or the configuration changed. */
void owner_on_change(struct owner *owner);

/* All entries in the store: they set the order of claims. */
void owner_set_entries(struct owner *owner, const struct entry_list *entries);

/*
 * Gives up the partitions, after their state is committed, so that another
 * entry takes them at once; fn(arg) is called when that is done.
 */
void owner_stop(struct owner *owner, stopped_fn fn, void *arg);

#endif
