#ifndef CATKINHILL_OPSTATUS_H
#define CATKINHILL_OPSTATUS_H

#include <jansson.h>

#include "daemon.h"
#include "membership.h"

/*
 * NAME
 *	opstatus - what an entry knows, as JSON for operators
 */

/* The entry, the configuration, domains and members. A new reference. */
json_t *opstatus_render(const struct daemon *daemon,
			const struct membership *membership);

/* The configuration and the table of limits. A new reference. */
json_t *opstatus_render_config(const struct config *config);

#endif
