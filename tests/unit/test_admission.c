#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#include "admission.h"

#define ITEM_COUNT 64

static struct admission_item items[ITEM_COUNT];

static struct mstime at(int64_t ms)
{
	return mstime_from(1000000 + ms);
}

static enum admission_verdict admit(struct admission *admission, int index,
				    const char *caller, int64_t now)
{
	return admission_enter(admission, &items[index], caller,
			       at(now + 10000), at(now));
}

static int enqueue(struct admission *admission, int index, int64_t now,
		   enum admission_verdict *verdict)
{
	struct admission_item *shed;

	admission_enqueue(admission, &items[index], at(now), &shed, verdict);
	return shed ? (int)(shed - items) : -1;
}

/*
 * Guards against serving requests out of order while the queue is not
 * overloaded, and against serving the oldest first while it is.
 */
static void test_queue_order(void **state)
{
	struct admission *admission = admission_new(ITEM_COUNT);
	enum admission_verdict verdict;
	struct admission_item *item;
	int i;

	for (i = 0; i < 3; i++) {
		assert_int_equal(admit(admission, i, "c", 20 * i),
				 ADMISSION_OK);
		enqueue(admission, i, 20 * i, &verdict);
	}
	item = admission_next(admission, NULL, at(60));
	assert_ptr_equal(item, &items[0]);
	assert_ptr_equal(admission_next(admission, item, at(60)), &items[1]);
	assert_null(admission_next(admission, &items[2], at(60)));
	/* The wait exceeds the target for longer than the interval. */
	assert_false(admission_overloaded(admission, at(100)));
	assert_true(admission_overloaded(admission, at(101)));
	assert_ptr_equal(admission_next(admission, NULL, at(101)), &items[2]);
	assert_ptr_equal(admission_expired(admission, at(101), &verdict),
			 &items[0]);
	assert_int_equal(verdict, ADMISSION_OVERLOAD);
	assert_null(admission_expired(admission, at(101), &verdict));
	admission_dequeue(admission, &items[1]);
	admission_dequeue(admission, &items[2]);
	assert_false(admission_overloaded(admission, at(104)));
	for (i = 0; i < 3; i++)
		admission_leave(admission, &items[i]);
	admission_delete(admission);
}

/* Guards against starting a request after its deadline. */
static void test_deadline(void **state)
{
	struct admission *admission = admission_new(ITEM_COUNT);
	enum admission_verdict verdict;

	assert_int_equal(
		admission_enter(admission, &items[0], "c", at(0), at(0)),
		ADMISSION_DEADLINE);
	admission_leave(admission, &items[0]);
	assert_int_equal(
		admission_enter(admission, &items[1], "c", at(30), at(0)),
		ADMISSION_OK);
	enqueue(admission, 1, 0, &verdict);
	assert_null(admission_expired(admission, at(29), &verdict));
	assert_ptr_equal(admission_expired(admission, at(30), &verdict),
			 &items[1]);
	assert_int_equal(verdict, ADMISSION_DEADLINE);
	assert_int_equal(admission_waiting(admission), 0);
	admission_leave(admission, &items[1]);
	admission_delete(admission);
}

/* Guards against one caller that fills the queue and locks out others. */
static void test_fair_share(void **state)
{
	struct admission *admission = admission_new(10);
	enum admission_verdict verdict;
	int i;

	for (i = 0; i < 10; i++) {
		admit(admission, i, "greedy", 0);
		assert_int_equal(enqueue(admission, i, 0, &verdict), -1);
	}
	/* A single caller cannot exceed its share: the oldest is shed. */
	admit(admission, 10, "greedy", 0);
	assert_int_equal(enqueue(admission, 10, 0, &verdict), 0);
	assert_int_equal(verdict, ADMISSION_FULL);
	admission_leave(admission, &items[0]);
	assert_int_equal(admit(admission, 11, "modest", 0), ADMISSION_OK);
	assert_int_equal(enqueue(admission, 11, 0, &verdict), 1);
	assert_int_equal(verdict, ADMISSION_OVER_SHARE);
	admission_leave(admission, &items[1]);
	assert_int_equal(admit(admission, 12, "greedy", 0),
			 ADMISSION_OVER_SHARE);
	assert_int_equal(admit(admission, 13, "modest", 0), ADMISSION_OK);
	admission_leave(admission, &items[12]);
	for (i = 2; i < 14; i++)
		admission_leave(admission, &items[i]);
	assert_int_equal(admission_waiting(admission), 0);
	admission_delete(admission);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_queue_order),
		cmocka_unit_test(test_deadline),
		cmocka_unit_test(test_fair_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
