#include "msglink.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "support.h"

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))

struct fixture {
	struct loop *loop;
	char address[ID_SIZE];
	struct msglink_server *server;
	struct msglink_client *client;
	int raw_fd;		  /* peer that sends invalid frames */
	struct loop_timer *timer; /* started by the first message */
	int server_received, client_received, received_at_timer;
	int delete_server, delete_client; /* in the callback */
	char last_peer[256];
	uint64_t last_request;
	int wanted_count;
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
	if (f->delete_server) {
		msglink_server_delete(f->server);
		f->server = NULL;
	}
}

static void on_client(void *arg, const char *peer, const struct message *msg)
{
	struct fixture *f = arg;

	f->client_received++;
	f->last_request = msg->u.cancel.request_id;
	if (f->delete_client) {
		msglink_client_delete(f->client);
		f->client = NULL;
	}
}

static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));

	f->loop = loop_new();
	f->raw_fd = -1;
	free_address(f->address, sizeof(f->address));
	f->server = msglink_server_new(f->loop, f->address, on_server, f);
	assert_non_null(f->server);
	f->client =
		msglink_client_new(f->loop, f->address, "s1/1", on_client, f);
	assert_non_null(f->client);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	if (f->raw_fd >= 0)
		close(f->raw_fd);
	msglink_client_delete(f->client);
	msglink_server_delete(f->server);
	loop_delete(f->loop);
	free(f);
	return 0;
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

static void expect_server(struct fixture *f, int count)
{
	f->wanted_count = count;
	assert_true(loop_wait(f->loop, server_received_wanted, f));
}

static void expect_client(struct fixture *f, int count)
{
	f->wanted_count = count;
	assert_true(loop_wait(f->loop, client_received_wanted, f));
}

/* Guards against a message that stays unread or goes to another peer. */
static void test_send_both_ways(void **state)
{
	struct fixture *f = *state;
	struct message msg = cancel_message(7);
	int round;

	for (round = 1; round <= 50; round++) {
		assert_int_equal(msglink_client_send(f->client, &msg), 0);
		expect_server(f, round);
		assert_string_equal(f->last_peer, "s1/1");
		assert_int_equal(msglink_server_send(f->server, "s1/1", &msg),
				 0);
		expect_client(f, round);
	}
	assert_int_equal(msglink_server_send(f->server, "s2/1", &msg),
			 ERR_UNAVAILABLE);
	assert_int_equal(msglink_server_send(f->server, "", &msg),
			 ERR_UNAVAILABLE);
}

static void on_timer(void *arg)
{
	struct fixture *f = arg;

	f->received_at_timer = f->server_received;
}

/* Guards against a long receive queue that keeps timers from firing. */
static void test_timers_are_not_starved(void **state)
{
	enum {
		MESSAGES = 10000
	};
	struct fixture *f = *state;
	struct message msg = cancel_message(1);
	int i;

	f->timer = loop_timer_new(f->loop, on_timer, f);
	for (i = 0; i < MESSAGES; i++)
		assert_int_equal(msglink_client_send(f->client, &msg), 0);
	expect_server(f, MESSAGES);
	assert_in_range(f->received_at_timer, 1, MESSAGES - 1);
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

/* Sends, while the receiver does not read, until a message is refused. */
static int fill_server_queue(struct fixture *f)
{
	static unsigned char data[BODY_CHUNK_MAX_BYTES];
	struct message msg = body_message(data);
	int accepted = 0, err;

	while (!(err = msglink_server_send(f->server, "s1/1", &msg)))
		assert_true(++accepted < 10000);
	assert_int_equal(err, ERR_FULL);
	return accepted;
}

static int fill_client_queue(struct fixture *f)
{
	static unsigned char data[BODY_CHUNK_MAX_BYTES];
	struct message msg = body_message(data);
	int accepted = 0, err;

	while (!(err = msglink_client_send(f->client, &msg)))
		assert_true(++accepted < 10000);
	assert_int_equal(err, ERR_FULL);
	return accepted;
}

/* Guards against a send that blocks, and loss of accepted messages. */
static void test_full_queue(void **state)
{
	struct fixture *f = *state;
	struct message first = cancel_message(1);
	int accepted;

	msglink_client_send(f->client, &first);
	expect_server(f, 1);
	accepted = fill_server_queue(f);
	expect_client(f, accepted);
	accepted = fill_client_queue(f);
	expect_server(f, accepted + 1);
	assert_int_equal(f->server_received, accepted + 1);
}

static void connect_raw(struct fixture *f)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };

	sin.sin_port = htons((uint16_t)atoi(strchr(f->address, ':') + 1));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	f->raw_fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(
		connect(f->raw_fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
}

static void send_raw(struct fixture *f, const void *data, size_t len)
{
	assert_int_equal(send(f->raw_fd, data, len, MSG_NOSIGNAL), len);
}

static void send_raw_frame(struct fixture *f, const void *data, size_t len)
{
	uint32_t header = htonl((uint32_t)len);

	send_raw(f, &header, sizeof(header));
	send_raw(f, data, len);
}

static int raw_is_closed(void *arg)
{
	struct fixture *f = arg;
	char c;

	return recv(f->raw_fd, &c, 1, MSG_DONTWAIT) == 0;
}

/*
 * Guards against invalid frames that reach the callback, end the process or
 * affect other peers.
 */
static void test_invalid_frames(void **state)
{
	static const char valid_frame[] = "\x93\x03\x06\x91\x05";
	static const struct {
		const char *id;
		const char *data;
		size_t len;
		int is_received;
	} cases[] = {
		{ "x", "", 0, 0 },
		{ "x", "garbage", 7, 0 },
		{ "x", "\x93\x03\x63\x91\x01", 5, 0 },
		{ "bad id", valid_frame, 5, 0 },
		{ "", valid_frame, 5, 0 },
		{ "x", valid_frame, 5, 1 },
	};
	struct fixture *f = *state;
	struct message msg = cancel_message(9);
	int received = 0;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		connect_raw(f);
		send_raw_frame(f, cases[i].id, strlen(cases[i].id));
		send_raw_frame(f, cases[i].data, cases[i].len);
		if (cases[i].is_received) {
			expect_server(f, ++received);
			assert_int_equal(f->last_request, 5);
			assert_string_equal(f->last_peer, "x");
		}
		msglink_client_send(f->client, &msg);
		expect_server(f, ++received);
		assert_int_equal(f->last_request, 9);
		close(f->raw_fd);
		f->raw_fd = -1;
	}
	assert_int_equal(f->server_received, received);
}

/* Guards against a frame whose claimed length uses memory. */
static void test_huge_frame(void **state)
{
	struct fixture *f = *state;
	uint32_t header = htonl(0xfffffff0u);

	connect_raw(f);
	send_raw_frame(f, "x", 1);
	send_raw(f, &header, sizeof(header));
	assert_true(loop_wait(f->loop, raw_is_closed, f));
}

/* Guards against frames that are lost or mixed up where reads end in them. */
static void test_split_frames(void **state)
{
	static const char frames[] = "\0\0\0\1x"
				     "\0\0\0\5\x93\x03\x06\x91\x05"
				     "\0\0\0\5\x93\x03\x06\x91\x06";
	struct fixture *f = *state;
	size_t i;

	connect_raw(f);
	for (i = 0; i < sizeof(frames) - 1; i++) {
		send_raw(f, frames + i, 1);
		f->wanted_count = 100;
		loop_wait_ms(f->loop, server_received_wanted, f, 10);
	}
	expect_server(f, 2);
	assert_int_equal(f->last_request, 6);
	assert_int_equal(f->server_received, 2);
}

/* Guards against a client that does not reconnect to a restarted server. */
static void test_reconnect(void **state)
{
	struct fixture *f = *state;
	struct message msg = cancel_message(1);

	msglink_client_send(f->client, &msg);
	expect_server(f, 1);
	msglink_server_delete(f->server);
	f->wanted_count = 2;
	loop_wait_ms(f->loop, server_received_wanted, f, 300);
	f->server = msglink_server_new(f->loop, f->address, on_server, f);
	assert_non_null(f->server);
	/* Messages are refused or lost until the connection is there. */
	while (f->server_received < 2) {
		msglink_client_send(f->client, &msg);
		f->wanted_count = 2;
		loop_wait_ms(f->loop, server_received_wanted, f, 50);
	}
	assert_string_equal(f->last_peer, "s1/1");
	msglink_client_restart(f->client);
	assert_int_equal(msglink_client_send(f->client, &msg), 0);
	expect_server(f, f->server_received + 1);
	assert_int_equal(msglink_server_send(f->server, "s1/1", &msg), 0);
	expect_client(f, 1);
}

/* Guards against a restarted client whose former connection gets messages. */
static void test_same_id(void **state)
{
	struct fixture *f = *state, second = { 0 };
	struct message msg = cancel_message(1);

	msglink_client_send(f->client, &msg);
	expect_server(f, 1);
	second.loop = f->loop;
	second.client = msglink_client_new(f->loop, f->address, "s1/1",
					   on_client, &second);
	msglink_client_send(second.client, &msg);
	expect_server(f, 2);
	assert_int_equal(msglink_server_send(f->server, "s1/1", &msg), 0);
	second.wanted_count = 1;
	assert_true(loop_wait(f->loop, client_received_wanted, &second));
	assert_int_equal(f->client_received, 0);
	msglink_client_delete(second.client);
}

/* Guards against use after free when a callback deletes its link. */
static void test_delete_in_callback(void **state)
{
	struct fixture *f = *state;
	struct message msg = cancel_message(1);

	msglink_client_send(f->client, &msg);
	expect_server(f, 1);
	f->delete_client = 1;
	msglink_server_send(f->server, "s1/1", &msg);
	msglink_server_send(f->server, "s1/1", &msg);
	expect_client(f, 1);
	assert_null(f->client);
	f->client =
		msglink_client_new(f->loop, f->address, "s1/2", on_client, f);
	f->delete_server = 1;
	msglink_client_send(f->client, &msg);
	msglink_client_send(f->client, &msg);
	expect_server(f, 2);
	assert_null(f->server);
}

static void test_invalid_address(void **state)
{
	static const char *const addresses[] = {
		"nowhere",     "1.2.3.4:x",	"1.2.3.4",
		"1.2.3.4:0",   "1.2.3.4:65536", "1.2.3.4:99999999999999999999",
		"1.2.3.4:-80", "[::1]:80",	"",
	};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < COUNT(addresses); i++) {
		assert_null(msglink_server_new(f->loop, addresses[i], on_server,
					       f));
		assert_null(msglink_client_new(f->loop, addresses[i], "s",
					       on_client, f));
	}
	assert_null(msglink_server_new(f->loop, f->address, on_server, f));
	assert_null(msglink_client_new(f->loop, f->address, "", on_client, f));
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
		CASE(test_split_frames),
		CASE(test_reconnect),
		CASE(test_same_id),
		CASE(test_delete_in_callback),
		CASE(test_invalid_address),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
