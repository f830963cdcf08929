#include "history.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "record.h"

struct history {
	struct record *records;
	size_t count, allocated;
};

/* State of one history_check(). */
struct check {
	const struct record **sorted; /* by the rule's key, then by time */
	size_t count;
	int has_fault; /* the history has a RECORD_FAULT */
	enum history_rule rule;
	history_violation_fn fn;
	void *arg;
	size_t violations;
};

static const char *const rule_names[RULE_COUNT] = {
	[RULE_CAPACITY] = "capacity",
	[RULE_SINGLE_RUN] = "one-place",
	[RULE_STEPS_ONCE] = "resume-once",
	[RULE_MATCHING_RESPONSE] = "own-answer",
	[RULE_NOT_RUN] = "not-run",
	[RULE_AT_MOST_ONCE] = "at-most-once",
	[RULE_NO_WORK_WHEN_LEAVING] = "leaving",
	[RULE_NO_ABORT] = "graceful",
	[RULE_CONFIG_VERSIONS] = "config",
};

const char *history_rule_name(enum history_rule rule)
{
	return rule_names[rule];
}

struct history *history_new(void)
{
	return xcalloc(1, sizeof(struct history));
}

void history_delete(struct history *history)
{
	if (!history)
		return;
	free(history->records);
	free(history);
}

int history_add(struct history *history, const char *json, size_t len)
{
	struct record *record;
	int err;

	if (history->count == history->allocated) {
		history->allocated = 2 * history->allocated + 64;
		history->records = xrealloc(
			history->records, history->allocated * sizeof(*record));
	}
	record = &history->records[history->count];
	err = record_parse(record, json, len);
	if (err)
		return err;
	record->arrival_index = history->count++;
	return 0;
}

size_t history_length(const struct history *history)
{
	return history->count;
}

static void report_violation(struct check *check, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void report_violation(struct check *check, const char *fmt, ...)
{
	char text[512];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	check->violations++;
	if (check->fn)
		check->fn(check->arg, check->rule, text);
}

static void check_capacity(struct check *check)
{
	size_t i, k;

	for (i = 0; i < check->count; i++) {
		const struct record *record = check->sorted[i];

		if (record->kind != RECORD_USAGE)
			continue;
		for (k = 0; k < RECORD_RESOURCE_COUNT; k++)
			if (record->used[k] > record->limit[k])
				report_violation(
					check,
					"%s used %" PRId64 " of %" PRId64
					" %s at %" PRId64 " ms",
					record->process_id, record->used[k],
					record->limit[k],
					record_resource_names[k],
					record->time_ms);
	}
}

/* Sorted by job: a run starts only after the previous run has stopped. */
static void check_single_run(struct check *check)
{
	const struct record *running = NULL;
	size_t i;

	for (i = 0; i < check->count; i++) {
		const struct record *record = check->sorted[i];

		if (running && strcmp(running->id, record->id))
			running = NULL;
		if (record->kind == RECORD_TASK_STOP && running &&
		    running->run == record->run &&
		    !strcmp(running->process_id, record->process_id))
			running = NULL;
		if (record->kind != RECORD_TASK_START)
			continue;
		if (running)
			report_violation(check,
					 "job %s run %" PRId64
					 " started on %s at "
					 "%" PRId64 " ms while run %" PRId64
					 " was on %s",
					 record->id, record->run,
					 record->process_id, record->time_ms,
					 running->run, running->process_id);
		running = record;
	}
}

static int compare_steps(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void check_job_steps(struct check *check, const char *job,
			    int64_t *steps, size_t count,
			    const struct record *end)
{
	size_t i;

	qsort(steps, count, sizeof(*steps), compare_steps);
	for (i = 0; i < count; i++) {
		if (i && steps[i] == steps[i - 1])
			report_violation(check,
					 "step %" PRId64
					 " of job %s took effect "
					 "twice",
					 steps[i], job);
		else if (end && i && steps[i] != steps[i - 1] + 1)
			report_violation(
				check,
				"job %s skipped the steps between %" PRId64
				" and %" PRId64,
				job, steps[i - 1], steps[i]);
	}
	if (!end || strcmp(end->outcome, "done") || !end->step)
		return;
	if (!count || steps[0] != 0 || steps[count - 1] != end->step - 1)
		report_violation(
			check,
			"job %s is done but its effects are not the steps "
			"0 to %" PRId64,
			job, end->step - 1);
}

/* Sorted by job: each step takes effect once; a done job has all steps. */
static void check_steps_once(struct check *check)
{
	int64_t *steps = xcalloc(check->count, sizeof(*steps));
	size_t i = 0;

	while (i < check->count) {
		const char *job = check->sorted[i]->id;
		const struct record *end = NULL;
		size_t count = 0;

		for (; i < check->count && !strcmp(check->sorted[i]->id, job);
		     i++) {
			const struct record *record = check->sorted[i];

			if (record->kind == RECORD_TASK_EFFECT)
				steps[count++] = record->step;
			if (record->kind != RECORD_JOB_END)
				continue;
			if (end)
				report_violation(check, "job %s ended twice",
						 job);
			end = record;
		}
		check_job_steps(check, job, steps, count, end);
	}
	free(steps);
}

static void check_response_digest(struct check *check,
				  const struct record *response, size_t first,
				  size_t end)
{
	size_t i;

	if (strcmp(response->outcome, "done") || !response->is_complete ||
	    !response->digest[0])
		return;
	for (i = first; i < end; i++) {
		const struct record *record = check->sorted[i];

		if (record->kind == RECORD_EXECUTE &&
		    !strcmp(record->digest, response->digest))
			return;
	}
	report_violation(check,
			 "the complete response to request %s is not one that "
			 "an upstream sent for it",
			 response->id);
}

/*
 * Sorted by request: each has at most one response; the digest of a complete
 * one is that of an execution of the same request.
 */
static void check_matching_response(struct check *check)
{
	size_t i = 0;

	while (i < check->count) {
		const char *id = check->sorted[i]->id;
		const struct record *response = NULL;
		size_t first = i;

		for (; i < check->count && !strcmp(check->sorted[i]->id, id);
		     i++) {
			const struct record *record = check->sorted[i];

			if (record->kind != RECORD_RESPONSE)
				continue;
			if (response)
				report_violation(check,
						 "request %s got two responses",
						 id);
			response = record;
		}
		if (response)
			check_response_digest(check, response, first, i);
	}
}

/* Sorted by request: a request answered "not-run" has no execution. */
static void check_not_run(struct check *check)
{
	size_t i = 0;

	while (i < check->count) {
		const char *id = check->sorted[i]->id;
		const struct record *execute = NULL, *response = NULL;

		for (; i < check->count && !strcmp(check->sorted[i]->id, id);
		     i++) {
			const struct record *record = check->sorted[i];

			if (record->kind == RECORD_EXECUTE)
				execute = record;
			if (record->kind == RECORD_RESPONSE &&
			    !strcmp(record->outcome, "not-run"))
				response = record;
		}
		if (execute && response)
			report_violation(
				check,
				"request %s was answered not-run, but %s "
				"executed it",
				id, execute->process_id);
	}
}

/* Sorted by key: at most one execution of each. */
static void check_at_most_once(struct check *check)
{
	const struct record *execute = NULL;
	size_t i;

	for (i = 0; i < check->count; i++) {
		const struct record *record = check->sorted[i];

		if (!record->key[0] || record->kind != RECORD_EXECUTE)
			continue;
		if (execute && !strcmp(execute->key, record->key))
			report_violation(check,
					 "key %s ran on %s and again on %s",
					 record->key, execute->process_id,
					 record->process_id);
		execute = record;
	}
}

/*
 * Sorted by process: no execution or task start later than
 * HISTORY_LEAVING_GRACE_MS after the process announced that it leaves, until it
 * starts again.
 */
static void check_no_work_when_leaving(struct check *check)
{
	const struct record *leaving = NULL;
	size_t i;

	for (i = 0; i < check->count; i++) {
		const struct record *record = check->sorted[i];

		if (leaving && strcmp(leaving->process_id, record->process_id))
			leaving = NULL;
		if (record->kind == RECORD_PROCESS_START)
			leaving = NULL;
		if (record->kind == RECORD_LEAVING && !leaving)
			leaving = record;
		if (!leaving || (record->kind != RECORD_EXECUTE &&
				 record->kind != RECORD_TASK_START))
			continue;
		if (record->time_ms >
		    leaving->time_ms + HISTORY_LEAVING_GRACE_MS)
			report_violation(
				check,
				"%s got %s %" PRId64
				" ms after it announced that it leaves",
				record->process_id, record->id,
				record->time_ms - leaving->time_ms);
	}
}

static void check_no_abort(struct check *check)
{
	size_t i;

	if (check->has_fault)
		return;
	for (i = 0; i < check->count; i++) {
		const struct record *record = check->sorted[i];

		if (record->kind != RECORD_RESPONSE)
			continue;
		if (!record->is_complete || !strcmp(record->outcome, "unknown"))
			report_violation(
				check, "request %s was aborted without a fault",
				record->id);
	}
}

static void check_versions_monotonic(struct check *check, size_t first,
				     size_t end)
{
	const struct record *last = NULL;
	size_t i;

	for (i = first; i < end; i++) {
		const struct record *record = check->sorted[i];

		if (record->kind == RECORD_PROCESS_START)
			last = NULL;
		if (record->kind != RECORD_CONFIG_SEEN)
			continue;
		if (last && record->version < last->version)
			report_violation(check,
					 "%s went back from version %" PRId64
					 " to %" PRId64,
					 record->process_id, last->version,
					 record->version);
		last = record;
	}
}

/* Whether the process saw the version in time or did not run all that time. */
static int seen_in_time(struct check *check, const struct record *accepted,
			size_t first, size_t end)
{
	int64_t deadline_ms = accepted->time_ms + HISTORY_CONFIG_PROPAGATION_MS;
	int running = 0;
	size_t i;

	for (i = first; i < end; i++) {
		const struct record *record = check->sorted[i];

		if (record->time_ms > deadline_ms)
			break;
		if (record->kind == RECORD_PROCESS_START)
			running = record->time_ms <= accepted->time_ms;
		if (record->kind == RECORD_PROCESS_END)
			running = 0;
		if (record->kind == RECORD_CONFIG_SEEN &&
		    record->version >= accepted->version)
			return 1;
	}
	return !running;
}

static void check_propagation(struct check *check, size_t first, size_t end)
{
	int64_t last_time_ms = check->sorted[end - 1]->time_ms;
	size_t i;

	for (i = 0; i < check->count; i++) {
		const struct record *record = check->sorted[i];

		if (record->kind != RECORD_CONFIG_ACCEPTED)
			continue;
		/* The records of this process end before the deadline. */
		if (last_time_ms <
		    record->time_ms + HISTORY_CONFIG_PROPAGATION_MS)
			continue;
		if (!seen_in_time(check, record, first, end))
			report_violation(check,
					 "version %" PRId64
					 " was not seen by %s "
					 "within %d ms",
					 record->version,
					 check->sorted[first]->process_id,
					 HISTORY_CONFIG_PROPAGATION_MS);
	}
}

/* Sorted by process: versions never decrease and are seen in time. */
static void check_config_versions(struct check *check)
{
	size_t i = 0;

	while (i < check->count) {
		const char *process_id = check->sorted[i]->process_id;
		size_t first = i;

		while (i < check->count &&
		       !strcmp(check->sorted[i]->process_id, process_id))
			i++;
		check_versions_monotonic(check, first, i);
		if (process_id[0])
			check_propagation(check, first, i);
	}
}

static int compare_time(const struct record *a, const struct record *b)
{
	if (a->time_ms != b->time_ms)
		return a->time_ms < b->time_ms ? -1 : 1;
	return a->arrival_index < b->arrival_index
		       ? -1
		       : a->arrival_index > b->arrival_index;
}

static int compare_id(const void *a, const void *b)
{
	const struct record *x = *(const struct record *const *)a;
	const struct record *y = *(const struct record *const *)b;
	int order = strcmp(x->id, y->id);

	return order ? order : compare_time(x, y);
}

static int compare_key(const void *a, const void *b)
{
	const struct record *x = *(const struct record *const *)a;
	const struct record *y = *(const struct record *const *)b;
	int order = strcmp(x->key, y->key);

	return order ? order : compare_time(x, y);
}

static int compare_process_id(const void *a, const void *b)
{
	const struct record *x = *(const struct record *const *)a;
	const struct record *y = *(const struct record *const *)b;
	int order = strcmp(x->process_id, y->process_id);

	return order ? order : compare_time(x, y);
}

static const struct {
	void (*run)(struct check *check);
	int (*compare)(const void *a, const void *b);
} rule_checks[RULE_COUNT] = {
	[RULE_CAPACITY] = { check_capacity, compare_process_id },
	[RULE_SINGLE_RUN] = { check_single_run, compare_id },
	[RULE_STEPS_ONCE] = { check_steps_once, compare_id },
	[RULE_MATCHING_RESPONSE] = { check_matching_response, compare_id },
	[RULE_NOT_RUN] = { check_not_run, compare_id },
	[RULE_AT_MOST_ONCE] = { check_at_most_once, compare_key },
	[RULE_NO_WORK_WHEN_LEAVING] = { check_no_work_when_leaving,
					compare_process_id },
	[RULE_NO_ABORT] = { check_no_abort, compare_id },
	[RULE_CONFIG_VERSIONS] = { check_config_versions, compare_process_id },
};

size_t history_check(struct history *history, history_violation_fn fn,
		     void *arg)
{
	struct check check = { .count = history->count, .fn = fn, .arg = arg };
	size_t i;
	int rule;

	check.sorted = xcalloc(history->count, sizeof(*check.sorted));
	for (i = 0; i < history->count; i++) {
		check.sorted[i] = &history->records[i];
		if (history->records[i].kind == RECORD_FAULT)
			check.has_fault = 1;
	}
	for (rule = RULE_CAPACITY; rule < RULE_COUNT; rule++) {
		check.rule = (enum history_rule)rule;
		qsort(check.sorted, check.count, sizeof(*check.sorted),
		      rule_checks[rule].compare);
		rule_checks[rule].run(&check);
	}
	free(check.sorted);
	return check.violations;
}
