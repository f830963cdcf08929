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
	struct list job_calls;
	struct loop_timer *stop_timer;
	int is_stopping;
	struct mstime stop_until;
	stopped_fn stopped;
	void *stopped_arg;
	struct counter accepted, refused, unknown, states, cancels;
	struct histogram accept_ms, state_ms;
};

/* One request of a caller about one workflow or one queue. */
struct job_call {
	struct list node;
	struct gateway *gateway;
	struct httpd_request *request;
	struct queue_config queue;
	char job[JOB_ID_SIZE];
	char *record;		    /* of a submission */
	struct loop_timer *timer;   /* next attempt */
	struct loop_timer *give_up; /* the store has taken too long */
	struct mstime started;
	int attempts;
	int last_err;	   /* of the last attempt, for the log */
	int may_exist;	   /* an attempt without an answer may have stored it */
	int write_is_open; /* an attempt to store is in progress */
};

/* Answers and frees the call. detail goes to the log. */
void job_call_reply(struct job_call *call, int status, const char *body,
		    const char *detail);

/* Not done and not to be done: names the time to come back. */
void job_call_refuse(struct job_call *call, int status, const char *detail);

/* Calls retry(call) after a pause; the call's own bound ends the attempts. */
void job_call_retry(struct job_call *call, int err, loop_fn retry);

/* Each answers the call in the end. */
void gateway_submit(struct job_call *call, const char *body, size_t len);
void gateway_cancel(struct job_call *call);
void gateway_state(struct job_call *call);
void gateway_pending(struct job_call *call);

#endif
