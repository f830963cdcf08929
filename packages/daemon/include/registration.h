#ifndef CATKINHILL_REGISTRATION_H
#define CATKINHILL_REGISTRATION_H

#include "kv.h"
#include "loop.h"
#include "message.h"

/*
 * NAME
 *	registration - tells the scheduler where a runner listens
 *
 * NOTES
 *	The record stays in the store when the runner ends, so that a runner
 *	that cannot reach the store is still found. It is written once at the
 *	start and repeated until the store has confirmed it.
 */
#define NODE_PREFIX "node/"

struct registration;

struct registration *registration_new(struct loop *loop, struct kv *kv,
				      const char *node, const char *address);
void registration_delete(struct registration *registration);

/* ERR_MALFORMED; address has ID_SIZE bytes. */
int registration_decode(const char *json, size_t len, char *address);

#endif
