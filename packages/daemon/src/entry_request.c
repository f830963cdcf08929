#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <arpa/inet.h>

#include "entry_impl.h"
#include "errors.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

/* A response without progress for so long is aborted. */
#define STALL_TIMEOUT_MS 30000

struct request *request_from_admission_item(struct admission_item *item)
{
	return list_entry(item, struct request, admission_item);
}

static int64_t limit_of(const struct entry *entry, enum limit_key key)
{
	return entry->daemon->config.limits[key];
}

/* Host names the service; an address or localhost means the default. */
static void choose_service(struct request *request)
{
	const struct settings *settings = request->entry->daemon->settings;
	const char *host = request->exchange->host;
	unsigned char address[sizeof(struct in6_addr)];
	char name[ID_SIZE];

	if (!host || str_copy(name, host, sizeof(name)))
		name[0] = '\0';
	name[strcspn(name, ":")] = '\0';
	if (!name[0] || name[0] == '[' || !strcasecmp(name, "localhost") ||
	    inet_pton(AF_INET, name, address) == 1)
		str_copy(name, settings->default_service, sizeof(name));
	str_copy(request->service, name, sizeof(request->service));
}

static int read_deadline(struct request *request)
{
	const char *text =
		exchange_header(request->exchange, "Catkinhill-Deadline-Ms");
	int64_t max = limit_of(request->entry, LIMIT_DEADLINE_MAX_MS);
	long long ms = limit_of(request->entry, LIMIT_DEADLINE_DEFAULT_MS);
	char *end;

	if (text) {
		ms = strtoll(text, &end, 10);
		if (end == text || *end || ms < 0)
			return ERR_INVALID;
	}
	request->deadline =
		mstime_add(request->arrived_at, ms < max ? ms : max);
	return 0;
}

static int is_repeatable(const struct request *request)
{
	const char *method = request->exchange->method;

	return !request->has_idempotency_key &&
	       (!strcmp(method, "GET") || !strcmp(method, "HEAD") ||
		!strcmp(method, "OPTIONS"));
}

static void on_timer(void *arg)
{
	struct request *request = arg;
	struct mstime now = sysclock_now();
	int64_t idle_ms = mstime_diff(now, request->progress_at);
	struct attempt *attempt = request->attempt;

	if (request->head_sent) {
		/* Data that the caller has not read yet is not a stall. */
		if (idle_ms < STALL_TIMEOUT_MS ||
		    request->exchange->unwritten_bytes)
			loop_timer_start(request->timer, STALL_TIMEOUT_MS);
		else
			request_abort(request, "stalled");
		return;
	}
	if (attempt) {
		request->maybe_ran = 1;
		if (attempt->member &&
		    route_timeout_is_failure(
			    request->entry->route, attempt->member,
			    mstime_diff(now, attempt->sent_at)))
			attempt_record_result(attempt, 1);
	}
	entry_counter_increment(request->entry, COUNT_SHED_DEADLINE);
	request_reply(request, 504,
		      request->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
		      "deadline passed");
}

static void start_timer(struct request *request)
{
	request->timer =
		loop_timer_new(request->entry->daemon->loop, on_timer, request);
	loop_timer_start(request->timer,
			 mstime_diff(request->deadline, request->arrived_at));
}

static const char *caller_name(const struct request *request)
{
	const char *name =
		exchange_header(request->exchange, "Catkinhill-Caller");

	return name && *name ? name : request->exchange->caller_address;
}

static struct request *create_request(struct entry *entry,
				      struct exchange *exchange)
{
	struct request *request = xcalloc(1, sizeof(*request));

	request->entry = entry;
	request->exchange = exchange;
	exchange->request = request;
	request->arrived_at = sysclock_now();
	request->deadline = request->arrived_at;
	request->response_length = -1;
	list_init(&request->shared_stream_node);
	if (list_empty(&entry->requests))
		entry_start_busy_tick(entry);
	list_add_tail(&entry->requests, &request->node);
	snprintf(request->trace, sizeof(request->trace), "%.24s-%08x-%" PRIx64,
		 entry->daemon->settings->id,
		 (uint32_t)entry->daemon->incarnation,
		 entry->next_trace_number++);
	request->has_idempotency_key =
		exchange_header(exchange, "Idempotency-Key") != NULL;
	request->repeatable = is_repeatable(request);
	choose_service(request);
	request->counted_body_bytes = (int64_t)exchange->body.len;
	entry->request_body_bytes += request->counted_body_bytes;
	request->explain_record =
		explain_record_start(entry->explain_log, request);
	return request;
}

/* RETURN VALUE: 1 when the request was rejected. */
static int reject_early(struct request *request)
{
	struct entry *entry = request->entry;
	int64_t buffer_max =
		entry->daemon->settings->body_buffer_mb * 1024 * 1024;

	if (read_deadline(request)) {
		request_reply(request, 400, OUTCOME_NOT_RUN,
			      "Catkinhill-Deadline-Ms must be a number of "
			      "milliseconds");
		return 1;
	}
	if (entry->stopping) {
		request->exchange->close_after_response = 1;
		request_reply(request, 503, OUTCOME_NOT_RUN, "stopping");
		return 1;
	}
	if (request->exchange->body.len > REQUEST_BODY_MAX_BYTES) {
		request_reply(request, 413, OUTCOME_NOT_RUN,
			      "request is over 16 MB");
		return 1;
	}
	if (buffer_max && entry->request_body_bytes > buffer_max) {
		entry_counter_increment(entry, COUNT_SHED_FULL);
		request_reply(request, 503, OUTCOME_NOT_RUN,
			      "no buffer for the body");
		return 1;
	}
	if (!entry_config_known(entry)) {
		request_reply(request, 503, OUTCOME_NOT_RUN,
			      "configuration not known yet");
		return 1;
	}
	return 0;
}

void request_new(struct entry *entry, struct exchange *exchange)
{
	struct request *request = create_request(entry, exchange);
	const char *key = exchange_header(exchange, "Idempotency-Key");
	enum admission_verdict verdict;

	if (reject_early(request))
		return;
	verdict = admission_enter(entry->admission, &request->admission_item,
				  caller_name(request), request->deadline,
				  request->arrived_at);
	if (verdict != ADMISSION_OK) {
		request_shed(request, verdict);
		return;
	}
	retry_count_request(&entry->retry);
	start_timer(request);
	if (key)
		claim_operation_start(request, key);
	else if (!shared_stream_wanted(request) || !shared_stream_join(request))
		request_dispatch(request);
}

void request_shed(struct request *request, enum admission_verdict verdict)
{
	static const struct {
		enum entry_counter counter;
		int status;
		const char *text;
	} replies[] = {
		[ADMISSION_OVER_SHARE] = { COUNT_SHED_SHARE, 429,
					   "over the share of this caller" },
		[ADMISSION_FULL] = { COUNT_SHED_FULL, 503, "queue is full" },
		[ADMISSION_DEADLINE] = { COUNT_SHED_DEADLINE, 504,
					 "deadline passed" },
		[ADMISSION_OVERLOAD] = { COUNT_SHED_OVERLOAD, 503,
					 "overloaded" },
	};

	entry_counter_increment(request->entry, replies[verdict].counter);
	explain_record_step(request->explain_record, "shed: %s",
			    replies[verdict].text);
	request_reply(request, replies[verdict].status,
		      request->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
		      replies[verdict].text);
}

static void enqueue(struct request *request)
{
	struct entry *entry = request->entry;
	struct admission_item *evicted;
	enum admission_verdict verdict;

	explain_record_step(request->explain_record, "queued behind %u",
			    admission_waiting(entry->admission));
	admission_enqueue(entry->admission, &request->admission_item,
			  sysclock_now(), &evicted, &verdict);
	if (evicted)
		request_shed(request_from_admission_item(evicted), verdict);
}

void request_retry(struct request *request)
{
	/* Its list of tried agents is empty now: queue it, do not retry. */
	if (!request_try_send(request))
		enqueue(request);
}

void request_dispatch(struct request *request)
{
	/* A request must not overtake those in the queue. */
	if (!admission_waiting(request->entry->admission) &&
	    request_try_send(request))
		return;
	/* Those in the queue may all be for other services that are full. */
	entry_serve_queue_soon(request->entry);
	enqueue(request);
}

static void choose_upstream(struct request *request,
			    struct route_choice *choice)
{
	struct entry *entry = request->entry;
	struct route_query query = {
		.service = request->service,
		.region = entry->daemon->settings->region,
		.tried_count = request->tried_agent_count,
		.may_probe = request->repeatable,
		.in_flight_limit =
			(uint32_t)limit_of(entry, LIMIT_UPSTREAM_REQUESTS),
		.now = sysclock_now(),
	};
	size_t i;

	for (i = 0; i < request->tried_agent_count; i++)
		query.tried[i] = request->tried_agents[i];
	route_choose(entry->route, &query, choice);
}

static void log_choice(struct request *request,
		       const struct route_choice *choice)
{
	char text[256];

	route_explain(choice, text, sizeof(text));
	explain_record_step(request->explain_record, "attempt %u: %s",
			    request->attempt_count + 1, text);
	if (choice->member)
		log_event(EV_ROUTE_CHOSEN, "trace=%s attempt=%u service=%s %s",
			  request->trace, request->attempt_count + 1,
			  request->service, text);
	else
		log_event(EV_ROUTE_NONE, "trace=%s service=%s %s",
			  request->trace, request->service, text);
}

static void remember_tried(struct request *request, const char *agent)
{
	if (request->tried_agent_count < ROUTE_TRIED_MAX)
		str_copy(request->tried_agents[request->tried_agent_count++],
			 agent, ID_SIZE);
}

static int send_to_upstream(struct request *request,
			    const struct route_choice *choice)
{
	const struct exchange *exchange = request->exchange;
	int64_t remaining_ms = mstime_diff(request->deadline, sysclock_now());
	struct attempt_params params = {
		.trace = request->trace,
		.method = exchange->method,
		.path = exchange->path,
		.headers = &exchange->headers,
		.body = exchange->body,
		.attempt_number = request->attempt_count + 1,
		.remaining_ms = remaining_ms > 0 ? remaining_ms : 0,
	};
	int err;

	remember_tried(request, choice->member->agent);
	request->attempt_count++;
	request->attempt = attempt_start(request->entry, choice, &params, &err);
	if (!request->attempt)
		return err;
	request->attempt->request = request;
	return 0;
}

/* Nothing was sent, which proves that nothing has run. */
static void on_unsent(struct request *request, int err)
{
	explain_record_step(request->explain_record, "not sent: %s",
			    error_name(err));
	entry_counter_increment(request->entry, COUNT_ATTEMPTS_UNSENT);
	if (err == ERR_TOO_LARGE || err == ERR_INVALID)
		request_retry_or_reply(request, 1, REFUSAL_MALFORMED);
	else
		request_retry_or_reply(request, 1, REFUSAL_FULL);
}

int request_try_send(struct request *request)
{
	struct route_choice choice;
	int err;

	if (!mstime_before(sysclock_now(), request->deadline)) {
		request_shed(request, ADMISSION_DEADLINE);
		return 1;
	}
	choose_upstream(request, &choice);
	if (choice.reason == ROUTE_NO_ROOM) {
		/* After all were tried, any of them may have room later. */
		request->tried_agent_count = 0;
		return 0;
	}
	log_choice(request, &choice);
	if (!choice.member) {
		request_reply(request, 503,
			      request->maybe_ran ? OUTCOME_UNKNOWN
						 : OUTCOME_NOT_RUN,
			      "no upstream");
		return 1;
	}
	admission_dequeue(request->entry->admission, &request->admission_item);
	err = send_to_upstream(request, &choice);
	if (err)
		on_unsent(request, err);
	return 1;
}

void request_caller_left(struct request *request)
{
	request->caller_left = 1;
	/* The end of the attempt decides whether the response was complete. */
	if (request_is_answered(request))
		return;
	explain_record_step(request->explain_record, "the caller left");
	/*
	 * A request with an Idempotency-Key goes on, so that a retry of the
	 * caller finds its outcome.
	 */
	if (request->claim_operation && !request->head_sent)
		return;
	if (request->claim_operation && request->attempt)
		return;
	request_finish(request,
		       request->attempt || request->maybe_ran ||
				       request->head_sent
			       ? OUTCOME_UNKNOWN
			       : OUTCOME_NOT_RUN,
		       request->head_sent);
}

void request_on_response_written(struct request *request, size_t bytes)
{
	request->progress_at = sysclock_now();
	if (request->attempt)
		attempt_grant_credit(request->attempt, (uint32_t)bytes);
}

void request_reply(struct request *request, int status, enum outcome outcome,
		   const char *text)
{
	struct attempt *attempt = request->attempt;

	request->attempt = NULL;
	attempt_cancel(attempt);
	admission_dequeue(request->entry->admission, &request->admission_item);
	if (request->claim_operation &&
	    claim_operation_end(request->claim_operation, outcome, status,
				text))
		return;
	/*
	 * Without a claim nothing is known about earlier requests with the
	 * same key, which may have run.
	 */
	if (request->has_idempotency_key)
		outcome = OUTCOME_UNKNOWN;
	request_reply_now(request, status, outcome, text);
}

void request_reply_now(struct request *request, int status,
		       enum outcome outcome, const char *text)
{
	struct exchange *exchange = request->exchange;

	request->status = status;
	request->exchange = NULL;
	exchange_reply(exchange, status, outcome, request->trace, text);
	request_finish(request, outcome, 0);
}

static void count_outcome(struct request *request, enum outcome outcome,
			  int aborted)
{
	static const enum entry_counter counters[] = {
		[OUTCOME_DONE] = COUNT_REQUESTS_DONE,
		[OUTCOME_NOT_RUN] = COUNT_REQUESTS_NOT_RUN,
		[OUTCOME_UNKNOWN] = COUNT_REQUESTS_UNKNOWN,
	};

	entry_counter_increment(request->entry, aborted ? COUNT_REQUESTS_ABORTED
							: counters[outcome]);
}

static void report_outcome(struct request *request, enum outcome outcome,
			   int aborted)
{
	int64_t took_ms = mstime_diff(sysclock_now(), request->arrived_at);
	const char *name = aborted ? "cut" : outcome_name(outcome);

	count_outcome(request, outcome, aborted);
	if (!request->is_stream)
		histogram_observe(&request->entry->latency, took_ms);
	log_event(EV_REQUEST_DONE,
		  "trace=%s service=%s status=%d outcome=%s attempts=%u "
		  "ms=%" PRId64 " caller_left=%d",
		  request->trace, request->service, request->status, name,
		  request->attempt_count, took_ms, request->caller_left);
	explain_record_end(request->explain_record, request->status, name,
			   took_ms);
}

void request_finish(struct request *request, enum outcome outcome, int aborted)
{
	struct entry *entry = request->entry;
	struct exchange *exchange = request->exchange;

	report_outcome(request, outcome, aborted);
	attempt_cancel(request->attempt);
	if (request->shared_stream)
		shared_stream_leave(request);
	if (request->claim_operation)
		claim_operation_detach(request->claim_operation);
	admission_leave(entry->admission, &request->admission_item);
	loop_timer_delete(request->timer);
	entry->request_body_bytes -= request->counted_body_bytes;
	list_del(&request->node);
	free(request);
	if (exchange && aborted)
		exchange_abort(exchange);
	else if (exchange)
		exchange_end(exchange);
	entry_serve_queue_soon(entry);
	entry_check_stopped(entry);
}
