#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "rng.h"
#include "streams.h"

#define OLD_SOURCE 1
#define NEW_SOURCE 2

static struct streams streams;

static struct stream *open_stream(void)
{
	struct stream *stream;

	streams_init(&streams);
	stream = stream_new(&streams, "stock /recalls", "", NULL);
	stream_join(stream);
	stream_open(stream, OLD_SOURCE);
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

/*
 * Guards against a caller that joins, or a stream that moves, in the middle
 * of an event.
 */
static void test_complete_events(void **state)
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
		feed(stream, OLD_SOURCE, steps[i].in, out);
		assert_string_equal(out, steps[i].out);
	}
	assert_string_equal(stream_move_begin(stream), "2");
	stream_delete(stream);
}

/* Guards against a caller that misses events by joining a stream. */
static void test_find_and_join(void **state)
{
	struct stream *stream;
	char out[256];

	streams_init(&streams);
	stream = stream_new(&streams, "k", "5", NULL);
	assert_ptr_equal(streams_find(&streams, "k", "5"), stream);
	assert_null(streams_find(&streams, "k", ""));
	assert_null(streams_find(&streams, "other", "5"));
	stream_open(stream, OLD_SOURCE);
	feed(stream, OLD_SOURCE, "id: 6\ndata: x\n\n", out);
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
 * Guards against events that are lost or duplicated by a move: the old
 * upstream goes on sending while the new one is asked, and the move then
 * succeeds or, in test_move_fails(), fails.
 */
static void test_move_succeeds(void **state)
{
	struct stream *stream = open_stream();
	char out[256];

	feed(stream, OLD_SOURCE, "id: 1\ndata: x\n\nid: 2\nda", out);
	assert_string_equal(stream_move_begin(stream), "1");
	feed(stream, OLD_SOURCE, "ta: y\n\nid: 3\n", out);
	assert_string_equal(out, "");
	assert_int_equal(
		stream_feed(stream, NEW_SOURCE, "", 0, &(struct span){ 0 }),
		ERR_NOT_FOUND);
	stream_move_done(stream, NEW_SOURCE);
	feed(stream, NEW_SOURCE, "id: 2\ndata: y\n\n", out);
	assert_string_equal(out, "id: 2\ndata: y\n\n");
	assert_int_equal(
		stream_feed(stream, OLD_SOURCE, "x", 1, &(struct span){ 0 }),
		ERR_NOT_FOUND);
	stream_delete(stream);
}

static void test_move_fails(void **state)
{
	struct stream *stream = open_stream();
	struct span ready;
	char out[256];

	feed(stream, OLD_SOURCE, "id: 1\ndata: x\n\n", out);
	stream_move_begin(stream);
	feed(stream, OLD_SOURCE, "id: 2\ndata: y\n\nid: 3\nda", out);
	stream_move_failed(stream, &ready);
	assert_int_equal(ready.len, strlen("id: 2\ndata: y\n\n"));
	feed(stream, OLD_SOURCE, "ta: z\n\n", out);
	assert_string_equal(out, "id: 3\ndata: z\n\n");
	assert_string_equal(stream_move_begin(stream), "3");
	stream_delete(stream);
}

/* Guards against a move that silently loses events without an id. */
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

		feed(stream, OLD_SOURCE, cases[i].in, out);
		id = stream_move_begin(stream);
		if (cases[i].id)
			assert_string_equal(id, cases[i].id);
		else
			assert_null(id);
		stream_delete(stream);
	}
}

static void test_buffer_limit(void **state)
{
	static char big[STREAM_BUFFER_MAX];
	struct stream *stream = open_stream();
	struct span ready;

	memset(big, 'x', sizeof(big));
	assert_int_equal(
		stream_feed(stream, OLD_SOURCE, big, sizeof(big), &ready), 0);
	assert_int_equal(stream_feed(stream, OLD_SOURCE, big, 1, &ready),
			 ERR_TOO_LARGE);
	stream_delete(stream);
}

/* The same bytes must give the same events however they are split. */
static void test_random_chunks(void **state)
{
	static const char text[] = "id: 1\ndata: a\ndata: b\n\n: c\r\n\r\n"
				   "id: 2\r\ndata: d\r\n\r\nid\ndata: e\n\n";
	struct rng rng;
	int round;

	rng_seed(&rng, 11);
	for (round = 0; round < 500; round++) {
		struct stream *stream = open_stream();
		size_t offset = 0, delivered_len = 0, len = strlen(text);
		char delivered[sizeof(text)];

		while (offset < len) {
			size_t chunk_len = 1 + rng_below(&rng, 9);
			struct span ready;

			if (chunk_len > len - offset)
				chunk_len = len - offset;
			assert_int_equal(stream_feed(stream, OLD_SOURCE,
						     text + offset, chunk_len,
						     &ready),
					 0);
			if (ready.len)
				memcpy(delivered + delivered_len, ready.data,
				       ready.len);
			delivered_len += ready.len;
			offset += chunk_len;
		}
		assert_int_equal(delivered_len, len);
		assert_memory_equal(delivered, text, len);
		assert_string_equal(stream_move_begin(stream), "");
		stream_delete(stream);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_complete_events),
		cmocka_unit_test(test_find_and_join),
		cmocka_unit_test(test_move_succeeds),
		cmocka_unit_test(test_move_fails),
		cmocka_unit_test(test_events_without_id),
		cmocka_unit_test(test_buffer_limit),
		cmocka_unit_test(test_random_chunks),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
