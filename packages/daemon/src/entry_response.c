#include <stdlib.h>
#include <string.h>

#include "entry_headers.h"
#include "entry_impl.h"
#include "errors.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

static void drop_attempt(struct request *request)
{
	struct attempt *attempt = request->attempt;

	request->attempt = NULL;
	attempt_delete(attempt);
}

void request_abort(struct request *request, const char *reason)
{
	explain_record_step(request->explain_record, "cut: %s", reason);
	log_event(EV_ANSWER_CUT, "trace=%s reason=\"%s\" bytes=%llu",
		  request->trace, reason,
		  (unsigned long long)request->response_bytes_sent);
	if (request->claim_operation)
		claim_operation_end(request->claim_operation, OUTCOME_UNKNOWN,
				    request->status, NULL);
	request_finish(request, OUTCOME_UNKNOWN, 1);
}

static int may_retry(struct request *request, int proven_not_run,
		     enum refusal reason)
{
	struct entry *entry = request->entry;
	struct mstime now = sysclock_now();

	if (!proven_not_run && !request->repeatable)
		return 0;
	if (reason == REFUSAL_DEADLINE || reason == REFUSAL_MALFORMED ||
	    request->caller_left)
		return 0;
	if (request->attempt_count >=
		    entry->daemon->config.limits[LIMIT_ATTEMPTS] ||
	    !mstime_before(now, request->deadline))
		return 0;
	if (!retry_take(&entry->retry, now)) {
		entry_counter_increment(entry, COUNT_RETRIES_DENIED);
		explain_record_step(request->explain_record,
				    "retry denied by the budget");
		return 0;
	}
	entry_counter_increment(entry, COUNT_RETRIES);
	return 1;
}

void request_retry_or_reply(struct request *request, int proven_not_run,
			    enum refusal reason)
{
	static const int statuses[REFUSAL_COUNT] = {
		[REFUSAL_FULL] = 503,	   [REFUSAL_LEAVING] = 503,
		[REFUSAL_NOT_READY] = 503, [REFUSAL_DEADLINE] = 504,
		[REFUSAL_CANCELLED] = 503, [REFUSAL_MALFORMED] = 400,
	};

	if (!proven_not_run)
		request->maybe_ran = 1;
	if (may_retry(request, proven_not_run, reason)) {
		request_retry(request);
		return;
	}
	if (request->maybe_ran)
		request_reply(request, 502, OUTCOME_UNKNOWN,
			      "the upstream did not answer");
	else
		request_reply(request, statuses[reason], OUTCOME_NOT_RUN,
			      refusal_name(reason));
}

void request_attempt_lost(struct request *request, const char *reason)
{
	explain_record_step(request->explain_record, "lost: %s", reason);
	attempt_record_result(request->attempt, 1);
	if (request->head_sent) {
		request_abort(request, reason);
		return;
	}
	drop_attempt(request);
	request_retry_or_reply(request, 0, REFUSAL_NOT_READY);
}

static void on_refused(struct request *request, const struct msg_refused *msg)
{
	struct attempt *attempt = request->attempt;

	if (attempt->head_received) {
		request_attempt_lost(request,
				     "refused after the response head");
		return;
	}
	entry_counter_increment(request->entry,
				COUNT_REFUSED_FULL + msg->reason);
	explain_record_step(request->explain_record, "%s refused: %s",
			    attempt->agent,
			    refusal_name((enum refusal)msg->reason));
	log_event(EV_ATTEMPT_REFUSED, "trace=%s agent=%s reason=%s",
		  request->trace, attempt->agent,
		  refusal_name((enum refusal)msg->reason));
	if (attempt->member)
		attempt->member->load = msg->load;
	if (msg->reason == REFUSAL_NOT_READY)
		attempt_record_result(attempt, 1);
	drop_attempt(request);
	request_retry_or_reply(request, 1, (enum refusal)msg->reason);
}

/* Tries another upstream after a 5xx status other than 501. */
static int retry_status(struct request *request, const struct msg_response *msg)
{
	if (msg->status < 500 || msg->status == 501 || msg->is_stream ||
	    !request->repeatable)
		return 0;
	if (!may_retry(request, 0, REFUSAL_NOT_READY))
		return 0;
	request->maybe_ran = 1;
	explain_record_step(request->explain_record,
			    "status %u, another attempt", msg->status);
	attempt_cancel(request->attempt);
	request->attempt = NULL;
	request_retry(request);
	return 1;
}

static void send_head(struct request *request, const struct msg_response *msg)
{
	struct header_list headers;

	response_headers_filter(&msg->headers, (int)msg->is_stream, &headers,
				&request->response_length);
	request->head_sent = 1;
	request->status = (int)msg->status;
	request->is_stream = (int)msg->is_stream;
	request->progress_at = sysclock_now();
	exchange_send_head(request->exchange, request->status, &headers,
			   OUTCOME_DONE, request->trace);
	if (request->claim_operation)
		claim_operation_save_head(request->claim_operation,
					  request->status, &headers);
	free(headers.items);
}

static void on_head(struct request *request, const struct msg_response *msg)
{
	struct attempt *attempt = request->attempt;

	if (attempt->head_received || msg->status < 200) {
		request_attempt_lost(request,
				     "a second or an interim response head");
		return;
	}
	attempt->head_received = 1;
	attempt_record_result(attempt, msg->status >= 500);
	if (retry_status(request, msg) || shared_stream_on_head(request, msg))
		return;
	send_head(request, msg);
	if (!request->is_stream)
		return;
	attempt_release_slot(attempt);
	loop_timer_stop(request->timer);
	/* Open streams do not count against the share of their caller. */
	admission_leave(request->entry->admission, &request->admission_item);
}

static int has_no_body(const struct request *request)
{
	return !strcmp(request->exchange->method, "HEAD") ||
	       request->status == 204 || request->status == 304;
}

int request_is_answered(const struct request *request)
{
	if (!request->attempt || !request->head_sent || request->is_stream ||
	    request->exchange->unwritten_bytes)
		return 0;
	return has_no_body(request) ||
	       (request->response_length >= 0 &&
		request->response_bytes_sent ==
			(uint64_t)request->response_length);
}

static void on_body(struct request *request,
		    const struct msg_response_body *msg)
{
	struct attempt *attempt = request->attempt;

	if (!attempt->head_received ||
	    msg->offset != attempt->body_bytes_received) {
		request_attempt_lost(request, "a gap in the response body");
		return;
	}
	attempt->body_bytes_received += msg->data.len;
	request->progress_at = sysclock_now();
	if (has_no_body(request)) {
		attempt_grant_credit(attempt, (uint32_t)msg->data.len);
		return;
	}
	/* The caller would parse more bytes as the next response. */
	if (request->response_length >= 0 &&
	    attempt->body_bytes_received > (uint64_t)request->response_length) {
		request_attempt_lost(request, "longer than its Content-Length");
		return;
	}
	request->response_bytes_sent += msg->data.len;
	if (request->claim_operation)
		claim_operation_save_body(request->claim_operation,
					  msg->data.data, msg->data.len);
	if (request->exchange->conn)
		exchange_send_body(request->exchange, msg->data.data,
				   msg->data.len);
	else
		attempt_grant_credit(attempt, (uint32_t)msg->data.len);
}

static int is_complete(const struct request *request,
		       const struct msg_response_end *msg)
{
	const struct attempt *attempt = request->attempt;

	return msg->outcome == OUTCOME_DONE && !msg->upstream_leaving &&
	       msg->body_length == attempt->body_bytes_received &&
	       (request->response_length < 0 || has_no_body(request) ||
		attempt->body_bytes_received ==
			(uint64_t)request->response_length);
}

static void on_end(struct request *request, const struct msg_response_end *msg)
{
	struct attempt *attempt = request->attempt;

	if (attempt->member)
		attempt->member->load = msg->load;
	if (!attempt->head_received && msg->outcome == OUTCOME_NOT_RUN) {
		drop_attempt(request);
		request_retry_or_reply(request, 1, REFUSAL_NOT_READY);
		return;
	}
	if (!attempt->head_received || !is_complete(request, msg)) {
		request_attempt_lost(
			request, "the response ended before it was complete");
		return;
	}
	drop_attempt(request);
	if (request->claim_operation)
		claim_operation_end(request->claim_operation, OUTCOME_DONE,
				    request->status, NULL);
	request_finish(request, OUTCOME_DONE, 0);
}

void request_on_message(struct attempt *attempt, const struct message *msg)
{
	struct request *request = attempt->request;

	switch (msg->type) {
	case MSG_REFUSED:
		on_refused(request, &msg->u.refused);
		break;
	case MSG_RESPONSE:
		on_head(request, &msg->u.response);
		break;
	case MSG_RESPONSE_BODY:
		on_body(request, &msg->u.response_body);
		break;
	case MSG_RESPONSE_END:
		on_end(request, &msg->u.response_end);
		break;
	default:
		break;
	}
}
