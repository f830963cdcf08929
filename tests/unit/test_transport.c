#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <zmq.h>

#include "errors.h"
#include "log.h"
#include "support.h"
#include "transport.h"

#define BACKLOG_SIZE 2000

struct fixture {
	struct loop *loop;
	char address[ID_SIZE];
	struct transport *server, *client;
	void *raw_context, *raw_socket; /* peer that sends invalid frames */
	struct loop_timer *timer;	/* started by the first message */
	int server_received, client_received, received_at_timer;
	int delete_in_callback;
	char last_peer[256];
	uint64_t last_request;
	int64_t wanted_count;
};

static struct message cancel_message(uint64_t request)
{
	struct message msg = { MSG_CANCEL, { .cancel = { request } } };

	return msg;
}

static void on_server(void *arg, const char *peer, const struct message *msg)
{
	struct fixture *f = arg;

	f->server_received++;
	if (f->timer && f->server_received == 1)
		loop_timer_start(f->timer, 0);
	strcpy(f->last_peer, peer);
	f->last_request = msg->u.cancel.request_id;
	if (f->delete_in_callback) {
		transport_delete(f->server);
		f->server = NULL;
	}
}

static void on_client(void *arg, const char *peer, const struct message *msg)
{
	struct fixture *f = arg;

	f->client_received++;
	f->last_request = msg->u.cancel.request_id;
}

static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));

	f->loop = loop_new();
	free_address(f->address, sizeof(f->address));
	f->server = transport_server_new(f->loop, f->address, on_server, f);
	assert_non_null(f->server);
	f->client =
		transport_client_new(f->loop, f->address, "a1/1", on_client, f);
	assert_non_null(f->client);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	if (f->raw_socket) {
		zmq_close(f->raw_socket);
		zmq_ctx_term(f->raw_context);
	}
	transport_delete(f->client);
	transport_delete(f->server);
	loop_delete(f->loop);
	free(f);
	return 0;
}

static void connect_raw(struct fixture *f, const char *id)
{
	char endpoint[ID_SIZE + 8];
	int linger = 0;

	snprintf(endpoint, sizeof(endpoint), "tcp://%s", f->address);
	f->raw_context = zmq_ctx_new();
	f->raw_socket = zmq_socket(f->raw_context, ZMQ_DEALER);
	zmq_setsockopt(f->raw_socket, ZMQ_LINGER, &linger, sizeof(linger));
	if (id)
		zmq_setsockopt(f->raw_socket, ZMQ_ROUTING_ID, id, strlen(id));
	assert_int_equal(zmq_connect(f->raw_socket, endpoint), 0);
}

static int server_received_wanted(void *arg)
{
	struct fixture *f = arg;

	return f->server_received >= f->wanted_count;
}

static int client_received_wanted(void *arg)
{
	struct fixture *f = arg;

	return f->client_received >= f->wanted_count;
}

static int server_dropped_wanted(void *arg)
{
	struct fixture *f = arg;

	return transport_stats(f->server)->dropped_in >= f->wanted_count;
}

static void expect_server(struct fixture *f, int count)
{
	f->wanted_count = count;
	assert_true(loop_wait(f->loop, server_received_wanted, f));
}

/*
 * Guards against a message that stays unread: ZMQ_FD is edge-triggered, and
 * nothing else wakes the receiver after a missed edge.
 */
static void test_send_both_ways(void **state)
{
	struct fixture *f = *state;
	struct message msg = cancel_message(7);
	int round;

	for (round = 1; round <= 50; round++) {
		assert_int_equal(transport_send(f->client, NULL, &msg), 0);
		expect_server(f, round);
		assert_string_equal(f->last_peer, "a1/1");
		assert_int_equal(transport_send(f->server, "a1/1", &msg), 0);
		f->wanted_count = round;
		assert_true(loop_wait(f->loop, client_received_wanted, f));
	}
	assert_int_equal(transport_stats(f->client)->bytes_out,
			 transport_stats(f->server)->bytes_in);
	assert_int_equal(transport_stats(f->server)->messages_out, round - 1);
	assert_int_equal(transport_send(f->server, "a2/1", &msg),
			 ERR_UNAVAILABLE);
	assert_int_equal(transport_stats(f->server)->refused_out, 1);
}

static void on_timer(void *arg)
{
	struct fixture *f = arg;

	f->received_at_timer = f->server_received;
}

/* Guards against a long receive queue that keeps timers from firing. */
static void test_timers_are_not_starved(void **state)
{
	struct fixture *f = *state;
	struct message msg = cancel_message(1);
	int i;

	f->timer = loop_timer_new(f->loop, on_timer, f);
	for (i = 0; i < 1000; i++)
		assert_int_equal(transport_send(f->client, NULL, &msg), 0);
	/* Lets all messages arrive and queue before the receiver reads. */
	usleep(200 * 1000);
	expect_server(f, 1000);
	assert_in_range(f->received_at_timer, 1, 999);
	loop_timer_delete(f->timer);
}

static struct message body_message(unsigned char *data)
{
	struct message msg = {
		MSG_REQUEST_BODY,
		{ .request_body = { .data = { data, BODY_CHUNK_MAX_BYTES } } }
	};

	return msg;
}

/*
 * Sends until a message is refused, while the receiver does not read. Returns
 * the number of messages accepted.
 */
static int fill_queue(struct transport *transport, const char *peer)
{
	static unsigned char data[BODY_CHUNK_MAX_BYTES];
	struct message msg = body_message(data);
	int accepted;
	int err = 0;

	for (accepted = 0; accepted < 100000; accepted++) {
		err = transport_send(transport, peer, &msg);
		if (err)
			break;
	}
	assert_int_equal(err, ERR_FULL);
	assert_int_equal(transport_stats(transport)->refused_out, 1);
	return accepted;
}

/* Guards against a send that blocks, and loss of accepted messages. */
static void test_full_queue(void **state)
{
	struct fixture *f = *state;
	struct message first = cancel_message(1);
	int accepted;

	transport_send(f->client, NULL, &first);
	expect_server(f, 1);
	accepted = fill_queue(f->server, "a1/1");
	f->wanted_count = accepted;
	assert_true(loop_wait(f->loop, client_received_wanted, f));
	accepted = fill_queue(f->client, NULL);
	expect_server(f, accepted + 1);
	assert_int_equal(f->server_received, accepted + 1);
}

/*
 * Guards against invalid frames that reach the callback or are dropped without
 * being counted.
 */
static void test_invalid_frames(void **state)
{
	static const char valid_frame[] = "\x93\x03\x06\x91\x05";
	static char oversized_frame[FRAME_MAX_BYTES + 1];
	static const struct {
		const char *id;
		const char *data;
		size_t len;
		int parts;
		int dropped;
	} cases[] = {
		{ "x", "", 0, 1, 1 },
		{ "x", "garbage", 7, 1, 1 },
		{ "x", "\x93\x03\x63\x91\x01", 5, 1, 1 },
		{ "x", oversized_frame, sizeof(oversized_frame), 1, 1 },
		{ "x", valid_frame, 5, 2, 1 },
		{ "bad id", valid_frame, 5, 1, 1 },
		{ NULL, valid_frame, 5, 1, 1 },
		{ "x", valid_frame, 5, 1, 0 },
	};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		connect_raw(f, cases[i].id);
		if (cases[i].parts > 1)
			zmq_send(f->raw_socket, "more", 4, ZMQ_SNDMORE);
		zmq_send(f->raw_socket, cases[i].data, cases[i].len, 0);
		if (cases[i].dropped) {
			f->wanted_count = (int64_t)i + 1;
			assert_true(
				loop_wait(f->loop, server_dropped_wanted, f));
			assert_int_equal(f->server_received, 0);
		} else {
			expect_server(f, 1);
			assert_int_equal(f->last_request, 5);
		}
		zmq_close(f->raw_socket);
		zmq_ctx_term(f->raw_context);
		f->raw_socket = NULL;
	}
}

/*
 * Guards against a frame over the limit of ZeroMQ that uses memory or affects
 * other peers.
 */
static void test_huge_frame(void **state)
{
	static char huge_frame[4 * FRAME_MAX_BYTES];
	struct fixture *f = *state;
	struct message msg = cancel_message(3);

	connect_raw(f, "x");
	zmq_send(f->raw_socket, huge_frame, sizeof(huge_frame), 0);
	transport_send(f->client, NULL, &msg);
	expect_server(f, 1);
	assert_string_equal(f->last_peer, "a1/1");
}

/* Guards against a client that does not reconnect to a restarted server. */
static void test_reconnect(void **state)
{
	struct fixture *f = *state;
	struct message msg = cancel_message(1);

	transport_send(f->client, NULL, &msg);
	expect_server(f, 1);
	transport_delete(f->server);
	f->server = NULL;
	while (!f->server)
		f->server =
			transport_server_new(f->loop, f->address, on_server, f);
	/* The first message may be lost with the old connection. */
	while (f->server_received < 2) {
		transport_send(f->client, NULL, &msg);
		f->wanted_count = 2;
		loop_wait_ms(f->loop, server_received_wanted, f, 50);
	}
	assert_string_equal(f->last_peer, "a1/1");
}

/*
 * Guards against a restarted agent that is rejected because the connection of
 * its predecessor still holds the routing id.
 */
static void test_routing_id_handover(void **state)
{
	struct fixture *f = *state;
	struct message msg = cancel_message(1);
	struct transport *second;

	transport_send(f->client, NULL, &msg);
	expect_server(f, 1);
	second =
		transport_client_new(f->loop, f->address, "a1/1", on_client, f);
	transport_send(second, NULL, &msg);
	expect_server(f, 2);
	assert_int_equal(transport_send(f->server, "a1/1", &msg), 0);
	f->wanted_count = 1;
	assert_true(loop_wait(f->loop, client_received_wanted, f));
	transport_delete(second);
}

/* Guards against use after free when a callback deletes its transport. */
static void test_delete_in_callback(void **state)
{
	struct fixture *f = *state;
	struct message msg = cancel_message(1);

	f->delete_in_callback = 1;
	transport_send(f->client, NULL, &msg);
	transport_send(f->client, NULL, &msg);
	expect_server(f, 1);
	assert_null(f->server);
}

static void test_invalid_address(void **state)
{
	struct fixture *f = *state;

	assert_null(transport_server_new(f->loop, "nowhere", on_server, f));
	assert_null(transport_server_new(f->loop, f->address, on_server, f));
	assert_null(
		transport_client_new(f->loop, "1.2.3.4:x", "a", on_client, f));
	assert_null(
		transport_client_new(f->loop, f->address, "", on_client, f));
}

#define CASE(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_send_both_ways),
		CASE(test_timers_are_not_starved),
		CASE(test_full_queue),
		CASE(test_invalid_frames),
		CASE(test_huge_frame),
		CASE(test_reconnect),
		CASE(test_routing_id_handover),
		CASE(test_delete_in_callback),
		CASE(test_invalid_address),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
