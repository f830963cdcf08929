#include <stdlib.h>
#include <string.h>

#include "dispatch.h"
#include "dispatch_internal.h"
#include "mem.h"

#define ACKNOWLEDGE_WITHIN_MS 200

static int must_not_run(const struct run *run)
{
	return run->is_orphan || run->is_evicted ||
	       workflow_is_final(run->workflow);
}

static int may_send(const struct dispatch *dispatch, struct mstime last,
		    struct mstime now)
{
	return !last.ms ||
	       mstime_diff(now, last) >= dispatch->limits.resend_interval_ms;
}

static int start_is_due(const struct dispatch *dispatch, const struct run *run,
			struct mstime now)
{
	return run->state == RUN_SAVED && !must_not_run(run) &&
	       run->worker_start_ms == run->worker->start_ms &&
	       may_send(dispatch, run->start_sent_at, now);
}

static int stop_is_due(const struct dispatch *dispatch, const struct run *run,
		       struct mstime now)
{
	return run->state != RUN_UNSAVED && run->is_ordered &&
	       must_not_run(run) && may_send(dispatch, run->stop_sent_at, now);
}

static int never_ordered(const struct run *run)
{
	return run->state == RUN_SAVED && !run->is_ordered && must_not_run(run);
}

static void add_start(struct dispatch *dispatch, struct run *run,
		      struct msg_work_orders *orders, struct mstime now)
{
	struct workflow *workflow = run->workflow;
	const struct workflow_step *step = &workflow->spec.steps[run->id.step];
	struct run_order *order = &dispatch->starts[orders->starts.count++];

	order->task = run->id;
	order->run = run->number;
	order->payload = workflow->spec.payload;
	order->checkpoint = workflow_find_task(workflow, &run->id)->checkpoint;
	order->best_effort = run->best_effort;
	order->latency_target_ms = (uint32_t)step->latency_target_ms;
	if (!run->unconfirmed_since.ms)
		run->unconfirmed_since = now;
	run->is_ordered = 1;
	run->start_sent_at = now;
}

static void add_stop(struct dispatch *dispatch, struct run *run,
		     struct msg_work_orders *orders, struct mstime now)
{
	struct run_id *name = &dispatch->stops[orders->stops.count++];

	name->task = run->id;
	name->run = run->number;
	run->is_stopping = 1;
	run->stop_sent_at = now;
}

static int pace_is_due(const struct run *run)
{
	return run->best_effort && run->is_active &&
	       run->pace != run->pace_sent;
}

static void add_pace(struct dispatch *dispatch, struct run *run,
		     struct msg_work_orders *orders)
{
	struct run_pace *pace = &dispatch->paces[orders->paces.count++];

	pace->task = run->id;
	pace->run = run->number;
	pace->percent = run->pace;
	run->pace_sent = run->pace;
}

/* The next orders may take it along, so that each end needs no message. */
static int acknowledgement_is_due(const struct worker *worker,
				  struct mstime now)
{
	return worker->needs_acknowledgement &&
	       mstime_diff(now, worker->responded_at) >= ACKNOWLEDGE_WITHIN_MS;
}

int dispatch_may_have_orders(const struct worker *worker)
{
	return !list_empty(&worker->orders_node);
}

void dispatch_note_orders(struct worker *worker)
{
	if (list_empty(&worker->orders_node))
		list_add_tail(worker->workers_with_orders,
			      &worker->orders_node);
}

struct worker *dispatch_next_with_orders(struct dispatch *dispatch)
{
	struct list *node = dispatch->workers_with_orders.next;

	if (node == &dispatch->workers_with_orders)
		return NULL;
	list_del(node);
	return list_entry(node, struct worker, orders_node);
}

int dispatch_has_orders(struct dispatch *dispatch, const struct worker *worker,
			struct mstime now)
{
	const struct list *pos;

	if (worker->needs_response || acknowledgement_is_due(worker, now))
		return 1;
	list_for_each (pos, &worker->runs) {
		const struct run *run = list_entry(pos, struct run, node);

		if ((worker->has_current_lists &&
		     start_is_due(dispatch, run, now)) ||
		    stop_is_due(dispatch, run, now) || never_ordered(run) ||
		    pace_is_due(run))
			return 1;
	}
	return 0;
}

int dispatch_build_orders(struct dispatch *dispatch, struct worker *worker,
			  int may_extend, struct msg_work_orders *orders,
			  struct mstime now)
{
	struct list *pos, *tmp;

	dispatch->now = now;
	list_del(&worker->orders_node);
	if (!worker->session || !worker->fence ||
	    !dispatch_has_orders(dispatch, worker, now))
		return 0;
	memset(orders, 0, sizeof(*orders));
	orders->epoch = dispatch->epoch;
	orders->report_seq = worker->report_seq;
	orders->fence = worker->fence;
	str_copy(orders->worker, worker->id, sizeof(orders->worker));
	orders->worker_start_ms = worker->start_ms;
	orders->stored_end_number = worker->stored_end_number;
	orders->starts.items = dispatch->starts;
	orders->stops.items = dispatch->stops;
	orders->paces.items = dispatch->paces;
	dispatch_extend_lease(dispatch, worker, may_extend, orders, now);
	worker->needs_response = 0;
	worker->needs_acknowledgement = 0;
	worker->responded_at = now;
	list_for_each_safe (pos, tmp, &worker->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (never_ordered(run))
			dispatch_run_end(dispatch, run, now);
		else if (stop_is_due(dispatch, run, now) &&
			 orders->stops.count < RUNS_MAX)
			add_stop(dispatch, run, orders, now);
		else if (may_extend && worker->has_current_lists &&
			 start_is_due(dispatch, run, now) &&
			 orders->starts.count < ORDER_STARTS_MAX)
			add_start(dispatch, run, orders, now);
		else if (pace_is_due(run) && orders->paces.count < RUNS_MAX)
			add_pace(dispatch, run, orders);
	}
	return 1;
}
