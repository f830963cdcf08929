#include "estimate.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "hash.h"
#include "mem.h"

/* Bucket i ends at 2^(i / 8): steps of 9% from 1 to 2^21 units. */
#define BUCKETS 168
#define STEPS_PER_OCTAVE 8
#define PERCENTILE 0.98
#define MARGIN_FACTOR 1.0
/* Margin for the sum of the runs on a VM, in standard deviations. */
#define MARGIN_DEVIATIONS 3.0
/* The usage is up to 4 times the declared size. */
#define UNKNOWN_CLASS_FACTOR 4.0
/* From this total weight on only the histogram is used. */
#define TRUSTED_WEIGHT 4.0
#define INDEX_BUCKETS 1024

struct histogram {
	float weight[BUCKETS];
	float total;
	/* Cached result of pooled_need() for this bound; 0: none. */
	uint32_t pooled_for;
	double pooled_need;
};

struct class
{
	struct class *next;
	uint64_t key;
	struct mstime used_at;
	struct mstime decayed_at; /* weights are decayed up to this time */
	struct histogram cpu, mem;
};

struct estimate {
	struct class *index[INDEX_BUCKETS];
	uint32_t count;
};

struct estimate *estimate_new(void)
{
	return xcalloc(1, sizeof(struct estimate));
}

void estimate_delete(struct estimate *estimate)
{
	size_t i;

	if (!estimate)
		return;
	for (i = 0; i < INDEX_BUCKETS; i++)
		while (estimate->index[i]) {
			struct class *class = estimate->index[i];

			estimate->index[i] = class->next;
			free(class);
		}
	free(estimate);
}

static uint64_t class_key(const char *team, const char *command)
{
	return hash_str(team) * 31 + hash_bytes(command, strcspn(command, " "));
}

static struct class *find_class(const struct estimate *estimate, uint64_t key)
{
	struct class *class = estimate->index[key % INDEX_BUCKETS];

	while (class && class->key != key)
		class = class->next;
	return class;
}

static void evict_oldest(struct estimate *estimate)
{
	struct class **oldest = NULL, **pos;
	struct class *class;
	size_t i;

	for (i = 0; i < INDEX_BUCKETS; i++)
		for (pos = &estimate->index[i]; *pos; pos = &(*pos)->next)
			if (!oldest ||
			    mstime_before((*pos)->used_at, (*oldest)->used_at))
				oldest = pos;
	if (!oldest)
		return;
	class = *oldest;
	*oldest = class->next;
	free(class);
	estimate->count--;
}

static struct class *add_class(struct estimate *estimate, uint64_t key,
			       struct mstime now)
{
	struct class *class;

	if (estimate->count >= ESTIMATE_CLASSES_MAX)
		evict_oldest(estimate);
	class = xcalloc(1, sizeof(*class));
	class->key = key;
	class->decayed_at = now;
	class->next = estimate->index[key % INDEX_BUCKETS];
	estimate->index[key % INDEX_BUCKETS] = class;
	estimate->count++;
	return class;
}

static void scale(struct histogram *histogram, float factor)
{
	size_t i;

	for (i = 0; i < BUCKETS; i++)
		histogram->weight[i] *= factor;
	histogram->total *= factor;
	histogram->pooled_for = 0;
}

/* The decay is slow, so applying it once a minute is accurate enough. */
#define DECAY_STEP_MS 60000

static void decay(struct class *class, struct mstime now)
{
	double half_lives = (double)mstime_diff(now, class->decayed_at) /
			    ESTIMATE_HALF_LIFE_MS;
	float factor = (float)exp2(-half_lives);

	if (mstime_diff(now, class->decayed_at) < DECAY_STEP_MS)
		return;
	scale(&class->cpu, factor);
	scale(&class->mem, factor);
	class->decayed_at = now;
}

static size_t bucket_of(uint32_t value)
{
	double step = value > 1 ? ceil(log2(value) * STEPS_PER_OCTAVE) : 0;

	return step < BUCKETS ? (size_t)step : BUCKETS - 1;
}

static void add_sample(struct histogram *histogram, uint32_t value)
{
	histogram->weight[bucket_of(value)] += 1;
	histogram->total += 1;
	histogram->pooled_for = 0;
}

void estimate_observe(struct estimate *estimate, const char *team,
		      const char *command, const struct resources *peak,
		      struct mstime now)
{
	uint64_t key = class_key(team, command);
	struct class *class = find_class(estimate, key);

	if (!class)
		class = add_class(estimate, key, now);
	decay(class, now);
	class->used_at = now;
	add_sample(&class->cpu, peak->cpu_milli);
	add_sample(&class->mem, peak->mem_mb);
}

static double percentile(const struct histogram *histogram)
{
	float seen = 0;
	size_t i = 0;

	while (i < BUCKETS - 1) {
		seen += histogram->weight[i];
		if (seen >= PERCENTILE * histogram->total)
			break;
		i++;
	}
	return exp2((double)i / STEPS_PER_OCTAVE);
}

/* The (geometric) middle of a bucket, as its samples are spread over it. */
static double bucket_value(size_t bucket)
{
	return exp2(((double)bucket - 0.5) / STEPS_PER_OCTAVE);
}

/*
 * A VM must fit the sum of its runs. The standard deviation of the sum of n
 * runs is sqrt(n) times that of one, so the margin for each run falls with the
 * number of such runs that fit on a VM. The high percentile of a single run is
 * used instead if it is less, or if only one run fits.
 */
static double pooled_need(const struct histogram *histogram, uint32_t bound)
{
	double sum = 0, squares = 0, mean, deviation, runs;
	double high = percentile(histogram);
	size_t i;

	for (i = 0; i < BUCKETS; i++) {
		if (!histogram->weight[i])
			continue;
		sum += histogram->weight[i] * bucket_value(i);
		squares += histogram->weight[i] * bucket_value(i) *
			   bucket_value(i);
	}
	mean = sum / histogram->total;
	deviation = sqrt(fmax(squares / histogram->total - mean * mean, 0));
	runs = fmax(bound / mean, 1);
	if (runs < 2)
		return high * MARGIN_FACTOR;
	return fmin(high, mean + MARGIN_DEVIATIONS * deviation / sqrt(runs)) *
	       MARGIN_FACTOR;
}

static double known_need(struct histogram *histogram, uint32_t bound)
{
	if (histogram->total <= 0)
		return 0;
	if (!histogram->pooled_for || histogram->pooled_for != bound) {
		histogram->pooled_need = pooled_need(histogram, bound);
		histogram->pooled_for = bound;
	}
	return histogram->pooled_need;
}

static uint32_t need_of(struct histogram *histogram, uint32_t declared,
			uint32_t bound)
{
	double known = histogram ? known_need(histogram, bound) : 0;
	double trust = histogram ? histogram->total / TRUSTED_WEIGHT : 0;
	double unknown = UNKNOWN_CLASS_FACTOR * (double)declared;
	double need;

	if (trust > 1)
		trust = 1;
	need = known > unknown ? known : known * trust + unknown * (1 - trust);
	if (need > bound)
		need = bound;
	return need < 1 ? 1 : (uint32_t)ceil(need);
}

void estimate_need(struct estimate *estimate, const char *team,
		   const char *command, const struct resources *declared,
		   const struct resources *bound, struct mstime now,
		   struct resources *need)
{
	struct class *class = find_class(estimate, class_key(team, command));

	if (class) {
		decay(class, now);
		class->used_at = now;
	}
	need->cpu_milli = need_of(class ? &class->cpu : NULL,
				  declared->cpu_milli, bound->cpu_milli);
	need->mem_mb = need_of(class ? &class->mem : NULL, declared->mem_mb,
			       bound->mem_mb);
	need->accel = declared->accel;
}
