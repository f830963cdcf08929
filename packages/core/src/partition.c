#include "partition.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "hash.h"
#include "mem.h"
#include "partition_internal.h"

/* Upper bound for the numbers, times and framing of one encoded job. */
#define JOB_OVERHEAD_MAX_BYTES 200
/* Upper bound for the growth of one encoded job when it starts to run. */
#define JOB_GROWTH_MAX_BYTES (ID_SIZE + JOB_REASON_SIZE + JOB_CHECKPOINT_SIZE)
/* Complete inbox listings without a job's key before it may be removed. */
#define INBOX_LISTINGS_WITHOUT_KEY 2

const char *job_state_name(enum job_state state)
{
	static const char *const names[] = {
		[JOB_QUEUED] = "queued",       [JOB_STARTING] = "starting",
		[JOB_RUNNING] = "running",     [JOB_STOPPING] = "stopping",
		[JOB_DONE] = "done",	       [JOB_FAILED] = "failed",
		[JOB_CANCELLED] = "cancelled", [JOB_IMPOSSIBLE] = "impossible",
	};

	return state < JOB_STATE_COUNT ? names[state] : "other";
}

struct partition *partition_new(uint32_t number)
{
	struct partition *partition = xcalloc(1, sizeof(*partition));

	partition->number = number;
	list_init(&partition->jobs);
	list_init(&partition->removed);
	return partition;
}

static void job_delete(struct job *job)
{
	free(job->command);
	free(job);
}

static void free_removed_jobs(struct partition *partition, uint64_t version)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &partition->removed) {
		struct removed_job *removed =
			list_entry(pos, struct removed_job, node);

		if (removed->version > version)
			return;
		list_del(pos);
		free(removed);
	}
}

void partition_delete(struct partition *partition)
{
	struct list *pos, *tmp;

	if (!partition)
		return;
	free_removed_jobs(partition, UINT64_MAX);
	list_for_each_safe (pos, tmp, &partition->jobs)
		job_delete(list_entry(pos, struct job, node));
	free(partition);
}

static struct job **hash_bucket(struct partition *partition, const char *id)
{
	return &partition->buckets[hash_str(id) % PARTITION_BUCKETS];
}

struct job *partition_find(const struct partition *partition, const char *id)
{
	struct job *job = partition->buckets[hash_str(id) % PARTITION_BUCKETS];

	while (job && strcmp(job->id, id))
		job = job->hash_next;
	return job;
}

static size_t job_size(const struct job *job)
{
	return JOB_OVERHEAD_MAX_BYTES + strlen(job->id) + strlen(job->team) +
	       strlen(job->command) + strlen(job->agent) +
	       strlen(job->checkpoint) + strlen(job->reason) +
	       9 * (size_t)job->failed_agent_count;
}

void partition_touch(struct partition *partition)
{
	partition->version++;
}

void job_touch(struct partition *partition, struct job *job)
{
	size_t bytes = job_size(job);

	partition->bytes += bytes - job->bytes;
	job->bytes = bytes;
	job->version = ++partition->version;
}

void partition_add_job(struct partition *partition, struct job *job)
{
	struct job **bucket = hash_bucket(partition, job->id);

	job->hash_next = *bucket;
	*bucket = job;
	list_add_tail(&partition->jobs, &job->node);
	partition->counts[job->state]++;
	job->bytes = job_size(job);
	partition->bytes += job->bytes;
}

void partition_remove_job(struct partition *partition, struct job *job)
{
	struct job **pos = hash_bucket(partition, job->id);

	while (*pos != job)
		pos = &(*pos)->hash_next;
	*pos = job->hash_next;
	list_del(&job->node);
	partition->counts[job->state]--;
	partition->bytes -= job->bytes;
	job_delete(job);
}

static void expire_job(struct partition *partition, struct job *job)
{
	struct removed_job *removed = xcalloc(1, sizeof(*removed));

	memcpy(removed->id, job->id, sizeof(removed->id));
	partition_remove_job(partition, job);
	partition_touch(partition);
	removed->version = partition->version;
	list_add_tail(&partition->removed, &removed->node);
}

void job_set_state(struct partition *partition, struct job *job,
		   enum job_state state, const char *reason)
{
	partition->counts[job->state]--;
	partition->counts[state]++;
	job->state = state;
	if (reason != job->reason)
		snprintf(job->reason, sizeof(job->reason), "%s", reason);
	job_touch(partition, job);
}

void job_end(struct partition *partition, struct job *job, enum job_state state,
	     const char *reason, struct mstime now)
{
	job->ended_at = now;
	job_set_state(partition, job, state, reason);
}

void partition_mark_committed(struct partition *partition, uint64_t version)
{
	if (version <= partition->committed_version)
		return;
	partition->committed_version = version;
	free_removed_jobs(partition, version);
}

int partition_submit(struct partition *partition, const struct job_spec *spec,
		     struct mstime now)
{
	struct job *job;

	if (partition_find(partition, spec->job))
		return ERR_EXISTS;
	if (partition->bytes + strlen(spec->command) + JOB_OVERHEAD_MAX_BYTES +
		    (size_t)2 * ID_SIZE >
	    PARTITION_SUBMIT_MAX_BYTES)
		return ERR_FULL;
	job = xcalloc(1, sizeof(*job));
	memcpy(job->id, spec->job, sizeof(job->id));
	memcpy(job->team, spec->team, sizeof(job->team));
	job->command = xstrdup(spec->command);
	job->declared = spec->need;
	job->urgent = spec->urgent;
	job->arrival_order = partition->next_arrival_order++;
	job->submitted_at = now;
	job->inbox_listing = partition->inbox_listings;
	partition_add_job(partition, job);
	job_touch(partition, job);
	return 0;
}

/* No agent can know of such a run, so its stop needs no proof. */
static int start_never_sent(const struct job *job)
{
	return job->state == JOB_STARTING && !job->inherited &&
	       !job->start_sent;
}

static void stop_run(struct partition *partition, struct job *job,
		     enum stop_mode mode, const char *reason)
{
	job->stop = mode;
	job_set_state(partition, job, JOB_STOPPING, reason);
}

int partition_cancel(struct partition *partition, const char *id,
		     struct mstime now)
{
	struct job *job = partition_find(partition, id);

	if (!job)
		return ERR_NOT_FOUND;
	if (job_ended(job))
		return 0;
	if (job->state == JOB_QUEUED || start_never_sent(job))
		job_end(partition, job, JOB_CANCELLED, "cancelled before a run",
			now);
	else if (job->state != JOB_STOPPING || job->stop != STOP_CANCEL)
		stop_run(partition, job, STOP_CANCEL, "cancelled");
	return 0;
}

int partition_start_run(struct partition *partition, struct job *job,
			const char *agent, const struct resources *need,
			const char *reason, struct mstime now)
{
	if (job->state != JOB_QUEUED)
		return ERR_INVALID;
	if (partition->bytes + JOB_GROWTH_MAX_BYTES >
	    PARTITION_VALUE_MAX_BYTES - JOB_GROWTH_MAX_BYTES)
		return ERR_FULL;
	job->run++;
	str_copy(job->agent, agent, sizeof(job->agent));
	job->reserved = *need;
	job->started_at = now;
	job->checkpointed_at = now;
	job->inherited = 0;
	job->start_sent = 0;
	job->listed = 0;
	job->held_agent = 0;
	memset(&job->used, 0, sizeof(job->used));
	memset(&job->peak, 0, sizeof(job->peak));
	memset(&job->recorded_peak, 0, sizeof(job->recorded_peak));
	job_set_state(partition, job, JOB_STARTING, reason);
	return 0;
}

int partition_evict_run(struct partition *partition, struct job *job,
			const char *reason, struct mstime now)
{
	if (job->state != JOB_STARTING && job->state != JOB_RUNNING)
		return ERR_INVALID;
	if (start_never_sent(job))
		job_set_state(partition, job, JOB_QUEUED, reason);
	else
		stop_run(partition, job, STOP_EVICT, reason);
	return 0;
}

void partition_mark_impossible(struct partition *partition, struct job *job,
			       const char *reason, struct mstime now)
{
	if (job->state == JOB_QUEUED)
		job_end(partition, job, JOB_IMPOSSIBLE, reason, now);
}

void partition_set_wait_reason(struct job *job, const char *reason)
{
	if (job->state == JOB_QUEUED)
		snprintf(job->reason, sizeof(job->reason), "%s", reason);
}

static enum job_command wanted_command(const struct job *job,
				       uint64_t incarnation)
{
	if (job->state == JOB_STOPPING)
		return COMMAND_STOP;
	if (job->state != JOB_STARTING || job->listed || job->inherited)
		return COMMAND_NONE;
	return !job->start_sent || job->start_incarnation == incarnation
		       ? COMMAND_START
		       : COMMAND_NONE;
}

enum job_command partition_next_command(const struct partition *partition,
					struct job *job, uint64_t incarnation,
					struct mstime now)
{
	enum job_command command = wanted_command(job, incarnation);

	if (command == COMMAND_NONE ||
	    job->version > partition->committed_version)
		return COMMAND_NONE;
	if (job->commanded_version == job->version + 1 &&
	    mstime_diff(now, job->commanded_at) < COMMAND_RESEND_MS)
		return COMMAND_NONE;
	/* One more than the version, because 0 means that none was sent. */
	job->commanded_version = job->version + 1;
	job->commanded_at = now;
	if (command == COMMAND_START) {
		job->start_sent = 1;
		job->start_incarnation = incarnation;
		job->start_sent_at = now;
	}
	return command;
}

static int can_expire(const struct partition *partition, const struct job *job)
{
	return job_ended(job) && job->version <= partition->committed_version &&
	       partition->inbox_listings >=
		       job->inbox_listing + INBOX_LISTINGS_WITHOUT_KEY;
}

static uint32_t count_ended(const struct partition *partition)
{
	return partition->counts[JOB_DONE] + partition->counts[JOB_FAILED] +
	       partition->counts[JOB_CANCELLED] +
	       partition->counts[JOB_IMPOSSIBLE];
}

/* Jobs are in order of arrival, so the oldest jobs are removed first. */
void partition_expire(struct partition *partition, int64_t keep_ms,
		      uint32_t keep_count, struct mstime now)
{
	uint32_t ended = count_ended(partition);
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &partition->jobs) {
		struct job *job = list_entry(pos, struct job, node);

		if (!ended)
			break;
		if (!can_expire(partition, job))
			continue;
		if (ended <= keep_count &&
		    mstime_diff(now, job->ended_at) < keep_ms)
			continue;
		expire_job(partition, job);
		ended--;
	}
}
