#ifndef CATKINHILL_PLATFORMCHECK_H
#define CATKINHILL_PLATFORMCHECK_H

#include <stddef.h>

#include "configcheck.h"

/*
 * NAME
 *	platformcheck - reads a configuration of routes so that it can be
 *checked
 */
struct platform_check;

/*
 * Decodes the configuration with the decoder of the daemons, whose complaints
 * become findings of report, as do unknown fields.
 *
 * RETURN VALUE
 *	The decoded configuration, with no route if the daemons refuse it. NULL
 *	with *message, newly allocated, if text is not a JSON object without
 *	double keys or the whole has a wrong type; NULL without one if it holds
 *	neither routes nor services.
 */
struct platform_check *platform_check_new(const char *text, size_t len,
					  struct check_report *report,
					  char **message);
void platform_check_delete(struct platform_check *check);

int platform_check_is_refused(const struct platform_check *check);

/* The texts are valid until platform_check_delete(). */
struct check_config *platform_check_config(struct platform_check *check);

#endif
