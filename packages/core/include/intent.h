#ifndef CATKINHILL_INTENT_H
#define CATKINHILL_INTENT_H

#include <stddef.h>
#include <stdint.h>

#include "config.h"
#include "jobspec.h"

/*
 * NAME
 *	intent - a change that an operator requests
 *
 * NOTES
 *	Examples of the JSON of each kind:
 *	{"intent": "drain", "domain": "a1"}
 *	{"intent": "undrain", "domain": "a1"}
 *	{"intent": "submit", "job": JOB}, see jobspec.h
 *	{"intent": "cancel", "job": "j1"}
 *	{"intent": "set-limit", "limit": "grant_ms", "value": 30000}
 *	{"intent": "unset-limit", "limit": "grant_ms"}
 *	{"intent": "set-quota", "team": "returns", "cpu_milli": 8000,
 *	 "mem_mb": 4096, "accel": 0}
 *	{"intent": "unset-quota", "team": "returns"}
 */
enum intent_kind {
	INTENT_DRAIN,
	INTENT_UNDRAIN,
	INTENT_SUBMIT,
	INTENT_CANCEL,
	INTENT_SET_LIMIT,
	INTENT_UNSET_LIMIT,
	INTENT_SET_QUOTA,
	INTENT_UNSET_QUOTA,
	INTENT_KIND_COUNT
};

struct intent_limit {
	enum limit_key key;
	int64_t value;
};

struct intent {
	enum intent_kind kind;
	union {
		char domain[NAME_SIZE];	   /* drain, undrain */
		struct job_spec submit;	   /* submit */
		char job[ID_SIZE];	   /* cancel */
		struct intent_limit limit; /* set and unset limit */
		struct team_quota quota;   /* set and unset quota */
	} u;
};

const char *intent_kind_name(enum intent_kind kind);

/*
 * Parses an intent such as {"intent": "drain", "domain": "a1"}.
 *
 * ERRORS
 *	ERR_MALFORMED	not a JSON object, or a wrong type
 *	ERR_INVALID	an unknown or missing key, a value out of range
 *	On an error, message receives one sentence that names the cause.
 */
int intent_parse(struct intent *intent, const char *json, size_t len,
		 char *message, size_t message_size);

/* Formats one line such as "drain a1". RETURN VALUE: buf. */
const char *intent_describe(const struct intent *intent, char *buf,
			    size_t size);

/*
 * Whether the intent changes the configuration. If not, it is stored in the
 * inbox of a partition, for the owner of the partition to carry out.
 */
int intent_changes_config(const struct intent *intent);

/* RETURN VALUE: newly allocated JSON, freed by the caller. */
char *intent_render(const struct intent *intent);

#endif
