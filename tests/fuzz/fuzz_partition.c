#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "jobspec.h"
#include "mem.h"
#include "partition.h"

#define WRITER "e1/1"
#define JOBS 3

static const struct mstime now = { 1000000 };

static void encode(struct partition *partition, char **data, size_t *len)
{
	if (partition_encode(partition, WRITER, now, data, len))
		abort();
}

/* What was accepted must survive being written and read again. */
static void check_again(struct partition *partition)
{
	struct partition *again = partition_new(partition->number);
	char *first, *second;
	size_t first_len, second_len;

	encode(partition, &first, &first_len);
	if (partition_decode(again, first, first_len, now))
		abort();
	encode(again, &second, &second_len);
	if (first_len != second_len || memcmp(first, second, first_len))
		abort();
	partition_delete(again);
	free(first);
	free(second);
}

/*
 * An input is the length of a snapshot in two bytes, the snapshot, and a log
 * entry. Both are refused, or give a partition that can be stored.
 */
int fuzz_one(const unsigned char *data, size_t len)
{
	struct partition *partition;
	size_t size;
	int err;

	if (len < 2)
		return 0;
	size = (size_t)data[0] << 8 | data[1];
	if (size > len - 2)
		return 0;
	partition = partition_new(3);
	err = partition_decode(partition, data + 2, size, now);
	if (!err)
		err = partition_apply_delta(partition, data + 2 + size,
					    len - 2 - size, now);
	if (!err)
		check_again(partition);
	partition_delete(partition);
	return !err;
}

static void submit(struct partition *partition, int number)
{
	struct job_spec spec = { .team = "t", .command = "c" };

	snprintf(spec.job, sizeof(spec.job), "j%d", number);
	if (partition_submit(partition, &spec, now))
		abort();
}

/* A snapshot of some jobs, and an entry that adds one and starts another. */
size_t fuzz_samples(struct fuzz_input *inputs, size_t max)
{
	const struct resources need = { 1000, 512, 0 };
	struct partition *partition = partition_new(3);
	size_t snapshot_len, entry_len;
	char *snapshot, *entry;
	int i;

	if (!max)
		return 0;
	for (i = 0; i < JOBS; i++)
		submit(partition, i);
	encode(partition, &snapshot, &snapshot_len);
	partition_mark_committed(partition, partition->version);
	submit(partition, JOBS);
	if (partition_start_run(partition, partition_find(partition, "j1"),
				"a1", &need, "fits", now) ||
	    partition_encode_delta(partition, WRITER, now, &entry, &entry_len))
		abort();
	inputs->len = 2 + snapshot_len + entry_len;
	inputs->data = xmalloc(inputs->len);
	inputs->data[0] = (unsigned char)(snapshot_len >> 8);
	inputs->data[1] = (unsigned char)snapshot_len;
	memcpy(inputs->data + 2, snapshot, snapshot_len);
	memcpy(inputs->data + 2 + snapshot_len, entry, entry_len);
	free(snapshot);
	free(entry);
	partition_delete(partition);
	return 1;
}
