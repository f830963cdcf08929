#include "events.h"

static const struct event_info table[] = {
	/* 1000: entry and routing */
	{ EV_ROUTE_CHOSEN, LOG_INFO, "route-chosen",
	  "An upstream was chosen for an attempt of a request." },
	{ EV_ROUTE_NONE, LOG_WARN, "route-none",
	  "No upstream could be chosen for a request." },
	{ EV_REQUEST_DONE, LOG_INFO, "request-done",
	  "A request was answered; the outcome is given." },
	{ EV_ATTEMPT_REFUSED, LOG_INFO, "attempt-refused",
	  "An agent proved that an attempt was not run." },
	{ EV_ANSWER_CUT, LOG_WARN, "answer-cut",
	  "An answer in progress was ended as truncated." },
	{ EV_UPSTREAM_EJECTED, LOG_WARN, "upstream-ejected",
	  "A failing upstream was taken out of rotation." },
	{ EV_UPSTREAM_RETURNED, LOG_INFO, "upstream-returned",
	  "A probe succeeded and the upstream is back in rotation." },
	{ EV_MEMBER_CHANGED, LOG_INFO, "member-changed",
	  "An agent joined, restarted or changed its state." },
	{ EV_STREAM_MOVED, LOG_INFO, "stream-moved",
	  "An event stream was handed over to another upstream." },
	{ EV_STREAM_MOVE_FAILED, LOG_WARN, "stream-move-failed",
	  "An event stream could not be handed over." },
	{ EV_DIRECTORY_CHANGED, LOG_INFO, "directory-changed",
	  "The set of known entries has changed." },
	{ EV_ENTRY_REGISTERED, LOG_INFO, "entry-registered",
	  "The entry is registered in the store." },
	{ EV_ENTRY_LEASE_LOST, LOG_WARN, "entry-lease-lost",
	  "The lease of the registration has expired." },
	{ EV_ENTRY_STOPPED, LOG_INFO, "entry-stopped",
	  "The graceful stop is complete or its bound has passed." },

	/* 2000: agent */
	{ EV_AGENT_READY, LOG_INFO, "agent-ready",
	  "The agent knows its worker's state and accepts work." },
	{ EV_AGENT_NOT_READY, LOG_WARN, "agent-not-ready",
	  "The agent accepts no work; the reason is given." },
	{ EV_AGENT_LEAVING, LOG_INFO, "agent-leaving",
	  "The agent announces that it takes no new work." },
	{ EV_AGENT_GATE_CLOSED, LOG_INFO, "agent-gate-closed",
	  "The gate refuses new work and ends streams as moved." },
	{ EV_AGENT_LINK_UP, LOG_INFO, "agent-link-up",
	  "An entry has answered for the first time or again." },
	{ EV_AGENT_LINK_SILENT, LOG_WARN, "agent-link-silent",
	  "An entry is silent; its requests in progress are cancelled." },
	{ EV_AGENT_REQUEST_REFUSED, LOG_INFO, "agent-request-refused",
	  "A request was not run; the reason is given." },
	{ EV_AGENT_REQUEST_ENDED, LOG_DEBUG, "agent-request-ended",
	  "A request was answered by the upstream." },
	{ EV_AGENT_REQUEST_CUT, LOG_WARN, "agent-request-cut",
	  "A request ended without a whole answer; the reason is given." },
	{ EV_TASK_ACCEPTED, LOG_INFO, "task-accepted",
	  "A run has room, or a claim to it, and waits for its owner's "
	  "grant." },
	{ EV_TASK_REFUSED, LOG_WARN, "task-refused",
	  "A run was not started; the reason is given." },
	{ EV_TASK_FENCED, LOG_WARN, "task-fenced",
	  "A task command of an old epoch or run was refused." },
	{ EV_TASK_STARTED, LOG_INFO, "task-started",
	  "The worker has started a run." },
	{ EV_TASK_ADOPTED, LOG_INFO, "task-adopted",
	  "A run was found at the worker and waits for a grant." },
	{ EV_TASK_STOPPING, LOG_INFO, "task-stopping",
	  "A run is being stopped; the reason is given." },
	{ EV_TASK_ENDED, LOG_INFO, "task-ended",
	  "A run has ended; its final state and the reason are given." },
	{ EV_TASK_CALL_FAILED, LOG_WARN, "task-call-failed",
	  "A call of the worker's task interface failed." },
	{ EV_TASK_OWNER, LOG_INFO, "task-owner",
	  "A partition has a new owner or epoch." },
	{ EV_WORKER_OVER, LOG_WARN, "worker-over",
	  "Observed usage raises the reservations above the capacity." },
	{ EV_TASK_THROTTLED, LOG_INFO, "task-throttled",
	  "The speed of a task was changed to protect the service or the "
	  "worker." },
	{ EV_TASK_INTERFERES, LOG_WARN, "task-interferes",
	  "A task is evicted because a throttle does not protect the service "
	  "or the worker from it." },
	{ EV_TASK_MAKES_ROOM, LOG_INFO, "task-makes-room",
	  "A run is stopped with a checkpoint to make room for an urgent "
	  "run." },

	/* 3000: batch */
	{ EV_JOB_PLACED, LOG_INFO, "job-placed",
	  "A worker was chosen for a run of a batch job." },
	{ EV_JOB_TAKEN, LOG_INFO, "job-taken",
	  "A submitted job or a cancellation was taken from the inbox." },
	{ EV_JOB_RUNNING, LOG_INFO, "job-running",
	  "An agent reported a run of a batch job as running." },
	{ EV_JOB_EVICTED, LOG_INFO, "job-evicted",
	  "A run is stopped with a checkpoint because its worker is drained or "
	  "leaving." },
	{ EV_JOB_REQUEUED, LOG_INFO, "job-requeued",
	  "A run was stopped or refused; the job waits to resume." },
	{ EV_JOB_ENDED, LOG_INFO, "job-ended",
	  "A batch job is done, failed, cancelled or impossible." },
	{ EV_RUN_LOST, LOG_WARN, "run-lost",
	  "A run failed, or it counts as stopped because it was not heard "
	  "of." },
	{ EV_RUN_STALE, LOG_WARN, "run-stale",
	  "An agent reported a run that must not run; it is told to stop." },
	{ EV_WORKER_EJECTED, LOG_WARN, "worker-ejected",
	  "A worker fails every task and gets no batch work for a while." },
	{ EV_PARTITION_TAKEN, LOG_INFO, "partition-taken",
	  "This entry owns a batch partition under a new epoch." },
	{ EV_PARTITION_FENCED, LOG_WARN, "partition-fenced",
	  "Another entry owns the partition; this one gave it up." },
	{ EV_PARTITION_RELEASED, LOG_INFO, "partition-released",
	  "This entry gave up a partition for a graceful stop." },
	{ EV_PARTITION_INVALID, LOG_ERROR, "partition-invalid",
	  "The value of a partition in the store cannot be used." },
	{ EV_COMMIT_UNSETTLED, LOG_WARN, "commit-unsettled",
	  "The outcome of a commit is not known; the value is read back." },
	{ EV_HOLDOVER, LOG_WARN, "holdover",
	  "Ownership cannot be renewed at the store, or can be again." },
	{ EV_INBOX_INVALID, LOG_ERROR, "inbox-invalid",
	  "A submitted job cannot be understood and was removed." },
	{ EV_PARTITION_SNAPSHOT, LOG_DEBUG, "partition-snapshot",
	  "A snapshot of a partition was written in place of its log." },

	/* 4000: operators and configuration */
	{ EV_CONFIG_APPLIED, LOG_INFO, "config-applied",
	  "A newer configuration version is in force in this process." },
	{ EV_CONFIG_REJECTED, LOG_ERROR, "config-rejected",
	  "A configuration value cannot be used; the last one stays." },
	{ EV_CONFIG_WRITTEN, LOG_INFO, "config-written",
	  "This entry wrote a new configuration version to the store." },
	{ EV_CONFIG_UNKNOWN, LOG_ERROR, "config-unknown",
	  "The store did not tell whether a configuration was written." },
	{ EV_CONFIG_FOLLOW_LOST, LOG_WARN, "config-follow-lost",
	  "The watch or read of the configuration failed; it is retried." },
	{ EV_PLAN_MADE, LOG_INFO, "plan-made",
	  "A plan was made for an intent; nothing is changed." },
	{ EV_PLAN_REFUSED, LOG_INFO, "plan-refused",
	  "No plan was made for an intent; the reason is given." },
	{ EV_PLAN_CONFIRMED, LOG_INFO, "plan-confirmed",
	  "A plan was confirmed and is in force or in the inbox." },
	{ EV_CONFIRM_REFUSED, LOG_WARN, "confirm-refused",
	  "A plan was not confirmed; nothing is changed." },
	{ EV_CONFIRM_UNKNOWN, LOG_ERROR, "confirm-unknown",
	  "It is not known whether a confirmed plan took effect." },

	/* 5000: transport and store */
	{ EV_FRAME_DROPPED, LOG_WARN, "frame-dropped",
	  "A frame was malformed, too large or unknown and was dropped." },

	/* 6000: daemon */
	{ EV_DAEMON_START, LOG_INFO, "daemon-start",
	  "The daemon has started and listens." },
	{ EV_DAEMON_STOPPING, LOG_INFO, "daemon-stopping",
	  "A graceful stop has begun." },
	{ EV_DAEMON_STOPPED, LOG_INFO, "daemon-stopped", "The daemon ends." },
	{ EV_SETTINGS_INVALID, LOG_ERROR, "settings-invalid",
	  "The settings file has an error; the daemon does not start." },
	{ EV_LISTEN_FAILED, LOG_ERROR, "listen-failed",
	  "An address cannot be bound; the daemon does not start." },
	{ EV_STOP_OVERDUE, LOG_ERROR, "stop-overdue",
	  "A part missed the bound of the graceful stop; the daemon ends." },
};

#define TABLE_LENGTH (sizeof(table) / sizeof(table[0]))

const struct event_info *event_find(int event)
{
	size_t i;

	for (i = 0; i < TABLE_LENGTH; i++)
		if ((int)table[i].event == event)
			return &table[i];
	return NULL;
}

const struct event_info *event_table(size_t *count)
{
	*count = TABLE_LENGTH;
	return table;
}

const char *log_level_name(enum log_level level)
{
	static const char *const names[] = {
		[LOG_ERROR] = "error",
		[LOG_WARN] = "warn",
		[LOG_INFO] = "info",
		[LOG_DEBUG] = "debug",
	};

	return names[level];
}
