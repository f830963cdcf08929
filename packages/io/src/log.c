#include "log.h"

#include <poll.h>
#include <stdarg.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "sysclock.h"

/*
 * A pipe that poll(2) finds writable takes a write of PIPE_BUF bytes without
 * blocking and as a whole.
 */
#define LINE_MAX_BYTES 4096
/* Lines a second of one event; a busy scheduler assigns 100 runs a second. */
#define EVENT_BUDGET 400
#define EVENTS_MAX 256

struct budget {
	int64_t second;
	int lines;
};

static FILE *log_out;
static enum log_level log_max_level = LOG_INFO;
static const char *log_process_id = "-";
static struct budget budgets[EVENTS_MAX];
static long dropped; /* lines since the last one that was written */

void log_init(FILE *out, enum log_level max_level, const char *process_id)
{
	log_out = out;
	log_max_level = max_level;
	log_process_id = process_id;
}

/* RETURN VALUE: length of the line's head. */
static size_t format_head(char *line, size_t size,
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

/* RETURN VALUE: 1 when the line was written; it is cut if it is too long. */
static int write_line(const struct event_info *info, const char *fmt,
		      va_list args)
{
	FILE *out = log_out ? log_out : stderr;
	char line[LINE_MAX_BYTES];
	size_t len;
	int more;

	if (!can_write(fileno(out)))
		return 0;
	len = format_head(line, sizeof(line) - 1, info);
	more = vsnprintf(line + len, sizeof(line) - 1 - len, fmt, args);
	if (more > 0)
		len += (size_t)more;
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

static int within_budget(const struct event_info *info)
{
	size_t count, index = (size_t)(info - event_table(&count));
	struct budget *budget = &budgets[index % EVENTS_MAX];
	int64_t second = sysclock_now().ms / 1000;

	if (budget->second != second) {
		budget->second = second;
		budget->lines = 0;
	}
	return budget->lines++ < EVENT_BUDGET;
}

static void report_dropped(void)
{
	if (dropped &&
	    write_event(event_find(EV_LOG_DROPPED), "lines=%ld", dropped))
		dropped = 0;
}

void log_event(enum event_number event, const char *fmt, ...)
{
	const struct event_info *info = event_find(event);
	va_list args;

	if (!info || info->level > log_max_level)
		return;
	if (!within_budget(info)) {
		dropped++;
		return;
	}
	report_dropped();
	va_start(args, fmt);
	if (!write_line(info, fmt, args))
		dropped++;
	va_end(args);
}
