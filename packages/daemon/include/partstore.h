#ifndef CATKINHILL_PARTSTORE_H
#define CATKINHILL_PARTSTORE_H

#include "partition.h"
#include "store.h"

/*
 * NAME
 *	partstore - snapshot and log of a partition in the store
 *
 * NOTES
 *	part/N holds the snapshot and part/N/log/SEQ one commit each. Every
 *	write compares the snapshot's revision, so that the snapshot of a new
 *	owner fences all writes of the former one, and the absence of the next
 *	log entry, so that a new owner's snapshot fails if the former one has
 *	appended since the read. See docs/design.md, section 4.3.
 */

/* Bounds what a takeover has to read and replay. */
#define PARTSTORE_LOG_ENTRIES_MAX 128

/* What a writer knows of the stored partition. */
struct partstore_state {
	int64_t revision; /* of part/N; 0 if there is none */
	size_t snapshot_bytes;
	size_t log_bytes;
	uint32_t log_entries;
};

/* Reads snapshot and log at one revision; fn gets them in order, or none. */
void partstore_read(struct store *store, uint32_t number, store_list_fn fn,
		    void *arg);

/* Most keys that count partitions have below part/. */
int partstore_keys_max(uint32_t count);

/*
 * Number of a listing's first items that belong to the partition of the first.
 * The keys of one partition follow each other in any listing.
 */
size_t partstore_group_size(const struct store_item *items, size_t count);

/*
 * Fills an empty partition from all its items and measures them.
 *
 * ERRORS
 *	ERR_NOT_FOUND	there are no items
 *	ERR_MALFORMED	they are not a snapshot with its log
 */
int partstore_replay(struct partition *partition,
		     const struct store_item *items, size_t count,
		     struct mstime now, struct partstore_state *state);

/*
 * Measures all items of a partition and reads the head of the newest one, as
 * partition_value_writer() does.
 */
int partstore_written_by(const struct store_item *items, size_t count,
			 const char *writer, struct partstore_state *state,
			 uint64_t *epoch, uint64_t *seq, uint64_t *version);

/* Whether the log has grown enough to be replaced by a snapshot. */
int partstore_snapshot_due(const struct partstore_state *state);

/*
 * Writes log entry seq + 1, or a snapshot that includes the log up to seq and
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
