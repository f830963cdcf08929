#ifndef CATKINHILL_RNG_H
#define CATKINHILL_RNG_H

#include <stdint.h>

/*
 * NAME
 *	rng - seeded generator; the same seed gives the same sequence
 *
 * NOTES
 *	SplitMix64 (public domain). Not for secrets.
 */
struct rng {
	uint64_t state;
};

void rng_seed(struct rng *rng, uint64_t seed);
uint64_t rng_next(struct rng *rng);

/* Uniform in 0 .. bound - 1; bound must be positive. */
uint32_t rng_below(struct rng *rng, uint32_t bound);

/* Uniform in [0, 1). */
double rng_unit(struct rng *rng);

#endif
