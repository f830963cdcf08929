#ifndef CATKINHILL_ENTRY_HEADERS_H
#define CATKINHILL_ENTRY_HEADERS_H

#include <stdint.h>

#include "message.h"

/*
 * NAME
 *	entry_headers - which headers an entry passes on
 */

/* Hop-by-hop header of HTTP/1.1; those named by Connection come on top. */
int header_is_hop_by_hop(const char *name);

/* Whether a list such as the value of Connection names it; text may be NULL. */
int header_value_has_token(const char *text, const char *name);

/* RETURN VALUE: the first value of that name, or NULL. */
const char *header_find(const struct header_list *list, const char *name);

/*
 * What of an answer may be passed on; the items point into the source and
 * the array is freed by the caller. *length is Content-Length, or -1.
 */
void response_headers_filter(const struct header_list *from, int stream,
			     struct header_list *to, int64_t *length);

/* A copy that owns its strings, freed by header_list_clear(). */
struct header_list header_list_copy(const struct header_list *from);
void header_list_clear(struct header_list *list);

#endif
