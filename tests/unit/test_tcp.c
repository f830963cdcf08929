#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "tcp.h"

/* Guards against answers whose second part waits for the first one's ack. */
static void test_no_delay(void **state)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 0;
	socklen_t len = sizeof(on);

	(void)state;
	assert_true(fd >= 0);
	tcp_no_delay(fd);
	assert_int_equal(getsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, &len),
			 0);
	assert_true(on);
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
