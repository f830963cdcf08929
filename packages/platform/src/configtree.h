#ifndef CATKINHILL_CONFIGTREE_H
#define CATKINHILL_CONFIGTREE_H

#include <jansson.h>

#include "platformjson.h"

/*
 * NAME
 *	configtree - decoder of the configuration that tells what it leaves out
 */
enum decode_effect {
	DECODE_UNREADABLE, /* the whole configuration, for a wrong type */
	DECODE_REFUSED,	   /* the whole configuration, for a value */
	DECODE_SKIPPED,	   /* one route */
	DECODE_REPLACED	   /* one field, which counts as missing */
};

/* place: such as routes[3]. Both texts are valid during the call only. */
struct decode_report {
	void (*on_problem)(void *arg, enum decode_effect effect,
			   const char *place, const char *reason);
	void *arg;
};

/* As platform_decode_config(). root may be NULL, and so may report. */
int platform_config_from_tree(const json_t *root,
			      struct platform_config *config,
			      const struct decode_report *report);

/* Calls of the decoder; key names the field at fault. report may be NULL. */
void decode_report_refused(const struct decode_report *report,
			   const json_t *root, const json_t *limits,
			   const char *key);
void decode_report_skipped(const struct decode_report *report, size_t index,
			   const json_t *route, const char *key);

/* Reports the fields that are read as missing because of their type. */
void decode_report_replaced(const struct decode_report *report, size_t index,
			    const json_t *route);
void decode_report_limits(const struct decode_report *report,
			  const json_t *root);

#endif
