#ifndef CATKINHILL_EVENTS_H
#define CATKINHILL_EVENTS_H

#include <stddef.h>

/*
 * NAME
 *	events - the numbered log events
 *
 * NOTES
 *	The table in events.c is the only place where an event is defined;
 *	docs/events.md is checked against it by a test. Numbers are never
 *	reused. Ranges: 1000 entry and routing, 2000 agent, 3000 batch, 4000
 *	operators and configuration, 5000 transport and store, 6000 daemon.
 */
enum log_level {
	LOG_ERROR,
	LOG_WARN,
	LOG_INFO,
	LOG_DEBUG
};

enum event_number {
	/* 1000: entry and routing */
	EV_ROUTE_CHOSEN = 1001,
	EV_ROUTE_NONE = 1002,
	EV_REQUEST_DONE = 1003,

	/* 2000: agent */
	EV_AGENT_READY = 2001,
	EV_AGENT_NOT_READY = 2002,
	EV_AGENT_LEAVING = 2003,
	EV_AGENT_GATE_CLOSED = 2004,
	EV_AGENT_LINK_UP = 2005,
	EV_AGENT_LINK_SILENT = 2006,
	EV_AGENT_REQUEST_REFUSED = 2010,
	EV_AGENT_REQUEST_ENDED = 2011,
	EV_AGENT_REQUEST_CUT = 2012,
	EV_TASK_ACCEPTED = 2020,
	EV_TASK_REFUSED = 2021,
	EV_TASK_FENCED = 2022,
	EV_TASK_STARTED = 2023,
	EV_TASK_ADOPTED = 2024,
	EV_TASK_STOPPING = 2025,
	EV_TASK_ENDED = 2026,
	EV_TASK_CALL_FAILED = 2027,
	EV_TASK_OWNER = 2028,
	EV_WORKER_OVER = 2029,

	/* 3000: batch */
	EV_JOB_PLACED = 3001,

	/* 4000: operators and configuration */
	EV_CONFIG_APPLIED = 4001,

	/* 5000: transport and store */
	EV_FRAME_DROPPED = 5001,

	/* 6000: daemon */
	EV_DAEMON_START = 6001,
	EV_DAEMON_STOPPING = 6002,
	EV_DAEMON_STOPPED = 6003,
	EV_SETTINGS_INVALID = 6004,
	EV_LISTEN_FAILED = 6005,
	EV_STOP_OVERDUE = 6006,
};

struct event_info {
	enum event_number event;
	enum log_level level;
	const char *name;    /* such as route-chosen */
	const char *meaning; /* one sentence for the catalogue */
};

/*
 * RETURN VALUE
 *	The table's row, or NULL for a number that is not in the table.
 */
const struct event_info *event_find(int event);

/* The whole table in ascending order; *count receives its length. */
const struct event_info *event_table(size_t *count);

const char *log_level_name(enum log_level level);

#endif
