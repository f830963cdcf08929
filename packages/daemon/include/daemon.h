#ifndef CATKINHILL_DAEMON_H
#define CATKINHILL_DAEMON_H

#include <stdint.h>

#include "config.h"
#include "metrics.h"
#include "loop.h"
#include "settings.h"
#include "store.h"

struct admin;

/*
 * NAME
 *	daemon - what every part of one process shares
 *
 * NOTES
 *	Owned by main(); outlives entry, agent, owner and admin server.
 */
struct daemon {
	struct loop *loop;
	const struct settings *settings;
	struct metric_set counters;
	uint64_t incarnation; /* random, new for each start of a process */
	struct config config; /* highest version seen */
	struct admin *admin;  /* serves both roles */
	struct store *store;  /* NULL when the settings name none */
};

/* Wall-clock seconds in the upper half, random bits in the lower half. */
uint64_t daemon_new_incarnation(void);

/* Called once when a graceful stop is complete. */
typedef void (*stopped_fn)(void *arg);

#endif
