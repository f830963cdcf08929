#ifndef CATKINHILL_ENTRY_IMPL_H
#define CATKINHILL_ENTRY_IMPL_H

#include "admission.h"
#include "claim.h"
#include "configsync.h"
#include "daemon.h"
#include "entry.h"
#include "entry_http.h"
#include "list.h"
#include "membership.h"
#include "opapi.h"
#include "owner.h"
#include "retry.h"
#include "route.h"
#include "streams.h"
#include "transport.h"

/*
 * NAME
 *	entry_impl - structures shared by the sources of the entry
 */
#define ATTEMPT_BUCKETS 1024
#define CREDIT_WINDOW (256 * 1024)
#define TICK_MS 20

enum entry_counter {
	COUNT_REQUESTS_DONE,
	COUNT_REQUESTS_NOT_RUN,
	COUNT_REQUESTS_UNKNOWN,
	COUNT_REQUESTS_ABORTED,
	COUNT_ATTEMPTS,
	COUNT_REFUSED_FULL,
	COUNT_REFUSED_LEAVING,
	COUNT_REFUSED_NOT_READY,
	COUNT_REFUSED_DEADLINE,
	COUNT_REFUSED_CANCELLED,
	COUNT_REFUSED_MALFORMED,
	COUNT_ATTEMPTS_UNSENT,
	COUNT_RETRIES,
	COUNT_RETRIES_DENIED,
	COUNT_EJECTIONS,
	COUNT_EJECTION_RETURNS,
	COUNT_SHED_SHARE,
	COUNT_SHED_FULL,
	COUNT_SHED_OVERLOAD,
	COUNT_SHED_DEADLINE,
	COUNT_STRAY_MESSAGES,
	COUNT_STREAMS_JOINED,
	COUNT_STREAMS_MOVED,
	COUNT_LINK_BYTES_IN,
	COUNT_LINK_BYTES_OUT,
	COUNT_QUEUE_LENGTH,
	COUNT_REQUESTS_IN_FLIGHT,
	ENTRY_COUNTER_COUNT
};

struct registry;
struct explain_log;
struct explain_record;
struct claims;
struct claim_operation;

struct entry {
	struct daemon *daemon;
	struct transport *transport;
	struct configsync *config_sync;
	struct opapi *opapi;
	struct owner *owner;
	struct membership membership;
	struct route *route;
	struct retry_budget retry;
	struct admission *admission;
	struct streams streams;
	struct registry *registry;
	struct claims *claims;
	struct explain_log *explain_log;
	struct evhttp *http;
	struct evhttp_bound_socket *listener; /* NULL when none accepts */
	struct list exchanges;
	struct list requests;
	struct list shared_streams;
	struct list attempts[ATTEMPT_BUCKETS];
	uint64_t next_attempt_id; /* of an attempt */
	uint64_t next_trace_number;
	int64_t request_body_bytes; /* held by requests in progress */
	struct loop_timer *tick_timer;
	struct loop_timer *queue_timer;
	int64_t last_bytes_in;
	int idle_tick;
	struct mstime ticked_at;
	/* No silence of an agent counts before: this process was paused. */
	struct mstime ignore_silence_until;
	char *config_json; /* of config_json_version */
	uint64_t config_json_version;
	struct counter counters[ENTRY_COUNTER_COUNT];
	struct histogram latency;
	/* Graceful stop. */
	int stopping;
	int reported_ready; /* as told to the admin server */
	int owner_stopped;
	int registry_stopped;
	struct loop_timer *stop_timer;
	struct mstime stop_deadline;
	stopped_fn on_stopped;
	void *on_stopped_arg;
};

/* One REQUEST to one agent; belongs to a request or to a watch. */
struct attempt {
	struct list bucket_node; /* entry->attempts */
	struct entry *entry;
	struct request *request; /* NULL for one of a watch */
	struct shared_stream *shared_stream;
	uint64_t id;
	struct member *member; /* NULL when the member was removed */
	char agent[ID_SIZE];
	char peer[2 * ID_SIZE];
	uint64_t incarnation;
	int probe;
	int remote;	     /* the agent is in another region */
	int slot_released;   /* gave back its slot */
	int result_recorded; /* its result was counted */
	int head_received;
	uint64_t body_bytes_received; /* bytes of the body */
	struct mstime sent_at;
	int64_t timeout_ms; /* counted as latency of a failure */
	/* Request body that is still to be sent. */
	struct span body;
	uint64_t body_bytes_sent;
	int body_done;
	uint32_t unsent_credit_bytes; /* CREDIT that the transport did not take
				       */
};

struct request {
	struct list node; /* entry->requests */
	struct entry *entry;
	struct exchange *exchange; /* NULL after the end of the answer */
	char trace[ID_SIZE];
	char service[ID_SIZE];
	struct mstime arrived;
	struct mstime deadline;
	struct loop_timer *timer;
	int has_idempotency_key; /* has an Idempotency-Key */
	int repeatable;
	int maybe_ran; /* an attempt ended without proof */
	int caller_left;
	struct admission_item admission_item;
	struct attempt *attempt;
	uint32_t attempt_count;
	char tried[ROUTE_TRIED_MAX][ID_SIZE];
	size_t tried_count;
	struct claim_operation *claim;
	struct shared_stream
		*shared_stream; /* joined, waiting for or leading it */
	struct list shared_stream_node;
	int head_sent;
	int status;
	int is_stream;
	int64_t response_length; /* Content-Length of the answer, -1 without */
	uint64_t response_bytes_sent;
	struct mstime progress_at;  /* last part of the answer */
	int64_t counted_body_bytes; /* of the request, counted in
				       entry->body_bytes */
	struct explain_record *explain_record;
};

void entry_counter_increment(struct entry *entry, enum entry_counter counter);

/* Serves the queue as soon as the current event is handled. */
void entry_serve_queue_soon(struct entry *entry);

/* Ticks at the rate of a busy entry; called with the first request. */
void entry_start_busy_tick(struct entry *entry);

/* Calls the stop's callback when nothing is left. */
void entry_check_stopped(struct entry *entry);

/* The configuration has changed. */
void entry_on_config(void *arg);

/*
 * Whether the store or an agent has told the configuration, or that there
 * is none; an entry does not serve with defaults before.
 */
int entry_config_known(const struct entry *entry);

/* entry_agents.c */
void entry_on_message(void *arg, const char *peer, const struct message *msg);
void entry_on_member_removed(void *arg, struct member *member);
void entry_tick_attempts(struct entry *entry, struct mstime now);
int entry_send(struct entry *entry, const char *peer, int remote,
	       const struct message *msg);

/* entry_attempt.c */
struct attempt_params {
	const char *trace;
	const char *method;
	const char *path;
	const struct header_list *headers;
	struct span body;
	uint32_t attempt_number; /* 1, 2, ... */
	int64_t remaining_ms;
};

/*
 * Sends a request to the chosen member.
 *
 * RETURN VALUE
 *	NULL when it was not sent; *err says why.
 */
struct attempt *attempt_start(struct entry *entry,
			      const struct route_choice *choice,
			      const struct attempt_params *params, int *err);
struct attempt *attempt_find(struct entry *entry, uint64_t number);
void attempt_delete(struct attempt *attempt);

/* Tells the agent that the answer is not wanted, and deletes the attempt. */
void attempt_cancel(struct attempt *attempt);
void attempt_send_body(struct attempt *attempt);
void attempt_release_slot(struct attempt *attempt);
void attempt_record_result(struct attempt *attempt, int failed);
void attempt_grant_credit(struct attempt *attempt, uint32_t bytes);

/* entry_request.c */
void request_new(struct entry *entry, struct exchange *exchange);
void request_caller_left(struct request *request);
void request_on_response_written(struct request *request, size_t bytes);

/* Tries to send it to an agent, or puts it into the queue. */
void request_dispatch(struct request *request);

/* Another attempt, before the requests that wait. */
void request_retry(struct request *request);

/*
 * RETURN VALUE
 *	0 when there is no room for the request at any upstream; nothing was
 *	done then. 1 when it was sent or answered.
 */
int request_try_send(struct request *request);

/* Ends a request that has no head yet; a claim may delay the answer. */
void request_reply(struct request *request, int status, enum outcome outcome,
		   const char *text);
void request_reply_now(struct request *request, int status,
		       enum outcome outcome, const char *text);

/* The answer has been sent as a whole, or cut; releases everything. */
void request_finish(struct request *request, enum outcome outcome, int cut);
void request_shed(struct request *request, enum admission_verdict why);
struct request *request_from_admission_item(struct admission_item *item);

/* entry_answer.c */
void request_on_message(struct attempt *attempt, const struct message *msg);

/* The agent is gone, or sent what cannot be an answer. */
void request_attempt_lost(struct request *request, const char *why);

/* Another attempt, or the answer that follows from what is known. */
void request_retry_or_reply(struct request *request, int proven,
			    enum refusal reason);

/* Ends an answer in progress so that the caller sees it as truncated. */
void request_abort(struct request *request, const char *why);

/* entry_trail.c */
struct explain_log *explain_log_new(struct entry *entry);
void explain_log_delete(struct explain_log *trails);
struct explain_record *explain_record_start(struct explain_log *trails,
					    const struct request *request);
void explain_record_step(struct explain_record *trail, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void explain_record_end(struct explain_record *trail, int status,
			const char *outcome, int64_t took_ms);

/* entry_registry.c */
struct registry *registry_new(struct entry *entry);
void registry_delete(struct registry *registry);
void registry_stop(struct registry *registry, stopped_fn fn, void *arg);

/* Known entries, this one included, in ascending order of id. */
const struct entry_list *registry_entries(const struct registry *registry);
uint64_t registry_directory_hash(const struct registry *registry);

/* entry_claim.c */
struct claims *claims_new(struct entry *entry);
void claims_delete(struct claims *claims);

/* Starts the claim of a request with an Idempotency-Key. */
void claim_operation_start(struct request *request, const char *key);
void claim_operation_save_head(struct claim_operation *run, int status,
			       const struct header_list *headers);
void claim_operation_save_body(struct claim_operation *run, const void *data,
			       size_t len);

/*
 * The run has ended, or was given up before it began. A claim that is not
 * run is deleted first and the answer is sent afterwards.
 *
 * RETURN VALUE
 *	1 when the answer has to wait for the claim.
 */
int claim_operation_end(struct claim_operation *run, enum outcome outcome,
			int status, const char *text);

/* The request is deleted; the claim goes on by itself if it has to. */
void claim_operation_detach(struct claim_operation *run);

/* entry_watch.c */
int shared_stream_wanted(const struct request *request);

/*
 * Joins the watch of the request's path, or makes the request its leader.
 *
 * RETURN VALUE
 *	1 when the request has joined; it needs no attempt of its own.
 */
int shared_stream_join(struct request *request);

/* The leader's head arrived: RETURN VALUE 1 when the watch took it over. */
int shared_stream_on_head(struct request *leader,
			  const struct msg_response *head);

/* The request ends or answers by itself; others may go on without it. */
void shared_stream_leave(struct request *request);
void shared_stream_on_message(struct attempt *attempt,
			      const struct message *msg);
void shared_stream_attempt_lost(struct attempt *attempt);

/* A member is leaving: moves the streams that come from it. */
void shared_streams_member_leaving(struct entry *entry,
				   const struct member *member);
void shared_streams_tick(struct entry *entry, struct mstime now);

/* Ends all watches with a notice to their callers. */
void shared_streams_stop(struct entry *entry);

#endif
