#ifndef CATKINHILL_ADMISSION_H
#define CATKINHILL_ADMISSION_H

#include <stddef.h>
#include <stdint.h>

#include "list.h"
#include "mstime.h"

/*
 * NAME
 *	admission - bounded queue of the requests that wait in an entry
 *
 * NOTES
 *	The queue counts as overloaded when its oldest request has waited
 *	longer than ADMISSION_TARGET_MS throughout the last
 *	ADMISSION_INTERVAL_MS. It is then served newest first, and a request
 *	that has waited for ADMISSION_INTERVAL_MS is dropped early, so that
 *	its caller still has time to try elsewhere. Items are embedded in
 *	structures of the code that uses the queue.
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
	struct admission_caller *caller; /* NULL if not admitted */
	struct mstime enqueued_at;
	struct mstime deadline;
	int queued;
};

enum admission_verdict {
	ADMISSION_OK,
	ADMISSION_OVER_SHARE, /* the caller exceeds its fair share */
	ADMISSION_FULL,	      /* queue full, no caller exceeds its share */
	ADMISSION_DEADLINE,   /* the deadline has passed */
	ADMISSION_OVERLOAD,   /* waited too long while overloaded */
};

struct admission *admission_new(uint32_t limit);
void admission_delete(struct admission *admission);
void admission_set_limit(struct admission *admission, uint32_t limit);

/*
 * Admits and counts a request of a caller. Refuses it while the queue is full
 * or overloaded and the caller has more than its fair share in flight.
 */
enum admission_verdict admission_enter(struct admission *admission,
				       struct admission_item *item,
				       const char *caller,
				       struct mstime deadline,
				       struct mstime now);

/* Ends a request; does nothing if it was not admitted. */
void admission_leave(struct admission *admission, struct admission_item *item);

/*
 * Puts an admitted request into the queue. If the queue was full, one request
 * is shed: *shed receives it, already removed from the queue, and *verdict
 * the reason. It can be the item itself. Else *shed is NULL.
 */
void admission_enqueue(struct admission *admission, struct admission_item *item,
		       struct mstime now, struct admission_item **shed,
		       enum admission_verdict *verdict);

/* Removes an item from the queue, to run it or to drop it. */
void admission_dequeue(struct admission *admission,
		       struct admission_item *item);

/*
 * RETURN VALUE
 *	The item to be served first or, if after is not NULL, the one to be
 *	served after it; NULL at the end.
 */
struct admission_item *admission_next(struct admission *admission,
				      const struct admission_item *after,
				      struct mstime now);

/*
 * Removes one item that must be dropped from the queue; to be called until it
 * returns NULL.
 */
struct admission_item *admission_expired(struct admission *admission,
					 struct mstime now,
					 enum admission_verdict *verdict);

uint32_t admission_waiting(const struct admission *admission);
int admission_overloaded(struct admission *admission, struct mstime now);

#endif
