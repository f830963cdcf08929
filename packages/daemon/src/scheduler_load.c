#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "log.h"
#include "mem.h"
#include "platformjson.h"
#include "scheduler_internal.h"
#include "sysclock.h"

/* Restores the state that the scheduler of an earlier term has stored. */
static int restore_state(struct scheduler *scheduler, struct workflow *workflow)
{
	const json_t *record =
		json_object_get(scheduler->stored_states, workflow->spec.id);
	const char *value;

	if (!record)
		return 0;
	value = json_string_value(json_array_get(record, 0));
	workflow->stored_revision =
		json_integer_value(json_array_get(record, 1));
	return workflow_decode(workflow, value, strlen(value));
}

/* RETURN VALUE: revision of the state if the workflow is complete, else 0. */
static int64_t complete_revision(const struct scheduler *scheduler,
				 const char *id)
{
	const json_t *record = json_object_get(scheduler->stored_states, id);
	const char *value = json_string_value(json_array_get(record, 0));
	enum workflow_state state;

	if (!value || workflow_decode_state(value, strlen(value), &state) ||
	    state != WORKFLOW_COMPLETE)
		return 0;
	return json_integer_value(json_array_get(record, 1));
}

/* No task of a complete workflow can run, so its record is not decoded. */
static struct workflow *new_complete_workflow(const char *id, int64_t revision)
{
	struct workflow_spec spec = { .step_count = 1, .occurrences = 1 };
	struct queue_config queue = { .name = "" };
	struct workflow *workflow;

	str_copy(spec.id, id, sizeof(spec.id));
	spec.steps = xcalloc(1, sizeof(*spec.steps));
	spec.steps[0].task_count = 1;
	spec.task_count = 1;
	workflow = workflow_new(&spec, &queue, 0);
	workflow->state = WORKFLOW_COMPLETE;
	workflow->stored_revision = revision;
	return workflow;
}

static void add_job(struct scheduler *scheduler, const char *id,
		    const struct kv_item *item)
{
	struct mstime now = sysclock_now();
	struct workflow *workflow;
	int64_t revision = complete_revision(scheduler, id);
	const char *reason;

	if (!item->value || dispatch_find_workflow(scheduler->dispatch, id))
		return;
	if (revision) {
		dispatch_add(scheduler->dispatch,
			     new_complete_workflow(id, revision), now);
		return;
	}
	workflow = jobstore_record_decode(id, item->value, item->len,
					  item->created_ms, &reason);
	if (!workflow) {
		log_event(EV_WORKFLOW_INVALID, "job=%s reason=\"%s\"", id,
			  reason);
		return;
	}
	if (restore_state(scheduler, workflow)) {
		log_event(EV_WORKFLOW_INVALID, "job=%s reason=state", id);
		workflow_delete(workflow);
		return;
	}
	log_event(EV_WORKFLOW_TAKEN,
		  "job=%s queue=%s priority=%u steps=%zu tasks=%u state=%s "
		  "revision=%lld",
		  id, workflow->queue.name, workflow->queue.priority,
		  workflow->spec.step_count, workflow->spec.task_count,
		  workflow_state_name(workflow->state),
		  (long long)item->revision);
	dispatch_set_wall_clock(scheduler->dispatch, sysclock_wall_ms());
	dispatch_add(scheduler->dispatch, workflow, now);
}

static void apply_cancel(struct scheduler *scheduler, const char *id,
			 const struct kv_item *item)
{
	int err;

	if (!item->value)
		return;
	err = dispatch_cancel(scheduler->dispatch, id, sysclock_now());
	log_event(EV_WORKFLOW_CANCELLED, "job=%s result=%s", id,
		  error_name(err));
}

/* Jobs first: a cancellation is listed before the job that it refers to. */
static void on_submission_list(void *arg, const struct kv_item *items,
			       size_t count)
{
	struct scheduler *scheduler = arg;
	const char *id;
	size_t i;

	for (i = 0; i < count; i++)
		if ((id = jobstore_key_suffix(items[i].key,
					      SUBMITTED_JOB_PREFIX)))
			add_job(scheduler, id, &items[i]);
	for (i = 0; i < count; i++)
		if ((id = jobstore_key_suffix(items[i].key,
					      SUBMITTED_CANCEL_PREFIX)))
			apply_cancel(scheduler, id, &items[i]);
	if (!scheduler->is_loaded)
		log_event(EV_SCHEDULER_LOADED, "epoch=%lld records=%zu",
			  (long long)scheduler->epoch, count);
	scheduler->is_loaded = 1;
	json_decref(scheduler->stored_states);
	scheduler->stored_states = NULL;
	scheduler_wake(scheduler);
}

static void on_submission_change(void *arg, const struct kv_item *item)
{
	struct scheduler *scheduler = arg;
	const char *id;

	if ((id = jobstore_key_suffix(item->key, SUBMITTED_JOB_PREFIX)))
		add_job(scheduler, id, item);
	else if ((id = jobstore_key_suffix(item->key, SUBMITTED_CANCEL_PREFIX)))
		apply_cancel(scheduler, id, item);
	scheduler_wake(scheduler);
}

static const struct kvwatcher_handlers submission_handlers = {
	.on_list = on_submission_list,
	.on_change = on_submission_change,
};

static void on_states_read(void *arg, const struct kv_result *result)
{
	struct scheduler *scheduler = *(struct scheduler **)arg;
	size_t i;

	if (result->err) {
		log_event(EV_STATE_UNSETTLED, "epoch=%lld load err=%s",
			  (long long)scheduler->epoch, error_name(result->err));
		loop_timer_start(scheduler->load_retry_timer, 200);
		return;
	}
	scheduler->stored_states = json_object();
	for (i = 0; i < result->count; i++) {
		const struct kv_item *item = &result->items[i];
		const char *id = jobstore_key_suffix(item->key, STATE_PREFIX);

		if (id && item->value)
			json_object_set_new(
				scheduler->stored_states, id,
				json_pack("[o,I]",
					  /* Another writer may not care. */
					  json_stringn_nocheck(item->value,
							       item->len),
					  (json_int_t)item->revision));
	}
	scheduler->submitted_watcher = kvwatcher_new(
		scheduler->daemon->loop, scheduler->kv, SUBMITTED_PREFIX,
		&submission_handlers, scheduler);
}

static void on_queues(void *arg, const struct platform_config *config)
{
	struct scheduler *scheduler = arg;
	struct list *pos;
	size_t i;

	list_for_each (pos, dispatch_workflows(scheduler->dispatch)) {
		struct workflow *workflow =
			list_entry(pos, struct workflow, node);

		for (i = 0; i < config->queue_count; i++)
			if (!strcmp(config->queues[i].queue.name,
				    workflow->queue.name))
				workflow->queue = config->queues[i].queue;
	}
}

void scheduler_load_states(struct scheduler *scheduler)
{
	kv_list(scheduler->kv, STATE_PREFIX, on_states_read, &scheduler->self);
}

void scheduler_load_start(struct scheduler *scheduler)
{
	scheduler_handover_read(scheduler);
	scheduler->queues = queues_new(scheduler->daemon->loop, scheduler->kv,
				       on_queues, scheduler);
}

void scheduler_load_stop(struct scheduler *scheduler)
{
	loop_timer_stop(scheduler->load_retry_timer);
	kvwatcher_delete(scheduler->submitted_watcher);
	queues_delete(scheduler->queues);
	scheduler->submitted_watcher = NULL;
	scheduler->queues = NULL;
	json_decref(scheduler->stored_states);
	scheduler->stored_states = NULL;
	scheduler->is_loaded = 0;
}
