#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "rng.h"
#include "streams.h"

#define OLD 1
#define NEW 2

static struct streams streams;

static struct stream *open_stream(void)
{
	struct stream *stream;

	streams_init(&streams);
	stream = stream_new(&streams, "stock /recalls", "", NULL);
	stream_join(stream);
	stream_open(stream, OLD);
	return stream;
}

static size_t feed(struct stream *stream, uint64_t source, const char *text,
		   char *out)
{
	struct span ready;

	assert_int_equal(
		stream_feed(stream, source, text, strlen(text), &ready), 0);
	if (ready.len)
		memcpy(out, ready.data, ready.len);
	out[ready.len] = '\0';
	return ready.len;
}

/* Guards against callers that join, or move, in the middle of an event. */
static void test_whole_events(void **state)
{
	static const struct {
		const char *in, *out;
	} steps[] = {
		{ "id: 1\nda", "" },
		{ "ta: x\n", "" },
		{ "\nid: 2\n", "id: 1\ndata: x\n\n" },
		{ "data: y\r\n\r", "" },
		{ "\n: ping\n\n", "id: 2\ndata: y\r\n\r\n: ping\n\n" },
	};
	struct stream *stream = open_stream();
	char out[256];
	size_t i;

	for (i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		feed(stream, OLD, steps[i].in, out);
		assert_string_equal(out, steps[i].out);
	}
	assert_string_equal(stream_move_begin(stream), "2");
	stream_delete(stream);
}

/* Guards against a caller that misses events by joining. */
static void test_who_joins(void **state)
{
	struct stream *stream;
	char out[256];

	streams_init(&streams);
	stream = stream_new(&streams, "k", "5", NULL);
	assert_ptr_equal(streams_find(&streams, "k", "5"), stream);
	assert_null(streams_find(&streams, "k", ""));
	assert_null(streams_find(&streams, "other", "5"));
	stream_open(stream, OLD);
	feed(stream, OLD, "id: 6\ndata: x\n\n", out);
	assert_null(streams_find(&streams, "k", "5"));
	assert_ptr_equal(streams_find(&streams, "k", "6"), stream);
	assert_ptr_equal(streams_find(&streams, "k", ""), stream);
	stream_join(stream);
	stream_join(stream);
	assert_int_equal(stream_leave(stream), 1);
	assert_int_equal(stream_leave(stream), 0);
	stream_delete(stream);
}

/*
 * Guards against events that are lost or doubled by a move: the old upstream
 * goes on while the new one is asked, and the move fails or succeeds.
 */
static void test_move(void **state)
{
	struct stream *stream = open_stream();
	char out[256];

	feed(stream, OLD, "id: 1\ndata: x\n\nid: 2\nda", out);
	assert_string_equal(stream_move_begin(stream), "1");
	feed(stream, OLD, "ta: y\n\nid: 3\n", out);
	assert_string_equal(out, "");
	assert_int_equal(stream_feed(stream, NEW, "", 0, &(struct span){ 0 }),
			 ERR_NOT_FOUND);
	stream_move_done(stream, NEW);
	feed(stream, NEW, "id: 2\ndata: y\n\n", out);
	assert_string_equal(out, "id: 2\ndata: y\n\n");
	assert_int_equal(stream_feed(stream, OLD, "x", 1, &(struct span){ 0 }),
			 ERR_NOT_FOUND);
	stream_delete(stream);
}

static void test_move_that_fails(void **state)
{
	struct stream *stream = open_stream();
	struct span ready;
	char out[256];

	feed(stream, OLD, "id: 1\ndata: x\n\n", out);
	stream_move_begin(stream);
	feed(stream, OLD, "id: 2\ndata: y\n\nid: 3\nda", out);
	stream_move_failed(stream, &ready);
	assert_int_equal(ready.len, strlen("id: 2\ndata: y\n\n"));
	feed(stream, OLD, "ta: z\n\n", out);
	assert_string_equal(out, "id: 3\ndata: z\n\n");
	assert_string_equal(stream_move_begin(stream), "3");
	stream_delete(stream);
}

/* Guards against a move that would silently lose events. */
static void test_events_without_id(void **state)
{
	static const struct {
		const char *in, *id;
	} cases[] = {
		{ "", "" },
		{ ": ping\n\n", "" },
		{ "data: x\n\n", NULL },
		{ "id: 1\ndata: x\n\ndata: y\n\n", NULL },
		{ "data: x\n\nid: 2\ndata: y\n\n", "2" },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct stream *stream = open_stream();
		const char *id;
		char out[256];

		feed(stream, OLD, cases[i].in, out);
		id = stream_move_begin(stream);
		if (cases[i].id)
			assert_string_equal(id, cases[i].id);
		else
			assert_null(id);
		stream_delete(stream);
	}
}

static void test_bound(void **state)
{
	static char big[STREAM_BUFFER_MAX];
	struct stream *stream = open_stream();
	struct span ready;

	memset(big, 'x', sizeof(big));
	assert_int_equal(stream_feed(stream, OLD, big, sizeof(big), &ready), 0);
	assert_int_equal(stream_feed(stream, OLD, big, 1, &ready),
			 ERR_TOO_LARGE);
	stream_delete(stream);
}

/* The same bytes must give the same events however they are cut up. */
static void test_any_cut(void **state)
{
	static const char text[] = "id: 1\ndata: a\ndata: b\n\n: c\r\n\r\n"
				   "id: 2\r\ndata: d\r\n\r\nid\ndata: e\n\n";
	struct rng rng;
	int round;

	rng_seed(&rng, 11);
	for (round = 0; round < 500; round++) {
		struct stream *stream = open_stream();
		size_t at = 0, got = 0, len = strlen(text);
		char all[sizeof(text)];

		while (at < len) {
			size_t part = 1 + rng_below(&rng, 9);
			struct span ready;

			if (part > len - at)
				part = len - at;
			assert_int_equal(stream_feed(stream, OLD, text + at,
						     part, &ready),
					 0);
			if (ready.len)
				memcpy(all + got, ready.data, ready.len);
			got += ready.len;
			at += part;
		}
		assert_int_equal(got, len);
		assert_memory_equal(all, text, len);
		assert_string_equal(stream_move_begin(stream), "");
		stream_delete(stream);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_whole_events),
		cmocka_unit_test(test_who_joins),
		cmocka_unit_test(test_move),
		cmocka_unit_test(test_move_that_fails),
		cmocka_unit_test(test_events_without_id),
		cmocka_unit_test(test_bound),
		cmocka_unit_test(test_any_cut),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
