#ifndef CATKINHILL_JSONCOST_H
#define CATKINHILL_JSONCOST_H

#include <stddef.h>

/*
 * NAME
 *	jsoncost - about the bytes of memory that a decoded JSON text takes
 *
 * NOTES
 *	To be asked before decoding: a text of very many short values takes
 *	eighty times its length. Not exact, and any bytes are allowed.
 */
size_t jsoncost(const char *json, size_t len);

/* For a text of a client: no valid one costs as much. */
#define JSONCOST_CLIENT_MAX (16 * 1024 * 1024)

#endif
