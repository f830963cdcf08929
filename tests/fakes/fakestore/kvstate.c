#include "kvstate.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

void kvstate_init(struct kv *kv, kvstate_change_fn fn, void *arg)
{
	memset(kv, 0, sizeof(*kv));
	kv->revision = 1;
	/* Above 2^53: a client that parses ids as doubles fails. */
	kv->next_lease_id = INT64_C(7587800000000000001);
	kv->fn = fn;
	kv->arg = arg;
	list_init(&kv->leases);
}

static void item_clear(struct kvstate_item *item)
{
	free(item->key.data);
	free(item->value.data);
}

static void lease_free(struct kvstate_lease *lease)
{
	list_del(&lease->node);
	free(lease);
}

void kvstate_clear(struct kv *kv)
{
	while (kv->count)
		item_clear(&kv->items[--kv->count]);
	free(kv->items);
	while (!list_empty(&kv->leases))
		lease_free(list_entry(kv->leases.next, struct kvstate_lease,
				      node));
}

static int compare_bytes(const struct kvstate_bytes *a,
			 const struct kvstate_bytes *b)
{
	size_t len = a->len < b->len ? a->len : b->len;
	int order = len ? memcmp(a->data, b->data, len) : 0;

	if (order)
		return order;
	return (a->len > b->len) - (a->len < b->len);
}

/* Index of the first item whose key is not less than key. */
static size_t lower_bound(const struct kv *kv, const struct kvstate_bytes *key)
{
	size_t low = 0, high = kv->count;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (compare_bytes(&kv->items[mid].key, key) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

struct kvstate_item *kvstate_find(struct kv *kv,
				  const struct kvstate_bytes *key)
{
	size_t i = lower_bound(kv, key);

	if (i < kv->count && !compare_bytes(&kv->items[i].key, key))
		return &kv->items[i];
	return NULL;
}

size_t kvstate_range(struct kv *kv, const struct kvstate_bytes *key,
		     const struct kvstate_bytes *end,
		     struct kvstate_item **first)
{
	size_t start = lower_bound(kv, key);
	size_t stop;

	*first = kv->items + start;
	if (!end->len)
		return kvstate_find(kv, key) ? 1 : 0;
	stop = kv->count;
	if (end->len > 1 || *end->data)
		stop = lower_bound(kv, end);
	return stop > start ? stop - start : 0;
}

int kvstate_range_contains(const struct kvstate_bytes *key,
			   const struct kvstate_bytes *end,
			   const struct kvstate_bytes *other)
{
	if (!end->len)
		return !compare_bytes(key, other);
	if (compare_bytes(other, key) < 0)
		return 0;
	return (end->len == 1 && !*end->data) || compare_bytes(other, end) < 0;
}

void kvstate_advance_revision(struct kv *kv)
{
	kv->revision++;
}

static struct kvstate_item *insert_item(struct kv *kv,
					const struct kvstate_bytes *key)
{
	size_t i = lower_bound(kv, key);
	struct kvstate_item *item;

	if (kv->count == kv->size) {
		kv->size = kv->size ? 2 * kv->size : 64;
		kv->items = xrealloc(kv->items, kv->size * sizeof(*kv->items));
	}
	item = &kv->items[i];
	memmove(item + 1, item, (kv->count - i) * sizeof(*item));
	kv->count++;
	memset(item, 0, sizeof(*item));
	item->key.data = xmemdup(key->data, key->len);
	item->key.len = key->len;
	item->create_revision = kv->revision;
	return item;
}

void kvstate_put(struct kv *kv, const struct kvstate_bytes *key,
		 const struct kvstate_bytes *value, int64_t lease)
{
	struct kvstate_item *item = kvstate_find(kv, key);

	if (!item)
		item = insert_item(kv, key);
	free(item->value.data);
	item->value.data = xmemdup(value->data, value->len);
	item->value.len = value->len;
	item->mod_revision = kv->revision;
	item->version++;
	item->lease = lease;
	kv->fn(kv->arg, item, 0);
}

static void delete_at(struct kv *kv, size_t i)
{
	struct kvstate_item item = kv->items[i];

	kv->count--;
	memmove(&kv->items[i], &kv->items[i + 1],
		(kv->count - i) * sizeof(item));
	item.mod_revision = kv->revision;
	kv->fn(kv->arg, &item, 1);
	item_clear(&item);
}

size_t kvstate_delete(struct kv *kv, const struct kvstate_bytes *key,
		      const struct kvstate_bytes *end)
{
	struct kvstate_item *first;
	size_t count = kvstate_range(kv, key, end, &first);
	size_t i;

	for (i = 0; i < count; i++)
		delete_at(kv, (size_t)(first - kv->items));
	return count;
}

struct kvstate_lease *kvstate_lease_grant(struct kv *kv, int64_t ttl_ms,
					  int64_t now_ms)
{
	struct kvstate_lease *lease = xcalloc(1, sizeof(*lease));

	lease->id = kv->next_lease_id++;
	lease->ttl_ms = ttl_ms;
	lease->expires_at_ms = now_ms + ttl_ms;
	list_add_tail(&kv->leases, &lease->node);
	return lease;
}

struct kvstate_lease *kvstate_lease_find(struct kv *kv, int64_t id)
{
	struct list *pos;

	list_for_each (pos, &kv->leases) {
		struct kvstate_lease *lease =
			list_entry(pos, struct kvstate_lease, node);

		if (lease->id == id)
			return lease;
	}
	return NULL;
}

void kvstate_lease_revoke(struct kv *kv, struct kvstate_lease *lease)
{
	size_t i = 0;

	kvstate_advance_revision(kv);
	while (i < kv->count) {
		if (kv->items[i].lease == lease->id)
			delete_at(kv, i);
		else
			i++;
	}
	lease_free(lease);
}

void kvstate_expire_leases(struct kv *kv, int64_t now_ms)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &kv->leases) {
		struct kvstate_lease *lease =
			list_entry(pos, struct kvstate_lease, node);

		if (lease->expires_at_ms <= now_ms)
			kvstate_lease_revoke(kv, lease);
	}
}
