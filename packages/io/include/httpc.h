#ifndef CATKINHILL_HTTPC_H
#define CATKINHILL_HTTPC_H

#include <stddef.h>
#include <stdint.h>

#include "loop.h"
#include "message.h"

/*
 * NAME
 *	httpc - HTTP/1.1 client in the event loop
 *
 * NOTES
 *	Each call uses a connection of its own unless a pool has an idle one.
 *	A call ends with exactly one on_end(), also after httpc_cancel() is
 *	not called; after httpc_cancel() no callback comes. The call must not
 *	be used after on_end().
 */
struct httpc_call;
struct httpc_pool;

struct httpc_handlers {
	/* Head of the answer. Optional. */
	void (*on_head)(void *arg, int status,
			const struct header_list *headers);
	/* A part of the body, as it arrives. Optional. */
	void (*on_data)(void *arg, const void *data, size_t len);
	/*
	 * err is 0 when the answer is whole;
	 * ERR_UNAVAILABLE	no connection: the request was not sent
	 * ERR_UNKNOWN		sent, but the answer is missing or cut
	 * ERR_TIMEOUT		sent, but no whole answer within timeout_ms
	 * ERR_TOO_LARGE	the answer is over max_answer bytes
	 */
	void (*on_end)(void *arg, int err, int status);
};

struct httpc_request {
	const char *method; /* GET, HEAD, POST, PUT, DELETE, OPTIONS, PATCH */
	const char *path;
	const struct header_list *headers; /* may be NULL */
	const void *body;
	size_t body_len;
	int64_t timeout_ms; /* of the whole call; 0 for none */
	size_t max_answer;  /* bytes of the body; 0 for no bound */
};

/*
 * A pool of connections to one address ("ip:port"); idle connections are
 * kept and reused, at most max_idle of them.
 */
struct httpc_pool *httpc_pool_new(struct loop *loop, const char *address,
				  int max_idle);
void httpc_pool_delete(struct httpc_pool *pool);

/*
 * Starts a call; the request is copied.
 *
 * RETURN VALUE
 *	NULL when the method is unknown or no memory for a connection could
 *	be had; then no callback comes.
 */
struct httpc_call *httpc_start(struct httpc_pool *pool,
			       const struct httpc_request *request,
			       const struct httpc_handlers *handlers,
			       void *arg);

/* Ends the call and closes its connection; no callback follows. */
void httpc_cancel(struct httpc_call *call);

/*
 * Stops and resumes reading of the answer, for flow control.
 */
void httpc_pause(struct httpc_call *call);
void httpc_resume(struct httpc_call *call);

#endif
