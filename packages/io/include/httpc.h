#ifndef CATKINHILL_HTTPC_H
#define CATKINHILL_HTTPC_H

#include <stddef.h>
#include <stdint.h>

#include "loop.h"
#include "message.h"
#include "mstime.h"

/*
 * NAME
 *	httpc - HTTP/1.1 client in the event loop
 *
 * NOTES
 *	A call uses an idle connection of its pool or opens a new one. An idle
 *	connection that its server has closed is not used again; when the
 *	server closes it just as a call is sent, the call ends with
 *	ERR_UNKNOWN. Each call ends with exactly one on_end() unless it is
 *	cancelled; no callback follows httpc_cancel(). The call must not be
 *	used after on_end(). No callback runs inside httpc_start(). Connecting
 *	times out after 3 s.
 *
 *	An open connection may become silent for good, and all of them at the
 *	same time. After a time-out, the idle connections that have not
 *	answered since the call was started are closed, so that one call at
 *	most waits for them. Idle connections are probed by TCP.
 *
 *	Limits of evhttp (libevent 2.1.12):
 *	- A chunk of a chunked response is delivered once it is complete and
 *	  is held in memory until then. Without max_response_bytes the size
 *	  of a chunk is not limited.
 *	- A response that is neither chunked nor has a Content-Length ends when
 *	  its connection closes, also if its server has died. The call ends
 *	  with ERR_UNKNOWN after all the data.
 *	- The response is read only after the whole request is sent. A response
 *	  that a server sends before it closes the connection with the request
 *	  half read is lost: ERR_UNKNOWN.
 *	- A malformed chunk size ends the call with ERR_TOO_LARGE when
 *	  max_response_bytes is set.
 *	- Informational responses (1xx) other than 100 end the call with
 *	  ERR_UNKNOWN.
 */
struct httpc_call;
struct httpc_pool;

struct httpc_handlers {
	/* headers are valid during the callback. Optional. */
	void (*on_head)(void *arg, int status,
			const struct header_list *headers);
	/* A part of the body as it arrives. Optional. */
	void (*on_data)(void *arg, const void *data, size_t len);
	/*
	 * err is 0 when the response is complete, or
	 * ERR_UNAVAILABLE	no connection: the request was not sent
	 * ERR_UNKNOWN		sent, but the response is missing or incomplete
	 * ERR_TIMEOUT		sent, but the response was not complete within
	 *			timeout_ms
	 * ERR_TOO_LARGE	the body is over max_response_bytes
	 */
	void (*on_end)(void *arg, int err, int status);
};

struct httpc_request {
	const char *method; /* GET, HEAD, POST, PUT, DELETE, OPTIONS, PATCH */
	const char *path;
	/*
	 * May be NULL. Host is added if missing. Content-Length,
	 * Transfer-Encoding, Connection and other hop-by-hop headers are
	 * ignored; the client sets its own.
	 */
	const struct header_list *headers;
	const void *body;
	size_t body_len;
	int64_t timeout_ms;	   /* of the whole call; 0 for none */
	size_t max_response_bytes; /* of the body; 0 for no limit */
	/* Flag: only on an open connection that an earlier call has used. */
	int reuse_only;
};

/*
 * A pool of connections to one address ("ip:port", IPv4). At most max_idle
 * idle connections are kept for reuse. httpc_pool_delete() cancels the pending
 * calls and must not be called in a callback of a call.
 *
 * RETURN VALUE
 *	NULL when the address cannot be parsed.
 */
struct httpc_pool *httpc_pool_new(struct loop *loop, const char *address,
				  int max_idle);
void httpc_pool_delete(struct httpc_pool *pool);

/*
 * Whether the pool has a connection that the server has not closed, as far as
 * the kernel knows now. As long as it has, the server has not been restarted.
 */
int httpc_pool_is_connected(const struct httpc_pool *pool);

/*
 * Closes the idle connections that have not answered since then, as after a
 * time-out of a call in this pool. For pools that lead to the same server.
 */
void httpc_pool_drop_idle(struct httpc_pool *pool, struct mstime since);

/*
 * Starts a call; the request is copied.
 *
 * RETURN VALUE
 *	NULL when the method is unknown, the path or a header has bytes that
 *	are not allowed there, or there is no connection for reuse_only; no
 *	callback follows then.
 */
struct httpc_call *httpc_start(struct httpc_pool *pool,
			       const struct httpc_request *request,
			       const struct httpc_handlers *handlers,
			       void *arg);

/*
 * Aborts the call and closes its connection; no callback follows. May be
 * called in on_head() and on_data().
 */
void httpc_cancel(struct httpc_call *call);

/*
 * Stops and resumes reading of the response, for flow control. Data that was
 * read before may still be delivered after httpc_pause(). While a call is
 * paused, a close of its connection is not detected; its timeout still runs.
 */
void httpc_pause(struct httpc_call *call);
void httpc_resume(struct httpc_call *call);

#endif
