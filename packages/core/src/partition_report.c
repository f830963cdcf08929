#include <stdio.h>
#include <string.h>

#include "hash.h"
#include "mem.h"
#include "partition.h"
#include "partition_internal.h"

/* Time for which a job avoids an agent that refused, failed or lost its run. */
#define AGENT_AVOID_MS 3000

static uint32_t max_u32(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

static int is_terminal(uint32_t state)
{
	return state >= TASK_STOPPED;
}

static int is_faulty_agent(const struct job_retry_policy *policy,
			   uint64_t agent)
{
	size_t i;

	for (i = 0; i < policy->faulty_agent_count; i++)
		if (policy->faulty_agents[i] == agent)
			return 1;
	return 0;
}

static void record_failed_run(struct job *job)
{
	uint64_t agent = hash_str(job->agent);
	uint32_t i;

	job->failed_runs++;
	for (i = 0; i < job->failed_agent_count; i++)
		if (job->failed_agents[i] == agent)
			return;
	if (job->failed_agent_count < JOB_FAILED_AGENTS_MAX)
		job->failed_agents[job->failed_agent_count++] = agent;
}

static uint32_t count_failed_agents(const struct job *job,
				    const struct job_retry_policy *policy)
{
	uint32_t count = 0, i;

	for (i = 0; i < job->failed_agent_count; i++)
		count += !is_faulty_agent(policy, job->failed_agents[i]);
	return count;
}

static void requeue(struct partition *partition, struct job *job,
		    const char *reason)
{
	job->listed = 0;
	job_set_state(partition, job, JOB_QUEUED, reason);
}

static int is_cancelled(const struct job *job)
{
	return job->state == JOB_STOPPING && job->stop == STOP_CANCEL;
}

static enum task_effect end_cancelled(struct partition *partition,
				      struct job *job, struct mstime now)
{
	job_end(partition, job, JOB_CANCELLED, "cancelled while it had a run",
		now);
	return EFFECT_CANCELLED;
}

/* Queues the job again, to be placed at another agent for AGENT_AVOID_MS. */
static void requeue_elsewhere(struct partition *partition, struct job *job,
			      const char *what, const char *detail,
			      struct mstime now)
{
	char reason[JOB_REASON_SIZE];

	snprintf(reason, sizeof(reason), "%s %.40s: %.80s", what, job->agent,
		 detail);
	job->avoided_agent = hash_str(job->agent);
	job->avoid_until = mstime_add(now, AGENT_AVOID_MS);
	requeue(partition, job, reason);
}

static enum task_effect apply_failure(struct partition *partition,
				      struct job *job, const char *detail,
				      const struct job_retry_policy *policy,
				      struct mstime now)
{
	char reason[JOB_REASON_SIZE];
	uint32_t failed_agents;

	if (is_cancelled(job))
		return end_cancelled(partition, job, now);
	record_failed_run(job);
	failed_agents = count_failed_agents(job, policy);
	if (failed_agents >= policy->failed_agents_max ||
	    job->failed_runs >= JOB_FAILED_RUNS_MAX) {
		snprintf(reason, sizeof(reason),
			 "failed at %u workers in %u runs; last at %.40s: "
			 "%.60s",
			 job->failed_agent_count, job->failed_runs, job->agent,
			 detail);
		job_end(partition, job, JOB_FAILED, reason, now);
		return EFFECT_FAILED;
	}
	requeue_elsewhere(partition, job, "failed at", detail, now);
	return EFFECT_RETRY;
}

/*
 * A run that no report has listed was never granted by an ack, so it has not
 * started.
 */
static void record_loss(struct job *job)
{
	if (!job->listed)
		return;
	if (mstime_diff(job->listed_at, job->started_at) < JOB_EARLY_LOSS_MS)
		job->early_losses++;
	else
		job->early_losses = 0;
}

static enum task_effect apply_loss(struct partition *partition, struct job *job,
				   const char *detail, struct mstime now)
{
	char reason[JOB_REASON_SIZE];

	if (is_cancelled(job))
		return end_cancelled(partition, job, now);
	record_loss(job);
	if (job->early_losses > JOB_EARLY_LOSSES_MAX) {
		snprintf(reason, sizeof(reason),
			 "lost with its worker within %d s of the start in %u "
			 "runs; last at %.40s: %.40s",
			 JOB_EARLY_LOSS_MS / 1000, job->early_losses,
			 job->agent, detail);
		job_end(partition, job, JOB_FAILED, reason, now);
		return EFFECT_FAILED;
	}
	requeue_elsewhere(partition, job, "lost at", detail, now);
	return EFFECT_RETRY;
}

static enum task_effect apply_stop(struct partition *partition, struct job *job,
				   struct mstime now)
{
	if (is_cancelled(job))
		return end_cancelled(partition, job, now);
	job->evictions++;
	job->evicted = 1;
	job->evicted_at = now;
	requeue(partition, job, "stopped with a checkpoint; waits to resume");
	return EFFECT_REQUEUED;
}

static enum task_effect apply_refusal(struct partition *partition,
				      struct job *job, const char *detail,
				      struct mstime now)
{
	if (is_cancelled(job))
		return end_cancelled(partition, job, now);
	requeue_elsewhere(partition, job, "refused by", detail, now);
	return EFFECT_REFUSED;
}

static void update_checkpoint(struct partition *partition, struct job *job,
			      const char *checkpoint, struct mstime now)
{
	if (!checkpoint || !*checkpoint ||
	    strlen(checkpoint) >= sizeof(job->checkpoint) ||
	    !strcmp(job->checkpoint, checkpoint))
		return;
	str_copy(job->checkpoint, checkpoint, sizeof(job->checkpoint));
	job->checkpointed_at = now;
	job_touch(partition, job);
}

static void update_usage(struct job *job, const struct resources *used)
{
	job->used = *used;
	job->peak.cpu_milli = max_u32(job->peak.cpu_milli, used->cpu_milli);
	job->peak.mem_mb = max_u32(job->peak.mem_mb, used->mem_mb);
	job->peak.accel = max_u32(job->peak.accel, used->accel);
}

static enum task_effect apply_end(struct partition *partition, struct job *job,
				  const struct task_status *status,
				  const struct job_retry_policy *policy,
				  struct mstime now)
{
	const char *detail = status->detail ? status->detail : "";

	switch (status->state) {
	case TASK_FINISHED:
		job_end(partition, job, JOB_DONE, "finished", now);
		return EFFECT_DONE;
	case TASK_STOPPED:
		return apply_stop(partition, job, now);
	case TASK_REFUSED:
		return apply_refusal(partition, job, detail, now);
	case TASK_FAILED:
		return apply_failure(partition, job, detail, policy, now);
	default:
		return apply_loss(partition, job, detail, now);
	}
}

enum task_effect partition_apply_report(struct partition *partition,
					const char *agent,
					const struct task_status *status,
					const struct job_retry_policy *policy,
					struct mstime now)
{
	struct job *job = partition_find(partition, status->job);

	if (!job || !job_active(job) || job->run != status->run ||
	    strcmp(job->agent, agent))
		return is_terminal(status->state) ? EFFECT_NONE : EFFECT_STALE;
	update_usage(job, &status->used);
	update_checkpoint(partition, job, status->checkpoint, now);
	if (is_terminal(status->state))
		return apply_end(partition, job, status, policy, now);
	job->listed = 1;
	job->listed_at = now;
	if (status->state != TASK_RUNNING || job->state != JOB_STARTING)
		return EFFECT_NONE;
	job_set_state(partition, job, JOB_RUNNING, job->reason);
	return EFFECT_RUNNING;
}

uint64_t partition_end_version(const struct partition *partition,
			       const struct task_status *status)
{
	const struct job *job = partition_find(partition, status->job);

	if (!is_terminal(status->state) || !job)
		return 0;
	return status->run > job->run ? UINT64_MAX : job->version;
}

enum task_effect partition_run_lost(struct partition *partition,
				    struct job *job, const char *reason,
				    struct mstime now)
{
	if (!job_active(job))
		return EFFECT_NONE;
	return apply_loss(partition, job, reason, now);
}
