#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#include "retry.h"

/* Guards against retries that multiply the load when all attempts fail. */
static void test_bound(void **state)
{
	static const struct {
		int requests_a_second;
		int percent, floor;
		int least, most; /* retries in ten seconds */
	} cases[] = {
		{ 1000, 10, 10, 1090, 1110 },
		{ 5, 10, 10, 50, 50 }, /* no more than are asked for */
		{ 100, 10, 0, 95, 100 },
		{ 100, 0, 10, 90, 110 },
		{ 100, 0, 0, 0, 0 },
	};
	size_t i;
	int j;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct mstime start = mstime_from(0);
		struct retry_budget retry;
		int taken = 0, all = cases[i].requests_a_second * 10;

		retry_init(&retry, cases[i].percent, cases[i].floor, start);
		for (j = 0; j < all; j++) {
			retry_count_request(&retry);
			taken += retry_take(
				&retry, mstime_add(start, j * 10000LL / all));
		}
		assert_in_range(taken, cases[i].least, cases[i].most);
	}
}

/* Guards against a store of retries that builds up while nothing fails. */
static void test_saved(void **state)
{
	struct mstime now = mstime_from(0);
	struct retry_budget retry;
	int i, taken = 0;

	retry_init(&retry, 10, 10, now);
	for (i = 0; i < 100000; i++)
		retry_count_request(&retry);
	now = mstime_add(now, 3600 * 1000);
	while (retry_take(&retry, now))
		taken++;
	assert_int_equal(taken, RETRY_EARNED_MAX + 10);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bound),
		cmocka_unit_test(test_saved),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
