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

#define LARGE_BODY_BYTES (16 * 1024 * 1024)

enum action {
	KEEP_OPEN,	      /* keep the connection open after the response */
	CLOSE_AFTER_RESPONSE, /* close after the response */
	RESPOND_EARLY, /* respond and close before the request body is read */
};

struct fixture {
	struct loop *loop;
	char address[ID_SIZE];
	struct evconnlistener *listener;
	struct bufferevent *connection; /* newest one accepted */
	struct httpc_pool *pool;
	const char *response;
	size_t response_len;
	enum action action;
	int accept_count;
	size_t request_len;
	char request[1024]; /* start of the newest request */
	struct httpc_call *call;
	int head_callbacks, completions, wanted_completions, err, status;
	size_t header_count;
	size_t body_len;
	char body[64]; /* start of the response body */
	int cancel_in_head, cancel_in_data, pause_in_head;
};

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct fixture *f = arg;

	if (f->connection == bev)
		f->connection = NULL;
	bufferevent_free(bev);
}

static void on_flushed(struct bufferevent *bev, void *arg)
{
	struct fixture *f = arg;

	if (f->action != KEEP_OPEN)
		on_event(bev, 0, f);
}

static void on_request(struct bufferevent *bev, void *arg);

static void send_response(struct fixture *f, struct bufferevent *bev)
{
	if (!f->response_len && f->action != KEEP_OPEN) {
		on_event(bev, 0, f);
		return;
	}
	bufferevent_write(bev, f->response, f->response_len);
	bufferevent_setcb(bev, on_request, on_flushed, on_event, f);
}

static void on_request(struct bufferevent *bev, void *arg)
{
	struct fixture *f = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	struct evbuffer_ptr head_end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
	const char *content_length;
	size_t request_size;

	if (head_end.pos < 0)
		return;
	memset(f->request, 0, sizeof(f->request));
	evbuffer_copyout(in, f->request, sizeof(f->request) - 1);
	content_length = strstr(f->request, "Content-Length: ");
	request_size =
		(size_t)head_end.pos + 4 +
		(content_length ? strtoul(content_length + 16, 0, 10) : 0);
	if (f->action != RESPOND_EARLY &&
	    evbuffer_get_length(in) < request_size)
		return;
	f->request_len = evbuffer_get_length(in);
	evbuffer_drain(in, f->request_len);
	send_response(f, bev);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *sa, int len, void *arg)
{
	struct fixture *f = arg;

	f->accept_count++;
	f->connection = bufferevent_socket_new(loop_base(f->loop), fd,
					       BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(f->connection, on_request, NULL, on_event, f);
	bufferevent_enable(f->connection, EV_READ);
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
	f->wanted_completions = 1;
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	httpc_pool_delete(f->pool);
	if (f->connection)
		bufferevent_free(f->connection);
	if (f->listener)
		evconnlistener_free(f->listener);
	loop_delete(f->loop);
	free(f);
	return 0;
}

static void on_head(void *arg, int status, const struct header_list *headers)
{
	struct fixture *f = arg;

	f->head_callbacks++;
	f->header_count = headers->count;
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

	f->completions++;
	f->err = err;
	f->status = status;
	f->call = NULL;
}

static const struct httpc_handlers handlers = { on_head, on_data, on_end };

static int has_completed(void *arg)
{
	struct fixture *f = arg;

	return f->completions >= f->wanted_completions;
}

static void start(struct fixture *f, const struct httpc_request *request)
{
	f->completions = f->head_callbacks = 0;
	f->body_len = 0;
	memset(f->body, 0, sizeof(f->body));
	f->call = httpc_start(f->pool, request, &handlers, f);
	assert_non_null(f->call);
	assert_int_equal(f->completions, 0);
}

static void run(struct fixture *f, const struct httpc_request *request)
{
	start(f, request);
	assert_true(loop_wait(f->loop, has_completed, f));
	/* A second on_end() would come in one of the next loop iterations. */
	f->wanted_completions = 2;
	loop_wait_ms(f->loop, has_completed, f, 5);
	f->wanted_completions = 1;
	assert_int_equal(f->completions, 1);
}

#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"

/*
 * Guards against truncated responses that are reported as complete, and wrong
 * outcomes of malformed, slow and oversized ones.
 */
static void test_responses(void **state)
{
	static const struct {
		const char *name;
		const char *response;
		enum action action;
		int err, status;
		const char *body;
		const char *method;
		size_t max_response_bytes;
		int64_t timeout_ms;
	} cases[] = {
		{ "complete", OK "Content-Length: 5\r\n\r\nhello", KEEP_OPEN, 0,
		  200, "hello" },
		{ "empty", OK "Content-Length: 0\r\n\r\n", KEEP_OPEN, 0, 200,
		  "" },
		{ "connection close",
		  OK "Connection: close\r\nContent-Length: 2\r\n"
		     "\r\nhi",
		  CLOSE_AFTER_RESPONSE, 0, 200, "hi" },
		{ "error status",
		  "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", KEEP_OPEN, 0,
		  500, "" },
		{ "chunked", CHUNKED "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
		  KEEP_OPEN, 0, 200, "hello" },
		{ "response to HEAD", OK "Content-Length: 5\r\n\r\n", KEEP_OPEN,
		  0, 200, "", "HEAD" },
		{ "no content", "HTTP/1.1 204 No Content\r\n\r\n", KEEP_OPEN, 0,
		  204, "" },
		{ "continue",
		  "HTTP/1.1 100 Continue\r\n\r\n" OK
		  "Content-Length: 2\r\n\r\nhi",
		  KEEP_OPEN, 0, 200, "hi" },
		{ "truncated body", OK "Content-Length: 5\r\n\r\nhel",
		  CLOSE_AFTER_RESPONSE, ERR_UNKNOWN, 0, "hel" },
		{ "truncated chunk", CHUNKED "5\r\nhel", CLOSE_AFTER_RESPONSE,
		  ERR_UNKNOWN, 0, "" },
		{ "no last chunk", CHUNKED "2\r\nhe\r\n", CLOSE_AFTER_RESPONSE,
		  ERR_UNKNOWN, 0, "he" },
		{ "truncated last chunk", CHUNKED "2\r\nhe\r\n0\r\n",
		  CLOSE_AFTER_RESPONSE, ERR_UNKNOWN, 0, "he" },
		{ "malformed chunk size", CHUNKED "xyz\r\nhe\r\n", KEEP_OPEN,
		  ERR_UNKNOWN, 0, "" },
		{ "no length", OK "\r\nhello", CLOSE_AFTER_RESPONSE,
		  ERR_UNKNOWN, 200, "hello" },
		{ "truncated head", OK "Content-Le", CLOSE_AFTER_RESPONSE,
		  ERR_UNKNOWN, 0, "" },
		{ "closed without a response", "", CLOSE_AFTER_RESPONSE,
		  ERR_UNKNOWN, 0, "" },
		{ "garbage", "garbage\r\n\r\n", KEEP_OPEN, ERR_UNKNOWN, 0, "" },
		{ "no response", "", KEEP_OPEN, ERR_TIMEOUT, 0, "", "GET", 0,
		  50 },
		{ "stalled body", OK "Content-Length: 5\r\n\r\nhel", KEEP_OPEN,
		  ERR_TIMEOUT, 0, "hel", "GET", 0, 200 },
		{ "body over the limit", OK "Content-Length: 5\r\n\r\nhello",
		  KEEP_OPEN, ERR_TOO_LARGE, 0, "", "GET", 4 },
		{ "chunks over the limit",
		  CHUNKED "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n", KEEP_OPEN,
		  ERR_TOO_LARGE, 0, "he", "GET", 4 },
	};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct httpc_request request = {
			.method = cases[i].method ? cases[i].method : "GET",
			.path = "/a?b=c",
			.timeout_ms = cases[i].timeout_ms,
			.max_response_bytes = cases[i].max_response_bytes,
		};

		f->response = cases[i].response;
		f->response_len = strlen(f->response);
		f->action = cases[i].action;
		run(f, &request);
		if (f->err != cases[i].err || f->status != cases[i].status ||
		    strcmp(f->body, cases[i].body))
			fail_msg("%s: %s, %d, \"%s\"", cases[i].name,
				 error_name(f->err), f->status, f->body);
	}
}

/*
 * Guards against buffering and length errors with large bodies; the response
 * has exactly max_response_bytes.
 */
static void test_large_bodies(void **state)
{
	struct fixture *f = *state;
	char *body = calloc(1, LARGE_BODY_BYTES);
	char *head = xstrfmt(OK "Content-Length: %d\r\n\r\n", LARGE_BODY_BYTES);
	size_t head_len = strlen(head);
	char *full_response = malloc(head_len + LARGE_BODY_BYTES);
	struct httpc_request request = { .method = "POST",
					 .path = "/",
					 .body = body,
					 .body_len = LARGE_BODY_BYTES,
					 .max_response_bytes =
						 LARGE_BODY_BYTES };

	memcpy(full_response, head, head_len);
	memset(full_response + head_len, 'x', LARGE_BODY_BYTES);
	f->response = full_response;
	f->response_len = head_len + LARGE_BODY_BYTES;
	run(f, &request);
	assert_int_equal(f->err, 0);
	assert_int_equal(f->body_len, LARGE_BODY_BYTES);
	assert_true(f->request_len > LARGE_BODY_BYTES);
	free(full_response);
	free(head);
	free(body);
}

/*
 * Guards against a call that hangs when the server responds and closes before
 * it has read the request body.
 */
static void test_early_response(void **state)
{
	struct fixture *f = *state;
	char *body = calloc(1, LARGE_BODY_BYTES);
	struct httpc_request request = { .method = "PUT",
					 .path = "/",
					 .body = body,
					 .body_len = LARGE_BODY_BYTES };

	f->response = "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n";
	f->response_len = strlen(f->response);
	f->action = RESPOND_EARLY;
	run(f, &request);
	assert_int_equal(f->err, ERR_UNKNOWN);
	free(body);
}

static void set_response(struct fixture *f, const char *text)
{
	f->response = text;
	f->response_len = strlen(text);
}

static const struct httpc_request get_request = { .method = "GET",
						  .path = "/" };

/*
 * Guards against a new connection for each call, and against reuse of an idle
 * connection that the server has closed.
 */
static void test_connection_reuse(void **state)
{
	struct fixture *f = *state;

	set_response(f, OK "Content-Length: 2\r\n\r\nhi");
	run(f, &get_request);
	run(f, &get_request);
	assert_int_equal(f->accept_count, 1);
	/* Closed while idle; the client's loop has not run since. */
	shutdown(bufferevent_getfd(f->connection), SHUT_RDWR);
	run(f, &get_request);
	assert_int_equal(f->err, 0);
	assert_int_equal(f->accept_count, 2);
	/* Closed while idle; the loop has processed the close. */
	shutdown(bufferevent_getfd(f->connection), SHUT_RDWR);
	loop_wait_ms(f->loop, has_completed, f, 0);
	run(f, &get_request);
	assert_int_equal(f->err, 0);
	assert_int_equal(f->accept_count, 3);
}

/* Guards against a call that must not open a connection and does. */
static void test_reuse_only(void **state)
{
	struct httpc_request request = get_request;
	struct fixture *f = *state;

	request.reuse_only = 1;
	set_response(f, OK "Content-Length: 2\r\n\r\nhi");
	assert_false(httpc_pool_is_connected(f->pool));
	assert_null(httpc_start(f->pool, &request, &handlers, f));
	run(f, &get_request);
	assert_true(httpc_pool_is_connected(f->pool));
	run(f, &request);
	assert_int_equal(f->err, 0);
	assert_int_equal(f->accept_count, 1);
	/* Closed while idle; the client's loop has not run since. */
	shutdown(bufferevent_getfd(f->connection), SHUT_RDWR);
	assert_false(httpc_pool_is_connected(f->pool));
	assert_null(httpc_start(f->pool, &request, &handlers, f));
	run(f, &get_request);
	assert_int_equal(f->accept_count, 2);
}

/*
 * Guards against bytes after the end of a response that are taken for the
 * response of the next call on the same connection.
 */
static void test_extra_bytes(void **state)
{
	struct fixture *f = *state;

	set_response(f, OK "Content-Length: 2\r\n\r\nhi" OK
			   "Content-Length: 4\r\n\r\nevil");
	run(f, &get_request);
	run(f, &get_request);
	assert_string_equal(f->body, "hi");
	assert_int_equal(f->accept_count, 2);
}

/*
 * Guards against request smuggling and injection: the client sets the length
 * headers itself and rejects headers, paths and methods that are not allowed.
 */
static void test_headers(void **state)
{
	struct http_header items[] = { { "X-One", "1" },
				       { "Content-Length", "99" },
				       { "Transfer-Encoding", "chunked" } };
	struct http_header injection_items[] = { { "X-One", "1\r\nX-Two: 2" } };
	struct header_list headers = { items, 3 };
	struct header_list injection_headers = { injection_items, 1 };
	struct httpc_request request = { .method = "POST",
					 .path = "/",
					 .headers = &headers,
					 .body = "abc",
					 .body_len = 3 };
	struct fixture *f = *state;

	set_response(f, OK "X-A: 1\r\nX-B: 2\r\nContent-Length: 0\r\n\r\n");
	run(f, &request);
	assert_int_equal(f->header_count, 3);
	assert_non_null(strstr(f->request, "X-One: 1\r\n"));
	assert_non_null(strstr(f->request, "Content-Length: 3\r\n"));
	assert_null(strstr(f->request, "Transfer-Encoding"));
	assert_non_null(strstr(f->request, f->address));
	request.headers = &injection_headers;
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

/* Guards against ERR_UNKNOWN for a refused connection: nothing was sent. */
static void test_connection_refused(void **state)
{
	struct fixture *f = *state;

	evconnlistener_free(f->listener);
	f->listener = NULL;
	run(f, &get_request);
	assert_int_equal(f->err, ERR_UNAVAILABLE);
}

/* Guards against callbacks and memory errors after httpc_cancel(). */
static void test_cancel(void **state)
{
	struct fixture *f = *state;

	set_response(f, CHUNKED "2\r\nhe\r\n2\r\nhe\r\n0\r\n\r\n");
	f->cancel_in_head = 1;
	start(f, &get_request);
	loop_wait_ms(f->loop, has_completed, f, 50);
	f->cancel_in_head = 0;
	f->cancel_in_data = 1;
	start(f, &get_request);
	loop_wait_ms(f->loop, has_completed, f, 50);
	assert_in_range(f->body_len, 0, 2);
	f->cancel_in_data = 0;
	start(f, &get_request);
	httpc_cancel(f->call);
	assert_false(loop_wait_ms(f->loop, has_completed, f, 50));
	run(f, &get_request);
	assert_string_equal(f->body, "hehe");
	start(f, &get_request); /* ended by httpc_pool_delete() */
}

/* Guards against a paused call that keeps buffering the response in memory. */
static void test_pause(void **state)
{
	struct fixture *f = *state;
	char *head = xstrfmt(OK "Content-Length: %d\r\n\r\n", LARGE_BODY_BYTES);
	size_t head_len = strlen(head);
	char *full_response = calloc(1, head_len + LARGE_BODY_BYTES);

	memcpy(full_response, head, head_len);
	f->response = full_response;
	f->response_len = head_len + LARGE_BODY_BYTES;
	f->pause_in_head = 1;
	start(f, &get_request);
	assert_false(loop_wait_ms(f->loop, has_completed, f, 100));
	assert_in_range(f->body_len, 0, 64 * 1024);
	httpc_resume(f->call);
	assert_true(loop_wait(f->loop, has_completed, f));
	assert_int_equal(f->err, 0);
	assert_int_equal(f->body_len, LARGE_BODY_BYTES);
	free(full_response);
	free(head);
}

#define CASE(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_responses),	   CASE(test_large_bodies),
		CASE(test_early_response), CASE(test_connection_reuse),
		CASE(test_reuse_only),	   CASE(test_extra_bytes),
		CASE(test_headers),	   CASE(test_connection_refused),
		CASE(test_cancel),	   CASE(test_pause),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
