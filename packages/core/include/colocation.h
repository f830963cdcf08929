#ifndef CATKINHILL_COLOCATION_H
#define CATKINHILL_COLOCATION_H

/*
 * NAME
 *	colocation - how much images that fill slow down images that serve
 *
 * NOTES
 *	The latency of a serving task is taken as that of a single queue: with
 *	pressure p from 0 to 1 it is base / (1 - p). The pressure is what the
 *	task's own load causes, which changes within seconds and is followed
 *	for each task, and a weight for each core that a neighbour uses, which
 *	is learned for each pair of images. Latencies are given in shares of
 *	the task's target.
 *
 * SOURCE
 *	Pairwise estimates from sparse observations: Paragon, Delimitrou and
 *	Kozyrakis, ASPLOS 2013. Weights are corrected by factors, as in
 *	Littlestone's Winnow (1988), because few pairs matter.
 */
#define COLOCATION_NEIGHBOURS_MAX 64

/* Pressure of a task's own load until it has been observed. */
#define COLOCATION_OWN_PRESSURE 0.3

struct colocation;

struct colocation *colocation_new(void);
void colocation_delete(struct colocation *colocation);

/* Number of an image; -1 for NULL, or when the table is full. */
int colocation_image(struct colocation *colocation, const char *name);

struct neighbour {
	int image;
	double cores; /* in use */
};

/*
 * A figure of a serving task beside these neighbours. own is the pressure of
 * its own load, which is brought up to date.
 */
void colocation_observe(struct colocation *colocation, int serving,
			double latency, const struct neighbour *fills,
			int count, double *own);

/* Pressure on a serving image for each core that a neighbour uses. */
double colocation_weight(const struct colocation *colocation, int filling,
			 int serving);

/* Pressure at which a serving image has this latency. */
double colocation_pressure(const struct colocation *colocation, int serving,
			   double latency);

#endif
