#ifndef CATKINHILL_FUZZ_H
#define CATKINHILL_FUZZ_H

#include <stddef.h>

/*
 * NAME
 *	fuzz - what a fuzz target gives to the driver
 */
struct fuzz_input {
	unsigned char *data;
	size_t len;
};

/*
 * Runs one input and aborts if the target breaks its contract.
 *
 * RETURN VALUE
 *	1 when the input was accepted, 0 when it was refused.
 */
int fuzz_one(const unsigned char *data, size_t len);

/* Valid inputs to start from, at most max; returns their number. */
size_t fuzz_samples(struct fuzz_input *inputs, size_t max);

#endif
