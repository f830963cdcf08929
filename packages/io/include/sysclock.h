#ifndef CATKINHILL_SYSCLOCK_H
#define CATKINHILL_SYSCLOCK_H

#include "mstime.h"

/*
 * NAME
 *	sysclock_now - time on the monotonic clock
 *
 * NOTES
 *	Goes on while the process is stopped or the system is suspended
 *	(CLOCK_BOOTTIME), so that a paused holder sees its lease expired.
 */
struct mstime sysclock_now(void);

/* Milliseconds since 1970, for identifiers and reports to people only. */
int64_t sysclock_wall_ms(void);

#endif
