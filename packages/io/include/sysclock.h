#ifndef CATKINHILL_SYSCLOCK_H
#define CATKINHILL_SYSCLOCK_H

#include "mstime.h"

/*
 * NAME
 *	sysclock_now - time on the monotonic clock
 *
 * NOTES
 *	Keeps running while the process is stopped or the system is suspended
 *	(CLOCK_BOOTTIME), so that a lease holder that was paused sees that its
 *	lease has expired.
 */
struct mstime sysclock_now(void);

/* Milliseconds since 1970 (UTC), only for identifiers and for display. */
int64_t sysclock_wall_ms(void);

#endif
