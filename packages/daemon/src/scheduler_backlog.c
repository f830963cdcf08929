#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "errors.h"
#include "log.h"
#include "mem.h"
#include "scheduler_internal.h"
#include "sysclock.h"

/* Workflows are taken in up to so many bytes; the rest is for their tasks. */
#define TAKEN_MEMORY_MAX (24 * 1024 * 1024)
#define READS_MAX 4
/* Pause after a reading that failed. */
#define READ_RETRY_MS 200
/* One job that was set aside gets another turn so often. */
#define ASIDE_INTERVAL_MS 200
/* Submissions are refused from so many jobs on, until fewer wait. */
#define BACKLOG_MAX 100000
#define BACKLOG_REOPEN 80000

/* A queue with jobs in the backlog. */
struct backlog_queue {
	struct list node; /* by priority */
	struct list jobs; /* in the order in which they are taken in */
	char name[ID_SIZE];
	uint32_t priority;
	uint32_t pending; /* jobs of which no worker has begun a task */
};

struct backlog_job {
	struct list node;
	struct scheduler *scheduler;
	struct backlog_queue *queue;
	char id[JOB_ID_SIZE];
	struct workflow *workflow; /* read, but not its state */
	int64_t revision;	   /* of its record */
	size_t bytes;		   /* of memory that it will take, about */
	unsigned started : 1;
	unsigned has_state : 1;
	unsigned is_reading : 1; /* in no list */
	unsigned is_aside : 1;	 /* it was in memory and found no place */
};

static void end_reading(struct backlog_job *job)
{
	struct backlog *backlog = &job->scheduler->backlog;

	if (!job->is_reading)
		return;
	job->is_reading = 0;
	backlog->read_count--;
	backlog->read_bytes -= job->bytes;
}

static void job_free(void *data)
{
	struct backlog_job *job = data;

	kv_cancel(job->scheduler->kv, job);
	list_del(&job->node);
	job->queue->pending -= !job->started;
	end_reading(job);
	workflow_delete(job->workflow);
	free(job);
}

void scheduler_backlog_start(struct scheduler *scheduler)
{
	struct backlog *backlog = &scheduler->backlog;

	memset(backlog, 0, sizeof(*backlog));
	/* A former scheduler may have left the key. */
	backlog->is_full_stored = -1;
	list_init(&backlog->queues);
	list_init(&backlog->aside);
	backlog->jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
}

void scheduler_backlog_stop(struct scheduler *scheduler)
{
	struct backlog *backlog = &scheduler->backlog;
	struct list *pos, *tmp;

	if (!backlog->jobs)
		return;
	g_hash_table_destroy(backlog->jobs);
	backlog->jobs = NULL;
	list_for_each_safe (pos, tmp, &backlog->queues) {
		list_del(pos);
		free(list_entry(pos, struct backlog_queue, node));
	}
}

static void insert_queue(struct backlog *backlog, struct backlog_queue *queue)
{
	struct list *pos;

	list_for_each (pos, &backlog->queues)
		if (list_entry(pos, struct backlog_queue, node)->priority >
		    queue->priority)
			break;
	list_add_tail(pos, &queue->node);
}

static struct backlog_queue *find_queue(struct backlog *backlog,
					const char *name)
{
	struct list *pos;

	list_for_each (pos, &backlog->queues) {
		struct backlog_queue *queue =
			list_entry(pos, struct backlog_queue, node);

		if (!strcmp(queue->name, name))
			return queue;
	}
	return NULL;
}

static struct backlog_queue *get_queue(struct backlog *backlog,
				       const struct queue_config *config)
{
	struct backlog_queue *queue = find_queue(backlog, config->name);

	if (queue)
		return queue;
	queue = xcalloc(1, sizeof(*queue));
	list_init(&queue->jobs);
	str_copy(queue->name, config->name, sizeof(queue->name));
	queue->priority = config->priority;
	insert_queue(backlog, queue);
	return queue;
}

void scheduler_backlog_configure(struct scheduler *scheduler,
				 const struct queue_config *config)
{
	struct backlog_queue *queue =
		find_queue(&scheduler->backlog, config->name);

	if (!queue || queue->priority == config->priority)
		return;
	queue->priority = config->priority;
	list_del(&queue->node);
	insert_queue(&scheduler->backlog, queue);
}

int scheduler_has_room(const struct scheduler *scheduler)
{
	return dispatch_memory(scheduler->dispatch) +
		       scheduler->backlog.read_bytes <
	       TAKEN_MEMORY_MAX;
}

size_t scheduler_backlog_count(const struct scheduler *scheduler)
{
	return g_hash_table_size(scheduler->backlog.jobs);
}

int scheduler_backlog_knows(const struct scheduler *scheduler, const char *id)
{
	return g_hash_table_contains(scheduler->backlog.jobs, id);
}

static struct list *job_list(struct backlog_job *job)
{
	return job->is_aside ? &job->scheduler->backlog.aside
			     : &job->queue->jobs;
}

void scheduler_backlog_add(struct scheduler *scheduler,
			   const struct backlog_entry *entry)
{
	struct backlog *backlog = &scheduler->backlog;
	struct backlog_job *job = xcalloc(1, sizeof(*job));

	list_init(&job->node);
	job->scheduler = scheduler;
	job->queue = get_queue(backlog, entry->queue);
	job->started = entry->started != 0;
	job->has_state = entry->has_state != 0;
	job->is_aside = entry->is_aside != 0;
	job->bytes = entry->bytes;
	job->queue->pending += !job->started;
	str_copy(job->id, entry->id, sizeof(job->id));
	list_add_tail(job_list(job), &job->node);
	g_hash_table_insert(backlog->jobs, job->id, job);
}

int scheduler_backlog_remove(struct scheduler *scheduler, const char *id,
			     char *queue)
{
	const struct backlog_job *job =
		g_hash_table_lookup(scheduler->backlog.jobs, id);

	if (job && queue)
		str_copy(queue, job->queue->name, ID_SIZE);
	return g_hash_table_remove(scheduler->backlog.jobs, id);
}

void scheduler_backlog_pending(const struct scheduler *scheduler,
			       json_t *counts)
{
	const struct list *pos;

	list_for_each (pos, &scheduler->backlog.queues) {
		const struct backlog_queue *queue =
			list_entry(pos, struct backlog_queue, node);
		json_int_t count = json_integer_value(
			json_object_get(counts, queue->name));

		if (queue->pending)
			json_object_set_new(
				counts, queue->name,
				json_integer(count + queue->pending));
	}
}

/* Reads it again later; it keeps its turn. */
static void put_back(struct backlog_job *job)
{
	struct backlog *backlog = &job->scheduler->backlog;

	backlog->retry_at = mstime_add(sysclock_now(), READ_RETRY_MS);
	end_reading(job);
	workflow_delete(job->workflow);
	job->workflow = NULL;
	list_add_head(job_list(job), &job->node);
}

static void take_in(struct backlog_job *job)
{
	struct scheduler *scheduler = job->scheduler;
	struct workflow *workflow = job->workflow;
	int64_t revision = job->revision;

	job->workflow = NULL;
	scheduler_backlog_remove(scheduler, job->id, NULL);
	scheduler_take_in(scheduler, workflow, revision);
	scheduler_wake(scheduler);
}

/* As at the first reading, one that can't be read is left alone. */
static void give_up(struct backlog_job *job, const char *reason)
{
	log_event(EV_WORKFLOW_INVALID, "job=%s reason=\"%s\"", job->id, reason);
	scheduler_backlog_remove(job->scheduler, job->id, NULL);
}

static void on_state_read(void *arg, const struct kv_result *result)
{
	struct backlog_job *job = arg;
	const struct kv_item *item = result->items;

	if (result->err && result->err != ERR_NOT_FOUND) {
		put_back(job);
		return;
	}
	if (!result->err && result->count && item->value) {
		job->workflow->stored_revision = item->revision;
		if (workflow_decode(job->workflow, item->value, item->len)) {
			give_up(job, "state");
			return;
		}
	}
	take_in(job);
}

static void on_record_read(void *arg, const struct kv_result *result)
{
	struct backlog_job *job = arg;
	const struct kv_item *item = result->items;
	const char *reason = "no record";
	char key[JOBSTORE_KEY_SIZE];

	if (result->err && result->err != ERR_NOT_FOUND) {
		put_back(job);
		return;
	}
	if (!result->err && result->count && item->value)
		job->workflow =
			jobstore_record_decode(job->id, item->value, item->len,
					       item->created_ms, &reason);
	if (!job->workflow) {
		give_up(job, reason);
		return;
	}
	job->revision = item->revision;
	if (!job->has_state) {
		take_in(job);
		return;
	}
	jobstore_key(key, STATE_PREFIX, job->id);
	kv_get(job->scheduler->kv, key, on_state_read, job);
}

static int aside_is_due(const struct backlog *backlog, struct mstime now)
{
	return mstime_diff(now, backlog->aside_read_at) >= ASIDE_INTERVAL_MS;
}

/* By priority; those that were set aside come after the others, or in turn. */
static struct backlog_job *next_job(const struct backlog *backlog,
				    struct mstime now)
{
	const struct list *pos, *jobs = NULL;

	list_for_each (pos, &backlog->queues) {
		jobs = &list_entry(pos, struct backlog_queue, node)->jobs;
		if (!list_empty(jobs))
			break;
	}
	if (pos == &backlog->queues ||
	    (!list_empty(&backlog->aside) && aside_is_due(backlog, now)))
		jobs = &backlog->aside;
	return list_empty(jobs)
		       ? NULL
		       : list_entry(jobs->next, struct backlog_job, node);
}

static void read_next(struct scheduler *scheduler, struct backlog_job *job,
		      struct mstime now)
{
	char key[JOBSTORE_KEY_SIZE];

	if (job->is_aside)
		scheduler->backlog.aside_read_at = now;
	list_del(&job->node);
	job->is_reading = 1;
	scheduler->backlog.read_count++;
	scheduler->backlog.read_bytes += job->bytes;
	jobstore_key(key, SUBMITTED_JOB_PREFIX, job->id);
	kv_get(scheduler->kv, key, on_record_read, job);
}

static void set_aside(struct scheduler *scheduler, struct workflow *workflow)
{
	struct backlog_entry entry = {
		.id = workflow->spec.id,
		.queue = &workflow->queue,
		.bytes = workflow_memory(workflow),
		.started = workflow->started,
		.has_state = workflow->stored_revision != 0,
		.is_aside = 1,
	};

	log_event(EV_WORKFLOW_SET_ASIDE, "job=%s queue=%s waiting=%zu",
		  workflow->spec.id, workflow->queue.name,
		  scheduler_backlog_count(scheduler));
	scheduler_backlog_add(scheduler, &entry);
	dispatch_set_aside(scheduler->dispatch, workflow);
}

/*
 * Workflows that find no place must not keep others out for good, so those of
 * which nothing is at work take turns. Jobs that were not looked at yet get
 * room at once.
 */
static void make_room(struct scheduler *scheduler, struct mstime now)
{
	struct backlog *backlog = &scheduler->backlog;
	const struct backlog_job *next;
	struct workflow *workflow;

	while ((next = next_job(backlog, now)) &&
	       !scheduler_has_room(scheduler)) {
		if (next->is_aside && !aside_is_due(backlog, now))
			return;
		workflow = dispatch_find_idle(scheduler->dispatch, now);
		if (!workflow)
			return;
		set_aside(scheduler, workflow);
	}
}

static void on_full_written(void *arg, const struct kv_result *result)
{
	struct scheduler *scheduler = *(struct scheduler **)arg;
	struct backlog *backlog = &scheduler->backlog;

	backlog->full_in_flight = 0;
	if (!result->err)
		backlog->is_full_stored = backlog->is_full_sent;
}

/* Gateways refuse submissions while the key exists. */
static void write_full(struct scheduler *scheduler, int is_full)
{
	struct backlog *backlog = &scheduler->backlog;
	struct kv_txn txn = { .compare_count = 1 };

	if (backlog->full_in_flight || backlog->is_full_stored == is_full)
		return;
	txn.compares[0].key = ELECTION_KEY;
	txn.compares[0].revision = scheduler->epoch;
	if (is_full) {
		txn.puts[0].key = FULL_KEY;
		txn.puts[0].value = "{}";
		txn.puts[0].len = 2;
		txn.put_count = 1;
	} else {
		txn.removals[0] = FULL_KEY;
		txn.removal_count = 1;
	}
	backlog->is_full_sent = is_full;
	backlog->full_in_flight = 1;
	if (is_full || backlog->is_full_stored > 0)
		log_event(EV_BACKLOG_FULL, "full=%d waiting=%zu", is_full,
			  scheduler_backlog_count(scheduler));
	kv_txn(scheduler->kv, &txn, on_full_written, &scheduler->self);
}

void scheduler_backlog_check(struct scheduler *scheduler, struct mstime now)
{
	struct backlog *backlog = &scheduler->backlog;
	size_t count = scheduler_backlog_count(scheduler);
	struct backlog_job *job;

	if (count >= BACKLOG_MAX)
		write_full(scheduler, 1);
	else if (count <= BACKLOG_REOPEN)
		write_full(scheduler, 0);
	while (backlog->read_count < READS_MAX &&
	       !mstime_before(now, backlog->retry_at) &&
	       scheduler_has_room(scheduler) && (job = next_job(backlog, now)))
		read_next(scheduler, job, now);
	make_room(scheduler, now);
}
