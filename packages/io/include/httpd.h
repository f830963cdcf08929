#ifndef CATKINHILL_HTTPD_H
#define CATKINHILL_HTTPD_H

#include <stddef.h>
#include <stdint.h>

#include "budget.h"
#include "loop.h"
#include "metrics.h"

/*
 * NAME
 *	httpd - HTTP/1.1 server for small requests and responses
 *
 * NOTES
 *	fn is called with each complete request and must answer it exactly
 *	once with httpd_reply(), before it returns or later. A response to a
 *	client that has disconnected is dropped. evhttp answers requests whose
 *	body is over body_max bytes with 413.
 */
struct httpd;
struct httpd_request;

typedef void (*httpd_fn)(void *arg, struct httpd_request *request);

/* RETURN VALUE: NULL when the address "ip:port" cannot be bound. */
struct httpd *httpd_new(struct loop *loop, const char *address, size_t body_max,
			httpd_fn fn, void *arg);

/*
 * Holds the clients to limits, from the start on. A request for which there is
 * no room is answered 503 with Retry-After, and is not passed to fn. door is
 * for log and metrics, and outlives the server.
 */
void httpd_set_limits(struct httpd *httpd, struct loop *loop, const char *door,
		      const struct budget_limits *limits,
		      struct metric_set *set);

/* Not above the value of httpd_new(). Larger bodies are answered 413. */
void httpd_set_body_max(struct httpd *httpd, size_t body_max);

/* Drops the requests that are not answered yet, with their connections. */
void httpd_delete(struct httpd *httpd);

/* Each response from now on closes its connection. */
void httpd_disable_keepalive(struct httpd *httpd);

/*
 * Number of requests that are not answered yet, or whose response is not
 * written to the connection yet: httpd_delete() would drop it.
 */
size_t httpd_pending_count(const struct httpd *httpd);

const char *httpd_method(const struct httpd_request *request);
const char *httpd_path(const struct httpd_request *request); /* no query */
/* The part after '?', not decoded; "" without one. */
const char *httpd_query(const struct httpd_request *request);
const char *httpd_header(const struct httpd_request *request, const char *name);
const char *httpd_body(const struct httpd_request *request, size_t *len);

/*
 * Adds a header to the response; to be called before httpd_reply().
 */
void httpd_add_header(struct httpd_request *request, const char *name,
		      const char *value);

/* Sends body, if not NULL, as JSON. The request must not be used afterwards. */
void httpd_reply(struct httpd_request *request, int status, const char *body);

#endif
