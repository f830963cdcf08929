#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "gateway_internal.h"
#include "log.h"
#include "sysclock.h"
#include "tasknames.h"

static void submit_again(void *arg);

static void accepted(struct job_call *call, const char *detail)
{
	call->gateway->accepted.value++;
	histogram_observe(&call->gateway->accept_ms,
			  mstime_diff(sysclock_now(), call->started));
	job_call_reply(call, 200, "{}", detail);
}

static void submit_failed(struct job_call *call, int err)
{
	if (err == ERR_UNKNOWN)
		call->may_exist = 1;
	job_call_retry(call, err, submit_again);
}

static void on_submitted(void *arg, const struct kv_result *result)
{
	struct job_call *call = arg;

	call->write_is_open = 0;
	if (!result->err)
		accepted(call, "stored");
	else if (result->err == ERR_CONFLICT)
		accepted(call, "known");
	else if (result->err == ERR_INVALID)
		job_call_reply(call, 400, "{}", "store-refused");
	else
		submit_failed(call, result->err);
}

static void submit_write(struct job_call *call)
{
	struct kv_txn txn = { .compare_count = 1, .put_count = 1 };
	char key[JOB_KEY_SIZE];

	job_key(key, SUBMITTED_JOB, call->job);
	txn.compares[0].key = key;
	txn.puts[0].key = key;
	txn.puts[0].value = call->record;
	txn.puts[0].len = strlen(call->record);
	call->attempts++;
	call->write_is_open = 1;
	kv_txn(call->gateway->kv, &txn, on_submitted, call);
}

static void on_looked(void *arg, const struct kv_result *result)
{
	struct job_call *call = arg;

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
	struct job_call *call = arg;
	char key[JOB_KEY_SIZE];

	if (!kv_is_silent(call->gateway->kv)) {
		submit_write(call);
		return;
	}
	job_key(key, SUBMITTED_JOB, call->job);
	call->attempts++;
	kv_get(call->gateway->kv, key, on_looked, call);
}

void gateway_submit(struct job_call *call, const char *body, size_t len)
{
	struct workflow_spec spec;
	const char *reason;

	if (platform_decode_workflow(body, len, call->job, &spec, &reason)) {
		job_call_reply(call, 400, "{}", reason);
		return;
	}
	workflow_spec_clear(&spec);
	call->record = job_record_encode(&call->queue, body, len);
	if (!call->record) {
		job_call_reply(call, 400, "{}", "not UTF-8");
		return;
	}
	submit_again(call);
}

static void cancel_write(void *arg);
static void cancel_read(void *arg);

static void on_cancelled(void *arg, const struct kv_result *result)
{
	struct job_call *call = arg;

	call->write_is_open = 0;
	call->may_exist |= result->err == ERR_UNKNOWN;
	if (result->err && result->err != ERR_CONFLICT) {
		job_call_retry(call, result->err, cancel_write);
		return;
	}
	call->gateway->cancels.value++;
	job_call_reply(call, 200, "{}", "cancelled");
}

static void cancel_write(void *arg)
{
	struct job_call *call = arg;
	struct kv_txn txn = { .compare_count = 1, .put_count = 1 };
	char key[JOB_KEY_SIZE];

	job_key(key, SUBMITTED_CANCEL, call->job);
	txn.compares[0].key = key;
	txn.puts[0].key = key;
	txn.puts[0].value = "{}";
	txn.puts[0].len = 2;
	call->attempts++;
	call->write_is_open = 1;
	kv_txn(call->gateway->kv, &txn, on_cancelled, call);
}

static void on_job_read(void *arg, const struct kv_result *result)
{
	struct job_call *call = arg;

	if (!result->err)
		cancel_write(call);
	else if (result->err == ERR_NOT_FOUND)
		job_call_reply(call, 410, "{}", "no-such-job");
	else
		job_call_retry(call, result->err, cancel_read);
}

static void cancel_read(void *arg)
{
	struct job_call *call = arg;
	char key[JOB_KEY_SIZE];

	job_key(key, SUBMITTED_JOB, call->job);
	call->attempts++;
	kv_get(call->gateway->kv, key, on_job_read, call);
}

void gateway_cancel(struct job_call *call)
{
	if (!job_id_valid(call->job)) {
		job_call_reply(call, 410, "{}", "identifier");
		return;
	}
	cancel_read(call);
}

static void state_read(void *arg);
static void queued_read(void *arg);

static void reply_state(struct job_call *call, enum workflow_state state)
{
	char *body = platform_state_body(state);

	histogram_observe(&call->gateway->state_ms,
			  mstime_diff(sysclock_now(), call->started));
	job_call_reply(call, 200, body, workflow_state_name(state));
	free(body);
}

static void on_queued_read(void *arg, const struct kv_result *result)
{
	struct job_call *call = arg;

	if (!result->err)
		reply_state(call, WORKFLOW_QUEUED);
	else if (result->err == ERR_NOT_FOUND)
		job_call_reply(call, 410, "{}", "no-such-job");
	else
		job_call_retry(call, result->err, queued_read);
}

static void queued_read(void *arg)
{
	struct job_call *call = arg;
	char key[JOB_KEY_SIZE];

	job_key(key, SUBMITTED_JOB, call->job);
	kv_get(call->gateway->kv, key, on_queued_read, call);
}

static void on_state_read(void *arg, const struct kv_result *result)
{
	struct job_call *call = arg;
	enum workflow_state state;

	if (result->err == ERR_NOT_FOUND) {
		queued_read(call);
		return;
	}
	if (result->err) {
		job_call_retry(call, result->err, state_read);
		return;
	}
	if (workflow_decode_state(result->items[0].value, result->items[0].len,
				  &state)) {
		log_event(EV_WORKFLOW_INVALID, "job=%s reason=state",
			  call->job);
		job_call_refuse(call, 503, "state-unreadable");
		return;
	}
	reply_state(call, state);
}

static void state_read(void *arg)
{
	struct job_call *call = arg;
	char key[JOB_KEY_SIZE];

	job_key(key, STATE_PREFIX, call->job);
	call->attempts++;
	kv_get(call->gateway->kv, key, on_state_read, call);
}

void gateway_state(struct job_call *call)
{
	call->gateway->states.value++;
	if (!job_id_valid(call->job)) {
		job_call_reply(call, 410, "{}", "identifier");
		return;
	}
	state_read(call);
}

static void pending_read(void *arg);

static void on_pending_read(void *arg, const struct kv_result *result)
{
	struct job_call *call = arg;
	uint32_t count = 0;
	char *body;

	if (result->err && result->err != ERR_NOT_FOUND) {
		job_call_retry(call, result->err, pending_read);
		return;
	}
	if (!result->err)
		count = pending_record_count(result->items[0].value,
					     result->items[0].len,
					     call->queue.name);
	body = platform_pending_body(count);
	job_call_reply(call, 200, body, "pending");
	free(body);
}

static void pending_read(void *arg)
{
	struct job_call *call = arg;

	call->attempts++;
	kv_get(call->gateway->kv, PENDING_KEY, on_pending_read, call);
}

void gateway_pending(struct job_call *call)
{
	pending_read(call);
}
