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
 *	An idle connection that its server has closed is not used again; when
 *	the server closes it just as a call is sent, the call ends with
 *	ERR_UNKNOWN. A call ends with exactly one on_end(), unless
 *	httpc_cancel() is called; after that no callback comes. The call must
 *	not be used after on_end(). No callback comes inside httpc_start().
 *	An attempt to connect is given up after 3 s.
 *
 *	Limits of evhttp (libevent 2.1.12):
 *	- A chunk of a chunked answer is passed on when it is complete, so it
 *	  is held in memory until then. Without max_answer a chunk has no
 *	  bound.
 *	- An answer that is neither chunked nor has a Content-Length ends with
 *	  its connection and looks the same when its server dies. It ends in
 *	  ERR_UNKNOWN after all its data.
 *	- The answer is read only after the whole request is sent. An answer
 *	  that a server sends before it closes with the request half read is
 *	  lost: ERR_UNKNOWN.
 *	- A malformed chunk size ends in ERR_TOO_LARGE when max_answer is set.
 *	- Informational answers but 100 end the call with ERR_UNKNOWN.
 */
struct httpc_call;
struct httpc_pool;

struct httpc_handlers {
	/* Head of the answer; headers are valid during the call. Optional. */
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
	/*
	 * May be NULL. Host is added if missing; Content-Length,
	 * Transfer-Encoding, Connection and other headers of the hop are the
	 * client's own and ignored here.
	 */
	const struct header_list *headers;
	const void *body;
	size_t body_len;
	int64_t timeout_ms;	   /* of the whole call; 0 for none */
	size_t max_response_bytes; /* bytes of the body; 0 for no bound */
};

/*
 * A pool of connections to one address ("ip:port", IPv4); idle connections
 * are kept and reused, at most max_idle of them. httpc_pool_delete() cancels
 * the calls that are left and must not be called in a callback of a call.
 *
 * RETURN VALUE
 *	NULL when the address cannot be parsed.
 */
struct httpc_pool *httpc_pool_new(struct loop *loop, const char *address,
				  int max_idle);
void httpc_pool_delete(struct httpc_pool *pool);

/*
 * Starts a call; the request is copied.
 *
 * RETURN VALUE
 *	NULL when the method is unknown, or the path or a header has bytes
 *	that are not allowed there; then no callback comes.
 */
struct httpc_call *httpc_start(struct httpc_pool *pool,
			       const struct httpc_request *request,
			       const struct httpc_handlers *handlers,
			       void *arg);

/*
 * Ends the call and closes its connection; no callback follows. May be called
 * in on_head() and on_data().
 */
void httpc_cancel(struct httpc_call *call);

/*
 * Stops and resumes reading of the answer, for flow control. Data that was
 * read before may still be passed after httpc_pause(). While a call is
 * paused, the end of its connection is not seen; its timeout still runs.
 */
void httpc_pause(struct httpc_call *call);
void httpc_resume(struct httpc_call *call);

#endif
