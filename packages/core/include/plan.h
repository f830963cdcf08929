#ifndef CATKINHILL_PLAN_H
#define CATKINHILL_PLAN_H

#include <stddef.h>
#include <stdint.h>

#include "config.h"
#include "intent.h"
#include "membership.h"
#include "mstime.h"

/*
 * NAME
 *	plan - what an operator's intent would do, before it is confirmed
 *
 * NOTES
 *	A plan is made from an intent, the configuration in force and a view
 *	of members and jobs; making it changes nothing. It carries the whole
 *	intent, the version it is based on and a digest over all of this, so
 *	that any entry can confirm a plan that another entry made. The digest
 *	guards against damaged plan files, not against forgery.
 */
/* A batch job as far as a plan needs to know it. */
struct plan_job {
	char job[ID_SIZE];
	char agent[ID_SIZE]; /* where it runs; "" when it does not */
	int ended;	     /* done, failed, cancelled or impossible */
};

struct plan_view {
	const struct membership *membership;
	struct mstime now;
	const struct plan_job *jobs;
	size_t job_count;
	int jobs_known; /* 0 when the store could not be read */
};

/* Bits of plan.warnings; the table in plan.c names them. */
enum plan_warning {
	WARN_REGION_EMPTY, /* a region loses its last upstream of a service */
	WARN_CAPACITY,	   /* little room is left for the requests */
	WARN_HOLDOVER,	   /* a shorter H counts only after the old one */
	WARN_NO_VM_FITS,   /* no known VM can hold the job */
	WARN_OVER_QUOTA,   /* the job is larger than its team's quota */
	WARN_JOBS_UNKNOWN, /* the store could not be read */
	WARN_SHORT_GRANT,  /* a grant shorter than the task lease */
	WARN_COUNT
};

const char *plan_warning_name(enum plan_warning warning);
const char *plan_warning_text(enum plan_warning warning);

struct plan_effect {
	uint32_t upstreams;	 /* that get no further requests */
	uint32_t requests;	 /* in flight there; they are finished */
	uint32_t streams;	 /* open there; they are moved */
	uint32_t tasks;		 /* running there; they are evicted */
	uint32_t upstreams_left; /* usable and not drained, afterwards */
	uint32_t vms_fit;	 /* usable ones that could hold the job */
};

#define PLAN_REASON_SIZE 512

struct plan {
	struct intent intent;
	uint64_t basis; /* version of the configuration */
	int in_force;	/* confirming would change nothing */
	struct plan_effect effect;
	uint32_t warnings; /* 1 << enum plan_warning */
};

/*
 * Makes the plan.
 *
 * RETURN VALUE
 *	0, or why the intent is refused; then reason says so in one sentence.
 * ERRORS
 *	ERR_NOT_FOUND	no such domain or job
 *	ERR_INVALID	would drain the last domain, breaks another limit
 *	ERR_EXISTS	a job of this id exists
 *	ERR_FULL	no more domains or teams can be kept
 */
int plan_make(struct plan *plan, const struct intent *intent,
	      const struct config *config, const struct plan_view *view,
	      char *reason, size_t reason_size);

/* RETURN VALUE: newly allocated JSON, freed by the caller. */
char *plan_render(const struct plan *plan);

/* ERRORS: as intent_parse(); ERR_INVALID also when the digest differs. */
int plan_parse(struct plan *plan, const char *json, size_t len, char *message,
	       size_t message_size);

/*
 * Decides whether a plan may be confirmed now: it is made again and must
 * still have the same basis and no warning that the operator has not seen.
 *
 * RETURN VALUE
 *	0, or 1 when the intent is already in force: nothing is to be done.
 * ERRORS
 *	ERR_CONFLICT	the basis is another version; reason names what has
 *			changed since, or a new warning
 *	and those of plan_make()
 */
int plan_check(const struct plan *plan, const struct config *config,
	       const struct plan_view *view, char *reason, size_t reason_size);

/* next: a copy of config after the intent, with the change noted. */
void plan_apply(const struct plan *plan, const struct config *config,
		struct config *next);

#endif
