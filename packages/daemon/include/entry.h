#ifndef CATKINHILL_ENTRY_H
#define CATKINHILL_ENTRY_H

#include "daemon.h"

/*
 * NAME
 *	entry - serves callers, routes their requests to agents
 */
struct entry;

/* RETURN VALUE: NULL when an address cannot be bound; the event is logged. */
struct entry *entry_new(struct daemon *daemon);
void entry_delete(struct entry *entry);

/*
 * Begins a graceful stop: new requests are refused as not run, those in
 * progress are finished, watches are ended with notice; fn(arg) is called
 * when nothing is left or settings->stop_ms has passed.
 */
void entry_stop(struct entry *entry, stopped_fn fn, void *arg);

#endif
