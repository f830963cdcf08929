#include "durations.h"

#include <stdlib.h>

#include "hash.h"
#include "mem.h"

/*
 * Three buckets an octave, which stand for the ratios at their centres, from
 * 1/16 to 12.7; 1 and 2 are centres.
 */
#define BUCKETS 24
#define FIRST_CENTRE 0.0625
#define CENTRE_FACTOR 1.2599210498948732
/* Upper bound of a bucket, relative to its centre. */
#define BOUND_FACTOR 1.122462048309373
/* Weight of what is known before a run, at each further run. */
#define DECAY (15.0 / 16.0)
/* Before any run: weights of a run as long as its estimate, or twice it. */
#define PRIOR_ONCE 1.6
#define PRIOR_TWICE 0.4
/* A run that did less of its task tells too little of the whole. */
#define SHARE_MIN 20

struct histogram_of_key {
	uint64_t key;	   /* 0: not in use */
	uint64_t observed; /* number of the last observation */
	double weights[BUCKETS];
};

struct durations {
	uint64_t observations;
	struct histogram_of_key keys[DURATION_KEYS_MAX];
};

struct durations *durations_new(void)
{
	return xcalloc(1, sizeof(struct durations));
}

void durations_delete(struct durations *durations)
{
	free(durations);
}

uint64_t durations_key(const char *queue, int image)
{
	uint64_t key = hash_str(queue) + (uint64_t)(image + 1);

	return key ? key : 1;
}

static int bucket_of(double ratio)
{
	double bound = FIRST_CENTRE * BOUND_FACTOR;
	int i = 0;

	while (i < BUCKETS - 1 && ratio > bound) {
		bound *= CENTRE_FACTOR;
		i++;
	}
	return i;
}

static double bucket_centre(int i)
{
	double centre = FIRST_CENTRE;

	while (i-- > 0)
		centre *= CENTRE_FACTOR;
	return centre;
}

static void set_prior(struct histogram_of_key *histogram)
{
	int i;

	for (i = 0; i < BUCKETS; i++)
		histogram->weights[i] = 0;
	histogram->weights[bucket_of(1.0)] = PRIOR_ONCE;
	histogram->weights[bucket_of(2.0)] = PRIOR_TWICE;
}

static const struct histogram_of_key *find_key(
	const struct durations *durations, uint64_t key)
{
	size_t i;

	for (i = 0; i < DURATION_KEYS_MAX; i++)
		if (durations->keys[i].key == key)
			return &durations->keys[i];
	return NULL;
}

/* Takes the place of the one that was observed least recently. */
static struct histogram_of_key *add_key(struct durations *durations,
					uint64_t key)
{
	struct histogram_of_key *oldest = &durations->keys[0];
	size_t i;

	for (i = 0; i < DURATION_KEYS_MAX; i++) {
		if (durations->keys[i].key == key)
			return &durations->keys[i];
		if (durations->keys[i].observed < oldest->observed)
			oldest = &durations->keys[i];
	}
	oldest->key = key;
	set_prior(oldest);
	return oldest;
}

void durations_observe(struct durations *durations,
		       const struct duration_sample *sample)
{
	uint32_t share = 100 - sample->progress_first;
	struct histogram_of_key *histogram;
	double ratio;
	int i;

	if (sample->estimate_ms <= 0 || sample->ran_ms <= 0 ||
	    sample->progress_first > 100 || share < SHARE_MIN)
		return;
	ratio = (double)sample->ran_ms * 100 /
		((double)sample->estimate_ms * share);
	histogram = add_key(durations, sample->key);
	histogram->observed = ++durations->observations;
	for (i = 0; i < BUCKETS; i++)
		histogram->weights[i] *= DECAY;
	histogram->weights[bucket_of(ratio)] += 1;
}

/*
 * RETURN VALUE
 *	Quantile of the ratios in this bucket and those above it, or 0 if there
 *	are none
 */
static double ratio_quantile(const struct histogram_of_key *histogram, int from,
			     uint32_t quantile)
{
	double sum = 0, part = 0;
	int i;

	for (i = from; i < BUCKETS; i++)
		sum += histogram->weights[i];
	for (i = from; i < BUCKETS; i++) {
		part += histogram->weights[i];
		if (part > 0 && part * 100 >= sum * quantile)
			return bucket_centre(i);
	}
	return 0;
}

/* Returns the histogram of the key, or the prior, stored in *prior. */
static const struct histogram_of_key *find_or_prior(
	const struct durations *durations, uint64_t key,
	struct histogram_of_key *prior)
{
	const struct histogram_of_key *found = find_key(durations, key);

	if (found)
		return found;
	set_prior(prior);
	return prior;
}

int64_t durations_quantile_ms(const struct durations *durations, uint64_t key,
			      int64_t estimate_ms, uint32_t quantile)
{
	struct histogram_of_key prior;
	const struct histogram_of_key *histogram =
		find_or_prior(durations, key, &prior);

	return (int64_t)(ratio_quantile(histogram, 0, quantile) *
				 (double)estimate_ms +
			 0.5);
}

/* Without progress, by the siblings that took longer than it has run. */
static int64_t left_by_siblings_ms(const struct durations *durations,
				   const struct duration_sample *sample,
				   int64_t whole_ms, uint32_t quantile)
{
	struct histogram_of_key prior;
	const struct histogram_of_key *histogram =
		find_or_prior(durations, sample->key, &prior);
	double ratio = (double)sample->ran_ms / (double)whole_ms;
	int from = bucket_of(ratio);
	double expected;

	if (ratio >= bucket_centre(from))
		from++;
	expected = ratio_quantile(histogram, from, quantile);
	if (expected <= 0)
		return sample->ran_ms;
	return (int64_t)((expected - ratio) * (double)whole_ms + 0.5);
}

int64_t durations_left_ms(const struct durations *durations,
			  const struct duration_sample *sample,
			  uint32_t quantile)
{
	uint32_t first = sample->progress_first;
	int64_t whole_ms;

	if (sample->progress >= 100)
		return 0;
	if (sample->ran_ms > 0 && sample->progress > first)
		return sample->ran_ms * (100 - sample->progress) /
		       (sample->progress - first);
	whole_ms = sample->estimate_ms * (100 - (int64_t)first) / 100;
	if (whole_ms <= 0)
		return 0;
	if (sample->ran_ms <= 0)
		return durations_quantile_ms(durations, sample->key, whole_ms,
					     quantile);
	return left_by_siblings_ms(durations, sample, whole_ms, quantile);
}
