#ifndef CATKINHILL_GATEWAY_INTERNAL_H
#define CATKINHILL_GATEWAY_INTERNAL_H

#include "metrics.h"
#include "gateway.h"
#include "httpd.h"
#include "jobstore.h"
#include "kv.h"
#include "list.h"
#include "outlook.h"
#include "platformjson.h"
#include "queues.h"

/*
 * NAME
 *	gateway_internal - declarations shared by the sources of the gateway
 */

/* Copy of what the scheduler publishes; see outlook.h. */
struct gateway_outlook {
	struct outlook outlook;
	int64_t revision;	/* 0: none */
	struct mstime older_at; /* last read without it was sent; 0: none */
	struct mstime read_at;	/* last read with a result was sent */
	struct mstime sent_at;	/* last read was sent */
	int in_flight;
};

struct gateway {
	struct daemon *daemon;
	struct kv *kv;
	struct httpd *caller_httpd;
	struct httpd *probe_httpd;
	struct queues *queues;
	struct list job_requests;
	struct list counts; /* of job_request.count_node */
	int is_counting;    /* the submissions are being read for them */
	struct gateway_outlook outlook;
	struct loop_timer *stop_timer;
	int is_stopping;
	struct mstime drain_until;
	stopped_fn on_stopped;
	void *on_stopped_arg;
	struct metric accepted, refused, unknown_outcomes, state_requests,
		cancels, refused_for_room, outlook_age;
	struct histogram accept_ms, state_ms;
};

/* A caller's HTTP request about a workflow or a queue. */
struct job_request {
	struct list node;
	struct gateway *gateway;
	struct httpd_request *http;
	struct queue_config queue;
	char job[JOB_ID_SIZE];
	char *record;			   /* to be stored for a submission */
	struct loop_timer *retry_timer;	   /* until the next attempt */
	struct loop_timer *deadline_timer; /* bounds the time for the store */
	struct mstime started_at;
	int attempts;
	int last_err;	     /* of the last attempt, for the log */
	int may_be_stored;   /* a write without a response may be done */
	int write_in_flight; /* a write has no response yet */
	/*
	 * Not 0: it can't end in time; it may be refused once the store has
	 * told that it isn't there, and may return after so long.
	 */
	int64_t no_room_ms;
	struct list count_node;
	uint32_t pending_count;	  /* as published by a scheduler */
	int64_t pending_revision; /* of that publication; 0: none */
	uint32_t submitted;	  /* since then, while they are counted */
};

/* Sends the response and frees req. detail is logged. */
void job_request_reply(struct job_request *req, int status, const char *body,
		       const char *detail);

/* For a request that has no effect, also later; adds Retry-After. */
void job_request_refuse(struct job_request *req, int status, const char *detail,
			int retry_after_s);

/* If the store is the cause, it is back within seconds. */
#define STORE_RETRY_AFTER_S 1
/* A tenth of a full backlog takes about so long. */
#define FULL_RETRY_AFTER_S 30

/* The request may have an effect, now or later. */
void job_request_reply_unknown(struct job_request *req);

/* Calls retry(req) after a pause; the deadline timer ends the attempts. */
void job_request_retry(struct job_request *req, int err, loop_fn retry);

/* Each of these ends in a response to the request. */
void gateway_submit(struct job_request *req, const char *body, size_t len);
void gateway_cancel(struct job_request *req);
void gateway_get_state(struct job_request *req);
void gateway_get_pending(struct job_request *req);

/*
 * By a copy of the outlook that is fresh enough, and asks for a newer one.
 *
 * RETURN VALUE
 *	Time in ms after which the workflow could end in time; 0: it can now,
 *	or nothing is known.
 */
int64_t gateway_outlook_retry_ms(struct job_request *req,
				 struct workflow *workflow);

/* For a submission whose record does not exist. */
void gateway_refuse_for_room(struct job_request *req);

/* Retry-After when the store is the cause: urgent submissions return first. */
int gateway_store_retry_s(const struct job_request *req);

#endif
