#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "gateway_internal.h"
#include "log.h"
#include "sysclock.h"
#include "tasknames.h"

static void submit_again(void *arg);

static void accepted(struct job_request *call, const char *detail)
{
	call->gateway->accepted.value++;
	histogram_observe(&call->gateway->accept_ms,
			  mstime_diff(sysclock_now(), call->started_at));
	job_request_reply(call, 200, "{}", detail);
}

static void submit_failed(struct job_request *call, int err)
{
	if (err == ERR_UNKNOWN)
		call->may_be_stored = 1;
	job_request_retry(call, err, submit_again);
}

static void on_submitted(void *arg, const struct kv_result *result)
{
	struct job_request *call = arg;

	call->write_in_flight = 0;
	if (!result->err)
		accepted(call, "stored");
	else if (result->err == ERR_CONFLICT)
		accepted(call, "known");
	else if (result->err == ERR_INVALID)
		job_request_reply(call, 400, "{}", "store-refused");
	else
		submit_failed(call, result->err);
}

static void submit_write(struct job_request *call)
{
	struct kv_txn txn = { .compare_count = 1, .put_count = 1 };
	char key[JOBSTORE_KEY_SIZE];

	jobstore_key(key, SUBMITTED_JOB_PREFIX, call->job);
	txn.compares[0].key = key;
	txn.puts[0].key = key;
	txn.puts[0].value = call->record;
	txn.puts[0].len = strlen(call->record);
	call->attempts++;
	call->write_in_flight = 1;
	kv_txn(call->gateway->kv, &txn, on_submitted, call);
}

static void on_looked(void *arg, const struct kv_result *result)
{
	struct job_request *call = arg;

	if (!result->err)
		accepted(call, "known");
	else if (result->err == ERR_NOT_FOUND)
		submit_write(call);
	else if (result->err == ERR_UNKNOWN)
		submit_failed(call, ERR_UNAVAILABLE); /* only a read */
	else
		submit_failed(call, result->err);
}

/*
 * A store that did not answer is asked with a read first, so that a caller can
 * be told that nothing was stored when the silence goes on.
 */
static void submit_again(void *arg)
{
	struct job_request *call = arg;
	char key[JOBSTORE_KEY_SIZE];

	if (!kv_is_silent(call->gateway->kv)) {
		submit_write(call);
		return;
	}
	jobstore_key(key, SUBMITTED_JOB_PREFIX, call->job);
	call->attempts++;
	kv_get(call->gateway->kv, key, on_looked, call);
}

void gateway_submit(struct job_request *call, const char *body, size_t len)
{
	struct workflow_spec spec;
	const char *reason;

	if (platform_decode_workflow(body, len, call->job, &spec, &reason)) {
		job_request_reply(call, 400, "{}", reason);
		return;
	}
	workflow_spec_clear(&spec);
	call->record = jobstore_record_encode(&call->queue, body, len);
	if (!call->record) {
		job_request_reply(call, 400, "{}", "not UTF-8");
		return;
	}
	submit_again(call);
}

static void cancel_write(void *arg);
static void cancel_read(void *arg);

static void on_cancelled(void *arg, const struct kv_result *result)
{
	struct job_request *call = arg;

	call->write_in_flight = 0;
	call->may_be_stored |= result->err == ERR_UNKNOWN;
	if (result->err && result->err != ERR_CONFLICT) {
		job_request_retry(call, result->err, cancel_write);
		return;
	}
	call->gateway->cancels.value++;
	job_request_reply(call, 200, "{}", "cancelled");
}

static void cancel_write(void *arg)
{
	struct job_request *call = arg;
	struct kv_txn txn = { .compare_count = 1, .put_count = 1 };
	char key[JOBSTORE_KEY_SIZE];

	jobstore_key(key, SUBMITTED_CANCEL_PREFIX, call->job);
	txn.compares[0].key = key;
	txn.puts[0].key = key;
	txn.puts[0].value = "{}";
	txn.puts[0].len = 2;
	call->attempts++;
	call->write_in_flight = 1;
	kv_txn(call->gateway->kv, &txn, on_cancelled, call);
}

static void on_job_read(void *arg, const struct kv_result *result)
{
	struct job_request *call = arg;

	if (!result->err)
		cancel_write(call);
	else if (result->err == ERR_NOT_FOUND)
		job_request_reply(call, 410, "{}", "no-such-job");
	else
		job_request_retry(call, result->err, cancel_read);
}

static void cancel_read(void *arg)
{
	struct job_request *call = arg;
	char key[JOBSTORE_KEY_SIZE];

	jobstore_key(key, SUBMITTED_JOB_PREFIX, call->job);
	call->attempts++;
	kv_get(call->gateway->kv, key, on_job_read, call);
}

void gateway_cancel(struct job_request *call)
{
	if (!job_id_valid(call->job)) {
		job_request_reply(call, 410, "{}", "identifier");
		return;
	}
	cancel_read(call);
}

static void state_read(void *arg);
static void queued_read(void *arg);

static void reply_state(struct job_request *call, enum workflow_state state)
{
	char *body = platform_state_body(state);

	histogram_observe(&call->gateway->state_ms,
			  mstime_diff(sysclock_now(), call->started_at));
	job_request_reply(call, 200, body, workflow_state_name(state));
	free(body);
}

static void on_queued_read(void *arg, const struct kv_result *result)
{
	struct job_request *call = arg;

	if (!result->err)
		reply_state(call, WORKFLOW_QUEUED);
	else if (result->err == ERR_NOT_FOUND)
		job_request_reply(call, 410, "{}", "no-such-job");
	else
		job_request_retry(call, result->err, queued_read);
}

static void queued_read(void *arg)
{
	struct job_request *call = arg;
	char key[JOBSTORE_KEY_SIZE];

	jobstore_key(key, SUBMITTED_JOB_PREFIX, call->job);
	kv_get(call->gateway->kv, key, on_queued_read, call);
}

static void on_state_read(void *arg, const struct kv_result *result)
{
	struct job_request *call = arg;
	enum workflow_state state;

	if (result->err == ERR_NOT_FOUND) {
		queued_read(call);
		return;
	}
	if (result->err) {
		job_request_retry(call, result->err, state_read);
		return;
	}
	if (workflow_decode_state(result->items[0].value, result->items[0].len,
				  &state)) {
		log_event(EV_WORKFLOW_INVALID, "job=%s reason=state",
			  call->job);
		job_request_refuse(call, 503, "state-unreadable");
		return;
	}
	reply_state(call, state);
}

static void state_read(void *arg)
{
	struct job_request *call = arg;
	char key[JOBSTORE_KEY_SIZE];

	jobstore_key(key, STATE_PREFIX, call->job);
	call->attempts++;
	kv_get(call->gateway->kv, key, on_state_read, call);
}

void gateway_get_state(struct job_request *call)
{
	call->gateway->state_requests.value++;
	if (!job_id_valid(call->job)) {
		job_request_reply(call, 410, "{}", "identifier");
		return;
	}
	state_read(call);
}

static void pending_read(void *arg);

static void on_pending_read(void *arg, const struct kv_result *result)
{
	struct job_request *call = arg;
	uint32_t count = 0;
	char *body;

	if (result->err && result->err != ERR_NOT_FOUND) {
		job_request_retry(call, result->err, pending_read);
		return;
	}
	if (!result->err)
		count = jobstore_pending_count(result->items[0].value,
					       result->items[0].len,
					       call->queue.name);
	body = platform_pending_body(count);
	job_request_reply(call, 200, body, "pending");
	free(body);
}

static void pending_read(void *arg)
{
	struct job_request *call = arg;

	call->attempts++;
	kv_get(call->gateway->kv, PENDING_KEY, on_pending_read, call);
}

void gateway_get_pending(struct job_request *call)
{
	pending_read(call);
}
