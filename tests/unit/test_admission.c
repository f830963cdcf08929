#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#include "admission.h"

#define ITEMS 64

static struct admission_item items[ITEMS];

static struct mstime at(int64_t ms)
{
	return mstime_from(1000000 + ms);
}

static enum admission_verdict enter(struct admission *admission, int index,
				    const char *caller, int64_t now)
{
	return admission_enter(admission, &items[index], caller,
			       at(now + 10000), at(now));
}

static int wait_in(struct admission *admission, int index, int64_t now,
		   enum admission_verdict *why)
{
	struct admission_item *evicted;

	admission_enqueue(admission, &items[index], at(now), &evicted, why);
	return evicted ? (int)(evicted - items) : -1;
}

/* Guards against order inversion without overload, and old work under it. */
static void test_order(void **state)
{
	struct admission *admission = admission_new(ITEMS);
	enum admission_verdict why;
	struct admission_item *item;
	int i;

	for (i = 0; i < 3; i++) {
		assert_int_equal(enter(admission, i, "c", 20 * i),
				 ADMISSION_OK);
		wait_in(admission, i, 20 * i, &why);
	}
	item = admission_next(admission, NULL, at(60));
	assert_ptr_equal(item, &items[0]);
	assert_ptr_equal(admission_next(admission, item, at(60)), &items[1]);
	assert_null(admission_next(admission, &items[2], at(60)));
	/* Over the target for longer than the interval. */
	assert_false(admission_overloaded(admission, at(100)));
	assert_true(admission_overloaded(admission, at(101)));
	assert_ptr_equal(admission_next(admission, NULL, at(101)), &items[2]);
	assert_ptr_equal(admission_expired(admission, at(101), &why),
			 &items[0]);
	assert_int_equal(why, ADMISSION_OVERLOAD);
	assert_null(admission_expired(admission, at(101), &why));
	admission_dequeue(admission, &items[1]);
	admission_dequeue(admission, &items[2]);
	assert_false(admission_overloaded(admission, at(104)));
	for (i = 0; i < 3; i++)
		admission_leave(admission, &items[i]);
	admission_delete(admission);
}

/* Guards against work that starts after its deadline. */
static void test_deadline(void **state)
{
	struct admission *admission = admission_new(ITEMS);
	enum admission_verdict why;

	assert_int_equal(
		admission_enter(admission, &items[0], "c", at(0), at(0)),
		ADMISSION_DEADLINE);
	admission_leave(admission, &items[0]);
	assert_int_equal(
		admission_enter(admission, &items[1], "c", at(30), at(0)),
		ADMISSION_OK);
	wait_in(admission, 1, 0, &why);
	assert_null(admission_expired(admission, at(29), &why));
	assert_ptr_equal(admission_expired(admission, at(30), &why), &items[1]);
	assert_int_equal(why, ADMISSION_DEADLINE);
	assert_int_equal(admission_waiting(admission), 0);
	admission_leave(admission, &items[1]);
	admission_delete(admission);
}

/* Guards against one caller that takes the whole queue from the others. */
static void test_share(void **state)
{
	struct admission *admission = admission_new(10);
	enum admission_verdict why;
	int i;

	for (i = 0; i < 10; i++) {
		enter(admission, i, "greedy", 0);
		assert_int_equal(wait_in(admission, i, 0, &why), -1);
	}
	/* Alone, a caller has no share to be over: the oldest gives way. */
	enter(admission, 10, "greedy", 0);
	assert_int_equal(wait_in(admission, 10, 0, &why), 0);
	assert_int_equal(why, ADMISSION_FULL);
	admission_leave(admission, &items[0]);
	assert_int_equal(enter(admission, 11, "modest", 0), ADMISSION_OK);
	assert_int_equal(wait_in(admission, 11, 0, &why), 1);
	assert_int_equal(why, ADMISSION_OVER_SHARE);
	admission_leave(admission, &items[1]);
	assert_int_equal(enter(admission, 12, "greedy", 0),
			 ADMISSION_OVER_SHARE);
	assert_int_equal(enter(admission, 13, "modest", 0), ADMISSION_OK);
	admission_leave(admission, &items[12]);
	for (i = 2; i < 14; i++)
		admission_leave(admission, &items[i]);
	assert_int_equal(admission_waiting(admission), 0);
	admission_delete(admission);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_order),
		cmocka_unit_test(test_deadline),
		cmocka_unit_test(test_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
