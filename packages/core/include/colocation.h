#ifndef CATKINHILL_COLOCATION_H
#define CATKINHILL_COLOCATION_H

#include <stdint.h>

#include "mstime.h"

/*
 * NAME
 *	colocation - how much images that fill slow down images that serve
 *
 * NOTES
 *	The latency of a serving task is taken as that of a single queue: with
 *	pressure p from 0 to 1 it is base / (1 - p). The pressure is the sum of
 *	what the task's own load causes, which changes within seconds and is
 *	the same for all tasks of a step, and a weight for each core that a
 *	neighbour uses, which depends on the pair of images. Latencies are
 *	given in shares of the task's target.
 *
 *	Loads and weights of a serving image are estimated together, with
 *	their covariance: tasks without neighbours tell the load, which then
 *	tells what the neighbours of its other tasks cause.
 *
 * SOURCE
 *	Kalman, A New Approach to Linear Filtering and Prediction Problems,
 *	1960. Pairwise estimates from sparse observations: Paragon, Delimitrou
 *	and Kozyrakis, ASPLOS 2013.
 */
#define COLOCATION_NEIGHBOURS_MAX 64

struct colocation;

struct colocation *colocation_new(void);
void colocation_delete(struct colocation *colocation);

/* Number of an image; -1 for NULL, or when the table is full. */
int colocation_image_index(struct colocation *colocation, const char *name);

struct neighbour {
	int image;
	double cores; /* in use */
};

/*
 * Takes a figure of a serving task beside these neighbours. load identifies
 * the tasks that share their own load, in any way.
 */
void colocation_observe(struct colocation *colocation, int serving,
			uint64_t load, double latency,
			const struct neighbour *fills, int count,
			struct mstime now);

/* Pressure that the own load causes. */
double colocation_own_pressure(const struct colocation *colocation, int serving,
			       uint64_t load);

/* Pressure on a serving image for each core that a neighbour uses. */
double colocation_weight(const struct colocation *colocation, int filling,
			 int serving);

/* The same, with a margin for what is not known. */
double colocation_weight_upper(const struct colocation *colocation, int filling,
			       int serving);

/* Pressure at which a serving image has this latency. */
double colocation_pressure_at(const struct colocation *colocation, int serving,
			      double latency);

#endif
