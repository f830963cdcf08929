#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "log.h"
#include "mem.h"
#include "owner_internal.h"

#define CANCEL_SUFFIX ".cancel"

void owner_inbox_clear(struct slot *slot)
{
	size_t i;

	for (i = 0; i < slot->inbox_count; i++)
		free(slot->inbox[i].json);
	free(slot->inbox);
	slot->inbox = NULL;
	slot->inbox_count = 0;
	slot->inbox_next_item = 0;
	slot->inbox_next_delete = 0;
	slot->deletes_in_flight = 0;
	slot->list_in_flight = 0;
}

int owner_inbox_caught_up(const struct slot *slot)
{
	return slot->partition->inbox_listings > 0 &&
	       slot->inbox_next_item == slot->inbox_count;
}

/* RETURN VALUE: the length of the job's id, 0 for a key of another form. */
static size_t split_name(const char *name, int *cancel)
{
	size_t len = strlen(name), suffix = strlen(CANCEL_SUFFIX);

	*cancel = len > suffix && !strcmp(name + len - suffix, CANCEL_SUFFIX);
	if (*cancel)
		len -= suffix;
	return len < ID_SIZE ? len : 0;
}

static void keep_item(struct slot *slot, const struct store_item *item,
		      size_t prefix_len)
{
	struct owner_inbox_item *kept = &slot->inbox[slot->inbox_count];
	const char *name = item->key + prefix_len;
	size_t len = split_name(name, &kept->is_cancel);

	if (!len)
		return;
	memcpy(kept->job, name, len);
	kept->job[len] = '\0';
	kept->revision = item->revision;
	kept->json_len = item->len;
	kept->json = xmemdup(item->value, item->len);
	slot->inbox_count++;
}

static const char *inbox_prefix(const struct slot *slot, char *key, size_t size)
{
	snprintf(key, size, "inbox/%u/", slot->number);
	return key;
}

static void on_listed(void *arg, int err, const struct store_item *items,
		      size_t count)
{
	struct owner_call call;
	struct slot *slot;
	char prefix[32];
	size_t i;

	if (!owner_call_end(arg, &call))
		return;
	slot = call.slot;
	owner_inbox_clear(slot);
	if (err)
		return;
	inbox_prefix(slot, prefix, sizeof(prefix));
	slot->inbox = xcalloc(count + 1, sizeof(*slot->inbox));
	for (i = 0; i < count; i++)
		keep_item(slot, &items[i], strlen(prefix));
	slot->list_complete = count < OWNER_LIST_MAX;
	if (slot->list_complete)
		slot->partition->inbox_listings++;
	if (count)
		loop_timer_start(slot->owner->inbox_timer, 0);
	else if (slot->partition->inbox_listings == 1)
		owner_tick_soon(slot->owner);
}

static void list_inbox(struct slot *slot)
{
	char prefix[32];

	slot->list_in_flight = 1;
	store_list(slot->owner->daemon->store,
		   inbox_prefix(slot, prefix, sizeof(prefix)), OWNER_LIST_MAX,
		   on_listed, owner_call_new(slot->owner, slot));
}

static int take_job(struct slot *slot, struct owner_inbox_item *item)
{
	struct job_spec spec;
	char message[160];
	int err = job_spec_parse(&spec, item->json, item->json_len, message,
				 sizeof(message));

	if (!err && strcmp(spec.job, item->job)) {
		snprintf(message, sizeof(message), "the key names another job");
		err = ERR_INVALID;
	}
	if (err) {
		log_event(EV_INBOX_INVALID, "partition=%u job=%s reason=\"%s\"",
			  slot->number, item->job, message);
		return 1;
	}
	err = partition_submit(slot->partition, &spec, owner_now());
	if (err == ERR_FULL)
		return 0;
	if (!err && spec.urgent)
		slot->commit_immediately = 1;
	log_event(EV_JOB_TAKEN, "partition=%u job=%s team=%s urgent=%d new=%d",
		  slot->number, spec.job, spec.team, spec.urgent, !err);
	return 1;
}

static int is_waiting(const struct slot *slot, const char *id)
{
	size_t i;

	for (i = 0; i < slot->inbox_next_item; i++)
		if (!slot->inbox[i].is_cancel && !slot->inbox[i].is_applied &&
		    !strcmp(slot->inbox[i].job, id))
			return 1;
	return 0;
}

/* A cancellation of a job that does not fit yet waits together with it. */
static int take_cancel(struct slot *slot, const struct owner_inbox_item *item)
{
	struct partition *partition = slot->partition;
	struct job *job = partition_find(partition, item->job);
	int err;

	if (!job && is_waiting(slot, item->job))
		return 0;
	err = partition_cancel(partition, item->job, owner_now());
	log_event(EV_JOB_TAKEN, "partition=%u job=%s cancel=1 known=%d",
		  slot->number, item->job, !err);
	if (job && job->state == JOB_CANCELLED)
		owner_log_job_end(slot, job);
	return 1;
}

static void take_item(struct slot *slot, struct owner_inbox_item *item)
{
	struct job *job;

	item->is_applied = item->is_cancel ? take_cancel(slot, item)
					   : take_job(slot, item);
	item->applied_version = slot->partition->version;
	job = partition_find(slot->partition, item->job);
	if (job)
		job->inbox_listing = slot->partition->inbox_listings;
	free(item->json);
	item->json = NULL;
}

int owner_inbox_process_batch(struct slot *slot)
{
	size_t end = slot->inbox_next_item + OWNER_INBOX_BATCH_MAX;

	if (slot->inbox_next_item == slot->inbox_count)
		return 0;
	if (end > slot->inbox_count)
		end = slot->inbox_count;
	while (slot->inbox_next_item < end) {
		struct owner_inbox_item *item =
			&slot->inbox[slot->inbox_next_item];

		take_item(slot, item);
		slot->inbox_next_item++;
	}
	if (slot->inbox_next_item < slot->inbox_count)
		return 1;
	owner_tick_soon(slot->owner);
	return 0;
}

static void delete_items(struct slot *slot);

static void on_deleted(void *arg, int err, int64_t revision)
{
	struct owner_call call;

	if (!owner_call_end(arg, &call))
		return;
	call.slot->deletes_in_flight--;
	/* What could not be deleted is found again by the next listing. */
	if (!err || err == ERR_CONFLICT)
		delete_items(call.slot);
}

static void delete_items(struct slot *slot)
{
	while (slot->inbox_next_delete < slot->inbox_next_item &&
	       slot->deletes_in_flight < OWNER_DELETES_MAX) {
		const struct owner_inbox_item *item =
			&slot->inbox[slot->inbox_next_delete];
		char key[32 + ID_SIZE + sizeof(CANCEL_SUFFIX)];

		if (item->is_applied &&
		    item->applied_version > slot->partition->committed_version)
			return;
		slot->inbox_next_delete++;
		if (!item->is_applied)
			continue;
		snprintf(key, sizeof(key), "inbox/%u/%s%s", slot->number,
			 item->job, item->is_cancel ? CANCEL_SUFFIX : "");
		slot->deletes_in_flight++;
		store_delete_if(slot->owner->daemon->store, key, item->revision,
				on_deleted, owner_call_new(slot->owner, slot));
	}
}

void owner_inbox_tick(struct slot *slot)
{
	delete_items(slot);
	if (slot->list_in_flight || slot->deletes_in_flight ||
	    slot->inbox_next_delete < slot->inbox_count)
		return;
	list_inbox(slot);
}
