#ifndef CATKINHILL_FAKEWORKER_H
#define CATKINHILL_FAKEWORKER_H

#include <inttypes.h>
#include <stdint.h>
#include <stdio.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#include "list.h"
#include "message.h"

/*
 * NAME
 *	fakeworker - stand-in of a worker: a service and the task interface
 *
 * NOTES
 *	Starts whatever it is given, whether it fits or not, and keeps a
 *	record of what it did, so that tests can prove limits and effects.
 */
enum usage_kind {
	USAGE_SLOTS, /* requests in progress, without streams after the head */
	USAGE_CONNECTIONS, /* requests and streams */
	USAGE_CPU,
	USAGE_MEM,
	USAGE_ACCEL,
	USAGE_COUNT
};

struct faults {
	int64_t slow_ms;    /* added to each request of the service */
	int fail;	    /* 500 for every request; every task fails */
	int64_t lose;	    /* answers of the service lost after the effect */
	int64_t lose_tasks; /* the same at the task interface */
	int64_t slow_tasks_ms;
};

struct worker {
	struct event_base *base;
	struct evhttp *http[2];
	const char *who;
	struct faults faults;
	int64_t limits[USAGE_COUNT];
	int64_t usage[USAGE_COUNT];
	int64_t max[USAGE_COUNT];
	json_t *history; /* records as in history.h */
	FILE *history_file;
	const char *effects; /* folder of the ledger, or NULL */
	int64_t skipped;     /* steps that the ledger had already */
	struct list tasks;
	struct list later; /* calls that run_later() has not made yet */
	int64_t late;	   /* starts and renewals refused after a grant's end */
	int64_t published;
};

/* Time of the records, on the clock that the tests in Python read. */
int64_t worker_now_ms(void);
/* Time of the leases, on the clock of not_after_ms. */
int64_t worker_boot_ms(void);

/* record.c: adds "t" and "who"; record_add() takes over the reference. */
void record_stamp(struct worker *worker, json_t *record);
void record_add(struct worker *worker, json_t *record);
void record_usage(struct worker *worker, enum usage_kind kind, int64_t delta);
void record_serve(struct worker *worker, struct evhttp_request *request);

/*
 * ledger.c: the system in which tasks take effect, shared by all workers that
 * name the same folder. Applies a step unless the job's file has it already.
 *
 * RETURN VALUE: whether the step took effect.
 */
int ledger_apply(struct worker *worker, const char *job, int64_t step,
		 json_t *record);

/* service.c */
void service_serve(struct worker *worker, struct evhttp_request *request);

/* tasks.c */
void tasks_serve(struct worker *worker, struct evhttp_request *request);
void tasks_clear(struct worker *worker);

/* Milliseconds by which the running tasks slow each request. */
int64_t tasks_slow_ms(const struct worker *worker);

/* Answers with JSON; takes over the reference. */
void reply_json(struct evhttp_request *request, int status, json_t *body);

/* Closes the connection of a request without an answer. */
void reply_lost(struct worker *worker, struct evhttp_request *request);

/*
 * Calls fn(arg, 0) once after delay_ms, or fn(arg, 1) when the worker ends
 * before; it then only releases what it holds.
 */
typedef void (*later_fn)(void *arg, int ending);
void run_later(struct worker *worker, int64_t delay_ms, later_fn fn, void *arg);

/*
 * Releases a request that will not be answered. libevent leaves it to its
 * user once the client has closed the connection.
 */
void request_drop(struct evhttp_request *request);

/* RETURN VALUE: the body parsed, a new reference, or NULL. */
json_t *request_json(struct evhttp_request *request);

#endif
