#include "rng.h"

#define GOLDEN_GAMMA 0x9e3779b97f4a7c15ULL

void rng_seed(struct rng *rng, uint64_t seed)
{
	rng->state = seed;
}

uint64_t rng_next(struct rng *rng)
{
	uint64_t z = (rng->state += GOLDEN_GAMMA);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

uint32_t rng_below(struct rng *rng, uint32_t bound)
{
	return (uint32_t)(((rng_next(rng) >> 32) * (uint64_t)bound) >> 32);
}

double rng_unit(struct rng *rng)
{
	return (double)(rng_next(rng) >> 11) / 9007199254740992.0;
}
