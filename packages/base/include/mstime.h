#ifndef CATKINHILL_MSTIME_H
#define CATKINHILL_MSTIME_H

#include <stdint.h>

/*
 * NAME
 *	mstime - a point on a process's monotonic clock, in milliseconds
 *
 * NOTES
 *	Values of different processes cannot be compared. Durations are plain
 *	int64_t milliseconds in variables whose names end in _ms.
 */
struct mstime {
	int64_t ms;
};

static inline struct mstime mstime_from(int64_t ms)
{
	struct mstime t = { ms };

	return t;
}

static inline struct mstime mstime_add(struct mstime t, int64_t delta_ms)
{
	t.ms += delta_ms;
	return t;
}

/* Milliseconds from b to a; negative when a is earlier. */
static inline int64_t mstime_diff(struct mstime a, struct mstime b)
{
	return a.ms - b.ms;
}

static inline int mstime_before(struct mstime a, struct mstime b)
{
	return a.ms < b.ms;
}

static inline struct mstime mstime_max(struct mstime a, struct mstime b)
{
	return a.ms < b.ms ? b : a;
}

static inline struct mstime mstime_min(struct mstime a, struct mstime b)
{
	return a.ms < b.ms ? a : b;
}

#endif
