#ifndef CATKINHILL_STORESERVER_H
#define CATKINHILL_STORESERVER_H

#include <stdint.h>

#include "loop.h"

/*
 * NAME
 *	storeserver - stand-in for the platform's key-value store
 *
 * NOTES
 *	Implements in memory the part of the etcd v3 JSON gateway that is
 *	described in docs/store-interface.md. Faults are injected with
 *	storeserver_control() or POST /control.
 */
struct storeserver;

enum store_request_kind {
	STORE_RANGE,
	STORE_TXN,
	STORE_DELETERANGE,
	STORE_GRANT,
	STORE_KEEPALIVE,
	STORE_REVOKE,
	STORE_WATCH,
	STORE_REQUEST_KIND_COUNT
};

/*
 * Listens on address. /control is served there or, if control_address is not
 * NULL, only at that address, where it stays reachable while the store refuses
 * connections. If control_address is NULL, a store in mode "refuse" accepts
 * connections and closes them without a response.
 *
 * RETURN VALUE
 *	NULL when an address cannot be used.
 */
struct storeserver *storeserver_new(struct loop *loop, const char *address,
				    const char *control_address);
void storeserver_delete(struct storeserver *server);

/*
 * Applies a JSON object with any of these fields:
 *	mode		"ok", "refuse" or "hang" (requests have no effect and
 *			get no response). Leases do not expire in another mode
 *			than "ok"; on return to it they get their full TTL.
 *	delay_ms	delay of each response; requests take effect at once
 *	lose_answers	the next N requests of kind lose_kind take effect, but
 *			their connections are closed without a response
 *	lose_kind	kind of the requests whose responses are lost (default
 *			"txn")
 *	break_watches	true closes all watches
 *	expire_leases	true expires all leases now
 *
 * RETURN VALUE
 *	0, or ERR_INVALID.
 */
int storeserver_control(struct storeserver *server, const char *json);

/* Requests of a kind since the start, with or without effect. */
int64_t storeserver_request_count(const struct storeserver *server,
				  enum store_request_kind kind);
int storeserver_watch_count(const struct storeserver *server);

#endif
