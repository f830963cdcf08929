#ifndef CATKINHILL_FRAMECHECK_H
#define CATKINHILL_FRAMECHECK_H

#include <stddef.h>

/*
 * NAME
 *	framecheck_structure - checks the structure of a MessagePack frame
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
int framecheck_structure(const unsigned char *data, size_t len);

#endif
