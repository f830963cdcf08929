#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "jobspec.h"
#include "mem.h"
#include "partition.h"

#define WRITER "e1/1"
#define JOB_COUNT 3

static const struct mstime now = { 1000000 };

static void encode(struct partition *partition, char **data, size_t *len)
{
	if (partition_encode(partition, WRITER, now, data, len))
		abort();
}

/* An accepted partition must not change when it is encoded and decoded. */
static void check_round_trip(struct partition *partition)
{
	struct partition *decoded = partition_new(partition->number);
	char *first, *second;
	size_t first_len, second_len;

	encode(partition, &first, &first_len);
	if (partition_decode(decoded, first, first_len, now))
		abort();
	encode(decoded, &second, &second_len);
	if (first_len != second_len || memcmp(first, second, first_len))
		abort();
	partition_delete(decoded);
	free(first);
	free(second);
}

/*
 * An input is the length of a snapshot in two bytes, the snapshot and a log
 * entry. It is refused, or decodes to a partition that can be stored.
 */
int fuzz_one_input(const unsigned char *data, size_t len)
{
	struct partition *partition;
	size_t snapshot_len;
	int err;

	if (len < 2)
		return 0;
	snapshot_len = (size_t)data[0] << 8 | data[1];
	if (snapshot_len > len - 2)
		return 0;
	partition = partition_new(3);
	err = partition_decode(partition, data + 2, snapshot_len, now);
	if (!err)
		err = partition_apply_delta(partition, data + 2 + snapshot_len,
					    len - 2 - snapshot_len, now);
	if (!err)
		check_round_trip(partition);
	partition_delete(partition);
	return !err;
}

static void submit_job(struct partition *partition, int number)
{
	struct job_spec spec = { .team = "t", .command = "c" };

	snprintf(spec.job, sizeof(spec.job), "j%d", number);
	if (partition_submit(partition, &spec, now))
		abort();
}

/* A snapshot of some jobs, and an entry that adds one and starts another. */
size_t fuzz_initial_inputs(struct fuzz_input *inputs, size_t max)
{
	const struct resources reserved = { 1000, 512, 0 };
	struct partition *partition = partition_new(3);
	size_t snapshot_len, entry_len;
	char *snapshot, *entry;
	int i;

	if (!max)
		return 0;
	for (i = 0; i < JOB_COUNT; i++)
		submit_job(partition, i);
	encode(partition, &snapshot, &snapshot_len);
	partition_mark_committed(partition, partition->version);
	submit_job(partition, JOB_COUNT);
	if (partition_start_run(partition, partition_find(partition, "j1"),
				"a1", &reserved, "fits", now) ||
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
