#include "retry.h"

#define MILLI 1000

void retry_init(struct retry_budget *retry, int64_t percent,
		int64_t floor_per_s, struct mstime now)
{
	retry->earned_milli = 0;
	retry->floor_milli = floor_per_s * MILLI;
	retry->refilled_at = now;
	retry_set_limits(retry, percent, floor_per_s);
}

void retry_set_limits(struct retry_budget *retry, int64_t percent,
		      int64_t floor_per_s)
{
	retry->percent = percent;
	retry->floor_per_s = floor_per_s;
}

void retry_count_request(struct retry_budget *retry)
{
	retry->earned_milli += retry->percent * (MILLI / 100);
	if (retry->earned_milli > RETRY_EARNED_MAX * MILLI)
		retry->earned_milli = RETRY_EARNED_MAX * MILLI;
}

static void refill_floor(struct retry_budget *retry, struct mstime now)
{
	int64_t elapsed_ms = mstime_diff(now, retry->refilled_at);

	if (elapsed_ms <= 0)
		return;
	/* At most one second's worth of retries is kept. */
	if (elapsed_ms > 1000)
		elapsed_ms = 1000;
	retry->floor_milli += elapsed_ms * retry->floor_per_s;
	if (retry->floor_milli > retry->floor_per_s * MILLI)
		retry->floor_milli = retry->floor_per_s * MILLI;
	retry->refilled_at = now;
}

int retry_take(struct retry_budget *retry, struct mstime now)
{
	refill_floor(retry, now);
	if (retry->earned_milli >= MILLI) {
		retry->earned_milli -= MILLI;
		return 1;
	}
	if (retry->floor_milli >= MILLI) {
		retry->floor_milli -= MILLI;
		return 1;
	}
	return 0;
}
