#ifndef CATKINHILL_ENTRY_WATCH_H
#define CATKINHILL_ENTRY_WATCH_H

#include "entry_impl.h"

/*
 * NAME
 *	entry_watch - one upstream event stream and the callers that share it
 *
 * NOTES
 *	entry_watch.c joins callers and ends watches; entry_move.c passes
 *	events on and hands the stream over to another upstream.
 */
struct shared_stream {
	struct list node; /* entry->watches */
	struct entry *entry;
	struct stream *stream;
	struct list callers;	 /* requests by watch_node */
	struct request *leader;	 /* whose attempt asks for the head */
	struct attempt *attempt; /* current upstream, NULL when it has ended */
	struct attempt *next_attempt; /* upstream that the stream moves to */
	char trace[ID_SIZE];
	char service[ID_SIZE];
	char *path;
	struct header_list request_headers; /* headers of the request, copied */
	struct header_list response_headers; /* headers of the answer, copied */
	int upstream_leaving; /* the current upstream is leaving */
	char excluded[ROUTE_TRIED_MAX][ID_SIZE]; /* agents not to move to */
	size_t excluded_count;
	struct mstime next_move_at;
	int use_count;	      /* callers are being served; do not delete */
	int delete_pending;   /* delete when no longer busy */
	int dispatch_pending; /* a new leader is to be dispatched */
};

void shared_stream_delete(struct shared_stream *watch);

/* Ends a section in which the watch was busy; may delete it. */
void shared_stream_end_use(struct shared_stream *watch);

/* Takes all callers out of the list, because serving can end them. */
void shared_stream_detach_callers(struct shared_stream *watch,
				  struct list *callers);
struct request *shared_stream_first_caller(struct list *callers);
int response_is_event_stream(const struct msg_response *head);

#endif
