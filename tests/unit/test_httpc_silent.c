/* Connections that give nothing any more, without a reset. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include "errors.h"
#include "httpc.h"
#include "support.h"

#define CONNECTIONS_MAX 24
#define TIMEOUT_MS 60
#define RESPONSE "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

struct fixture;

/* A connection at the server. */
struct peer {
	struct fixture *fixture;
	struct bufferevent *bev;
	int is_silent;
};

struct fixture {
	struct loop *loop;
	struct evconnlistener *listener;
	struct httpc_pool *pool;
	struct peer peers[4 * CONNECTIONS_MAX];
	int peer_count;
	int waits; /* flag: requests are not answered yet */
	int started, answered, failed;
};

static void answer(struct peer *peer)
{
	struct evbuffer *in = bufferevent_get_input(peer->bev);

	if (!evbuffer_get_length(in) || peer->is_silent || peer->fixture->waits)
		return;
	evbuffer_drain(in, evbuffer_get_length(in));
	bufferevent_write(peer->bev, RESPONSE, strlen(RESPONSE));
}

static void on_input(struct bufferevent *bev, void *arg)
{
	answer(arg);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *sa, int len, void *arg)
{
	struct fixture *f = arg;
	struct peer *peer = &f->peers[f->peer_count++];

	peer->fixture = f;
	peer->bev = bufferevent_socket_new(loop_base(f->loop), fd,
					   BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(peer->bev, on_input, NULL, NULL, peer);
	bufferevent_enable(peer->bev, EV_READ);
}

static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct sockaddr_in sin = { .sin_family = AF_INET };
	char address[64];

	f->loop = loop_new();
	free_address(address, sizeof(address));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons((uint16_t)atoi(strchr(address, ':') + 1));
	f->listener = evconnlistener_new_bind(
		loop_base(f->loop), on_accept, f,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
		(struct sockaddr *)&sin, sizeof(sin));
	f->pool = httpc_pool_new(f->loop, address, CONNECTIONS_MAX);
	*state = f;
	return !f->listener || !f->pool;
}

static int teardown(void **state)
{
	struct fixture *f = *state;
	int i;

	httpc_pool_delete(f->pool);
	for (i = 0; i < f->peer_count; i++)
		bufferevent_free(f->peers[i].bev);
	evconnlistener_free(f->listener);
	loop_delete(f->loop);
	free(f);
	return 0;
}

static void on_end(void *arg, int err, int status)
{
	struct fixture *f = arg;

	if (err)
		f->failed++;
	else
		f->answered++;
}

static int all_ended(void *arg)
{
	struct fixture *f = arg;

	return f->answered + f->failed == f->started;
}

static int all_accepted(void *arg)
{
	struct fixture *f = arg;

	return f->peer_count >= f->started;
}

static struct httpc_call *start_call(struct fixture *f, int64_t timeout_ms)
{
	static const struct httpc_handlers handlers = { .on_end = on_end };
	const struct httpc_request request = { .method = "GET",
					       .path = "/",
					       .timeout_ms = timeout_ms };

	f->started++;
	return httpc_start(f->pool, &request, &handlers, f);
}

static void call_once(struct fixture *f)
{
	f->started = f->answered = f->failed = 0;
	start_call(f, TIMEOUT_MS);
	assert_true(loop_wait(f->loop, all_ended, f));
}

/* Leaves so many idle connections in the pool. */
static void open_connections(struct fixture *f, int count)
{
	int i;

	f->started = f->answered = f->failed = 0;
	f->waits = 1;
	for (i = 0; i < count; i++)
		start_call(f, WAIT_MS);
	assert_true(loop_wait(f->loop, all_accepted, f));
	loop_wait_ms(f->loop, all_ended, f, 50);
	f->waits = 0;
	for (i = 0; i < f->peer_count; i++)
		answer(&f->peers[i]);
	assert_true(loop_wait(f->loop, all_ended, f));
	assert_int_equal(f->answered, count);
}

/*
 * Guards against going through all idle connections, one time-out each, after
 * they have become silent at the same time.
 */
static void test_one_timeout_for_all(void **state)
{
	static const int counts[] = { 1, 2, 8, CONNECTIONS_MAX };
	struct fixture *f;
	size_t i;
	int k;

	for (i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		assert_int_equal(setup(state), 0);
		f = *state;
		open_connections(f, counts[i]);
		for (k = 0; k < f->peer_count; k++)
			f->peers[k].is_silent = 1;
		call_once(f);
		assert_int_equal(f->failed, 1);
		call_once(f);
		assert_int_equal(f->answered, 1);
		teardown(state);
	}
}

/* Guards against giving up connections that have answered since. */
static void test_sound_connections_stay(void **state)
{
	struct fixture *f;

	assert_int_equal(setup(state), 0);
	f = *state;
	open_connections(f, 2);
	/* The connection that is used first, as it was used last. */
	f->peers[1].is_silent = 1;
	f->peers[0].is_silent = 1;
	f->started = f->answered = f->failed = 0;
	start_call(f, TIMEOUT_MS);
	start_call(f, TIMEOUT_MS);
	start_call(f, TIMEOUT_MS);
	assert_true(loop_wait(f->loop, all_ended, f));
	assert_int_equal(f->failed, 2);
	assert_int_equal(f->peer_count, 3);
	call_once(f);
	assert_int_equal(f->answered, 1);
	assert_int_equal(f->peer_count, 3);
	teardown(state);
}

/* Guards against the same with calls that their caller gives up. */
static void test_cancelled_calls(void **state)
{
	struct httpc_call *call;
	struct fixture *f;
	int k;

	assert_int_equal(setup(state), 0);
	f = *state;
	open_connections(f, 4);
	for (k = 0; k < f->peer_count; k++)
		f->peers[k].is_silent = 1;
	f->started = f->answered = f->failed = 0;
	call = start_call(f, WAIT_MS);
	loop_wait_ms(f->loop, all_ended, f, 1200);
	httpc_cancel(call);
	call_once(f);
	assert_int_equal(f->answered, 1);
	teardown(state);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_timeout_for_all),
		cmocka_unit_test(test_sound_connections_stay),
		cmocka_unit_test(test_cancelled_calls),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
