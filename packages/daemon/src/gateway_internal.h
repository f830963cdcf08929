#ifndef CATKINHILL_GATEWAY_INTERNAL_H
#define CATKINHILL_GATEWAY_INTERNAL_H

#include "counters.h"
#include "gateway.h"
#include "httpd.h"
#include "jobstore.h"
#include "kv.h"
#include "list.h"
#include "platformjson.h"
#include "queues.h"

/*
 * NAME
 *	gateway_internal - what the sources of the gateway share
 */
struct gateway {
	struct daemon *daemon;
	struct kv *kv;
	struct httpd *callers;
	struct httpd *probe;
	struct queues *queues;
	struct list job_requests;
	struct loop_timer *stop_timer;
	int is_stopping;
	struct mstime drain_until;
	stopped_fn stopped;
	void *stopped_arg;
	struct counter accepted, refused, unknown_outcomes, state_requests,
		cancels;
	struct histogram accept_ms, state_ms;
};

/* One request of a caller about one workflow or one queue. */
struct job_request {
	struct list node;
	struct gateway *gateway;
	struct httpd_request *http;
	struct queue_config queue;
	char job[JOB_ID_SIZE];
	char *record;			   /* of a submission */
	struct loop_timer *retry_timer;	   /* next attempt */
	struct loop_timer *deadline_timer; /* the store has taken too long */
	struct mstime started_at;
	int attempts;
	int last_err;	   /* of the last attempt, for the log */
	int may_be_stored; /* an attempt without an answer may have stored it */
	int write_in_flight; /* an attempt to store is in progress */
};

/* Answers and frees the call. detail goes to the log. */
void job_request_reply(struct job_request *call, int status, const char *body,
		       const char *detail);

/* Not done and not to be done: names the time to come back. */
void job_request_refuse(struct job_request *call, int status,
			const char *detail);

/* Calls retry(call) after a pause; the call's own bound ends the attempts. */
void job_request_retry(struct job_request *call, int err, loop_fn retry);

/* Each answers the call in the end. */
void gateway_submit(struct job_request *call, const char *body, size_t len);
void gateway_cancel(struct job_request *call);
void gateway_get_state(struct job_request *call);
void gateway_get_pending(struct job_request *call);

#endif
