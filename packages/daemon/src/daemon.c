#include "daemon.h"

#include <stdlib.h>
#include <sys/random.h>

#include "sysclock.h"

uint64_t daemon_new_incarnation(void)
{
	uint64_t seconds = (uint64_t)(sysclock_wall_ms() / 1000);
	uint32_t random_bits;

	if (getrandom(&random_bits, sizeof(random_bits), 0) !=
	    (ssize_t)sizeof(random_bits))
		abort();
	return seconds << 32 | random_bits;
}
