#ifndef CATKINHILL_GATEWAY_H
#define CATKINHILL_GATEWAY_H

#include "daemon.h"

/*
 * NAME
 *	gateway - takes workflows from callers and answers for their state
 *
 * NOTES
 *	Keeps nothing but the configuration. A workflow is accepted once its
 *	record is in the store; a refusal is given only while no record can
 *	exist. The state comes from the store as well, so every gateway
 *	answers alike and none depends on the scheduler.
 */
struct gateway;

/* RETURN VALUE: NULL after a line in the log. */
struct gateway *gateway_new(struct daemon *daemon);
void gateway_delete(struct gateway *gateway);
void gateway_stop(struct gateway *gateway, stopped_fn fn, void *arg);

#endif
