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
 *	daemon - state shared by all parts of one process
 *
 * NOTES
 *	Owned by main(); outlives the object of the role and the admin server.
 */
struct daemon {
	struct loop *loop;
	const struct settings *settings;
	struct metric_set metrics;
	uint64_t incarnation; /* differs for each start of a process */
	struct config config; /* highest version seen */
	struct admin *admin;  /* HTTP server, in every role */
	struct store *store;  /* etcd; NULL if the settings or role have none */
};

/* Wall-clock seconds in the upper 32 bits, random bits in the lower 32. */
uint64_t daemon_new_incarnation(void);

/* Called once when a graceful stop is complete. */
typedef void (*stopped_fn)(void *arg);

#endif
