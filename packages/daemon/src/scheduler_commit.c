#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "errors.h"
#include "log.h"
#include "mem.h"
#include "scheduler_internal.h"
#include "sysclock.h"

/* Changes within this time share a commit: at most 50 commits a second. */
#define COMMIT_INTERVAL_MS 20
#define COMMIT_RETRY_MS 100
#define PENDING_INTERVAL_MS 1000
/* Lowest bound of a value to be tried: that of a state without tasks fits. */
#define VALUE_MAX_LEAST 1024

static void send_commit(struct scheduler *scheduler);

static void clear_commit(struct scheduler *scheduler)
{
	struct commit *commit = &scheduler->commit;
	size_t i;

	for (i = 0; i < commit->count; i++) {
		commit->entries[i].workflow->saving = 0;
		free(commit->entries[i].value);
	}
	commit->count = 0;
	commit->len = 0;
	commit->in_progress = 0;
}

static void finish_commit(struct scheduler *scheduler, const int64_t *revisions)
{
	struct commit *commit = &scheduler->commit;
	size_t i;

	scheduler->commits.value++;
	histogram_observe(&scheduler->commit_ms,
			  mstime_diff(sysclock_now(), commit->started_at));
	for (i = 0; i < commit->count; i++) {
		struct commit_entry *entry = &commit->entries[i];

		entry->workflow->stored_revision = revisions[i];
		dispatch_mark_saved(scheduler->dispatch, entry->workflow,
				    entry->version);
	}
	clear_commit(scheduler);
	scheduler_wake(scheduler);
}

static const struct kv_item *find_item(const struct kv_result *result,
				       const char *key)
{
	size_t i;

	for (i = 0; i < result->count; i++)
		if (!strcmp(result->items[i].key, key))
			return &result->items[i];
	return NULL;
}

/*
 * A comparison also fails when an earlier attempt of the same commit, whose
 * response was lost, was carried out; then every key has the value of this
 * commit.
 */
static int is_own_commit(const struct scheduler *scheduler,
			 const struct kv_result *result, int64_t *revisions)
{
	const struct commit *commit = &scheduler->commit;
	size_t i;

	for (i = 0; i < commit->count; i++) {
		const struct commit_entry *entry = &commit->entries[i];
		const struct kv_item *item = find_item(result, entry->key);

		if (!item || !item->value || item->len != entry->len ||
		    memcmp(item->value, entry->value, entry->len) != 0)
			return 0;
		revisions[i] = item->revision;
	}
	return 1;
}

static int64_t revision_of(const struct kv_result *result, const char *key)
{
	const struct kv_item *item = find_item(result, key);

	return item ? item->revision : 0;
}

/*
 * Takes the revisions that the store has. The key of the election is this
 * scheduler's, so no other one has written them, and what is in memory holds.
 */
static void rebase_commit(struct commit *commit, const struct kv_result *result)
{
	size_t i;

	for (i = 0; i < commit->count; i++)
		commit->entries[i].workflow->stored_revision =
			revision_of(result, commit->entries[i].key);
}

static void on_conflict(struct scheduler *scheduler,
			const struct kv_result *result)
{
	int64_t revisions[COMMIT_WORKFLOWS_MAX];

	if (is_own_commit(scheduler, result, revisions)) {
		finish_commit(scheduler, revisions);
		return;
	}
	scheduler->commits_failed.value++;
	log_event(EV_STATE_CONFLICT, "epoch=%lld workflows=%zu",
		  (long long)scheduler->epoch, scheduler->commit.count);
	if (revision_of(result, ELECTION_KEY) == scheduler->epoch)
		rebase_commit(&scheduler->commit, result);
	else
		election_verify(scheduler->election);
	loop_timer_start(scheduler->commit.retry_timer, COMMIT_RETRY_MS);
}

/* Nothing was written, and never will be: a value may be too large. */
static void retry_smaller(struct scheduler *scheduler)
{
	scheduler->value_max /= 2;
	if (scheduler->value_max < VALUE_MAX_LEAST)
		scheduler->value_max = VALUE_MAX_LEAST;
	log_event(EV_STATE_REFUSED,
		  "epoch=%lld workflows=%zu bytes=%zu max=%zu",
		  (long long)scheduler->epoch, scheduler->commit.count,
		  scheduler->commit.len, scheduler->value_max);
	clear_commit(scheduler);
	scheduler_wake(scheduler);
}

static void on_committed(void *arg, const struct kv_result *result)
{
	int64_t revisions[COMMIT_WORKFLOWS_MAX];
	struct scheduler *scheduler = arg;
	size_t i;

	if (!result->err) {
		for (i = 0; i < scheduler->commit.count; i++)
			revisions[i] = result->revision;
		finish_commit(scheduler, revisions);
		return;
	}
	if (result->err == ERR_CONFLICT) {
		on_conflict(scheduler, result);
		return;
	}
	scheduler->commits_failed.value++;
	if (result->err == ERR_INVALID &&
	    scheduler->value_max > VALUE_MAX_LEAST) {
		retry_smaller(scheduler);
		return;
	}
	if (scheduler->commit.attempts == 1)
		log_event(EV_STATE_UNSETTLED, "epoch=%lld workflows=%zu err=%s",
			  (long long)scheduler->epoch, scheduler->commit.count,
			  error_name(result->err));
	loop_timer_start(scheduler->commit.retry_timer, COMMIT_RETRY_MS);
}

static void on_retry(void *arg)
{
	send_commit(arg);
}

static void send_commit(struct scheduler *scheduler)
{
	struct commit *commit = &scheduler->commit;
	struct kv_txn txn = { .compare_count = 1 };
	size_t i;

	txn.compares[0].key = ELECTION_KEY;
	txn.compares[0].revision = scheduler->epoch;
	for (i = 0; i < commit->count; i++) {
		const struct commit_entry *entry = &commit->entries[i];
		struct kv_compare *compare = &txn.compares[txn.compare_count++];
		struct kv_put *put = &txn.puts[txn.put_count++];

		compare->key = entry->key;
		compare->revision = entry->workflow->stored_revision;
		put->key = entry->key;
		put->value = entry->value;
		put->len = entry->len;
	}
	commit->attempts++;
	kv_txn(scheduler->kv, &txn, on_committed, scheduler);
}

/* A workflow whose state cannot be stored would run again after a takeover. */
static char *encode_state(struct scheduler *scheduler,
			  struct workflow *workflow, struct mstime now)
{
	char *value = workflow_encode_within(workflow, scheduler->value_max);

	if (value)
		return value;
	log_event(EV_STATE_TOO_LARGE, "job=%s tasks=%u max=%zu",
		  workflow->spec.id, workflow->spec.task_count,
		  scheduler->value_max);
	dispatch_fail(scheduler->dispatch, workflow, now);
	return workflow_encode_within(workflow, scheduler->value_max);
}

/* RETURN VALUE: 0 if there is no space left for it in this commit. */
static int add_entry(struct scheduler *scheduler, struct workflow *workflow,
		     struct mstime now)
{
	struct commit *commit = &scheduler->commit;
	struct commit_entry *entry = &commit->entries[commit->count];
	char *value = encode_state(scheduler, workflow, now);
	size_t len = strlen(value);

	if (commit->count && commit->len + len > scheduler->value_max) {
		free(value);
		return 0;
	}
	entry->workflow = workflow;
	entry->version = workflow->version;
	entry->value = value;
	entry->len = len;
	jobstore_key(entry->key, STATE_PREFIX, workflow->spec.id);
	workflow->saving = 1;
	commit->count++;
	commit->len += len;
	return 1;
}

void scheduler_commit(struct scheduler *scheduler, struct mstime now)
{
	struct commit *commit = &scheduler->commit;
	struct workflow *workflow;
	int64_t since_ms = mstime_diff(now, scheduler->last_commit_at);

	if (commit->in_progress ||
	    !dispatch_next_unsaved(scheduler->dispatch, now))
		return;
	if (since_ms < COMMIT_INTERVAL_MS) {
		loop_timer_start(scheduler->wake_timer,
				 COMMIT_INTERVAL_MS - since_ms);
		scheduler->wake_is_scheduled = 1;
		return;
	}
	while (commit->count < COMMIT_WORKFLOWS_MAX &&
	       (workflow = dispatch_next_unsaved(scheduler->dispatch, now)) &&
	       add_entry(scheduler, workflow, now))
		;
	commit->in_progress = 1;
	commit->attempts = 0;
	commit->started_at = now;
	scheduler->last_commit_at = now;
	send_commit(scheduler);
}

void scheduler_commit_init(struct scheduler *scheduler)
{
	scheduler->commit.retry_timer =
		loop_timer_new(scheduler->daemon->loop, on_retry, scheduler);
}

void scheduler_commit_stop(struct scheduler *scheduler)
{
	loop_timer_stop(scheduler->commit.retry_timer);
	clear_commit(scheduler);
	free(scheduler->pending_json);
	scheduler->pending_json = NULL;
	scheduler->pending_in_flight = 0;
}

static char *encode_pending(struct scheduler *scheduler)
{
	json_t *root = json_object();
	struct list *pos;
	char *text;

	scheduler->pending_count = 0;
	list_for_each (pos, dispatch_workflows(scheduler->dispatch)) {
		struct workflow *workflow =
			list_entry(pos, struct workflow, node);
		const char *queue = workflow->queue.name;
		json_int_t count;

		if (workflow->started)
			continue;
		count = json_integer_value(json_object_get(root, queue));
		json_object_set_new(root, queue, json_integer(count + 1));
		scheduler->pending_count++;
	}
	scheduler_backlog_pending(scheduler, root);
	scheduler->waiting.value = scheduler->pending_count;
	scheduler->backlog_count.value =
		(int64_t)scheduler_backlog_count(scheduler);
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(root);
	return text;
}

static void on_pending_written(void *arg, const struct kv_result *result)
{
	struct scheduler *scheduler = *(struct scheduler **)arg;

	scheduler->pending_in_flight = 0;
	log_event(EV_PENDING_PUBLISHED,
		  "epoch=%lld workflows=%u result=%s revision=%lld",
		  (long long)scheduler->epoch, scheduler->pending_count,
		  error_name(result->err), (long long)result->revision);
	if (!result->err)
		return;
	/* Without the last text, the next publication writes it again. */
	free(scheduler->pending_json);
	scheduler->pending_json = NULL;
}

void scheduler_publish_pending(struct scheduler *scheduler, struct mstime now)
{
	struct kv_txn txn = { .compare_count = 1, .put_count = 1 };
	char *text;

	if (scheduler->pending_in_flight ||
	    mstime_diff(now, scheduler->pending_sent_at) < PENDING_INTERVAL_MS)
		return;
	text = encode_pending(scheduler);
	if (scheduler->pending_json && !strcmp(text, scheduler->pending_json)) {
		free(text);
		return;
	}
	free(scheduler->pending_json);
	scheduler->pending_json = text;
	scheduler->pending_sent_at = now;
	scheduler->pending_in_flight = 1;
	txn.compares[0].key = ELECTION_KEY;
	txn.compares[0].revision = scheduler->epoch;
	txn.puts[0].key = PENDING_KEY;
	txn.puts[0].value = text;
	txn.puts[0].len = strlen(text);
	kv_txn(scheduler->kv, &txn, on_pending_written, &scheduler->self);
}
