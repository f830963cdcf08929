#ifndef CATKINHILL_CONFIGSYNC_H
#define CATKINHILL_CONFIGSYNC_H

#include "daemon.h"

/*
 * NAME
 *	configsync - reads, watches and writes the configuration in the store
 *
 * NOTES
 *	Used by entries. Watches the key cfg and also reads it every 5 s. A
 *	version higher than that of daemon->config replaces it; then fn(arg)
 *	is called.
 */
struct configsync;

typedef void (*configsync_changed_fn)(void *arg);

struct configsync *configsync_new(struct daemon *daemon,
				  configsync_changed_fn fn, void *arg);
void configsync_delete(struct configsync *sync);

/*
 * Writes next as version basis + 1 if the store still holds version basis.
 * If the response to the write is lost, reads the value back and compares its
 * token with that of this write. Calls done with 0, ERR_CONFLICT (another
 * version is in force), ERR_UNAVAILABLE (not written) or ERR_UNKNOWN (the write
 * was sent, but whether it took effect could not be read back).
 */
typedef void (*configsync_done_fn)(void *arg, int err);
void configsync_write(struct configsync *sync, const struct config *next,
		      uint64_t basis, configsync_done_fn done, void *arg);

/* Reads the store now; then calls done with 0 or the error of the read. */
void configsync_refresh(struct configsync *sync, configsync_done_fn done,
			void *arg);

/*
 * Whether the store has returned the configuration or reported that there is
 * none, or an agent has sent one. An entry is not ready before that.
 */
int configsync_is_loaded(const struct configsync *sync);

/*
 * Applies a configuration that an agent has sent, if it is newer.
 *
 * RETURN VALUE
 *	As config_replace_if_newer(), or the errors of config_parse().
 */
int configsync_apply_from_agent(struct configsync *sync, const char *json,
				size_t len);

#endif
