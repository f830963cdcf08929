#ifndef CATKINHILL_QUEUESHARE_H
#define CATKINHILL_QUEUESHARE_H

#include <stddef.h>
#include <stdint.h>

#include "mstime.h"
#include "workflow.h"

/*
 * NAME
 *	queueshare - which queues have had more than their share of late
 *
 * NOTES
 *	Load: one queue floods. Queues of a service and priority of which work
 *	waits have equal shares of what is assigned to them. Once a queue has
 *	had more than that, the others go first until they have caught up, or
 *	have nothing that waits. What is assigned counts by the estimates,
 *	half after each QUEUE_SHARE_HALF_MS.
 */
#define QUEUE_SHARES_MAX 64
#define QUEUE_SHARE_HALF_MS 2000

struct queue_shares;

struct queue_share {
	struct queue_shares *shares;
	char name[ID_SIZE];
	char service[ID_SIZE];
	uint32_t priority;
	double work; /* milli-CPU x ms, as of changed_at */
	struct mstime changed_at;
	struct mstime waited_at; /* last time that work found no place */
	struct mstime checked_at;
	int is_over; /* then */
};

struct queue_shares {
	struct queue_share items[QUEUE_SHARES_MAX];
	size_t count;
};

/* Returns NULL if there are too many queues; further ones have no share. */
struct queue_share *queue_shares_get(struct queue_shares *shares,
				     const struct queue_config *queue);

/* Counts work that is assigned. */
void queue_share_add(struct queue_share *share, double work, struct mstime now);

/* Work of the queue, which has this priority now, waits for a place. */
void queue_share_note_waiting(struct queue_share *share, uint32_t priority,
			      struct mstime now);

/*
 * Whether the queue has had more than its share, while work of another one
 * waits; the same for all calls at one time.
 */
int queue_share_is_over(struct queue_share *share, struct mstime now);

#endif
