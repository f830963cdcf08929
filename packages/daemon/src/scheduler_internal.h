#ifndef CATKINHILL_SCHEDULER_INTERNAL_H
#define CATKINHILL_SCHEDULER_INTERNAL_H

#include <jansson.h>

#include "counters.h"
#include "dispatch.h"
#include "election.h"
#include "follow.h"
#include "jobstore.h"
#include "list.h"
#include "queues.h"
#include "scheduler.h"
#include "transport.h"

/*
 * NAME
 *	scheduler_internal - what the sources of the scheduler share
 */

/* Workflows of one commit: a comparison and a put for each, and the key. */
#define COMMIT_WORKFLOWS 15

/* Final workflows of one removal: three records each, and the key. */
#define REMOVE_WORKFLOWS 10

struct runner_link {
	struct list node;
	struct scheduler *scheduler;
	char runner[ID_SIZE];
	char address[ID_SIZE];
	struct transport *transport;
	struct mstime heard_at;
	struct mstime hello_at;
	int is_silent;
};

struct commit_entry {
	struct workflow *workflow;
	uint64_t version;
	char key[JOB_KEY_SIZE];
	char *value;
	size_t len;
};

struct commit {
	struct commit_entry entries[COMMIT_WORKFLOWS];
	size_t count;
	struct mstime started;
	int attempts;
	int is_open; /* no answer yet, or none that settles it */
	struct loop_timer *retry;
};

struct scheduler {
	struct daemon *daemon;
	struct kv *kv;
	struct election *election;
	char id[ID_SIZE];
	struct scheduler *self; /* names calls that are not commits */

	/* Of the current term; NULL or zero without the election. */
	int64_t epoch;
	struct dispatch *dispatch;
	int is_loaded; /* submitted workflows and their states are known */
	struct follow *submitted;
	struct follow *nodes;
	struct queues *queues;
	struct list links;
	struct commit commit;
	json_t *states; /* key -> {value, revision}, until loaded */

	struct loop_timer *tick;
	struct loop_timer *pump;
	struct loop_timer *load_retry;
	int pump_is_set;
	struct mstime committed_at;
	struct mstime pending_at;
	char *pending_text;
	int pending_is_open;
	char removal[REMOVE_WORKFLOWS][JOB_ID_SIZE]; /* in progress */
	size_t removal_count;

	struct counter commits, commits_failed, assigned, lost;
	struct histogram commit_ms, job_ms;
};

/* Runs the scheduler soon: assigns, commits and sends. */
void scheduler_wake(struct scheduler *scheduler);

/* Starts a commit if something has changed and none is in progress. */
void scheduler_commit(struct scheduler *scheduler, struct mstime now);
void scheduler_commit_init(struct scheduler *scheduler);
void scheduler_commit_stop(struct scheduler *scheduler);

/* Publishes the number of pending workflows, at most once a second. */
void scheduler_publish_pending(struct scheduler *scheduler, struct mstime now);

/* Removes the records of workflows that ended long ago. */
void scheduler_remove_old(struct scheduler *scheduler, struct mstime now);

/* Connections to runners. */
void scheduler_links_start(struct scheduler *scheduler);
void scheduler_links_stop(struct scheduler *scheduler);
void scheduler_links_send(struct scheduler *scheduler, struct mstime now);

/* Loads states, then follows submitted workflows and the configuration. */
void scheduler_load_start(struct scheduler *scheduler);
void scheduler_load_stop(struct scheduler *scheduler);

#endif
