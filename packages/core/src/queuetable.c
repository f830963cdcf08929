#include "queuetable.h"

#include <stdlib.h>
#include <string.h>

#include "hash.h"
#include "mem.h"

struct entry {
	struct list node;
	struct queue_config queue;
};

void queue_table_init(struct queue_table *table)
{
	size_t i;

	for (i = 0; i < QUEUE_BUCKETS; i++)
		list_init(&table->buckets[i]);
}

static void entry_delete(struct entry *entry)
{
	list_del(&entry->node);
	free(entry);
}

void queue_table_clear(struct queue_table *table)
{
	struct list *pos, *tmp;
	size_t i;

	for (i = 0; i < QUEUE_BUCKETS; i++)
		list_for_each_safe (pos, tmp, &table->buckets[i])
			entry_delete(list_entry(pos, struct entry, node));
}

static struct entry *find(const struct list *bucket, const char *name)
{
	const struct list *pos;

	list_for_each (pos, bucket) {
		struct entry *entry = list_entry(pos, struct entry, node);

		if (!strcmp(entry->queue.name, name))
			return entry;
	}
	return NULL;
}

void queue_table_set(struct queue_table *table,
		     const struct queue_config *queue)
{
	struct list *bucket =
		&table->buckets[hash_str(queue->name) % QUEUE_BUCKETS];
	struct entry *entry = find(bucket, queue->name);

	if (!entry) {
		entry = xcalloc(1, sizeof(*entry));
		list_add_tail(bucket, &entry->node);
	} else if (entry->queue.version > queue->version) {
		return;
	}
	entry->queue = *queue;
}

const struct queue_config *queue_table_find(const struct queue_table *table,
					    const char *name)
{
	const struct entry *entry =
		find(&table->buckets[hash_str(name) % QUEUE_BUCKETS], name);

	return entry ? &entry->queue : NULL;
}

void queue_table_update(const struct queue_table *table,
			struct queue_config *queue)
{
	const struct queue_config *known = queue_table_find(table, queue->name);

	if (known && known->version >= queue->version)
		*queue = *known;
}

void queue_table_forget(struct queue_table *table, int64_t version,
			int (*is_used)(const void *arg, const char *name),
			const void *arg)
{
	struct list *pos, *tmp;
	size_t i;

	for (i = 0; i < QUEUE_BUCKETS; i++)
		list_for_each_safe (pos, tmp, &table->buckets[i]) {
			struct entry *entry =
				list_entry(pos, struct entry, node);

			if (entry->queue.version < version &&
			    !is_used(arg, entry->queue.name))
				entry_delete(entry);
		}
}
