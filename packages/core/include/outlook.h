#ifndef CATKINHILL_OUTLOOK_H
#define CATKINHILL_OUTLOOK_H

#include <stddef.h>
#include <stdint.h>

#include "message.h"
#include "mstime.h"
#include "workflow.h"

/*
 * NAME
 *	outlook - when a workflow would end, from a summary of what waits
 *
 * NOTES
 *	Load: more work arrives than the workers can do, for a while or for
 *	good. The scheduler makes the summary; whoever accepts work estimates
 *	with it whether a workflow can end while its result has a value.
 *	The estimate is a lower bound: what may arrive later, the width of the
 *	workflow and work beyond the scheduler's memory don't count.
 *	Work is in milli-CPU x ms, by the estimates of the steps.
 */
#define OUTLOOK_SERVICES_MAX 16
/* The last one stands for all lower priorities, too. */
#define OUTLOOK_PRIORITIES_MAX 8
/* Work that is due within 1, 2, 4, 8, 16 s, or later, by its objective. */
#define OUTLOOK_DUE_CLASSES 6
/* A result later than this multiple of the objective has no value. */
#define OUTLOOK_WORTH_FACTOR 3

struct outlook_waiting {
	int64_t due[OUTLOOK_DUE_CLASSES];
	int64_t late; /* it can't meet its objective */
};

struct outlook_service {
	char name[ID_SIZE];
	int64_t capacity_milli; /* of the workers that take work */
	int64_t free_milli;	/* of the one that has most left */
	int64_t spare_milli;	/* the same for best-effort work */
	int64_t rate_milli;	/* work that ended lately, by the time */
	struct outlook_waiting waiting[OUTLOOK_PRIORITIES_MAX];
};

struct outlook {
	struct outlook_service services[OUTLOOK_SERVICES_MAX];
	size_t count;
};

/* What a workflow asks for, when it arrives. */
struct outlook_demand {
	const char *service;
	uint32_t priority;
	int64_t objective_ms; /* 0: it has none, and is never refused */
	int64_t path_ms;
	uint32_t free_milli;  /* least room for a first task; UINT32_MAX: */
	uint32_t spare_milli; /* there is no such task */
};

struct outlook_estimate {
	int64_t end_ms;	  /* at the earliest; from now */
	int64_t retry_ms; /* 0: it can end in time; else after this time */
};

/* Returns NULL if there are too many; creates a new one without work. */
struct outlook_service *outlook_get(struct outlook *outlook, const char *name);
const struct outlook_service *outlook_find(const struct outlook *outlook,
					   const char *name);

/* Adds work that waits; due_ms: until its objective, if it can meet it. */
void outlook_add_waiting(struct outlook_service *service, uint32_t priority,
			 int is_late, int64_t due_ms, int64_t work);

/* Whether something waits for room; else the summary has no services. */
int outlook_is_short(const struct outlook *outlook);

void outlook_demand_of(const struct workflow *workflow,
		       struct outlook_demand *demand);

/* age_ms: of the summary. A service that it lacks is taken as idle. */
struct outlook_estimate outlook_estimate(const struct outlook *outlook,
					 const struct outlook_demand *demand,
					 int64_t age_ms);

/*
 * Time in s, 1 or more, after which a caller may return: within
 * [from_ms, from_ms + spread_ms], at a place that depends on the job only.
 */
int outlook_retry_after_s(const char *job, int64_t from_ms, int64_t spread_ms);

/* Newly allocated JSON; integers only. */
char *outlook_encode(const struct outlook *outlook);
/* ERR_MALFORMED: not an outlook; *outlook is empty then. */
int outlook_decode(const char *json, size_t len, struct outlook *outlook);

/* Rate at which work ends, over the last seconds. */
#define OUTLOOK_RATE_SLOTS 5

struct outlook_meter {
	struct outlook_meter_row {
		char service[ID_SIZE];
		int64_t work[OUTLOOK_RATE_SLOTS];
	} rows[OUTLOOK_SERVICES_MAX];
	size_t count;
	int64_t slot_number; /* of the current second */
	int64_t first_slot;
};

void outlook_meter_add(struct outlook_meter *meter, const char *service,
		       int64_t work, struct mstime now);
/* In milli-CPU; 0 without work in the last whole seconds. */
int64_t outlook_meter_rate(struct outlook_meter *meter, const char *service,
			   struct mstime now);

#endif
