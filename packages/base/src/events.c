#include "events.h"

static const struct event_info table[] = {
	/* 1000: entry and routing */
	{ EV_ROUTE_CHOSEN, LOG_INFO, "route-chosen",
	  "An upstream was chosen for an attempt of a request." },
	{ EV_ROUTE_NONE, LOG_WARN, "route-none",
	  "No upstream could be chosen for a request." },
	{ EV_REQUEST_DONE, LOG_INFO, "request-done",
	  "A request was answered; the outcome is given." },

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
	  "A run fits and waits for its owner's grant." },
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

	/* 3000: batch */
	{ EV_JOB_PLACED, LOG_INFO, "job-placed",
	  "A worker was chosen for a run of a batch job." },

	/* 4000: operators and configuration */
	{ EV_CONFIG_APPLIED, LOG_INFO, "config-applied",
	  "A newer configuration version is in force in this process." },

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
