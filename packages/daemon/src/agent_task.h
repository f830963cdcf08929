#ifndef CATKINHILL_AGENT_TASK_H
#define CATKINHILL_AGENT_TASK_H

#include "agent_state.h"

/*
 * NAME
 *	agent_task - one batch run and its calls to the worker's task interface
 */
#define CHECKPOINT_SIZE 257
#define DETAIL_SIZE 128

/*
 * A worker that does not answer may hold a lease until twice the lease time
 * plus this margin after the last renewal was sent.
 */
#define AGENT_LEASE_MARGIN_MS 2000
/* A start that the worker does not answer is given up after this time. */
#define AGENT_START_TIMEOUT_MS 10000

/*
 * A run whose renewals the worker has not answered for this long is stopped and
 * not renewed any more, so that it ends at the latest when its lease expires.
 */
#define AGENT_RENEW_TIMEOUT_MS 30000

enum agent_stop_kind {
	STOP_NONE,
	STOP_WITH_CHECKPOINT, /* checkpoint and stop in one step */
	STOP_WITHOUT_CHECKPOINT
};

struct agent_task {
	struct list node;
	struct agent *agent;
	struct grant_task grant;
	struct gate_task gate;
	enum task_state state;
	struct resources declared, used;
	char checkpoint[CHECKPOINT_SIZE];
	int has_long_checkpoint; /* which is logged once */
	char detail[DETAIL_SIZE];
	char *command;
	int evictable; /* not urgent; 0 if adopted, as it may be urgent */
	struct mstime protected_until; /* end of the job's eviction pause */
	int adopted;	 /* found at the worker, no command for it yet */
	int starts_sent; /* starts that may have reached the worker */
	int confirmed;
	struct mstime confirmed_at;    /* the worker showed that it runs */
	struct mstime accepted_at;     /* or when its capacity became free */
	struct mstime checkpointed_at; /* accepted, or last checkpoint */
	struct mstime lease_sent_at;   /* last start or renewal */
	struct mstime previous_lease_sent_at; /* the one before it */
	struct mstime lease_answered_at; /* last start or renewal answered */
	enum agent_stop_kind stop_kind;
	const char *stop_reason;
	int stop_commanded; /* by the owner */
	int call_in_flight;
	struct mstime renew_at, retry_at, checkpoint_at;
	uint32_t throttle_percent; /* the lower of owner's and agent's */
	uint32_t throttle_percent_sent;
	uint32_t owner_throttle_percent;
	int throttle_due;
	struct interference_task interference;
	uint64_t list_round;	/* round of the last list that named it */
	uint64_t report_round;	/* last round of reports that listed it */
	uint64_t reported_hash; /* of what that round said, 0 for none */
};

/* Adds a run; its grant is pending and its state TASK_STARTING. */
struct agent_task *agent_task_new(struct agent *agent, uint32_t partition,
				  const char *job, uint64_t run);
void agent_task_delete(struct agent_task *task);

/* RETURN VALUE: the highest run known of the job, or NULL. */
struct agent_task *agent_task_find(const struct agent *agent, const char *job);

/* Records the final state, releases the reservation and reports. */
void agent_task_end(struct agent_task *task, enum task_state state,
		    const char *detail);

/* Begins a stop; one without a checkpoint replaces one with a checkpoint. */
void agent_task_request_stop(struct agent_task *task, enum agent_stop_kind stop,
			     const char *reason);

/* Sets the throttle to percent or to the owner's throttle if that is lower. */
void agent_task_set_throttle(struct agent_task *task, uint32_t percent);

/* Updates the run from its row in the worker's list. */
void agent_task_observe(struct agent_task *task, const struct task_status *row);

/* Starts the next call to the worker that is due; one call at a time. */
void agent_task_step(struct agent_task *task, struct mstime now);

#endif
