#ifndef CATKINHILL_QUEUECONFIG_H
#define CATKINHILL_QUEUECONFIG_H

#include <jansson.h>

#include "workflow.h"

/*
 * NAME
 *	queueconfig - the settings of a queue, compared and stored
 */

/* Whether two queues have the same settings, of whatever version. */
int queue_config_equal(const struct queue_config *a,
		       const struct queue_config *b);

/* Returns a new reference to an object. */
json_t *queue_config_encode(const struct queue_config *queue);

/*
 * ERRORS
 *	ERR_MALFORMED	the name or the service is missing or too long
 */
int queue_config_decode(const json_t *object, struct queue_config *queue);

#endif
