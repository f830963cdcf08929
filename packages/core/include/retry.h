#ifndef CATKINHILL_RETRY_H
#define CATKINHILL_RETRY_H

#include <stdint.h>

#include "mstime.h"

/*
 * NAME
 *	retry - budget that bounds the extra attempts of an entry
 *
 * NOTES
 *	Each request earns percent/100 of a retry, at most RETRY_SAVED of
 *	them are kept; besides, floor retries a second are always allowed.
 *
 * SOURCE
 *	Beyer et al., Site Reliability Engineering, chapter 21.
 */
#define RETRY_SAVED 20 /* a burst of failures after a quiet time */

struct retry {
	int64_t earned_milli; /* thousandths of a retry */
	int64_t floor_milli;
	struct mstime filled_at;
	int64_t percent;
	int64_t floor;
};

void retry_init(struct retry *retry, int64_t percent, int64_t floor,
		struct mstime now);
void retry_set(struct retry *retry, int64_t percent, int64_t floor);

/* A new request, not an attempt of an old one. */
void retry_request(struct retry *retry);

/* RETURN VALUE: 1 when one more attempt is allowed; it is then used up. */
int retry_take(struct retry *retry, struct mstime now);

#endif
