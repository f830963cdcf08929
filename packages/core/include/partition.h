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
 *	The value in the store is the truth; this struct is its owner's copy.
 *	Each change raises version. A command for a job may be sent only after
 *	a commit of a version that includes the job's last change, so that no
 *	agent acts on a state that a later owner would not find. A new run is
 *	created only from JOB_QUEUED, and a job returns to JOB_QUEUED only
 *	when its run is proved stopped.
 */
enum job_state {
	JOB_QUEUED,
	JOB_STARTING, /* a run exists; not yet reported as running */
	JOB_RUNNING,
	JOB_STOPPING, /* until the run is proved stopped */
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
/* A job that fails wherever it runs ends even if workers are ejected. */
#define JOB_FAILED_RUNS_MAX 20

/*
 * A run that is lost with its VM is no failure of the job, unless the job takes
 * its worker down each time. A run counts as lost early when the last report
 * that listed it came within JOB_EARLY_LOSS_MS of its start: a minute covers
 * the start and, with the default lease, the 22 s after which an agent reports
 * a run of a dead worker as lost. More than JOB_EARLY_LOSSES_MAX such runs
 * without a longer one between them end the job. 360 lost VMs of 20,000 a day
 * are 1 loss in 80,000 within a minute, so only a fault that hits many VMs at
 * once makes even two of them likely; each costs a worker, so the bound is
 * small.
 */
#define JOB_EARLY_LOSS_MS (60 * 1000)
#define JOB_EARLY_LOSSES_MAX 4

struct job {
	struct list node; /* of partition.jobs, in order of arrival */
	struct job *hash_next;
	char id[ID_SIZE];
	char team[ID_SIZE];
	char *command;
	struct resources declared;
	int urgent;

	enum job_state state;
	enum stop_mode stop;	   /* while JOB_STOPPING */
	uint64_t arrival_order;	   /* of arrival */
	uint64_t run;		   /* current or last run; 0 before the first */
	char agent[ID_SIZE];	   /* of the current or last run */
	struct resources reserved; /* reserved by the current run */
	char checkpoint[JOB_CHECKPOINT_SIZE];
	char reason[JOB_REASON_SIZE]; /* why it is in its state */
	uint64_t failed_agents[JOB_FAILED_AGENTS_MAX]; /* hashes of agents where
							  it failed */
	uint32_t failed_agent_count;
	uint32_t failed_runs;  /* failed runs */
	uint32_t early_losses; /* in a row; see JOB_EARLY_LOSS_MS */
	uint32_t evictions;
	int evicted; /* evicted_at is set */
	struct mstime submitted_at;
	struct mstime started_at; /* of the current or last run */
	struct mstime evicted_at;
	struct mstime ended_at;

	/* Not part of the value. */
	uint64_t version;	     /* of its last change */
	size_t bytes;		     /* upper bound of its size in the value */
	int inherited;		     /* its run is of an earlier epoch */
	int start_sent;		     /* a start may have left its owner */
	uint64_t start_incarnation;  /* incarnation that got it, as a hash */
	struct mstime start_sent_at; /* last start sent, or the takeover */
	uint64_t commanded_version;  /* version of the last command */
	struct mstime commanded_at;
	struct mstime listed_at; /* last report that listed it as alive */
	int listed;
	struct mstime checkpointed_at;	/* last new checkpoint, or the start */
	struct resources used;		/* as last reported */
	struct resources peak;		/* of the current run */
	struct resources recorded_peak; /* peak that the estimates know */
	uint64_t avoided_agent;		/* hash of an agent that refused it */
	struct mstime avoid_until;
	uint64_t held_agent; /* hash of an agent whose room is kept for it, or 0
			      */
	uint64_t inbox_listing; /* last listing with its inbox key */
};

#define PARTITION_BUCKETS 4096

struct partition {
	uint32_t number;
	uint64_t epoch;
	uint64_t log_seq;	 /* of the last log entry known to be stored */
	int64_t holdover_ms;	 /* see owner_lease_holdover() */
	char writer_token[160];	 /* writer of the value or entry decoded last */
	int64_t writer_clock_ms; /* clock of that writer when it wrote */

	struct list jobs;
	struct job *buckets[PARTITION_BUCKETS];
	uint32_t counts[JOB_STATE_COUNT];
	uint64_t next_arrival_order;
	uint64_t version;	    /* of the last change */
	uint64_t committed_version; /* version that is known to be in the store
				     */
	struct list removed;	 /* jobs forgotten since, for the next delta */
	size_t bytes;		 /* upper bound of the value's size */
	uint64_t inbox_listings; /* complete listings of the inbox so far */
};

/*
 * The value must fit into the store with its growth while jobs run. A log
 * entry has the same bound.
 */
#define PARTITION_VALUE_MAX_BYTES (1024 * 1024)
#define PARTITION_SUBMIT_MAX_BYTES (768 * 1024)

struct partition *partition_new(uint32_t number);
void partition_delete(struct partition *partition);

/*
 * Serializes the partition as of version, as a snapshot that includes the log
 * up to seq.
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
 * Fills an empty partition. Runs in it count as inherited.
 *
 * ERRORS
 *	ERR_MALFORMED	not a value of this format
 */
int partition_decode(struct partition *partition, const void *data, size_t len,
		     struct mstime now);

/*
 * Serializes the changes since the last known commit as log entry seq + 1.
 * Encoding changes nothing, so a commit that failed is encoded again with the
 * changes made meanwhile.
 *
 * RETURN VALUE
 *	As partition_encode().
 */
int partition_encode_delta(const struct partition *partition,
			   const char *writer, struct mstime now, char **data,
			   size_t *len);

/*
 * Applies the next log entry to a partition that was decoded at the same time
 * now. After ERR_MALFORMED the partition is of no use.
 *
 * ERRORS
 *	ERR_INVALID	not the next entry: of another partition or epoch, or
 *			a gap; nothing was changed
 *	ERR_MALFORMED	not an entry of this format, or one that does not fit
 */
int partition_apply_delta(struct partition *partition, const void *data,
			  size_t len, struct mstime now);

/*
 * Reads the head of a value or log entry, to settle a commit without an
 * answer.
 *
 * RETURN VALUE
 *	1 if it was written by writer, and *version is what it holds;
 *	0 if by another; ERR_MALFORMED.
 */
int partition_written_by(const void *data, size_t len, const char *writer,
			 uint64_t *epoch, uint64_t *seq, uint64_t *version);

/* A commit of version has taken effect; changes made later are pending. */
void partition_mark_committed(struct partition *partition, uint64_t version);

static inline int partition_dirty(const struct partition *partition)
{
	return partition->version > partition->committed_version;
}

struct job *partition_find(const struct partition *partition, const char *id);

/* Marks a change that is not one of a single job, such as a takeover. */
void partition_touch(struct partition *partition);

/*
 * Takes a submitted job.
 *
 * ERRORS
 *	ERR_EXISTS	a job of this id is known, whatever its state
 *	ERR_FULL	the value would become too large; try again later
 */
int partition_submit(struct partition *partition, const struct job_spec *spec,
		     struct mstime now);

/*
 * Cancels a job. One that has ended stays as it is.
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
 * Wants the current run stopped with a checkpoint. A run whose start has
 * not been sent ends at once.
 *
 * ERRORS
 *	ERR_INVALID	the job has no run, or it is stopping already
 */
int partition_evict_run(struct partition *partition, struct job *job,
			const char *reason, struct mstime now);

/* A queued job can never run. */
void partition_mark_impossible(struct partition *partition, struct job *job,
			       const char *reason, struct mstime now);

/* Keeps the reason why a queued job waits; it is not part of the value. */
void partition_set_wait_reason(struct job *job, const char *reason);

/* What may be sent for a job now. */
enum job_command {
	COMMAND_NONE,
	COMMAND_START,
	COMMAND_STOP
};

/*
 * Records that the command leaves the process now. The same command is given
 * again only after COMMAND_RESEND_MS. A start goes to one incarnation of the
 * agent only: a later one may stand for a replaced VM at which the run has
 * worked already. For the same reason the start of an inherited run is never
 * sent again.
 *
 * peer		hash of the agent's incarnation
 */
#define COMMAND_RESEND_MS 1000
enum job_command partition_next_command(const struct partition *partition,
					struct job *job, uint64_t peer,
					struct mstime now);

/*
 * Bounds for failed runs; lost ones are no tries. Agents are given as
 * hash_str() of their id.
 */
struct job_retry_policy {
	uint32_t failed_agents_max; /* different workers */
	const uint64_t
		*faulty_agents; /* workers at fault; not counted as tries */
	size_t faulty_agent_count;
};

enum task_effect {
	EFFECT_NONE,	/* nothing new, or about a run that has ended */
	EFFECT_STALE,	/* a run that must not run: tell the agent to stop */
	EFFECT_RUNNING, /* now known to run */
	EFFECT_DONE,
	EFFECT_REQUEUED, /* stopped with a checkpoint; waits again */
	EFFECT_RETRY,	 /* failed or lost; waits again */
	EFFECT_FAILED,	 /* failed or lost for the last time */
	EFFECT_REFUSED,	 /* never started; waits again */
	EFFECT_CANCELLED
};

/* Takes one task of a report of agent. */
enum task_effect partition_apply_report(struct partition *partition,
					const char *agent,
					const struct task_status *status,
					const struct job_retry_policy *policy,
					struct mstime now);

/*
 * When the agent may forget the end of a run that a report gave.
 *
 * RETURN VALUE
 *	The version whose commit records it; 0 for a run that has not ended or
 *	is over anyway. UINT64_MAX for a run that a later owner must have
 *	created, which this copy cannot record.
 */
uint64_t partition_end_version(const struct partition *partition,
			       const struct task_status *status);

/* The job's run is proved stopped without a report of its end. */
enum task_effect partition_run_lost(struct partition *partition,
				    struct job *job, const char *reason,
				    struct mstime now);

/*
 * Forgets jobs that ended more than keep_ms ago, then the oldest ended ones
 * until at most keep_count are left. A job stays while a key of it may still
 * be in the inbox, so that it is never taken twice.
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
