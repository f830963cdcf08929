#include "log.h"

#include <poll.h>
#include <stdarg.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "sysclock.h"

/*
 * PIPE_BUF: a pipe that poll(2) reports as writable takes a write of this size
 * atomically and without blocking.
 */
#define LINE_MAX_BYTES 4096
/* A busy scheduler assigns 100 runs per second, each with a line. */
#define EVENT_LINES_PER_SECOND_MAX 400
#define EVENTS_MAX 256
#define DROPPED_REPORT_INTERVAL_MS 1000

struct line_rate {
	int64_t second;
	int lines;
};

static FILE *log_out;
static enum log_level log_max_level = LOG_INFO;
static const char *log_process_id = "-";
static struct line_rate rates[EVENTS_MAX];
static long dropped_lines; /* since the last report of them */
static struct mstime dropped_reported_at;

void log_init(FILE *out, enum log_level max_level, const char *process_id)
{
	log_out = out;
	log_max_level = max_level;
	log_process_id = process_id;
}

/* RETURN VALUE: length of the line's prefix. */
static size_t format_prefix(char *line, size_t size,
			    const struct event_info *info)
{
	struct timeval now;
	struct tm tm;
	char text[32];
	int len;

	gettimeofday(&now, NULL);
	gmtime_r(&now.tv_sec, &tm);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &tm);
	len = snprintf(line, size, "%s.%03dZ %s %d %s id=%s ", text,
		       (int)(now.tv_usec / 1000), log_level_name(info->level),
		       (int)info->event, info->name, log_process_id);
	return len < (int)size ? (size_t)len : size - 1;
}

static int can_write(int fd)
{
	struct pollfd pollfd = { .fd = fd, .events = POLLOUT };

	return poll(&pollfd, 1, 0) == 1 && (pollfd.revents & POLLOUT);
}

/* RETURN VALUE: 1 when the line was written; a long one is truncated. */
static int write_line(const struct event_info *info, const char *fmt,
		      va_list args)
{
	FILE *out = log_out ? log_out : stderr;
	char line[LINE_MAX_BYTES];
	size_t len;
	int body_len;

	if (!can_write(fileno(out)))
		return 0;
	len = format_prefix(line, sizeof(line) - 1, info);
	body_len = vsnprintf(line + len, sizeof(line) - 1 - len, fmt, args);
	if (body_len > 0)
		len += (size_t)body_len;
	if (len > sizeof(line) - 2)
		len = sizeof(line) - 2;
	line[len++] = '\n';
	return write(fileno(out), line, len) == (ssize_t)len;
}

__attribute__((format(printf, 2, 3))) static int write_event(
	const struct event_info *info, const char *fmt, ...)
{
	va_list args;
	int written;

	va_start(args, fmt);
	written = write_line(info, fmt, args);
	va_end(args);
	return written;
}

static int is_within_rate_limit(const struct event_info *info)
{
	size_t count, index = (size_t)(info - event_table(&count));
	struct line_rate *rate = &rates[index % EVENTS_MAX];
	int64_t second = sysclock_now().ms / 1000;

	if (rate->second != second) {
		rate->second = second;
		rate->lines = 0;
	}
	return rate->lines++ < EVENT_LINES_PER_SECOND_MAX;
}

static void report_dropped(void)
{
	struct mstime now;

	if (!dropped_lines)
		return;
	now = sysclock_now();
	if (dropped_reported_at.ms &&
	    mstime_diff(now, dropped_reported_at) < DROPPED_REPORT_INTERVAL_MS)
		return;
	if (!write_event(event_find(EV_LOG_DROPPED), "lines=%ld",
			 dropped_lines))
		return;
	dropped_lines = 0;
	dropped_reported_at = now;
}

void log_event(enum event_number event, const char *fmt, ...)
{
	const struct event_info *info = event_find(event);
	va_list args;

	if (!info || info->level > log_max_level)
		return;
	if (!is_within_rate_limit(info)) {
		dropped_lines++;
		return;
	}
	report_dropped();
	va_start(args, fmt);
	if (!write_line(info, fmt, args))
		dropped_lines++;
	va_end(args);
}
