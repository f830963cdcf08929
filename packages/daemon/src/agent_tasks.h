#ifndef CATKINHILL_AGENT_TASKS_H
#define CATKINHILL_AGENT_TASKS_H

#include "agent_state.h"

/*
 * NAME
 *	agent_tasks - batch runs at the worker: commands, grants, reports
 *
 * NOTES
 *	A start command that passes the checks reserves its resources and is
 *	reported as starting; the worker is asked to start it only when the
 *	owner has acked such a report. A stop is repeated until the worker's
 *	answer is known; the run is reported as stopping until then.
 */
#define AGENT_TASK_TICK_MS 200
#define AGENT_LIST_INTERVAL_MS 1000
#define AGENT_REPORT_INTERVAL_MS 1000
#define AGENT_TASK_RETRY_DELAY_MS 500
#define AGENT_TASK_CALL_TIMEOUT_MS 1000
#define AGENT_CHECKPOINT_INTERVAL_MS 10000
/* List calls that fail in a row before the worker counts as down. */
#define AGENT_WORKER_DOWN_FAILURES 3
/* A frame holds more, but not with the longest texts. */
#define AGENT_REPORT_TASKS_MAX 128

int agent_tasks_start(struct agent *agent);
void agent_tasks_stop(struct agent *agent);

void agent_tasks_on_start(struct agent_link *link,
			  const struct msg_task_start *msg);
void agent_tasks_on_stop(struct agent_link *link,
			 const struct msg_task_stop *msg);
void agent_tasks_on_throttle(struct agent_link *link,
			     const struct msg_task_throttle *msg);
void agent_tasks_on_ack(struct agent_link *link,
			const struct msg_task_report_ack *msg);
void agent_tasks_on_owner(struct agent_link *link, const struct msg_owner *msg);
void agent_tasks_link_removed(struct agent_link *link);

/* The number of partitions or the length of grants may have changed. */
void agent_tasks_on_config(struct agent *agent);

/* Reports changed runs, or all, as soon as the event loop is idle. */
void agent_tasks_report_soon(struct agent *agent);
void agent_tasks_report_all(struct agent *agent);

/* Stops all runs with a checkpoint. */
void agent_tasks_stop_runs(struct agent *agent, const char *reason);

/* Runs that have not ended, or whose end was not acked. */
uint32_t agent_tasks_count_reportable(const struct agent *agent);

#endif
