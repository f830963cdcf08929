#ifndef CATKINHILL_SCHEDULER_INTERNAL_H
#define CATKINHILL_SCHEDULER_INTERNAL_H

#include <glib.h>
#include <jansson.h>

#include "metrics.h"
#include "dispatch.h"
#include "election.h"
#include "kvwatcher.h"
#include "jobstore.h"
#include "list.h"
#include "queues.h"
#include "scheduler.h"
#include "msglink.h"
#include "outlook.h"

/*
 * NAME
 *	scheduler_internal - declarations shared by the sources of the scheduler
 */

/*
 * Workflows in one commit. Each takes a comparison and a put, and the election
 * key a comparison: 31 operations, within KV_TXN_MAX.
 */
#define COMMIT_WORKFLOWS_MAX 15

/*
 * Final workflows in one removal. Each has three records, and the election key
 * takes a comparison: 31 operations, within KV_TXN_MAX.
 */
#define REMOVE_WORKFLOWS_MAX 10

/* Connection to a runner. */
struct runner_link {
	struct list node;
	struct scheduler *scheduler;
	char runner[ID_SIZE];
	char address[ID_SIZE];
	struct msglink_client *client;
	struct worker *worker; /* in dispatch, of the same term */
	struct mstime last_report_at;
	struct mstime hello_sent_at;
	struct mstime restarted_at;    /* last connection given up as silent */
	int is_silent, is_unreachable; /* as logged */
	int is_gone;		       /* it is not registered any more */
};

struct commit_entry {
	struct workflow *workflow;
	uint64_t version;
	char key[JOBSTORE_KEY_SIZE];
	char *value;
	size_t len;
};

struct commit {
	struct commit_entry entries[COMMIT_WORKFLOWS_MAX];
	size_t count, len; /* entries, and their bytes */
	struct mstime started_at;
	int attempts;
	int in_progress; /* its outcome is not known yet */
	struct loop_timer *retry_timer;
};

/*
 * Jobs beyond those that the scheduler has taken into memory. Their records
 * are in the store; an entry has what is needed to count them and to choose
 * the next one.
 */
struct backlog {
	GHashTable *jobs;   /* struct backlog_job, by id */
	struct list queues; /* struct backlog_queue, by priority */
	struct list aside;  /* jobs that were set aside, the first one first */
	size_t read_count;  /* jobs that are being read */
	size_t read_bytes;  /* of memory that they will take, about */
	struct mstime retry_at;	     /* nothing is read before */
	struct mstime aside_read_at; /* last time that one of them was read */
	int is_full_stored, is_full_sent; /* see FULL_KEY; -1: not known */
	int full_in_flight;
};

/* What gateways are told of the room; see outlook.h. */
struct scheduler_outlook {
	struct outlook_meter meter;
	struct mstime sent_at;
	int is_short_sent, is_short_stored; /* something waits for room */
	int in_flight;
};

struct scheduler {
	struct daemon *daemon;
	struct kv *kv;
	struct election *election;
	char id[ID_SIZE];
	/* Its address is the callback argument of calls other than commits. */
	struct scheduler *self;

	/* Of the current term; NULL or zero while not elected. */
	int64_t epoch;
	struct dispatch *dispatch;
	int is_loaded; /* submitted workflows and their states are known */
	struct kvwatcher *submitted_watcher;
	struct kvwatcher *node_watcher;
	struct queues *queues;
	struct list links;
	struct commit commit;
	struct backlog backlog;
	/* Until loaded: struct stored_state, and the cancelled jobs, by id. */
	GHashTable *stored_states, *cancelled;
	size_t stored_bytes; /* of the texts of states */

	struct loop_timer *tick_timer;
	struct loop_timer *wake_timer;
	struct loop_timer *pass_timer;
	struct loop_timer *load_retry_timer;
	int wake_is_scheduled;
	struct mstime next_pass_at; /* no pass over the workflows before */
	struct mstime tick_due_at;
	int is_behind;
	struct mstime behind_since, late_tick_at;
	struct mstime last_commit_at;
	size_t value_max; /* bytes of a value, and of a commit */
	struct mstime pending_sent_at;
	struct mstime metrics_at;
	char *pending_json;
	uint32_t pending_count; /* workflows in the last text */
	int pending_in_flight;
	char *interference_text; /* as last written; NULL: not yet */
	int interference_is_read, interference_in_flight;
	struct mstime interference_at;
	struct scheduler_outlook outlook;
	char removals[REMOVE_WORKFLOWS_MAX][JOB_ID_SIZE]; /* being removed */
	size_t removal_count;

	struct metric commits, commits_failed, runs_assigned, runs_lost;
	struct metric backlog_count, memory, evacuations;
	struct metric waiting, evaluations, unsaved, idle_ms, look_ms;
	struct metric reservations, reserved_ms;
	struct metric unplaced[PLACEMENT_BLOCK_COUNT];
	char unplaced_labels[PLACEMENT_BLOCK_COUNT][NAME_SIZE];
	struct histogram commit_ms, workflow_ms, pass_ms, lag_ms;
};

/* Registers the metrics; the gauges are those of the last update. */
void scheduler_metrics_init(struct scheduler *scheduler);
void scheduler_metrics_update(struct scheduler *scheduler, struct mstime now);

/* Soon assigns runs, commits changes and sends orders. */
void scheduler_wake(struct scheduler *scheduler);

/* Starts a commit if something has changed and none is in progress. */
void scheduler_commit(struct scheduler *scheduler, struct mstime now);
void scheduler_commit_init(struct scheduler *scheduler);
void scheduler_commit_stop(struct scheduler *scheduler);

/* Publishes the number of pending workflows, at most once a second. */
void scheduler_publish_pending(struct scheduler *scheduler, struct mstime now);

/* Reads, keeps and forgets what is known of images that slow each other. */
void scheduler_interference_start(struct scheduler *scheduler);
void scheduler_interference_write(struct scheduler *scheduler,
				  struct mstime now);
void scheduler_interference_stop(struct scheduler *scheduler);

/*
 * Publishes the outlook, at most once a second and while something waits for
 * room, and counts the work of a run that has ended.
 */
void scheduler_publish_outlook(struct scheduler *scheduler, struct mstime now);
void scheduler_outlook_note_end(struct scheduler *scheduler,
				const struct dispatch_event *event);
void scheduler_outlook_stop(struct scheduler *scheduler);

/* Removes the records of workflows that ended long ago. */
void scheduler_remove_old(struct scheduler *scheduler, struct mstime now);

/*
 * Connections to all registered runners: start, stop, send orders, and greet
 * runners that do not report.
 */
void scheduler_links_start(struct scheduler *scheduler);
void scheduler_links_stop(struct scheduler *scheduler);
void scheduler_links_send(struct scheduler *scheduler);
void scheduler_links_check(struct scheduler *scheduler, struct mstime now);

/*
 * Resigns and leaves for the next scheduler when the leases of all runs end.
 * The record is valid for the next one only: it removes the record before it
 * extends a lease.
 */
void scheduler_handover_write(struct scheduler *scheduler);

/* Applies the record of the last scheduler, if any, then loads the states. */
void scheduler_handover_read(struct scheduler *scheduler);

void scheduler_load_states(struct scheduler *scheduler);

/* Adds a workflow whose record with this revision has been read. */
void scheduler_take_in(struct scheduler *scheduler, struct workflow *workflow,
		       int64_t revision);

/* Whether there is memory for another workflow. */
int scheduler_has_room(const struct scheduler *scheduler);

void scheduler_backlog_start(struct scheduler *scheduler);
void scheduler_backlog_stop(struct scheduler *scheduler);
size_t scheduler_backlog_count(const struct scheduler *scheduler);
int scheduler_backlog_knows(const struct scheduler *scheduler, const char *id);

struct backlog_entry {
	const char *id;
	const struct queue_config *queue;
	size_t bytes;  /* of memory that it will take, about */
	int started;   /* flag: a worker has begun a task */
	int has_state; /* flag: the store has a state of it */
	int is_aside;  /* flag: it was in memory and found no place */
};

/* Copies the entry. */
void scheduler_backlog_add(struct scheduler *scheduler,
			   const struct backlog_entry *entry);

/*
 * queue is set to the name of the job's queue, ID_SIZE bytes at most; NULL:
 *not.
 *
 * RETURN VALUE
 *	Whether the job was there.
 */
int scheduler_backlog_remove(struct scheduler *scheduler, const char *id,
			     char *queue);

/* Takes over the priority of the queue. */
void scheduler_backlog_configure(struct scheduler *scheduler,
				 const struct queue_config *config);

/* Adds the jobs that no worker has begun, by queue. */
void scheduler_backlog_pending(const struct scheduler *scheduler,
			       json_t *counts);

/* Reads in what there is memory for, and refuses submissions beyond a bound. */
void scheduler_backlog_check(struct scheduler *scheduler, struct mstime now);

/* Loads states, then watches submitted workflows and the configuration. */
void scheduler_load_start(struct scheduler *scheduler);
void scheduler_load_stop(struct scheduler *scheduler);

#endif
