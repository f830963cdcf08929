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
 *	fakeworker - stand-in for a worker: a service and the task interface
 *
 * NOTES
 *	Accepts every request and task, also beyond its limits, and records
 *	its usage and effects, so that tests can check both.
 */
enum usage_kind {
	USAGE_SLOTS, /* requests in flight, streams only until their head */
	USAGE_CONNECTIONS, /* requests in flight and open streams */
	USAGE_CPU,
	USAGE_MEM,
	USAGE_ACCEL,
	USAGE_COUNT
};

struct faults {
	int64_t service_delay_ms; /* added to each service request */
	int fail_all; /* status 500 for every request; every task fails */
	int64_t drop_response_count; /* responses to drop after the effect */
	int64_t drop_task_response_count; /* the same for the task interface */
	int64_t task_delay_ms;
};

struct worker {
	struct event_base *base;
	struct evhttp *http[2];
	const char *name;
	struct faults faults;
	int64_t limits[USAGE_COUNT];
	int64_t usage[USAGE_COUNT];
	int64_t max_usage[USAGE_COUNT];
	json_t *history; /* records as in history.h */
	FILE *history_file;
	const char *ledger_dir;	    /* directory of the ledger, or NULL */
	int64_t skipped_step_count; /* steps already in the ledger */
	struct list tasks;
	struct list delayed_calls; /* pending calls of call_later() */
	/* Starts and renewals refused after the end of their grant. */
	int64_t late_grant_count;
	int64_t publish_count;
};

/* Time stamps of records; the clock of Python's time.monotonic(). */
int64_t worker_monotonic_ms(void);
/* Clock of leases and of not_after_ms. */
int64_t worker_boottime_ms(void);

/* record.c: both add "t" and "who"; record_add() takes over the reference. */
void record_stamp(struct worker *worker, json_t *record);
void record_add(struct worker *worker, json_t *record);
void record_usage(struct worker *worker, enum usage_kind kind, int64_t delta);
void record_serve(struct worker *worker, struct evhttp_request *request);

/*
 * ledger.c: stands for the external system in which tasks take effect, shared
 * by all workers with the same ledger directory. Appends record to the job's
 * file unless the file has this step already.
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

/* RETURN VALUE: the delay that running tasks add to each request. */
int64_t tasks_delay_ms(const struct worker *worker);

/* Sends a JSON response; takes over the reference. */
void reply_json(struct evhttp_request *request, int status, json_t *body);

/* Closes the connection of a request without a response. */
void close_without_response(struct worker *worker,
			    struct evhttp_request *request);

/*
 * Calls fn(arg, 0) once after delay_ms. If the worker shuts down first, calls
 * fn(arg, 1), which must only release its resources.
 */
typedef void (*delayed_call_fn)(void *arg, int shutting_down);
void call_later(struct worker *worker, int64_t delay_ms, delayed_call_fn fn,
		void *arg);

/*
 * Releases a request that gets no response. After the client has closed the
 * connection, libevent leaves freeing the request to its user.
 */
void request_release(struct evhttp_request *request);

/* RETURN VALUE: the parsed body, a new reference, or NULL. */
json_t *request_json(struct evhttp_request *request);

#endif
