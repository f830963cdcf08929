#include "retry.h"

#define MILLI 1000

void retry_init(struct retry_budget *retry, int64_t percent, int64_t floor,
		struct mstime now)
{
	retry->earned_milli = 0;
	retry->floor_milli = floor * MILLI;
	retry->refilled_at = now;
	retry_set_limits(retry, percent, floor);
}

void retry_set_limits(struct retry_budget *retry, int64_t percent,
		      int64_t floor)
{
	retry->percent = percent;
	retry->floor_per_s = floor;
}

void retry_count_request(struct retry_budget *retry)
{
	retry->earned_milli += retry->percent * (MILLI / 100);
	if (retry->earned_milli > RETRY_EARNED_MAX * MILLI)
		retry->earned_milli = RETRY_EARNED_MAX * MILLI;
}

static void fill_floor(struct retry_budget *retry, struct mstime now)
{
	int64_t passed = mstime_diff(now, retry->refilled_at);

	if (passed <= 0)
		return;
	/* A second of refill is the most that can be kept. */
	if (passed > 1000)
		passed = 1000;
	retry->floor_milli += passed * retry->floor_per_s;
	if (retry->floor_milli > retry->floor_per_s * MILLI)
		retry->floor_milli = retry->floor_per_s * MILLI;
	retry->refilled_at = now;
}

int retry_take(struct retry_budget *retry, struct mstime now)
{
	fill_floor(retry, now);
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
