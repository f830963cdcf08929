#include "colocation.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

#define IMAGES_MAX 256

/* Assumed of a pair without evidence. */
#define PRIOR_HARM 0.15
#define PRIOR_WEIGHT 1.0
/* Below this share of the target a figure clears the neighbours. */
#define CLEAR_SHARE 0.70
/* Above this share it blames them. */
#define BLAME_SHARE 0.95
/* A neighbour that uses fewer cores tells nothing. */
#define CORES_MIN 1.5
/* Older and newer evidence together weigh at most this many figures. */
#define EVIDENCE_MAX 12.0

struct pair {
	double harmful, harmless;
	struct mstime updated;
};

struct colocation {
	char *names[IMAGES_MAX];
	int count;
	struct pair *pairs[IMAGES_MAX]; /* of a filling image, by serving */
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
		free(colocation->pairs[i]);
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

static struct pair *pair_get(struct colocation *colocation, int filling,
			     int serving, struct mstime now)
{
	struct pair *pair;
	double age, weight;

	if (!colocation->pairs[filling])
		colocation->pairs[filling] =
			xcalloc(IMAGES_MAX, sizeof(struct pair));
	pair = &colocation->pairs[filling][serving];
	age = (double)mstime_diff(now, pair->updated);
	if (!pair->updated.ms || age <= 0) {
		pair->updated = now;
		return pair;
	}
	weight = exp2(-age / COLOCATION_HALF_LIFE_MS);
	pair->harmful *= weight;
	pair->harmless *= weight;
	pair->updated = now;
	return pair;
}

static void add(struct pair *pair, double harmful, double harmless)
{
	double sum;

	pair->harmful += harmful;
	pair->harmless += harmless;
	sum = pair->harmful + pair->harmless;
	if (sum <= EVIDENCE_MAX)
		return;
	pair->harmful *= EVIDENCE_MAX / sum;
	pair->harmless *= EVIDENCE_MAX / sum;
}

double colocation_harm(struct colocation *colocation, int filling, int serving,
		       struct mstime now)
{
	const struct pair *pair;

	if (filling < 0 || serving < 0)
		return PRIOR_HARM;
	pair = pair_get(colocation, filling, serving, now);
	return (pair->harmful + PRIOR_HARM * PRIOR_WEIGHT) /
	       (pair->harmful + pair->harmless + PRIOR_WEIGHT);
}

void colocation_observe(struct colocation *colocation, int serving,
			double latency_share, const struct neighbour *fills,
			int count, struct mstime now)
{
	double harm[COLOCATION_NEIGHBOURS_MAX], sum = 0;
	int i;

	if (serving < 0 || count > COLOCATION_NEIGHBOURS_MAX)
		return;
	for (i = 0; i < count; i++) {
		harm[i] = 0;
		if (fills[i].image < 0 || fills[i].cores < CORES_MIN)
			continue;
		harm[i] = colocation_harm(colocation, fills[i].image, serving,
					  now);
		sum += harm[i];
	}
	for (i = 0; i < count; i++) {
		if (harm[i] <= 0)
			continue;
		if (latency_share > BLAME_SHARE)
			add(pair_get(colocation, fills[i].image, serving, now),
			    harm[i] / sum, 0);
		else if (latency_share < CLEAR_SHARE)
			add(pair_get(colocation, fills[i].image, serving, now),
			    0, 1);
	}
}
