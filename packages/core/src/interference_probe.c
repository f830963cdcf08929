#include "interference_probe.h"

#include <math.h>

#include "interference_fit.h"

/* Level during a probe: high enough that the effect exceeds the noise. */
#define PROBE_LEVEL_PERCENT 30.0
/* The smoothed excess shows nearly all of the effect after this time. */
#define PROBE_MS 4000
/* A result is measured again after this time, because tasks change. */
#define PROBE_VALID_MS 120000
/* A share below this fraction of the excess is ignored. */
#define SHARE_FRACTION_MIN 0.25
/* Standard errors from which on an effect is significant. */
#define SIGNIFICANT_ERRORS 2.0

void probe_invalidate(struct interference_class *class)
{
	class->has_probe_result = 0;
	class->excess_share = 0;
}

static void end_probe(struct interference *in, struct mstime now)
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
		end_probe(in, now);
}

static void finish_probe(struct interference *in, struct mstime now)
{
	struct interference_class *class = in->probed_class;
	double effect = in->excess - in->excess_before_probe;
	double error = interference_excess_error(in) * M_SQRT2;

	class->excess_share = effect > SIGNIFICANT_ERRORS * error
				      ? effect * INTERFERENCE_FLOOR_PERCENT /
						(PROBE_LEVEL_PERCENT -
						 INTERFERENCE_FLOOR_PERCENT)
				      : 0;
	class->has_probe_result = 1;
	class->probed_at = now;
	end_probe(in, now);
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

/*
 * RETURN VALUE
 *	The class without a valid result with the highest upper bound of its
 *	effect; NULL if there is none or a class has a share already.
 */
static struct interference_class *choose_class(struct interference *in,
					       struct mstime now)
{
	struct interference_class *best = NULL;
	double highest = -INFINITY;
	size_t i;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++) {
		struct interference_class *class = &in->classes[i];
		double part = fit_weight_upper(in, i) * class->usage_share;

		if (probe_excess_share(in, class) > 0)
			return NULL;
		if (!may_probe(class, now) || part <= highest)
			continue;
		highest = part;
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
			finish_probe(in, now);
		return 1;
	}
	if (mstime_diff(now, in->level_changed_at) < INTERFERENCE_LAG_MS)
		return 0;
	class = choose_class(in, now);
	if (!class)
		return 0;
	class->level_percent = PROBE_LEVEL_PERCENT;
	in->level_changed_at = now;
	in->excess_before_probe = in->excess;
	in->probed_class = class;
	return 1;
}

double probe_excess_share(const struct interference *in,
			  const struct interference_class *class)
{
	if (!class->has_probe_result ||
	    class->excess_share < SHARE_FRACTION_MIN * in->excess)
		return 0;
	return class->excess_share;
}

int probe_shows_none(const struct interference *in)
{
	size_t i;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++) {
		const struct interference_class *class = &in->classes[i];

		if (class->task_count && (!class->has_probe_result ||
					  probe_excess_share(in, class) > 0))
			return 0;
	}
	return 1;
}
