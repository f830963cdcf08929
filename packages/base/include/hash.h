#ifndef CATKINHILL_HASH_H
#define CATKINHILL_HASH_H

#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	hash - 64-bit hashes that are equal in every process
 *
 * NOTES
 *	FNV-1a followed by the finalizer of SplitMix64, both public domain.
 *	Not for untrusted keys that must be collision resistant.
 */
uint64_t hash_bytes(const void *data, size_t len);
uint64_t hash_str(const char *str);

/*
 * Rank of a member for a key in rendezvous hashing; the member with the
 * highest rank owns the key.
 *
 * SOURCE
 *	Thaler and Ravishankar, IEEE/ACM ToN 1998.
 */
uint64_t hash_rendezvous(uint64_t key, const char *member);

#endif
