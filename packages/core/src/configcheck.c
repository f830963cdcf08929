#include "configcheck.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "plan.h"
#include "workflow.h"

#define REASON_SIZE 640
#define EDIT_LENGTH_MAX 32

static const struct check_kind_info kinds[CHECK_KIND_COUNT] = {
	[CHECK_REFUSED] = { "refused", 1 },
	[CHECK_SKIPPED] = { "skipped", 1 },
	[CHECK_REPLACED] = { "replaced", 1 },
	[CHECK_UNKNOWN_FIELD] = { "unknown-field", 0 },
	[CHECK_HIDDEN_ROUTE] = { "hidden-route", 0 },
	[CHECK_UNREACHABLE_ROUTE] = { "unreachable-route", 0 },
	[CHECK_NO_SERVICE] = { "no-service", 0 },
	[CHECK_DOUBLE_NAME] = { "double-name", 0 },
	[CHECK_SHORT_TIMEOUT] = { "short-timeout", 0 },
	[CHECK_ENDLESS_ATTEMPTS] = { "endless-attempts", 0 },
	[CHECK_OBJECTIVE] = { "objective", 0 },
	[CHECK_BODY_LIMIT] = { "body-limit", 0 },
	[CHECK_DEADLINES] = { "deadlines", 0 },
	[CHECK_SHORT_GRANT] = { "short-grant", 0 },
	[CHECK_NO_RETRIES] = { "no-retries", 0 },
	[CHECK_EMPTY_QUOTA] = { "empty-quota", 0 },
	[CHECK_OLD_VERSION] = { "old-version", 1 },
	[CHECK_PARTITIONS] = { "partitions", 1 },
	[CHECK_SHORTER_HOLDOVER] = { "shorter-holdover", 0 },
	[CHECK_REMOVED_ROUTE] = { "removed-route", 0 },
};

const struct check_kind_info *configcheck_kinds(void)
{
	return kinds;
}

void configcheck_add(struct check_report *report, enum check_kind kind,
		     const char *place, const char *fmt, ...)
{
	char reason[REASON_SIZE];
	struct check_finding *finding;
	va_list args;

	if (report->finding_count == report->finding_size) {
		report->finding_size = 2 * report->finding_size + 16;
		report->findings =
			xrealloc(report->findings,
				 report->finding_size * sizeof(*finding));
	}
	va_start(args, fmt);
	vsnprintf(reason, sizeof(reason), fmt, args);
	va_end(args);
	finding = &report->findings[report->finding_count++];
	finding->kind = kind;
	finding->place = xstrdup(place);
	finding->reason = xstrdup(reason);
}

void configcheck_clear(struct check_report *report)
{
	size_t i;

	for (i = 0; i < report->finding_count; i++) {
		free(report->findings[i].place);
		free(report->findings[i].reason);
	}
	for (i = 0; i < report->change_count; i++) {
		free(report->changes[i].place);
		free(report->changes[i].old_text);
		free(report->changes[i].new_text);
	}
	free(report->findings);
	free(report->changes);
	memset(report, 0, sizeof(*report));
}

static const char *route_place(const struct check_route *route, char *buf,
			       size_t size)
{
	snprintf(buf, size, "routes[%zu]", route->index);
	return buf;
}

static int compare_matches(const void *a, const void *b)
{
	const struct check_route *x = *(const struct check_route *const *)a;
	const struct check_route *y = *(const struct check_route *const *)b;
	int order = strcmp(x->host, y->host);

	if (!order)
		order = strcmp(x->prefix, y->prefix);
	if (!order)
		order = (x->index > y->index) - (x->index < y->index);
	return order;
}

static int compare_names(const void *a, const void *b)
{
	const struct check_route *x = *(const struct check_route *const *)a;
	const struct check_route *y = *(const struct check_route *const *)b;
	int order = strcmp(x->name, y->name);

	if (!order)
		order = (x->index > y->index) - (x->index < y->index);
	return order;
}

/* Of routes with the same host and prefix the last one gets all requests. */
static void check_hidden(const struct check_route **sorted, size_t count,
			 struct check_report *report)
{
	char place[64];
	size_t i;

	qsort(sorted, count, sizeof(*sorted), compare_matches);
	for (i = 0; i + 1 < count; i++) {
		const struct check_route *route = sorted[i];
		const struct check_route *next = sorted[i + 1];

		if (strcmp(route->host, next->host) != 0 ||
		    strcmp(route->prefix, next->prefix) != 0)
			continue;
		configcheck_add(report, CHECK_HIDDEN_ROUTE,
				route_place(route, place, sizeof(place)),
				"'%s' gets no request: routes[%zu] '%s' has "
				"the same host and prefix",
				route->name, next->index, next->name);
	}
}

static void check_names(const struct check_route **sorted, size_t count,
			struct check_report *report)
{
	char place[64];
	size_t i;

	qsort(sorted, count, sizeof(*sorted), compare_names);
	for (i = 0; i + 1 < count; i++)
		if (!strcmp(sorted[i]->name, sorted[i + 1]->name))
			configcheck_add(report, CHECK_DOUBLE_NAME,
					route_place(sorted[i + 1], place,
						    sizeof(place)),
					"'%s' is also the name of routes[%zu]",
					sorted[i]->name, sorted[i]->index);
}

static int compare_texts(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void check_services(const struct check_config *config,
			   struct check_report *report)
{
	size_t count = config->service_count;
	const char **sorted = xcalloc(count + 1, sizeof(*sorted));
	char place[64];
	size_t i;

	for (i = 0; i < count; i++)
		sorted[i] = config->services[i];
	qsort(sorted, count, sizeof(*sorted), compare_texts);
	for (i = 0; i < config->route_count && config->lists_services; i++) {
		const struct check_route *route = &config->routes[i];

		if (!bsearch(&route->service, sorted, count, sizeof(*sorted),
			     compare_texts))
			configcheck_add(
				report, CHECK_NO_SERVICE,
				route_place(route, place, sizeof(place)),
				"the service '%s' of '%s' is not listed, so no "
				"worker has its name",
				route->service, route->name);
	}
	free(sorted);
}

static void check_match(const struct check_route *route,
			struct check_report *report)
{
	char place[64];

	route_place(route, place, sizeof(place));
	if (strchr(route->host, ':'))
		configcheck_add(report, CHECK_UNREACHABLE_ROUTE, place,
				"'%s' gets no request: hosts are compared "
				"without their port, and this one is '%s'",
				route->name, route->host);
	if (route->prefix[0] != '/')
		configcheck_add(report, CHECK_UNREACHABLE_ROUTE, place,
				"'%s' gets no request: the prefix '%s' does "
				"not begin with '/'",
				route->name, route->prefix);
}

/* A chain of length L is due after stretch * L + the completion target. */
static void check_objective(const struct check_route *route, const char *place,
			    struct check_report *report)
{
	if (route->completion_target_ms <= 0 && route->stretch <= 1)
		configcheck_add(report, CHECK_OBJECTIVE, place,
				"no chain of '%s' can meet its objective: "
				"stretch is %g, and there is no "
				"completionTargetMs",
				route->name, route->stretch);
	else if (route->stretch < 1)
		configcheck_add(report, CHECK_OBJECTIVE, place,
				"chains of '%s' over %.0f ms cannot meet their "
				"objective: stretch is %g, and "
				"completionTargetMs %" PRId64,
				route->name,
				(double)route->completion_target_ms /
					(1 - route->stretch),
				route->stretch, route->completion_target_ms);
}

static void check_route_limits(const struct check_route *route,
			       struct check_report *report)
{
	char place[64];

	route_place(route, place, sizeof(place));
	if (route->timeout_ms &&
	    route->timeout_ms < route->completion_target_ms)
		configcheck_add(report, CHECK_SHORT_TIMEOUT, place,
				"timeoutMs %" PRId64 " of '%s' is below its "
				"completionTargetMs %" PRId64,
				route->timeout_ms, route->name,
				route->completion_target_ms);
	if (!route->max_attempts)
		configcheck_add(report, CHECK_ENDLESS_ATTEMPTS, place,
				"maxAttempts of '%s' is 0 or missing, so a "
				"task that always fails is repeated until its "
				"job is cancelled",
				route->name);
	check_objective(route, place, report);
}

void configcheck_routes(const struct check_config *config,
			struct check_report *report)
{
	size_t i, count = config->route_count;
	const struct check_route **sorted = xcalloc(count + 1, sizeof(*sorted));

	for (i = 0; i < count; i++) {
		sorted[i] = &config->routes[i];
		check_match(&config->routes[i], report);
		check_route_limits(&config->routes[i], report);
	}
	check_hidden(sorted, count, report);
	check_names(sorted, count, report);
	check_services(config, report);
	if (config->body_max_bytes &&
	    config->body_max_bytes < WORKFLOW_PAYLOAD_MAX)
		configcheck_add(report, CHECK_BODY_LIMIT, "limits",
				"maxBodyBytes %" PRId64 " is below the %d "
				"bytes that a job's payload may have",
				config->body_max_bytes, WORKFLOW_PAYLOAD_MAX);
	free(sorted);
}

static void check_quotas(const struct config *config,
			 struct check_report *report)
{
	size_t i;

	for (i = 0; i < config->quota_count; i++) {
		const struct team_quota *quota = &config->quotas[i];
		char place[ID_SIZE + 16];

		if (quota->quota.cpu_milli || quota->quota.mem_mb ||
		    quota->quota.accel)
			continue;
		snprintf(place, sizeof(place), "quotas.%s", quota->team);
		configcheck_add(report, CHECK_EMPTY_QUOTA, place,
				"the quota bounds nothing: 0 stands for no "
				"bound");
	}
}

static void check_current(const struct config *config,
			  const struct config *current,
			  struct check_report *report)
{
	if (config->limits[LIMIT_PARTITIONS] !=
	    current->limits[LIMIT_PARTITIONS])
		configcheck_add(report, CHECK_PARTITIONS, "limits.partitions",
				"%" PRId64 " differs from the %" PRId64
				" in force, by which jobs are stored",
				config->limits[LIMIT_PARTITIONS],
				current->limits[LIMIT_PARTITIONS]);
	if (config->limits[LIMIT_HOLDOVER_MS] <
	    current->limits[LIMIT_HOLDOVER_MS])
		configcheck_add(report, CHECK_SHORTER_HOLDOVER,
				"limits.holdover_ms", "%s",
				plan_warning_text(WARN_HOLDOVER));
}

void configcheck_limits(const struct config *config,
			const struct config *current,
			struct check_report *report)
{
	const int64_t *values = config->limits;

	if (config_deadlines_conflict(values))
		configcheck_add(report, CHECK_DEADLINES,
				"limits.deadline_default_ms",
				"%" PRId64 " is over deadline_max_ms, %" PRId64,
				values[LIMIT_DEADLINE_DEFAULT_MS],
				values[LIMIT_DEADLINE_MAX_MS]);
	if (config_grant_is_short(values))
		configcheck_add(report, CHECK_SHORT_GRANT, "limits.grant_ms",
				"%s", plan_warning_text(WARN_SHORT_GRANT));
	if (values[LIMIT_ATTEMPTS] > 1 && !values[LIMIT_RETRY_PERCENT] &&
	    !values[LIMIT_RETRY_FLOOR])
		configcheck_add(report, CHECK_NO_RETRIES, "limits.attempts",
				"%" PRId64 " attempts are allowed, but "
				"retry_percent and retry_floor are both 0",
				values[LIMIT_ATTEMPTS]);
	check_quotas(config, report);
	if (current)
		check_current(config, current, report);
}

/* Levenshtein distance by rows; both are at most EDIT_LENGTH_MAX long. */
static size_t edit_distance(const char *a, const char *b)
{
	size_t row[EDIT_LENGTH_MAX + 1];
	size_t i, k, len = strlen(b);

	for (k = 0; k <= len; k++)
		row[k] = k;
	for (i = 0; a[i]; i++) {
		size_t diagonal = row[0];

		row[0] = i + 1;
		for (k = 0; k < len; k++) {
			size_t best = diagonal + (a[i] != b[k]);

			if (row[k + 1] + 1 < best)
				best = row[k + 1] + 1;
			if (row[k] + 1 < best)
				best = row[k] + 1;
			diagonal = row[k + 1];
			row[k + 1] = best;
		}
	}
	return row[len];
}

const char *configcheck_nearest(const char *name, const char *const *known)
{
	const char *nearest = NULL;
	size_t best = strlen(name) / 3 + 2;

	if (strlen(name) > EDIT_LENGTH_MAX)
		return NULL;
	for (; *known; known++) {
		size_t distance = strlen(*known) > EDIT_LENGTH_MAX
					  ? EDIT_LENGTH_MAX
					  : edit_distance(name, *known);

		if (distance >= best)
			continue;
		best = distance;
		nearest = *known;
	}
	return nearest;
}

void configcheck_field(struct check_report *report, const char *place,
		       const char *name, const char *const *known)
{
	const char *nearest;
	size_t i;

	for (i = 0; known[i]; i++)
		if (!strcmp(name, known[i]))
			return;
	nearest = configcheck_nearest(name, known);
	configcheck_add(report, CHECK_UNKNOWN_FIELD, place,
			"'%.64s' is not a known field%s%s%s", name,
			nearest ? "; the nearest one is '" : "",
			nearest ? nearest : "", nearest ? "'" : "");
}
