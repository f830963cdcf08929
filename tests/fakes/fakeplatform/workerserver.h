#ifndef FAKEPLATFORM_WORKERSERVER_H
#define FAKEPLATFORM_WORKERSERVER_H

#include "loop.h"

/*
 * NAME
 *	workerserver - stand-in of one worker of the platform
 *
 * NOTES
 *	Announces itself at its runner and carries out orders. The payload of
 *	a task names what it does: "MS" or "MS fail"; a task without a number
 *	runs until it is stopped. Two runs of a task are not noticed here;
 *	the record on standard output, one JSON object a line for each start
 *	and end, is checked by the test.
 */
struct workerserver;

struct workerserver *workerserver_new(struct loop *loop, const char *id,
				      const char *address, const char *runner);
void workerserver_delete(struct workerserver *server);

#endif
