#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#include "eject.h"

/*
 * x is a failure, o a success. Only the last result may cause an ejection,
 * and it must do so if ejects is 1.
 */
static void test_ejection_criteria(void **state)
{
	static const struct {
		const char *results;
		int gap_ms;
		int ejects;
	} cases[] = {
		{ "xxxxx", 10, 1 },
		{ "xxxxoxxxx", 10, 0 },
		{ "xxxxoxxxxx", 10, 1 },
		/* 11 of 20 failed, never 5 in a row. */
		{ "oxoxoxoxoxoxoxoxoxxx", 10, 1 },
		/* Half of the results failed, not more than half. */
		{ "oxoxoxoxoxoxoxoxoxox", 10, 0 },
		/* 20 results, but some are older than the window. */
		{ "oxoxoxoxoxoxoxoxoxxx", 1000, 0 },
	};
	size_t i, j;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct mstime now = mstime_from(5);
		struct eject_state eject;
		int should_eject = 0;

		eject_init(&eject);
		for (j = 0; cases[i].results[j]; j++) {
			assert_int_equal(should_eject, 0);
			should_eject = eject_result(
				&eject, cases[i].results[j] == 'x', now);
			now = mstime_add(now, cases[i].gap_ms);
		}
		assert_int_equal(should_eject, cases[i].ejects);
	}
}

/* Guards against probing a flapping upstream too often, or never. */
static void test_ejection_duration(void **state)
{
	static const int64_t durations_ms[] = { 5000,  10000, 20000,
						40000, 60000, 60000 };
	struct mstime now = mstime_from(0);
	struct eject_state eject;
	size_t i;

	eject_init(&eject);
	for (i = 0; i < sizeof(durations_ms) / sizeof(durations_ms[0]); i++) {
		eject_start(&eject, now);
		now = mstime_add(now, durations_ms[i] - 1);
		assert_false(eject_probe_due(&eject, now));
		now = mstime_add(now, 1);
		assert_true(eject_probe_due(&eject, now));
		eject_probe_start(&eject, now);
		assert_int_equal(eject_probe_result(&eject, 0, now), 1);
	}
	now = mstime_add(now, EJECT_DURATION_MAX_MS + 1);
	eject_start(&eject, now);
	assert_true(eject_probe_due(&eject,
				    mstime_add(now, EJECT_DURATION_MIN_MS)));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ejection_criteria),
		cmocka_unit_test(test_ejection_duration),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
