#ifndef CATKINHILL_QUEUETABLE_H
#define CATKINHILL_QUEUETABLE_H

#include <stdint.h>

#include "list.h"
#include "workflow.h"

/*
 * NAME
 *	queuetable - the last known settings of each queue
 *
 * NOTES
 *	A job is stored with the settings that its queue had at the gateway
 *	that accepted it. They may be out of date, or newer than what the
 *	scheduler has read; the higher version of the configuration holds.
 *	Queues that the configuration doesn't have any more stay in the table
 *	until queue_table_forget(), for the jobs that were accepted before.
 */
#define QUEUE_BUCKETS 256

struct queue_table {
	struct list buckets[QUEUE_BUCKETS]; /* by name */
};

void queue_table_init(struct queue_table *table);
void queue_table_clear(struct queue_table *table);

/* Copies the settings, unless those in the table have a higher version. */
void queue_table_set(struct queue_table *table,
		     const struct queue_config *queue);

/*
 * RETURN VALUE
 *	The settings of the queue of this name, or NULL; valid until the table
 *	is changed.
 */
const struct queue_config *queue_table_find(const struct queue_table *table,
					    const char *name);

/*
 * Replaces settings by those in the table, unless they have a higher version
 * or the table doesn't have the queue.
 */
void queue_table_update(const struct queue_table *table,
			struct queue_config *queue);

/* Removes the queues of lower versions for which is_used() returns 0. */
void queue_table_forget(struct queue_table *table, int64_t version,
			int (*is_used)(const void *arg, const char *name),
			const void *arg);

#endif
