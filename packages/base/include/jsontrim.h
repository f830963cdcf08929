#ifndef CATKINHILL_JSONTRIM_H
#define CATKINHILL_JSONTRIM_H

#include <stddef.h>

/*
 * NAME
 *	jsontrim - shortens the long strings of a JSON text as it arrives
 *
 * NOTES
 *	For texts of any length in which most is in strings that are too long
 *	to be used. A string of at most max bytes, without its escapes, stays
 *	as it is. Of a longer one the beginning is kept, so much that it is
 *	still longer than max bytes and that it is well formed if it was;
 *	what is left out is not checked. A struct jsontrim starts zeroed, but
 *	for max; the text may be cut into parts anywhere.
 */
struct jsontrim {
	size_t max;
	size_t kept; /* bytes of the string, without its escapes, at least */
	unsigned in_string : 1;
	unsigned is_dropping : 1;   /* the rest of the string */
	unsigned is_escape : 1;	    /* after a backslash */
	unsigned has_high_half : 1; /* of a surrogate pair, the low one not */
	unsigned hex_left : 3;	    /* digits of \uXXXX that follow */
	unsigned code : 16;	    /* of the digits */
};

/*
 * Writes what is left of len bytes of text to dst, which has room for as many;
 * they may be the same.
 *
 * RETURN VALUE
 *	Number of bytes written.
 */
size_t jsontrim(struct jsontrim *trim, char *dst, const char *text, size_t len);

#endif
