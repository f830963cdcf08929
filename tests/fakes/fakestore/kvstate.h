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
 *	calls of kvstate_advance_revision() have the same revision.
 */
struct kvstate_bytes {
	unsigned char *data;
	size_t len;
};

struct kvstate_item {
	struct kvstate_bytes key, value;
	int64_t create_revision, mod_revision, version, lease;
};

struct kvstate_lease {
	struct list node;
	int64_t id, ttl_ms, expires_at_ms;
};

/* Called after each change; the value of a deletion is unused. */
typedef void (*kvstate_change_fn)(void *arg, const struct kvstate_item *item,
				  int is_deleted);

struct kv {
	struct kvstate_item *items;
	size_t count, size;
	int64_t revision;
	int64_t next_lease_id;
	struct list leases;
	kvstate_change_fn fn;
	void *arg;
};

void kvstate_init(struct kv *kv, kvstate_change_fn fn, void *arg);
void kvstate_clear(struct kv *kv);

struct kvstate_item *kvstate_find(struct kv *kv,
				  const struct kvstate_bytes *key);

/*
 * Finds the items with keys in [key, end). An empty end selects only key; an
 * end of a single zero byte selects all keys from key on.
 */
size_t kvstate_range(struct kv *kv, const struct kvstate_bytes *key,
		     const struct kvstate_bytes *end,
		     struct kvstate_item **first);

/* Whether the range, given as for kvstate_range(), contains the key other. */
int kvstate_range_contains(const struct kvstate_bytes *key,
			   const struct kvstate_bytes *end,
			   const struct kvstate_bytes *other);

void kvstate_advance_revision(struct kv *kv);
void kvstate_put(struct kv *kv, const struct kvstate_bytes *key,
		 const struct kvstate_bytes *value, int64_t lease);
size_t kvstate_delete(struct kv *kv, const struct kvstate_bytes *key,
		      const struct kvstate_bytes *end);

struct kvstate_lease *kvstate_lease_grant(struct kv *kv, int64_t ttl_ms,
					  int64_t now_ms);
struct kvstate_lease *kvstate_lease_find(struct kv *kv, int64_t id);

/* Also deletes the keys that are attached to the lease. */
void kvstate_lease_revoke(struct kv *kv, struct kvstate_lease *lease);
void kvstate_expire_leases(struct kv *kv, int64_t now_ms);

#endif
