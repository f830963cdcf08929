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

/* What one check works on: the records sorted by (sort key, time). */
struct check {
	const struct record **sorted;
	size_t count;
	int faults; /* the history has a fault */
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

static void violation(struct check *check, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void violation(struct check *check, const char *fmt, ...)
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
				violation(check,
					  "%s used %" PRId64 " of %" PRId64
					  " %s at %" PRId64 " ms",
					  record->process_id, record->used[k],
					  record->limit[k],
					  record_resource_names[k],
					  record->time_ms);
	}
}

/* Sorted by job: a task starts only when the one before has stopped. */
static void check_one_place(struct check *check)
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
			violation(check,
				  "job %s run %" PRId64 " started at %s at "
				  "%" PRId64 " ms while run %" PRId64
				  " was at %s",
				  record->id, record->run, record->process_id,
				  record->time_ms, running->run,
				  running->process_id);
		running = record;
	}
}

static int compare_steps(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void check_steps(struct check *check, const char *job, int64_t *steps,
			size_t count, const struct record *end)
{
	size_t i;

	qsort(steps, count, sizeof(*steps), compare_steps);
	for (i = 0; i < count; i++) {
		if (i && steps[i] == steps[i - 1])
			violation(check,
				  "step %" PRId64 " of job %s took effect "
				  "twice",
				  steps[i], job);
		else if (end && i && steps[i] != steps[i - 1] + 1)
			violation(check,
				  "job %s skipped the steps between %" PRId64
				  " and %" PRId64,
				  job, steps[i - 1], steps[i]);
	}
	if (!end || strcmp(end->outcome, "done") || !end->step)
		return;
	if (!count || steps[0] != 0 || steps[count - 1] != end->step - 1)
		violation(check,
			  "job %s is done but its effects are not the steps "
			  "0 to %" PRId64,
			  job, end->step - 1);
}

/* Sorted by job: each step takes effect once; none is missing when done. */
static void check_resume_once(struct check *check)
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
				violation(check, "job %s ended twice", job);
			end = record;
		}
		check_steps(check, job, steps, count, end);
	}
	free(steps);
}

static void check_digest(struct check *check, const struct record *answer,
			 size_t first, size_t end)
{
	size_t i;

	if (strcmp(answer->outcome, "done") || !answer->is_complete ||
	    !answer->digest[0])
		return;
	for (i = first; i < end; i++) {
		const struct record *record = check->sorted[i];

		if (record->kind == RECORD_EXECUTE &&
		    !strcmp(record->digest, answer->digest))
			return;
	}
	violation(check,
		  "the answer to request %s, taken as whole, is not one that "
		  "an upstream gave to it",
		  answer->id);
}

/* Sorted by request: at most one answer each, and that its own. */
static void check_own_answer(struct check *check)
{
	size_t i = 0;

	while (i < check->count) {
		const char *id = check->sorted[i]->id;
		const struct record *answer = NULL;
		size_t first = i;

		for (; i < check->count && !strcmp(check->sorted[i]->id, id);
		     i++) {
			const struct record *record = check->sorted[i];

			if (record->kind != RECORD_RESPONSE)
				continue;
			if (answer)
				violation(check, "request %s answered twice",
					  id);
			answer = record;
		}
		if (answer)
			check_digest(check, answer, first, i);
	}
}

/* Sorted by request: no execution of a request answered "not run". */
static void check_not_run(struct check *check)
{
	size_t i = 0;

	while (i < check->count) {
		const char *id = check->sorted[i]->id;
		const struct record *execute = NULL, *answer = NULL;

		for (; i < check->count && !strcmp(check->sorted[i]->id, id);
		     i++) {
			const struct record *record = check->sorted[i];

			if (record->kind == RECORD_EXECUTE)
				execute = record;
			if (record->kind == RECORD_RESPONSE &&
			    !strcmp(record->outcome, "not-run"))
				answer = record;
		}
		if (execute && answer)
			violation(check,
				  "request %s was answered not run, but %s "
				  "ran it",
				  id, execute->process_id);
	}
}

/* Sorted by key: one execution a key. */
static void check_at_most_once(struct check *check)
{
	const struct record *execute = NULL;
	size_t i;

	for (i = 0; i < check->count; i++) {
		const struct record *record = check->sorted[i];

		if (!record->key[0] || record->kind != RECORD_EXECUTE)
			continue;
		if (execute && !strcmp(execute->key, record->key))
			violation(check, "key %s ran at %s and again at %s",
				  record->key, execute->process_id,
				  record->process_id);
		execute = record;
	}
}

/*
 * Sorted by process: no execution or task start long after leaving, until the
 * process starts again.
 */
static void check_leaving(struct check *check)
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
			violation(check,
				  "%s got %s %" PRId64
				  " ms after it announced that it leaves",
				  record->process_id, record->id,
				  record->time_ms - leaving->time_ms);
	}
}

static void check_graceful(struct check *check)
{
	size_t i;

	if (check->faults)
		return;
	for (i = 0; i < check->count; i++) {
		const struct record *record = check->sorted[i];

		if (record->kind != RECORD_RESPONSE)
			continue;
		if (!record->is_complete || !strcmp(record->outcome, "unknown"))
			violation(check,
				  "request %s was cut off without a fault",
				  record->id);
	}
}

static void check_versions(struct check *check, size_t first, size_t end)
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
			violation(check,
				  "%s went back from version %" PRId64
				  " to %" PRId64,
				  record->process_id, last->version,
				  record->version);
		last = record;
	}
}

/* Whether the process saw the version in time, or did not run throughout. */
static int saw_in_time(struct check *check, const struct record *accepted,
		       size_t first, size_t end)
{
	int64_t due = accepted->time_ms + HISTORY_CONFIG_PROPAGATION_MS;
	int running = 0;
	size_t i;

	for (i = first; i < end; i++) {
		const struct record *record = check->sorted[i];

		if (record->time_ms > due)
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

static void check_accepted(struct check *check, size_t first, size_t end)
{
	int64_t last_t = check->sorted[end - 1]->time_ms;
	size_t i;

	for (i = 0; i < check->count; i++) {
		const struct record *record = check->sorted[i];

		if (record->kind != RECORD_CONFIG_ACCEPTED)
			continue;
		/* The run ended before the bound had passed. */
		if (last_t < record->time_ms + HISTORY_CONFIG_PROPAGATION_MS)
			continue;
		if (!saw_in_time(check, record, first, end))
			violation(check,
				  "version %" PRId64 " was not in force at %s "
				  "within %d ms",
				  record->version,
				  check->sorted[first]->process_id,
				  HISTORY_CONFIG_PROPAGATION_MS);
	}
}

/* Sorted by process. */
static void check_config(struct check *check)
{
	size_t i = 0;

	while (i < check->count) {
		const char *who = check->sorted[i]->process_id;
		size_t first = i;

		while (i < check->count &&
		       !strcmp(check->sorted[i]->process_id, who))
			i++;
		check_versions(check, first, i);
		if (who[0])
			check_accepted(check, first, i);
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

static int compare_who(const void *a, const void *b)
{
	const struct record *x = *(const struct record *const *)a;
	const struct record *y = *(const struct record *const *)b;
	int order = strcmp(x->process_id, y->process_id);

	return order ? order : compare_time(x, y);
}

static const struct {
	void (*run)(struct check *check);
	int (*compare)(const void *a, const void *b);
} checks[RULE_COUNT] = {
	[RULE_CAPACITY] = { check_capacity, compare_who },
	[RULE_SINGLE_RUN] = { check_one_place, compare_id },
	[RULE_STEPS_ONCE] = { check_resume_once, compare_id },
	[RULE_MATCHING_RESPONSE] = { check_own_answer, compare_id },
	[RULE_NOT_RUN] = { check_not_run, compare_id },
	[RULE_AT_MOST_ONCE] = { check_at_most_once, compare_key },
	[RULE_NO_WORK_WHEN_LEAVING] = { check_leaving, compare_who },
	[RULE_NO_ABORT] = { check_graceful, compare_id },
	[RULE_CONFIG_VERSIONS] = { check_config, compare_who },
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
			check.faults = 1;
	}
	for (rule = RULE_CAPACITY; rule < RULE_COUNT; rule++) {
		check.rule = (enum history_rule)rule;
		qsort(check.sorted, check.count, sizeof(*check.sorted),
		      checks[rule].compare);
		checks[rule].run(&check);
	}
	free(check.sorted);
	return check.violations;
}
