#ifndef CATKINHILL_PROCSTAT_H
#define CATKINHILL_PROCSTAT_H

#include <stdint.h>

/*
 * NAME
 *	procstat - CPU time and memory of this process
 */
struct procstat {
	int64_t cpu_ms;	   /* user and system time of all threads */
	int64_t rss_bytes; /* resident memory now; 0 when unknown */
};

struct procstat procstat_read(void);

#endif
