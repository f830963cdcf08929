#include <stdlib.h>
#include <string.h>

#include "dispatch.h"
#include "dispatch_internal.h"
#include "mem.h"

#define ACKNOWLEDGE_WITHIN_MS 200
/* Largest size of a message of orders without rows. */
#define ORDERS_HEAD_BYTES 1024

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
	       !run->worker->is_evacuated &&
	       !dispatch_exceeds_capacity(run->worker) &&
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

/* Takes a row with texts of text_len bytes out of what a message can hold. */
static int reserve_row(size_t *room, size_t text_len)
{
	if (*room < RUN_ROW_BYTES + text_len)
		return 0;
	*room -= RUN_ROW_BYTES + text_len;
	return 1;
}

/* RETURN VALUE: 0 if the message can't hold it. */
static int add_start(struct dispatch *dispatch, struct run *run,
		     struct msg_work_orders *orders, size_t *room,
		     struct mstime now)
{
	struct workflow *workflow = run->workflow;
	const struct workflow_step *step = &workflow->spec.steps[run->id.step];
	const char *payload = workflow->spec.payload;
	const struct workflow_task *task =
		workflow_find_task(workflow, &run->id);
	const char *checkpoint = task ? task->checkpoint : NULL;
	struct run_order *order = &dispatch->starts[orders->starts.count];

	if (orders->starts.count == ORDER_STARTS_MAX ||
	    !reserve_row(room, (payload ? strlen(payload) : 0) +
				       (checkpoint ? strlen(checkpoint) : 0)))
		return 0;
	orders->starts.count++;
	order->task = run->id;
	order->run = run->number;
	order->payload = payload;
	order->checkpoint = checkpoint;
	order->best_effort = run->best_effort;
	order->latency_target_ms = (uint32_t)step->latency_target_ms;
	if (!run->unconfirmed_since.ms)
		run->unconfirmed_since = now;
	run->is_ordered = 1;
	run->start_sent_at = now;
	return 1;
}

static int add_stop(struct dispatch *dispatch, struct run *run,
		    struct msg_work_orders *orders, size_t *room,
		    struct mstime now)
{
	struct run_id *name = &dispatch->stops[orders->stops.count];

	if (orders->stops.count == RUNS_MAX || !reserve_row(room, 0))
		return 0;
	orders->stops.count++;
	name->task = run->id;
	name->run = run->number;
	run->is_stopping = 1;
	run->stop_sent_at = now;
	return 1;
}

static int pace_is_due(const struct run *run)
{
	return run->best_effort && run->is_active &&
	       run->pace != run->pace_sent;
}

static int add_pace(struct dispatch *dispatch, struct run *run,
		    struct msg_work_orders *orders, size_t *room)
{
	struct run_pace *pace = &dispatch->paces[orders->paces.count];

	if (orders->paces.count == RUNS_MAX || !reserve_row(room, 0))
		return 0;
	orders->paces.count++;
	pace->task = run->id;
	pace->run = run->number;
	pace->percent = run->pace;
	run->pace_sent = run->pace;
	return 1;
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

/* RETURN VALUE: 0 if an order is due that the message can't hold. */
static int add_due_order(struct dispatch *dispatch, struct run *run,
			 int may_start, struct msg_work_orders *orders,
			 size_t *room, struct mstime now)
{
	if (stop_is_due(dispatch, run, now))
		return add_stop(dispatch, run, orders, room, now);
	if (may_start && start_is_due(dispatch, run, now))
		return add_start(dispatch, run, orders, room, now);
	if (pace_is_due(run))
		return add_pace(dispatch, run, orders, room);
	return 1;
}

int dispatch_build_orders(struct dispatch *dispatch, struct worker *worker,
			  int may_extend, struct msg_work_orders *orders,
			  struct mstime now)
{
	size_t room = FRAME_MAX_BYTES - ORDERS_HEAD_BYTES;
	struct list *pos, *tmp;
	int is_complete = 1;

	dispatch->now = now;
	list_del(&worker->orders_node);
	if (!worker->session || !worker->fence ||
	    !dispatch_has_orders(dispatch, worker, now))
		return ORDERS_NONE;
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
		else if (!add_due_order(dispatch, run,
					may_extend && worker->has_current_lists,
					orders, &room, now))
			is_complete = 0;
	}
	return is_complete ? ORDERS_COMPLETE : ORDERS_PARTIAL;
}
