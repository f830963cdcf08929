#include "sysclock.h"

#include <time.h>

static int64_t read_ms(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

struct mstime sysclock_now(void)
{
	return mstime_from(read_ms(CLOCK_BOOTTIME));
}

int64_t sysclock_wall_ms(void)
{
	return read_ms(CLOCK_REALTIME);
}
