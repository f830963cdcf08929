#ifndef CATKINHILL_GATE_H
#define CATKINHILL_GATE_H

#include <stdint.h>

#include "list.h"
#include "message.h"
#include "mstime.h"

/*
 * NAME
 *	gate - ledger of the slots, connections and resources of one worker
 *
 * NOTES
 *	A request takes a slot and a connection, or waits in a bounded queue
 *	until both are free or its deadline passes. A stream gives its slot
 *	back after its head and keeps its connection. A task reserves cpu,
 *	memory and accelerators: of each, the larger of the declared and the
 *	observed amount. Nothing is admitted that does not fit. A task that
 *	grows beyond its declaration can raise the reserved sum above the
 *	capacity; until that has passed no further task is admitted.
 *
 *	A task for which others are being stopped claims its room: no other
 *	task is admitted to it, and the task takes it as its reservation once
 *	the stopping tasks have been released. Claims alone never lift the
 *	reserved sum.
 *
 *	Requests and tasks are embedded in structs of the user, zeroed at
 *	first; the gate owns no memory.
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
	struct mstime deadline; /* for the start */
};

struct gate_task {
	struct list node;
	int reserved;
	int pending;  /* waits for stopping tasks; not reserved yet */
	int stopping; /* reserved, but free for a claim */
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
	int refusing; /* refuse everything, for reason */
	enum refusal reason;
};

void gate_init(struct gate *gate, const struct gate_limits *limits);

/*
 * Refuses new requests, and those in the queue, from now on; with
 * REFUSAL_LEAVING also tasks.
 */
void gate_close(struct gate *gate, enum refusal reason);
void gate_open(struct gate *gate);

/*
 * Admits a request that is GATE_NOT_ADMITTED.
 *
 * RETURN VALUE
 *	GATE_RUNNING or GATE_WAITING; GATE_NOT_ADMITTED when it is refused, and
 *	then *reason is set.
 */
enum gate_stage gate_admit(struct gate *gate, struct gate_request *request,
			   struct mstime deadline, struct mstime now,
			   enum refusal *reason);

/*
 * Takes the next request from the queue that can start or must be refused;
 * to be called until it gives NULL, after each release and when
 * gate_next_deadline() has passed.
 *
 * RETURN VALUE
 *	The request: GATE_RUNNING, or GATE_NOT_ADMITTED with *reason set. NULL
 *when the queue has nothing to do at now.
 */
struct gate_request *gate_dequeue(struct gate *gate, struct mstime now,
				  enum refusal *reason);

/* RETURN VALUE: 1 and the earliest deadline in the queue, or 0. */
int gate_next_deadline(const struct gate *gate, struct mstime *deadline);

/* The head of a stream has been sent: gives the slot back. */
void gate_release_slot(struct gate *gate, struct gate_request *request);

/* Gives back all that the request holds, at any stage. */
void gate_release(struct gate *gate, struct gate_request *request);

/*
 * Reserves resources for a task.
 *
 * ERRORS
 *	ERR_FULL	it does not fit beside what is reserved
 *	ERR_TOO_LARGE	it would not fit into the empty worker
 *	ERR_STOPPING	the gate is closed for REFUSAL_LEAVING
 *	ERR_EXISTS	the task has a reservation already
 */
int gate_task_reserve(struct gate *gate, struct gate_task *task,
		      const struct resources *declared);

/*
 * Claims resources that are free, or will be when the stopping tasks have
 * been released; gate_task_release() gives a claim up. Errors are those of
 * gate_task_reserve().
 */
int gate_task_reserve_pending(struct gate *gate, struct gate_task *task,
			      const struct resources *declared);

/*
 * Turns a claim into a reservation.
 *
 * RETURN VALUE
 *	0 when the task has a reservation, else ERR_FULL.
 */
int gate_task_commit_pending(struct gate *gate, struct gate_task *task);

/* The task is being stopped: its room may be claimed. */
void gate_task_stopping(struct gate *gate, struct gate_task *task);

/* Reserves without a check, for a task that the worker already runs. */
void gate_task_adopt(struct gate *gate, struct gate_task *task,
		     const struct resources *observed);

/* Raises the reservation to observed; it does not fall again. */
void gate_task_observe(struct gate *gate, struct gate_task *task,
		       const struct resources *observed);
void gate_task_release(struct gate *gate, struct gate_task *task);

/* Sum of all reservations; saturates. */
struct resources gate_reserved(const struct gate *gate);

/* The same once all stopping tasks are released and all claims taken. */
struct resources gate_projected(const struct gate *gate);

/* RETURN VALUE: what the task has reserved or claimed. */
struct resources gate_task_amount(const struct gate_task *task);

/* RETURN VALUE: 1 when the reserved sum is above the capacity. */
int gate_overcommitted(const struct gate *gate);

/* Fills all fields but latency_ms; used includes what is claimed. */
void gate_fill_load(const struct gate *gate, struct load *load);

#endif
