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
