#ifndef CATKINHILL_CONFIGCHECK_H
#define CATKINHILL_CONFIGCHECK_H

#include <stddef.h>
#include <stdint.h>

#include "config.h"

/*
 * NAME
 *	configcheck - what is wrong in a configuration, and what it changes
 *
 * NOTES
 *	Works on decoded configurations: of the routes of jobs, and of the
 *	limits and quotas that operators change by plans. What daemons refuse or
 *	skip comes from their decoders; the caller adds it as findings.
 */
enum check_kind {
	CHECK_REFUSED,		 /* the daemons refuse the configuration */
	CHECK_SKIPPED,		 /* they leave a route out */
	CHECK_REPLACED,		 /* they read a field as missing */
	CHECK_UNKNOWN_FIELD,	 /* they do not know a field */
	CHECK_HIDDEN_ROUTE,	 /* a later one has its host and prefix */
	CHECK_UNREACHABLE_ROUTE, /* no request has such a host or path */
	CHECK_NO_SERVICE,	 /* the service is not listed */
	CHECK_DOUBLE_NAME,	 /* two routes are counted as one queue */
	CHECK_SHORT_TIMEOUT,	 /* below the completion target */
	CHECK_ENDLESS_ATTEMPTS,	 /* a task that always fails is repeated */
	CHECK_OBJECTIVE,	 /* too short for some or all chains */
	CHECK_BODY_LIMIT,	 /* below the longest payload */
	CHECK_DEADLINES,	 /* default above the longest */
	CHECK_SHORT_GRANT,	 /* below the task lease */
	CHECK_NO_RETRIES,	 /* several attempts, and no retry allowed */
	CHECK_EMPTY_QUOTA,	 /* bounds nothing */
	CHECK_OLD_VERSION,	 /* not above the version in force */
	CHECK_PARTITIONS,	 /* differ from those in force */
	CHECK_SHORTER_HOLDOVER,	 /* than the one in force */
	CHECK_REMOVED_ROUTE,	 /* its jobs run on, out of callers' reach */
	CHECK_KIND_COUNT
};

struct check_kind_info {
	const char *name; /* such as hidden-route */
	int is_error;	  /* 0: a warning */
};

/* RETURN VALUE: table of CHECK_KIND_COUNT rows, indexed by enum check_kind. */
const struct check_kind_info *configcheck_kinds(void);

struct check_finding {
	enum check_kind kind;
	char *place; /* in the document, such as routes[3].priority */
	char *reason;
};

struct check_change {
	char *place;	/* such as routes.NAME */
	char *old_text; /* JSON; NULL: added */
	char *new_text; /* JSON; NULL: removed */
};

struct check_report {
	struct check_finding *findings;
	size_t finding_count, finding_size;
	struct check_change *changes; /* ordered by place */
	size_t change_count, change_size;
};

void configcheck_clear(struct check_report *report);
void configcheck_add(struct check_report *report, enum check_kind kind,
		     const char *place, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

struct check_route {
	const char *name, *host, *prefix, *service;
	size_t index; /* in the document */
	uint32_t max_attempts;
	double stretch;
	int64_t completion_target_ms;
	int64_t timeout_ms; /* 0: none */
};

/* One part of a configuration, as JSON with sorted keys. */
struct check_entry {
	char *place;
	char *text;
};

struct check_config {
	int64_t version;
	struct check_route *routes;
	size_t route_count;
	char **services;
	size_t service_count;
	int lists_services;	/* 0: services are not known */
	int64_t body_max_bytes; /* 0: not limited */
	struct check_entry *entries;
	size_t entry_count, entry_size;
};

/* Adds an entry; takes over both texts. */
void configcheck_add_entry(struct check_config *config, char *place,
			   char *text);
void configcheck_entries_clear(struct check_config *config);

/* Routes that hide each other or cannot work, and limits of jobs. */
void configcheck_routes(const struct check_config *config,
			struct check_report *report);

/* Limits and quotas that contradict each other; current may be NULL. */
void configcheck_limits(const struct config *config,
			const struct config *current,
			struct check_report *report);

/* The same configuration as entries for configcheck_changes(). */
void configcheck_add_limits(struct check_config *entries,
			    const struct config *config);

/*
 * What config changes against the one in force. The order of the entries has
 * no effect on the result. Afterwards it is another one, and the texts of what
 * differs belong to the report.
 */
void configcheck_changes(struct check_config *config,
			 struct check_config *current,
			 struct check_report *report);

/*
 * RETURN VALUE
 *	The name of the NULL-terminated list that takes the fewest edits to
 *	make from name; NULL when all of them take more than one edit and one
 *	for each three characters.
 */
const char *configcheck_nearest(const char *name, const char *const *known);

/* A finding for a field that is not in the NULL-terminated list. */
void configcheck_field(struct check_report *report, const char *place,
		       const char *name, const char *const *known);

#endif
