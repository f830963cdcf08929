#include <string.h>

#include "dispatch.h"
#include "dispatch_internal.h"
#include "queueconfig.h"

void dispatch_update_queue(struct dispatch *dispatch, struct workflow *workflow)
{
	struct queue_config former = workflow->queue;

	queue_table_update(&dispatch->queues, &workflow->queue);
	workflow->share =
		queue_shares_get(&dispatch->queue_shares, &workflow->queue);
	if (queue_config_equal(&former, &workflow->queue))
		return;
	if (strcmp(former.service, workflow->queue.service) != 0)
		dispatch_release_workflow(dispatch, workflow,
					  "service-changed");
	/* Stored, as the queue may be withdrawn before the next takeover. */
	workflow->queue_changed = 1;
	if (!workflow_is_final(workflow))
		dispatch_mark_changed(dispatch, workflow);
	dispatch_emit(dispatch, DISPATCH_QUEUE_CHANGED, workflow, NULL, NULL, 0,
		      NULL);
}

void dispatch_configure_queue(struct dispatch *dispatch,
			      const struct queue_config *queue)
{
	queue_table_set(&dispatch->queues, queue);
}

void dispatch_resolve_queue(const struct dispatch *dispatch,
			    struct queue_config *queue)
{
	queue_table_update(&dispatch->queues, queue);
}

void dispatch_apply_queues(struct dispatch *dispatch, struct mstime now)
{
	struct list *pos;

	dispatch->now = now;
	list_for_each (pos, &dispatch->workflows)
		dispatch_update_queue(dispatch,
				      list_entry(pos, struct workflow, node));
}

static int has_workflow(const void *arg, const char *name)
{
	const struct dispatch *dispatch = arg;
	const struct list *pos;

	list_for_each (pos, &dispatch->workflows)
		if (!strcmp(list_entry(pos, struct workflow, node)->queue.name,
			    name))
			return 1;
	return 0;
}

void dispatch_forget_queues(struct dispatch *dispatch, int64_t version)
{
	queue_table_forget(&dispatch->queues, version, has_workflow, dispatch);
}
