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

/* Requests that can be explained, those in progress included. */
#define TRAILS 1000
#define STEPS 12
#define TEXT_SIZE 256

struct explain_record {
	char trace[ID_SIZE];
	char service[ID_SIZE];
	char method[16];
	char path[TEXT_SIZE];
	int64_t wall_ms;
	char *steps[STEPS];
	size_t step_count;
	int status;
	const char *outcome; /* NULL while in progress */
	int64_t took_ms;
	/* Set when the ring has used the slot for a later request. */
	struct explain_record **slot;
};

struct explain_log {
	struct entry *entry;
	struct explain_record *ring[TRAILS];
	size_t next;
};

static void trail_delete(struct explain_record *trail)
{
	size_t i;

	if (!trail)
		return;
	for (i = 0; i < trail->step_count; i++)
		free(trail->steps[i]);
	free(trail);
}

/* A path may hold bytes that JSON cannot express. */
static void copy_printable(char *to, const char *from, size_t size)
{
	str_copy(to, from, size);
	for (; *to; to++)
		if (*to < ' ' || *to > '~')
			*to = '?';
}

struct explain_record *explain_record_start(struct explain_log *trails,
					    const struct request *request)
{
	struct explain_record **slot = &trails->ring[trails->next++ % TRAILS];
	struct explain_record *trail = xcalloc(1, sizeof(*trail));

	/* The trail of a request in progress is deleted at its end. */
	if (*slot && !(*slot)->outcome)
		(*slot)->slot = NULL;
	else
		trail_delete(*slot);
	*slot = trail;
	trail->slot = slot;
	trail->wall_ms = sysclock_wall_ms();
	str_copy(trail->trace, request->trace, sizeof(trail->trace));
	copy_printable(trail->service, request->service,
		       sizeof(trail->service));
	str_copy(trail->method, request->exchange->method,
		 sizeof(trail->method));
	copy_printable(trail->path, request->exchange->path,
		       sizeof(trail->path));
	return trail;
}

void explain_record_step(struct explain_record *trail, const char *fmt, ...)
{
	char text[TEXT_SIZE];
	va_list args;

	if (trail->step_count == STEPS)
		return;
	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	trail->steps[trail->step_count++] = xstrdup(text);
}

void explain_record_end(struct explain_record *trail, int status,
			const char *outcome, int64_t took_ms)
{
	if (!trail->slot) {
		trail_delete(trail);
		return;
	}
	trail->status = status;
	trail->outcome = outcome;
	trail->took_ms = took_ms;
}

static const struct explain_record *find(const struct explain_log *trails,
					 const char *trace)
{
	size_t i;

	for (i = 0; i < TRAILS; i++)
		if (trails->ring[i] && !strcmp(trails->ring[i]->trace, trace))
			return trails->ring[i];
	return NULL;
}

static json_t *render(const struct explain_record *trail)
{
	json_t *steps = json_array();
	size_t i;

	for (i = 0; i < trail->step_count; i++)
		json_array_append_new(steps, json_string(trail->steps[i]));
	return json_pack("{s:s, s:s, s:s, s:s, s:I, s:i, s:s, s:I, s:o}",
			 "trace", trail->trace, "service", trail->service,
			 "method", trail->method, "path", trail->path,
			 "arrived_ms", (json_int_t)trail->wall_ms, "status",
			 trail->status, "outcome",
			 trail->outcome ? trail->outcome : "in-progress",
			 "took_ms", (json_int_t)trail->took_ms, "steps", steps);
}

static void on_explain(void *arg, struct admin_request *request)
{
	const struct explain_log *trails = arg;
	const char *trace = admin_request_rest(request);
	const struct explain_record *trail = find(trails, trace);

	if (!trail)
		admin_reply_error(request, 404, ERR_NOT_FOUND,
				  "request %s is not among the last %d of "
				  "this entry",
				  trace, TRAILS);
	else
		admin_reply(request, 200, render(trail));
}

struct explain_log *explain_log_new(struct entry *entry)
{
	struct explain_log *trails = xcalloc(1, sizeof(*trails));

	trails->entry = entry;
	if (entry->daemon->admin)
		admin_register(entry->daemon->admin, "GET",
			       "/v1/explain/request/", on_explain, trails);
	return trails;
}

void explain_log_delete(struct explain_log *trails)
{
	size_t i;

	for (i = 0; trails && i < TRAILS; i++)
		trail_delete(trails->ring[i]);
	free(trails);
}
