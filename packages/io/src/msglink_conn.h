#ifndef CATKINHILL_MSGLINK_CONN_H
#define CATKINHILL_MSGLINK_CONN_H

#include <stddef.h>

#include "loop.h"

/*
 * NAME
 *	msglink_conn - one TCP connection that carries frames
 *
 * NOTES
 *	Events are reported to the owner; it may close the connection in any of
 *	them, and has to do so when it has failed.
 */
struct msglink_conn;

struct msglink_conn_handlers {
	void (*on_connected)(void *owner); /* NULL for an accepted connection */
	void (*on_frame)(void *owner, const unsigned char *data, size_t len);
	void (*on_failed)(void *owner);
};

/* Takes ownership of the socket; is_connected: it was accepted. */
struct msglink_conn *msglink_conn_new(
	struct loop *loop, int fd, int is_connected,
	const struct msglink_conn_handlers *handlers, void *owner);

/* Sends what the socket takes at once, then closes. */
void msglink_conn_close(struct msglink_conn *conn);

/* ERR_FULL or ERR_UNAVAILABLE; a failure is reported to the owner later. */
int msglink_conn_send(struct msglink_conn *conn, const void *data, size_t len);

#endif
