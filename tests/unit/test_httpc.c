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
#include "mem.h"
#include "support.h"

#define LARGE (16 * 1024 * 1024)

enum action {
	KEEP,  /* keep the connection open after the answer */
	CLOSE, /* close after the answer */
	EARLY, /* answer and close before the body of the request */
};

struct fixture {
	struct loop *loop;
	char address[ID_SIZE];
	struct evconnlistener *listener;
	struct bufferevent *last; /* newest connection of the server */
	struct httpc_pool *pool;
	const char *answer;
	size_t answer_len;
	enum action action;
	int accepted;
	size_t request_len;
	char request[1024]; /* start of the newest request */
	struct httpc_call *call;
	int heads, ends, wanted_ends, err, status;
	size_t head_count;
	size_t body_len;
	char body[64]; /* start of the answer's body */
	int cancel_in_head, cancel_in_data, pause_in_head;
};

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct fixture *f = arg;

	if (f->last == bev)
		f->last = NULL;
	bufferevent_free(bev);
}

static void on_flushed(struct bufferevent *bev, void *arg)
{
	struct fixture *f = arg;

	if (f->action != KEEP)
		on_event(bev, 0, f);
}

static void on_request(struct bufferevent *bev, void *arg);

static void answer(struct fixture *f, struct bufferevent *bev)
{
	if (!f->answer_len && f->action != KEEP) {
		on_event(bev, 0, f);
		return;
	}
	bufferevent_write(bev, f->answer, f->answer_len);
	bufferevent_setcb(bev, on_request, on_flushed, on_event, f);
}

static void on_request(struct bufferevent *bev, void *arg)
{
	struct fixture *f = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
	const char *length;
	size_t want;

	if (end.pos < 0)
		return;
	memset(f->request, 0, sizeof(f->request));
	evbuffer_copyout(in, f->request, sizeof(f->request) - 1);
	length = strstr(f->request, "Content-Length: ");
	want = (size_t)end.pos + 4 + (length ? strtoul(length + 16, 0, 10) : 0);
	if (f->action != EARLY && evbuffer_get_length(in) < want)
		return;
	f->request_len = evbuffer_get_length(in);
	evbuffer_drain(in, f->request_len);
	answer(f, bev);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *sa, int len, void *arg)
{
	struct fixture *f = arg;

	f->accepted++;
	f->last = bufferevent_socket_new(loop_base(f->loop), fd,
					 BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(f->last, on_request, NULL, on_event, f);
	bufferevent_enable(f->last, EV_READ);
}

static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct sockaddr_in sin = { .sin_family = AF_INET };

	f->loop = loop_new();
	free_address(f->address, sizeof(f->address));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons((uint16_t)atoi(strchr(f->address, ':') + 1));
	f->listener = evconnlistener_new_bind(
		loop_base(f->loop), on_accept, f,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
		(struct sockaddr *)&sin, sizeof(sin));
	assert_non_null(f->listener);
	f->pool = httpc_pool_new(f->loop, f->address, 2);
	assert_non_null(f->pool);
	f->wanted_ends = 1;
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	httpc_pool_delete(f->pool);
	if (f->last)
		bufferevent_free(f->last);
	if (f->listener)
		evconnlistener_free(f->listener);
	loop_delete(f->loop);
	free(f);
	return 0;
}

static void on_head(void *arg, int status, const struct header_list *headers)
{
	struct fixture *f = arg;

	f->heads++;
	f->head_count = headers->count;
	if (f->cancel_in_head)
		httpc_cancel(f->call);
	if (f->pause_in_head)
		httpc_pause(f->call);
}

static void on_data(void *arg, const void *data, size_t len)
{
	struct fixture *f = arg;

	if (f->body_len + len < sizeof(f->body))
		memcpy(f->body + f->body_len, data, len);
	f->body_len += len;
	if (f->cancel_in_data)
		httpc_cancel(f->call);
}

static void on_end(void *arg, int err, int status)
{
	struct fixture *f = arg;

	f->ends++;
	f->err = err;
	f->status = status;
	f->call = NULL;
}

static const struct httpc_handlers handlers = { on_head, on_data, on_end };

static int has_ended(void *arg)
{
	struct fixture *f = arg;

	return f->ends >= f->wanted_ends;
}

static void start(struct fixture *f, const struct httpc_request *request)
{
	f->ends = f->heads = 0;
	f->body_len = 0;
	memset(f->body, 0, sizeof(f->body));
	f->call = httpc_start(f->pool, request, &handlers, f);
	assert_non_null(f->call);
	assert_int_equal(f->ends, 0);
}

static void run(struct fixture *f, const struct httpc_request *request)
{
	start(f, request);
	assert_true(loop_wait(f->loop, has_ended, f));
	/* A second end would come in one of the next turns. */
	f->wanted_ends = 2;
	loop_wait_ms(f->loop, has_ended, f, 5);
	f->wanted_ends = 1;
	assert_int_equal(f->ends, 1);
}

#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"

/* Guards against cut answers that look whole, and wrong outcomes. */
static void test_answers(void **state)
{
	static const struct {
		const char *name;
		const char *answer;
		enum action action;
		int err, status;
		const char *body;
		const char *method;
		size_t max_answer;
		int64_t timeout_ms;
	} cases[] = {
		{ "whole", OK "Content-Length: 5\r\n\r\nhello", KEEP, 0, 200,
		  "hello" },
		{ "empty", OK "Content-Length: 0\r\n\r\n", KEEP, 0, 200, "" },
		{ "closing",
		  OK "Connection: close\r\nContent-Length: 2\r\n"
		     "\r\nhi",
		  CLOSE, 0, 200, "hi" },
		{ "error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", KEEP,
		  0, 500, "" },
		{ "chunked", CHUNKED "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n", KEEP,
		  0, 200, "hello" },
		{ "head", OK "Content-Length: 5\r\n\r\n", KEEP, 0, 200, "",
		  "HEAD" },
		{ "no content", "HTTP/1.1 204 No Content\r\n\r\n", KEEP, 0, 204,
		  "" },
		{ "continue",
		  "HTTP/1.1 100 Continue\r\n\r\n" OK
		  "Content-Length: 2\r\n\r\nhi",
		  KEEP, 0, 200, "hi" },
		{ "cut", OK "Content-Length: 5\r\n\r\nhel", CLOSE, ERR_UNKNOWN,
		  0, "hel" },
		{ "cut chunk", CHUNKED "5\r\nhel", CLOSE, ERR_UNKNOWN, 0, "" },
		{ "no last chunk", CHUNKED "2\r\nhe\r\n", CLOSE, ERR_UNKNOWN, 0,
		  "he" },
		{ "cut last chunk", CHUNKED "2\r\nhe\r\n0\r\n", CLOSE,
		  ERR_UNKNOWN, 0, "he" },
		{ "bad chunk", CHUNKED "xyz\r\nhe\r\n", KEEP, ERR_UNKNOWN, 0,
		  "" },
		{ "no length", OK "\r\nhello", CLOSE, ERR_UNKNOWN, 200,
		  "hello" },
		{ "cut head", OK "Content-Le", CLOSE, ERR_UNKNOWN, 0, "" },
		{ "nothing", "", CLOSE, ERR_UNKNOWN, 0, "" },
		{ "garbage", "garbage\r\n\r\n", KEEP, ERR_UNKNOWN, 0, "" },
		{ "silent", "", KEEP, ERR_TIMEOUT, 0, "", "GET", 0, 50 },
		{ "slow", OK "Content-Length: 5\r\n\r\nhel", KEEP, ERR_TIMEOUT,
		  0, "hel", "GET", 0, 200 },
		{ "large", OK "Content-Length: 5\r\n\r\nhello", KEEP,
		  ERR_TOO_LARGE, 0, "", "GET", 4 },
		{ "large chunks", CHUNKED "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
		  KEEP, ERR_TOO_LARGE, 0, "he", "GET", 4 },
	};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct httpc_request request = {
			.method = cases[i].method ? cases[i].method : "GET",
			.path = "/a?b=c",
			.timeout_ms = cases[i].timeout_ms,
			.max_response_bytes = cases[i].max_answer,
		};

		f->answer = cases[i].answer;
		f->answer_len = strlen(f->answer);
		f->action = cases[i].action;
		run(f, &request);
		if (f->err != cases[i].err || f->status != cases[i].status ||
		    strcmp(f->body, cases[i].body))
			fail_msg("%s: %s, %d, \"%s\"", cases[i].name,
				 error_name(f->err), f->status, f->body);
	}
}

/* Guards against buffering and length errors at the limit of a body. */
static void test_large_bodies(void **state)
{
	struct fixture *f = *state;
	char *body = calloc(1, LARGE);
	char *text = xstrfmt(OK "Content-Length: %d\r\n\r\n", LARGE);
	size_t head = strlen(text);
	char *whole = malloc(head + LARGE);
	struct httpc_request request = { .method = "POST",
					 .path = "/",
					 .body = body,
					 .body_len = LARGE,
					 .max_response_bytes = LARGE };

	memcpy(whole, text, head);
	memset(whole + head, 'x', LARGE);
	f->answer = whole;
	f->answer_len = head + LARGE;
	run(f, &request);
	assert_int_equal(f->err, 0);
	assert_int_equal(f->body_len, LARGE);
	assert_true(f->request_len > LARGE);
	free(whole);
	free(text);
	free(body);
}

/* Guards against a call that hangs when the server closes before the body. */
static void test_early_answer(void **state)
{
	struct fixture *f = *state;
	char *body = calloc(1, LARGE);
	struct httpc_request request = {
		.method = "PUT", .path = "/", .body = body, .body_len = LARGE
	};

	f->answer = "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n";
	f->answer_len = strlen(f->answer);
	f->action = EARLY;
	run(f, &request);
	assert_int_equal(f->err, ERR_UNKNOWN);
	free(body);
}

static void set_answer(struct fixture *f, const char *text)
{
	f->answer = text;
	f->answer_len = strlen(text);
}

static const struct httpc_request get = { .method = "GET", .path = "/" };

/* Guards against a new connection for each call, and use of closed ones. */
static void test_reuse(void **state)
{
	struct fixture *f = *state;

	set_answer(f, OK "Content-Length: 2\r\n\r\nhi");
	run(f, &get);
	run(f, &get);
	assert_int_equal(f->accepted, 1);
	/* Closed while idle, and the client's loop has had no turn since. */
	shutdown(bufferevent_getfd(f->last), SHUT_RDWR);
	run(f, &get);
	assert_int_equal(f->err, 0);
	assert_int_equal(f->accepted, 2);
	/* Closed while idle, and seen by the loop. */
	shutdown(bufferevent_getfd(f->last), SHUT_RDWR);
	loop_wait_ms(f->loop, has_ended, f, 0);
	run(f, &get);
	assert_int_equal(f->err, 0);
	assert_int_equal(f->accepted, 3);
}

/* Guards against leftover bytes that pass as the next call's answer. */
static void test_extra_bytes(void **state)
{
	struct fixture *f = *state;

	set_answer(f, OK "Content-Length: 2\r\n\r\nhi" OK
			 "Content-Length: 4\r\n\r\nevil");
	run(f, &get);
	run(f, &get);
	assert_string_equal(f->body, "hi");
	assert_int_equal(f->accepted, 2);
}

static void test_headers(void **state)
{
	struct http_header items[] = { { "X-One", "1" },
				       { "Content-Length", "99" },
				       { "Transfer-Encoding", "chunked" } };
	struct http_header split[] = { { "X-One", "1\r\nX-Two: 2" } };
	struct header_list headers = { items, 3 };
	struct header_list bad = { split, 1 };
	struct httpc_request request = { .method = "POST",
					 .path = "/",
					 .headers = &headers,
					 .body = "abc",
					 .body_len = 3 };
	struct fixture *f = *state;

	set_answer(f, OK "X-A: 1\r\nX-B: 2\r\nContent-Length: 0\r\n\r\n");
	run(f, &request);
	assert_int_equal(f->head_count, 3);
	assert_non_null(strstr(f->request, "X-One: 1\r\n"));
	assert_non_null(strstr(f->request, "Content-Length: 3\r\n"));
	assert_null(strstr(f->request, "Transfer-Encoding"));
	assert_non_null(strstr(f->request, f->address));
	request.headers = &bad;
	assert_null(httpc_start(f->pool, &request, &handlers, f));
	request.headers = NULL;
	request.path = "/a b";
	assert_null(httpc_start(f->pool, &request, &handlers, f));
	request.path = "/";
	request.method = "BREW";
	assert_null(httpc_start(f->pool, &request, &handlers, f));
	assert_null(httpc_pool_new(f->loop, "localhost", 1));
	assert_null(httpc_pool_new(f->loop, "127.0.0.1:0", 1));
}

/* Guards against "unknown" where nothing was sent. */
static void test_refused(void **state)
{
	struct fixture *f = *state;

	evconnlistener_free(f->listener);
	f->listener = NULL;
	run(f, &get);
	assert_int_equal(f->err, ERR_UNAVAILABLE);
}

/* Guards against callbacks and memory errors after a cancellation. */
static void test_cancel(void **state)
{
	struct fixture *f = *state;

	set_answer(f, CHUNKED "2\r\nhe\r\n2\r\nhe\r\n0\r\n\r\n");
	f->cancel_in_head = 1;
	start(f, &get);
	loop_wait_ms(f->loop, has_ended, f, 50);
	f->cancel_in_head = 0;
	f->cancel_in_data = 1;
	start(f, &get);
	loop_wait_ms(f->loop, has_ended, f, 50);
	assert_in_range(f->body_len, 0, 2);
	f->cancel_in_data = 0;
	start(f, &get);
	httpc_cancel(f->call);
	assert_false(loop_wait_ms(f->loop, has_ended, f, 50));
	run(f, &get);
	assert_string_equal(f->body, "hehe");
	start(f, &get); /* left to httpc_pool_delete() */
}

/* Guards against a paused call that keeps reading into memory. */
static void test_pause(void **state)
{
	struct fixture *f = *state;
	char *text = xstrfmt(OK "Content-Length: %d\r\n\r\n", LARGE);
	size_t head = strlen(text);
	char *whole = calloc(1, head + LARGE);

	memcpy(whole, text, head);
	f->answer = whole;
	f->answer_len = head + LARGE;
	f->pause_in_head = 1;
	start(f, &get);
	assert_false(loop_wait_ms(f->loop, has_ended, f, 100));
	assert_in_range(f->body_len, 0, 64 * 1024);
	httpc_resume(f->call);
	assert_true(loop_wait(f->loop, has_ended, f));
	assert_int_equal(f->err, 0);
	assert_int_equal(f->body_len, LARGE);
	free(whole);
	free(text);
}

#define CASE(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_answers),	 CASE(test_large_bodies),
		CASE(test_early_answer), CASE(test_reuse),
		CASE(test_extra_bytes),	 CASE(test_headers),
		CASE(test_refused),	 CASE(test_cancel),
		CASE(test_pause),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
