#include "colocation.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

#define IMAGES_MAX 256

/* Weight of a pair that has not been observed: mild, so that it is tried. */
#define WEIGHT_INITIAL 0.010
#define WEIGHT_MAX 0.5
/* Latency without load, until a lower one is seen, and its lower bound. */
#define BASE_INITIAL 0.25
#define BASE_MIN 0.05
#define PRESSURE_MAX 0.98
#define OWN_MAX 0.85
#define WEIGHT_MIN 0.002
/* Share of an error that one figure corrects: in the weights, ... */
#define WEIGHT_RATE 0.8
/* ... and in the own load, beside neighbours and without. */
#define OWN_RATE 0.08
#define OWN_RATE_ALONE 0.5
/* Bounds of the correction of a weight by one figure. */
#define FACTOR_MIN 0.3
#define FACTOR_MAX 4.0
/* Pressure below which neighbours tell nothing. */
#define PRESSURE_MIN 0.01
/* A neighbour that uses less is not blamed. */
#define CORES_MIN 0.5

struct colocation {
	char *names[IMAGES_MAX];
	int count;
	double base[IMAGES_MAX];     /* of a serving image; 0: not seen */
	double *weights[IMAGES_MAX]; /* of a filling image, by serving */
};

struct colocation *colocation_new(void)
{
	return xcalloc(1, sizeof(struct colocation));
}

void colocation_delete(struct colocation *colocation)
{
	int i;

	if (!colocation)
		return;
	for (i = 0; i < colocation->count; i++) {
		free(colocation->names[i]);
		free(colocation->weights[i]);
	}
	free(colocation);
}

int colocation_image(struct colocation *colocation, const char *name)
{
	int i;

	if (!name)
		return -1;
	for (i = 0; i < colocation->count; i++)
		if (!strcmp(colocation->names[i], name))
			return i;
	if (colocation->count == IMAGES_MAX)
		return -1;
	colocation->names[colocation->count] = xstrdup(name);
	return colocation->count++;
}

static double clamp(double value, double low, double high)
{
	if (value < low)
		return low;
	return value > high ? high : value;
}

static double base_of(const struct colocation *colocation, int serving)
{
	double base = serving < 0 ? 0 : colocation->base[serving];

	return base > 0 ? base : BASE_INITIAL;
}

double colocation_pressure(const struct colocation *colocation, int serving,
			   double latency)
{
	double base = base_of(colocation, serving);

	if (latency <= base)
		return 0;
	return clamp(1 - base / latency, 0, PRESSURE_MAX);
}

double colocation_weight(const struct colocation *colocation, int filling,
			 int serving)
{
	if (filling < 0 || serving < 0 || !colocation->weights[filling])
		return WEIGHT_INITIAL;
	return colocation->weights[filling][serving];
}

static double *weight_get(struct colocation *colocation, int filling,
			  int serving)
{
	double **row = &colocation->weights[filling];
	int i;

	if (!*row) {
		*row = xcalloc(IMAGES_MAX, sizeof(**row));
		for (i = 0; i < IMAGES_MAX; i++)
			(*row)[i] = WEIGHT_INITIAL;
	}
	return &(*row)[serving];
}

void colocation_observe(struct colocation *colocation, int serving,
			double latency, const struct neighbour *fills,
			int count, double *own)
{
	double error, sum = 0, factor;
	int i;

	if (serving < 0 || latency <= 0)
		return;
	if (latency < base_of(colocation, serving))
		colocation->base[serving] =
			clamp(latency, BASE_MIN, BASE_INITIAL);
	for (i = 0; i < count; i++)
		sum += fills[i].cores *
		       colocation_weight(colocation, fills[i].image, serving);
	error = colocation_pressure(colocation, serving, latency) - *own - sum;
	*own = clamp(*own + (sum < PRESSURE_MIN ? OWN_RATE_ALONE : OWN_RATE) *
				     error,
		     0, OWN_MAX);
	if (sum < PRESSURE_MIN)
		return;
	factor = clamp(1 + WEIGHT_RATE * error / sum, FACTOR_MIN, FACTOR_MAX);
	for (i = 0; i < count; i++) {
		double *weight;

		if (fills[i].image < 0 || fills[i].cores < CORES_MIN)
			continue;
		weight = weight_get(colocation, fills[i].image, serving);
		*weight = clamp(*weight * factor, WEIGHT_MIN, WEIGHT_MAX);
	}
}
