#include "plan.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "mem.h"

/* Above this share of used slots, queues at the upstreams grow quickly. */
#define BUSY_PERCENT 80

/* Upstreams of one service in one region: those to be drained, those left. */
struct service_totals {
	const char *service;
	const char *region;
	uint32_t drained;
	uint32_t left;
	uint64_t in_flight;
	uint64_t slots_left;
};

struct upstream_counts {
	struct service_totals *services;
	size_t service_count;
	int domain_known;
};

struct plan_context {
	struct plan *plan;
	const struct config *config;
	const struct plan_view *view;
	char *reason;
	size_t reason_size;
};

static int refuse(struct plan_context *ctx, int err, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

static int refuse(struct plan_context *ctx, int err, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vsnprintf(ctx->reason, ctx->reason_size, fmt, args);
	va_end(args);
	return err;
}

static void add_warning(struct plan_context *ctx, enum plan_warning warning)
{
	ctx->plan->warnings |= 1u << warning;
}

static struct service_totals *totals_of(struct upstream_counts *counts,
					const struct member *member)
{
	struct service_totals *totals;
	size_t i;

	for (i = 0; i < counts->service_count; i++) {
		totals = &counts->services[i];
		if (!strcmp(totals->service, member->service) &&
		    !strcmp(totals->region, member->region))
			return totals;
	}
	counts->services =
		xrealloc(counts->services, (counts->service_count + 1) *
						   sizeof(*counts->services));
	totals = &counts->services[counts->service_count++];
	*totals = (struct service_totals){ .service = member->service,
					   .region = member->region };
	return totals;
}

static void count_drained(struct plan_effect *effect,
			  const struct member *member)
{
	const struct load *load = &member->load;

	effect->upstreams++;
	effect->requests += load->in_flight;
	if (load->connections > load->in_flight)
		effect->streams += load->connections - load->in_flight;
}

static void count_member(struct plan_context *ctx,
			 struct upstream_counts *counts,
			 const struct member *member, const char *domain)
{
	struct service_totals *totals = totals_of(counts, member);
	int in_domain = !strcmp(member->domain, domain);

	counts->domain_known |= in_domain;
	if (!member_usable(ctx->view->membership, member, ctx->view->now))
		return;
	totals->in_flight += member->load.in_flight;
	if (in_domain) {
		totals->drained++;
		count_drained(&ctx->plan->effect, member);
	} else if (!config_domain_drained(ctx->config, member->domain)) {
		totals->left++;
		totals->slots_left += member->slots;
		ctx->plan->effect.upstreams_left++;
	}
}

/* Counts all members in one pass; domain "" drains none. */
static void count_members(struct plan_context *ctx,
			  struct upstream_counts *counts, const char *domain)
{
	const struct list *pos;

	memset(counts, 0, sizeof(*counts));
	list_for_each (pos, &ctx->view->membership->members)
		count_member(ctx, counts, list_entry(pos, struct member, node),
			     domain);
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* RETURN VALUE: newly allocated sorted array; *count receives its length. */
static const char **agents_in_domain(const struct membership *membership,
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

static void count_tasks(struct plan_context *ctx, const char *domain)
{
	const struct plan_view *view = ctx->view;
	const char **names;
	size_t count, i;

	if (!view->jobs_known)
		add_warning(ctx, WARN_JOBS_UNKNOWN);
	names = agents_in_domain(view->membership, domain, &count);
	for (i = 0; i < view->job_count; i++) {
		const char *agent = view->jobs[i].agent;

		if (!view->jobs[i].ended && agent[0] &&
		    bsearch(&agent, names, count, sizeof(names[0]),
			    compare_names))
			ctx->plan->effect.tasks++;
	}
	free(names);
}

/* Sums the upstreams of a service that are left over all regions. */
static struct service_totals sum_regions(const struct upstream_counts *counts,
					 const char *service)
{
	struct service_totals all_regions = { .service = service };
	size_t i;

	for (i = 0; i < counts->service_count; i++) {
		const struct service_totals *totals = &counts->services[i];

		if (strcmp(totals->service, service))
			continue;
		all_regions.left += totals->left;
		all_regions.in_flight += totals->in_flight;
		all_regions.slots_left += totals->slots_left;
	}
	return all_regions;
}

static int check_services(struct plan_context *ctx,
			  const struct upstream_counts *counts)
{
	const char *domain = ctx->plan->intent.u.domain;
	size_t i;

	for (i = 0; i < counts->service_count; i++) {
		const struct service_totals *totals = &counts->services[i];
		struct service_totals all_regions;

		if (!totals->drained)
			continue;
		all_regions = sum_regions(counts, totals->service);
		if (!all_regions.left)
			return refuse(ctx, ERR_INVALID,
				      "would drain the last domain that serves "
				      "'%s': no usable upstream is left "
				      "outside of %s; undrain another domain "
				      "or add VMs first",
				      totals->service, domain);
		if (!totals->left)
			add_warning(ctx, WARN_REGION_EMPTY);
		if (all_regions.in_flight * 100 >
		    all_regions.slots_left * BUSY_PERCENT)
			add_warning(ctx, WARN_CAPACITY);
	}
	return 0;
}

static int make_drain(struct plan_context *ctx)
{
	const char *domain = ctx->plan->intent.u.domain;
	struct upstream_counts counts;
	int err;

	if (config_domain_drained(ctx->config, domain)) {
		ctx->plan->in_force = 1;
		return 0;
	}
	if (ctx->config->drained_count == DOMAINS_MAX)
		return refuse(ctx, ERR_FULL,
			      "%d domains are drained already, no more can be",
			      DOMAINS_MAX);
	count_members(ctx, &counts, domain);
	count_tasks(ctx, domain);
	if (!counts.domain_known)
		err = refuse(ctx, ERR_NOT_FOUND,
			     "no VM of a domain '%s' is known to this entry; "
			     "GET /v1/status lists the domains",
			     domain);
	else
		err = check_services(ctx, &counts);
	free(counts.services);
	return err;
}

/*
 * Agents of a drained domain announce the state AGENT_LEAVING, so that
 * member_usable() is false for them; those that still report count here.
 */
static void count_returning(struct plan_context *ctx, const char *domain)
{
	const struct membership *membership = ctx->view->membership;
	struct plan_effect *effect = &ctx->plan->effect;
	const struct list *pos;

	list_for_each (pos, &membership->members) {
		const struct member *member =
			list_entry(pos, struct member, node);

		if (strcmp(member->domain, domain) ||
		    mstime_diff(ctx->view->now, member->reported_at) >
			    membership->silent_after_ms)
			continue;
		effect->upstreams++;
		effect->upstreams_left++;
	}
}

static int make_undrain(struct plan_context *ctx)
{
	const char *domain = ctx->plan->intent.u.domain;
	struct upstream_counts counts;

	if (!config_domain_drained(ctx->config, domain)) {
		ctx->plan->in_force = 1;
		return 0;
	}
	count_members(ctx, &counts, "");
	free(counts.services);
	count_returning(ctx, domain);
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

/*
 * Compares the declared capacity only: what is in use now may be free when the
 * job starts. Also counts the usable VMs that are large enough.
 */
static int some_vm_fits(struct plan_context *ctx, const struct resources *need)
{
	const struct membership *membership = ctx->view->membership;
	const struct list *pos;
	int known = 0;

	list_for_each (pos, &membership->members) {
		const struct member *member =
			list_entry(pos, struct member, node);

		if (!fits(need, &member->capacity))
			continue;
		known = 1;
		ctx->plan->effect.vms_fit +=
			member_usable(membership, member, ctx->view->now) &&
			!config_domain_drained(ctx->config, member->domain);
	}
	return known;
}

static int make_submit(struct plan_context *ctx)
{
	const struct job_spec *spec = &ctx->plan->intent.u.submit;
	const struct resources *quota = config_quota(ctx->config, spec->team);

	if (job_find(ctx->view, spec->job))
		return refuse(ctx, ERR_EXISTS,
			      "a job '%s' exists already; see "
			      "GET /v1/explain/job/%s or choose another id",
			      spec->job, spec->job);
	if (!ctx->view->jobs_known)
		add_warning(ctx, WARN_JOBS_UNKNOWN);
	if (!some_vm_fits(ctx, &spec->need))
		add_warning(ctx, WARN_NO_VM_FITS);
	if (quota && !fits(&spec->need, quota))
		add_warning(ctx, WARN_OVER_QUOTA);
	return 0;
}

static int make_cancel(struct plan_context *ctx)
{
	const char *id = ctx->plan->intent.u.job;
	const struct plan_job *job = job_find(ctx->view, id);

	if (!ctx->view->jobs_known)
		add_warning(ctx, WARN_JOBS_UNKNOWN);
	else if (!job)
		return refuse(ctx, ERR_NOT_FOUND, "there is no job '%s'", id);
	if (!job)
		return 0;
	ctx->plan->in_force = job->ended;
	ctx->plan->effect.tasks = !job->ended && job->agent[0];
	return 0;
}

static int check_limits(struct plan_context *ctx, const int64_t *limits)
{
	if (config_deadlines_conflict(limits))
		return refuse(ctx, ERR_INVALID,
			      "deadline_default_ms (%" PRId64 ") would be over "
			      "deadline_max_ms (%" PRId64 ")",
			      limits[LIMIT_DEADLINE_DEFAULT_MS],
			      limits[LIMIT_DEADLINE_MAX_MS]);
	if (limits[LIMIT_HOLDOVER_MS] < ctx->config->limits[LIMIT_HOLDOVER_MS])
		add_warning(ctx, WARN_HOLDOVER);
	if (config_grant_is_short(limits))
		add_warning(ctx, WARN_SHORT_GRANT);
	return 0;
}

static int make_limit(struct plan_context *ctx)
{
	const struct intent_limit *limit = &ctx->plan->intent.u.limit;
	int64_t limits[LIMIT_COUNT];

	if (ctx->config->limits[limit->key] == limit->value) {
		ctx->plan->in_force = 1;
		return 0;
	}
	if (limit->key == LIMIT_PARTITIONS)
		return refuse(ctx, ERR_INVALID,
			      "partitions is fixed: owners hold partitions and "
			      "jobs are stored by their number");
	memcpy(limits, ctx->config->limits, sizeof(limits));
	limits[limit->key] = limit->value;
	return check_limits(ctx, limits);
}

static int make_set_quota(struct plan_context *ctx)
{
	const struct team_quota *quota = &ctx->plan->intent.u.quota;
	const struct resources *old = config_quota(ctx->config, quota->team);

	if (!old && ctx->config->quota_count == TEAMS_MAX)
		return refuse(ctx, ERR_FULL,
			      "%d teams have quotas, no more can be kept",
			      TEAMS_MAX);
	ctx->plan->in_force = old && !memcmp(old, &quota->quota, sizeof(*old));
	return 0;
}

static int make_unset_quota(struct plan_context *ctx)
{
	ctx->plan->in_force =
		!config_quota(ctx->config, ctx->plan->intent.u.quota.team);
	return 0;
}

static int (*const make_functions[INTENT_KIND_COUNT])(
	struct plan_context *ctx) = {
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
	struct plan_context ctx = { plan, config, view, reason, reason_size };

	memset(plan, 0, sizeof(*plan));
	plan->intent = *intent;
	plan->basis = config->version;
	return make_functions[intent->kind](&ctx);
}

/* Lists the changes since basis that are still in the history. */
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

/* Whether the intent is already in force, regardless of the plan's basis. */
static int is_in_force(const struct plan *plan, const struct config *config,
		       const struct plan_view *view, char *reason, size_t size)
{
	struct plan remade;

	if (plan_make(&remade, &plan->intent, config, view, reason, size))
		return 0;
	return remade.in_force;
}

int plan_check(const struct plan *plan, const struct config *config,
	       const struct plan_view *view, char *reason, size_t reason_size)
{
	struct plan remade;
	uint32_t unseen;
	int err, i;

	if (is_in_force(plan, config, view, reason, reason_size))
		return 1;
	if (plan->basis != config->version) {
		describe_changes(config, plan->basis, reason, reason_size);
		return ERR_CONFLICT;
	}
	err = plan_make(&remade, &plan->intent, config, view, reason,
			reason_size);
	if (err)
		return err;
	unseen = remade.warnings & ~plan->warnings;
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
