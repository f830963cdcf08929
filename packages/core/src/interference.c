#include "interference.h"

#include <math.h>
#include <string.h>

#include "hash.h"
#include "interference_fit.h"
#include "interference_probe.h"
#include "interference_room.h"

/* Samples after which the baseline moves by a constant part each. */
#define BASELINE_SAMPLES 120.0
/* The same, upwards, while all tasks are at the floor. */
#define FLOOR_SAMPLES 120.0
/* Relative spread of one request's latency, for the error of a mean. */
#define REQUEST_SPREAD 1.0
/* Part of the tolerance that a cut aims at, so that noise is no cause. */
#define CUT_TARGET 0.6
/* Up to this part of the tolerance levels are restored. */
#define CALM_TARGET 0.9
/* Between two cuts, so that the latency shows the first one. */
#define CUT_PAUSE_MS 2000
/* Part of the excess that a class to blame must account for. */
#define BLAMED_PART 0.25
/* Part of the excess that must be left at the floor to be no task's. */
#define OWN_PART 0.7
/* Part of the largest excess before the floor that is kept each tick. */
#define BEFORE_KEPT 0.98
/* Time constant of the excess by which levels are restored. */
#define CALM_TICKS 8
/* Time of one class at the floor before the next one is tried. */
#define TRIAL_MS 3000
/* Steps of a level: usual, and least, which tests an old blame again. */
#define RESTORE_STEP 20.0
#define RESTORE_LEAST 2.0
/* A class that costs less of the tolerance is restored in any case. */
#define INNOCENT_PART 0.5
/* Excess of a held class at full speed, in tolerances, that is no noise. */
#define HELD_TOLERANCES 1.5
#define EVICT_LEAST_MS 10000
#define EVICT_WEIGHT_MS 400

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
 * The class unused for longest gives its place.
 *
 * RETURN VALUE
 *	NULL when all classes have a task; the task is left as it is then.
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

/* The usage shows the throttle of some ticks ago. */
static void take_demand(const struct interference *in,
			struct interference_class *class,
			struct interference_task *task,
			const struct interference_sample *sample)
{
	uint32_t *slot =
		&task->past_percent[in->ticks % INTERFERENCE_LAG_TICKS];
	double then = *slot ? *slot : 100;
	double full = task->used.cpu_milli * 100.0 / then;
	double part;

	if (task->demand_cpu_milli <= 0)
		task->demand_cpu_milli = task->declared.cpu_milli;
	task->demand_cpu_milli += (full - task->demand_cpu_milli) / 8;
	*slot = task->level_percent ? task->level_percent : 100;
	part = sample->capacity.cpu_milli
		       ? task->demand_cpu_milli / sample->capacity.cpu_milli
		       : 0;
	class->demand_share += part;
	class->usage_share += part * *slot / 100;
}

static size_t take_usage(struct interference *in,
			 const struct interference_sample *sample,
			 struct interference_task **tasks, size_t count,
			 struct mstime now)
{
	struct interference_class *class;
	size_t i, running = 0;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++) {
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
		take_demand(in, class, tasks[i], sample);
	}
	return running;
}

static size_t load_of(uint32_t in_progress)
{
	size_t load = 0;

	while (in_progress > 1 && load < INTERFERENCE_LOAD_RANGES - 1) {
		in_progress = (in_progress + 1) / 2;
		load++;
	}
	return load;
}

/* The baseline of the load, or that of the nearest load with one. */
static struct interference_baseline *find_baseline(struct interference *in,
						   size_t load)
{
	size_t i;

	for (i = 0; i < INTERFERENCE_LOAD_RANGES; i++) {
		if (load >= i && in->baseline[load - i].samples > 0)
			return &in->baseline[load - i];
		if (load + i < INTERFERENCE_LOAD_RANGES &&
		    in->baseline[load + i].samples > 0)
			return &in->baseline[load + i];
	}
	return NULL;
}

static int all_at_floor(const struct interference *in)
{
	size_t i;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++)
		if (in->classes[i].task_count && !in->classes[i].at_floor)
			return 0;
	return 1;
}

/* The floor has not helped, so the excess is the service's own. */
static int is_own(const struct interference *in)
{
	return in->is_settled && in->excess >= OWN_PART * in->peak_excess;
}

static void learn(struct interference *in, struct interference_baseline *b,
		  double latency_us, size_t running)
{
	double part = 1 / fmin(b->samples + 1, BASELINE_SAMPLES);

	if (running && latency_us > b->latency_us)
		part = is_own(in) ? 1 / FLOOR_SAMPLES : 0;
	else if (running)
		/* Noise alone must not pull the baseline down. */
		part = latency_us < 0.9 * b->latency_us ? 1 / BASELINE_SAMPLES
							: 0;
	b->latency_us += (latency_us - b->latency_us) * part;
	b->samples += running ? 0 : 1;
}

/* Takes the latency of the tick; without requests it is as it was. */
static void take_latency(struct interference *in,
			 const struct interference_sample *sample,
			 size_t running)
{
	size_t load = load_of(sample->in_progress);
	struct interference_baseline *base;
	double latency_us =
		fmax(sample->latency_us, INTERFERENCE_LATENCY_MIN_US);
	double excess, part;

	if (!sample->requests) {
		in->effective_requests /= 2;
		in->excess /= 2;
		return;
	}
	if (!running && in->baseline[load].samples <= 0)
		base = &in->baseline[load];
	else
		base = find_baseline(in, load);
	if (!base || (running && base->samples <= 0)) {
		base = &in->baseline[load];
		base->latency_us = latency_us;
		base->samples = 1;
	}
	if (base->samples <= 0)
		base->latency_us = latency_us;
	excess = latency_us / base->latency_us - 1;
	learn(in, base, latency_us, running);
	in->effective_requests = in->effective_requests / 2 + sample->requests;
	part = sample->requests / in->effective_requests;
	in->excess += (excess - in->excess) * part;
	in->long_term_excess += (excess - in->long_term_excess) / CALM_TICKS;
	fit_add_sample(in, excess);
}

double interference_excess_error(const struct interference *in)
{
	return REQUEST_SPREAD / sqrt(fmax(in->effective_requests, 1));
}

static int slack_used_up(const struct interference *in)
{
	double error = interference_excess_error(in);

	return in->excess > fmax(in->tolerance, 2 * error) ||
	       in->long_term_excess >
		       fmax(in->tolerance, 2 * error / sqrt(CALM_TICKS / 2.0));
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

static void cut(struct interference *in, struct interference_class *class,
		double factor, double least, struct mstime now)
{
	double level = fmax(class->level_percent * factor, least);

	if (mstime_diff(now, class->cut_at) < CUT_PAUSE_MS)
		return;
	if (level >= class->level_percent)
		return;
	class->cut_at = now;
	set_level(in, class, level, now);
}

static double blamed_excess(const struct interference *in, double *parts)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++) {
		parts[i] = fit_blame(in, i) * in->classes[i].usage_share;
		if (parts[i] < BLAMED_PART * in->excess)
			parts[i] = 0;
		sum += parts[i];
	}
	return sum;
}

static void cut_blamed(struct interference *in, const double *parts,
		       struct mstime now)
{
	double factor = CUT_TARGET * in->tolerance / in->excess;
	size_t i;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++)
		if (parts[i] > 0)
			cut(in, &in->classes[i], factor,
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
		cut(in, class, 0, INTERFERENCE_SOFT_FLOOR_PERCENT, now);
	}
	if (above)
		in->last_trial_at = now;
	return above;
}

/* Brings the class to the floor that most likely explains the excess. */
static void try_one(struct interference *in, struct mstime now)
{
	size_t i, best = INTERFERENCE_CLASSES_MAX;
	/* A negative weight may be an old one, so every class gets its turn. */
	double most = -INFINITY;

	if (mstime_diff(now, in->last_trial_at) < TRIAL_MS)
		return;
	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++) {
		double part =
			fit_weight_upper(in, i) * in->classes[i].usage_share;

		if (in->classes[i].task_count && !in->classes[i].at_floor &&
		    part > most) {
			most = part;
			best = i;
		}
	}
	if (best == INTERFERENCE_CLASSES_MAX)
		return;
	cut(in, &in->classes[best], 0, INTERFERENCE_FLOOR_PERCENT, now);
	in->last_trial_at = now;
}

/* RETURN VALUE: whether classes are throttled of which none is to blame. */
static int is_unclear(const struct interference *in)
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
	double sum = blamed_excess(in, parts);

	if (is_own(in))
		/* Falls with the excess while the baseline follows. */
		in->peak_excess = fmin(in->peak_excess, in->excess);
	if (!in->is_settled)
		in->peak_excess =
			fmax(in->peak_excess * BEFORE_KEPT, in->excess);
	cut_blamed(in, parts, now);
	if (sum < in->excess / 2 && !cut_all(in, now))
		try_one(in, now);
}

/* RETURN VALUE: by how much the level of the class may rise now. */
static double step_of(const struct interference *in, size_t index, double room,
		      struct mstime now)
{
	const struct interference_class *class = &in->classes[index];
	double cost = fit_blame(in, index) * class->demand_share / 100;

	if (class->level_percent <= 0 || class->level_percent >= 100 ||
	    mstime_diff(now, class->cut_at) < INTERFERENCE_RESTORE_DELAY_MS ||
	    mstime_diff(now, class->raised_at) < INTERFERENCE_LAG_MS)
		return 0;
	if (cost * RESTORE_STEP <= room ||
	    fit_weight_upper(in, index) * class->demand_share <
		    INNOCENT_PART * in->tolerance)
		return RESTORE_STEP;
	if (room <= 0)
		return 0;
	return fmax(room / cost, RESTORE_LEAST);
}

static void restore_levels(struct interference *in, struct mstime now)
{
	double room = CALM_TARGET * in->tolerance - in->long_term_excess;
	size_t i;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++) {
		struct interference_class *class = &in->classes[i];
		double step = step_of(in, i, room, now);

		if (step <= 0)
			continue;
		room -= fit_blame(in, i) * class->demand_share / 100 * step;
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

static int64_t wait_ms(const struct interference_sample *sample)
{
	return EVICT_LEAST_MS +
	       (100 + sample->weight_eviction - sample->weight_latency) *
		       EVICT_WEIGHT_MS;
}

static int is_alone(const struct interference *in)
{
	size_t i;
	int classes = 0;

	for (i = 0; i < INTERFERENCE_CLASSES_MAX; i++)
		classes += in->classes[i].task_count > 0;
	return classes == 1;
}

/*
 * What a class is blamed for by the fit. Only for classes held down while
 * others run faster: with all at the floor the fit cannot tell them apart.
 */
static double held_guilt(const struct interference *in,
			 const struct interference_class *class)
{
	double blame = fit_blame(in, (size_t)(class - in->classes));

	if (class == in->probed_class ||
	    blame * class->demand_share < HELD_TOLERANCES * in->tolerance ||
	    blame * class->usage_share < in->excess / 2)
		return 0;
	return blame * class->demand_share;
}

static double guilt_of(const struct interference *in,
		       const struct interference_class *class)
{
	if (is_own(in))
		return 0;
	/* Where no other class runs, the effect of the throttle is proof. */
	if (is_alone(in) && class->at_floor)
		return in->excess;
	if (all_at_floor(in))
		return probe_excess_share(in, class);
	return held_guilt(in, class);
}

/* The largest task of the class that accounts for most. */
static void evict_for_latency(struct interference *in,
			      const struct interference_sample *sample,
			      struct interference_task **tasks, size_t count,
			      struct mstime now)
{
	struct interference_task *victim = NULL;
	double guilt, most = 0;
	size_t i;

	for (i = 0; i < count && may_evict(in, now); i++) {
		const struct interference_class *class =
			find_class(in, tasks[i]->class_key);

		if (!tasks[i]->is_running || !class ||
		    class->level_percent > INTERFERENCE_SOFT_FLOOR_PERCENT ||
		    mstime_diff(now, class->soft_floor_since) < wait_ms(sample))
			continue;
		guilt = guilt_of(in, class) * tasks[i]->demand_cpu_milli;
		if (guilt > most) {
			most = guilt;
			victim = tasks[i];
		}
	}
	if (victim && !victim->is_protected)
		evict(in, victim, INTERFERENCE_LATENCY, now);
}

static void set_percent(struct interference *in, struct interference_task *task)
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

	in->tolerance = 0.04 + 0.0024 * (double)(100 - sample->weight_latency);
	in->ticks++;
	running = take_usage(in, sample, tasks, count, now);
	in->is_settled =
		all_at_floor(in) &&
		mstime_diff(now, in->level_changed_at) >= INTERFERENCE_LAG_MS;
	take_latency(in, sample, running);
	for (i = 0; i < count; i++)
		tasks[i]->must_evict = 0;
	if (running && slack_used_up(in)) {
		if (is_own(in) || !probe_step(in, now))
			cut_levels(in, now);
		evict_for_latency(in, sample, tasks, count, now);
	} else {
		probe_abort(in, now);
		if (running &&
		    in->long_term_excess > CUT_TARGET * in->tolerance &&
		    in->peak_excess > in->tolerance && is_unclear(in))
			try_one(in, now);
		restore_levels(in, now);
	}
	capacity_check_cpu(sample, tasks, count, now);
	i = capacity_check_memory(in, sample, tasks, count);
	if (i < count && may_evict(in, now))
		evict(in, tasks[i], INTERFERENCE_MEMORY, now);
	for (i = 0; i < count; i++)
		if (tasks[i]->is_running)
			set_percent(in, tasks[i]);
}
