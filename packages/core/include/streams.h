#ifndef CATKINHILL_STREAMS_H
#define CATKINHILL_STREAMS_H

#include <stddef.h>
#include <stdint.h>

#include "list.h"
#include "message.h"

/*
 * NAME
 *	streams - server-sent event streams shared by several callers
 *
 * NOTES
 *	Callers that request the same stream share one upstream stream. Only
 *	complete events are delivered, so that a caller can join, and the
 *	stream can move to another upstream, between two events. A move asks
 *	the new upstream for what follows the last delivered event. Until it
 *	ends, events of the old upstream are held back; they are discarded if
 *	the move succeeds.
 *
 * SOURCE
 *	HTML Standard, section Server-sent events. Lines that end with a
 *	single carriage return are not supported.
 */
#define EVENT_ID_SIZE 256
#define STREAM_BUFFER_MAX (256 * 1024) /* bytes of one event or held back */

enum stream_state {
	STREAM_WAITING, /* for the response head of the upstream */
	STREAM_OPEN,
	STREAM_MOVING,
};

struct streams {
	struct list all;
};

struct stream {
	struct list node;
	char *key;
	char request_last_id[EVENT_ID_SIZE]; /* Last-Event-ID of the callers */
	enum stream_state state;
	uint64_t source; /* attempt whose events are delivered */
	uint32_t callers;
	void *owner;
	/* Buffer: delivered events, complete events, part of an event. */
	unsigned char *data;
	size_t len, size;
	size_t delivered_len; /* end of the events delivered by the last call */
	size_t complete_len;  /* end of the last complete event */
	size_t scanned;	      /* end of the parsed bytes */
	size_t line_start;    /* start of the current line */
	/* Event that is being parsed. */
	char event_id[EVENT_ID_SIZE];
	int event_has_id, event_has_data;
	/* Last id as of the last complete and the last delivered event. */
	char complete_id[EVENT_ID_SIZE];
	char delivered_id[EVENT_ID_SIZE];
	/* An event with data but no id followed the one with that id. */
	int complete_has_no_id, delivered_has_no_id;
};

void streams_init(struct streams *streams);

/*
 * Finds a stream that a caller with this Last-Event-ID ("" for none) may join,
 * because it would get the same events as from a stream of its own.
 */
struct stream *streams_find(const struct streams *streams, const char *key,
			    const char *last_event_id);

struct stream *stream_new(struct streams *streams, const char *key,
			  const char *last_event_id, void *owner);
void stream_delete(struct stream *stream);

void stream_join(struct stream *stream);

/* RETURN VALUE: number of callers that are left. */
uint32_t stream_leave(struct stream *stream);

void stream_open(struct stream *stream, uint64_t source);

/*
 * Processes bytes received from an upstream. *ready receives the complete
 * events to be delivered now; it is valid until the next call.
 *
 * ERRORS
 *	ERR_NOT_FOUND	not the current source; the bytes are ignored
 *	ERR_TOO_LARGE	the buffer is full; the stream cannot continue
 */
int stream_feed(struct stream *stream, uint64_t source, const void *data,
		size_t len, struct span *ready);

/* Bytes that were not delivered, for use at the end of the stream. */
struct span stream_undelivered(const struct stream *stream);

/*
 * Begins a move.
 *
 * RETURN VALUE
 *	The Last-Event-ID for the new upstream, "" for none; NULL if an event
 *	without an id was delivered after the last one with an id, so that the
 *	new upstream cannot be told where to continue.
 */
const char *stream_move_begin(struct stream *stream);
void stream_move_done(struct stream *stream, uint64_t source);

/* Continues with the old upstream; *ready as for stream_feed(). */
void stream_move_failed(struct stream *stream, struct span *ready);

#endif
