#ifndef CATKINHILL_INBOX_H
#define CATKINHILL_INBOX_H

#include "daemon.h"
#include "intent.h"

/*
 * NAME
 *	inbox - writes a submitted job or a cancellation for its owner
 *
 * NOTES
 *	Creates inbox/N/JOB or inbox/N/JOB.cancel if absent. If the response
 *	to the write is lost, the key is read back: equal bytes mean that this
 *	write or an identical one took effect. An owner that has already taken
 *	the job finds it in its partition and ignores a second copy. Calls
 *	done once with
 *	0		written
 *	ERR_EXISTS	the key holds another job of this id, or another
 *			cancellation
 *	ERR_UNAVAILABLE	not written
 *	ERR_UNKNOWN	perhaps written; the store did not respond in time
 */
struct inbox_call;

typedef void (*inbox_fn)(void *arg, int err);

/* intent is a submit or a cancel. */
struct inbox_call *inbox_start(struct daemon *daemon,
			       const struct intent *intent, inbox_fn done,
			       void *arg);
/* Cancels a call that is in progress; then done is not called. */
void inbox_delete(struct inbox_call *call);

#endif
