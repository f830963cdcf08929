#ifndef CATKINHILL_STREAMS_H
#define CATKINHILL_STREAMS_H

#include <stddef.h>
#include <stdint.h>

#include "list.h"
#include "message.h"

/*
 * NAME
 *	streams - event streams that several callers share
 *
 * NOTES
 *	Callers that watch the same thing are joined into one upstream
 *	stream. Events are handed out whole, so that a caller can join, and
 *	the stream can move to another upstream, between two events. A move
 *	asks the new upstream for what follows the last event handed out;
 *	meanwhile events of the old upstream are held back, and they are
 *	dropped when the move succeeds.
 *
 * SOURCE
 *	HTML Standard, section Server-sent events. Lines that end in a
 *	carriage return alone are not supported.
 */
#define EVENT_ID_SIZE 256
#define STREAM_BUFFER_MAX (256 * 1024) /* one event, or events held back */

enum stream_state {
	STREAM_WAITING, /* for the head of the answer */
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
	uint64_t source; /* attempt whose events are handed out */
	uint32_t callers;
	void *owner;
	/* Buffer: handed out, whole events, part of an event. */
	unsigned char *data;
	size_t len, size;
	size_t delivered_len; /* handed out by the last call */
	size_t complete_len;  /* end of the last whole event */
	size_t scanned;
	size_t line_start; /* start of the current line */
	/* Event that is being read. */
	char event_id[EVENT_ID_SIZE];
	int event_has_id, event_has_data;
	/* As of the last whole event, and as of the last one handed out. */
	char complete_id[EVENT_ID_SIZE];
	char delivered_id[EVENT_ID_SIZE];
	int complete_has_no_id, delivered_has_no_id; /* events without an id */
};

void streams_init(struct streams *streams);

/*
 * A stream that a caller with this Last-Event-ID ("" for none) may join:
 * it would get the same events as from a stream of its own.
 */
struct stream *streams_find(const struct streams *streams, const char *key,
			    const char *last_event_id);

struct stream *stream_new(struct streams *streams, const char *key,
			  const char *last_event_id, void *owner);
void stream_delete(struct stream *stream);

void stream_join(struct stream *stream);

/* RETURN VALUE: callers that are left. */
uint32_t stream_leave(struct stream *stream);

void stream_open(struct stream *stream, uint64_t source);

/*
 * Takes bytes from an upstream; *ready receives the whole events that are
 * to be handed out now, valid until the next call.
 *
 * ERRORS
 *	ERR_NOT_FOUND	not the current source; the bytes are ignored
 *	ERR_TOO_LARGE	the buffer is full; the stream cannot go on
 */
int stream_feed(struct stream *stream, uint64_t source, const void *data,
		size_t len, struct span *ready);

/* What is left of an event at the end of the stream. */
struct span stream_undelivered(const struct stream *stream);

/*
 * Begins a move.
 *
 * RETURN VALUE
 *	The Last-Event-ID for the new upstream, "" for none; NULL when an
 *	event without an id was handed out, so that the new upstream cannot
 *	be told where to go on.
 */
const char *stream_move_begin(struct stream *stream);
void stream_move_done(struct stream *stream, uint64_t source);

/* Goes on with the old upstream; *ready as of stream_feed(). */
void stream_move_failed(struct stream *stream, struct span *ready);

#endif
