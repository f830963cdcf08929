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
#define OWNER_COMMIT_INTERVAL_MS 1000 /* at most one group commit a second */
#define OWNER_SCAN_INTERVAL_MS 2000   /* between reads of own/ */
#define OWNER_INVALID_RETRY_MS 5000   /* until an invalid value is read again */
#define OWNER_ENTRIES_MAX 512
#define OWNER_LIST_MAX 4096
/*
 * Inbox items handled in one turn of the event loop; keeps a turn with 10,000
 * cancellations far below 50 ms.
 */
#define OWNER_INBOX_BATCH_MAX 200
#define OWNER_DELETES_MAX 16 /* inbox keys that are deleted concurrently */
#define OWNER_ENDED_JOB_RETENTION_MS (3600 * 1000)
#define OWNER_ENDED_JOBS_MAX 500
/*
 * After this time an acknowledgement extends grants even though the store has
 * not accepted the ends of runs that the agent reported.
 */
#define OWNER_ACK_COMMIT_WAIT_MS 3000
/* Time after which a new process knows all ready agents. */
#define OWNER_AGENT_DISCOVERY_MS 5000
/* Delay until another attempt after a failed call of the store. */
#define OWNER_STORE_RETRY_MS 1000

/* An agent as the owner of one partition knows it. */
struct owner_agent {
	struct list node;
	char agent_id[ID_SIZE];
	char peer[2 * ID_SIZE];
	uint64_t report_seq; /* of the latest report from peer */
	struct agent_contact contact;
	struct mstime epoch_confirmed_at;
	int ack_pending;
	uint64_t ack_after_version; /* to be committed first */
	/* Since unrecorded_at, ends that it reported wait for a commit. */
	int has_unrecorded_ends;
	struct mstime unrecorded_at;
	char extended_peer[2 * ID_SIZE]; /* incarnation last extended */
	struct mstime owner_sent_at;	 /* last OWNER sent by the tick */
};

struct owner_inbox_item {
	char job[ID_SIZE];
	int is_cancel;
	int is_applied; /* its effect is in the partition */
	int64_t revision;
	uint64_t applied_version; /* commit it before deleting the key */
	char *json;
	size_t json_len;
};

enum owner_slot_state {
	SLOT_FREE,    /* owned by another entry or by none */
	SLOT_LOADING, /* reads part/N, claims own/N, commits the new epoch */
	SLOT_OWNED
};

enum owner_commit_state {
	COMMIT_IDLE,
	COMMIT_IN_FLIGHT,
	COMMIT_OUTCOME_UNKNOWN, /* to be read back */
	COMMIT_READING_BACK
};

/* One partition as this entry knows it, whoever owns it. */
struct owner_slot {
	struct owner *owner;
	uint32_t number;
	enum owner_slot_state state;
	uint64_t generation; /* raised by a release; older calls are ignored */

	int own_key_absent; /* own/N did not exist at own_key_absent_at */
	struct mstime own_key_absent_at;
	char own_key_holder[ID_SIZE]; /* entry in own/N at the last scan */
	int own_key_held;	      /* own/N names this process */
	int64_t own_key_lease;	      /* store lease of own/N */
	/* Response to the last claim; scans begun earlier are out of date. */
	struct mstime claim_response_at;
	struct mstime retry_at; /* earliest next attempt to take over */

	struct partition *partition;
	struct partstore_state stored; /* as last known */
	struct owner_lease lease;
	struct list agents;
	enum owner_commit_state commit_state;
	uint64_t commit_version;
	int64_t commit_holdover_ms;
	int commit_is_snapshot; /* it writes a snapshot, not a log entry */
	size_t commit_bytes;
	struct mstime commit_started_at;
	int commit_immediately; /* without OWNER_COMMIT_INTERVAL_MS */
	int must_reclaim;	/* own/N is lost; write it again */
	/*
	 * own/N was lost at own_key_lost_at. Another owner may have held the
	 * partition in between, so lease renewals count again only after a
	 * commit that began later has taken effect.
	 */
	int ownership_unconfirmed;
	struct mstime own_key_lost_at;

	struct owner_inbox_item *inbox;
	size_t inbox_count;
	size_t inbox_next_item;	  /* first item that was not processed */
	size_t inbox_next_delete; /* first item not deleted or passed over */
	uint32_t deletes_in_flight;
	int list_in_flight;
	int list_complete;
};

struct worker_index;

struct owner {
	struct daemon *daemon;
	struct transport *transport;
	const struct membership *membership;
	char writer[ID_SIZE + 24]; /* "ENTRY/INCARNATION" */
	struct owner_slot *slots;
	uint32_t slot_count; /* 0 until the configuration is known */
	int config_known;
	int config_read_in_flight;
	struct list store_calls;
	char (*entry_ids)[ID_SIZE];
	size_t entry_count;
	int entries_known;
	struct mstime started_at, last_scan_at;
	int scan_in_flight;

	int64_t store_lease;		/* 0 for none */
	int lease_call_in_flight;	/* -1 once revoked at the stop */
	struct mstime lease_attempt_at; /* last grant or keepalive sent */
	int in_holdover;		/* the last lease call failed */

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
void owner_log_job_end(const struct owner_slot *slot, const struct job *job);

/*
 * owner_call.c: arguments of store calls, which may end after the partition
 * was released or the owner was deleted.
 */
struct owner_call {
	struct list node;
	struct owner *owner;	 /* NULL after owner_delete() */
	struct owner_slot *slot; /* NULL for calls that concern no partition */
	uint64_t generation;	 /* of the slot when the call started */
	struct mstime started_at;
	int64_t number; /* for the function that starts the call */
	void *arg;	/* likewise */
};
struct owner_call *owner_call_new(struct owner *owner, struct owner_slot *slot);
/*
 * Removes the call from its list and frees it.
 *
 * RETURN VALUE
 *	1 if the owner still exists and the slot was not released since the
 *	call started; *copy then holds the call.
 */
int owner_call_end(void *arg, struct owner_call *copy);
void owner_calls_detach(struct owner *owner);

/* owner_store.c: slots, lease at the store, scan of own/ */
void owner_store_tick(struct owner *owner);
void owner_slots_resize(struct owner *owner);
void owner_slots_free(struct owner *owner);
void owner_slot_release(struct owner_slot *slot);
void owner_slot_own_key_lost(struct owner_slot *slot);

/*
 * own/N names this process again. Another owner may have changed the partition
 * in between; only a commit can tell, so it requests one at once.
 */
void owner_slot_reclaimed(struct owner_slot *slot);
void owner_slot_fenced(struct owner_slot *slot, uint64_t epoch);
const char *owner_format_key(char *key, size_t size, const char *prefix,
			     uint32_t number);

/* owner_takeover.c: load, claim, new epoch */
void owner_takeover_tick(struct owner_slot *slot, struct mstime now);
/*
 * The commit of the new epoch took effect, or it conflicted with a later write
 * of the previous owner, so that the takeover starts over.
 */
void owner_takeover_done(struct owner_slot *slot);
void owner_takeover_restart(struct owner_slot *slot);

/* owner_commit.c: group commits, to the log of part/N or as a snapshot */
void owner_commit_tick(struct owner_slot *slot);
void owner_commit_now(struct owner_slot *slot);

/* owner_inbox.c: submitted jobs and cancellations */
void owner_inbox_tick(struct owner_slot *slot);
/* RETURN VALUE: 1 if items are left for another call. */
int owner_inbox_process_batch(struct owner_slot *slot);
void owner_inbox_clear(struct owner_slot *slot);
/* RETURN VALUE: 1 if the inbox was listed and all its items were processed. */
int owner_inbox_caught_up(const struct owner_slot *slot);

/* owner_agents.c: reports, grants, commands and silent agents */
/* RETURN VALUE: the slot's data on the agent, created if there is none. */
struct owner_agent *owner_agent_get(struct owner_slot *slot, const char *agent);
void owner_agents_free(struct owner_slot *slot);
void owner_send_epoch_to_agents(struct owner_slot *slot);
void owner_agents_tick(struct owner_slot *slot);
void owner_agents_on_commit(struct owner_slot *slot);

/* owner_workers.c: index of the agents and their load, for the placement */
struct worker_index *worker_index_new(void);
void worker_index_delete(struct worker_index *index);
void worker_index_build(struct worker_index *index, struct owner *owner);
struct worker_view *worker_index_views(struct worker_index *index,
				       size_t *count);
/* RETURN VALUE: index of the agent's view, or -1. */
int worker_index_find(const struct worker_index *index, const char *agent);
const struct member *worker_index_member(const struct worker_index *index,
					 int i);
/*
 * RETURN VALUE: number of the team's runs by domain, or NULL if it has none;
 * *count is the number of domains.
 */
const uint32_t *worker_index_team_tasks(struct worker_index *index,
					const char *team, uint32_t *count);
void worker_index_reserve(struct worker_index *index, int i,
			  const struct resources *amount);
void worker_index_add_task(struct worker_index *index, int i, const char *team);

/* owner_schedule.c: placement, evictions, drains */
void owner_schedule(struct owner *owner);
void owner_retry_policy(struct owner *owner, struct job_retry_policy *policy);

/* owner_counters.c */
enum owner_counter {
	OWNER_JOBS, /* the first of JOB_STATE_COUNT gauges */
	OWNER_STARTS = OWNER_JOBS + JOB_STATE_COUNT,
	OWNER_EVICTIONS,
	OWNER_LOST_RUNS,
	OWNER_FAILED_RUNS,
	OWNER_COMMITS,
	OWNER_COMMIT_BYTES,
	OWNER_SNAPSHOTS,
	OWNER_CONFLICTS,
	OWNER_COMMIT_READ_BACKS,
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
