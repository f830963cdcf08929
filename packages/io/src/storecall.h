#ifndef CATKINHILL_STORECALL_H
#define CATKINHILL_STORECALL_H

#include <jansson.h>

#include "httpc.h"
#include "list.h"
#include "store.h"

/*
 * NAME
 *	storecall - parts of the store client that calls and watches share
 */
struct store {
	struct loop *loop;
	struct httpc_pool *pool;
	int64_t timeout_ms;
	int64_t call_count;
	struct list pending; /* calls */
	struct list watches;
};

/* The bytes received of a response, with a terminating zero. */
struct response_buffer {
	char *data;
	size_t len, size;
};

void response_buffer_append(struct response_buffer *response, const void *data,
			    size_t len);
void response_buffer_clear(struct response_buffer *response);

/*
 * Starts an HTTP POST and frees body; timeout_ms is 0 for a watch.
 *
 * RETURN VALUE
 *	As httpc_start().
 */
struct httpc_call *store_post(struct store *store, const char *path, char *body,
			      int64_t timeout_ms,
			      const struct httpc_handlers *handlers, void *arg);

/* Maps the result of an HTTP call and its JSON response to an outcome. */
int store_outcome(int http_err, int status, const json_t *response);

/* Ends all watches without a callback; store_watch_stop() still frees them. */
void store_watches_detach(struct store *store);

#endif
