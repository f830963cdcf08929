#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "grants.h"

#define GRANT_MS 20000

/*
 * Guards against an agent that carries out a command of a previous owner, or
 * for a run that a later one has replaced: such commands can arrive late.
 */
static void test_stale_commands(void **state)
{
	static const struct {
		const char *name;
		uint64_t epoch, run;
		int err;
	} cases[] = {
		{ "same run", 5, 3, 0 },
		{ "new owner", 6, 3, 0 },
		{ "old owner", 4, 3, ERR_FENCED },
		{ "old owner, new run", 4, 4, ERR_FENCED },
		{ "old run", 5, 2, ERR_FENCED },
		{ "new owner, old run", 6, 2, ERR_FENCED },
		{ "next run while this one is active", 5, 4, ERR_CONFLICT },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct grants g;
		struct grant_task t, *found;
		int err;

		grants_init(&g, GRANT_MS);
		assert_int_equal(grants_check_command(&g, 1, 5, "j", 3, &found),
				 ERR_NOT_FOUND);
		grants_add(&g, &t, 1, "j", 3, mstime_from(0));
		err = grants_check_command(&g, 1, cases[i].epoch, "j",
					   cases[i].run, &found);
		if (err != cases[i].err)
			fail_msg("%s: got %s", cases[i].name, error_name(err));
		assert_int_equal(
			grants_check_command(&g, 2, 1, "other", 1, &found),
			ERR_NOT_FOUND);
		grants_clear(&g);
	}
}

/*
 * Guards against a grant that counts from the arrival of the ack instead of the
 * sending of the report, that covers a run which the report did not list, or
 * that comes from a previous owner.
 */
static void test_grant_deadline(void **state)
{
	struct grants g;
	struct grant_task a, b;

	grants_init(&g, GRANT_MS);
	grants_advance_epoch(&g, 1, 5);
	grants_add(&g, &a, 1, "a", 1, mstime_from(0));
	grants_record_report(&a, 1, mstime_from(100));
	grants_add(&g, &b, 1, "b", 1, mstime_from(200));
	assert_false(grants_valid(&a, mstime_from(200)));
	assert_int_equal(grants_ack(&g, 1, 4, 1, 1, mstime_from(300)),
			 ERR_FENCED);
	assert_int_equal(grants_ack(&g, 2, 5, 1, 1, mstime_from(300)), 0);
	assert_int_equal(grants_ack(&g, 1, 5, 9, 1, mstime_from(300)), 0);
	assert_false(grants_valid(&a, mstime_from(300)));
	assert_int_equal(grants_ack(&g, 1, 5, 1, 1, mstime_from(9000)), 1);
	assert_false(grants_valid(&b, mstime_from(9000)));
	assert_true(grants_valid(&a, mstime_from(100 + GRANT_MS - 1)));
	assert_false(grants_valid(&a, mstime_from(100 + GRANT_MS)));
	assert_true(grants_expired(&a, mstime_from(100 + GRANT_MS)));
	/* A delayed or duplicate ack never shortens a grant. */
	grants_record_report(&a, 2, mstime_from(5000));
	grants_ack(&g, 1, 5, 2, 1, mstime_from(9000));
	grants_ack(&g, 1, 5, 1, 1, mstime_from(9100));
	assert_true(grants_valid(&a, mstime_from(5000 + GRANT_MS - 1)));
	grants_clear(&g);
}

/*
 * Guards against an ended run that is dropped before its owner has recorded the
 * end, and against ended runs that are kept without bound.
 */
static void test_ended_run_retention(void **state)
{
	static struct grant_task tasks[GRANT_ENDED_MAX + 1];
	struct grants g;
	struct grant_task *t = &tasks[0];
	struct mstime now = mstime_from(0);
	int i;

	grants_init(&g, GRANT_MS);
	grants_add(&g, t, 1, "a", 1, now);
	grants_record_report(t, 1, now);
	grants_end(t, now);
	grants_ack(&g, 1, 5, 1, 1, now);
	/* The acked report still listed the run as live. */
	assert_true(grants_reportable(t));
	grants_record_report(t, 2, now);
	grants_ack(&g, 1, 5, 2, 0, now);
	/* The owner could not write the end to the store. */
	assert_true(grants_reportable(t));
	grants_ack(&g, 1, 5, 2, 1, now);
	assert_false(grants_reportable(t));
	assert_null(grants_find_removable(
		&g, mstime_from(GRANT_ENDED_KEEP_MS - 1)));
	assert_ptr_equal(
		grants_find_removable(&g, mstime_from(GRANT_ENDED_KEEP_MS)), t);
	grants_advance_epoch(&g, 1, 6);
	assert_true(grants_reportable(t));
	for (i = 1; i <= GRANT_ENDED_MAX; i++) {
		assert_null(grants_find_removable(&g, now));
		grants_add(&g, &tasks[i], 1, "b", (uint64_t)i, now);
		grants_end(&tasks[i], mstime_from(i));
	}
	assert_ptr_equal(grants_find_removable(&g, now), t);
	grants_clear(&g);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stale_commands),
		cmocka_unit_test(test_grant_deadline),
		cmocka_unit_test(test_ended_run_retention),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
