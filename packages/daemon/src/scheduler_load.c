#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "log.h"
#include "mem.h"
#include "platformjson.h"
#include "scheduler_internal.h"
#include "sysclock.h"

/*
 * Texts of states are kept until their jobs are listed, up to so many bytes;
 * those of jobs with runs at work in any case.
 */
#define STATE_TEXTS_MAX (4 * 1024 * 1024)

/* A state that the scheduler of an earlier term has stored. */
struct stored_state {
	int64_t revision;
	struct workflow_summary summary;
	char *text; /* NULL: to be read again */
	size_t len;
};

static void stored_state_free(void *data)
{
	struct stored_state *state = data;

	free(state->text);
	free(state);
}

static void clear_stored(struct scheduler *scheduler)
{
	if (scheduler->stored_states)
		g_hash_table_destroy(scheduler->stored_states);
	if (scheduler->cancelled)
		g_hash_table_destroy(scheduler->cancelled);
	scheduler->stored_states = NULL;
	scheduler->cancelled = NULL;
	scheduler->stored_bytes = 0;
}

static const struct stored_state *find_state(const struct scheduler *scheduler,
					     const char *id)
{
	return scheduler->stored_states
		       ? g_hash_table_lookup(scheduler->stored_states, id)
		       : NULL;
}

void scheduler_take_in(struct scheduler *scheduler, struct workflow *workflow,
		       int64_t revision)
{
	log_event(EV_WORKFLOW_TAKEN,
		  "job=%s queue=%s service=%s version=%lld priority=%u "
		  "steps=%zu tasks=%u state=%s revision=%lld",
		  workflow->spec.id, workflow->queue.name,
		  workflow->queue.service, (long long)workflow->queue.version,
		  workflow->queue.priority, workflow->spec.step_count,
		  workflow->spec.task_count,
		  workflow_state_name(workflow->state), (long long)revision);
	dispatch_set_wall_clock(scheduler->dispatch, sysclock_wall_ms());
	dispatch_add(scheduler->dispatch, workflow, sysclock_now());
}

/* Runs at work hold room at their workers, whatever the memory. */
static int must_wait(const struct scheduler *scheduler,
		     const struct stored_state *state)
{
	if (state && state->summary.has_runs)
		return 0;
	return (state && !state->text) ||
	       scheduler_backlog_count(scheduler) > 0 ||
	       !scheduler_has_room(scheduler);
}

static void add_to_backlog(struct scheduler *scheduler, const char *id,
			   const struct kv_item *item,
			   const struct stored_state *state)
{
	struct queue_config queue;
	struct backlog_entry entry = {
		.id = id,
		.queue = &queue,
		.bytes = item->len,
		.started = state && state->summary.started,
		.has_state = state != NULL,
	};

	if (jobstore_record_config(item->value, item->len, &queue)) {
		log_event(EV_WORKFLOW_INVALID, "job=%s reason=record", id);
		return;
	}
	dispatch_resolve_queue(scheduler->dispatch, &queue);
	scheduler_backlog_add(scheduler, &entry);
}

static void add_job(struct scheduler *scheduler, const char *id,
		    const struct kv_item *item)
{
	const struct stored_state *state = find_state(scheduler, id);
	struct workflow *workflow;
	const char *reason;

	if (!item->value || dispatch_knows(scheduler->dispatch, id) ||
	    scheduler_backlog_knows(scheduler, id))
		return;
	/* No task of it can run, so its record is not decoded. */
	if (state && state->summary.state == WORKFLOW_COMPLETE) {
		dispatch_add_ended(scheduler->dispatch, id, sysclock_now());
		return;
	}
	if (must_wait(scheduler, state)) {
		add_to_backlog(scheduler, id, item, state);
		return;
	}
	workflow = jobstore_record_decode(id, item->value, item->len,
					  item->created_ms, &reason);
	if (!workflow) {
		log_event(EV_WORKFLOW_INVALID, "job=%s reason=\"%s\"", id,
			  reason);
		return;
	}
	workflow->stored_revision = state ? state->revision : 0;
	if (state && workflow_decode(workflow, state->text, state->len)) {
		log_event(EV_WORKFLOW_INVALID, "job=%s reason=state", id);
		workflow_delete(workflow);
		return;
	}
	scheduler_take_in(scheduler, workflow, item->revision);
}

/* A job of which nothing is at work needs only its end to be stored. */
static void add_cancelled(struct scheduler *scheduler, const char *id,
			  const struct queue_config *queue)
{
	struct workflow_spec spec = { .step_count = 1, .occurrences = 1 };

	str_copy(spec.id, id, sizeof(spec.id));
	spec.steps = xcalloc(1, sizeof(*spec.steps));
	spec.steps[0].task_count = 1;
	spec.task_count = 1;
	dispatch_add(scheduler->dispatch,
		     workflow_new(&spec, queue, sysclock_wall_ms()),
		     sysclock_now());
}

static void apply_cancel(struct scheduler *scheduler, const char *id)
{
	struct queue_config queue = { .name = "" };
	int err;

	if (scheduler_backlog_remove(scheduler, id, queue.name))
		add_cancelled(scheduler, id, &queue);
	err = dispatch_cancel(scheduler->dispatch, id, sysclock_now());
	log_event(EV_WORKFLOW_CANCELLED, "job=%s result=%s", id,
		  error_name(err));
}

static void on_submission_list_start(void *arg)
{
	struct scheduler *scheduler = arg;

	if (scheduler->cancelled)
		g_hash_table_destroy(scheduler->cancelled);
	scheduler->cancelled =
		g_hash_table_new_full(g_str_hash, g_str_equal, free, NULL);
}

/* Cancellations are listed before the jobs that they refer to. */
static void add_submission(struct scheduler *scheduler,
			   const struct kv_item *item)
{
	const char *id;

	if ((id = jobstore_key_suffix(item->key, SUBMITTED_CANCEL_PREFIX)) &&
	    item->value)
		g_hash_table_add(scheduler->cancelled, xstrdup(id));
	id = jobstore_key_suffix(item->key, SUBMITTED_JOB_PREFIX);
	if (!id)
		return;
	add_job(scheduler, id, item);
	if (g_hash_table_contains(scheduler->cancelled, id))
		apply_cancel(scheduler, id);
}

static void on_submission_page(void *arg, const struct kv_item *items,
			       size_t count, int has_more)
{
	struct scheduler *scheduler = arg;
	size_t i;

	for (i = 0; i < count; i++)
		add_submission(scheduler, &items[i]);
	if (has_more)
		return;
	if (!scheduler->is_loaded)
		log_event(EV_SCHEDULER_LOADED, "epoch=%lld waiting=%zu",
			  (long long)scheduler->epoch,
			  scheduler_backlog_count(scheduler));
	scheduler->is_loaded = 1;
	clear_stored(scheduler);
	scheduler_wake(scheduler);
}

static void on_submission_change(void *arg, const struct kv_item *item)
{
	struct scheduler *scheduler = arg;
	const char *id;

	if ((id = jobstore_key_suffix(item->key, SUBMITTED_JOB_PREFIX)))
		add_job(scheduler, id, item);
	else if (item->value &&
		 (id = jobstore_key_suffix(item->key, SUBMITTED_CANCEL_PREFIX)))
		apply_cancel(scheduler, id);
	scheduler_wake(scheduler);
}

static const struct kvwatcher_handlers submission_handlers = {
	.on_list_start = on_submission_list_start,
	.on_page = on_submission_page,
	.on_change = on_submission_change,
};

static void add_state(struct scheduler *scheduler, const struct kv_item *item)
{
	const char *id = jobstore_key_suffix(item->key, STATE_PREFIX);
	struct stored_state *state;

	if (!id || !item->value)
		return;
	state = xcalloc(1, sizeof(*state));
	state->revision = item->revision;
	/* One that can't be read is reported with its job. */
	if (workflow_decode_summary(item->value, item->len, &state->summary))
		state->summary.has_runs = 1;
	if (state->summary.state != WORKFLOW_COMPLETE &&
	    (state->summary.has_runs ||
	     scheduler->stored_bytes + item->len <= STATE_TEXTS_MAX)) {
		state->text = xmalloc(item->len + 1);
		memcpy(state->text, item->value, item->len);
		state->text[item->len] = '\0';
		state->len = item->len;
		scheduler->stored_bytes += item->len;
	}
	g_hash_table_replace(scheduler->stored_states, xstrdup(id), state);
}

static void on_states_page(void *arg, const struct kv_result *result)
{
	struct scheduler *scheduler = *(struct scheduler **)arg;
	size_t i;

	if (result->err) {
		log_event(EV_STATE_UNSETTLED, "epoch=%lld load err=%s",
			  (long long)scheduler->epoch, error_name(result->err));
		loop_timer_start(scheduler->load_retry_timer, 200);
		return;
	}
	for (i = 0; i < result->count; i++)
		add_state(scheduler, &result->items[i]);
	if (result->has_more)
		return;
	scheduler->submitted_watcher = kvwatcher_new(
		scheduler->daemon->loop, scheduler->kv, SUBMITTED_PREFIX,
		&submission_handlers, scheduler);
}

static void on_queues(void *arg, const struct platform_config *config)
{
	struct scheduler *scheduler = arg;
	size_t i;

	for (i = 0; i < config->queue_count; i++) {
		const struct queue_config *queue = &config->queues[i].queue;

		dispatch_configure_queue(scheduler->dispatch, queue);
		scheduler_backlog_configure(scheduler, queue);
	}
	dispatch_apply_queues(scheduler->dispatch, sysclock_now());
	/* Jobs in the backlog need the settings of their queues, too. */
	if (!scheduler_backlog_count(scheduler))
		dispatch_forget_queues(scheduler->dispatch, config->version);
	scheduler_wake(scheduler);
}

static void on_evacuations(void *arg, const struct evacuations *evacuations)
{
	struct scheduler *scheduler = arg;
	struct mstime now = sysclock_now();
	const struct list *pos;
	uint32_t workers = 0, runs = 0;

	dispatch_set_evacuations(scheduler->dispatch, evacuations, now);
	list_for_each (pos, dispatch_workers(scheduler->dispatch)) {
		const struct worker *worker =
			list_entry(pos, struct worker, node);

		workers += worker->is_evacuated;
		runs += worker->is_evacuated ? worker->run_count : 0;
	}
	if (evacuations->count || scheduler->evacuations.value)
		log_event(EV_EVACUATIONS_APPLIED,
			  "domains=%zu last=%s workers=%u runs=%u",
			  evacuations->count,
			  evacuations->count
				  ? evacuations->domains[evacuations->count - 1]
				  : "none",
			  workers, runs);
	scheduler->evacuations.value = (int64_t)evacuations->count;
	scheduler_wake(scheduler);
}

void scheduler_load_states(struct scheduler *scheduler)
{
	clear_stored(scheduler);
	scheduler->stored_states = g_hash_table_new_full(
		g_str_hash, g_str_equal, free, stored_state_free);
	kv_list_pages(scheduler->kv, STATE_PREFIX, on_states_page,
		      &scheduler->self);
}

void scheduler_load_start(struct scheduler *scheduler)
{
	static const struct queues_handlers handlers = {
		.on_config = on_queues,
		.on_evacuations = on_evacuations,
	};

	scheduler_handover_read(scheduler);
	scheduler->queues = queues_new(scheduler->daemon->loop, scheduler->kv,
				       &handlers, scheduler);
}

void scheduler_load_stop(struct scheduler *scheduler)
{
	loop_timer_stop(scheduler->load_retry_timer);
	kvwatcher_delete(scheduler->submitted_watcher);
	queues_delete(scheduler->queues);
	scheduler->submitted_watcher = NULL;
	scheduler->queues = NULL;
	clear_stored(scheduler);
	scheduler->is_loaded = 0;
}
