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
