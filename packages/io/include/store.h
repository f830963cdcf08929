#ifndef CATKINHILL_STORE_H
#define CATKINHILL_STORE_H

#include <stddef.h>
#include <stdint.h>

#include "loop.h"

/*
 * NAME
 *	store - client of the key-value store (etcd v3)
 *
 * NOTES
 *	Uses the JSON gateway of the etcd v3 API; see docs/store-interface.md.
 *	Every call ends with exactly one callback, never inside the function
 *	that started it, unless it is cancelled or the client is deleted first.
 *	A value is at most STORE_VALUE_MAX_BYTES bytes. Outcomes passed as err:
 *	0		 done
 *	ERR_CONFLICT	 the comparison failed; nothing was written
 *	ERR_UNAVAILABLE	 not sent
 *	ERR_UNKNOWN	 sent, no response: a write may have taken effect
 *	ERR_NOT_FOUND	 the key (get) or the lease (keepalive) is gone
 *	ERR_MALFORMED	 the response cannot be decoded (not after a write)
 *	ERR_INVALID	 rejected by the store; nothing was written
 *	ERR_TOO_LARGE	 the value is over STORE_VALUE_MAX_BYTES; not sent
 *	A write that the store rejected because of overload ends with
 *	ERR_UNAVAILABLE: it had no effect. A write whose response cannot be
 *	decoded ends with ERR_UNKNOWN.
 */
#define STORE_VALUE_MAX_BYTES (1024 * 1024)

struct store;

struct store_item {
	const char *key;
	const unsigned char *value;
	size_t len;
	int64_t revision; /* modification revision, for store_put_if() */
};

typedef void (*store_get_fn)(void *arg, int err, const struct store_item *item);
typedef void (*store_list_fn)(void *arg, int err,
			      const struct store_item *items, size_t count);
typedef void (*store_write_fn)(void *arg, int err, int64_t revision);
typedef void (*store_lease_fn)(void *arg, int err, int64_t lease);
/* item->value is NULL when the key was deleted. */
typedef void (*store_watch_fn)(void *arg, int err,
			       const struct store_item *item);

/*
 * store_delete() drops pending calls without a callback and must not be
 * called in a callback of the store. Watches end without a callback and must
 * still be stopped.
 *
 * RETURN VALUE
 *	NULL when the address is not "ip:port".
 */
struct store *store_new(struct loop *loop, const char *address,
			int64_t timeout_ms);
void store_delete(struct store *store);

/*
 * Ends all calls that were started with arg without a callback; whether they
 * take effect is unknown. Watches are not affected. May be called in a
 * callback.
 */
void store_cancel(struct store *store, const void *arg);

void store_get(struct store *store, const char *key, store_get_fn fn,
	       void *arg);

/* All keys that start with prefix, in ascending order, at most limit. */
void store_list(struct store *store, const char *prefix, int limit,
		store_list_fn fn, void *arg);

/*
 * All keys from first up to, not including, end, in ascending order, at most
 * limit. They are read at one revision.
 */
void store_range(struct store *store, const char *first, const char *end,
		 int limit, store_list_fn fn, void *arg);

/*
 * Writes the value if the key's modification revision is still the one
 * given; 0 means that the key must not exist. lease is a lease id, or 0 for
 * none; ERR_NOT_FOUND means that the lease is gone and nothing was written.
 */
void store_put_if(struct store *store, const char *key, int64_t revision,
		  const void *value, size_t len, int64_t lease,
		  store_write_fn fn, void *arg);

/* Deletes the key if its revision is still the one given. */
void store_delete_if(struct store *store, const char *key, int64_t revision,
		     store_write_fn fn, void *arg);

/* Holds if the key has this modification revision; 0: the key is missing. */
struct store_compare {
	const char *key;
	int64_t revision;
};

enum store_change_kind {
	STORE_PUT,
	STORE_DELETE_RANGE
};

struct store_change {
	enum store_change_kind kind;
	const char *key;
	const char *end;   /* of a deletion: first key that is kept */
	const void *value; /* of a put */
	size_t len;
};

/*
 * Applies all changes atomically if all comparisons hold, and none otherwise.
 * No two changes may concern the same key. fn gets the revision of all keys
 * put.
 */
void store_txn(struct store *store, const struct store_compare *compares,
	       size_t compare_count, const struct store_change *changes,
	       size_t change_count, store_write_fn fn, void *arg);

void store_lease_grant(struct store *store, int64_t ttl_seconds,
		       store_lease_fn fn, void *arg);
void store_lease_keepalive(struct store *store, int64_t lease,
			   store_lease_fn fn, void *arg);
void store_lease_revoke(struct store *store, int64_t lease, store_lease_fn fn,
			void *arg);

/*
 * Watches one key until store_watch_stop(). fn gets each new value, but not
 * the one that the key has at the start; after an error (err not 0, item
 * NULL) the watch has ended and must be stopped. A connection that breaks
 * without a FIN or RST is not detected, so a reader that must not miss a value
 * also reads the key periodically. store_watch_stop() may be called in fn.
 */
struct store_watch;
struct store_watch *store_watch_start(struct store *store, const char *key,
				      store_watch_fn fn, void *arg);
void store_watch_stop(struct store_watch *watch);

/* Number of calls since store_new(); a watch counts as one. */
int64_t store_call_count(const struct store *store);

#endif
