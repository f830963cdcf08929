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

static void refill_floor(struct retry *retry, struct mstime now)
{
	int64_t elapsed_ms = mstime_diff(now, retry->filled_at);

	if (elapsed_ms <= 0)
		return;
	/* At most one second's worth of retries is kept. */
	if (elapsed_ms > 1000)
		elapsed_ms = 1000;
	retry->floor_milli += elapsed_ms * retry->floor;
	if (retry->floor_milli > retry->floor * MILLI)
		retry->floor_milli = retry->floor * MILLI;
	retry->filled_at = now;
}

int retry_take(struct retry *retry, struct mstime now)
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
