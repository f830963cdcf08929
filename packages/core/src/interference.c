#include "interference.h"

#include <math.h>
#include <string.h>

#include "hash.h"
#include "interference_fit.h"
#include "interference_probe.h"
#include "interference_capacity.h"

/* Number of samples from which on the baseline is an exponential average. */
#define BASELINE_SAMPLES 120.0
/* With fewer, it may be that of a stall; another range's is preferred. */
#define BASELINE_SAMPLES_MIN 3.0
/* The same for its rise while all tasks are at the floor. */
#define FLOOR_BASELINE_SAMPLES 120.0
/* Relative deviation of one request's latency, for the error of a mean. */
#define REQUEST_DEVIATION 1.0
/* Fraction of the tolerance that a cut aims at, as a margin for noise. */
#define CUT_FRACTION 0.6
/* Levels are restored up to this fraction of the tolerance. */
#define RESTORE_FRACTION 0.9
/* Minimum time between two cuts, so that the latency reflects the first. */
#define CUT_INTERVAL_MS 2000
/* Fraction of the excess that a class to blame must account for. */
#define BLAMED_FRACTION 0.25
/* If this fraction of the excess remains at the floor, no task causes it. */
#define SERVICE_FRACTION 0.7
/* Decay per tick of the largest excess before the floor. */
#define PEAK_DECAY 0.98
/* Time constant of the excess that decides on restoring levels. */
#define LONG_TERM_TICKS 8
/* Time of one class at the floor before the next one is tried. */
#define TRIAL_MS 3000
/* Usual step of a level, and the smallest, which tests an old blame again. */
#define RESTORE_STEP 20.0
#define RESTORE_STEP_MIN 2.0
/* A class with a smaller effect than this, in tolerances, is always raised. */
#define HARMLESS_FRACTION 0.5
/* A predicted excess below this, in tolerances, counts as noise. */
#define BLAMED_TOLERANCES 1.5
#define EVICT_DELAY_MIN_MS 10000
#define EVICT_DELAY_PER_WEIGHT_MS 400

static const char *const reasons[] = {
	[INTERFERENCE_NONE] = "none",
	[INTERFERENCE_LATENCY] = "latency",
	[INTERFERENCE_CPU] = "cpu",
	[INTERFERENCE_MEMORY] = "memory",
	[INTERFERENCE_RESTORED] = "restored",
};

const char *interference_reason_name(enum interference_reason reason)
{
	return reasons[reason];
}

uint64_t interference_class_key(const char *command)
{
	return hash_bytes(command, strcspn(command, " "));
}

void interference_init(struct interference *in)
{
	memset(in, 0, sizeof(*in));
	fit_init(in);
}

static struct interference_class *find_class(const struct interference *in,
					     uint64_t key)
{
	size_t i;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++)
		if (in->classes[i].level_percent > 0 &&
		    in->classes[i].key == key)
			return (struct interference_class *)&in->classes[i];
	return NULL;
}

double interference_blame(const struct interference *in, uint64_t class_key)
{
	const struct interference_class *class = find_class(in, class_key);

	return class ? fit_blame(in, (size_t)(class - in->classes)) : 0;
}

/*
 * Replaces the least recently used class.
 *
 * RETURN VALUE
 *	NULL if all classes have a task; the new task is then not throttled.
 */
static struct interference_class *add_class(struct interference *in,
					    uint64_t key, struct mstime now)
{
	struct interference_class *class = in->classes;
	size_t i;

	for (i = 1; i < INTERFERENCE_CLASSES_MAX; i++)
		if (mstime_before(in->classes[i].used_at, class->used_at))
			class = &in->classes[i];
	if (class->task_count)
		return NULL;
	memset(class, 0, sizeof(*class));
	fit_reset_weight(in, (size_t)(class - in->classes));
	class->key = key;
	class->level_percent = 100;
	class->cut_at = mstime_add(now, -INTERFERENCE_RESTORE_DELAY_MS);
	class->raised_at = class->cut_at;
	return class;
}

/* The measured usage lags, so it is scaled by the level at that time. */
static void update_demand(const struct interference *in,
			  struct interference_class *class,
			  struct interference_task *task,
			  const struct interference_sample *sample)
{
	uint32_t *slot =
		&task->past_percent[in->ticks % INTERFERENCE_LAG_TICKS];
	double past_percent = *slot ? *slot : 100;
	double full_speed_milli = task->used.cpu_milli * 100.0 / past_percent;
	double part;

	if (task->demand_cpu_milli <= 0)
		task->demand_cpu_milli = task->declared.cpu_milli;
	task->demand_cpu_milli +=
		(full_speed_milli - task->demand_cpu_milli) / 8;
	*slot = task->level_percent ? task->level_percent : 100;
	part = sample->capacity.cpu_milli
		       ? task->demand_cpu_milli / sample->capacity.cpu_milli
		       : 0;
	class->demand_share += part;
	class->usage_share += part * *slot / 100;
}

static size_t update_usage(struct interference *in,
			   const struct interference_sample *sample,
			   struct interference_task **tasks, size_t count,
			   struct mstime now)
{
	struct interference_class *class;
	size_t i, running = 0;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++) {
		in->classes[i].had_tasks = in->classes[i].task_count > 0;
		in->classes[i].task_count = 0;
		in->classes[i].usage_share = 0;
		in->classes[i].demand_share = 0;
	}
	for (i = 0; i < count; i++) {
		if (!tasks[i]->is_running)
			continue;
		running++;
		class = find_class(in, tasks[i]->class_key);
		if (!class)
			class = add_class(in, tasks[i]->class_key, now);
		if (!class)
			continue;
		class->task_count++;
		class->used_at = now;
		update_demand(in, class, tasks[i], sample);
	}
	return running;
}

static size_t load_range_of(uint32_t in_progress)
{
	size_t load = 0;

	while (in_progress > 1 && load < INTERFERENCE_LOAD_RANGES - 1) {
		in_progress = (in_progress + 1) / 2;
		load++;
	}
	return load;
}

/* The baseline of the nearest range with so many samples, or NULL. */
static struct interference_baseline *find_baseline(struct interference *in,
						   size_t load, double samples)
{
	size_t i;

	for (i = 0; i < INTERFERENCE_LOAD_RANGES; i++) {
		if (load >= i && in->baseline[load - i].samples >= samples)
			return &in->baseline[load - i];
		if (load + i < INTERFERENCE_LOAD_RANGES &&
		    in->baseline[load + i].samples >= samples)
			return &in->baseline[load + i];
	}
	return NULL;
}

/* The baseline that the latency of this tick is compared with. */
static struct interference_baseline *choose_baseline(struct interference *in,
						     size_t load,
						     size_t running)
{
	struct interference_baseline *base = NULL;

	if (running)
		base = find_baseline(in, load, BASELINE_SAMPLES_MIN);
	if (running && !base)
		base = find_baseline(in, load, 1);
	return base ? base : &in->baseline[load];
}

static int all_at_floor(const struct interference *in)
{
	size_t i;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++)
		if (in->classes[i].task_count && !in->classes[i].at_floor)
			return 0;
	return 1;
}

static int has_new_class(const struct interference *in)
{
	size_t i;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++)
		if (in->classes[i].task_count && !in->classes[i].had_tasks)
			return 1;
	return 0;
}

/*
 * The first sample over the tolerance covers a part of a tick only, so it does
 * not show how large the excess is above the floor.
 */
static int has_peak(const struct interference *in)
{
	return in->ticks_over > 1;
}

static void update_peak(struct interference *in, int is_over)
{
	if (has_new_class(in))
		in->ticks_over = 0;
	else if (all_at_floor(in))
		return;
	in->ticks_over = is_over ? in->ticks_over + 1 : 0;
	in->peak_excess =
		has_peak(in) ? fmax(in->peak_excess * PEAK_DECAY, in->excess)
			     : 0;
}

/*
 * Throttling to the floor has not helped, or no class has an effect that a
 * probe has shown: the service causes the excess.
 */
static int is_service_excess(const struct interference *in)
{
	if (!in->is_settled)
		return 0;
	return has_peak(in) ? in->excess >= SERVICE_FRACTION * in->peak_excess
			    : probe_shows_none(in);
}

static void update_baseline(struct interference *in,
			    struct interference_baseline *b, double latency_us,
			    size_t running)
{
	double part = 1 / fmin(b->samples + 1, BASELINE_SAMPLES);

	if (running && latency_us > b->latency_us)
		part = is_service_excess(in) ? 1 / FLOOR_BASELINE_SAMPLES : 0;
	else if (running)
		/* Noise alone must not lower the baseline. */
		part = latency_us < 0.9 * b->latency_us ? 1 / BASELINE_SAMPLES
							: 0;
	b->latency_us += (latency_us - b->latency_us) * part;
	b->samples += running ? 0 : 1;
}

/* Adds the latency of the tick; without requests the excess decays. */
static void update_excess(struct interference *in,
			  const struct interference_sample *sample,
			  size_t running)
{
	size_t load = load_range_of(sample->in_progress);
	struct interference_baseline *base = choose_baseline(in, load, running);
	double latency_us =
		fmax(sample->latency_us, INTERFERENCE_LATENCY_MIN_US);
	double excess, part;

	if (!sample->requests) {
		in->effective_requests /= 2;
		in->excess /= 2;
		return;
	}
	if (base->samples <= 0)
		base->latency_us = latency_us;
	if (running && base->samples <= 0)
		base->samples = 1;
	excess = latency_us / base->latency_us - 1;
	update_baseline(in, base, latency_us, running);
	in->effective_requests = in->effective_requests / 2 + sample->requests;
	part = sample->requests / in->effective_requests;
	in->excess += (excess - in->excess) * part;
	in->long_term_excess +=
		(excess - in->long_term_excess) / LONG_TERM_TICKS;
	fit_add_sample(in, excess);
}

double interference_excess_error(const struct interference *in)
{
	return REQUEST_DEVIATION / sqrt(fmax(in->effective_requests, 1));
}

static int is_over_tolerance(const struct interference *in)
{
	double error = interference_excess_error(in);

	return in->excess > fmax(in->tolerance, 2 * error) ||
	       in->long_term_excess >
		       fmax(in->tolerance,
			    2 * error / sqrt(LONG_TERM_TICKS / 2.0));
}

static void set_level(struct interference *in, struct interference_class *class,
		      double level, struct mstime now)
{
	level = fmin(fmax(level, INTERFERENCE_FLOOR_PERCENT), 100);
	if (level != class->level_percent) {
		in->level_changed_at = now;
		probe_invalidate(class);
	}
	if (level <= INTERFERENCE_SOFT_FLOOR_PERCENT &&
	    class->level_percent > INTERFERENCE_SOFT_FLOOR_PERCENT)
		class->soft_floor_since = now;
	class->level_percent = level;
	class->at_floor = class->level_percent <= INTERFERENCE_FLOOR_PERCENT;
}

static void lower_level(struct interference *in,
			struct interference_class *class, double factor,
			double level_min, struct mstime now)
{
	double level = fmax(class->level_percent * factor, level_min);

	if (mstime_diff(now, class->cut_at) < CUT_INTERVAL_MS)
		return;
	if (level >= class->level_percent)
		return;
	class->cut_at = now;
	set_level(in, class, level, now);
}

static double sum_blamed_excess(const struct interference *in, double *parts)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++) {
		parts[i] = fit_blame(in, i) * in->classes[i].usage_share;
		if (parts[i] < BLAMED_FRACTION * in->excess)
			parts[i] = 0;
		sum += parts[i];
	}
	return sum;
}

static void cut_blamed(struct interference *in, const double *parts,
		       struct mstime now)
{
	double factor = CUT_FRACTION * in->tolerance / in->excess;
	size_t i;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++)
		if (parts[i] > 0)
			lower_level(in, &in->classes[i], factor,
				    INTERFERENCE_FLOOR_PERCENT, now);
}

/* RETURN VALUE: whether any level was above the soft floor. */
static int cut_all(struct interference *in, struct mstime now)
{
	size_t i;
	int above = 0;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++) {
		struct interference_class *class = &in->classes[i];

		if (!class->task_count ||
		    class->level_percent <= INTERFERENCE_SOFT_FLOOR_PERCENT)
			continue;
		above = 1;
		lower_level(in, class, 0, INTERFERENCE_SOFT_FLOOR_PERCENT, now);
	}
	if (above)
		in->last_trial_at = now;
	return above;
}

/* Throttles the class that most likely causes the excess to the floor. */
static void cut_likeliest(struct interference *in, struct mstime now)
{
	size_t i, best = INTERFERENCE_CLASSES_MAX;
	/* A negative weight may be outdated, so every class is tried. */
	double highest = -INFINITY;

	if (mstime_diff(now, in->last_trial_at) < TRIAL_MS)
		return;
	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++) {
		double part =
			fit_weight_upper(in, i) * in->classes[i].usage_share;

		if (in->classes[i].task_count && !in->classes[i].at_floor &&
		    part > highest) {
			highest = part;
			best = i;
		}
	}
	if (best == INTERFERENCE_CLASSES_MAX)
		return;
	lower_level(in, &in->classes[best], 0, INTERFERENCE_FLOOR_PERCENT, now);
	in->last_trial_at = now;
}

/* RETURN VALUE: whether some classes are throttled and none is to blame. */
static int is_cause_unclear(const struct interference *in)
{
	size_t i;
	int throttled = 0;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++) {
		const struct interference_class *class = &in->classes[i];

		if (!class->task_count ||
		    class->level_percent > INTERFERENCE_SOFT_FLOOR_PERCENT)
			continue;
		if (fit_blame(in, i) * class->demand_share > in->tolerance)
			return 0;
		throttled = 1;
	}
	return throttled;
}

static void cut_levels(struct interference *in, struct mstime now)
{
	double parts[INTERFERENCE_CLASSES_MAX];
	double sum = sum_blamed_excess(in, parts);

	if (is_service_excess(in))
		/* Falls with the excess while the baseline rises. */
		in->peak_excess = fmin(in->peak_excess, in->excess);
	cut_blamed(in, parts, now);
	if (sum < in->excess / 2 && !cut_all(in, now))
		cut_likeliest(in, now);
}

/* RETURN VALUE: by how much the level of the class may rise now. */
static double restore_step(const struct interference *in, size_t index,
			   double margin, struct mstime now)
{
	const struct interference_class *class = &in->classes[index];
	double cost = fit_blame(in, index) * class->demand_share / 100;

	if (class->level_percent <= 0 || class->level_percent >= 100 ||
	    mstime_diff(now, class->cut_at) < INTERFERENCE_RESTORE_DELAY_MS ||
	    mstime_diff(now, class->raised_at) < INTERFERENCE_LAG_MS)
		return 0;
	if (cost * RESTORE_STEP <= margin ||
	    fit_weight_upper(in, index) * class->demand_share <
		    HARMLESS_FRACTION * in->tolerance)
		return RESTORE_STEP;
	if (margin <= 0)
		return 0;
	return fmax(margin / cost, RESTORE_STEP_MIN);
}

static void restore_levels(struct interference *in, struct mstime now)
{
	double margin = RESTORE_FRACTION * in->tolerance - in->long_term_excess;
	size_t i;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++) {
		struct interference_class *class = &in->classes[i];
		double step = restore_step(in, i, margin, now);

		if (step <= 0)
			continue;
		margin -= fit_blame(in, i) * class->demand_share / 100 * step;
		set_level(in, class, class->level_percent + step, now);
		class->raised_at = now;
	}
}

static int may_evict(const struct interference *in, struct mstime now)
{
	return !in->has_evicted ||
	       mstime_diff(now, in->evicted_at) >= 2 * INTERFERENCE_LAG_MS;
}

static void evict(struct interference *in, struct interference_task *task,
		  enum interference_reason reason, struct mstime now)
{
	struct interference_class *class = find_class(in, task->class_key);

	if (class)
		probe_invalidate(class);
	task->must_evict = 1;
	task->reason = reason;
	in->has_evicted = 1;
	in->evicted_at = now;
}

static int64_t evict_delay_ms(const struct interference_sample *sample)
{
	return EVICT_DELAY_MIN_MS +
	       (100 + sample->weight_eviction - sample->weight_latency) *
		       EVICT_DELAY_PER_WEIGHT_MS;
}

static int is_only_class(const struct interference *in)
{
	size_t i;
	int classes = 0;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++)
		classes += in->classes[i].task_count > 0;
	return classes == 1;
}

/*
 * Excess that the fit attributes to a class at full speed. Valid only while
 * other classes run faster: with all at the floor the fit cannot tell them
 * apart.
 */
static double fitted_excess(const struct interference *in,
			    const struct interference_class *class)
{
	double blame = fit_blame(in, (size_t)(class - in->classes));

	if (class == in->probed_class ||
	    blame * class->demand_share < BLAMED_TOLERANCES * in->tolerance ||
	    blame * class->usage_share < in->excess / 2)
		return 0;
	return blame * class->demand_share;
}

static double attributed_excess(const struct interference *in,
				const struct interference_class *class)
{
	if (is_service_excess(in))
		return 0;
	/* If no other class runs, the effect of its throttle is proof. */
	if (is_only_class(in) && class->at_floor && has_peak(in))
		return in->excess;
	if (all_at_floor(in))
		return probe_excess_share(in, class);
	return fitted_excess(in, class);
}

/* Evicts the task with the highest product of class excess and CPU demand. */
static void evict_for_latency(struct interference *in,
			      const struct interference_sample *sample,
			      struct interference_task **tasks, size_t count,
			      struct mstime now)
{
	struct interference_task *victim = NULL;
	double product, highest = 0;
	size_t i;

	for (i = 0; i < count && may_evict(in, now); i++) {
		const struct interference_class *class =
			find_class(in, tasks[i]->class_key);

		if (!tasks[i]->is_running || !class ||
		    class->level_percent > INTERFERENCE_SOFT_FLOOR_PERCENT ||
		    mstime_diff(now, class->soft_floor_since) <
			    evict_delay_ms(sample))
			continue;
		product = attributed_excess(in, class) *
			  tasks[i]->demand_cpu_milli;
		if (product > highest) {
			highest = product;
			victim = tasks[i];
		}
	}
	if (victim && !victim->is_protected)
		evict(in, victim, INTERFERENCE_LATENCY, now);
}

static void set_task_level(struct interference *in,
			   struct interference_task *task)
{
	const struct interference_class *class =
		find_class(in, task->class_key);
	uint32_t level = class ? (uint32_t)lround(class->level_percent) : 100;
	uint32_t before = task->level_percent ? task->level_percent : 100;
	enum interference_reason reason = INTERFERENCE_LATENCY;

	if (task->cpu_cap_percent && task->cpu_cap_percent < level) {
		level = task->cpu_cap_percent;
		reason = INTERFERENCE_CPU;
	}
	if (task->is_memory_throttled) {
		level = INTERFERENCE_FLOOR_PERCENT;
		reason = INTERFERENCE_MEMORY;
	}
	task->level_percent = level;
	task->is_level_changed = level != before;
	if (!task->must_evict)
		task->reason = level > before ? INTERFERENCE_RESTORED : reason;
}

void interference_tick(struct interference *in,
		       const struct interference_sample *sample,
		       struct interference_task **tasks, size_t count,
		       struct mstime now)
{
	size_t i, running;
	int is_over;

	in->tolerance = 0.04 + 0.0024 * (double)(100 - sample->weight_latency);
	in->ticks++;
	running = update_usage(in, sample, tasks, count, now);
	in->is_settled =
		all_at_floor(in) &&
		mstime_diff(now, in->level_changed_at) >= INTERFERENCE_LAG_MS;
	update_excess(in, sample, running);
	for (i = 0; i < count; i++)
		tasks[i]->must_evict = 0;
	is_over = running && is_over_tolerance(in);
	update_peak(in, is_over);
	if (is_over) {
		if (is_service_excess(in) || !probe_step(in, now))
			cut_levels(in, now);
		evict_for_latency(in, sample, tasks, count, now);
	} else {
		probe_abort(in, now);
		if (running &&
		    in->long_term_excess > CUT_FRACTION * in->tolerance &&
		    in->peak_excess > in->tolerance && is_cause_unclear(in))
			cut_likeliest(in, now);
		restore_levels(in, now);
	}
	capacity_check_cpu(sample, tasks, count, now);
	i = capacity_check_memory(in, sample, tasks, count);
	if (i < count && may_evict(in, now))
		evict(in, tasks[i], INTERFERENCE_MEMORY, now);
	for (i = 0; i < count; i++)
		if (tasks[i]->is_running)
			set_task_level(in, tasks[i]);
}
