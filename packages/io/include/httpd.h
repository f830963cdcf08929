#ifndef CATKINHILL_HTTPD_H
#define CATKINHILL_HTTPD_H

#include <stddef.h>
#include <stdint.h>

#include "loop.h"

/*
 * NAME
 *	httpd - HTTP/1.1 server for small requests and answers
 *
 * NOTES
 *	fn gets each whole request and answers it exactly once, at once or
 *	later, by httpd_reply(). An answer to a peer that has left is dropped.
 *	Requests over body_max bytes are answered 413 by evhttp.
 */
struct httpd;
struct httpd_request;

typedef void (*httpd_fn)(void *arg, struct httpd_request *request);

/* RETURN VALUE: NULL when the address "ip:port" cannot be bound. */
struct httpd *httpd_new(struct loop *loop, const char *address, size_t body_max,
			httpd_fn fn, void *arg);

/* Requests that are not answered yet are dropped with their connections. */
void httpd_delete(struct httpd *httpd);

/* Answers close their connection from now on. */
void httpd_disable_keepalive(struct httpd *httpd);

/* Requests that are not answered yet. */
size_t httpd_pending_count(const struct httpd *httpd);

const char *httpd_method(const struct httpd_request *request);
const char *httpd_path(const struct httpd_request *request); /* no query */
/* The part after '?', not decoded; "" without one. */
const char *httpd_query(const struct httpd_request *request);
const char *httpd_header(const struct httpd_request *request, const char *name);
const char *httpd_body(const struct httpd_request *request, size_t *len);

/*
 * Adds a header to the answer; to be called before httpd_reply().
 */
void httpd_add_header(struct httpd_request *request, const char *name,
		      const char *value);

/* body may be NULL; it is sent as JSON. The request must not be used after. */
void httpd_reply(struct httpd_request *request, int status, const char *body);

#endif
