#ifndef FAKEPLATFORM_WORKERSERVER_H
#define FAKEPLATFORM_WORKERSERVER_H

#include "loop.h"

/*
 * NAME
 *	workerserver - stand-in for one worker of the platform
 *
 * NOTES
 *	Announces itself to its runner and carries out its orders. The payload
 *	of a task is "MS", "MS fail", "MS stall" or "MS saves BYTES": a run
 *	ends or fails after MS milliseconds, lists the same progress all the
 *	time, or lists a checkpoint of that length. Without a number it runs
 *	until it is stopped. Overlapping runs of a task are not
 *	detected here: the test checks the standard output, which has a line
 *	of JSON for each start and end of a run.
 *	POST /fake/starts?MODE sets what becomes of starts from then on:
 *	"answered"; "refused" with 503; "ignored"; "late", without an answer
 *	in time; "mixed", ignored and refused in turn. All else goes on.
 *	After POST /fake/close, each response closes its connection.
 */
struct workerserver;

/* Accepts calls at once; its first announcement follows after the delay. */
struct workerserver *workerserver_new(struct loop *loop, const char *id,
				      const char *address, const char *runner,
				      int64_t announce_delay_ms,
				      const char *service);
void workerserver_delete(struct workerserver *server);

#endif
