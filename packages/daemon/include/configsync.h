#ifndef CATKINHILL_CONFIGSYNC_H
#define CATKINHILL_CONFIGSYNC_H

#include "daemon.h"

/*
 * NAME
 *	configsync - follows and writes the live configuration in the store
 *
 * NOTES
 *	For entries: one watch of the key cfg and a read every 5 s. Puts each
 *	higher version into daemon->config and calls fn(arg).
 */
struct configsync;

typedef void (*configsync_changed_fn)(void *arg);

struct configsync *configsync_new(struct daemon *daemon,
				  configsync_changed_fn fn, void *arg);
void configsync_delete(struct configsync *sync);

/*
 * Writes next as version basis + 1 if the store still holds version basis.
 * A lost answer is settled by reading back the writer's token. Calls done
 * with 0, ERR_CONFLICT (another version is in force), ERR_UNAVAILABLE (not
 * written) or ERR_UNKNOWN (the store stayed silent after the write).
 */
typedef void (*configsync_done_fn)(void *arg, int err);
void configsync_write(struct configsync *sync, const struct config *next,
		      uint64_t basis, configsync_done_fn done, void *arg);

/* Reads the store now; then calls done with 0 or an error of store_get(). */
void configsync_refresh(struct configsync *sync, configsync_done_fn done,
			void *arg);

/*
 * Whether the store has told the configuration, or that there is none, or
 * an agent has brought one. An entry is not ready before.
 */
int configsync_is_loaded(const struct configsync *sync);

/*
 * Takes a configuration that an agent has sent.
 *
 * RETURN VALUE
 *	As config_advance(), or the errors of config_parse().
 */
int configsync_apply_from_agent(struct configsync *sync, const char *json,
				size_t len);

#endif
