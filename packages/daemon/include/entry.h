#ifndef CATKINHILL_ENTRY_H
#define CATKINHILL_ENTRY_H

#include "daemon.h"

/*
 * NAME
 *	entry - accepts HTTP requests of callers and routes them to agents
 */
struct entry;

/* RETURN VALUE: NULL when an address cannot be bound; the event is logged. */
struct entry *entry_new(struct daemon *daemon);
void entry_delete(struct entry *entry);

/*
 * Begins a graceful stop: new requests are rejected with outcome not-run,
 * those in progress are finished, and shared event streams end with a final
 * event that says so. Calls fn(arg) when all have ended or settings->stop_ms
 * has passed.
 */
void entry_stop(struct entry *entry, stopped_fn fn, void *arg);

#endif
