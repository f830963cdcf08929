#include "interference_probe.h"

#include <math.h>

#include "interference_fit.h"

/* Level of a probe: high enough that the effect exceeds the noise. */
#define PROBE_LEVEL 30.0
/* The smoothed excess needs this to show nearly all of the effect. */
#define PROBE_MS 4000
/* After this a share is measured again, because tasks change. */
#define PROBE_VALID_MS 120000
/* Least part of the excess that a proved share accounts for. */
#define PROVED_PART 0.25
/* Standard errors by which an effect exceeds the noise. */
#define CONFIDENT 2.0

void probe_invalidate(struct interference_class *class)
{
	class->has_probe_result = 0;
	class->excess_share = 0;
}

static void end(struct interference *in, struct mstime now)
{
	struct interference_class *class = in->probed_class;

	class->level_percent = INTERFERENCE_FLOOR_PERCENT;
	class->cut_at = now;
	in->level_changed_at = now;
	in->probed_class = NULL;
}

void probe_abort(struct interference *in, struct mstime now)
{
	if (in->probed_class)
		end(in, now);
}

static void measure(struct interference *in, struct mstime now)
{
	struct interference_class *class = in->probed_class;
	double effect = in->excess - in->excess_before_probe;
	double error = interference_excess_error(in) * M_SQRT2;

	class->excess_share =
		effect > CONFIDENT * error
			? effect * INTERFERENCE_FLOOR_PERCENT /
				  (PROBE_LEVEL - INTERFERENCE_FLOOR_PERCENT)
			: 0;
	class->has_probe_result = 1;
	class->probed_at = now;
	end(in, now);
}

static int may_probe(const struct interference_class *class, struct mstime now)
{
	if (!class->task_count || !class->at_floor)
		return 0;
	if (class->has_probe_result &&
	    mstime_diff(now, class->probed_at) < PROBE_VALID_MS)
		return 0;
	return mstime_diff(now, class->cut_at) >= INTERFERENCE_RESTORE_DELAY_MS;
}

/* RETURN VALUE: the most suspicious class without a fresh share, or NULL. */
static struct interference_class *choose(struct interference *in,
					 struct mstime now)
{
	struct interference_class *best = NULL;
	double most = -INFINITY;
	size_t i;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++) {
		struct interference_class *class = &in->classes[i];
		double part = fit_weight_upper(in, i) * class->usage_share;

		if (probe_excess_share(in, class) > 0)
			return NULL;
		if (!may_probe(class, now) || part <= most)
			continue;
		most = part;
		best = class;
	}
	return best;
}

int probe_step(struct interference *in, struct mstime now)
{
	struct interference_class *class = in->probed_class;

	if (class && !class->task_count) {
		probe_abort(in, now);
		return 0;
	}
	if (class) {
		if (mstime_diff(now, in->level_changed_at) >= PROBE_MS)
			measure(in, now);
		return 1;
	}
	if (mstime_diff(now, in->level_changed_at) < INTERFERENCE_LAG_MS)
		return 0;
	class = choose(in, now);
	if (!class)
		return 0;
	class->level_percent = PROBE_LEVEL;
	in->level_changed_at = now;
	in->excess_before_probe = in->excess;
	in->probed_class = class;
	return 1;
}

double probe_excess_share(const struct interference *in,
			  const struct interference_class *class)
{
	if (!class->has_probe_result ||
	    class->excess_share < PROVED_PART * in->excess)
		return 0;
	return class->excess_share;
}
