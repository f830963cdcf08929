#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "config.h"
#include "errors.h"
#include "mem.h"

#define OTHER_FIELDS "\"limits\":{},\"drained\":[],\"quotas\":{},\"changes\":[]"

/*
 * Guards against a field that is lost when a new version of the
 * configuration is rendered and parsed.
 */
static void test_round_trip(void **state)
{
	struct config config, parsed;
	char *first, *second;
	int i;

	config_init(&config);
	config.version = 7;
	str_copy(config.token, "e1/1/2", sizeof(config.token));
	for (i = 0; i < LIMIT_COUNT; i++)
		config.limits[i] = config_limits()[i].max;
	str_copy(config.drained[config.drained_count++], "a1", NAME_SIZE);
	str_copy(config.quotas[0].team, "returns", ID_SIZE);
	config.quotas[0].quota = (struct resources){ 1, 2, 3 };
	config.quota_count = 1;
	for (i = 0; i < CONFIG_CHANGES_MAX + 2; i++)
		config_record_change(&config, (uint64_t)i + 1, "t", "drain a1");
	first = config_render(&config);
	assert_int_equal(config_parse(&parsed, first, strlen(first)), 0);
	second = config_render(&parsed);
	assert_string_equal(first, second);
	assert_int_equal(parsed.changes[0].version, 3);
	assert_int_equal(parsed.limits[LIMIT_GRANT_MS],
			 config_limits()[LIMIT_GRANT_MS].max);
	assert_int_equal(config_quota(&parsed, "returns")->accel, 3);
	assert_true(config_domain_drained(&parsed, "a1"));
	free(first);
	free(second);
}

/* Guards against limits whose initial value is outside of their range. */
static void test_limits_table(void **state)
{
	const struct limit_info *limits = config_limits();
	int i;

	for (i = 0; i < LIMIT_COUNT; i++) {
		assert_non_null(limits[i].name);
		assert_true(limits[i].min <= limits[i].initial);
		assert_true(limits[i].initial <= limits[i].max);
		assert_int_equal(config_limit_find(limits[i].name), i);
	}
	assert_int_equal(config_limit_find("nonsense"), -1);
}

/* Guards against replacing a valid configuration by an invalid one. */
static void test_invalid_values(void **state)
{
	static const struct {
		const char *json;
		int err;
	} cases[] = {
		{ "", ERR_MALFORMED },
		{ "[]", ERR_MALFORMED },
		{ "{\"version\":1,\"token\":\"t\"," OTHER_FIELDS,
		  ERR_MALFORMED },
		{ "{\"version\":1}", ERR_INVALID },
		{ "{\"version\":-1,\"token\":\"t\"," OTHER_FIELDS "}",
		  ERR_INVALID },
		{ "{\"version\":\"1\",\"token\":\"t\"," OTHER_FIELDS "}",
		  ERR_MALFORMED },
		{ "{\"version\":1,\"version\":2,\"token\":\"t\"," OTHER_FIELDS
		  "}",
		  ERR_MALFORMED },
		{ "{\"version\":1,\"token\":\"t\",\"x\":1," OTHER_FIELDS "}",
		  ERR_INVALID },
		{ "{\"version\":1,\"token\":\"t\",\"limits\":{\"x\":1},"
		  "\"drained\":[],\"quotas\":{},\"changes\":[]}",
		  ERR_INVALID },
		{ "{\"version\":1,\"token\":\"t\",\"limits\":{\"attempts\":0},"
		  "\"drained\":[],\"quotas\":{},\"changes\":[]}",
		  ERR_INVALID },
		{ "{\"version\":1,\"token\":\"t\",\"limits\":{},"
		  "\"drained\":[\"a\",\"a\"],\"quotas\":{},\"changes\":[]}",
		  ERR_INVALID },
		{ "{\"version\":1,\"token\":\"t\",\"limits\":{},"
		  "\"drained\":[1],\"quotas\":{},\"changes\":[]}",
		  ERR_INVALID },
		{ "{\"version\":1,\"token\":\"t\",\"limits\":{},"
		  "\"drained\":[],\"quotas\":{\"t\":{\"cpu\":1}},"
		  "\"changes\":[]}",
		  ERR_INVALID },
	};
	struct config config;
	size_t i;

	config_init(&config);
	config.version = 9;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		int err = config_parse(&config, cases[i].json,
				       strlen(cases[i].json));

		if (err != cases[i].err || config.version != 9)
			fail_msg("case %zu: got %s", i, error_name(err));
	}
}

/* Guards against a late response that restores an older version. */
static void test_replace_if_newer(void **state)
{
	struct config current, next;

	config_init(&current);
	config_init(&next);
	assert_int_equal(config_replace_if_newer(&current, &next), 0);
	next.version = 5;
	assert_int_equal(config_replace_if_newer(&current, &next), 1);
	next.version = 4;
	assert_int_equal(config_replace_if_newer(&current, &next), ERR_FENCED);
	assert_int_equal(current.version, 5);
}

/* Guards against reporting a write as lost when newer ones followed it. */
static void test_written_by(void **state)
{
	struct config config;

	config_init(&config);
	config_record_change(&config, 4, "", "drain a1");
	config_set_token(&config, "mine");
	config_record_change(&config, 5, "other", "undrain a1");
	assert_int_equal(config_written_by(&config, 4, "mine"), 1);
	assert_int_equal(config_written_by(&config, 5, "mine"), 0);
	assert_int_equal(config_written_by(&config, 3, "mine"), ERR_NOT_FOUND);
	assert_int_equal(config_written_by(&config, 6, "mine"), ERR_NOT_FOUND);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_round_trip),
		cmocka_unit_test(test_limits_table),
		cmocka_unit_test(test_invalid_values),
		cmocka_unit_test(test_replace_if_newer),
		cmocka_unit_test(test_written_by),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
