#include "plan.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "mem.h"

/* Above this share of busy slots, queues at the upstreams grow quickly. */
#define BUSY_PERCENT 80

/* Upstreams of one service in one region, before and after a drain. */
struct service_sum {
	const char *service;
	const char *region;
	uint32_t moved;
	uint32_t left;
	uint64_t in_flight;
	uint64_t slots_left;
};

struct survey {
	struct service_sum *sums;
	size_t count;
	int domain_known;
};

struct maker {
	struct plan *plan;
	const struct config *config;
	const struct plan_view *view;
	char *reason;
	size_t reason_size;
};

static int refuse(struct maker *maker, int err, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

static int refuse(struct maker *maker, int err, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vsnprintf(maker->reason, maker->reason_size, fmt, args);
	va_end(args);
	return err;
}

static void warn(struct maker *maker, enum plan_warning warning)
{
	maker->plan->warnings |= 1u << warning;
}

static struct service_sum *sum_of(struct survey *survey,
				  const struct member *member)
{
	struct service_sum *sum;
	size_t i;

	for (i = 0; i < survey->count; i++) {
		sum = &survey->sums[i];
		if (!strcmp(sum->service, member->service) &&
		    !strcmp(sum->region, member->region))
			return sum;
	}
	survey->sums = xrealloc(survey->sums,
				(survey->count + 1) * sizeof(*survey->sums));
	sum = &survey->sums[survey->count++];
	*sum = (struct service_sum){ .service = member->service,
				     .region = member->region };
	return sum;
}

static void count_moved(struct plan_effect *effect, const struct member *member)
{
	const struct load *load = &member->load;

	effect->upstreams++;
	effect->requests += load->in_flight;
	if (load->connections > load->in_flight)
		effect->streams += load->connections - load->in_flight;
}

static void survey_member(struct maker *maker, struct survey *survey,
			  const struct member *member, const char *domain)
{
	struct service_sum *sum = sum_of(survey, member);
	int inside = !strcmp(member->domain, domain);

	survey->domain_known |= inside;
	if (!member_usable(maker->view->membership, member, maker->view->now))
		return;
	sum->in_flight += member->load.in_flight;
	if (inside) {
		sum->moved++;
		count_moved(&maker->plan->effect, member);
	} else if (!config_domain_drained(maker->config, member->domain)) {
		sum->left++;
		sum->slots_left += member->slots;
		maker->plan->effect.upstreams_left++;
	}
}

/* One pass over the members; domain "" moves none. */
static void survey_members(struct maker *maker, struct survey *survey,
			   const char *domain)
{
	const struct list *pos;

	memset(survey, 0, sizeof(*survey));
	list_for_each (pos, &maker->view->membership->members)
		survey_member(maker, survey,
			      list_entry(pos, struct member, node), domain);
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* RETURN VALUE: newly allocated, sorted; *count receives its length. */
static const char **agents_of(const struct membership *membership,
			      const char *domain, size_t *count)
{
	const char **names =
		xcalloc(membership->count + 1, sizeof(const char *));
	const struct list *pos;

	*count = 0;
	list_for_each (pos, &membership->members) {
		const struct member *member =
			list_entry(pos, struct member, node);

		if (!strcmp(member->domain, domain))
			names[(*count)++] = member->agent;
	}
	qsort(names, *count, sizeof(names[0]), compare_names);
	return names;
}

static void count_tasks(struct maker *maker, const char *domain)
{
	const struct plan_view *view = maker->view;
	const char **names;
	size_t count, i;

	if (!view->jobs_known)
		warn(maker, WARN_JOBS_UNKNOWN);
	names = agents_of(view->membership, domain, &count);
	for (i = 0; i < view->job_count; i++) {
		const char *agent = view->jobs[i].agent;

		if (!view->jobs[i].ended && agent[0] &&
		    bsearch(&agent, names, count, sizeof(names[0]),
			    compare_names))
			maker->plan->effect.tasks++;
	}
	free(names);
}

/* Upstreams of a service that are left in all regions together. */
static struct service_sum sum_regions(const struct survey *survey,
				      const char *service)
{
	struct service_sum total = { .service = service };
	size_t i;

	for (i = 0; i < survey->count; i++) {
		const struct service_sum *sum = &survey->sums[i];

		if (strcmp(sum->service, service))
			continue;
		total.left += sum->left;
		total.in_flight += sum->in_flight;
		total.slots_left += sum->slots_left;
	}
	return total;
}

static int check_services(struct maker *maker, const struct survey *survey)
{
	const char *domain = maker->plan->intent.u.domain;
	size_t i;

	for (i = 0; i < survey->count; i++) {
		const struct service_sum *sum = &survey->sums[i];
		struct service_sum total;

		if (!sum->moved)
			continue;
		total = sum_regions(survey, sum->service);
		if (!total.left)
			return refuse(maker, ERR_INVALID,
				      "would drain the last domain that serves "
				      "'%s': no usable upstream is left "
				      "outside of %s; undrain another domain "
				      "or add VMs first",
				      sum->service, domain);
		if (!sum->left)
			warn(maker, WARN_REGION_EMPTY);
		if (total.in_flight * 100 > total.slots_left * BUSY_PERCENT)
			warn(maker, WARN_CAPACITY);
	}
	return 0;
}

static int make_drain(struct maker *maker)
{
	const char *domain = maker->plan->intent.u.domain;
	struct survey survey;
	int err;

	if (config_domain_drained(maker->config, domain)) {
		maker->plan->in_force = 1;
		return 0;
	}
	if (maker->config->drained_count == DOMAINS_MAX)
		return refuse(maker, ERR_FULL,
			      "%d domains are drained already, no more can be",
			      DOMAINS_MAX);
	survey_members(maker, &survey, domain);
	count_tasks(maker, domain);
	if (!survey.domain_known)
		err = refuse(maker, ERR_NOT_FOUND,
			     "no VM of a domain '%s' is known to this entry; "
			     "GET /v1/status lists the domains",
			     domain);
	else
		err = check_services(maker, &survey);
	free(survey.sums);
	return err;
}

/* Agents of a drained domain announce that they leave, but are alive. */
static void count_returning(struct maker *maker, const char *domain)
{
	const struct membership *membership = maker->view->membership;
	struct plan_effect *effect = &maker->plan->effect;
	const struct list *pos;

	list_for_each (pos, &membership->members) {
		const struct member *member =
			list_entry(pos, struct member, node);

		if (strcmp(member->domain, domain) ||
		    mstime_diff(maker->view->now, member->reported_at) >
			    membership->silent_after_ms)
			continue;
		effect->upstreams++;
		effect->upstreams_left++;
	}
}

static int make_undrain(struct maker *maker)
{
	const char *domain = maker->plan->intent.u.domain;
	struct survey survey;

	if (!config_domain_drained(maker->config, domain)) {
		maker->plan->in_force = 1;
		return 0;
	}
	survey_members(maker, &survey, "");
	free(survey.sums);
	count_returning(maker, domain);
	return 0;
}

static int fits(const struct resources *need, const struct resources *have)
{
	return need->cpu_milli <= have->cpu_milli &&
	       need->mem_mb <= have->mem_mb && need->accel <= have->accel;
}

static const struct plan_job *job_find(const struct plan_view *view,
				       const char *job)
{
	size_t i;

	for (i = 0; i < view->job_count; i++)
		if (!strcmp(view->jobs[i].job, job))
			return &view->jobs[i];
	return NULL;
}

/* Declared sizes only: what is in use now may be gone when the job starts. */
static int some_vm_fits(struct maker *maker, const struct resources *need)
{
	const struct membership *membership = maker->view->membership;
	const struct list *pos;
	int known = 0;

	list_for_each (pos, &membership->members) {
		const struct member *member =
			list_entry(pos, struct member, node);

		if (!fits(need, &member->capacity))
			continue;
		known = 1;
		maker->plan->effect.vms_fit +=
			member_usable(membership, member, maker->view->now) &&
			!config_domain_drained(maker->config, member->domain);
	}
	return known;
}

static int make_submit(struct maker *maker)
{
	const struct job_spec *spec = &maker->plan->intent.u.submit;
	const struct resources *quota = config_quota(maker->config, spec->team);

	if (job_find(maker->view, spec->job))
		return refuse(maker, ERR_EXISTS,
			      "a job '%s' exists already; see "
			      "GET /v1/explain/job/%s or choose another id",
			      spec->job, spec->job);
	if (!maker->view->jobs_known)
		warn(maker, WARN_JOBS_UNKNOWN);
	if (!some_vm_fits(maker, &spec->need))
		warn(maker, WARN_NO_VM_FITS);
	if (quota && !fits(&spec->need, quota))
		warn(maker, WARN_OVER_QUOTA);
	return 0;
}

static int make_cancel(struct maker *maker)
{
	const char *id = maker->plan->intent.u.job;
	const struct plan_job *job = job_find(maker->view, id);

	if (!maker->view->jobs_known)
		warn(maker, WARN_JOBS_UNKNOWN);
	else if (!job)
		return refuse(maker, ERR_NOT_FOUND, "there is no job '%s'", id);
	if (!job)
		return 0;
	maker->plan->in_force = job->ended;
	maker->plan->effect.tasks = !job->ended && job->agent[0];
	return 0;
}

static int check_limits(struct maker *maker, const int64_t *limits)
{
	if (limits[LIMIT_DEADLINE_DEFAULT_MS] > limits[LIMIT_DEADLINE_MAX_MS])
		return refuse(maker, ERR_INVALID,
			      "deadline_default_ms (%" PRId64 ") would be over "
			      "deadline_max_ms (%" PRId64 ")",
			      limits[LIMIT_DEADLINE_DEFAULT_MS],
			      limits[LIMIT_DEADLINE_MAX_MS]);
	if (limits[LIMIT_HOLDOVER_MS] <
	    maker->config->limits[LIMIT_HOLDOVER_MS])
		warn(maker, WARN_HOLDOVER);
	if (limits[LIMIT_GRANT_MS] < limits[LIMIT_TASK_LEASE_MS])
		warn(maker, WARN_SHORT_GRANT);
	return 0;
}

static int make_limit(struct maker *maker)
{
	const struct intent_limit *limit = &maker->plan->intent.u.limit;
	int64_t limits[LIMIT_COUNT];

	if (maker->config->limits[limit->key] == limit->value) {
		maker->plan->in_force = 1;
		return 0;
	}
	if (limit->key == LIMIT_PARTITIONS)
		return refuse(maker, ERR_INVALID,
			      "partitions is fixed: owners hold partitions and "
			      "jobs are stored by their number");
	memcpy(limits, maker->config->limits, sizeof(limits));
	limits[limit->key] = limit->value;
	return check_limits(maker, limits);
}

static int make_set_quota(struct maker *maker)
{
	const struct team_quota *quota = &maker->plan->intent.u.quota;
	const struct resources *old = config_quota(maker->config, quota->team);

	if (!old && maker->config->quota_count == TEAMS_MAX)
		return refuse(maker, ERR_FULL,
			      "%d teams have quotas, no more can be kept",
			      TEAMS_MAX);
	maker->plan->in_force =
		old && !memcmp(old, &quota->quota, sizeof(*old));
	return 0;
}

static int make_unset_quota(struct maker *maker)
{
	maker->plan->in_force =
		!config_quota(maker->config, maker->plan->intent.u.quota.team);
	return 0;
}

static int (*const makers[INTENT_KIND_COUNT])(struct maker *maker) = {
	[INTENT_DRAIN] = make_drain,
	[INTENT_UNDRAIN] = make_undrain,
	[INTENT_SUBMIT] = make_submit,
	[INTENT_CANCEL] = make_cancel,
	[INTENT_SET_LIMIT] = make_limit,
	[INTENT_UNSET_LIMIT] = make_limit,
	[INTENT_SET_QUOTA] = make_set_quota,
	[INTENT_UNSET_QUOTA] = make_unset_quota,
};

int plan_make(struct plan *plan, const struct intent *intent,
	      const struct config *config, const struct plan_view *view,
	      char *reason, size_t reason_size)
{
	struct maker maker = { plan, config, view, reason, reason_size };

	memset(plan, 0, sizeof(*plan));
	plan->intent = *intent;
	plan->basis = config->version;
	return makers[intent->kind](&maker);
}

/* Names the changes after the basis, as far as they are still kept. */
static void describe_changes(const struct config *config, uint64_t basis,
			     char *buf, size_t size)
{
	size_t len, i;

	len = (size_t)snprintf(buf, size,
			       "the plan rests on version %" PRIu64
			       ", version %" PRIu64 " is in force; since then:",
			       basis, config->version);
	if (config->change_count && config->changes[0].version > basis + 1 &&
	    len < size)
		len += (size_t)snprintf(buf + len, size - len,
					" (earlier ones are not kept)");
	for (i = 0; i < config->change_count && len < size; i++)
		if (config->changes[i].version > basis)
			len += (size_t)snprintf(buf + len, size - len,
						" %" PRIu64 ": %s;",
						config->changes[i].version,
						config->changes[i].text);
	if (len < size)
		snprintf(buf + len, size - len, " make a new plan");
}

/* The intent holds already, whatever the basis of the plan was. */
static int in_force(const struct plan *plan, const struct config *config,
		    const struct plan_view *view, char *reason, size_t size)
{
	struct plan again;

	if (plan_make(&again, &plan->intent, config, view, reason, size))
		return 0;
	return again.in_force;
}

int plan_check(const struct plan *plan, const struct config *config,
	       const struct plan_view *view, char *reason, size_t reason_size)
{
	struct plan again;
	uint32_t unseen;
	int err, i;

	if (in_force(plan, config, view, reason, reason_size))
		return 1;
	if (plan->basis != config->version) {
		describe_changes(config, plan->basis, reason, reason_size);
		return ERR_CONFLICT;
	}
	err = plan_make(&again, &plan->intent, config, view, reason,
			reason_size);
	if (err)
		return err;
	unseen = again.warnings & ~plan->warnings;
	for (i = 0; i < WARN_COUNT; i++) {
		if (!(unseen & 1u << i))
			continue;
		snprintf(reason, reason_size,
			 "the plan would now warn: %s; make a new plan",
			 plan_warning_text((enum plan_warning)i));
		return ERR_CONFLICT;
	}
	return 0;
}
