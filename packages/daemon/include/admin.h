#ifndef CATKINHILL_ADMIN_H
#define CATKINHILL_ADMIN_H

#include <jansson.h>

#include "daemon.h"

/*
 * NAME
 *	admin - HTTP server for metrics, health and the operator API
 *
 * NOTES
 *	Serves GET /metrics, /health and /ready by itself; other parts of the
 *	process register what they answer. A handler answers exactly once,
 *	at once or later, by admin_reply().
 */
struct admin;
struct admin_request;

typedef void (*admin_handler_fn)(void *arg, struct admin_request *request);

/* RETURN VALUE: NULL when the address cannot be bound. */
struct admin *admin_new(struct daemon *daemon);
void admin_delete(struct admin *admin);

/* reason is one word shown by /ready while not ready; static storage. */
void admin_set_ready(struct admin *admin, int ready, const char *reason);

/*
 * Registers a handler for method ("GET" or "POST") and a path. A path that
 * ends in '/' matches everything below it. The longest match wins.
 */
void admin_register(struct admin *admin, const char *method, const char *path,
		    admin_handler_fn fn, void *arg);

/* The path after the registered one, decoded; "" when equal. */
const char *admin_request_subpath(const struct admin_request *request);

/* The body of a POST, terminated; *len may be NULL. */
const char *admin_request_body(const struct admin_request *request,
			       size_t *len);

/* Answers with JSON; takes over the reference to body. */
void admin_reply(struct admin_request *request, int status, json_t *body);

/* Answers {"error": name, "message": text}. */
void admin_reply_error(struct admin_request *request, int status, int err,
		       const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

#endif
