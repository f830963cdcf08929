#include <stdlib.h>

#include "mem.h"
#include "owner_internal.h"

/* Calls of owners that are gone; released when the store answers. */
static struct list orphans = { &orphans, &orphans };

struct owner_call *owner_call_new(struct owner *owner, struct slot *slot)
{
	struct owner_call *call = xcalloc(1, sizeof(*call));

	call->owner = owner;
	call->slot = slot;
	call->tenure = slot ? slot->generation : 0;
	call->started_at = owner_now();
	list_add_tail(&owner->store_calls, &call->node);
	return call;
}

int owner_call_end(void *arg, struct owner_call *copy)
{
	struct owner_call *call = arg;
	int valid = call->owner != NULL &&
		    (!call->slot || call->slot->generation == call->tenure);

	*copy = *call;
	list_del(&call->node);
	free(call);
	return valid;
}

void owner_calls_detach(struct owner *owner)
{
	while (!list_empty(&owner->store_calls)) {
		struct owner_call *call = list_entry(owner->store_calls.next,
						     struct owner_call, node);

		call->owner = NULL;
		list_del(&call->node);
		list_add_tail(&orphans, &call->node);
	}
}
