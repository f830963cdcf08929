#ifndef CATKINHILL_DURATIONS_H
#define CATKINHILL_DURATIONS_H

#include <stdint.h>

/*
 * NAME
 *	durations - how long tasks run, learned from those that have ended
 *
 * NOTES
 *	For each key, a queue and an image, a histogram of the ratio of run
 *	time to estimate. Old runs lose weight with each new one, so that a key
 *	reflects about its last 16 runs, and a single run that takes several
 *	times as long as its siblings moves the high quantiles. A key without
 *	runs expects the estimate, and twice the estimate at high quantiles.
 *	Memory is fixed: with too many keys, the one that was not observed for
 *	the longest time is forgotten. Times are in ms, quantiles and shares in
 *	percent. Load pattern: siblings of very different length, estimates that
 *	are off by a factor.
 */
struct durations;

#define DURATION_KEYS_MAX 128
/* Quantiles for what is planned on, and for what must not be late. */
#define DURATION_MEDIAN 50
#define DURATION_HIGH 90

struct durations *durations_new(void);
void durations_delete(struct durations *durations);

/* image is its index, or -1 if it is unknown. */
uint64_t durations_key(const char *queue, int image);

/* A run that has ended, or is at work. */
struct duration_sample {
	uint64_t key;
	int64_t estimate_ms;	 /* of the whole task; 0: unknown */
	int64_t ran_ms;		 /* 0: it has not begun */
	uint32_t progress_first; /* of the task, when the run began */
	uint32_t progress;	 /* of the task now */
};

/* Adds a run that has ended with its task done. */
void durations_observe(struct durations *durations,
		       const struct duration_sample *sample);

/* Time of a whole task. 0: its estimate is unknown. */
int64_t durations_quantile_ms(const struct durations *durations, uint64_t key,
			      int64_t estimate_ms, uint32_t quantile);

/*
 * Time that the run still needs: by its progress in this run if there is any,
 * otherwise by the runs of its key that took longer than it has run so far. One
 * that has run longer than all of them is expected to need as much again.
 */
int64_t durations_left_ms(const struct durations *durations,
			  const struct duration_sample *sample,
			  uint32_t quantile);

#endif
