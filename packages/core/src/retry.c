#include "retry.h"

#define MILLI 1000

void retry_init(struct retry *retry, int64_t percent, int64_t floor,
		struct mstime now)
{
	retry->earned_milli = 0;
	retry->floor_milli = floor * MILLI;
	retry->filled_at = now;
	retry_set(retry, percent, floor);
}

void retry_set(struct retry *retry, int64_t percent, int64_t floor)
{
	retry->percent = percent;
	retry->floor = floor;
}

void retry_request(struct retry *retry)
{
	retry->earned_milli += retry->percent * (MILLI / 100);
	if (retry->earned_milli > RETRY_SAVED * MILLI)
		retry->earned_milli = RETRY_SAVED * MILLI;
}

static void fill_floor(struct retry *retry, struct mstime now)
{
	int64_t passed = mstime_diff(now, retry->filled_at);

	if (passed <= 0)
		return;
	/* A second of refill is the most that can be kept. */
	if (passed > 1000)
		passed = 1000;
	retry->floor_milli += passed * retry->floor;
	if (retry->floor_milli > retry->floor * MILLI)
		retry->floor_milli = retry->floor * MILLI;
	retry->filled_at = now;
}

int retry_take(struct retry *retry, struct mstime now)
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
