#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "metrics.h"
#include "errors.h"
#include "events.h"
#include "hash.h"
#include "jsontext.h"
#include "list.h"
#include "mem.h"
#include "mstime.h"
#include "rng.h"

struct element {
	struct list node;
	int value;
};

/* Guards against corrupting a list by removal during an iteration. */
static void test_list(void **state)
{
	struct element elements[4] = {
		{ .value = 0 }, { .value = 1 }, { .value = 2 }, { .value = 3 }
	};
	struct list head, *pos, *tmp;
	int sum = 0;

	list_init(&head);
	assert_true(list_empty(&head));
	list_add_tail(&head, &elements[1].node);
	list_add_tail(&head, &elements[2].node);
	list_add_head(&head, &elements[0].node);
	list_add_tail(&head, &elements[3].node);
	list_for_each (pos, &head)
		sum = 10 * sum + list_entry(pos, struct element, node)->value;
	assert_int_equal(sum, 123);
	list_for_each_safe (pos, tmp, &head)
		if (list_entry(pos, struct element, node)->value % 2)
			list_del(pos);
	assert_ptr_equal(head.next, &elements[0].node);
	assert_ptr_equal(head.prev, &elements[2].node);
	list_del(&elements[1].node); /* already removed */
	list_del(&elements[0].node);
	list_del(&elements[2].node);
	assert_true(list_empty(&head));
}

/* Guards against text that is not the JSON of the value that was written. */
static void test_jsontext(void **state)
{
	static const struct {
		const char *value, *json;
	} strings[] = {
		{ "", "\"\"" },
		{ "abc", "\"abc\"" },
		{ "a\"b\\c/", "\"a\\\"b\\\\c/\"" },
		{ "\n\x1f\x7f", "\"\\u000a\\u001f\x7f\"" },
		{ "\xc3\xa9", "\"\xc3\xa9\"" },
	};
	static const struct {
		int64_t value;
		const char *json;
	} numbers[] = {
		{ 0, "0" },
		{ -1, "-1" },
		{ INT64_MAX, "9223372036854775807" },
		{ INT64_MIN, "-9223372036854775808" },
	};
	size_t i;

	for (i = 0; i < sizeof(strings) / sizeof(strings[0]); i++) {
		struct jsontext json = { 0 };

		jsontext_string(&json, strings[i].value);
		assert_string_equal(jsontext_end(&json), strings[i].json);
		assert_int_equal(json.len, strlen(strings[i].json));
		free(json.text);
	}
	for (i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
		struct jsontext json = { 0 };

		jsontext_number(&json, numbers[i].value);
		assert_string_equal(jsontext_end(&json), numbers[i].json);
		free(json.text);
	}
}

static void test_str_copy(void **state)
{
	static const struct {
		const char *src;
		const char *dst;
		int err;
	} cases[] = {
		{ "", "", 0 },
		{ "abc", "abc", 0 },
		{ "abcd", "abc", ERR_TOO_LARGE },
		{ "abcdefgh", "abc", ERR_TOO_LARGE },
	};
	char *text = xstrfmt("%s-%d", "a", 7);
	char dst[4];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		assert_int_equal(str_copy(dst, cases[i].src, sizeof(dst)),
				 cases[i].err);
		assert_string_equal(dst, cases[i].dst);
	}
	assert_string_equal(text, "a-7");
	free(text);
	free(xmemdup(NULL, 0));
}

/* Guards against a hash that differs between versions of the program. */
static void test_hash(void **state)
{
	assert_true(hash_str("") == UINT64_C(0xf52a15e9a9b5e89b));
	assert_true(hash_str("partition") == UINT64_C(0x8d4e3e300391ed61));
	assert_true(hash_str("ab") == hash_bytes("ab", 2));
	assert_true(hash_str("ab") != hash_str("ba"));
}

/* Guards against keys that change owner while their owner is a member. */
static void test_rendezvous(void **state)
{
	static const char *const members[] = { "e1", "e2", "e3", "e4" };
	int owned[4] = { 0 };
	uint64_t key;

	for (key = 0; key < 4000; key++) {
		uint64_t hash = hash_bytes(&key, sizeof(key));
		int best = 0, best_of_three = 0;
		int i;

		for (i = 1; i < 4; i++) {
			uint64_t rank = hash_rendezvous(hash, members[i]);

			if (rank > hash_rendezvous(hash, members[best]))
				best = i;
			if (i < 3 &&
			    rank > hash_rendezvous(hash,
						   members[best_of_three]))
				best_of_three = i;
		}
		owned[best]++;
		if (best != 3)
			assert_int_equal(best, best_of_three);
	}
	for (key = 0; key < 4; key++)
		assert_in_range(owned[key], 900, 1100);
}

static void test_rng(void **state)
{
	struct rng a, b;
	int counts[10] = { 0 };
	double sum = 0;
	int i;

	rng_seed(&a, 42);
	rng_seed(&b, 42);
	for (i = 0; i < 100; i++)
		assert_true(rng_next(&a) == rng_next(&b));
	for (i = 0; i < 10000; i++) {
		double unit = rng_unit(&a);
		uint32_t below = rng_below(&a, 10);

		assert_true(unit >= 0 && unit < 1);
		assert_true(below < 10);
		counts[below]++;
		sum += unit;
	}
	assert_true(sum > 4900 && sum < 5100);
	for (i = 0; i < 10; i++)
		assert_in_range(counts[i], 900, 1100);
	for (i = 0; i < 100; i++)
		assert_int_equal(rng_below(&a, 1), 0);
}

static void test_mstime(void **state)
{
	struct mstime a = mstime_from(1000);
	struct mstime b = mstime_add(a, 500);

	assert_int_equal(mstime_diff(a, b), -500);
	assert_true(mstime_before(a, b));
	assert_false(mstime_before(a, a));
	assert_int_equal(mstime_max(a, b).ms, 1500);
	assert_int_equal(mstime_min(a, b).ms, 1000);
}

/* Guards against metrics text that a scraper rejects or counts twice. */
static void test_metric_rendering(void **state)
{
	static struct metric done = { .kind = METRIC_COUNTER,
				      .name = "x_total",
				      .labels = "outcome=\"done\"",
				      .help = "Requests.",
				      .value = 3 };
	static struct metric failed = { .kind = METRIC_COUNTER,
					.name = "x_total",
					.labels = "outcome=\"failed\"",
					.help = "Requests.",
					.value = 0 };
	static struct metric level = { .kind = METRIC_GAUGE,
				       .name = "x_level",
				       .help = "Level.",
				       .value = -5 };
	static struct histogram wait = { .name = "x_wait_ms", .help = "Wait." };
	static const char expected[] = "# HELP x_total Requests.\n"
				       "# TYPE x_total counter\n"
				       "x_total{outcome=\"done\"} 3\n"
				       "x_total{outcome=\"failed\"} 0\n"
				       "# HELP x_level Level.\n"
				       "# TYPE x_level gauge\n"
				       "x_level -5\n"
				       "# HELP x_wait_ms Wait.\n"
				       "# TYPE x_wait_ms histogram\n"
				       "x_wait_ms_bucket{le=\"1\"} 2\n"
				       "x_wait_ms_bucket{le=\"2\"} 3\n";
	struct metric_set set;
	char *text;

	metric_set_init(&set);
	metric_register(&set, &done);
	metric_register(&set, &failed);
	metric_register(&set, &level);
	histogram_register(&set, &wait);
	histogram_observe(&wait, 0);
	histogram_observe(&wait, 1);
	histogram_observe(&wait, 2);
	histogram_observe(&wait, 30000);
	histogram_observe(&wait, 30001);
	text = metric_set_render(&set);
	assert_memory_equal(text, expected, sizeof(expected) - 1);
	assert_non_null(strstr(text, "_bucket{le=\"30000\"} 4\n"
				     "x_wait_ms_bucket{le=\"+Inf\"} 5\n"
				     "x_wait_ms_sum 60004\n"
				     "x_wait_ms_count 5\n"));
	free(text);
}

/*
 * Guards against an error number without a table entry, or with the entry
 * of another number.
 */
static void test_error_table(void **state)
{
	int err;

	for (err = ERR_INVALID; err >= ERR_LAST; err--) {
		assert_non_null(error_name(err));
		assert_non_null(error_text(err));
	}
	assert_string_equal(error_name(0), "ok");
	assert_string_equal(error_name(ERR_UNKNOWN), "unknown");
	assert_string_equal(error_name(ERR_SYSTEM), "system");
	assert_string_equal(error_name(ERR_INVALID + 1), "other");
	assert_string_equal(error_name(ERR_LAST - 1), "other");
	assert_string_equal(error_text(1), "Other error.");
}

/* Guards against event numbers or names used twice, or out of range. */
static void test_event_table(void **state)
{
	size_t count, i, j;
	const struct event_info *table = event_table(&count);

	for (i = 0; i < count; i++) {
		assert_in_range(table[i].event, 1001, 6999);
		assert_true(!i || table[i].event > table[i - 1].event);
		assert_ptr_equal(event_find((int)table[i].event), &table[i]);
		for (j = 0; j < i; j++)
			assert_string_not_equal(table[i].name, table[j].name);
	}
	assert_null(event_find(0));
	assert_string_equal(log_level_name(LOG_WARN), "warn");
}

struct sortable {
	struct list node;
	uint32_t key, order;
};

static int sortable_goes_before(const struct list *a, const struct list *b)
{
	return list_entry(a, struct sortable, node)->key <
	       list_entry(b, struct sortable, node)->key;
}

/* Guards against lost, swapped or unsorted nodes; the sort is stable. */
static void test_list_sort(void **state)
{
	struct sortable elements[200];
	struct list head, *pos;
	struct rng rng;
	int round;

	rng_seed(&rng, 20261205);
	for (round = 0; round < 3000; round++) {
		uint32_t i, count = rng_below(&rng, 200);
		uint32_t keys = 1 + rng_below(&rng, 200);
		const struct sortable *last = NULL;

		list_init(&head);
		for (i = 0; i < count; i++) {
			elements[i].key = rng_below(&rng, keys);
			elements[i].order = i;
			list_add_tail(&head, &elements[i].node);
		}
		list_sort(&head, sortable_goes_before);
		i = 0;
		list_for_each (pos, &head) {
			const struct sortable *element =
				list_entry(pos, struct sortable, node);

			assert_ptr_equal(pos->next->prev, pos);
			assert_true(!last || last->key < element->key ||
				    (last->key == element->key &&
				     last->order < element->order));
			last = element;
			i++;
		}
		assert_int_equal(i, count);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_list_sort),
		cmocka_unit_test(test_list),
		cmocka_unit_test(test_jsontext),
		cmocka_unit_test(test_str_copy),
		cmocka_unit_test(test_hash),
		cmocka_unit_test(test_rendezvous),
		cmocka_unit_test(test_rng),
		cmocka_unit_test(test_mstime),
		cmocka_unit_test(test_metric_rendering),
		cmocka_unit_test(test_error_table),
		cmocka_unit_test(test_event_table),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
