#ifndef CATKINHILL_SHAPE_H
#define CATKINHILL_SHAPE_H

#include <stddef.h>

/*
 * NAME
 *	shape_check - checks the structure of a MessagePack frame
 *
 * NOTES
 *	msgpack-c allocates an array as soon as it has read its length, so a
 *	frame of five bytes could make it allocate 64 GB. This check runs
 *	before decoding and allocates nothing. It accepts unsigned integers,
 *	strings, binaries and arrays whose elements can fit into the rest of
 *	the frame.
 *
 * RETURN VALUE
 *	0, or ERR_MALFORMED.
 */
int shape_check(const unsigned char *data, size_t len);

#endif
