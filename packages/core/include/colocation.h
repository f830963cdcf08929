#ifndef CATKINHILL_COLOCATION_H
#define CATKINHILL_COLOCATION_H

#include "mstime.h"

/*
 * NAME
 *	colocation - which images slow down which serving images
 *
 * NOTES
 *	Latency figures of serving tasks lag by half a second and name no
 *	cause. Each figure is evidence about all pairs of an image that fills
 *	and the image that serves beside it: a latency well below its target
 *	clears every neighbour that was using processors, one above blames
 *	the neighbours in proportion to what is held against them already.
 *	Evidence loses half of its weight every COLOCATION_HALF_LIFE_MS,
 *	because the effect changes with load.
 *
 * SOURCE
 *	The idea of pairwise estimates from sparse observations is that of
 *	Paragon, Delimitrou and Kozyrakis, ASPLOS 2013.
 */
#define COLOCATION_HALF_LIFE_MS 20000
#define COLOCATION_NEIGHBOURS_MAX 64

struct colocation;

struct colocation *colocation_new(void);
void colocation_delete(struct colocation *colocation);

/*
 * Number of an image; -1 for NULL, or when the table is full.
 */
int colocation_image(struct colocation *colocation, const char *name);

struct neighbour {
	int image;
	double cores; /* in use */
};

/* A figure of a serving image: its latency in shares of its target. */
void colocation_observe(struct colocation *colocation, int serving,
			double latency_share, const struct neighbour *fills,
			int count, struct mstime now);

/*
 * RETURN VALUE
 *	0 to 1: how likely it is that the latency is over its target because of
 *	this neighbour.
 */
double colocation_harm(struct colocation *colocation, int filling, int serving,
		       struct mstime now);

#endif
