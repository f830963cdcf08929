#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "tcp.h"

/*
 * Guards against Nagle's algorithm left on: the second part of a response then
 * waits for the acknowledgement of the first.
 */
static void test_no_delay(void **state)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0), no_delay = 0;
	socklen_t len = sizeof(no_delay);

	(void)state;
	assert_true(fd >= 0);
	tcp_no_delay(fd);
	assert_int_equal(
		getsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, &len), 0);
	assert_true(no_delay);
	close(fd);
	tcp_no_delay(-1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_delay),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
