#include "log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define LINE_COUNT 3000
#define EVENT_BUDGET 400 /* lines a second; see docs/OPERATIONS.md */
#define BUFFER_SIZE (1024 * 1024)

struct pipe_log {
	int fds[2];
	FILE *out;
	char *buffer;
};

static void pipe_open(struct pipe_log *log)
{
	assert_int_equal(pipe(log->fds), 0);
	log->out = fdopen(log->fds[1], "w");
	log->buffer = calloc(1, BUFFER_SIZE);
	log_init(log->out, LOG_INFO, "test");
}

static void pipe_close(struct pipe_log *log)
{
	log_init(stderr, LOG_INFO, "test");
	fclose(log->out);
	close(log->fds[0]);
	free(log->buffer);
}

/*
 * Reads what is in the pipe. Logs one more event first, so that the read
 * does not block on an empty pipe.
 */
static const char *pipe_read(struct pipe_log *log)
{
	ssize_t len;

	log_event(EV_DAEMON_STOPPED, "reason=end-of-test");
	len = read(log->fds[0], log->buffer, BUFFER_SIZE - 1);
	assert_true(len > 0);
	log->buffer[len] = '\0';
	return log->buffer;
}

static int count(const char *text, const char *pattern)
{
	int matches = 0;

	while ((text = strstr(text, pattern))) {
		matches++;
		text += strlen(pattern);
	}
	return matches;
}

/*
 * Guards against a process that blocks because nothing reads its log; the
 * test then hangs.
 */
static void test_full_pipe(void **state)
{
	struct pipe_log log;
	char *text = calloc(1, 3000);
	int i;

	memset(text, 'x', 2999);
	pipe_open(&log);
	for (i = 0; i < LINE_COUNT; i++)
		log_event(EV_DAEMON_START, "text=%s", text);
	assert_true(read(log.fds[0], log.buffer, BUFFER_SIZE - 1) > 0);
	assert_true(count(pipe_read(&log), " log-dropped ") == 1);
	free(text);
	pipe_close(&log);
}

/* Guards against a log that grows without limit under load. */
static void test_event_budget(void **state)
{
	struct pipe_log log;
	int i, lines;

	pipe_open(&log);
	for (i = 0; i < LINE_COUNT; i++)
		log_event(EV_DAEMON_STOPPING, "n=%d", i);
	lines = count(pipe_read(&log), " daemon-stopping ");
	/* The loop may run across the boundary of a second. */
	assert_in_range(lines, 1, 2 * EVENT_BUDGET);
	pipe_close(&log);
}

/*
 * Guards against a second line for each line of another event while one is
 * over its budget; drops are reported once a second.
 */
static void test_dropped_lines(void **state)
{
	struct pipe_log log;
	const char *text;
	int i;

	pipe_open(&log);
	for (i = 0; i < LINE_COUNT; i++) {
		log_event(EV_ELECTED, "n=%d", i);
		if (i % 30 == 0)
			log_event(EV_ELECTION_LOST, "n=%d", i);
	}
	text = pipe_read(&log);
	assert_in_range(count(text, " election-lost "), LINE_COUNT / 30,
			LINE_COUNT / 30);
	/* The loop may run across the boundary of a second. */
	assert_in_range(count(text, " log-dropped "), 0, 2);
	pipe_close(&log);
}

/* Guards against a long line that is not ended before the next one. */
static void test_long_line(void **state)
{
	struct pipe_log log;
	char *text = calloc(1, 10000);
	const char *read_text;

	memset(text, 'x', 9999);
	pipe_open(&log);
	log_event(EV_SETTINGS_INVALID, "text=%s", text);
	read_text = pipe_read(&log);
	assert_int_equal(count(read_text, "\n"), 2);
	assert_int_equal(count(read_text, " settings-invalid "), 1);
	free(text);
	pipe_close(&log);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_full_pipe),
		cmocka_unit_test(test_event_budget),
		cmocka_unit_test(test_dropped_lines),
		cmocka_unit_test(test_long_line),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
