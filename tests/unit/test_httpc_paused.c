/* Calls of a process that is stopped while its connections are reset. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <netinet/in.h>

#include "errors.h"
#include "httpc.h"
#include "support.h"

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define TIMEOUT_MS 100
/* Until the parent waits for events again. */
#define WAIT_US (TIMEOUT_MS * 1000 / 4)
#define PAUSE_US (2 * TIMEOUT_MS * 1000)
#define RESPONSE "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

struct fixture {
	int is_done, err;
};

static void on_end(void *arg, int err, int status)
{
	struct fixture *f = arg;

	f->err = err;
	f->is_done = 1;
}

static int is_done(void *arg)
{
	return ((struct fixture *)arg)->is_done;
}

static void call(struct loop *loop, struct httpc_pool *pool, struct fixture *f)
{
	static const struct httpc_handlers handlers = { .on_end = on_end };
	struct httpc_request request = { .method = "POST",
					 .path = "/",
					 .body = "x",
					 .body_len = 1,
					 .timeout_ms = TIMEOUT_MS };

	f->is_done = 0;
	assert_non_null(httpc_start(pool, &request, &handlers, f));
	assert_true(loop_wait(loop, is_done, f));
}

/* A request is a head and one byte, which may come in two parts. */
static void read_request(int fd)
{
	char buf[4096];
	size_t len = 0;

	do {
		ssize_t n = read(fd, buf + len, sizeof(buf) - 1 - len);

		if (n <= 0)
			_exit(1);
		len += (size_t)n;
		buf[len] = '\0';
	} while (!strstr(buf, "\r\n\r\nx"));
}

/*
 * Answers some requests, and stops its parent after the next one, whose
 * connection is reset then or not.
 */
static void serve(int listener, int answers, int reset)
{
	struct linger linger = { 1, 0 };
	int fd = accept(listener, NULL, NULL);

	while (answers--) {
		read_request(fd);
		if (write(fd, RESPONSE, strlen(RESPONSE)) < 0)
			_exit(1);
	}
	read_request(fd);
	usleep(WAIT_US);
	kill(getppid(), SIGSTOP);
	usleep(WAIT_US);
	if (reset) {
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
		close(fd);
	}
	usleep(PAUSE_US);
	kill(getppid(), SIGCONT);
	usleep(PAUSE_US);
	_exit(0);
}

static int listen_at(const char *address)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons((uint16_t)atoi(strchr(address, ':') + 1));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	assert_int_equal(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	assert_int_equal(listen(fd, 8), 0);
	return fd;
}

/*
 * Guards against a submission that is refused and runs: when a process wakes
 * up, timers go before what has arrived, and a connection that was reset
 * looked like one that was never established.
 */
static void test_reset_while_stopped(void **state)
{
	static const struct {
		int answers; /* on the connection before */
		int reset;
		int err;
	} cases[] = {
		{ 0, 1, ERR_UNKNOWN },
		{ 1, 1, ERR_UNKNOWN },
		{ 0, 0, ERR_TIMEOUT },
		{ 1, 0, ERR_TIMEOUT },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct loop *loop = loop_new();
		struct fixture f;
		struct httpc_pool *pool;
		char address[64];
		int k, listener;
		pid_t child;

		free_address(address, sizeof(address));
		listener = listen_at(address);
		child = fork();
		if (!child)
			serve(listener, cases[i].answers, cases[i].reset);
		close(listener);
		pool = httpc_pool_new(loop, address, 4);
		for (k = 0; k < cases[i].answers; k++) {
			call(loop, pool, &f);
			assert_int_equal(f.err, 0);
		}
		call(loop, pool, &f);
		assert_int_equal(f.err, cases[i].err);
		waitpid(child, NULL, 0);
		httpc_pool_delete(pool);
		loop_delete(loop);
	}
}

/* Guards against an unknown outcome of what was certainly not sent. */
static void test_nobody_listens(void **state)
{
	struct loop *loop = loop_new();
	struct httpc_pool *pool;
	struct fixture f;
	char address[64];

	free_address(address, sizeof(address));
	pool = httpc_pool_new(loop, address, 4);
	call(loop, pool, &f);
	assert_int_equal(f.err, ERR_UNAVAILABLE);
	httpc_pool_delete(pool);
	loop_delete(loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reset_while_stopped),
		cmocka_unit_test(test_nobody_listens),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
