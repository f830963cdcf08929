#ifndef CATKINHILL_PARTITION_H
#define CATKINHILL_PARTITION_H

#include <stddef.h>
#include <stdint.h>

#include "jobspec.h"
#include "list.h"
#include "message.h"
#include "mstime.h"

/*
 * NAME
 *	partition - state machine of the batch jobs of one partition
 *
 * NOTES
 *	The value in the store is authoritative; this struct is the owner's
 *	copy in memory. Each change increments version. A command for a job may
 *	be sent only after a commit of a version that includes the job's last
 *	change, so that no agent acts on a state that a later owner would not
 *	find in the store. A new run is created only from JOB_QUEUED, and a job
 *	returns to JOB_QUEUED only when its run is proved to have stopped.
 */
enum job_state {
	JOB_QUEUED,
	JOB_STARTING, /* a run exists; not yet reported as running */
	JOB_RUNNING,
	JOB_STOPPING, /* until the run is proved to have stopped */
	JOB_DONE,
	JOB_FAILED,
	JOB_CANCELLED,
	JOB_IMPOSSIBLE,
	JOB_STATE_COUNT
};

const char *job_state_name(enum job_state state);

#define JOB_FAILED_AGENTS_MAX 10
#define JOB_REASON_SIZE 160
#define JOB_CHECKPOINT_SIZE 257
/*
 * Failures at faulty workers do not count towards the limit of a job's failed
 * agents. This limit ends a job that fails wherever it runs even if it gets
 * these workers ejected.
 */
#define JOB_FAILED_RUNS_MAX 20

/*
 * The loss of a run with its VM does not count as a failure of the job, unless
 * the job itself brings its worker down. A loss is early when the last report
 * that listed the run arrived within JOB_EARLY_LOSS_MS of its start: a minute
 * covers the start and, with the default lease, the 22 s after which an agent
 * reports a run of a failed worker as lost. More than JOB_EARLY_LOSSES_MAX
 * early losses without a later loss between them end the job. At 360 lost VMs
 * of 20,000 per day, a VM is lost within a given minute with a probability of 1
 * in 80,000, so only a fault that affects many VMs at once makes even two early
 * losses likely. The limit is small because each early loss costs a worker.
 */
#define JOB_EARLY_LOSS_MS (60 * 1000)
#define JOB_EARLY_LOSSES_MAX 4

struct job {
	struct list node; /* in partition.jobs, in order of arrival */
	struct job *hash_next;
	char id[ID_SIZE];
	char team[ID_SIZE];
	char *command;
	struct resources declared;
	int urgent;

	enum job_state state;
	enum stop_mode stop;	   /* while JOB_STOPPING */
	uint64_t arrival_order;	   /* sequence number */
	uint64_t run;		   /* current or last run; 0 before the first */
	char agent[ID_SIZE];	   /* of the current or last run */
	struct resources reserved; /* by the current run */
	char checkpoint[JOB_CHECKPOINT_SIZE];
	char reason[JOB_REASON_SIZE]; /* for its current state */
	uint64_t failed_agents[JOB_FAILED_AGENTS_MAX]; /* their hashes */
	uint32_t failed_agent_count;
	uint32_t failed_runs;  /* total, at all agents */
	uint32_t early_losses; /* see JOB_EARLY_LOSS_MS */
	uint32_t evictions;
	int evicted; /* evicted before; evicted_at is valid */
	struct mstime submitted_at;
	struct mstime started_at; /* of the current or last run */
	struct mstime evicted_at;
	struct mstime ended_at;

	/* Not part of the stored value. */
	uint64_t version; /* partition version of its last change */
	size_t bytes;	  /* upper bound of its encoded size */
	int inherited;	  /* its run was created in an earlier epoch */
	int start_sent;	  /* a start command may have been sent */
	uint64_t start_incarnation; /* hash of the incarnation it was sent to */
	struct mstime start_sent_at; /* or time of the takeover */
	uint64_t commanded_version;  /* at the last command, plus 1; or 0 */
	struct mstime commanded_at;
	struct mstime listed_at; /* last report that listed it as active */
	int listed;
	struct mstime checkpointed_at;	/* or start of the run */
	struct resources used;		/* as last reported */
	struct resources peak;		/* of the current run */
	struct resources recorded_peak; /* in the estimates */
	uint64_t avoided_agent;		/* hash; not chosen until avoid_until */
	struct mstime avoid_until;
	uint64_t held_agent;	/* hash; its capacity is held for it; 0: none */
	uint64_t inbox_listing; /* last listing with its inbox key */
};

#define PARTITION_BUCKETS 4096

struct partition {
	uint32_t number;
	uint64_t epoch;
	uint64_t log_seq;	 /* of the last log entry in the store */
	int64_t holdover_ms;	 /* see owner_lease_holdover() */
	char writer_token[160];	 /* of the last decoded value or log entry */
	int64_t writer_clock_ms; /* clock of that writer at its write */

	struct list jobs;
	struct job *buckets[PARTITION_BUCKETS];
	uint32_t counts[JOB_STATE_COUNT];
	uint64_t next_arrival_order;
	uint64_t version;	    /* of the last change */
	uint64_t committed_version; /* last version known to be in the store */
	struct list removed;	    /* jobs removed since, for the next delta */
	size_t bytes;		    /* upper bound of the encoded size */
	uint64_t inbox_listings;    /* complete listings of the inbox so far */
};

/*
 * Limits on the size of the stored value. New jobs are accepted only up to the
 * smaller one, so that the value still fits into the store when running jobs
 * make it grow. The larger one also limits a log entry.
 */
#define PARTITION_VALUE_MAX_BYTES (1024 * 1024)
#define PARTITION_SUBMIT_MAX_BYTES (768 * 1024)

struct partition *partition_new(uint32_t number);
void partition_delete(struct partition *partition);

/*
 * Serializes the partition at its current version, as a snapshot that includes
 * the log up to log_seq.
 *
 * writer	names this process; the token written is "WRITER/VERSION"
 *
 * RETURN VALUE
 *	0; *data is newly allocated and freed by the caller.
 * ERRORS
 *	ERR_TOO_LARGE	the value is over PARTITION_VALUE_MAX_BYTES
 */
int partition_encode(struct partition *partition, const char *writer,
		     struct mstime now, char **data, size_t *len);

/*
 * Decodes a value into an empty partition. Its runs are marked as inherited.
 *
 * ERRORS
 *	ERR_MALFORMED	not a value of this format
 */
int partition_decode(struct partition *partition, const void *data, size_t len,
		     struct mstime now);

/*
 * Serializes the changes since the last known commit as log entry log_seq + 1.
 * Encoding does not change the partition, so after a failed commit the entry is
 * encoded again, together with the changes made since.
 *
 * RETURN VALUE
 *	As partition_encode().
 */
int partition_encode_delta(const struct partition *partition,
			   const char *writer, struct mstime now, char **data,
			   size_t *len);

/*
 * Applies the next log entry to a partition that was decoded with the same
 * value of now. After ERR_MALFORMED the partition is in an undefined state and
 * must be deleted.
 *
 * ERRORS
 *	ERR_INVALID	not the next entry: of another partition or epoch, or
 *			a gap; nothing was changed
 *	ERR_MALFORMED	not an entry of this format, or one that does not fit
 */
int partition_apply_delta(struct partition *partition, const void *data,
			  size_t len, struct mstime now);

/*
 * Reads the header of a value or log entry, to find out whether a commit whose
 * call got no response has taken effect.
 *
 * RETURN VALUE
 *	1 if it was written by writer, *version is then its version;
 *	0 if by another one; ERR_MALFORMED.
 */
int partition_written_by(const void *data, size_t len, const char *writer,
			 uint64_t *epoch, uint64_t *seq, uint64_t *version);

/* Records that version is committed; later changes are still uncommitted. */
void partition_mark_committed(struct partition *partition, uint64_t version);

static inline int partition_dirty(const struct partition *partition)
{
	return partition->version > partition->committed_version;
}

struct job *partition_find(const struct partition *partition, const char *id);

/* Marks a change that does not belong to one job, such as a takeover. */
void partition_touch(struct partition *partition);

/*
 * Adds a submitted job.
 *
 * ERRORS
 *	ERR_EXISTS	a job with this id is known, in any state
 *	ERR_FULL	the value would become too large; try again later
 */
int partition_submit(struct partition *partition, const struct job_spec *spec,
		     struct mstime now);

/*
 * Cancels a job. No effect on a job that has ended.
 *
 * ERRORS
 *	ERR_NOT_FOUND
 */
int partition_cancel(struct partition *partition, const char *id,
		     struct mstime now);

/*
 * Creates the next run of a queued job at agent.
 *
 * ERRORS
 *	ERR_INVALID	the job is not queued
 *	ERR_FULL	the value would become too large
 */
int partition_start_run(struct partition *partition, struct job *job,
			const char *agent, const struct resources *need,
			const char *reason, struct mstime now);

/*
 * Requests a stop of the current run with a checkpoint. If its start command
 * has not been sent, the job is queued again at once.
 *
 * ERRORS
 *	ERR_INVALID	the job has no run, or it is stopping already
 */
int partition_evict_run(struct partition *partition, struct job *job,
			const char *reason, struct mstime now);

/* Ends a queued job that no worker can ever run. */
void partition_mark_impossible(struct partition *partition, struct job *job,
			       const char *reason, struct mstime now);

/* Sets why a queued job waits; this is not part of the stored value. */
void partition_set_wait_reason(struct job *job, const char *reason);

/* Command that may be sent for a job now. */
enum job_command {
	COMMAND_NONE,
	COMMAND_START,
	COMMAND_STOP
};

/*
 * Returns the command to send for the job now and records it as sent. The same
 * command is returned again only after COMMAND_RESEND_MS. A start is sent to
 * one incarnation of the agent only: a later one may belong to a replacement
 * of a VM on which the run was already active. For the same reason the start
 * of an inherited run is never sent again.
 *
 * incarnation	hash of the agent's incarnation
 */
#define COMMAND_RESEND_MS 1000
enum job_command partition_next_command(const struct partition *partition,
					struct job *job, uint64_t incarnation,
					struct mstime now);

/*
 * Limits for failed runs; lost runs do not count. Agents are given as
 * hash_str() of their ids.
 */
struct job_retry_policy {
	uint32_t failed_agents_max;    /* at which a job may fail */
	const uint64_t *faulty_agents; /* of faulty workers, not counted */
	size_t faulty_agent_count;
};

enum task_effect {
	EFFECT_NONE,	/* no change, or the run has ended before */
	EFFECT_STALE,	/* not the current run: tell the agent to stop it */
	EFFECT_RUNNING, /* the run has become known as running */
	EFFECT_DONE,
	EFFECT_REQUEUED, /* stopped with a checkpoint; queued again */
	EFFECT_RETRY,	 /* failed or lost; queued again */
	EFFECT_FAILED,	 /* failed or lost; the limit is reached */
	EFFECT_REFUSED,	 /* never started; queued again */
	EFFECT_CANCELLED
};

/* Applies the status of one task in a report from agent. */
enum task_effect partition_apply_report(struct partition *partition,
					const char *agent,
					const struct task_status *status,
					const struct job_retry_policy *policy,
					struct mstime now);

/*
 * Tells when the agent may forget the end of a run that it has reported.
 *
 * RETURN VALUE
 *	The version that must be committed first; 0 for a run that has not
 *	ended or whose job is not known any more. UINT64_MAX for a run that a
 *	later owner must have created, whose end this copy cannot record.
 */
uint64_t partition_end_version(const struct partition *partition,
			       const struct task_status *status);

/* The job's run is proved to have stopped, without a report of its end. */
enum task_effect partition_run_lost(struct partition *partition,
				    struct job *job, const char *reason,
				    struct mstime now);

/*
 * Removes jobs that ended at least keep_ms ago, and the oldest ended jobs until
 * at most keep_count are left. A job is kept while its key may still be in the
 * inbox, so that it is never submitted twice.
 */
void partition_expire(struct partition *partition, int64_t keep_ms,
		      uint32_t keep_count, struct mstime now);

static inline int job_ended(const struct job *job)
{
	return job->state >= JOB_DONE;
}

static inline int job_active(const struct job *job)
{
	return job->state >= JOB_STARTING && job->state <= JOB_STOPPING;
}

#endif
