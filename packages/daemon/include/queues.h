#ifndef CATKINHILL_QUEUES_H
#define CATKINHILL_QUEUES_H

#include "evacuation.h"
#include "kv.h"
#include "loop.h"
#include "platformjson.h"

/*
 * NAME
 *	queues - the queues and evacuations that operators have in force
 *
 * NOTES
 *	Watches what operators write to the store. The configuration of queues
 *	never goes back to a lower version; an evacuation is in force as long
 *	as its key is there.
 */
struct queues;

/* Called after each change; either may be NULL. */
struct queues_handlers {
	void (*on_config)(void *arg, const struct platform_config *config);
	/* Also once the keys have been listed, with or without evacuations. */
	void (*on_evacuations)(void *arg,
			       const struct evacuations *evacuations);
};

/* handlers may be NULL. */
struct queues *queues_new(struct loop *loop, struct kv *kv,
			  const struct queues_handlers *handlers, void *arg);
void queues_delete(struct queues *queues);

/* NULL until the first configuration has been read. */
const struct platform_config *queues_config(const struct queues *queues);

/* Whether the keys have been listed, so that evacuations are known. */
int queues_is_listed(const struct queues *queues);

/* Milliseconds since the store stopped answering; 0 while it does. */
int64_t queues_stale_ms(const struct queues *queues);

#endif
