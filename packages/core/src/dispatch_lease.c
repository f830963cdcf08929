#include <stdlib.h>
#include <string.h>

#include "dispatch.h"
#include "dispatch_internal.h"

/* Older lists extend no lease: the runner may not reach its worker. */
#define LIST_AGE_MAX_MS 1500

static const char *const basis_names[] = {
	[LEASE_LISTED] = "listed",
	[LEASE_OLD_LISTS] = "old-lists",
	[LEASE_NO_WORKER] = "no-worker",
	[LEASE_SILENT] = "silent",
	[LEASE_NOT_REPORTED] = "not-reported",
};

static struct mstime lease_end(const struct worker *worker)
{
	return mstime_max(worker->lease_end, worker->inherited_lease_end);
}

/* Reports a change of the decision, while there are runs that it affects. */
static void note_decision(struct dispatch *dispatch, struct worker *worker,
			  enum lease_basis basis, int is_extended,
			  struct mstime now)
{
	struct dispatch_event event = {
		.kind = DISPATCH_WORKER_LEASE,
		.worker = worker,
		.reason = basis_names[basis],
		.value = (uint32_t)is_extended,
		.lease_left_ms = mstime_diff(lease_end(worker), now),
	};

	if (list_empty(&worker->runs) ||
	    (worker->lease_basis == basis &&
	     worker->lease_is_paused == !is_extended))
		return;
	worker->lease_basis = basis;
	worker->lease_is_paused = !is_extended;
	if (dispatch->event_fn)
		dispatch->event_fn(dispatch->event_arg, &event);
}

static enum lease_basis report_basis(const struct worker *worker)
{
	if (worker->is_unbound)
		return LEASE_NO_WORKER;
	return worker->list_age_ms > LIST_AGE_MAX_MS ? LEASE_OLD_LISTS
						     : LEASE_LISTED;
}

void dispatch_extend_lease(struct dispatch *dispatch, struct worker *worker,
			   int may_extend, struct msg_work_orders *orders,
			   struct mstime now)
{
	enum lease_basis basis = report_basis(worker);
	int is_extended = may_extend && basis == LEASE_LISTED;

	if (is_extended) {
		orders->lease_ms = (uint32_t)dispatch->limits.lease_ms;
		worker->lease_end =
			mstime_max(worker->lease_end,
				   mstime_add(worker->reported_at,
					      dispatch->limits.lease_max_ms));
	}
	note_decision(dispatch, worker, basis, is_extended, now);
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

void dispatch_expire_lease(struct dispatch *dispatch, struct worker *worker,
			   struct mstime now)
{
	struct list *pos, *tmp;

	if (mstime_diff(now, worker->reported_at) >
	    dispatch->limits.worker_report_timeout_ms)
		note_decision(dispatch, worker,
			      worker->session ? LEASE_SILENT
					      : LEASE_NOT_REPORTED,
			      0, now);
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
