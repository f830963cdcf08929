#ifndef CATKINHILL_RETRY_H
#define CATKINHILL_RETRY_H

#include <stdint.h>

#include "mstime.h"

/*
 * NAME
 *	retry - budget that limits the retries of an entry
 *
 * NOTES
 *	Each request earns percent/100 of a retry, and at most
 *	RETRY_EARNED_MAX earned retries are kept. In addition, floor_per_s
 *	retries per second are always allowed.
 *
 * SOURCE
 *	Beyer et al., Site Reliability Engineering, chapter 21.
 */
#define RETRY_EARNED_MAX 20 /* for a burst of failures after a quiet period */

struct retry_budget {
	int64_t earned_milli; /* thousandths of a retry */
	int64_t floor_milli;  /* the same, left of those always allowed */
	struct mstime refilled_at;
	int64_t percent;
	int64_t floor_per_s;
};

void retry_init(struct retry_budget *retry, int64_t percent,
		int64_t floor_per_s, struct mstime now);
void retry_set_limits(struct retry_budget *retry, int64_t percent,
		      int64_t floor_per_s);

/* Counts a new request; to be called once, not for each of its attempts. */
void retry_count_request(struct retry_budget *retry);

/* RETURN VALUE: 1 if a retry is allowed, which is then used up, or else 0. */
int retry_take(struct retry_budget *retry, struct mstime now);

#endif
