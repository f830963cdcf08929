#include "hash.h"

#include <string.h>

#define FNV_OFFSET 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

static uint64_t mix(uint64_t x)
{
	x ^= x >> 30;
	x *= 0xbf58476d1ce4e5b9ULL;
	x ^= x >> 27;
	x *= 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

uint64_t hash_bytes(const void *data, size_t len)
{
	const unsigned char *p = data;
	uint64_t h = FNV_OFFSET;
	size_t i;

	for (i = 0; i < len; i++)
		h = (h ^ p[i]) * FNV_PRIME;
	return mix(h);
}

uint64_t hash_str(const char *str)
{
	return hash_bytes(str, strlen(str));
}

uint64_t hash_rendezvous(uint64_t key, const char *member)
{
	return mix(key ^ hash_str(member));
}
