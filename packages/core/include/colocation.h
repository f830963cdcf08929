#ifndef CATKINHILL_COLOCATION_H
#define CATKINHILL_COLOCATION_H

#include <stddef.h>
#include <stdint.h>

#include "mstime.h"

/*
 * NAME
 *	colocation - estimates how much best-effort images slow down serving
 *	images on the same worker
 *
 * NOTES
 *	The latency of a serving task is modelled as that of a single-server
 *	queue: base / (1 - p), where the pressure p from 0 to 1 corresponds to
 *	the utilization. The pressure is the sum of what the task's own load
 *	causes, which changes within seconds and is the same for all tasks of
 *	a step, and of a weight for each core that a neighbour uses, which
 *	depends on the pair of images. Latencies are fractions of the task's
 *	latency target.
 *
 *	A Kalman filter estimates the loads and weights of a serving image
 *	together, with their covariance: tasks without neighbours determine
 *	the load, and with it the effect of the neighbours of the other tasks.
 *
 * SOURCE
 *	Kalman, A New Approach to Linear Filtering and Prediction Problems,
 *	1960. Pairwise estimates from sparse observations: Paragon, Delimitrou
 *	and Kozyrakis, ASPLOS 2013.
 */
#define COLOCATION_NEIGHBOURS_MAX 64
#define COLOCATION_IMAGES_MAX 256

struct colocation;

struct colocation *colocation_new(void);
void colocation_delete(struct colocation *colocation);

/* Index of an image; adds a new one. -1 for NULL, or if the table is full. */
int colocation_image_index(struct colocation *colocation, const char *name);

struct neighbour {
	int image;
	double cores; /* in use */
};

/*
 * Adds a latency measurement of a serving task with these neighbours.
 * load_group is a key that is equal for tasks with the same user load.
 */
void colocation_observe(struct colocation *colocation, int serving,
			uint64_t load_group, double latency,
			const struct neighbour *neighbours, int count,
			struct mstime now);

/* Pressure that the own load of a serving image causes. */
double colocation_own_pressure(const struct colocation *colocation, int serving,
			       uint64_t load_group);

/* Pressure on a serving image for each core that this neighbour uses. */
double colocation_weight(const struct colocation *colocation, int neighbour,
			 int serving);

/* The same, plus a margin for the uncertainty of the estimate. */
double colocation_weight_upper(const struct colocation *colocation,
			       int neighbour, int serving);

/* Whether the weight has been measured well enough to rely on it. */
int colocation_is_known(const struct colocation *colocation, int neighbour,
			int serving);

/* What is known of a pair of images, for those who come later. */
struct colocation_pair {
	const char *serving, *neighbour;
	double base;	  /* latency of the serving image without load */
	double weight;	  /* see colocation_weight() */
	double deviation; /* standard deviation of the weight */
};

typedef void (*colocation_pair_fn)(void *arg,
				   const struct colocation_pair *pair);

/* Calls fn for each known pair that was measured within the last minutes. */
void colocation_export(const struct colocation *colocation, struct mstime now,
		       colocation_pair_fn fn, void *arg);

/*
 * Adds what an earlier estimate knew of a pair, unless it is known here.
 *
 * ERRORS
 *	ERR_INVALID	not a number, or out of range
 *	ERR_TOO_LARGE	there are too many images
 */
int colocation_import(struct colocation *colocation,
		      const struct colocation_pair *pair, struct mstime now);

/* Returns the known pairs as newly allocated JSON of up to 128 KiB. */
char *colocation_encode(const struct colocation *colocation, struct mstime now);

/* ERR_MALFORMED: not such a text. Pairs that are out of range are left out. */
int colocation_decode(struct colocation *colocation, const char *json,
		      size_t len, struct mstime now);

/* Pressure at which a serving image has this latency. */
double colocation_pressure_at(const struct colocation *colocation, int serving,
			      double latency);

#endif
