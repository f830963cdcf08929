#ifndef CATKINHILL_STORECALL_H
#define CATKINHILL_STORECALL_H

#include <jansson.h>

#include "httpc.h"
#include "list.h"
#include "store.h"

/*
 * NAME
 *	storecall - parts of the store's client that calls and watches share
 */
struct store {
	struct loop *loop;
	struct httpc_pool *pool;
	int64_t timeout_ms;
	int64_t call_count;
	struct list pending; /* calls */
	struct list watches;
};

/* Bytes of an answer that have arrived; always terminated. */
struct response_buffer {
	char *data;
	size_t len, size;
};

void response_buffer_append(struct response_buffer *answer, const void *data,
			    size_t len);
void response_buffer_clear(struct response_buffer *answer);

/*
 * Starts an HTTP call and frees the body.
 *
 * RETURN VALUE
 *	As httpc_start().
 */
struct httpc_call *store_post(struct store *store, const char *path, char *body,
			      int64_t timeout_ms,
			      const struct httpc_handlers *handlers, void *arg);

/* Outcome of a call from the end of its HTTP call and the answer's JSON. */
int store_outcome(int http_err, int status, const json_t *answer);

/* Ends all watches without a callback. */
void store_watches_detach(struct store *store);

#endif
