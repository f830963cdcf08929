/* Long strings of JSON texts are shortened as the texts arrive. */
#include "jsontrim.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <jansson.h>

#include "mem.h"
#include "rng.h"

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define MAX 4

/* Passes the text in parts of so many bytes. */
static char *trim_parts(const char *text, size_t part, size_t max)
{
	struct jsontrim trim = { .max = max };
	size_t i, count = 0, len = strlen(text);
	char *dst = xcalloc(len + 1, 1);

	for (i = 0; i < len; i += part)
		count += jsontrim(&trim, dst + count, text + i,
				  part < len - i ? part : len - i);
	return dst;
}

/*
 * Guards against a string that can be used and is changed, and against one that
 * is cut within a character or an escape, which makes the whole text
 * unreadable.
 */
static void test_cut(void **state)
{
	static const struct {
		const char *text, *expected;
	} cases[] = {
		{ "{\"a\":[1,\"abcd\",true]}", "{\"a\":[1,\"abcd\",true]}" },
		{ "[\"abcde\"]", "[\"abcde\"]" },
		{ "[\"abcdef\",\"xyz\",7]", "[\"abcde\",\"xyz\",7]" },
		{ "[\"\",\"abcdefghijk\",\"\"]", "[\"\",\"abcde\",\"\"]" },
		{ "[\"abc\\\"\\\"fgh\"]", "[\"abc\\\"\\\"\"]" },
		{ "[\"abcd\\\\\\\\\"]", "[\"abcd\\\\\"]" },
		{ "[\"abcdefg\\\"h\\\\\"]", "[\"abcde\"]" },
		{ "[\"abcd\\u0041\\u0042\"]", "[\"abcd\\u0041\"]" },
		{ "[\"abcd\\uD83D\\uDE00ef\"]", "[\"abcd\\uD83D\\uDE00\"]" },
		{ "[\"abcde\\ud83d\\ude00\"]", "[\"abcde\"]" },
		{ "[\"abcd\xC3\xA9\xC3\xA9\"]", "[\"abcd\xC3\xA9\"]" },
		{ "[\"\xF0\x9F\x98\x80g\xC3\xA9\"]",
		  "[\"\xF0\x9F\x98\x80g\"]" },
		{ "[\"abcdef", "[\"abcde" },
	};
	size_t i, part;

	for (i = 0; i < COUNT(cases); i++)
		for (part = 1; part <= strlen(cases[i].text); part++) {
			char *text = trim_parts(cases[i].text, part, MAX);

			assert_string_equal(text, cases[i].expected);
			free(text);
		}
}

static char *random_string(struct rng *rng)
{
	static const char *const characters[] = {
		"a",	    "\"",	    "\\",
		"\n",	    "\x01",	    "/",
		"\xC3\xA9", "\xE2\x82\xAC", "\xF0\x9F\x98\x80",
	};
	size_t i, count = rng_below(rng, 40);
	char *text = xcalloc(4 * count + 1, 1);

	for (i = 0; i < count; i++)
		strcat(text, characters[rng_below(rng, COUNT(characters))]);
	return text;
}

/* The same for any text that a serializer makes. */
static void test_random(void **state)
{
	struct rng rng = { 1 };
	int i;

	for (i = 0; i < 2000; i++) {
		char *string = random_string(&rng);
		size_t max = rng_below(&rng, 60), len = strlen(string);
		json_t *root = json_pack("[s,i]", string, 7), *trimmed;
		char *text = json_dumps(root, i % 2 ? JSON_ENSURE_ASCII : 0);
		char *cut = trim_parts(text, 1 + rng_below(&rng, 9), max);
		const char *left;

		trimmed = json_loads(cut, 0, NULL);
		assert_non_null(trimmed);
		left = json_string_value(json_array_get(trimmed, 0));
		assert_int_equal(strncmp(left, string, strlen(left)), 0);
		if (len <= max)
			assert_int_equal(strlen(left), len);
		else
			assert_true(strlen(left) > max);
		assert_true(strlen(cut) <= 6 * (max + 8) + 8);
		json_decref(trimmed);
		json_decref(root);
		free(cut);
		free(text);
		free(string);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cut),
		cmocka_unit_test(test_random),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
