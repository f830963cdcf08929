#ifndef CATKINHILL_ENTRY_HTTP_H
#define CATKINHILL_ENTRY_HTTP_H

#include <stddef.h>
#include <stdint.h>

#include "list.h"
#include "message.h"

struct entry;
struct evhttp_connection;
struct evhttp_request;
struct request;

/*
 * NAME
 *	exchange - one HTTP request of a caller and its response
 *
 * NOTES
 *	The strings point into the evhttp request and live as long as the
 *	exchange. An exchange that has a request belongs to it until
 *	exchange_end(), exchange_abort() or exchange_reply().
 */
#define REQUEST_BODY_MAX_BYTES (16 * 1024 * 1024)

struct exchange {
	struct list node; /* entry->exchanges */
	struct entry *entry;
	struct evhttp_request *http;
	struct evhttp_connection *conn; /* NULL after the caller disconnected */
	struct request *request;	/* NULL after the end of the response */
	const char *method;
	const char *path;
	const char *host;
	char caller_address[ID_SIZE];
	struct header_list headers; /* to be forwarded */
	struct span body;
	size_t unwritten_bytes; /* response bytes that evhttp still holds */
	int head_sent;
	int ended;
	int close_after_response;
};

/* RETURN VALUE: 0, or ERR_SYSTEM when the address cannot be bound. */
int entry_http_start(struct entry *entry);

/* Stops accepting connections; existing ones stay open. */
void entry_http_stop_accepting(struct entry *entry);

/* Aborts all exchanges and closes all connections. */
void entry_http_stop(struct entry *entry);

const char *exchange_header(const struct exchange *exchange, const char *name);

/*
 * Sends status and headers. Adds outcome and trace as Catkinhill-Outcome and
 * Catkinhill-Trace; trace may be NULL.
 */
void exchange_send_head(struct exchange *exchange, int status,
			const struct header_list *headers, enum outcome outcome,
			const char *trace);
void exchange_send_body(struct exchange *exchange, const void *data,
			size_t len);

/* Ends a complete response; the exchange must not be used afterwards. */
void exchange_end(struct exchange *exchange);

/* Closes the connection, so that the caller sees a truncated response. */
void exchange_abort(struct exchange *exchange);

/* Sends a complete response with a line of text as its body. */
void exchange_reply(struct exchange *exchange, int status, enum outcome outcome,
		    const char *trace, const char *text);

#endif
