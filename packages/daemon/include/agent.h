#ifndef CATKINHILL_AGENT_H
#define CATKINHILL_AGENT_H

#include "daemon.h"

/*
 * NAME
 *	agent - admits requests and batch runs to one worker
 */
struct agent;

/* RETURN VALUE: NULL when an address cannot be used; the event is logged. */
struct agent *agent_new(struct daemon *daemon);
void agent_delete(struct agent *agent);

/*
 * Begins a graceful stop: announces that the upstream is leaving, finishes
 * requests in progress, ends streams and stops batch runs so that their entries
 * and owners continue them elsewhere. fn(arg) is called when nothing is left or
 * settings->stop_ms has passed.
 */
void agent_stop(struct agent *agent, stopped_fn fn, void *arg);

#endif
