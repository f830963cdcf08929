#ifndef CATKINHILL_GATEWAY_H
#define CATKINHILL_GATEWAY_H

#include "daemon.h"

/*
 * NAME
 *	gateway - HTTP server that accepts workflows and reports their state
 *
 * NOTES
 *	Keeps no state but the configuration. A workflow is accepted once its
 *	record is in the store; a request is refused only while no record can
 *	exist. The state of workflows is read from the store as well, so all
 *	gateways give the same answer and none depends on the scheduler.
 */
struct gateway;

/* RETURN VALUE: NULL on failure, which is logged. */
struct gateway *gateway_new(struct daemon *daemon);
void gateway_delete(struct gateway *gateway);
/* Stops gracefully, then calls fn. */
void gateway_stop(struct gateway *gateway, stopped_fn fn, void *arg);

#endif
