#ifndef CATKINHILL_REGISTRATION_H
#define CATKINHILL_REGISTRATION_H

#include "kv.h"
#include "loop.h"
#include "message.h"

/*
 * NAME
 *	registration - publishes the address of a runner in the store
 *
 * NOTES
 *	The scheduler finds the runners by these records. A record stays in
 *	the store when its runner ends, so that a runner that cannot reach the
 *	store is still found. It is written once at the start; the write is
 *	retried until the store has confirmed it.
 */
#define NODE_PREFIX "node/"

struct registration;

struct registration *registration_new(struct loop *loop, struct kv *kv,
				      const char *node, const char *address);
void registration_delete(struct registration *registration);

/* ERR_MALFORMED or ERR_TOO_LARGE; address has ID_SIZE bytes. */
int registration_decode(const char *json, size_t len, char *address);

#endif
