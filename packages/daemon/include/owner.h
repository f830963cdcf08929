#ifndef CATKINHILL_OWNER_H
#define CATKINHILL_OWNER_H

#include "daemon.h"
#include "membership.h"
#include "message.h"
#include "transport.h"

/*
 * NAME
 *	owner - owns batch partitions: takes them over, places and evicts
 *	their jobs and commits their state to the store
 *
 * NOTES
 *	Runs in the entry role. Sends TASK_* and OWNER messages to agents over
 *	the entry's transport; reads the membership and never changes it.
 *	Registers GET /v1/jobs, /v1/jobs/ and /v1/explain/job/ with the admin
 *	server.
 */
struct owner;

struct owner *owner_new(struct daemon *daemon, struct transport *transport,
			const struct membership *membership);
void owner_delete(struct owner *owner);

/* Handles a TASK_REPORT from peer. */
void owner_on_report(struct owner *owner, const char *peer,
		     const struct msg_task_report *report);

/*
 * To be called when an agent joined or changed its state, or when the
 * configuration changed.
 */
void owner_on_change(struct owner *owner);

/*
 * Sets the entries that are registered in the store. Their ids determine the
 * order in which entries claim a partition without an owner.
 */
void owner_set_entries(struct owner *owner, const struct entry_list *entries);

/*
 * Commits the state of all partitions and then releases them, so that another
 * entry can take them over at once. Calls fn(arg) when that is done.
 */
void owner_stop(struct owner *owner, stopped_fn fn, void *arg);

#endif
