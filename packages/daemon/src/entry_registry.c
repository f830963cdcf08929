#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "entry_impl.h"
#include "errors.h"
#include "hash.h"
#include "log.h"
#include "mem.h"

#define KEY_PREFIX "entry/"
#define REFRESH_MS 5000
/* While the store does not respond or the registration is incomplete. */
#define RETRY_MS 1000

struct registry {
	struct entry *entry;
	struct loop_timer *timer;
	char key[sizeof(KEY_PREFIX) + ID_SIZE];
	int64_t lease_id;
	int64_t revision; /* of the own key; -1 unknown, 0 no such key */
	int registered;
	int own_key_pending; /* store calls for the own key */
	int list_pending;    /* a read of all entries */
	struct entry_address items[ENTRIES_MAX];
	struct entry_list entries;
	uint64_t hash;
	stopped_fn on_stopped;
	void *on_stopped_arg;
};

static void write_own_key(struct registry *registry);

const struct entry_list *registry_entries(const struct registry *registry)
{
	return &registry->entries;
}

uint64_t registry_directory_hash(const struct registry *registry)
{
	return registry->hash;
}

static void update_hash(struct registry *registry)
{
	/* Items are padded with zeros, so that equal lists hash equally. */
	registry->hash =
		hash_bytes(registry->items, registry->entries.count *
						    sizeof(registry->items[0]));
}

static int compare_ids(const void *a, const void *b)
{
	const struct entry_address *first = a, *second = b;

	return strcmp(first->id, second->id);
}

static void add_entry(struct registry *registry, const char *id,
		      const char *address)
{
	struct entry_address *item;

	if (registry->entries.count == ENTRIES_MAX)
		return;
	item = &registry->items[registry->entries.count++];
	memset(item, 0, sizeof(*item));
	str_copy(item->id, id, sizeof(item->id));
	str_copy(item->address, address, sizeof(item->address));
}

static void add_item(struct registry *registry, const struct store_item *item)
{
	const char *id = item->key + strlen(KEY_PREFIX);
	json_t *value =
		json_loadb((const char *)item->value, item->len, 0, NULL);
	const char *address =
		json_string_value(json_object_get(value, "address"));

	if (address && strcmp(id, registry->entry->daemon->settings->id) != 0)
		add_entry(registry, id, address);
	json_decref(value);
}

static void set_entries(struct registry *registry,
			const struct store_item *items, size_t count)
{
	const struct settings *settings = registry->entry->daemon->settings;
	uint64_t before = registry->hash;
	size_t i;

	registry->entries.count = 0;
	add_entry(registry, settings->id, settings->peers);
	for (i = 0; i < count; i++)
		add_item(registry, &items[i]);
	qsort(registry->items, registry->entries.count,
	      sizeof(registry->items[0]), compare_ids);
	update_hash(registry);
	if (before != registry->hash)
		log_event(EV_DIRECTORY_CHANGED, "entries=%zu",
			  registry->entries.count);
}

static void on_list(void *arg, int err, const struct store_item *items,
		    size_t count)
{
	struct registry *registry = arg;

	registry->list_pending = 0;
	if (err)
		return;
	set_entries(registry, items, count);
	owner_set_entries(registry->entry->owner, &registry->entries);
}

static void on_put(void *arg, int err, int64_t revision)
{
	struct registry *registry = arg;

	registry->own_key_pending = 0;
	if (!err) {
		registry->revision = revision;
		registry->registered = 1;
		log_event(EV_ENTRY_REGISTERED, "key=%s lease=%" PRId64,
			  registry->key, registry->lease_id);
		return;
	}
	registry->registered = 0;
	registry->revision = -1;
	loop_timer_start(registry->timer, RETRY_MS);
}

/*
 * The key can exist: an earlier process with this id wrote it, or a put whose
 * response was lost.
 */
static void on_own_key_read(void *arg, int err, const struct store_item *item)
{
	struct registry *registry = arg;

	registry->own_key_pending = 0;
	if (err && err != ERR_NOT_FOUND) {
		loop_timer_start(registry->timer, RETRY_MS);
		return;
	}
	registry->revision = err ? 0 : item->revision;
	write_own_key(registry);
}

static void write_own_key(struct registry *registry)
{
	const struct daemon *daemon = registry->entry->daemon;
	const struct settings *settings = daemon->settings;
	char *value;

	registry->own_key_pending = 1;
	if (registry->revision < 0) {
		store_get(daemon->store, registry->key, on_own_key_read,
			  registry);
		return;
	}
	value = xstrfmt("{\"address\": \"%s\", \"region\": \"%s\", "
			"\"domain\": \"%s\", \"incarnation\": \"%016" PRIx64
			"\"}",
			settings->peers, settings->region, settings->domain,
			daemon->incarnation);
	store_put_if(daemon->store, registry->key, registry->revision, value,
		     strlen(value), registry->lease_id, on_put, registry);
	free(value);
}

static void on_lease(void *arg, int err, int64_t lease)
{
	struct registry *registry = arg;

	registry->own_key_pending = 0;
	if (err) {
		loop_timer_start(registry->timer, RETRY_MS);
		return;
	}
	registry->lease_id = lease;
	registry->revision = -1;
	write_own_key(registry);
}

static void on_keepalive(void *arg, int err, int64_t lease)
{
	struct registry *registry = arg;

	registry->own_key_pending = 0;
	if (err != ERR_NOT_FOUND)
		return;
	log_event(EV_ENTRY_LEASE_LOST, "lease=%" PRId64, registry->lease_id);
	registry->lease_id = 0;
	registry->registered = 0;
	loop_timer_start(registry->timer, 0);
}

static void renew(struct registry *registry)
{
	const struct daemon *daemon = registry->entry->daemon;

	if (registry->own_key_pending)
		return;
	if (registry->lease_id && !registry->registered) {
		write_own_key(registry);
		return;
	}
	registry->own_key_pending = 1;
	if (registry->lease_id)
		store_lease_keepalive(daemon->store, registry->lease_id,
				      on_keepalive, registry);
	else
		store_lease_grant(daemon->store,
				  daemon->settings->store_lease_s, on_lease,
				  registry);
}

/* A third of the lease, as for partitions, so that two renewals may fail. */
static int64_t refresh_ms(const struct registry *registry)
{
	int64_t third =
		registry->entry->daemon->settings->store_lease_s * 1000 / 3;

	return third < REFRESH_MS ? third : REFRESH_MS;
}

static void on_timer(void *arg)
{
	struct registry *registry = arg;
	struct store *store = registry->entry->daemon->store;

	if (registry->on_stopped)
		return;
	loop_timer_start(registry->timer, refresh_ms(registry));
	renew(registry);
	if (!registry->list_pending) {
		registry->list_pending = 1;
		store_list(store, KEY_PREFIX, ENTRIES_MAX, on_list, registry);
	}
}

struct registry *registry_new(struct entry *entry)
{
	struct registry *registry = xcalloc(1, sizeof(*registry));

	registry->entry = entry;
	registry->entries.items = registry->items;
	snprintf(registry->key, sizeof(registry->key), KEY_PREFIX "%s",
		 entry->daemon->settings->id);
	set_entries(registry, NULL, 0);
	registry->timer =
		loop_timer_new(entry->daemon->loop, on_timer, registry);
	if (entry->daemon->store)
		loop_timer_start(registry->timer, 0);
	return registry;
}

void registry_delete(struct registry *registry)
{
	if (!registry)
		return;
	if (registry->entry->daemon->store)
		store_cancel(registry->entry->daemon->store, registry);
	loop_timer_delete(registry->timer);
	free(registry);
}

static void on_revoked(void *arg, int err, int64_t lease)
{
	struct registry *registry = arg;

	registry->on_stopped(registry->on_stopped_arg);
}

void registry_stop(struct registry *registry, stopped_fn fn, void *arg)
{
	registry->on_stopped = fn;
	registry->on_stopped_arg = arg;
	loop_timer_stop(registry->timer);
	if (registry->lease_id)
		store_lease_revoke(registry->entry->daemon->store,
				   registry->lease_id, on_revoked, registry);
	else
		fn(arg);
}
