#ifndef CATKINHILL_FOLLOW_H
#define CATKINHILL_FOLLOW_H

#include "kv.h"
#include "loop.h"

/*
 * NAME
 *	follow - keeps a reader up to date with a prefix of the store
 *
 * NOTES
 *	Lists the prefix, then watches it, and lists it again when the watch
 *	loses its history. on_list gets all items and replaces what was known;
 *	on_change gets one change. Both may come again with a revision that
 *	was seen. A reader must not call follow_delete() inside a callback.
 */
struct kvwatcher;

struct kvwatcher_handlers {
	void (*on_list)(void *arg, const struct kv_item *items, size_t count);
	void (*on_change)(void *arg, const struct kv_item *item);
};

/* prefix is copied. */
struct kvwatcher *kvwatcher_new(struct loop *loop, struct kv *kv,
				const char *prefix,
				const struct kvwatcher_handlers *handlers,
				void *arg);
void kvwatcher_delete(struct kvwatcher *follow);

/* Milliseconds since the store stopped answering; 0 while it does. */
int64_t kvwatcher_stale_ms(const struct kvwatcher *follow);

#endif
