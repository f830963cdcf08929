#ifndef CATKINHILL_HTTPLIMIT_H
#define CATKINHILL_HTTPLIMIT_H

#include "budget.h"
#include "loop.h"

struct evhttp;
struct evhttp_connection;

/*
 * NAME
 *	httplimit - holds the connections of an evhttp server to a budget
 *
 * NOTES
 *	Knows each connection from its accept to its end. Over the budget, and
 *	when a request takes too long to arrive, it closes connections whose
 *	request has not been given to the server's callback. Nothing more is
 *	read from a connection between httplimit_begin() and httplimit_end(),
 *	but for one buffer.
 */
struct httplimit;

struct metric_set;

/* Called when the connection of a request that has begun is closed. */
typedef void (*httplimit_fn)(void *arg);

/*
 * Before the server accepts its first connection. request_bytes: the largest
 * request, with its headers; door is for log and metrics, and outlives the
 * object.
 */
struct httplimit *httplimit_new(struct loop *loop, struct evhttp *http,
				const char *door,
				const struct budget_limits *limits,
				size_t request_bytes, struct metric_set *set);

/* After evhttp_free(). */
void httplimit_delete(struct httplimit *limit);

/*
 * The request has arrived; len is the size of its body.
 *
 * RETURN VALUE
 *	0, or ERR_FULL: there is no room to carry it out. It is to be answered
 *	in both cases.
 */
int httplimit_begin(struct httplimit *limit, struct evhttp_connection *conn,
		    size_t len);

/* The response is being written; fn is called if it can't be. */
void httplimit_on_close(struct httplimit *limit, struct evhttp_connection *conn,
			httplimit_fn fn, void *arg);

/* The response has been written. */
void httplimit_end(struct httplimit *limit, struct evhttp_connection *conn);

#endif
