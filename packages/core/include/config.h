#ifndef CATKINHILL_CONFIG_H
#define CATKINHILL_CONFIG_H

#include <stddef.h>
#include <stdint.h>

#include "message.h"

/*
 * NAME
 *	config - the runtime configuration that operators change through intents
 *
 * NOTES
 *	The configuration is one JSON value in the store. It has a version,
 *	which only grows, and the token of its writer. A process keeps the
 *	highest version that it has seen and refuses a lower one. Each limit
 *	has a unit, a range and an initial value; see config_limits().
 */
enum limit_key {
	LIMIT_PARTITIONS,	   /* number of batch partitions; fixed */
	LIMIT_DEADLINE_DEFAULT_MS, /* of a request without one */
	LIMIT_DEADLINE_MAX_MS,
	LIMIT_RETRY_PERCENT,	 /* retry budget, percent of requests */
	LIMIT_RETRY_FLOOR,	 /* retries/s that are always allowed */
	LIMIT_ATTEMPTS,		 /* most attempts of one request */
	LIMIT_ENTRY_QUEUE,	 /* requests waiting in one entry */
	LIMIT_UPSTREAM_REQUESTS, /* in flight, one entry to one upstream */
	LIMIT_TASK_LEASE_MS,	 /* L: worker stops a task not renewed */
	LIMIT_GRANT_MS,		 /* T: agent renews tasks without owner */
	LIMIT_HOLDOVER_MS,	 /* H: owner extends grants without store */
	LIMIT_JOB_TRIES,	 /* workers on which a job may fail */
	LIMIT_EVICT_PAUSE_MS,	 /* shortest time between evictions of a job */
	LIMIT_WEIGHT_LATENCY,	 /* weight of service tail latency, percent */
	LIMIT_WEIGHT_EVICTION,	 /* weight of avoiding evictions, percent */
	LIMIT_COUNT
};

struct limit_info {
	const char *name; /* such as grant_ms */
	const char *unit;
	int64_t min, max, initial;
	const char *meaning;
};

/* RETURN VALUE: table of LIMIT_COUNT rows, indexed by enum limit_key. */
const struct limit_info *config_limits(void);

/* RETURN VALUE: the key, or -1 for an unknown name. */
int config_limit_find(const char *name);

#define DOMAINS_MAX 64
#define TEAMS_MAX 256
#define CONFIG_CHANGES_MAX 16
#define CONFIG_CHANGE_TEXT_SIZE 160

struct team_quota {
	char team[ID_SIZE];
	struct resources quota;
};

/*
 * One confirmed intent. The history of changes tells which changes made a plan
 * outdated. It also tells a writer that got no response from the store whether
 * its write took effect, even if others have followed.
 */
struct config_change {
	uint64_t version;    /* created by this change */
	char token[ID_SIZE]; /* of its writer */
	char text[CONFIG_CHANGE_TEXT_SIZE];
};

struct config {
	uint64_t version; /* 0: not written yet, all initial values */
	char token[ID_SIZE];
	int64_t limits[LIMIT_COUNT];
	char drained[DOMAINS_MAX][NAME_SIZE];
	size_t drained_count;
	struct team_quota quotas[TEAMS_MAX];
	size_t quota_count;
	struct config_change changes[CONFIG_CHANGES_MAX]; /* oldest first */
	size_t change_count;
};

/* Sets version 0 with every limit at its initial value. */
void config_init(struct config *config);

/*
 * ERRORS
 *	ERR_MALFORMED	not JSON, or a wrong type
 *	ERR_INVALID	an unknown key, or a limit outside its range
 */
int config_parse(struct config *config, const char *json, size_t len);

/* As config_parse(); on an error, message names the first one in a sentence. */
int config_parse_message(struct config *config, const char *json, size_t len,
			 char *message, size_t message_size);

/* RETURN VALUE: the allowed keys of the configuration; ends with NULL. */
const char *const *config_keys(void);

/* Whether two limits contradict each other, so that no plan may combine them.
 */
int config_deadlines_conflict(const int64_t *limits);
int config_grant_is_short(const int64_t *limits);

/*
 * Renders the configuration. Limits at their initial value are left out, apart
 * from the number of partitions.
 *
 * RETURN VALUE
 *	Newly allocated JSON, freed by the caller.
 */
char *config_render(const struct config *config);

/*
 * Records the change that made version in the history, and drops the oldest
 * change if the history is full.
 */
void config_record_change(struct config *config, uint64_t version,
			  const char *token, const char *text);

/* Sets the writer's token, also in the last change of the history. */
void config_set_token(struct config *config, const char *token);

/*
 * Whether the write with this token made a version.
 *
 * RETURN VALUE
 *	1 if it did, 0 if another write did, ERR_NOT_FOUND if the change is no
 *	longer in the history or the version does not exist yet.
 */
int config_written_by(const struct config *config, uint64_t version,
		      const char *token);

/*
 * Replaces current by next if its version is higher.
 *
 * RETURN VALUE
 *	1 if replaced, 0 if the versions are equal, ERR_FENCED if lower.
 */
int config_replace_if_newer(struct config *current, const struct config *next);

int config_domain_drained(const struct config *config, const char *domain);

/* RETURN VALUE: the team's quota, or NULL if it has none (unlimited). */
const struct resources *config_quota(const struct config *config,
				     const char *team);

#endif
