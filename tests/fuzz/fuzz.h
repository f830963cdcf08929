#ifndef CATKINHILL_FUZZ_H
#define CATKINHILL_FUZZ_H

#include <stddef.h>

/*
 * NAME
 *	fuzz - functions that a fuzz target provides to the driver
 */
struct fuzz_input {
	unsigned char *data;
	size_t len;
};

/*
 * Runs one input and aborts if the target violates an invariant.
 *
 * RETURN VALUE
 *	1 when the input was accepted, 0 when it was refused.
 */
int fuzz_one_input(const unsigned char *data, size_t len);

/* Fills in at most max valid inputs to mutate; returns their number. */
size_t fuzz_initial_inputs(struct fuzz_input *inputs, size_t max);

#endif
