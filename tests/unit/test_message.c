#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "message.h"
#include "rng.h"

static struct http_header headers[] = {
	{ "Content-Type", "text/plain" },
	{ "X-Empty", "" },
};

static struct task_status tasks[] = {
	{ .job = "j1",
	  .run = 3,
	  .state = TASK_RUNNING,
	  .checkpoint = "c2",
	  .detail = "" },
};

static struct entry_address entries[] = { { "e1", "127.0.0.1:7001" } };

static struct text_item labels[] = { { "l1" } };
static struct run_status run_statuses[] = {
	{ { "j1", 4, 1, 2 }, 3, RUN_ACTIVE, 100, 7, "c", "d" },
};
static struct ended_run run_ends[] = {
	{ 9, { "j1", 5, 1, 3 }, 1, RUN_END_FAILED, "e" },
};
static struct run_order run_orders[] = {
	{ { "j1", 0, 1, 4 }, 1, "payload", "", 1, 0 },
};

/* One message of each type with a field that must be preserved. */
static const struct message samples[] = {
	{ MSG_ANNOUNCE,
	  { .announce = { .agent = "a1",
			  .slots = 8,
			  .state = AGENT_READY,
			  .load = { .used = { .mem_mb = 7 } },
			  .evictable = { 1, 5, 2 } } } },
	{ MSG_ANNOUNCE_ACK,
	  { .announce_ack = { .incarnation = 5,
			      .seq = 9,
			      .entries = { entries, 1 } } } },
	{ MSG_CONFIG, { .config = { 4, "{}" } } },
	{ MSG_REQUEST,
	  { .request = { .request_id = UINT64_MAX,
			 .trace_id = "t",
			 .method = "GET",
			 .path = "/a?b=c",
			 .headers = { headers, 2 } } } },
	{ MSG_REQUEST_BODY,
	  { .request_body = { 1, 5, { (const void *)"a\0b", 3 }, 1 } } },
	{ MSG_CANCEL, { .cancel = { 1 } } },
	{ MSG_REFUSED, { .refused = { 1, REFUSAL_FULL } } },
	{ MSG_RESPONSE, { .response = { 1, 200, 1, { headers, 1 } } } },
	{ MSG_RESPONSE_BODY, { .response_body = { 1, 2, { NULL, 0 } } } },
	{ MSG_RESPONSE_END, { .response_end = { 1, OUTCOME_DONE, 0, 42 } } },
	{ MSG_CREDIT, { .credit = { 1, 65536 } } },
	{ MSG_TASK_START,
	  { .task_start = { 2,
			    3,
			    "j",
			    4,
			    { 1, 2, 3 },
			    "c",
			    "run",
			    1,
			    60000 } } },
	{ MSG_TASK_STOP, { .task_stop = { 2, 3, "j", 4, STOP_CANCEL } } },
	{ MSG_TASK_THROTTLE, { .task_throttle = { 2, 3, "j", 4, 50 } } },
	{ MSG_TASK_REPORT, { .task_report = { 1, 2, 3, "a1", { tasks, 1 } } } },
	{ MSG_TASK_REPORT_ACK, { .task_report_ack = { 1, 2, 3, 1 } } },
	{ MSG_OWNER, { .owner = { 1, 2, "e1" } } },
	{ MSG_WORK_HELLO, { .work_hello = { 7, "s1" } } },
	{ MSG_WORK_REPORT,
	  { .work_report = { .epoch = 7,
			     .seq = 2,
			     .session = 3,
			     .worker = "w1",
			     .worker_start_ms = 4,
			     .fence = 5,
			     .state = WORKER_READY,
			     .remaining_ms = 6,
			     .list_age_ms = 20,
			     .lease_left_ms = 5000,
			     .service = "s1",
			     .capacity = { 1000, 2000, 3 },
			     .labels = { labels, 1 },
			     .runs = { run_statuses, 1 },
			     .ends = { run_ends, 1 } } } },
	{ MSG_WORK_ORDERS,
	  { .work_orders = { .epoch = 7,
			     .report_seq = 2,
			     .worker = "w1",
			     .lease_ms = 5000,
			     .starts = { run_orders, 1 } } } },
};

#define SAMPLE_COUNT (sizeof(samples) / sizeof(samples[0]))

/* Guards against a field that is lost or reordered by the codec. */
static void test_round_trip(void **state)
{
	size_t i;

	assert_int_equal(SAMPLE_COUNT, MSG_TYPE_COUNT - 1);
	for (i = 0; i < SAMPLE_COUNT; i++) {
		unsigned char *first, *second;
		size_t first_len, second_len;
		struct message decoded;

		assert_int_equal(
			message_encode(&samples[i], &first, &first_len), 0);
		assert_int_equal(message_decode(&decoded, first, first_len), 0);
		assert_int_equal(decoded.type, samples[i].type);
		assert_int_equal(message_encode(&decoded, &second, &second_len),
				 0);
		assert_int_equal(first_len, second_len);
		assert_memory_equal(first, second, first_len);
		message_clear(&decoded);
		free(first);
		free(second);
	}
}

static void assert_same_task(const struct task_id *a, const struct task_id *b)
{
	assert_string_equal(a->job, b->job);
	assert_int_equal(a->occurrence, b->occurrence);
	assert_int_equal(a->step, b->step);
	assert_int_equal(a->index, b->index);
}

static void assert_same_status(const struct run_status *a,
			       const struct run_status *b)
{
	assert_same_task(&a->task, &b->task);
	assert_int_equal(a->run, b->run);
	assert_int_equal(a->phase, b->phase);
	assert_int_equal(a->progress_percent, b->progress_percent);
	assert_int_equal(a->latency_or_cpu, b->latency_or_cpu);
	assert_string_equal(a->checkpoint, b->checkpoint);
	assert_string_equal(a->detail, b->detail);
}

static void assert_same_end(const struct ended_run *a,
			    const struct ended_run *b)
{
	assert_int_equal(a->number, b->number);
	assert_same_task(&a->task, &b->task);
	assert_int_equal(a->run, b->run);
	assert_int_equal(a->how, b->how);
	assert_string_equal(a->checkpoint, b->checkpoint);
}

static void assert_same_report(const struct msg_work_report *a,
			       const struct msg_work_report *b)
{
	assert_int_equal(a->epoch, b->epoch);
	assert_int_equal(a->seq, b->seq);
	assert_int_equal(a->session, b->session);
	assert_string_equal(a->worker, b->worker);
	assert_int_equal(a->worker_start_ms, b->worker_start_ms);
	assert_int_equal(a->fence, b->fence);
	assert_int_equal(a->state, b->state);
	assert_int_equal(a->remaining_ms, b->remaining_ms);
	assert_int_equal(a->list_age_ms, b->list_age_ms);
	assert_int_equal(a->lease_left_ms, b->lease_left_ms);
	assert_string_equal(a->service, b->service);
	assert_memory_equal(&a->capacity, &b->capacity, sizeof(a->capacity));
	assert_int_equal(a->labels.count, 1);
	assert_string_equal(a->labels.items[0].text, b->labels.items[0].text);
	assert_int_equal(a->runs.count, 1);
	assert_same_status(&a->runs.items[0], &b->runs.items[0]);
	assert_int_equal(a->ends.count, 1);
	assert_same_end(&a->ends.items[0], &b->ends.items[0]);
}

/*
 * Guards against a field that is missing in the table of the work report: it
 * would always arrive as 0, and equal encodings do not show that.
 */
static void test_work_report_fields(void **state)
{
	struct message decoded;
	unsigned char *data;
	size_t i, len;

	for (i = 0; i < SAMPLE_COUNT; i++) {
		if (samples[i].type != MSG_WORK_REPORT)
			continue;
		assert_int_equal(message_encode(&samples[i], &data, &len), 0);
		assert_int_equal(message_decode(&decoded, data, len), 0);
		assert_same_report(&decoded.u.work_report,
				   &samples[i].u.work_report);
		message_clear(&decoded);
		free(data);
	}
}

/* Guards against reading past the end of a frame truncated in transit. */
static void test_truncated(void **state)
{
	size_t i, len, truncated_len;

	for (i = 0; i < SAMPLE_COUNT; i++) {
		unsigned char *data;
		struct message decoded;

		assert_int_equal(message_encode(&samples[i], &data, &len), 0);
		for (truncated_len = 0; truncated_len < len; truncated_len++) {
			unsigned char *truncated =
				malloc(truncated_len ? truncated_len : 1);

			memcpy(truncated, data, truncated_len);
			assert_int_not_equal(message_decode(&decoded, truncated,
							    truncated_len),
					     0);
			free(truncated);
		}
		free(data);
	}
}

/* Guards against a crash on frames with arbitrary bytes changed. */
static void test_corrupted(void **state)
{
	struct rng rng;
	int round;

	rng_seed(&rng, 1);
	for (round = 0; round < 20000; round++) {
		const struct message *msg = &samples[round % SAMPLE_COUNT];
		struct message decoded;
		unsigned char *data;
		size_t len;

		assert_int_equal(message_encode(msg, &data, &len), 0);
		data[rng_below(&rng, (uint32_t)len)] =
			(unsigned char)rng_below(&rng, 256);
		if (!message_decode(&decoded, data, len))
			message_clear(&decoded);
		free(data);
	}
}

/* Guards against a copy from a null pointer, found by the sanitizers. */
static void test_empty_string_at_end(void **state)
{
	struct message msg = { MSG_OWNER, { .owner = { 1, 2, "" } } };
	struct message decoded;
	unsigned char *data;
	size_t len;

	assert_int_equal(message_encode(&msg, &data, &len), 0);
	assert_int_equal(message_decode(&decoded, data, len), 0);
	assert_string_equal(decoded.u.owner.entry, "");
	message_clear(&decoded);
	free(data);
}

static void test_encode_errors(void **state)
{
	static char big[16 * 1024];
	struct message path = { MSG_REQUEST, { .request = { .path = big } } };
	struct message body = {
		MSG_REQUEST_BODY,
		{ .request_body = { .data = { (const void *)big,
					      BODY_CHUNK_MAX_BYTES + 1 } } }
	};
	struct message unknown = { MSG_TYPE_COUNT, { .cancel = { 1 } } };
	unsigned char *data;
	size_t len;

	memset(big, 'x', sizeof(big) - 1);
	assert_int_equal(message_encode(&path, &data, &len), ERR_TOO_LARGE);
	assert_int_equal(message_encode(&body, &data, &len), ERR_TOO_LARGE);
	assert_int_equal(message_encode(&unknown, &data, &len), ERR_INVALID);
}

static void test_handcrafted_frames(void **state)
{
	static const struct {
		const char *name;
		const char *bytes;
		size_t len;
		int err;
	} cases[] = {
		{ "empty", "", 0, ERR_MALFORMED },
		{ "not an array", "\x01", 1, ERR_MALFORMED },
		{ "earlier version", "\x93\x02\x06\x91\x01", 5, ERR_MALFORMED },
		{ "later version", "\x93\x04\x06\x91\x01", 5, ERR_MALFORMED },
		{ "type 0", "\x93\x03\x00\x91\x01", 5, ERR_INVALID },
		{ "type 99", "\x93\x03\x63\x91\x01", 5, ERR_INVALID },
		{ "missing field", "\x93\x03\x06\x90", 4, ERR_MALFORMED },
		{ "string for number", "\x93\x03\x06\x91\xa1x", 6,
		  ERR_MALFORMED },
		{ "trailing byte", "\x93\x03\x06\x91\x01\x00", 6,
		  ERR_MALFORMED },
		{ "huge array", "\xdd\xff\xff\xff\xff", 5, ERR_MALFORMED },
		{ "good cancel", "\x93\x03\x06\x91\x01", 5, 0 },
		/* msgpack-c gives NULL for an empty string before any other. */
		{ "empty string first", "\x93\x03\x03\x92\x01\xa0", 6, 0 },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct message msg;
		int err = message_decode(&msg, (const void *)cases[i].bytes,
					 cases[i].len);

		if (err != cases[i].err)
			fail_msg("%s: got %s", cases[i].name, error_name(err));
		message_clear(&msg);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_round_trip),
		cmocka_unit_test(test_work_report_fields),
		cmocka_unit_test(test_truncated),
		cmocka_unit_test(test_corrupted),
		cmocka_unit_test(test_empty_string_at_end),
		cmocka_unit_test(test_encode_errors),
		cmocka_unit_test(test_handcrafted_frames),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
