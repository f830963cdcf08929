#ifndef CATKINHILL_HTTPCONN_H
#define CATKINHILL_HTTPCONN_H

#include <stdint.h>

#include "httpc.h"
#include "list.h"
#include "mstime.h"

#define HOST_SIZE 64

struct evhttp_connection;

/*
 * NAME
 *	httpconn - connections of the HTTP client
 *
 * NOTES
 *	A connection serves one call at a time. An idle one that its server
 *	closes is removed at once; a close that the loop has not seen yet is
 *	detected by connection_acquire(). Connections are freed in the next
 *	iteration of the loop, because evhttp may still use the one whose
 *	callback is running.
 */
struct httpc_pool {
	struct loop *loop;
	char address[HOST_SIZE];
	char host[HOST_SIZE];
	uint16_t port;
	int max_idle, idle_count;
	struct list idle, active, closed, calls;
	struct loop_timer *free_timer;
};

struct connection {
	struct list node; /* of pool->idle, active or closed */
	struct httpc_pool *pool;
	struct evhttp_connection *evcon;
	struct httpc_call *call;
	struct mstime answered_at; /* last response; 0: none yet */
	int is_closed;
	int has_sent; /* bytes of the call were handed to the connection */
};

/*
 * Sets up the lists and the timer of a pool whose loop is set, and frees the
 * connections with the timer.
 */
void connections_init(struct httpc_pool *pool);
void connections_free(struct httpc_pool *pool);

/*
 * RETURN VALUE
 *	An idle or a new connection, which may not be established yet; NULL
 *	when none can be created.
 */
struct connection *connection_acquire(struct httpc_pool *pool);

/* The same, but NULL when there is no idle connection. */
struct connection *connection_reuse(struct httpc_pool *pool);

/* Keeps the connection for another call if it is reusable, or closes it. */
void connection_release(struct connection *conn, int reusable);

/* Closes the idle connections that have not answered since then. */
void connections_drop_idle(struct httpc_pool *pool, struct mstime since);

/* Whether the connection is established, so that bytes may have been sent. */
int connection_is_open(const struct connection *conn);

#endif
