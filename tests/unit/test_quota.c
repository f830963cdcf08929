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
	int under;
} cases[] = {
	{ "a", { 999, 0, 0 }, 4, 4, 1 },
	{ "a", { 1000, 0, 0 }, 4, 4, 0 },
	{ "a", { 250, 0, 0 }, 4, 1, 0 }, /* a quarter of the jobs is seen */
	{ "a", { 0, 100, 0 }, 4, 4, 0 },
	{ "a", { 0, 0, 50 }, 4, 4, 1 }, /* 0 is no bound */
	{ "other", { 9999, 9999, 9 }, 4, 4, 1 },
};

/* Guards against a team that is held to another's quota, or to none. */
static void test_under(void **state)
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
			cases[i].under);
		quota_add(quota, cases[i].team, &cases[i].used, -1);
		assert_true(quota_has_headroom(quota, &config, cases[i].team,
					       cases[i].partitions,
					       cases[i].owned));
	}
	quota_delete(quota);
}

int main(void)
{
	const struct CMUnitTest tests[] = { cmocka_unit_test(test_under) };

	return cmocka_run_group_tests(tests, NULL, NULL);
}
