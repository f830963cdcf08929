#ifndef CATKINHILL_HISTORY_H
#define CATKINHILL_HISTORY_H

#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	history - records of a concurrent run and the check of its invariants
 *
 * NOTES
 *	A history is a list of JSON objects, one a line, in any order. "t" is
 *	the time in milliseconds on one monotonic clock. Fields that a kind
 *	does not use may be missing. Kinds ("kind") and their fields:
 *
 *	invoke		id, key	  a caller sends request id; key if the request
 *				  may not be repeated
 *	answer		id, outcome, status, digest, complete
 *				  complete 0: the caller saw an aborted response
 *	execute		id, key, who, digest
 *				  upstream who runs request id; digest is that
 *				  of its response
 *	task-start	id, who, run, step
 *				  worker who starts run of job id from step
 *	task-stop	id, who, run
 *	task-effect	id, who, run, step
 *	job-end		id, outcome, step
 *				  "done": all steps below step must have taken
 *				  effect
 *	usage		who, used, limit
 *				  arrays of slots, connections, cpu_milli,
 *				  mem_mb, accel
 *	leaving		who	  upstream who announced that it leaves
 *	config-accepted	version	  the store holds this version
 *	config-seen	who, version
 *	process-start	who	  who must see new versions from here on
 *	process-end	who
 *	fault		who	  an unplanned fault; responses may be aborted
 *
 *	A request with the outcome "unknown" may or may not have run.
 */
enum history_rule {
	RULE_CAPACITY = 1,	   /* no use above the limit */
	RULE_SINGLE_RUN,	   /* a job has one run at a time */
	RULE_STEPS_ONCE,	   /* each step of a job takes effect once */
	RULE_MATCHING_RESPONSE,	   /* one response, sent for this request */
	RULE_NOT_RUN,		   /* a request answered not-run was not run */
	RULE_AT_MOST_ONCE,	   /* a key is executed at most once */
	RULE_NO_WORK_WHEN_LEAVING, /* no new work after the grace time */
	RULE_NO_ABORT,		   /* no aborted response without a fault */
	RULE_CONFIG_VERSIONS,	   /* versions never decrease, seen in time */
	RULE_COUNT
};

/* Time from the announcement to leave until no new work may arrive. */
#define HISTORY_LEAVING_GRACE_MS 2000

/* Time within which an accepted configuration is in force everywhere. */
#define HISTORY_CONFIG_PROPAGATION_MS 15000

struct history;

/* text is one sentence that names the request, job or process. */
typedef void (*history_violation_fn)(void *arg, enum history_rule rule,
				     const char *text);

struct history *history_new(void);
void history_delete(struct history *history);

/*
 * Adds one record.
 *
 * ERRORS
 *	ERR_MALFORMED	not a JSON object, or a field of a wrong type
 *	ERR_INVALID	unknown kind, or a text that is too long
 */
int history_add(struct history *history, const char *json, size_t len);

size_t history_length(const struct history *history);

/*
 * Checks all rules and calls fn for each violation.
 *
 * RETURN VALUE
 *	Number of violations.
 */
size_t history_check(struct history *history, history_violation_fn fn,
		     void *arg);

const char *history_rule_name(enum history_rule rule);

#endif
