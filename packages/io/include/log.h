#ifndef CATKINHILL_LOG_H
#define CATKINHILL_LOG_H

#include <stdio.h>

#include "events.h"

/*
 * NAME
 *	log - writes numbered events, one line each
 *
 * NOTES
 *	A line reads
 *	    2026-01-31T06:00:00.123Z info 1001 route-chosen id=e1 req=7 ...
 *	Fields are key=value; the caller passes them as one format. A value
 *	with spaces is put in double quotes by the caller.
 *	Logging never blocks: a line is dropped when the reader does not keep
 *	up, or when its event has reached its limit of lines in this second.
 *	The number of dropped lines (EV_LOG_DROPPED) is logged before the next
 *	line that is written.
 */
void log_init(FILE *out, enum log_level max_level, const char *process_id);

void log_event(enum event_number event, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

#endif
