#ifndef CATKINHILL_ADMISSION_H
#define CATKINHILL_ADMISSION_H

#include <stddef.h>
#include <stdint.h>

#include "list.h"
#include "mstime.h"

/*
 * NAME
 *	admission - the queue of requests that wait in an entry
 *
 * NOTES
 *	The queue counts as overloaded when its oldest request has waited
 *	longer than ADMISSION_TARGET_MS during the last ADMISSION_INTERVAL_MS.
 *	It is then served newest first, and a request that has waited for
 *	ADMISSION_INTERVAL_MS is dropped: its caller has the time to try
 *	elsewhere. Items are embedded in the caller's structures.
 *
 * SOURCE
 *	Nichols and Jacobson, ACM Queue 2012 (CoDel).
 */
#define ADMISSION_TARGET_MS 5
#define ADMISSION_INTERVAL_MS 100

struct admission;
struct admission_caller;

struct admission_item {
	struct list node;
	struct admission_caller *caller; /* NULL when not admitted */
	struct mstime enqueued_at;	 /* in the queue */
	struct mstime deadline;
	int queued;
};

enum admission_verdict {
	ADMISSION_OK,
	ADMISSION_OVER_SHARE, /* the caller is over its own share */
	ADMISSION_FULL,	      /* no place, and no caller is over its share */
	ADMISSION_DEADLINE,   /* the deadline has passed */
	ADMISSION_OVERLOAD,   /* waited too long under overload */
};

struct admission *admission_new(uint32_t limit);
void admission_delete(struct admission *admission);
void admission_set_limit(struct admission *admission, uint32_t limit);

/*
 * Counts a request of a caller. Refused while the queue is full or
 * overloaded and the caller has more than its share in flight.
 */
enum admission_verdict admission_enter(struct admission *admission,
				       struct admission_item *item,
				       const char *caller,
				       struct mstime deadline,
				       struct mstime now);

/* The request has ended; harmless when it was not admitted. */
void admission_leave(struct admission *admission, struct admission_item *item);

/*
 * Puts an admitted request into the queue. When the queue is full, another
 * request may have to leave: *evicted receives it, already removed from the
 * queue, and *why its verdict. The item itself can be the evicted one.
 */
void admission_enqueue(struct admission *admission, struct admission_item *item,
		       struct mstime now, struct admission_item **evicted,
		       enum admission_verdict *why);

/* Takes an item out of the queue, to run it or to give it up. */
void admission_dequeue(struct admission *admission,
		       struct admission_item *item);

/*
 * The item to be served next, or, with after, the one behind it. NULL at
 * the end.
 */
struct admission_item *admission_next(struct admission *admission,
				      const struct admission_item *after,
				      struct mstime now);

/*
 * An item that must be given up, already removed from the queue, or NULL.
 * Call until NULL.
 */
struct admission_item *admission_expired(struct admission *admission,
					 struct mstime now,
					 enum admission_verdict *why);

uint32_t admission_waiting(const struct admission *admission);
int admission_overloaded(struct admission *admission, struct mstime now);

#endif
