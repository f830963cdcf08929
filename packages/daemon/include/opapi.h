#ifndef CATKINHILL_OPAPI_H
#define CATKINHILL_OPAPI_H

#include "configsync.h"
#include "daemon.h"
#include "membership.h"

/*
 * NAME
 *	opapi - the operator API of an entry: plan, confirm, status, config
 *
 * NOTES
 *	Registers POST /v1/plan, POST /v1/confirm, GET /v1/status and GET
 *	/v1/config with the admin server. Confirming a submit or a cancel
 *	writes inbox/N/JOB or inbox/N/JOB.cancel to the store, where N is
 *	the partition of the job.
 */
struct opapi;

struct opapi *opapi_new(struct daemon *daemon, struct configsync *sync,
			const struct membership *membership);
void opapi_delete(struct opapi *opapi);

#endif
