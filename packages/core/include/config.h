#ifndef CATKINHILL_CONFIG_H
#define CATKINHILL_CONFIG_H

#include <stddef.h>
#include <stdint.h>

#include "message.h"

/*
 * NAME
 *	config - the live configuration that operators change through intents
 *
 * NOTES
 *	One JSON value with a version that only grows and the token of its
 *	writer. A process keeps the highest version that it has seen and
 *	refuses a lower one. Limits are a table of keys with unit, range and
 *	default; see config_limits().
 */
enum limit_key {
	LIMIT_PARTITIONS,	   /* batch partitions; fixed */
	LIMIT_DEADLINE_DEFAULT_MS, /* of a request that names none */
	LIMIT_DEADLINE_MAX_MS,
	LIMIT_RETRY_PERCENT,	 /* retry budget, percent of requests */
	LIMIT_RETRY_FLOOR,	 /* retries a second always allowed */
	LIMIT_ATTEMPTS,		 /* attempts of one request at most */
	LIMIT_ENTRY_QUEUE,	 /* requests waiting in one entry */
	LIMIT_UPSTREAM_REQUESTS, /* in flight to one upstream, one entry */
	LIMIT_TASK_LEASE_MS,	 /* L: worker stops an unrenewed task */
	LIMIT_GRANT_MS,		 /* T: agent renews without its owner */
	LIMIT_HOLDOVER_MS,	 /* H: owner extends grants without store */
	LIMIT_JOB_TRIES,	 /* workers at which a job may fail */
	LIMIT_EVICT_PAUSE_MS,	 /* least time between evictions of a job */
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

/* Table of LIMIT_COUNT rows, indexed by enum limit_key. */
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
 * One confirmed intent: tells a stale plan what came first, and a writer that
 * lost an answer whether its write took effect before others followed.
 */
struct config_change {
	uint64_t version;    /* which this change made */
	char token[ID_SIZE]; /* of its writer */
	char text[CONFIG_CHANGE_TEXT_SIZE];
};

struct config {
	uint64_t version; /* 0: nothing written yet, all defaults */
	char token[ID_SIZE];
	int64_t limits[LIMIT_COUNT];
	char drained[DOMAINS_MAX][NAME_SIZE];
	size_t drained_count;
	struct team_quota quotas[TEAMS_MAX];
	size_t quota_count;
	struct config_change changes[CONFIG_CHANGES_MAX]; /* oldest first */
	size_t change_count;
};

/* Version 0 with every limit at its initial value. */
void config_init(struct config *config);

/*
 * ERRORS
 *	ERR_MALFORMED	not JSON, or a wrong type
 *	ERR_INVALID	an unknown key, or a limit outside its range
 */
int config_parse(struct config *config, const char *json, size_t len);

/*
 * Renders the limits that differ from their initial values and, always, the
 * number of partitions.
 *
 * RETURN VALUE
 *	Newly allocated JSON, freed by the caller.
 */
char *config_render(const struct config *config);

/* Notes that version came about by the change; forgets the oldest one. */
void config_record_change(struct config *config, uint64_t version,
			  const char *token, const char *text);

/* Gives the value to be written its token, also in its last change. */
void config_set_token(struct config *config, const char *token);

/*
 * Whose write made a version.
 *
 * RETURN VALUE
 *	1 if the token's, 0 if another one's, ERR_NOT_FOUND when the change is
 *	no longer kept or the version is not reached.
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

/* RETURN VALUE: the team's quota, or NULL when it has none (no bound). */
const struct resources *config_quota(const struct config *config,
				     const char *team);

#endif
