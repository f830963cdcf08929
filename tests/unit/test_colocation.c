#include "colocation.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define FIGURES 30

/* Latency of the model that the module assumes, in shares of the target. */
static double latency(double pressure)
{
	return pressure > 0.97 ? 0.2 / 0.03 : 0.2 / (1 - pressure);
}

/* Guards against blaming a neighbour that is cleared elsewhere. */
static void test_blame(void **state)
{
	struct colocation *colocation = colocation_new();
	int serving = colocation_image(colocation, "serving");
	int guilty = colocation_image(colocation, "guilty");
	int harmless = colocation_image(colocation, "harmless");
	double own[2] = { COLOCATION_OWN_PRESSURE, COLOCATION_OWN_PRESSURE };
	int i;

	for (i = 0; i < FIGURES; i++) {
		struct neighbour both[] = { { guilty, 8 }, { harmless, 8 } };
		struct neighbour alone[] = { { harmless, 8 } };

		colocation_observe(colocation, serving, latency(0.3 + 0.6),
				   both, 2, &own[0]);
		colocation_observe(colocation, serving, latency(0.3), alone, 1,
				   &own[1]);
	}
	assert_true(colocation_weight(colocation, guilty, serving) > 0.05);
	assert_true(colocation_weight(colocation, harmless, serving) < 0.01);
	colocation_delete(colocation);
}

/* Guards against a pair that stays blamed after its effect has ended. */
static void test_forgives(void **state)
{
	struct colocation *colocation = colocation_new();
	int serving = colocation_image(colocation, "serving");
	int filling = colocation_image(colocation, "filling");
	struct neighbour fill = { filling, 8 };
	double own = COLOCATION_OWN_PRESSURE;
	int i;

	for (i = 0; i < FIGURES; i++)
		colocation_observe(colocation, serving, latency(0.9), &fill, 1,
				   &own);
	own = COLOCATION_OWN_PRESSURE;
	assert_true(colocation_weight(colocation, filling, serving) * 8 > 0.3);
	for (i = 0; i < FIGURES; i++)
		colocation_observe(colocation, serving, latency(0.3), &fill, 1,
				   &own);
	assert_true(colocation_weight(colocation, filling, serving) * 8 < 0.1);
	colocation_delete(colocation);
}

/* Own load is told from neighbours when there are none. */
static void test_own_load(void **state)
{
	struct colocation *colocation = colocation_new();
	int serving = colocation_image(colocation, "serving");
	double own = COLOCATION_OWN_PRESSURE;
	int i;

	for (i = 0; i < FIGURES; i++) {
		colocation_observe(colocation, serving, 0.2, NULL, 0, &own);
		colocation_observe(colocation, serving, latency(0.7), NULL, 0,
				   &own);
		colocation_observe(colocation, serving, latency(0.7), NULL, 0,
				   &own);
	}
	assert_true(own > 0.3 && own < 0.8);
	colocation_delete(colocation);
}

/* Images without a name have the weight of unknown ones. */
static void test_unknown(void **state)
{
	struct colocation *colocation = colocation_new();
	struct neighbour fill = { -1, 8 };
	double own = 0.5;

	assert_int_equal(colocation_image(colocation, NULL), -1);
	assert_true(colocation_weight(colocation, -1, -1) > 0);
	colocation_observe(colocation, -1, 3.0, &fill, 1, &own);
	assert_true(own == 0.5);
	colocation_delete(colocation);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_blame),
		cmocka_unit_test(test_forgives),
		cmocka_unit_test(test_own_load),
		cmocka_unit_test(test_unknown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
