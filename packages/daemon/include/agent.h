#ifndef CATKINHILL_AGENT_H
#define CATKINHILL_AGENT_H

#include "daemon.h"

/*
 * NAME
 *	agent - gate of one worker for requests and batch tasks
 */
struct agent;

/* RETURN VALUE: NULL when an address cannot be bound; the event is logged. */
struct agent *agent_new(struct daemon *daemon);
void agent_delete(struct agent *agent);

/*
 * Begins a graceful stop: announces that the upstream is leaving, finishes
 * requests in progress, hands streams and tasks back to their entries and
 * owners; fn(arg) is called when nothing is left or settings->stop_ms has
 * passed.
 */
void agent_stop(struct agent *agent, stopped_fn fn, void *arg);

#endif
