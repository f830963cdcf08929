#include "gate.h"

#include <string.h>

#include "errors.h"

void gate_init(struct gate *gate, const struct gate_limits *limits)
{
	memset(gate, 0, sizeof(*gate));
	gate->limits = *limits;
	list_init(&gate->queue);
	list_init(&gate->tasks);
}

void gate_close(struct gate *gate, enum refusal reason)
{
	gate->refusing = 1;
	gate->reason = reason;
}

void gate_open(struct gate *gate)
{
	gate->refusing = 0;
}

static int has_free_slot(const struct gate *gate)
{
	return gate->slots_used < gate->limits.slots &&
	       gate->connections_used < gate->limits.connections;
}

static void start_request(struct gate *gate, struct gate_request *request)
{
	gate->slots_used++;
	gate->connections_used++;
	request->stage = GATE_RUNNING;
}

enum gate_stage gate_admit(struct gate *gate, struct gate_request *request,
			   struct mstime deadline, struct mstime now,
			   enum refusal *reason)
{
	if (request->stage != GATE_NOT_ADMITTED)
		return request->stage;
	list_init(&request->node);
	request->deadline = deadline;
	if (gate->refusing) {
		*reason = gate->reason;
		return GATE_NOT_ADMITTED;
	}
	if (!mstime_before(now, deadline)) {
		*reason = REFUSAL_DEADLINE;
		return GATE_NOT_ADMITTED;
	}
	/* A new request must not overtake queued ones. */
	if (!gate->queued && has_free_slot(gate)) {
		start_request(gate, request);
		return GATE_RUNNING;
	}
	if (gate->queued >= gate->limits.queue) {
		*reason = REFUSAL_FULL;
		return GATE_NOT_ADMITTED;
	}
	list_add_tail(&gate->queue, &request->node);
	gate->queued++;
	request->stage = GATE_WAITING;
	return GATE_WAITING;
}

static void dequeue(struct gate *gate, struct gate_request *request)
{
	list_del(&request->node);
	gate->queued--;
	request->stage = GATE_NOT_ADMITTED;
}

struct gate_request *gate_dequeue(struct gate *gate, struct mstime now,
				  enum refusal *reason)
{
	struct gate_request *request;
	struct list *pos;

	list_for_each (pos, &gate->queue) {
		request = list_entry(pos, struct gate_request, node);
		if (!gate->refusing && mstime_before(now, request->deadline))
			continue;
		*reason = gate->refusing ? gate->reason : REFUSAL_DEADLINE;
		dequeue(gate, request);
		return request;
	}
	if (list_empty(&gate->queue) || !has_free_slot(gate))
		return NULL;
	request = list_entry(gate->queue.next, struct gate_request, node);
	dequeue(gate, request);
	start_request(gate, request);
	return request;
}

int gate_next_deadline(const struct gate *gate, struct mstime *deadline)
{
	const struct list *pos;
	int found = 0;

	list_for_each (pos, &gate->queue) {
		struct mstime t =
			list_entry(pos, struct gate_request, node)->deadline;

		*deadline = found ? mstime_min(*deadline, t) : t;
		found = 1;
	}
	return found;
}

void gate_release_slot(struct gate *gate, struct gate_request *request)
{
	if (request->stage != GATE_RUNNING)
		return;
	gate->slots_used--;
	request->stage = GATE_STREAMING;
}

void gate_release(struct gate *gate, struct gate_request *request)
{
	switch (request->stage) {
	case GATE_NOT_ADMITTED:
		return;
	case GATE_WAITING:
		dequeue(gate, request);
		return;
	case GATE_RUNNING:
		gate->slots_used--;
		/* fall through */
	case GATE_STREAMING:
		gate->connections_used--;
		request->stage = GATE_NOT_ADMITTED;
	}
}

static uint32_t max_u32(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

static uint32_t add_saturating(uint32_t a, uint32_t b)
{
	return a > UINT32_MAX - b ? UINT32_MAX : a + b;
}

static struct resources add_resources(struct resources a, struct resources b)
{
	a.cpu_milli = add_saturating(a.cpu_milli, b.cpu_milli);
	a.mem_mb = add_saturating(a.mem_mb, b.mem_mb);
	a.accel = add_saturating(a.accel, b.accel);
	return a;
}

static int fits_within(struct resources a, struct resources b)
{
	return a.cpu_milli <= b.cpu_milli && a.mem_mb <= b.mem_mb &&
	       a.accel <= b.accel;
}

static struct resources max_resources(struct resources a, struct resources b)
{
	a.cpu_milli = max_u32(a.cpu_milli, b.cpu_milli);
	a.mem_mb = max_u32(a.mem_mb, b.mem_mb);
	a.accel = max_u32(a.accel, b.accel);
	return a;
}

struct resources gate_task_amount(const struct gate_task *task)
{
	return max_resources(task->declared, task->observed);
}

struct resources gate_reserved(const struct gate *gate)
{
	struct resources sum = { 0, 0, 0 };
	const struct list *pos;

	list_for_each (pos, &gate->tasks) {
		const struct gate_task *t =
			list_entry(pos, struct gate_task, node);

		if (t->reserved)
			sum = add_resources(sum, gate_task_amount(t));
	}
	return sum;
}

struct resources gate_projected(const struct gate *gate)
{
	struct resources sum = { 0, 0, 0 };
	const struct list *pos;

	list_for_each (pos, &gate->tasks) {
		const struct gate_task *t =
			list_entry(pos, struct gate_task, node);

		if (!t->stopping)
			sum = add_resources(sum, gate_task_amount(t));
	}
	return sum;
}

int gate_overcommitted(const struct gate *gate)
{
	return !fits_within(gate_reserved(gate), gate->limits.capacity);
}

static int fits_with(const struct gate *gate, struct resources sum,
		     const struct resources *need)
{
	return fits_within(add_resources(sum, *need), gate->limits.capacity);
}

int gate_task_reserve_pending(struct gate *gate, struct gate_task *task,
			      const struct resources *declared)
{
	if (task->reserved || task->pending)
		return ERR_EXISTS;
	if (gate->refusing && gate->reason == REFUSAL_LEAVING)
		return ERR_STOPPING;
	if (!fits_within(*declared, gate->limits.capacity))
		return ERR_TOO_LARGE;
	if (!fits_with(gate, gate_projected(gate), declared))
		return ERR_FULL;
	memset(task, 0, sizeof(*task));
	task->pending = 1;
	task->declared = *declared;
	list_add_tail(&gate->tasks, &task->node);
	return 0;
}

int gate_task_commit_pending(struct gate *gate, struct gate_task *task)
{
	if (task->pending &&
	    fits_with(gate, gate_reserved(gate), &task->declared)) {
		task->pending = 0;
		task->reserved = 1;
	}
	return task->reserved ? 0 : ERR_FULL;
}

void gate_task_stopping(struct gate *gate, struct gate_task *task)
{
	task->stopping = task->reserved;
}

int gate_task_reserve(struct gate *gate, struct gate_task *task,
		      const struct resources *declared)
{
	int err = gate_task_reserve_pending(gate, task, declared);

	if (!err && gate_task_commit_pending(gate, task)) {
		gate_task_release(gate, task);
		err = ERR_FULL;
	}
	return err;
}

void gate_task_adopt(struct gate *gate, struct gate_task *task,
		     const struct resources *observed)
{
	if (task->reserved || task->pending)
		return;
	memset(task, 0, sizeof(*task));
	task->reserved = 1;
	task->observed = *observed;
	list_add_tail(&gate->tasks, &task->node);
}

void gate_task_observe(struct gate *gate, struct gate_task *task,
		       const struct resources *observed)
{
	if (!task->reserved)
		return;
	/*
	 * Lowering the reservation when usage drops would let other tasks take
	 * resources that are needed when usage rises again.
	 */
	task->observed = (struct resources){
		max_u32(task->observed.cpu_milli, observed->cpu_milli),
		max_u32(task->observed.mem_mb, observed->mem_mb),
		max_u32(task->observed.accel, observed->accel),
	};
}

void gate_task_release(struct gate *gate, struct gate_task *task)
{
	if (!task->reserved && !task->pending)
		return;
	list_del(&task->node);
	task->reserved = 0;
	task->pending = 0;
	task->stopping = 0;
}

void gate_fill_load(const struct gate *gate, struct load *load)
{
	load->in_flight = gate->slots_used;
	load->queued = gate->queued;
	load->connections = gate->connections_used;
	load->used = max_resources(gate_reserved(gate), gate_projected(gate));
}
