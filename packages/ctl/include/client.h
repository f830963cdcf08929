#ifndef CATKINHILL_CLIENT_H
#define CATKINHILL_CLIENT_H

#include <jansson.h>

/*
 * NAME
 *	client - one call to the operator API of an entry, waiting for it
 */
struct client_response {
	int status;	   /* of HTTP */
	json_t *body;	   /* NULL when the answer is not JSON */
	const char *entry; /* which answered, or the last one tried */
};

/*
 * Tries the entries in turn, the next one only when no connection could be
 * made, so that a call reaches at most one entry.
 *
 * RETURN VALUE
 *	0, or ERR_UNAVAILABLE, ERR_UNKNOWN, ERR_TIMEOUT, ERR_TOO_LARGE as of
 *	httpc.h. The body is released by client_clear().
 */
int client_call(char **entries, const char *method, const char *path,
		const char *body, struct client_response *answer);

void client_clear(struct client_response *answer);

#endif
