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
struct watch {
	struct list node; /* entry->watches */
	struct entry *entry;
	struct stream *stream;
	struct list callers;	 /* requests by watch_node */
	struct request *leader;	 /* whose attempt asks for the head */
	struct attempt *attempt; /* current upstream, NULL when it has ended */
	struct attempt *next;	 /* upstream that the stream moves to */
	char trace[ID_SIZE];
	char service[ID_SIZE];
	char *path;
	struct header_list asked;  /* headers of the request, copied */
	struct header_list answer; /* headers of the answer, copied */
	int moving_on;		   /* the current upstream is leaving */
	char left[ROUTE_TRIED_MAX][ID_SIZE]; /* agents not to move to */
	size_t left_count;
	struct mstime move_at;
	int busy;    /* callers are being served; do not delete */
	int useless; /* delete when no longer busy */
	int restart; /* a new leader is to be dispatched */
};

void watch_delete(struct watch *watch);

/* Ends a section in which the watch was busy; may delete it. */
void watch_end_busy(struct watch *watch);

/* Takes all callers out of the list, because serving can end them. */
void watch_take_callers(struct watch *watch, struct list *callers);
struct request *watch_next_caller(struct list *callers);
int watch_is_event_stream(const struct msg_response *head);

#endif
