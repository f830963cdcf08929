#ifndef CATKINHILL_KVWATCHER_H
#define CATKINHILL_KVWATCHER_H

#include "kv.h"
#include "loop.h"

/*
 * NAME
 *	kvwatcher - lists a key prefix of the store and watches its changes
 *
 * NOTES
 *	Lists the prefix, then watches it, and lists it again when the store
 *	no longer has the history that the watch needs, or so much of it that
 *	a response can't carry it. on_list gets all items, which replace those
 *	of earlier calls; on_page, if it is set, gets them in pages instead.
 *	on_change gets one change. Either may repeat a revision that was
 *delivered before. kvwatcher_delete() must not be called inside a callback.
 */
struct kvwatcher;

struct kvwatcher_handlers {
	void (*on_list)(void *arg, const struct kv_item *items, size_t count);
	/* The first page of a list, also after one that ended early. */
	void (*on_list_start)(void *arg);
	void (*on_page)(void *arg, const struct kv_item *items, size_t count,
			int has_more);
	void (*on_change)(void *arg, const struct kv_item *item);
};

/* Copies prefix. */
struct kvwatcher *kvwatcher_new(struct loop *loop, struct kv *kv,
				const char *prefix,
				const struct kvwatcher_handlers *handlers,
				void *arg);
void kvwatcher_delete(struct kvwatcher *watcher);

/* Milliseconds since the store stopped answering; 0 while it does. */
int64_t kvwatcher_stale_ms(const struct kvwatcher *watcher);

#endif
