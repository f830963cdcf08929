#ifndef CATKINHILL_ENTRY_WATCH_H
#define CATKINHILL_ENTRY_WATCH_H

#include "entry_impl.h"

/*
 * NAME
 *	entry_watch - one upstream event stream and the callers that share it
 *
 * NOTES
 *	entry_watch.c joins and removes callers; entry_move.c forwards events
 *	and moves the stream to another upstream.
 */
struct watch {
	struct list node; /* entry->watches */
	struct entry *entry;
	struct stream *stream;
	struct list callers;	 /* requests by watch_node */
	struct request *leader;	 /* whose attempt opens the stream */
	struct attempt *attempt; /* current upstream, NULL when it has ended */
	struct attempt *next;	 /* upstream that the stream moves to */
	char trace[ID_SIZE];
	char service[ID_SIZE];
	char *path;
	struct header_list asked;  /* headers of the request, copied */
	struct header_list answer; /* headers of the response, copied */
	int moving_on;		   /* the current upstream is leaving */
	char left[ROUTE_TRIED_MAX][ID_SIZE]; /* agents not to move to */
	size_t left_count;
	struct mstime move_at;
	int busy;    /* over 0 while callers are served: do not delete */
	int useless; /* delete when the last use ends */
	int restart; /* a new leader is to be dispatched */
};

void watch_delete(struct watch *shared);

/* Ends a use of the stream; carries out a deferred deletion. */
void watch_end_busy(struct watch *shared);

/*
 * Moves all callers to another list: a caller can end, and unlink itself,
 * while it is served.
 */
void watch_take_callers(struct watch *shared, struct list *callers);
struct request *watch_next_caller(struct list *callers);
int watch_is_event_stream(const struct msg_response *head);

#endif
