#ifndef CATKINHILL_JSONCALL_H
#define CATKINHILL_JSONCALL_H

#include <stddef.h>
#include <stdint.h>

#include "loop.h"
#include "message.h"
#include "mstime.h"

/*
 * NAME
 *	jsoncall - HTTP call with a JSON body and its complete response
 *
 * NOTES
 *	A call ends in one callback, never inside jsoncall_start(), unless
 *	jsoncall_cancel() is called first; it is freed after the callback.
 *	err is 0, an error of httpc, or ERR_INVALID for a call that cannot
 *	be sent. body is NUL-terminated and valid during the callback.
 */
struct jsoncall;
struct jsoncall_peer;

typedef void (*jsoncall_fn)(void *arg, int err, int status, const char *body,
			    size_t len);

struct jsoncall_request {
	const char *method;
	const char *path;
	const char *body;	   /* NULL: none */
	struct http_header header; /* added to Content-Type; name NULL: none */
	int64_t timeout_ms;
	size_t max_response_bytes; /* ERR_TOO_LARGE beyond */
	/*
	 * Longer strings of the response are shortened as it arrives; see
	 * jsontrim.h. What is left may have max_trimmed_bytes. 0: not.
	 */
	size_t max_string_bytes, max_trimmed_bytes;
	int reuse_only; /* as in httpc_request; else ERR_UNAVAILABLE */
};

/* RETURN VALUE: NULL when the address is not "ip:port". */
struct jsoncall_peer *jsoncall_peer_new(struct loop *loop, const char *address,
					int max_idle);
/* All calls must have ended. */
void jsoncall_peer_delete(struct jsoncall_peer *peer);

/* See httpc_pool_drop_idle() and httpc_pool_is_connected(). */
void jsoncall_peer_drop_idle(struct jsoncall_peer *peer, struct mstime since);
int jsoncall_peer_is_connected(const struct jsoncall_peer *peer);

struct jsoncall *jsoncall_start(struct jsoncall_peer *peer,
				const struct jsoncall_request *request,
				jsoncall_fn fn, void *arg);
void jsoncall_cancel(struct jsoncall *call);

#endif
