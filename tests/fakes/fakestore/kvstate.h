#ifndef CATKINHILL_KVSTATE_H
#define CATKINHILL_KVSTATE_H

#include <stddef.h>
#include <stdint.h>

#include "list.h"

/*
 * NAME
 *	kvstate - keys, revisions and leases of the fake store
 *
 * NOTES
 *	Items are sorted by key in ascending order. All writes between two
 *	calls of kv_advance_revision() have the same revision.
 */
struct kv_bytes {
	unsigned char *data;
	size_t len;
};

struct kv_item {
	struct kv_bytes key, value;
	int64_t create_revision, mod_revision, version, lease;
};

struct kv_lease {
	struct list node;
	int64_t id, ttl_ms, expires_at_ms;
};

/* Called after each change; the value of a deletion is unused. */
typedef void (*kv_change_fn)(void *arg, const struct kv_item *item,
			     int is_deleted);

struct kv {
	struct kv_item *items;
	size_t count, size;
	int64_t revision;
	int64_t next_lease_id;
	struct list leases;
	kv_change_fn fn;
	void *arg;
};

void kv_init(struct kv *kv, kv_change_fn fn, void *arg);
void kv_clear(struct kv *kv);

struct kv_item *kv_find(struct kv *kv, const struct kv_bytes *key);

/*
 * Finds the items with keys in [key, end). An empty end selects only key; an
 * end of a single zero byte selects all keys from key on.
 */
size_t kv_range(struct kv *kv, const struct kv_bytes *key,
		const struct kv_bytes *end, struct kv_item **first);

/* Whether the range, given as for kv_range(), contains the key other. */
int kv_range_contains(const struct kv_bytes *key, const struct kv_bytes *end,
		      const struct kv_bytes *other);

void kv_advance_revision(struct kv *kv);
void kv_put(struct kv *kv, const struct kv_bytes *key,
	    const struct kv_bytes *value, int64_t lease);
size_t kv_delete(struct kv *kv, const struct kv_bytes *key,
		 const struct kv_bytes *end);

struct kv_lease *kv_lease_grant(struct kv *kv, int64_t ttl_ms, int64_t now_ms);
struct kv_lease *kv_lease_find(struct kv *kv, int64_t id);

/* Also deletes the keys that are attached to the lease. */
void kv_lease_revoke(struct kv *kv, struct kv_lease *lease);
void kv_expire_leases(struct kv *kv, int64_t now_ms);

#endif
