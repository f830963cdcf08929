#ifndef CATKINHILL_QUEUES_H
#define CATKINHILL_QUEUES_H

#include "kv.h"
#include "loop.h"
#include "platformjson.h"

/*
 * NAME
 *	queues - the configuration of queues that is in force
 *
 * NOTES
 *	Watches the operator's configuration in the store and never goes back
 *	to a lower version. fn, which may be NULL, is called after each
 *	change.
 */
struct queues;

typedef void (*queues_changed_fn)(void *arg,
				  const struct platform_config *config);

struct queues *queues_new(struct loop *loop, struct kv *kv,
			  queues_changed_fn fn, void *arg);
void queues_delete(struct queues *queues);

/* NULL until the first configuration has been read. */
const struct platform_config *queues_config(const struct queues *queues);

/* Milliseconds since the store stopped answering; 0 while it does. */
int64_t queues_stale_ms(const struct queues *queues);

#endif
