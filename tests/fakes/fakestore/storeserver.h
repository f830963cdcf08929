#ifndef CATKINHILL_STORESERVER_H
#define CATKINHILL_STORESERVER_H

#include <stdint.h>

#include "loop.h"

/*
 * NAME
 *	storeserver - stand-in of the platform's key-value store
 *
 * NOTES
 *	Speaks the part of the etcd v3 JSON gateway that is described in
 *	docs/store-interface.md and keeps everything in memory. Faults are
 *	set by storeserver_control() or by POST /control.
 */
struct storeserver;

enum store_call_kind {
	STORE_RANGE,
	STORE_TXN,
	STORE_DELETERANGE,
	STORE_GRANT,
	STORE_KEEPALIVE,
	STORE_REVOKE,
	STORE_WATCH,
	STORE_KIND_COUNT
};

/*
 * Listens on address. /control is served there or, if control is not NULL,
 * only at that address, where it stays reachable while the store refuses
 * connections. Without an address for /control, a refusing store accepts
 * connections and closes them without an answer.
 *
 * RETURN VALUE
 *	NULL when an address cannot be used.
 */
struct storeserver *storeserver_new(struct loop *loop, const char *address,
				    const char *control);
void storeserver_delete(struct storeserver *server);

/*
 * Applies a JSON object with any of these fields:
 *	mode		"ok", "refuse" or "hang" (calls get no answer and have
 *			no effect). Leases do not expire while the store is
 *			down and start anew when it is back.
 *	delay_ms	wait before each answer, after its effect
 *	lose_answers	the next N answers are replaced by a closed
 *			connection, after their effect
 *	lose_kind	kind of the calls whose answers are lost (default
 *			"txn")
 *	break_watches	true closes all watches
 *	expire_leases	true ends all leases now
 *
 * RETURN VALUE
 *	0, or ERR_INVALID.
 */
int storeserver_control(struct storeserver *server, const char *json);

/* Calls of a kind since the start, with or without effect. */
int64_t storeserver_calls(const struct storeserver *server,
			  enum store_call_kind kind);
int storeserver_watches(const struct storeserver *server);

#endif
