#ifndef CATKINHILL_PARTSTORE_H
#define CATKINHILL_PARTSTORE_H

#include "partition.h"
#include "store.h"

/*
 * NAME
 *	partstore - snapshot and log of a partition in the store
 *
 * NOTES
 *	part/N holds the snapshot, and each part/N/log/SEQ one commit. Every
 *	write is a transaction with two conditions: the revision of the
 *	snapshot is unchanged, so that the snapshot of a new owner fences all
 *	later writes of the previous one; and the next log entry is absent, so
 *	that a new owner's snapshot fails if the previous owner has appended
 *	to the log since it was read. See docs/design.md, section 4.3.
 */

/* Limits what a takeover has to read and replay. */
#define PARTSTORE_LOG_ENTRIES_MAX 128

/* Sizes and revision of the stored partition, as last known to its writer. */
struct partstore_state {
	int64_t revision; /* of part/N; 0 if there is none */
	size_t snapshot_bytes;
	size_t log_bytes;
	uint32_t log_entries;
};

/*
 * Reads the snapshot and the log at one revision of the store. fn gets the
 * snapshot, followed by the log entries in order, or no items if the partition
 * is not stored.
 */
void partstore_read(struct store *store, uint32_t number, store_list_fn fn,
		    void *arg);

/* Largest number of keys that count partitions have below part/. */
int partstore_keys_max(uint32_t count);

/*
 * The keys of one partition are adjacent in any listing.
 *
 * RETURN VALUE
 *	Number of items at the start of a listing that belong to the same
 *	partition as its first item.
 */
size_t partstore_group_size(const struct store_item *items, size_t count);

/*
 * Fills an empty partition from all its items, and *state with their sizes.
 *
 * ERRORS
 *	ERR_NOT_FOUND	there are no items
 *	ERR_MALFORMED	they are not a snapshot with its log
 */
int partstore_replay(struct partition *partition,
		     const struct store_item *items, size_t count,
		     struct mstime now, struct partstore_state *state);

/*
 * Fills *state from all items of a partition and reads the header of the newest
 * one as partition_written_by() does, with the same return value.
 */
int partstore_written_by(const struct store_item *items, size_t count,
			 const char *writer, struct partstore_state *state,
			 uint64_t *epoch, uint64_t *seq, uint64_t *version);

/* RETURN VALUE: 1 if the log is to be replaced by a snapshot. */
int partstore_snapshot_due(const struct partstore_state *state);

/*
 * Write log entry seq + 1, or a snapshot that includes the log up to seq and
 * replaces it.
 */
void partstore_append_log(struct store *store, uint32_t number,
			  const struct partstore_state *state, uint64_t seq,
			  const void *data, size_t len, store_write_fn fn,
			  void *arg);
void partstore_write_snapshot(struct store *store, uint32_t number,
			      const struct partstore_state *state, uint64_t seq,
			      const void *data, size_t len, store_write_fn fn,
			      void *arg);

#endif
