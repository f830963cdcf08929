#ifndef CATKINHILL_RETRY_H
#define CATKINHILL_RETRY_H

#include <stdint.h>

#include "mstime.h"

/*
 * NAME
 *	retry - budget that limits the retries of an entry
 *
 * NOTES
 *	Each request earns percent/100 of a retry, and at most RETRY_SAVED
 *	earned retries are kept. In addition, floor retries per second are
 *	always allowed.
 *
 * SOURCE
 *	Beyer et al., Site Reliability Engineering, chapter 21.
 */
#define RETRY_SAVED 20 /* for a burst of failures after a quiet period */

struct retry {
	int64_t earned_milli; /* thousandths of a retry */
	int64_t floor_milli;  /* the same, left of those always allowed */
	struct mstime filled_at;
	int64_t percent;
	int64_t floor;
};

void retry_init(struct retry *retry, int64_t percent, int64_t floor,
		struct mstime now);
void retry_set(struct retry *retry, int64_t percent, int64_t floor);

/* Counts a new request; to be called once, not for each of its attempts. */
void retry_request(struct retry *retry);

/* RETURN VALUE: 1 if a retry is allowed, which is then used up, or else 0. */
int retry_take(struct retry *retry, struct mstime now);

#endif
