#ifndef CATKINHILL_CLIENT_H
#define CATKINHILL_CLIENT_H

#include <jansson.h>

/*
 * NAME
 *	client - blocking calls to the operator API of an entry
 */
struct client_response {
	int status;	   /* HTTP status code */
	json_t *body;	   /* NULL when the response is not JSON */
	const char *entry; /* address that responded or was tried last */
};

/*
 * Tries the entries in order, each only if no connection to the previous one
 * could be made, so that at most one entry receives the call.
 *
 * RETURN VALUE
 *	0, or ERR_UNAVAILABLE, ERR_UNKNOWN, ERR_TIMEOUT, ERR_TOO_LARGE as in
 *	httpc.h. client_clear() releases the body.
 */
int client_call(char **entries, const char *method, const char *path,
		const char *body, struct client_response *response);

void client_clear(struct client_response *response);

#endif
