#include <stdlib.h>
#include <string.h>

#include "dispatch.h"
#include "dispatch_internal.h"

/* Older lists extend no lease: the runner may not reach its worker. */
#define LIST_AGE_MAX_MS 1500

static const char *const basis_names[] = {
	[LEASE_LISTED] = "listed",
	[LEASE_NOT_LEADER] = "not-leader",
	[LEASE_OLD_LISTS] = "old-lists",
	[LEASE_NO_LISTS] = "no-lists",
	[LEASE_NO_WORKER] = "no-worker",
	[LEASE_SILENT] = "silent",
	[LEASE_NOT_REPORTED] = "not-reported",
};

static struct mstime lease_end(const struct worker *worker)
{
	return mstime_max(worker->lease_end, worker->inherited_lease_end);
}

/* Reports a change of the basis while there are runs that it affects. */
static void note_basis(struct dispatch *dispatch, struct worker *worker,
		       enum lease_basis basis, struct mstime now)
{
	struct dispatch_event event = {
		.kind = DISPATCH_WORKER_LEASE,
		.worker = worker,
		.reason = basis_names[basis],
		.value = basis == LEASE_LISTED,
		.lease_left_ms = mstime_diff(lease_end(worker), now),
	};

	if (list_empty(&worker->runs) || worker->lease_basis == basis)
		return;
	worker->lease_basis = basis;
	if (dispatch->event_fn)
		dispatch->event_fn(dispatch->event_arg, &event);
}

static int is_overdue(const struct dispatch *dispatch,
		      const struct worker *worker, struct mstime now)
{
	return mstime_diff(now, worker->reported_at) >
	       dispatch->limits.worker_report_timeout_ms;
}

static enum lease_basis lease_basis(const struct dispatch *dispatch,
				    const struct worker *worker,
				    struct mstime now)
{
	if (!worker->session)
		return LEASE_NOT_REPORTED;
	if (is_overdue(dispatch, worker, now))
		return LEASE_SILENT;
	if (worker->is_unbound)
		return LEASE_NO_WORKER;
	if (!worker->listed_fence)
		return LEASE_NO_LISTS;
	return worker->list_age_ms > LIST_AGE_MAX_MS ? LEASE_OLD_LISTS
						     : LEASE_LISTED;
}

void dispatch_extend_lease(struct dispatch *dispatch, struct worker *worker,
			   int may_extend, struct msg_work_orders *orders,
			   struct mstime now)
{
	enum lease_basis basis = lease_basis(dispatch, worker, now);

	if (basis == LEASE_LISTED && !may_extend)
		basis = LEASE_NOT_LEADER;
	if (basis == LEASE_LISTED) {
		orders->lease_ms = (uint32_t)dispatch->limits.lease_ms;
		worker->lease_end =
			mstime_max(worker->lease_end,
				   mstime_add(worker->reported_at,
					      dispatch->limits.lease_max_ms));
	}
	note_basis(dispatch, worker, basis, now);
}

void dispatch_bound_lease(struct dispatch *dispatch, struct worker *worker,
			  const struct msg_work_report *report,
			  struct mstime now)
{
	/* For the worker's clock, which may be slow, and calls in flight. */
	int64_t slack_ms =
		dispatch->limits.lease_max_ms - dispatch->limits.lease_ms;
	struct mstime end = mstime_add(now, report->lease_left_ms + slack_ms);

	if (mstime_before(end, worker->inherited_lease_end))
		worker->inherited_lease_end = end;
}

int64_t dispatch_lease_left_ms(const struct worker *worker, struct mstime now)
{
	int64_t left_ms = mstime_diff(lease_end(worker), now);

	return left_ms > 0 ? left_ms : 0;
}

void dispatch_inherit_lease(struct dispatch *dispatch, const char *runner,
			    int64_t left_ms)
{
	struct worker *worker =
		dispatch_get_worker(dispatch, runner, dispatch->takeover_at);
	struct mstime end = mstime_add(dispatch->takeover_at, left_ms);

	if (mstime_before(end, worker->inherited_lease_end))
		worker->inherited_lease_end = end;
}

void dispatch_expire_lease(struct dispatch *dispatch, struct worker *worker,
			   struct mstime now)
{
	enum lease_basis basis = lease_basis(dispatch, worker, now);
	struct list *pos, *tmp;

	/* A worker that this scheduler has not seen gets no orders. */
	if (basis != LEASE_LISTED &&
	    (worker->session || is_overdue(dispatch, worker, now)))
		note_basis(dispatch, worker, basis, now);
	if (mstime_before(now, lease_end(worker)) || list_empty(&worker->runs))
		return;
	dispatch_emit(dispatch, DISPATCH_WORKER_LEASE_EXPIRED, NULL, worker,
		      NULL, 0, basis_names[worker->lease_basis]);
	list_for_each_safe (pos, tmp, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (run->state == RUN_UNSAVED)
			continue;
		dispatch_emit(dispatch, DISPATCH_RUN_LOST, run->workflow,
			      worker, &run->id, run->number, "lapsed");
		dispatch_run_end(dispatch, run, now);
	}
}
