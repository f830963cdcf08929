#ifndef FAKEPLATFORM_KVSERVER_H
#define FAKEPLATFORM_KVSERVER_H

#include "loop.h"

/*
 * NAME
 *	kvserver - stand-in of the platform's metadata store
 *
 * NOTES
 *	Keys, revisions, leases, watches and transactions as the platform's
 *	pages describe them; no limits of rate. POST /fake/put?key=K writes a
 *	key as an operator does. POST /fake/mode?name=M sets a fault: "none",
 *	"busy" (503, nothing is done), "silent" (no answer, nothing is done),
 *	"lost" (writes are done and not answered) or "forget" (history goes).
 */
struct kvserver;

struct kvserver *kvserver_new(struct loop *loop, const char *address);
void kvserver_delete(struct kvserver *server);

#endif
