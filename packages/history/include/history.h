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
 *				  complete 0: the answer was visibly cut
 *	execute		id, key, who, digest
 *				  upstream who runs request id; digest is that
 *				  of the answer it gives
 *	task-start	id, who, run, step
 *				  worker who starts run of job id at step
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
 *	process-start	who	  from here on who must follow versions
 *	process-end	who
 *	fault		who	  an unplanned fault; answers may be cut
 *
 *	An outcome "unknown" may count either way.
 */
enum history_rule {
	RULE_CAPACITY = 1,
	RULE_SINGLE_RUN,
	RULE_STEPS_ONCE,
	RULE_MATCHING_RESPONSE,
	RULE_NOT_RUN,
	RULE_AT_MOST_ONCE,
	RULE_NO_WORK_WHEN_LEAVING,
	RULE_NO_ABORT,
	RULE_CONFIG_VERSIONS,
	RULE_COUNT
};

/* An upstream that is leaving gets no new work after this time. */
#define HISTORY_LEAVING_GRACE_MS 2000

/* An accepted configuration is in force everywhere within this time. */
#define HISTORY_CONFIG_PROPAGATION_MS 15000

struct history;

/* text is one sentence that names the records at fault. */
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
