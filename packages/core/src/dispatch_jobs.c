#include <stdlib.h>
#include <string.h>

#include "dispatch.h"
#include "dispatch_internal.h"
#include "hash.h"
#include "mem.h"

/* Orders are carried out up to 12 s late. */
#define FINAL_DETAILS_MS 15000
/* So long after it was taken in, a workflow without a place may be set aside.
 */
#define IDLE_AFTER_MS 2000

struct workflow_entry **dispatch_entry_link(struct dispatch *dispatch,
					    const char *job)
{
	struct workflow_entry **link =
		&dispatch->buckets[hash_str(job) % JOB_BUCKETS];

	while (*link && strcmp((*link)->id, job))
		link = &(*link)->next;
	return link;
}

struct workflow_entry *dispatch_entry_new(const char *job)
{
	struct workflow_entry *entry = xcalloc(1, sizeof(*entry));

	list_init(&entry->node);
	str_copy(entry->id, job, sizeof(entry->id));
	return entry;
}

void dispatch_remove_entry(struct dispatch *dispatch, const char *job)
{
	struct workflow_entry **link = dispatch_entry_link(dispatch, job);
	struct workflow_entry *found = *link;

	if (!found)
		return;
	*link = found->next;
	list_del(&found->node);
	dispatch_release_workflow(dispatch, found->workflow, "set-aside");
	workflow_delete(found->workflow);
	free(found);
}

struct workflow *dispatch_find_workflow(struct dispatch *dispatch,
					const char *job)
{
	struct workflow_entry *entry = *dispatch_entry_link(dispatch, job);

	return entry ? entry->workflow : NULL;
}

void dispatch_add_ended(struct dispatch *dispatch, const char *job,
			struct mstime now)
{
	struct workflow_entry **link = dispatch_entry_link(dispatch, job);

	if (*link)
		return;
	*link = dispatch_entry_new(job);
	(*link)->ended_at = now;
	list_add_tail(&dispatch->ended, &(*link)->node);
}

int dispatch_knows(struct dispatch *dispatch, const char *job)
{
	return *dispatch_entry_link(dispatch, job) != NULL;
}

static int is_settled(const struct workflow *workflow)
{
	return !workflow->saving && !workflow->run_count &&
	       workflow->saved_version == workflow->version;
}

/* A late start may still come for some time, and has to find its task. */
static int needs_details(const struct dispatch *dispatch,
			 const struct workflow *workflow, struct mstime now)
{
	int64_t age_ms = mstime_diff(now, workflow->ended_at);

	return age_ms < FINAL_DETAILS_MS &&
	       age_ms < dispatch->limits.final_retention_ms;
}

void dispatch_forget_finals(struct dispatch *dispatch, struct mstime now)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &dispatch->finals) {
		struct workflow *workflow =
			list_entry(pos, struct workflow, node);
		struct workflow_entry *entry;

		if (needs_details(dispatch, workflow, now))
			return;
		if (!is_settled(workflow))
			continue;
		entry = *dispatch_entry_link(dispatch, workflow->spec.id);
		entry->workflow = NULL;
		entry->ended_at = workflow->ended_at;
		list_add_tail(&dispatch->ended, &entry->node);
		workflow_delete(workflow);
	}
}

const char *dispatch_next_removable(struct dispatch *dispatch,
				    const char *after, struct mstime now)
{
	struct workflow_entry *entry;
	struct list *pos = &dispatch->ended;

	dispatch_forget_finals(dispatch, now);
	if (after)
		pos = &(*dispatch_entry_link(dispatch, after))->node;
	if (pos->next == &dispatch->ended)
		return NULL;
	entry = list_entry(pos->next, struct workflow_entry, node);
	return mstime_diff(now, entry->ended_at) <
			       dispatch->limits.final_retention_ms
		       ? NULL
		       : entry->id;
}

void dispatch_remove(struct dispatch *dispatch, const char *job)
{
	const struct workflow_entry *entry =
		*dispatch_entry_link(dispatch, job);

	if (entry && !entry->workflow)
		dispatch_remove_entry(dispatch, job);
}

/* Nothing is lost with it: its records in the store are all there is. */
static int is_idle(const struct workflow *workflow, struct mstime now)
{
	return is_settled(workflow) && !workflow->begun_count &&
	       mstime_diff(now, workflow->known_at) >= IDLE_AFTER_MS &&
	       mstime_before(workflow->known_at, workflow->looked_at);
}

struct workflow *dispatch_find_idle(struct dispatch *dispatch,
				    struct mstime now)
{
	struct list *pos;

	for (pos = dispatch->workflows.prev; pos != &dispatch->workflows;
	     pos = pos->prev) {
		struct workflow *workflow =
			list_entry(pos, struct workflow, node);

		if (is_idle(workflow, now))
			return workflow;
	}
	return NULL;
}

void dispatch_set_aside(struct dispatch *dispatch, struct workflow *workflow)
{
	dispatch_remove_entry(dispatch, workflow->spec.id);
}
