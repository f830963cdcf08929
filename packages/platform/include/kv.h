#ifndef CATKINHILL_KV_H
#define CATKINHILL_KV_H

#include <stddef.h>
#include <stdint.h>

#include "loop.h"

/*
 * NAME
 *	kv - client of the platform's metadata store
 *
 * NOTES
 *	Every call ends in exactly one callback, which never happens inside
 *	the function that started the call, unless kv_delete() or kv_cancel()
 *	is called first.
 *	Outcomes passed as err:
 *	0		 done
 *	ERR_CONFLICT	 a comparison failed; nothing was written
 *	ERR_UNAVAILABLE	 nothing was done: not sent, or refused for now
 *	ERR_UNKNOWN	 sent, no response: a write may take effect, also
 *			 later
 *	ERR_NOT_FOUND	 no such key or lease, or the changes that a watch
 *			 asks for are no longer kept
 *	ERR_INVALID	 rejected; nothing was written
 *	ERR_MALFORMED	 the response to a read cannot be decoded
 */
struct kv;

struct kv_item {
	const char *key;
	const char *value; /* NUL-terminated; NULL: the key was deleted */
	size_t len;
	int64_t revision;   /* of its last change; 0: there is no such key */
	int64_t created_ms; /* clock of the store, ms since 1970 */
};

/* Items are valid during the callback. */
struct kv_result {
	int err;
	int64_t revision; /* of the store, or of the write */
	int64_t lease;
	int64_t ttl_ms; /* time to live that was granted to the lease */
	const struct kv_item *items;
	size_t count;
	int has_more; /* of kv_list_pages(): another page follows */
};

typedef void (*kv_fn)(void *arg, const struct kv_result *result);

struct kv_compare {
	const char *key;
	int64_t revision; /* 0: there is no such key */
};

struct kv_put {
	const char *key;
	const char *value;
	size_t len;
	int64_t lease; /* 0: none */
};

/* Largest value, in bytes, unless the platform has set a lower bound. */
#define KV_VALUE_MAX (1024 * 1024)

/* Bound of each of the three lists of a transaction. */
#define KV_TXN_MAX 32

struct kv_txn {
	struct kv_compare compares[KV_TXN_MAX];
	size_t compare_count;
	struct kv_put puts[KV_TXN_MAX];
	size_t put_count;
	const char *removals[KV_TXN_MAX];
	size_t removal_count;
};

/* RETURN VALUE: NULL when the address is not "ip:port". */
struct kv *kv_new(struct loop *loop, const char *address, int64_t timeout_ms);
void kv_delete(struct kv *kv);

/* No callback follows for any call that was started with arg. */
void kv_cancel(struct kv *kv, const void *arg);

void kv_get(struct kv *kv, const char *key, kv_fn fn, void *arg);

/*
 * Reads all keys that start with prefix, in pages. The pages are not one
 * snapshot; the result has the revision of the first page, so that a watch
 * from it misses no change.
 */
void kv_list(struct kv *kv, const char *prefix, kv_fn fn, void *arg);

/*
 * The same with a callback for each page, so that one page is in memory at a
 * time. After an error no page follows.
 */
void kv_list_pages(struct kv *kv, const char *prefix, kv_fn fn, void *arg);

/*
 * Waits for changes after a revision; the result has no items if there were
 * none within wait_ms. The next watch continues from the result's revision.
 *
 * ERRORS
 *	ERR_NOT_FOUND	the store no longer has the changes since then
 *	ERR_TOO_LARGE	there are more than a response may have
 */
void kv_watch(struct kv *kv, const char *prefix, int64_t after, int64_t wait_ms,
	      kv_fn fn, void *arg);

/*
 * Makes all changes if all comparisons hold, and none otherwise. With
 * ERR_CONFLICT the items are the compared keys as they are now.
 * ERR_NOT_FOUND: a lease of the transaction does not exist.
 */
void kv_txn(struct kv *kv, const struct kv_txn *txn, kv_fn fn, void *arg);

void kv_lease_grant(struct kv *kv, int64_t ttl_ms, kv_fn fn, void *arg);
void kv_lease_renew(struct kv *kv, int64_t lease, kv_fn fn, void *arg);
void kv_lease_end(struct kv *kv, int64_t lease, kv_fn fn, void *arg);

/* Moving average of the response time in ms, without watches; 0: none yet. */
int64_t kv_latency_ms(const struct kv *kv);

/* Whether the call that ended last got no response. */
int kv_is_unresponsive(const struct kv *kv);

#endif
