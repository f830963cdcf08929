#ifndef CATKINHILL_ENTRY_SHARED_STREAM_H
#define CATKINHILL_ENTRY_SHARED_STREAM_H

#include "entry_impl.h"

/*
 * NAME
 *	entry_shared_stream - one upstream event stream and the callers that
 *share it
 *
 * NOTES
 *	entry_shared_stream.c joins and removes callers; entry_stream_move.c
 *forwards events and moves the stream to another upstream.
 */
struct shared_stream {
	struct list node; /* entry->shared_streams */
	struct entry *entry;
	struct stream *stream;
	struct list callers;	 /* requests by shared_stream_node */
	struct request *leader;	 /* whose attempt opens the stream */
	struct attempt *attempt; /* current upstream, NULL when it has ended */
	struct attempt *next_attempt; /* upstream that the stream moves to */
	char trace[ID_SIZE];
	char service[ID_SIZE];
	char *path;
	struct header_list request_headers;  /* copied */
	struct header_list response_headers; /* copied */
	int upstream_leaving;
	char excluded[ROUTE_TRIED_MAX][ID_SIZE]; /* agents not to move to */
	size_t excluded_count;
	struct mstime next_move_at;
	int use_count;	    /* over 0 while callers are served: do not delete */
	int delete_pending; /* delete when the last use ends */
	int dispatch_pending; /* a new leader is to be dispatched */
};

void shared_stream_delete(struct shared_stream *shared);

/* Ends a use of the stream; carries out a deferred deletion. */
void shared_stream_end_use(struct shared_stream *shared);

/*
 * Moves all callers to another list: a caller can end, and unlink itself,
 * while it is served.
 */
void shared_stream_detach_callers(struct shared_stream *shared,
				  struct list *callers);
struct request *shared_stream_first_caller(struct list *callers);
int response_is_event_stream(const struct msg_response *head);

#endif
