#ifndef CATKINHILL_ENTRY_HEADERS_H
#define CATKINHILL_ENTRY_HEADERS_H

#include <stdint.h>

#include "message.h"

/*
 * NAME
 *	entry_headers - selects the HTTP headers that an entry forwards
 */

/*
 * Whether HTTP/1.1 defines the header as hop-by-hop. Headers that Connection
 * lists are hop-by-hop as well and have to be checked separately.
 */
int header_is_hop_by_hop(const char *name);

/*
 * Whether a comma-separated list, such as the value of Connection, contains
 * the name, ignoring case; text may be NULL.
 */
int header_value_has_token(const char *text, const char *name);

/* RETURN VALUE: the first value of that name, or NULL. */
const char *header_find(const struct header_list *list, const char *name);

/*
 * Selects the response headers to forward. The items of to point into from;
 * to->items has to be freed. *length is Content-Length, or -1 if it is
 * missing or invalid, or for a stream.
 */
void response_headers_filter(const struct header_list *from, int stream,
			     struct header_list *to, int64_t *length);

/* A copy that owns its strings, freed by header_list_clear(). */
struct header_list header_list_copy(const struct header_list *from);
void header_list_clear(struct header_list *list);

#endif
