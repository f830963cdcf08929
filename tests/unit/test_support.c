/* What the tests themselves rely on. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <sys/wait.h>

#include <cmocka.h>

#include "message.h"
#include "support.h"

#define ADDRESSES 100
#define EPHEMERAL_PORT_MIN 32768

static void take_addresses(char (*addresses)[ID_SIZE])
{
	int i;

	for (i = 0; i < ADDRESSES; i++)
		free_address(addresses[i], ID_SIZE);
}

static int contains(char (*addresses)[ID_SIZE], const char *address)
{
	int i;

	for (i = 0; i < ADDRESSES; i++)
		if (!strcmp(addresses[i], address))
			return 1;
	return 0;
}

/*
 * Guards against an address that another test process takes before its holder
 * listens on it, as its own or as the source of a connection.
 */
static void test_addresses_are_reserved(void **state)
{
	char mine[ADDRESSES][ID_SIZE], others[ADDRESSES][ID_SIZE];
	int fds[2], done[2], i;
	char byte = 0;
	pid_t pid;

	(void)state;
	assert_int_equal(pipe(fds), 0);
	assert_int_equal(pipe(done), 0);
	free_address(mine[0], ID_SIZE);
	pid = fork();
	assert_true(pid >= 0);
	if (!pid) {
		take_addresses(others);
		/* Holds them until the parent has taken its own. */
		if (write(fds[1], others, sizeof(others)) < 0 ||
		    read(done[0], &byte, 1) < 0)
			_exit(1);
		_exit(0);
	}
	assert_int_equal(read(fds[0], others, sizeof(others)), sizeof(others));
	take_addresses(mine);
	assert_int_equal(write(done[1], &byte, 1), 1);
	assert_int_equal(waitpid(pid, NULL, 0), pid);
	for (i = 0; i < ADDRESSES; i++) {
		assert_false(contains(others, mine[i]));
		assert_true(atoi(strchr(mine[i], ':') + 1) <
			    EPHEMERAL_PORT_MIN);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_addresses_are_reserved),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
