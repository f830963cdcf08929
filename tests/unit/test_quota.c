#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "quota.h"

static const struct {
	const char *team;
	struct resources used;
	uint32_t partitions, owned;
	int has_headroom;
} cases[] = {
	{ "a", { 999, 0, 0 }, 4, 4, 1 },
	{ "a", { 1000, 0, 0 }, 4, 4, 0 },
	{ "a", { 250, 0, 0 }, 4, 1, 0 }, /* 1 of 4 partitions: times 4 */
	{ "a", { 0, 100, 0 }, 4, 4, 0 },
	{ "a", { 0, 0, 50 }, 4, 4, 1 }, /* quota 0: no limit */
	{ "other", { 9999, 9999, 9 }, 4, 4, 1 },
};

/*
 * Guards against applying the quota of another team or none at all, and against
 * sums that are not scaled by the share of partitions that the owner has.
 */
static void test_headroom(void **state)
{
	static struct config config;
	struct quota *quota = quota_new();
	size_t i;

	config_init(&config);
	strcpy(config.quotas[0].team, "a");
	config.quotas[0].quota = (struct resources){ 1000, 100, 0 };
	config.quota_count = 1;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		quota_clear(quota);
		quota_add(quota, cases[i].team, &cases[i].used, 1);
		assert_int_equal(
			quota_has_headroom(quota, &config, cases[i].team,
					   cases[i].partitions, cases[i].owned),
			cases[i].has_headroom);
		quota_add(quota, cases[i].team, &cases[i].used, -1);
		assert_true(quota_has_headroom(quota, &config, cases[i].team,
					       cases[i].partitions,
					       cases[i].owned));
	}
	quota_delete(quota);
}

int main(void)
{
	const struct CMUnitTest tests[] = { cmocka_unit_test(test_headroom) };

	return cmocka_run_group_tests(tests, NULL, NULL);
}
