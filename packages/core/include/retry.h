#ifndef CATKINHILL_RETRY_H
#define CATKINHILL_RETRY_H

#include <stdint.h>

#include "mstime.h"

/*
 * NAME
 *	retry - budget that bounds the extra attempts of an entry
 *
 * NOTES
 *	Each request earns percent/100 of a retry, at most RETRY_EARNED_MAX of
 *	them are kept; besides, floor retries a second are always allowed.
 *
 * SOURCE
 *	Beyer et al., Site Reliability Engineering, chapter 21.
 */
#define RETRY_EARNED_MAX 20 /* a burst of failures after a quiet time */

struct retry_budget {
	int64_t earned_milli; /* thousandths of a retry */
	int64_t floor_milli;
	struct mstime refilled_at;
	int64_t percent;
	int64_t floor_per_s;
};

void retry_init(struct retry_budget *retry, int64_t percent, int64_t floor,
		struct mstime now);
void retry_set_limits(struct retry_budget *retry, int64_t percent,
		      int64_t floor);

/* A new request, not an attempt of an old one. */
void retry_count_request(struct retry_budget *retry);

/* RETURN VALUE: 1 when one more attempt is allowed; it is then used up. */
int retry_take(struct retry_budget *retry, struct mstime now);

#endif
