#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakeplatform/kvserver.h"
#include "fakeplatform/workerserver.h"
#include "loop.h"

static void on_sigterm(void *arg)
{
	loop_break(arg);
}

/* Runs the stand-in for the metadata store or for one worker. */
int main(int argc, char **argv)
{
	struct loop *loop = loop_new();
	struct kvserver *store = NULL;
	struct workerserver *worker = NULL;

	if (argc == 3 && !strcmp(argv[1], "store"))
		store = kvserver_new(loop, argv[2]);
	else if (argc >= 5 && argc <= 7 && !strcmp(argv[1], "worker"))
		worker = workerserver_new(loop, argv[2], argv[3], argv[4],
					  argc > 5 ? atoi(argv[5]) : 0,
					  argc > 6 ? argv[6] : "work");
	if (!store && !worker) {
		fprintf(stderr, "usage: fakeplatform store ADDRESS\n"
				"       fakeplatform worker ID ADDRESS "
				"RUNNER [ANNOUNCE_DELAY_MS [SERVICE]]\n");
		loop_delete(loop);
		return 2;
	}
	loop_on_signal(loop, SIGTERM, on_sigterm, loop);
	loop_run(loop);
	kvserver_delete(store);
	workerserver_delete(worker);
	loop_delete(loop);
	return 0;
}
