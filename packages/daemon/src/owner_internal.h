#ifndef CATKINHILL_OWNER_INTERNAL_H
#define CATKINHILL_OWNER_INTERNAL_H

#include "estimate.h"
#include "owner.h"
#include "ownerlease.h"
#include "partition.h"
#include "partstore.h"
#include "placement.h"
#include "quota.h"
#include "taskhealth.h"

#define OWNER_TICK_MS 1000
#define OWNER_COMMIT_INTERVAL_MS 1000 /* group commit: at most one a second */
#define OWNER_SCAN_INTERVAL_MS 2000   /* reads of own/ */
#define OWNER_INVALID_RETRY_MS 5000
#define OWNER_ENTRIES_MAX 512
#define OWNER_LIST_MAX 4096
/* Keeps a tick with 10,000 cancellations far below 50 ms. */
#define OWNER_INBOX_BATCH_MAX 200
#define OWNER_DELETES_MAX 16 /* of inbox keys at the same time */
#define OWNER_ENDED_JOB_RETENTION_MS (3600 * 1000)
#define OWNER_ENDED_JOBS_MAX 500
/* An end that the store does not take no longer holds up the grants. */
#define OWNER_ACK_COMMIT_WAIT_MS 3000
/* A new process knows all ready agents after this time. */
#define OWNER_AGENT_DISCOVERY_MS 5000
/* At most so long until another attempt when the store does not answer. */
#define OWNER_STORE_RETRY_MS 1000

struct agent_link {
	struct list node;
	char agent[ID_SIZE];
	char peer[2 * ID_SIZE];
	uint64_t report_seq; /* of the latest report from peer */
	struct agent_contact contact;
	struct mstime epoch_confirmed_at;
	int ack_pending;
	uint64_t ack_after_version; /* that must be committed first */
	int has_unrecorded_ends;    /* since unrecorded_at some ends are not */
	struct mstime unrecorded_at;
	char extended_peer[2 * ID_SIZE]; /* incarnation last extended */
	struct mstime owner_sent_at;	 /* last OWNER sent unasked */
};

struct owner_inbox_item {
	char job[ID_SIZE];
	int is_cancel;
	int is_applied; /* its effect is in the partition */
	int64_t revision;
	uint64_t applied_version; /* that must be committed before it is deleted
				   */
	char *json;
	size_t json_len;
};

enum owner_slot_state {
	SLOT_FREE,    /* owned by another entry or by none */
	SLOT_LOADING, /* reads part/N, claims own/N, commits its epoch */
	SLOT_OWNED
};

enum owner_commit_state {
	COMMIT_IDLE,
	COMMIT_IN_FLIGHT,
	COMMIT_OUTCOME_UNKNOWN, /* to be read back */
	COMMIT_READING_BACK
};

/* One partition as this entry sees it. */
struct slot {
	struct owner *owner;
	uint32_t number;
	enum owner_slot_state state;
	uint64_t generation; /* raised when the partition is given up */

	int own_key_absent; /* own/N did not exist at absent_at */
	struct mstime own_key_absent_at;
	char own_key_holder[ID_SIZE];	 /* owner by the last scan */
	int own_key_held;		 /* own/N is this process's */
	int64_t own_key_lease;		 /* to which own/N is attached */
	struct mstime claim_response_at; /* answer to the last claim; scans
				   before it are out of date */
	struct mstime retry_at; /* earliest next attempt to take over */

	struct partition *partition;
	struct partstore_state stored; /* as last known */
	struct owner_lease lease;
	struct list agents;
	enum owner_commit_state commit_state;
	uint64_t commit_version;
	int64_t commit_holdover_ms;
	int commit_is_snapshot; /* it is a snapshot, not a log entry */
	size_t commit_bytes;
	struct mstime commit_started_at; /* start of the last commit */
	int commit_immediately;		 /* commit at once */
	int must_reclaim;		 /* own/N is lost; write it again */
	/*
	 * own/N was lost at unproved_at. Another owner may have come and gone
	 * since; renewals count again after a commit that began later.
	 */
	int ownership_unconfirmed;
	struct mstime own_key_lost_at;

	struct owner_inbox_item *inbox;
	size_t inbox_count;
	size_t inbox_next_item;	    /* first item that was not looked at */
	size_t inbox_next_delete;   /* first item that is not deleted */
	uint32_t deletes_in_flight; /* in flight */
	int list_in_flight;
	int list_complete;
};

struct worker_index;

struct owner {
	struct daemon *daemon;
	struct transport *transport;
	const struct membership *membership;
	char writer[ID_SIZE + 24]; /* "ENTRY/INCARNATION" */
	struct slot *slots;
	uint32_t slot_count; /* 0 until the configuration is known */
	int config_known;
	int config_read_in_flight;
	struct list store_calls;
	char (*entry_ids)[ID_SIZE];
	size_t entry_count;
	int entries_known;
	struct mstime started_at, last_scan_at;
	int scan_in_flight;

	int64_t store_lease; /* 0 for none */
	int lease_call_in_flight;
	struct mstime lease_attempt_at; /* last attempt */
	int in_holdover;

	struct loop_timer *tick_timer;
	struct loop_timer *inbox_timer;
	int stopping;
	struct mstime stop_deadline;
	stopped_fn on_stopped;
	void *on_stopped_arg;

	struct lease_durations bounds, previous_bounds;
	struct mstime previous_bounds_until;
	struct rng rng;
	struct estimate *estimate;
	struct quota *quota;
	struct taskhealth *health;
	struct worker_index *workers; /* as of the current tick */
	struct owner_counters *counters;
};

/* owner.c */
void owner_tick_soon(struct owner *owner);
struct mstime owner_now(void);
int64_t owner_limit(const struct owner *owner, enum limit_key key);
void owner_log_job_end(const struct slot *slot, const struct job *job);

/*
 * owner_call.c: arguments of store calls, which may end after the partition
 * or the owner is gone.
 */
struct owner_call {
	struct list node;
	struct owner *owner; /* NULL when it is gone */
	struct slot *slot;   /* NULL for calls of the process */
	uint64_t tenure;
	struct mstime started_at;
	int64_t number; /* for the caller's use */
	void *arg;	/* for the caller's use */
};
struct owner_call *owner_call_new(struct owner *owner, struct slot *slot);
/*
 * Takes the call off the list and releases it.
 *
 * RETURN VALUE
 *	1 if the owner exists and the slot was not given up meanwhile; *copy
 *	then holds the call.
 */
int owner_call_end(void *arg, struct owner_call *copy);
void owner_calls_detach(struct owner *owner);

/* owner_store.c: lease, scan of own/, claim and takeover */
void owner_store_tick(struct owner *owner);
void owner_slots_resize(struct owner *owner);
void owner_slots_free(struct owner *owner);
void owner_slot_release(struct slot *slot);
void owner_slot_own_key_lost(struct slot *slot);

/*
 * own/N is this process's again. In between, another owner may have changed
 * the partition, which only a commit finds out.
 */
void owner_slot_reclaimed(struct slot *slot);
void owner_slot_fenced(struct slot *slot, uint64_t epoch);
const char *owner_format_key(char *key, size_t size, const char *prefix,
			     uint32_t number);

/* owner_takeover.c: load, claim, new epoch */
void owner_takeover_tick(struct slot *slot, struct mstime now);
/* The commit of the new epoch took effect, or lost against another value. */
void owner_takeover_done(struct slot *slot);
void owner_takeover_restart(struct slot *slot);

/* owner_commit.c: group commits, to the log of part/N or as a snapshot */
void owner_commit_tick(struct slot *slot);
void owner_commit_now(struct slot *slot);

/* owner_inbox.c: submitted jobs and cancellations */
void owner_inbox_tick(struct slot *slot);
/* RETURN VALUE: 1 if more is left for the next slice. */
int owner_inbox_process_batch(struct slot *slot);
void owner_inbox_clear(struct slot *slot);
/* RETURN VALUE: 1 when nothing submitted is known and not yet taken. */
int owner_inbox_caught_up(const struct slot *slot);

/* owner_agents.c: reports, grants, commands and silent agents */
struct agent_link *owner_agent_get(struct slot *slot, const char *agent);
void owner_agents_free(struct slot *slot);
void owner_send_epoch_to_agents(struct slot *slot);
void owner_agents_tick(struct slot *slot);
void owner_agents_on_commit(struct slot *slot);

/* owner_workers.c: agents as the placement sees them */
struct worker_index *worker_index_new(void);
void worker_index_delete(struct worker_index *index);
void worker_index_build(struct worker_index *index, struct owner *owner);
struct worker_view *worker_index_views(struct worker_index *index,
				       size_t *count);
/* RETURN VALUE: index of the agent's view, or -1. */
int worker_index_find(const struct worker_index *index, const char *agent);
const struct member *worker_index_member(const struct worker_index *index,
					 int i);
/* Counts of a team's runs by domain; *count is the number of domains. */
const uint32_t *worker_index_team_tasks(struct worker_index *index,
					const char *team, uint32_t *count);
void worker_index_reserve(struct worker_index *index, int i,
			  const struct resources *need);
void worker_index_add_task(struct worker_index *index, int i, const char *team);

/* owner_schedule.c: placement, evictions, drains */
void owner_schedule(struct owner *owner);
void owner_retry_policy(struct owner *owner, struct job_retry_policy *policy);

/* owner_counters.c */
enum owner_counter {
	OWNER_JOBS, /* JOB_STATE_COUNT gauges */
	OWNER_STARTS = OWNER_JOBS + JOB_STATE_COUNT,
	OWNER_EVICTIONS,
	OWNER_LOST_RUNS,
	OWNER_FAILED_RUNS,
	OWNER_COMMITS,
	OWNER_COMMIT_BYTES,
	OWNER_SNAPSHOTS,
	OWNER_CONFLICTS,
	OWNER_UNSETTLED,
	OWNER_TAKEOVERS,
	OWNER_FENCED,
	OWNER_STALE_RUNS,
	OWNER_PARTITIONS,
	OWNER_COUNTER_COUNT
};
struct owner_counters *owner_counters_new(struct metric_set *set);
void owner_counters_delete(struct owner_counters *counters);
void owner_counter_increment(struct owner *owner, enum owner_counter counter);
void owner_counter_add(struct owner *owner, enum owner_counter counter,
		       int64_t amount);
void owner_counters_observe_commit(struct owner *owner, int64_t latency_ms);
void owner_counters_update_gauges(struct owner *owner);

/* owner_api.c */
void owner_api_register(struct owner *owner);

#endif
