#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "admin.h"
#include "entry_impl.h"
#include "errors.h"
#include "mem.h"
#include "sysclock.h"

/* Latest requests that can be explained, including those in progress. */
#define RECORDS_MAX 1000
#define STEPS_MAX 12
#define TEXT_SIZE 256

struct explain_record {
	char trace[ID_SIZE];
	char service[ID_SIZE];
	char method[16];
	char path[TEXT_SIZE];
	int64_t arrived_wall_ms;
	char *steps[STEPS_MAX];
	size_t step_count;
	int status;
	const char *outcome; /* NULL while in progress */
	int64_t took_ms;
	/* NULL after the ring has reused the slot for a later request. */
	struct explain_record **slot;
};

struct explain_log {
	struct entry *entry;
	struct explain_record *ring[RECORDS_MAX];
	size_t next;
};

static void explain_record_delete(struct explain_record *record)
{
	size_t i;

	if (!record)
		return;
	for (i = 0; i < record->step_count; i++)
		free(record->steps[i]);
	free(record);
}

/* Replaces bytes that JSON strings cannot hold. */
static void copy_printable(char *to, const char *from, size_t size)
{
	str_copy(to, from, size);
	for (; *to; to++)
		if (*to < ' ' || *to > '~')
			*to = '?';
}

struct explain_record *explain_record_start(struct explain_log *explain_log,
					    const struct request *request)
{
	struct explain_record **slot =
		&explain_log->ring[explain_log->next++ % RECORDS_MAX];
	struct explain_record *record = xcalloc(1, sizeof(*record));

	/* The record of a request in progress is deleted at its end. */
	if (*slot && !(*slot)->outcome)
		(*slot)->slot = NULL;
	else
		explain_record_delete(*slot);
	*slot = record;
	record->slot = slot;
	record->arrived_wall_ms = sysclock_wall_ms();
	str_copy(record->trace, request->trace, sizeof(record->trace));
	copy_printable(record->service, request->service,
		       sizeof(record->service));
	str_copy(record->method, request->exchange->method,
		 sizeof(record->method));
	copy_printable(record->path, request->exchange->path,
		       sizeof(record->path));
	return record;
}

void explain_record_step(struct explain_record *record, const char *fmt, ...)
{
	char text[TEXT_SIZE];
	va_list args;

	if (record->step_count == STEPS_MAX)
		return;
	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	record->steps[record->step_count++] = xstrdup(text);
}

void explain_record_end(struct explain_record *record, int status,
			const char *outcome, int64_t took_ms)
{
	if (!record->slot) {
		explain_record_delete(record);
		return;
	}
	record->status = status;
	record->outcome = outcome;
	record->took_ms = took_ms;
}

static const struct explain_record *find_record(
	const struct explain_log *explain_log, const char *trace)
{
	size_t i;

	for (i = 0; i < RECORDS_MAX; i++)
		if (explain_log->ring[i] &&
		    !strcmp(explain_log->ring[i]->trace, trace))
			return explain_log->ring[i];
	return NULL;
}

static json_t *render_record(const struct explain_record *record)
{
	json_t *steps = json_array();
	size_t i;

	for (i = 0; i < record->step_count; i++)
		json_array_append_new(steps, json_string(record->steps[i]));
	return json_pack(
		"{s:s, s:s, s:s, s:s, s:I, s:i, s:s, s:I, s:o}", "trace",
		record->trace, "service", record->service, "method",
		record->method, "path", record->path, "arrived_ms",
		(json_int_t)record->arrived_wall_ms, "status", record->status,
		"outcome", record->outcome ? record->outcome : "in-progress",
		"took_ms", (json_int_t)record->took_ms, "steps", steps);
}

static void on_explain(void *arg, struct admin_request *request)
{
	const struct explain_log *explain_log = arg;
	const char *trace = admin_request_subpath(request);
	const struct explain_record *record = find_record(explain_log, trace);

	if (!record)
		admin_reply_error(request, 404, ERR_NOT_FOUND,
				  "request %s is not among the last %d of "
				  "this entry",
				  trace, RECORDS_MAX);
	else
		admin_reply(request, 200, render_record(record));
}

struct explain_log *explain_log_new(struct entry *entry)
{
	struct explain_log *explain_log = xcalloc(1, sizeof(*explain_log));

	explain_log->entry = entry;
	if (entry->daemon->admin)
		admin_register(entry->daemon->admin, "GET",
			       "/v1/explain/request/", on_explain, explain_log);
	return explain_log;
}

void explain_log_delete(struct explain_log *explain_log)
{
	size_t i;

	for (i = 0; explain_log && i < RECORDS_MAX; i++)
		explain_record_delete(explain_log->ring[i]);
	free(explain_log);
}
