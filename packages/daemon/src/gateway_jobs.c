#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "election.h"
#include "errors.h"
#include "gateway_internal.h"
#include "log.h"
#include "sysclock.h"
#include "tasknames.h"

/*
 * How long a cancellation keeps out a submission that arrives after it: calls
 * to the store and to a gateway may be carried out some seconds late.
 */
#define EARLY_CANCEL_TTL_MS (60 * 1000)

static void submit_attempt(void *arg);

static void reply_accepted(struct job_request *req, const char *detail)
{
	req->gateway->accepted.value++;
	histogram_observe(&req->gateway->accept_ms,
			  mstime_diff(sysclock_now(), req->started_at));
	job_request_reply(req, 200, "{}", detail);
}

static void submit_retry(struct job_request *req, int err)
{
	if (err == ERR_UNKNOWN)
		req->may_be_stored = 1;
	job_request_retry(req, err, submit_attempt);
}

static int is_stored(const struct kv_result *result, const char *prefix)
{
	size_t i;

	for (i = 0; i < result->count; i++)
		if (result->items[i].revision &&
		    jobstore_key_suffix(result->items[i].key, prefix))
			return 1;
	return 0;
}

static void on_submit_written(void *arg, const struct kv_result *result)
{
	struct job_request *req = arg;

	req->write_in_flight = 0;
	if (!result->err)
		reply_accepted(req, "stored");
	else if (result->err == ERR_CONFLICT &&
		 is_stored(result, SUBMITTED_JOB_PREFIX))
		reply_accepted(req, "known");
	else if (result->err == ERR_CONFLICT &&
		 is_stored(result, SUBMITTED_CANCEL_PREFIX))
		job_request_refuse(req, 503, "cancelled-before",
				   STORE_RETRY_AFTER_S);
	else if (result->err == ERR_CONFLICT && req->may_be_stored)
		job_request_reply_unknown(req);
	else if (result->err == ERR_CONFLICT)
		job_request_refuse(req, 429, "too-many-waiting",
				   FULL_RETRY_AFTER_S);
	else if (result->err == ERR_INVALID)
		job_request_reply(req, 400, "{}", "store-refused");
	else
		submit_retry(req, result->err);
}

static void submit_write(struct job_request *req)
{
	struct kv_txn txn = { .compare_count = 3, .put_count = 1 };
	char key[JOBSTORE_KEY_SIZE], cancel_key[JOBSTORE_KEY_SIZE];

	jobstore_key(key, SUBMITTED_JOB_PREFIX, req->job);
	jobstore_key(cancel_key, SUBMITTED_CANCEL_PREFIX, req->job);
	txn.compares[0].key = key;
	txn.compares[1].key = cancel_key;
	txn.compares[2].key = FULL_KEY;
	txn.puts[0].key = key;
	txn.puts[0].value = req->record;
	txn.puts[0].len = strlen(req->record);
	req->attempts++;
	req->write_in_flight = 1;
	kv_txn(req->gateway->kv, &txn, on_submit_written, req);
}

static void on_submit_read(void *arg, const struct kv_result *result)
{
	struct job_request *req = arg;

	if (!result->err)
		reply_accepted(req, "known");
	else if (result->err == ERR_NOT_FOUND && req->no_room_ms)
		gateway_refuse_for_room(req);
	else if (result->err == ERR_NOT_FOUND)
		submit_write(req);
	else if (result->err == ERR_UNKNOWN)
		submit_retry(req, ERR_UNAVAILABLE); /* a read stores nothing */
	else
		submit_retry(req, result->err);
}

/*
 * If the store did not respond to the last call, a read goes first: should the
 * store stay silent, the caller can be told that nothing was stored. What can't
 * end in time is only read: an earlier request may have stored it.
 */
static void submit_attempt(void *arg)
{
	struct job_request *req = arg;
	char key[JOBSTORE_KEY_SIZE];

	if (!req->no_room_ms && !kv_is_unresponsive(req->gateway->kv)) {
		submit_write(req);
		return;
	}
	jobstore_key(key, SUBMITTED_JOB_PREFIX, req->job);
	req->attempts++;
	kv_get(req->gateway->kv, key, on_submit_read, req);
}

void gateway_submit(struct job_request *req, const char *body, size_t len)
{
	struct workflow_spec spec;
	struct workflow *workflow;
	const char *reason;

	if (platform_decode_workflow(body, len, req->job, &spec, &reason)) {
		job_request_reply(req, 400, "{}", reason);
		return;
	}
	workflow = workflow_new(&spec, &req->queue, 0);
	req->no_room_ms = gateway_outlook_retry_ms(req, workflow);
	workflow_delete(workflow);
	req->record = jobstore_record_encode(&req->queue, body, len);
	if (!req->record) {
		job_request_reply(req, 400, "{}", "not UTF-8");
		return;
	}
	submit_attempt(req);
}

static void cancel_write(void *arg);
static void cancel_read(void *arg);

static void on_cancel_written(void *arg, const struct kv_result *result)
{
	struct job_request *req = arg;

	req->write_in_flight = 0;
	req->may_be_stored |= result->err == ERR_UNKNOWN;
	if (result->err && result->err != ERR_CONFLICT) {
		job_request_retry(req, result->err, cancel_write);
		return;
	}
	req->gateway->cancels.value++;
	job_request_reply(req, 200, "{}", "cancelled");
}

static void cancel_write(void *arg)
{
	struct job_request *req = arg;
	struct kv_txn txn = { .compare_count = 1, .put_count = 1 };
	char key[JOBSTORE_KEY_SIZE];

	jobstore_key(key, SUBMITTED_CANCEL_PREFIX, req->job);
	txn.compares[0].key = key;
	txn.puts[0].key = key;
	txn.puts[0].value = "{}";
	txn.puts[0].len = 2;
	req->attempts++;
	req->write_in_flight = 1;
	kv_txn(req->gateway->kv, &txn, on_cancel_written, req);
}

static void on_early_cancel_written(void *arg, const struct kv_result *result)
{
	struct job_request *req = arg;

	if (!result->err)
		job_request_reply(req, 410, "{}", "no-such-job");
	else if (result->err == ERR_CONFLICT)
		cancel_read(req);
	else
		job_request_retry(req, result->err, cancel_read);
}

static void on_early_cancel_lease(void *arg, const struct kv_result *result)
{
	struct job_request *req = arg;
	struct kv_txn txn = { .compare_count = 1, .put_count = 1 };
	char key[JOBSTORE_KEY_SIZE], cancel_key[JOBSTORE_KEY_SIZE];

	if (result->err) {
		job_request_retry(req, result->err, cancel_read);
		return;
	}
	jobstore_key(key, SUBMITTED_JOB_PREFIX, req->job);
	jobstore_key(cancel_key, SUBMITTED_CANCEL_PREFIX, req->job);
	txn.compares[0].key = key;
	txn.puts[0].key = cancel_key;
	txn.puts[0].value = "{}";
	txn.puts[0].len = 2;
	txn.puts[0].lease = result->lease;
	kv_txn(req->gateway->kv, &txn, on_early_cancel_written, req);
}

/* The submission may be on its way, in another gateway or to the store. */
static void cancel_early(struct job_request *req)
{
	kv_lease_grant(req->gateway->kv, EARLY_CANCEL_TTL_MS,
		       on_early_cancel_lease, req);
}

static void on_cancel_read(void *arg, const struct kv_result *result)
{
	struct job_request *req = arg;

	if (!result->err)
		cancel_write(req);
	else if (result->err == ERR_NOT_FOUND)
		cancel_early(req);
	else
		job_request_retry(req, result->err, cancel_read);
}

static void cancel_read(void *arg)
{
	struct job_request *req = arg;
	char key[JOBSTORE_KEY_SIZE];

	jobstore_key(key, SUBMITTED_JOB_PREFIX, req->job);
	req->attempts++;
	kv_get(req->gateway->kv, key, on_cancel_read, req);
}

void gateway_cancel(struct job_request *req)
{
	if (!job_id_valid(req->job)) {
		job_request_reply(req, 410, "{}", "identifier");
		return;
	}
	cancel_read(req);
}

static void state_read(void *arg);
static void queued_read(void *arg);

static void reply_state(struct job_request *req, enum workflow_state state)
{
	char *body = platform_state_body(state);

	histogram_observe(&req->gateway->state_ms,
			  mstime_diff(sysclock_now(), req->started_at));
	job_request_reply(req, 200, body, workflow_state_name(state));
	free(body);
}

static void on_queued_read(void *arg, const struct kv_result *result)
{
	struct job_request *req = arg;

	if (!result->err)
		reply_state(req, WORKFLOW_QUEUED);
	else if (result->err == ERR_NOT_FOUND)
		job_request_reply(req, 410, "{}", "no-such-job");
	else
		job_request_retry(req, result->err, queued_read);
}

static void queued_read(void *arg)
{
	struct job_request *req = arg;
	char key[JOBSTORE_KEY_SIZE];

	jobstore_key(key, SUBMITTED_JOB_PREFIX, req->job);
	kv_get(req->gateway->kv, key, on_queued_read, req);
}

static void on_state_read(void *arg, const struct kv_result *result)
{
	struct job_request *req = arg;
	enum workflow_state state;

	if (result->err == ERR_NOT_FOUND) {
		queued_read(req);
		return;
	}
	if (result->err) {
		job_request_retry(req, result->err, state_read);
		return;
	}
	if (workflow_decode_state(result->items[0].value, result->items[0].len,
				  &state)) {
		log_event(EV_WORKFLOW_INVALID, "job=%s reason=state", req->job);
		job_request_refuse(req, 503, "state-unreadable",
				   STORE_RETRY_AFTER_S);
		return;
	}
	reply_state(req, state);
}

static void state_read(void *arg)
{
	struct job_request *req = arg;
	char key[JOBSTORE_KEY_SIZE];

	jobstore_key(key, STATE_PREFIX, req->job);
	req->attempts++;
	kv_get(req->gateway->kv, key, on_state_read, req);
}

void gateway_get_state(struct job_request *req)
{
	req->gateway->state_requests.value++;
	if (!job_id_valid(req->job)) {
		job_request_reply(req, 410, "{}", "identifier");
		return;
	}
	state_read(req);
}

static void pending_read(void *arg);

static void reply_pending(struct job_request *req, uint32_t submitted)
{
	uint32_t count = req->pending_count + submitted;
	char detail[96], *body;

	snprintf(detail, sizeof(detail),
		 "pending count=%u revision=%lld submitted_since=%u", count,
		 (long long)req->pending_revision, submitted);
	body = platform_pending_body(count);
	job_request_reply(req, 200, body, detail);
	free(body);
}

static int is_submitted_since(const struct job_request *req,
			      const struct kv_item *item, const char *queue)
{
	return item->revision > req->pending_revision &&
	       !strcmp(queue, req->queue.name);
}

/* Requests that wait for the same reading share it. */
static void on_submissions_read(void *arg, const struct kv_result *result)
{
	struct gateway *gateway = arg;
	struct list *pos, *tmp;
	size_t i;

	gateway->is_counting = 0;
	list_for_each (pos, &gateway->counts)
		list_entry(pos, struct job_request, count_node)->submitted = 0;
	for (i = 0; !result->err && i < result->count; i++) {
		const struct kv_item *item = &result->items[i];
		char queue[ID_SIZE];

		if (!item->value ||
		    jobstore_record_queue(item->value, item->len, queue))
			continue;
		list_for_each (pos, &gateway->counts) {
			struct job_request *req =
				list_entry(pos, struct job_request, count_node);

			if (is_submitted_since(req, item, queue))
				req->submitted++;
		}
	}
	list_for_each_safe (pos, tmp, &gateway->counts) {
		struct job_request *req =
			list_entry(pos, struct job_request, count_node);

		list_del(&req->count_node);
		if (result->err)
			job_request_retry(req, result->err, pending_read);
		else
			reply_pending(req, req->submitted);
	}
}

static void count_submissions(struct job_request *req)
{
	struct gateway *gateway = req->gateway;

	list_add_tail(&gateway->counts, &req->count_node);
	if (gateway->is_counting)
		return;
	gateway->is_counting = 1;
	kv_list(gateway->kv, SUBMITTED_JOB_PREFIX, on_submissions_read,
		gateway);
}

/*
 * Only a scheduler publishes the count. Without one, or until it has published
 * its first, all that was submitted since the last publication waits, too.
 */
static void on_leader_read(void *arg, const struct kv_result *result)
{
	struct job_request *req = arg;

	if (result->err && result->err != ERR_NOT_FOUND)
		job_request_retry(req, result->err, pending_read);
	else if (!result->err &&
		 result->items[0].revision < req->pending_revision)
		reply_pending(req, 0);
	else
		count_submissions(req);
}

static void on_pending_read(void *arg, const struct kv_result *result)
{
	struct job_request *req = arg;

	if (result->err && result->err != ERR_NOT_FOUND) {
		job_request_retry(req, result->err, pending_read);
		return;
	}
	if (!result->err) {
		req->pending_count = jobstore_pending_count(
			result->items[0].value, result->items[0].len,
			req->queue.name);
		req->pending_revision = result->items[0].revision;
	}
	kv_get(req->gateway->kv, ELECTION_KEY, on_leader_read, req);
}

static void pending_read(void *arg)
{
	struct job_request *req = arg;

	req->attempts++;
	kv_get(req->gateway->kv, PENDING_KEY, on_pending_read, req);
}

void gateway_get_pending(struct job_request *req)
{
	pending_read(req);
}
