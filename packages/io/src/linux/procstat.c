#include "procstat.h"

#include <stdio.h>
#include <unistd.h>

#include <sys/resource.h>

static int64_t timeval_ms(const struct timeval *tv)
{
	return (int64_t)tv->tv_sec * 1000 + tv->tv_usec / 1000;
}

static int64_t read_rss(void)
{
	FILE *file = fopen("/proc/self/statm", "r");
	long size, resident = 0;

	if (!file)
		return 0;
	if (fscanf(file, "%ld %ld", &size, &resident) != 2)
		resident = 0;
	fclose(file);
	return (int64_t)resident * sysconf(_SC_PAGESIZE);
}

struct procstat procstat_read(void)
{
	struct procstat stat = { 0, read_rss() };
	struct rusage usage;

	if (!getrusage(RUSAGE_SELF, &usage))
		stat.cpu_ms = timeval_ms(&usage.ru_utime) +
			      timeval_ms(&usage.ru_stime);
	return stat;
}
