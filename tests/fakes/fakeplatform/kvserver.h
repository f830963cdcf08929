#ifndef FAKEPLATFORM_KVSERVER_H
#define FAKEPLATFORM_KVSERVER_H

#include "loop.h"

/*
 * NAME
 *	kvserver - stand-in for the platform's metadata store
 *
 * NOTES
 *	Implements keys, revisions, leases, watches and transactions as the
 *	platform documents them, without rate limits. POST /fake/put?key=K
 *	writes a key as an operator does. POST /fake/mode?name=M sets a fault:
 *	"none", "busy" (503, no effect), "silent" (no response, no effect),
 *	"lost" (transactions: effect, no response) or "forget" (drops history).
 */
struct kvserver;

struct kvserver *kvserver_new(struct loop *loop, const char *address);
void kvserver_delete(struct kvserver *server);

#endif
