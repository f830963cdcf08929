#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#include "retry.h"

/* Guards against retries that multiply the load when all attempts fail. */
static void test_retry_limit(void **state)
{
	static const struct {
		int requests_per_s;
		int percent, floor_per_s;
		int min, max; /* retries in 10 s */
	} cases[] = {
		{ 1000, 10, 10, 1090, 1110 },
		{ 5, 10, 10, 50, 50 }, /* one for each request */
		{ 100, 10, 0, 95, 100 },
		{ 100, 0, 10, 90, 110 },
		{ 100, 0, 0, 0, 0 },
	};
	size_t i;
	int j;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct mstime start = mstime_from(0);
		struct retry_budget budget;
		int taken = 0, request_count = cases[i].requests_per_s * 10;

		retry_init(&budget, cases[i].percent, cases[i].floor_per_s,
			   start);
		for (j = 0; j < request_count; j++) {
			retry_count_request(&budget);
			taken += retry_take(
				&budget,
				mstime_add(start, j * 10000LL / request_count));
		}
		assert_in_range(taken, cases[i].min, cases[i].max);
	}
}

/* Guards against retries that accumulate without limit in quiet periods. */
static void test_earned_retries_capped(void **state)
{
	struct mstime now = mstime_from(0);
	struct retry_budget budget;
	int i, taken = 0;

	retry_init(&budget, 10, 10, now);
	for (i = 0; i < 100000; i++)
		retry_count_request(&budget);
	now = mstime_add(now, 3600 * 1000);
	while (retry_take(&budget, now))
		taken++;
	assert_int_equal(taken, RETRY_EARNED_MAX + 10);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_retry_limit),
		cmocka_unit_test(test_earned_retries_capped),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
