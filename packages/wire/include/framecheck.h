#ifndef CATKINHILL_FRAMECHECK_H
#define CATKINHILL_FRAMECHECK_H

#include <stddef.h>

/*
 * NAME
 *	shape_check - checks the structure of a MessagePack frame
 *
 * NOTES
 *	The library allocates an array as soon as it has read its length, so
 *	five bytes could ask for 64 GB. This check runs first and allocates
 *	nothing: it accepts unsigned integers, strings, binaries and arrays
 *	whose elements can fit into the rest of the frame.
 *
 * RETURN VALUE
 *	0, or ERR_MALFORMED.
 */
int framecheck_structure(const unsigned char *data, size_t len);

#endif
