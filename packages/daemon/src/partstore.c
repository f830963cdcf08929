#include "partstore.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "errors.h"

#define KEY_SIZE 64

static const char *head_key(char *key, uint32_t number)
{
	snprintf(key, KEY_SIZE, "part/%" PRIu32, number);
	return key;
}

/* Padded, so that the keys sort in the order of the numbers. */
static const char *entry_key(char *key, uint32_t number, uint64_t seq)
{
	snprintf(key, KEY_SIZE, "part/%" PRIu32 "/log/%020" PRIu64, number,
		 seq);
	return key;
}

void partstore_read(struct store *store, uint32_t number, store_list_fn fn,
		    void *arg)
{
	char first[KEY_SIZE], end[KEY_SIZE];

	/* '0' follows '/', so part/10 is outside of the range of part/1. */
	snprintf(end, sizeof(end), "part/%" PRIu32 "0", number);
	store_range(store, head_key(first, number), end,
		    partstore_keys_max(1) + 1, fn, arg);
}

int partstore_keys_max(uint32_t count)
{
	return (int)count * (1 + PARTSTORE_LOG_ENTRIES_MAX);
}

/* Length of "part/N" in a key of partition N. */
static size_t head_length(const char *key)
{
	const char *number = strchr(key, '/');

	return number ? (size_t)(number - key) + 1 + strcspn(number + 1, "/")
		      : strlen(key);
}

size_t partstore_group_size(const struct store_item *items, size_t count)
{
	size_t len, i;

	if (!count)
		return 0;
	len = head_length(items[0].key);
	for (i = 1; i < count; i++)
		if (head_length(items[i].key) != len ||
		    strncmp(items[i].key, items[0].key, len) != 0)
			break;
	return i;
}

static void measure(const struct store_item *items, size_t count,
		    struct partstore_state *state)
{
	size_t i;

	memset(state, 0, sizeof(*state));
	if (!count)
		return;
	state->revision = items[0].revision;
	state->snapshot_bytes = items[0].len;
	state->log_entries = (uint32_t)count - 1;
	for (i = 1; i < count; i++)
		state->log_bytes += items[i].len;
}

int partstore_replay(struct partition *partition,
		     const struct store_item *items, size_t count,
		     struct mstime now, struct partstore_state *state)
{
	char key[KEY_SIZE];
	size_t i;

	measure(items, count, state);
	if (!count)
		return ERR_NOT_FOUND;
	if (count > 1 + PARTSTORE_LOG_ENTRIES_MAX ||
	    strcmp(items[0].key, head_key(key, partition->number)) != 0 ||
	    partition_decode(partition, items[0].value, items[0].len, now))
		return ERR_MALFORMED;
	for (i = 1; i < count; i++) {
		entry_key(key, partition->number, partition->log_seq + 1);
		if (strcmp(items[i].key, key) != 0 ||
		    partition_apply_delta(partition, items[i].value,
					  items[i].len, now))
			return ERR_MALFORMED;
	}
	return 0;
}

int partstore_written_by(const struct store_item *items, size_t count,
			 const char *writer, struct partstore_state *state,
			 uint64_t *epoch, uint64_t *seq, uint64_t *version)
{
	const struct store_item *newest = &items[count - 1];

	measure(items, count, state);
	return partition_written_by(newest->value, newest->len, writer, epoch,
				    seq, version);
}

int partstore_snapshot_due(const struct partstore_state *state)
{
	return state->log_entries >= PARTSTORE_LOG_ENTRIES_MAX ||
	       state->log_bytes > state->snapshot_bytes;
}

void partstore_append_log(struct store *store, uint32_t number,
			  const struct partstore_state *state, uint64_t seq,
			  const void *data, size_t len, store_write_fn fn,
			  void *arg)
{
	char head[KEY_SIZE], entry[KEY_SIZE];
	const struct store_compare compares[] = {
		{ head_key(head, number), state->revision },
		{ entry_key(entry, number, seq + 1), 0 },
	};
	const struct store_change change = {
		.kind = STORE_PUT, .key = entry, .value = data, .len = len
	};

	store_txn(store, compares, 2, &change, 1, fn, arg);
}

void partstore_write_snapshot(struct store *store, uint32_t number,
			      const struct partstore_state *state, uint64_t seq,
			      const void *data, size_t len, store_write_fn fn,
			      void *arg)
{
	char head[KEY_SIZE], first[KEY_SIZE], next[KEY_SIZE];
	const struct store_compare compares[] = {
		{ head_key(head, number), state->revision },
		{ entry_key(next, number, seq + 1), 0 },
	};
	const struct store_change changes[] = {
		{ .kind = STORE_PUT, .key = head, .value = data, .len = len },
		{ .kind = STORE_DELETE_RANGE,
		  .key = entry_key(first, number, 0),
		  .end = next },
	};

	store_txn(store, compares, 2, changes, state->log_entries ? 2 : 1, fn,
		  arg);
}
