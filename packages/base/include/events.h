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
	EV_ATTEMPT_REFUSED = 1004,
	EV_ANSWER_CUT = 1005,
	EV_UPSTREAM_EJECTED = 1006,
	EV_UPSTREAM_RETURNED = 1007,
	EV_MEMBER_CHANGED = 1008,
	EV_STREAM_MOVED = 1009,
	EV_STREAM_MOVE_FAILED = 1010,
	EV_DIRECTORY_CHANGED = 1011,
	EV_ENTRY_REGISTERED = 1012,
	EV_ENTRY_LEASE_LOST = 1013,
	EV_ENTRY_STOPPED = 1014,

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
	EV_TASK_THROTTLED = 2030,
	EV_TASK_INTERFERES = 2031,
	EV_TASK_MAKES_ROOM = 2032,

	/* 3000: batch */
	EV_JOB_PLACED = 3001,
	EV_JOB_TAKEN = 3002,
	EV_JOB_RUNNING = 3003,
	EV_JOB_EVICTED = 3004,
	EV_JOB_REQUEUED = 3005,
	EV_JOB_ENDED = 3006,
	EV_RUN_LOST = 3007,
	EV_RUN_STALE = 3008,
	EV_WORKER_EJECTED = 3009,
	EV_PARTITION_TAKEN = 3010,
	EV_PARTITION_FENCED = 3011,
	EV_PARTITION_RELEASED = 3012,
	EV_PARTITION_INVALID = 3013,
	EV_COMMIT_UNSETTLED = 3014,
	EV_HOLDOVER = 3015,
	EV_INBOX_INVALID = 3016,
	EV_PARTITION_SNAPSHOT = 3017,

	/* 4000: operators and configuration */
	EV_CONFIG_APPLIED = 4001,
	EV_CONFIG_REJECTED = 4002,
	EV_CONFIG_WRITTEN = 4003,
	EV_CONFIG_UNKNOWN = 4004,
	EV_CONFIG_FOLLOW_LOST = 4005,
	EV_PLAN_MADE = 4101,
	EV_PLAN_REFUSED = 4102,
	EV_PLAN_CONFIRMED = 4103,
	EV_CONFIRM_REFUSED = 4104,
	EV_CONFIRM_UNKNOWN = 4105,

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
