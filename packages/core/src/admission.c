#include "admission.h"

#include <stdlib.h>
#include <string.h>

#include "hash.h"
#include "mem.h"

#define BUCKETS 256

struct admission_caller {
	struct list node;
	char *name;
	uint32_t in_flight; /* queued and running */
	uint32_t waiting;
};

struct admission {
	struct list queue; /* oldest first */
	uint32_t waiting;
	uint32_t limit;
	uint32_t in_flight;
	uint32_t callers;
	struct list buckets[BUCKETS];
	/* Last time when the oldest item had waited within the target. */
	struct mstime within_target_at;
};

struct admission *admission_new(uint32_t limit)
{
	struct admission *admission = xcalloc(1, sizeof(*admission));
	size_t i;

	admission->limit = limit;
	list_init(&admission->queue);
	for (i = 0; i < BUCKETS; i++)
		list_init(&admission->buckets[i]);
	return admission;
}

static void delete_caller(struct admission *admission,
			  struct admission_caller *caller)
{
	list_del(&caller->node);
	admission->callers--;
	free(caller->name);
	free(caller);
}

void admission_delete(struct admission *admission)
{
	struct list *pos, *tmp;
	size_t i;

	if (!admission)
		return;
	for (i = 0; i < BUCKETS; i++)
		list_for_each_safe (pos, tmp, &admission->buckets[i])
			delete_caller(
				admission,
				list_entry(pos, struct admission_caller, node));
	free(admission);
}

void admission_set_limit(struct admission *admission, uint32_t limit)
{
	admission->limit = limit;
}

static struct admission_caller *get_caller(struct admission *admission,
					   const char *name)
{
	struct list *bucket = &admission->buckets[hash_str(name) % BUCKETS];
	struct admission_caller *caller;
	struct list *pos;

	list_for_each (pos, bucket) {
		caller = list_entry(pos, struct admission_caller, node);
		if (!strcmp(caller->name, name))
			return caller;
	}
	caller = xcalloc(1, sizeof(*caller));
	caller->name = xstrdup(name);
	list_add_head(bucket, &caller->node);
	admission->callers++;
	return caller;
}

static struct admission_item *oldest(const struct admission *admission)
{
	return list_entry(admission->queue.next, struct admission_item, node);
}

static void update_within_target(struct admission *admission, struct mstime now)
{
	if (!admission->waiting ||
	    mstime_diff(now, oldest(admission)->enqueued_at) <=
		    ADMISSION_TARGET_MS)
		admission->within_target_at = now;
}

int admission_overloaded(struct admission *admission, struct mstime now)
{
	update_within_target(admission, now);
	return mstime_diff(now, admission->within_target_at) >
	       ADMISSION_INTERVAL_MS;
}

/*
 * The fair share is an equal part of the requests in flight. A quarter more
 * is tolerated, because the counts of equal callers vary.
 */
static int over_share(const struct admission *admission,
		      const struct admission_caller *caller)
{
	uint32_t share;

	if (admission->callers < 2)
		return 0;
	share = admission->in_flight / admission->callers;
	return caller->in_flight > share + share / 4 + 1;
}

enum admission_verdict admission_enter(struct admission *admission,
				       struct admission_item *item,
				       const char *name, struct mstime deadline,
				       struct mstime now)
{
	struct admission_caller *caller;
	int congested = admission->waiting >= admission->limit ||
			admission_overloaded(admission, now);

	item->caller = NULL;
	item->queued = 0;
	item->deadline = deadline;
	if (!mstime_before(now, deadline))
		return ADMISSION_DEADLINE;
	caller = get_caller(admission, name);
	if (congested && over_share(admission, caller))
		return ADMISSION_OVER_SHARE;
	caller->in_flight++;
	admission->in_flight++;
	item->caller = caller;
	return ADMISSION_OK;
}

void admission_leave(struct admission *admission, struct admission_item *item)
{
	struct admission_caller *caller = item->caller;

	if (!caller)
		return;
	admission_dequeue(admission, item);
	item->caller = NULL;
	admission->in_flight--;
	if (!--caller->in_flight)
		delete_caller(admission, caller);
}

void admission_dequeue(struct admission *admission, struct admission_item *item)
{
	if (!item->queued)
		return;
	item->queued = 0;
	list_del(&item->node);
	admission->waiting--;
	item->caller->waiting--;
}

/* The oldest item of a caller over its fair share, or the oldest of all. */
static struct admission_item *pick_victim(struct admission *admission,
					  enum admission_verdict *verdict)
{
	struct list *pos;

	list_for_each (pos, &admission->queue) {
		struct admission_item *item =
			list_entry(pos, struct admission_item, node);

		if (!over_share(admission, item->caller))
			continue;
		*verdict = ADMISSION_OVER_SHARE;
		return item;
	}
	*verdict = ADMISSION_FULL;
	return oldest(admission);
}

void admission_enqueue(struct admission *admission, struct admission_item *item,
		       struct mstime now, struct admission_item **shed,
		       enum admission_verdict *verdict)
{
	update_within_target(admission, now);
	*shed = NULL;
	*verdict = ADMISSION_OK;
	item->queued = 1;
	item->enqueued_at = now;
	list_add_tail(&admission->queue, &item->node);
	admission->waiting++;
	item->caller->waiting++;
	if (admission->waiting <= admission->limit)
		return;
	*shed = pick_victim(admission, verdict);
	admission_dequeue(admission, *shed);
}

struct admission_item *admission_next(struct admission *admission,
				      const struct admission_item *after,
				      struct mstime now)
{
	int newest_first = admission_overloaded(admission, now);
	const struct list *pos = after ? &after->node : &admission->queue;

	pos = newest_first ? pos->prev : pos->next;
	if (pos == &admission->queue)
		return NULL;
	return list_entry((struct list *)pos, struct admission_item, node);
}

struct admission_item *admission_expired(struct admission *admission,
					 struct mstime now,
					 enum admission_verdict *verdict)
{
	struct admission_item *item;
	struct list *pos;

	if (!admission->waiting)
		return NULL;
	item = oldest(admission);
	if (admission_overloaded(admission, now) &&
	    mstime_diff(now, item->enqueued_at) > ADMISSION_INTERVAL_MS) {
		*verdict = ADMISSION_OVERLOAD;
		admission_dequeue(admission, item);
		return item;
	}
	list_for_each (pos, &admission->queue) {
		item = list_entry(pos, struct admission_item, node);
		if (mstime_before(now, item->deadline))
			continue;
		*verdict = ADMISSION_DEADLINE;
		admission_dequeue(admission, item);
		return item;
	}
	return NULL;
}

uint32_t admission_waiting(const struct admission *admission)
{
	return admission->waiting;
}
