#ifndef CATKINHILL_INBOX_H
#define CATKINHILL_INBOX_H

#include "daemon.h"
#include "intent.h"

/*
 * NAME
 *	inbox - writes a submitted job or a cancellation for its owner
 *
 * NOTES
 *	Creates inbox/N/JOB or inbox/N/JOB.cancel if absent. A lost answer is
 *	settled by reading the key back: equal bytes are this write or one
 *	that is the same. An owner that has taken the job already finds it in
 *	its partition and drops a second copy. Calls done once with
 *	0		written
 *	ERR_EXISTS	another job of this id, or a cancellation, waits there
 *	ERR_UNAVAILABLE	not written
 *	ERR_UNKNOWN	the store stayed silent after the write
 */
struct inbox_call;

typedef void (*inbox_fn)(void *arg, int err);

/* intent is a submit or a cancel. */
struct inbox_call *inbox_start(struct daemon *daemon,
			       const struct intent *intent, inbox_fn done,
			       void *arg);
/* Also ends a call in progress; then done is not called. */
void inbox_delete(struct inbox_call *call);

#endif
