#include "log.h"

#include <stdarg.h>
#include <sys/time.h>
#include <time.h>

static FILE *log_out;
static enum log_level log_max_level = LOG_INFO;
static const char *log_process_id = "-";

void log_init(FILE *out, enum log_level max_level, const char *process_id)
{
	log_out = out;
	log_max_level = max_level;
	log_process_id = process_id;
	setvbuf(out, NULL, _IOLBF, 0);
}

static void write_time(FILE *out)
{
	struct timeval now;
	struct tm tm;
	char text[32];

	gettimeofday(&now, NULL);
	gmtime_r(&now.tv_sec, &tm);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &tm);
	fprintf(out, "%s.%03dZ", text, (int)(now.tv_usec / 1000));
}

void log_event(enum event_number event, const char *fmt, ...)
{
	const struct event_info *info = event_find(event);
	FILE *out = log_out ? log_out : stderr;
	va_list args;

	if (!info || info->level > log_max_level)
		return;
	write_time(out);
	fprintf(out, " %s %d %s id=%s ", log_level_name(info->level),
		(int)event, info->name, log_process_id);
	va_start(args, fmt);
	vfprintf(out, fmt, args);
	va_end(args);
	fputc('\n', out);
}
