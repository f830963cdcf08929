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
 *	plan - predicted effect of an operator's intent, before it is confirmed
 *
 * NOTES
 *	A plan is made from an intent, the configuration in force and a view
 *	of members and jobs; making it changes nothing. It contains the full
 *	intent, the version of the configuration that it is based on and a
 *	digest of its content, so that any entry can confirm a plan that
 *	another entry made. The digest detects damaged plan files; it does not
 *	protect against forgery.
 */
/* The state of a batch job that a plan depends on. */
struct plan_job {
	char job[ID_SIZE];
	char agent[ID_SIZE]; /* where it runs; "" if it does not run */
	int ended;	     /* done, failed, cancelled or impossible */
};

struct plan_view {
	const struct membership *membership;
	struct mstime now;
	const struct plan_job *jobs;
	size_t job_count;
	int jobs_known; /* 0 if the store could not be read */
};

/* Bit numbers in plan.warnings; named by plan_warning_name(). */
enum plan_warning {
	WARN_REGION_EMPTY, /* a region loses its last upstream of a service */
	WARN_CAPACITY,	   /* slots that are left would be nearly full */
	WARN_HOLDOVER,	   /* shorter H takes effect after the old H */
	WARN_NO_VM_FITS,   /* the job is too large for all known VMs */
	WARN_OVER_QUOTA,   /* the job is larger than its team's quota */
	WARN_JOBS_UNKNOWN, /* the store could not be read */
	WARN_SHORT_GRANT,  /* grant is shorter than the task lease */
	WARN_COUNT
};

const char *plan_warning_name(enum plan_warning warning);
const char *plan_warning_text(enum plan_warning warning);

struct plan_effect {
	uint32_t upstreams;	 /* that get no new requests */
	uint32_t requests;	 /* in flight there; they run to their end */
	uint32_t streams;	 /* open there; they are moved */
	uint32_t tasks;		 /* running there; they are evicted */
	uint32_t upstreams_left; /* usable and not drained afterwards */
	uint32_t vms_fit;	 /* usable VMs that are large enough */
};

#define PLAN_REASON_SIZE 512

struct plan {
	struct intent intent;
	uint64_t basis; /* version of the configuration it is based on */
	int in_force;	/* confirming it would change nothing */
	struct plan_effect effect;
	uint32_t warnings; /* bits 1 << enum plan_warning */
};

/*
 * Makes the plan.
 *
 * RETURN VALUE
 *	0, or an error if the intent is refused; reason then receives one
 *	sentence that names the cause.
 * ERRORS
 *	ERR_NOT_FOUND	no such domain or job
 *	ERR_INVALID	would drain the last domain of a service, or conflicts
 *			with another limit
 *	ERR_EXISTS	a job with this id exists
 *	ERR_FULL	no more drained domains or quotas can be stored
 */
int plan_make(struct plan *plan, const struct intent *intent,
	      const struct config *config, const struct plan_view *view,
	      char *reason, size_t reason_size);

/* RETURN VALUE: newly allocated JSON, freed by the caller. */
char *plan_render(const struct plan *plan);

/* ERRORS: as intent_parse(); ERR_INVALID also if the digest differs. */
int plan_parse(struct plan *plan, const char *json, size_t len, char *message,
	       size_t message_size);

/*
 * Checks whether a plan may be confirmed now. The plan is made again; it must
 * still be based on the same version and give no warning that the operator has
 * not seen.
 *
 * RETURN VALUE
 *	0, or 1 if the intent is already in force and nothing has to be done.
 * ERRORS
 *	ERR_CONFLICT	another version is in force, and reason lists the
 *			changes since; or reason names a new warning
 *	and those of plan_make()
 */
int plan_check(const struct plan *plan, const struct config *config,
	       const struct plan_view *view, char *reason, size_t reason_size);

/* Sets next to config with the intent applied and added to the history. */
void plan_apply(const struct plan *plan, const struct config *config,
		struct config *next);

#endif
