#ifndef CATKINHILL_GATE_H
#define CATKINHILL_GATE_H

#include <stdint.h>

#include "list.h"
#include "message.h"
#include "mstime.h"

/*
 * NAME
 *	gate - admission control for the slots, connections and resources of
 *	one worker
 *
 * NOTES
 *	A request takes a slot and a connection, or waits in a bounded queue
 *	until both are free or its deadline passes. A stream releases its slot
 *	after the response head and keeps its connection. A task reserves CPU,
 *	memory and accelerators: of each, the larger of the declared and the
 *	observed amount. Nothing that does not fit is admitted. A task that
 *	grows beyond its declared amount can raise the reserved sum above the
 *	capacity; as long as it is above, no further task is admitted.
 *
 *	A task for which others are being stopped gets a pending reservation:
 *	no other task is admitted to these resources, and the reservation takes
 *	effect once the stopping tasks have been released. Pending reservations
 *	do not count towards the reserved sum.
 *
 *	The user embeds requests and tasks in its own structs and zeroes them
 *	first; the gate allocates no memory.
 */
enum gate_stage {
	GATE_NOT_ADMITTED, /* not admitted, or released */
	GATE_WAITING,	   /* in the queue */
	GATE_RUNNING,	   /* holds a slot and a connection */
	GATE_STREAMING	   /* holds a connection */
};

struct gate_request {
	struct list node; /* in the queue while waiting */
	enum gate_stage stage;
	struct mstime deadline; /* by which it must start */
};

struct gate_task {
	struct list node;
	int reserved;
	int pending;  /* waits for stopping tasks to be released */
	int stopping; /* reserved, but free for a pending reservation */
	struct resources declared, observed;
};

struct gate_limits {
	uint32_t slots;
	uint32_t connections;
	uint32_t queue;
	struct resources capacity;
};

struct gate {
	struct gate_limits limits;
	struct list queue;
	struct list tasks;
	uint32_t slots_used;
	uint32_t connections_used;
	uint32_t queued;
	int refusing; /* refuse all requests, for reason */
	enum refusal reason;
};

void gate_init(struct gate *gate, const struct gate_limits *limits);

/*
 * From now on, refuses new requests and those in the queue; with
 * REFUSAL_LEAVING also tasks.
 */
void gate_close(struct gate *gate, enum refusal reason);
void gate_open(struct gate *gate);

/*
 * Admits a request that is GATE_NOT_ADMITTED.
 *
 * RETURN VALUE
 *	GATE_RUNNING or GATE_WAITING; GATE_NOT_ADMITTED if it is refused, and
 *	*reason is then set.
 */
enum gate_stage gate_admit(struct gate *gate, struct gate_request *request,
			   struct mstime deadline, struct mstime now,
			   enum refusal *reason);

/*
 * Removes the next request from the queue that can start or must be refused.
 * Call it until it returns NULL, after each release and when
 * gate_next_deadline() has passed.
 *
 * RETURN VALUE
 *	The request: GATE_RUNNING, or GATE_NOT_ADMITTED with *reason set. NULL
 *	if no request can start or must be refused now.
 */
struct gate_request *gate_dequeue(struct gate *gate, struct mstime now,
				  enum refusal *reason);

/* RETURN VALUE: 1 and the earliest deadline in the queue; 0 if it is empty. */
int gate_next_deadline(const struct gate *gate, struct mstime *deadline);

/* Releases the slot of a stream whose response head has been sent. */
void gate_release_slot(struct gate *gate, struct gate_request *request);

/* Releases everything that the request holds, in any stage. */
void gate_release(struct gate *gate, struct gate_request *request);

/*
 * Reserves resources for a task.
 *
 * ERRORS
 *	ERR_FULL	it does not fit into the unreserved capacity
 *	ERR_TOO_LARGE	it would not fit even if nothing was reserved
 *	ERR_STOPPING	the gate is closed for REFUSAL_LEAVING
 *	ERR_EXISTS	the task already has a reservation
 */
int gate_task_reserve(struct gate *gate, struct gate_task *task,
		      const struct resources *declared);

/*
 * Makes a pending reservation of resources that are free, or will be when the
 * stopping tasks have been released. gate_task_release() cancels it. Errors are
 * those of gate_task_reserve().
 */
int gate_task_reserve_pending(struct gate *gate, struct gate_task *task,
			      const struct resources *declared);

/*
 * Turns a pending reservation into an effective one, if it fits.
 *
 * RETURN VALUE
 *	0 if the task now has an effective reservation, else ERR_FULL.
 */
int gate_task_commit_pending(struct gate *gate, struct gate_task *task);

/* Marks a task as being stopped: its resources may be reserved as pending. */
void gate_task_stopping(struct gate *gate, struct gate_task *task);

/* Reserves without a check, for a task that already runs at the worker. */
void gate_task_adopt(struct gate *gate, struct gate_task *task,
		     const struct resources *observed);

/* Raises the reservation to observed; it is never lowered. */
void gate_task_observe(struct gate *gate, struct gate_task *task,
		       const struct resources *observed);
void gate_task_release(struct gate *gate, struct gate_task *task);

/* Sum of all effective reservations; saturates. */
struct resources gate_reserved(const struct gate *gate);

/* The sum once stopping tasks are released and pending ones reserved. */
struct resources gate_projected(const struct gate *gate);

/* RETURN VALUE: amount of the reservation, pending or not. */
struct resources gate_task_amount(const struct gate_task *task);

/* RETURN VALUE: 1 if the reserved sum is above the capacity. */
int gate_overcommitted(const struct gate *gate);

/* Sets all fields but latency_ewma_ms; used includes pending reservations. */
void gate_fill_load(const struct gate *gate, struct load *load);

#endif
