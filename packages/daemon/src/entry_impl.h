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
	struct evhttp_bound_socket *listener; /* NULL when not accepting */
	struct list exchanges;
	struct list requests;
	struct list shared_streams;
	struct list attempts[ATTEMPT_BUCKETS];
	uint64_t next_attempt_id; /* unique across restarts */
	uint64_t next_trace_number;
	int64_t request_body_bytes; /* held by requests in progress */
	struct loop_timer *tick_timer;
	struct loop_timer *queue_timer;
	int64_t last_bytes_in;
	int idle_tick;
	struct mstime ticked_at;
	/*
	 * Until then no agent counts as silent: this process was paused and
	 * may not have read the latest announcements.
	 */
	struct mstime ignore_silence_until;
	char *config_json; /* of config_json_version */
	uint64_t config_json_version;
	struct metric counters[ENTRY_COUNTER_COUNT];
	struct histogram latency;
	/* Graceful stop. */
	int stopping;
	int reported_ready; /* to the admin server */
	int owner_stopped;
	int registry_stopped;
	struct loop_timer *stop_timer;
	struct mstime stop_deadline;
	stopped_fn on_stopped;
	void *on_stopped_arg;
};

/* One REQUEST to one agent, for a request or a shared stream. */
struct attempt {
	struct list bucket_node; /* entry->attempts */
	struct entry *entry;
	struct request *request; /* NULL for a shared stream */
	struct shared_stream *shared_stream;
	uint64_t id;
	struct member *member; /* NULL when the member was removed */
	char agent[ID_SIZE];
	char peer[2 * ID_SIZE];
	uint64_t incarnation;
	int probe;
	int remote;	     /* the agent is in another region */
	int slot_released;   /* no longer holds a slot at the agent */
	int result_recorded; /* by route_result() */
	int head_received;
	uint64_t body_bytes_received;
	struct mstime sent_at;
	int64_t timeout_ms; /* recorded as latency if it fails */
	/* Request body that is still to be sent. */
	struct span body;
	uint64_t body_bytes_sent;
	int body_done;
	uint32_t unsent_credit_bytes; /* CREDIT that the transport refused */
};

struct request {
	struct list node; /* entry->requests */
	struct entry *entry;
	struct exchange *exchange; /* NULL after the end of the response */
	char trace[ID_SIZE];
	char service[ID_SIZE];
	struct mstime arrived_at;
	struct mstime deadline;
	struct loop_timer *timer;
	int has_idempotency_key;
	int repeatable; /* may run twice: see is_repeatable() */
	int maybe_ran;	/* an ended attempt may have run it */
	int caller_left;
	struct admission_item admission_item;
	struct attempt *attempt;
	uint32_t attempt_count;
	char tried_agents[ROUTE_TRIED_MAX][ID_SIZE];
	size_t tried_agent_count;
	struct claim_operation *claim_operation;
	struct shared_stream *shared_stream; /* joined, waits for or leads it */
	struct list shared_stream_node;
	int head_sent;
	int status;
	int is_stream;
	int64_t response_length; /* Content-Length, or -1 */
	uint64_t response_bytes_sent;
	struct mstime progress_at;  /* response data arrived or was written */
	int64_t counted_body_bytes; /* in entry->request_body_bytes */
	struct explain_record *explain_record;
};

void entry_counter_increment(struct entry *entry, enum entry_counter counter);

/* Serves the queue after the current event has been handled. */
void entry_serve_queue_soon(struct entry *entry);

/* Switches from IDLE_TICK_MS to TICK_MS; called for the first request. */
void entry_start_busy_tick(struct entry *entry);

/* Schedules the callback of a stop when nothing is left to end. */
void entry_check_stopped(struct entry *entry);

/* The configuration has changed. */
void entry_on_config(void *arg);

/*
 * Whether the configuration is known: the store or an agent has provided it,
 * the store has none, or there is no store. Until then the entry does not
 * serve requests, because it would do so with defaults.
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
	uint32_t attempt_number; /* 1, 2, ... of one request */
	int64_t remaining_ms;
};

/*
 * Sends a request to the chosen member.
 *
 * RETURN VALUE
 *	NULL if it was not sent; *err is then the error of transport_send().
 */
struct attempt *attempt_start(struct entry *entry,
			      const struct route_choice *choice,
			      const struct attempt_params *params, int *err);
struct attempt *attempt_find(struct entry *entry, uint64_t id);
void attempt_delete(struct attempt *attempt);

/* Sends CANCEL to the agent and deletes the attempt; NULL is ignored. */
void attempt_cancel(struct attempt *attempt);
void attempt_send_body(struct attempt *attempt);
void attempt_release_slot(struct attempt *attempt);
void attempt_record_result(struct attempt *attempt, int failed);
void attempt_grant_credit(struct attempt *attempt, uint32_t bytes);

/* entry_request.c */
void request_new(struct entry *entry, struct exchange *exchange);
void request_caller_left(struct request *request);

/* Whether the caller has all of the response; only its end is missing. */
int request_is_answered(const struct request *request);
void request_on_response_written(struct request *request, size_t bytes);

/* Sends the request to an agent, or queues it. */
void request_dispatch(struct request *request);

/* Starts another attempt, ahead of the queued requests. */
void request_retry(struct request *request);

/*
 * RETURN VALUE
 *	0 if no upstream has room for the request: it was neither sent nor
 *	ended. 1 if it was sent or ended, or its failed send was handled.
 */
int request_try_send(struct request *request);

/*
 * Ends a request whose response head was not sent. The reply is delayed if
 * the record of its claim has to be deleted first.
 */
void request_reply(struct request *request, int status, enum outcome outcome,
		   const char *text);
void request_reply_now(struct request *request, int status,
		       enum outcome outcome, const char *text);

/* Ends the response, or aborts it if aborted is 1; frees the request. */
void request_finish(struct request *request, enum outcome outcome, int aborted);
void request_shed(struct request *request, enum admission_verdict verdict);
struct request *request_from_admission_item(struct admission_item *item);

/* entry_response.c */
void request_on_message(struct attempt *attempt, const struct message *msg);

/* The agent was lost, or has sent an invalid response. */
void request_attempt_lost(struct request *request, const char *reason);

/* Retries after a failed attempt, or replies with the known outcome. */
void request_retry_or_reply(struct request *request, int proven_not_run,
			    enum refusal reason);

/* Aborts a response in progress; the caller sees it as truncated. */
void request_abort(struct request *request, const char *reason);

/* entry_explain.c */
struct explain_log *explain_log_new(struct entry *entry);
void explain_log_delete(struct explain_log *explain_log);
struct explain_record *explain_record_start(struct explain_log *explain_log,
					    const struct request *request);
void explain_record_step(struct explain_record *record, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void explain_record_end(struct explain_record *record, int status,
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
void claim_operation_save_head(struct claim_operation *operation, int status,
			       const struct header_list *headers);
void claim_operation_save_body(struct claim_operation *operation,
			       const void *data, size_t len);

/*
 * The request has run, or was given up before. If it did not run, its record
 * is deleted first and the reply is sent afterwards.
 *
 * RETURN VALUE
 *	1 if the reply has to wait for the deletion.
 */
int claim_operation_end(struct claim_operation *operation, enum outcome outcome,
			int status, const char *text);

/* The request is being freed; the operation ends after its store calls. */
void claim_operation_detach(struct claim_operation *operation);

/* entry_shared_stream.c */
int shared_stream_wanted(const struct request *request);

/*
 * Joins a shared stream with the same service, path and headers, or creates
 * one with the request as its leader.
 *
 * RETURN VALUE
 *	1 if the request has joined; it needs no attempt of its own.
 */
int shared_stream_join(struct request *request);

/*
 * The head of the leader's response arrived.
 *
 * RETURN VALUE
 *	1 if the shared stream has taken over the attempt.
 */
int shared_stream_on_head(struct request *leader,
			  const struct msg_response *head);

/* The request ends; the stream goes on for its other callers. */
void shared_stream_leave(struct request *request);
void shared_stream_on_message(struct attempt *attempt,
			      const struct message *msg);
void shared_stream_attempt_lost(struct attempt *attempt);

/* A member is leaving: moves its streams to other upstreams. */
void shared_streams_member_leaving(struct entry *entry,
				   const struct member *member);
void shared_streams_tick(struct entry *entry, struct mstime now);

/* Ends all open streams with a final event to their callers. */
void shared_streams_stop(struct entry *entry);

#endif
