#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "jobspec.h"
#include "mem.h"
#include "partition.h"
#include "rng.h"

#define ENTRIES_MAX 64
#define JOBS 30
#define STEPS 400
#define WRITER "e1/1"

static const struct resources need = { 1000, 512, 0 };
static const struct job_retry_policy policy = { .failed_agents_max = 3 };

struct blob {
	char *data;
	size_t len;
};

/* Snapshot and log of one partition, as in the store. */
struct stored {
	struct blob snapshot, entries[ENTRIES_MAX];
	size_t count;
};

static struct mstime at(int64_t ms)
{
	return mstime_from(100000 + ms);
}

static void stored_clear(struct stored *stored)
{
	free(stored->snapshot.data);
	while (stored->count)
		free(stored->entries[--stored->count].data);
	memset(stored, 0, sizeof(*stored));
}

static void put_snapshot(struct stored *stored, struct partition *partition,
			 struct mstime now)
{
	struct blob blob;

	assert_int_equal(
		partition_encode(partition, WRITER, now, &blob.data, &blob.len),
		0);
	stored_clear(stored);
	stored->snapshot = blob;
}

static struct blob encode_delta(const struct partition *partition,
				struct mstime now)
{
	struct blob blob;

	assert_int_equal(partition_encode_delta(partition, WRITER, now,
						&blob.data, &blob.len),
			 0);
	return blob;
}

static struct partition *replay(const struct stored *stored, struct mstime now)
{
	struct partition *partition = partition_new(3);
	size_t i;

	assert_int_equal(partition_decode(partition, stored->snapshot.data,
					  stored->snapshot.len, now),
			 0);
	for (i = 0; i < stored->count; i++)
		assert_int_equal(partition_apply_delta(
					 partition, stored->entries[i].data,
					 stored->entries[i].len, now),
				 0);
	return partition;
}

/* Replaying the log must encode to the same bytes as the full value. */
static void check_replay(const struct stored *stored, const struct blob *value,
			 struct mstime now)
{
	struct partition *p = replay(stored, now), *q = partition_new(3);
	struct blob a, b;

	assert_int_equal(partition_decode(q, value->data, value->len, now), 0);
	assert_string_equal(p->writer_token, q->writer_token);
	assert_int_equal(p->writer_clock_ms, q->writer_clock_ms);
	q->log_seq = p->log_seq;
	assert_int_equal(partition_encode(p, "x", now, &a.data, &a.len), 0);
	assert_int_equal(partition_encode(q, "x", now, &b.data, &b.len), 0);
	assert_int_equal(a.len, b.len);
	assert_memory_equal(a.data, b.data, a.len);
	assert_int_equal(p->bytes, q->bytes);
	free(a.data);
	free(b.data);
	partition_delete(p);
	partition_delete(q);
}

static void submit_job(struct partition *partition, const char *id,
		       struct mstime now)
{
	struct job_spec spec = { .team = "t", .need = need, .command = "c" };

	snprintf(spec.job, sizeof(spec.job), "%s", id);
	partition_submit(partition, &spec, now);
}

static void report_task(struct partition *partition, struct job *job,
			enum task_state state, struct mstime now)
{
	char checkpoint[32];
	struct task_status status = { .run = job->run,
				      .state = state,
				      .checkpoint = checkpoint,
				      .detail = "d" };

	memcpy(status.job, job->id, sizeof(status.job));
	snprintf(checkpoint, sizeof(checkpoint), "c%lld", (long long)now.ms);
	partition_apply_report(partition, job->agent, &status, &policy, now);
}

static void apply_random_change(struct partition *partition, struct rng *rng,
				struct mstime now)
{
	static const enum task_state end_states[] = { TASK_FINISHED,
						      TASK_STOPPED, TASK_FAILED,
						      TASK_REFUSED };
	struct job *job;
	char id[ID_SIZE];

	snprintf(id, sizeof(id), "j%u", rng_below(rng, JOBS));
	job = partition_find(partition, id);
	if (!job) {
		submit_job(partition, id, now);
		return;
	}
	switch (rng_below(rng, 7)) {
	case 0:
		partition_cancel(partition, id, now);
		break;
	case 1:
		partition_evict_run(partition, job, "room", now);
		break;
	case 2:
		partition_run_lost(partition, job, "silent", now);
		break;
	case 3:
		report_task(partition, job, end_states[rng_below(rng, 4)], now);
		break;
	case 4:
		report_task(partition, job, TASK_RUNNING, now);
		break;
	case 5:
		partition->inbox_listings++;
		partition_expire(partition, 2000, 3, now);
		break;
	default:
		partition_start_run(partition, job, "a1", &need, "r", now);
		partition_next_command(partition, job, 1, now);
	}
}

/* Makes one commit, which may fail, with changes made while in flight. */
static void commit_entry(struct stored *stored, struct partition *partition,
			 struct rng *rng, struct mstime now)
{
	uint64_t version = partition->version;
	struct blob value, entry;
	uint32_t i;

	assert_int_equal(partition_encode(partition, WRITER, now, &value.data,
					  &value.len),
			 0);
	entry = encode_delta(partition, now);
	for (i = rng_below(rng, 4); i > 0; i--)
		apply_random_change(partition, rng, now);
	if (!rng_below(rng, 3)) {
		free(entry.data);
	} else {
		stored->entries[stored->count++] = entry;
		partition->log_seq++;
		partition_mark_committed(partition, version);
		check_replay(stored, &value, mstime_add(now, 700));
	}
	free(value.data);
}

/*
 * Guards against a change that is missing from the log, so that the replay on a
 * takeover loses it: a change of a job or of the header, the removal of a job,
 * a change made while a commit is in flight, or one whose commit failed.
 */
static void test_replay_matches_value(void **state)
{
	uint64_t seed;

	for (seed = 1; seed <= 20; seed++) {
		struct partition *partition = partition_new(3);
		struct stored stored = { { NULL, 0 } };
		int64_t now = 0;
		struct rng rng;
		int i;

		rng_seed(&rng, seed);
		partition->epoch = 2;
		put_snapshot(&stored, partition, at(now));
		for (i = 0; i < STEPS; i++) {
			now += rng_below(&rng, 900);
			partition->holdover_ms = rng_below(&rng, 5000);
			apply_random_change(partition, &rng, at(now));
			if (!rng_below(&rng, 3))
				commit_entry(&stored, partition, &rng, at(now));
			if (stored.count == ENTRIES_MAX ||
			    !rng_below(&rng, 60)) {
				put_snapshot(&stored, partition, at(now));
				partition_mark_committed(partition,
							 partition->version);
			}
		}
		stored_clear(&stored);
		partition_delete(partition);
	}
}

/* Stores a snapshot; the owner's copy then has uncommitted changes. */
static void make_owner_copy(struct stored *stored, struct partition **owner)
{
	*owner = partition_new(3);
	(*owner)->epoch = 2;
	(*owner)->log_seq = 5;
	submit_job(*owner, "j1", at(0));
	submit_job(*owner, "j2", at(0));
	put_snapshot(stored, *owner, at(0));
	partition_mark_committed(*owner, (*owner)->version);
	partition_cancel(*owner, "j1", at(10));
	submit_job(*owner, "j3", at(10));
}

static const struct {
	const char *name;
	uint32_t number;
	uint64_t epoch, seq; /* of the state that precedes the entry */
	int err;
} entry_cases[] = {
	{ "next", 3, 2, 5, 0 },
	{ "gap", 3, 2, 6, ERR_INVALID },
	{ "repeated", 3, 2, 4, ERR_INVALID },
	{ "earlier epoch", 3, 1, 5, ERR_INVALID },
	{ "later epoch", 3, 3, 5, ERR_INVALID },
	{ "other partition", 4, 2, 5, ERR_INVALID },
};

/*
 * Guards against replaying a log entry of another epoch or partition, or one
 * that is not next in sequence.
 */
static void test_entry_out_of_sequence(void **state)
{
	size_t i;

	for (i = 0; i < sizeof(entry_cases) / sizeof(entry_cases[0]); i++) {
		struct stored stored = { { NULL, 0 } };
		struct partition *owner, *copy;
		struct blob entry;

		make_owner_copy(&stored, &owner);
		copy = replay(&stored, at(20));
		owner->number = entry_cases[i].number;
		owner->epoch = entry_cases[i].epoch;
		owner->log_seq = entry_cases[i].seq;
		entry = encode_delta(owner, at(20));
		if (partition_apply_delta(copy, entry.data, entry.len,
					  at(20)) != entry_cases[i].err)
			fail_msg("%s", entry_cases[i].name);
		assert_int_equal(copy->log_seq, entry_cases[i].err ? 5 : 6);
		assert_int_equal(partition_find(copy, "j3") != NULL,
				 !entry_cases[i].err);
		free(entry.data);
		partition_delete(owner);
		partition_delete(copy);
		stored_clear(&stored);
	}
}

/*
 * Guards against a crash on an entry with a flipped bit, and against accepting
 * a truncated entry or a snapshot in place of an entry, or the reverse, which
 * would silently lose changes.
 */
static void test_corrupted_entry(void **state)
{
	struct stored stored = { { NULL, 0 } };
	struct partition *owner, *copy;
	struct blob entry;
	size_t i;

	make_owner_copy(&stored, &owner);
	entry = encode_delta(owner, at(20));
	for (i = 0; i < entry.len; i++) {
		char *truncated = xmemdup(entry.data, i ? i : 1);

		copy = replay(&stored, at(20));
		assert_int_equal(
			partition_apply_delta(copy, truncated, i, at(20)),
			ERR_MALFORMED);
		partition_delete(copy);
		free(truncated);
	}
	for (i = 0; i < 8 * entry.len; i++) {
		entry.data[i / 8] ^= (char)(1 << i % 8);
		copy = replay(&stored, at(20));
		partition_apply_delta(copy, entry.data, entry.len, at(20));
		partition_delete(copy);
		entry.data[i / 8] ^= (char)(1 << i % 8);
	}
	copy = partition_new(3);
	assert_int_equal(partition_decode(copy, entry.data, entry.len, at(20)),
			 ERR_MALFORMED);
	partition_delete(copy);
	copy = replay(&stored, at(20));
	assert_int_equal(partition_apply_delta(copy, stored.snapshot.data,
					       stored.snapshot.len, at(20)),
			 ERR_MALFORMED);
	partition_delete(copy);
	free(entry.data);
	partition_delete(owner);
	stored_clear(&stored);
}

/*
 * Guards against accepting an entry that does not match the snapshot: it
 * removes a job that the snapshot does not contain.
 */
static void test_removal_of_unknown_job(void **state)
{
	struct stored stored = { { NULL, 0 } };
	struct partition *owner, *copy = partition_new(3);
	struct blob entry;

	make_owner_copy(&stored, &owner);
	copy->epoch = 2;
	copy->log_seq = 5;
	partition_mark_committed(owner, owner->version);
	owner->inbox_listings = 9;
	partition_expire(owner, 0, 0, at(30));
	assert_null(partition_find(owner, "j1"));
	entry = encode_delta(owner, at(30));
	assert_int_equal(
		partition_apply_delta(copy, entry.data, entry.len, at(30)),
		ERR_MALFORMED);
	free(entry.data);
	partition_delete(owner);
	partition_delete(copy);
	stored_clear(&stored);
}

/*
 * Guards against writing an entry larger than the store accepts, which would
 * fail each time it is retried and block all later commits.
 */
static void test_entry_too_large(void **state)
{
	struct partition *partition = partition_new(3);
	struct job *job;
	char *data;
	size_t len;

	submit_job(partition, "j1", at(0));
	job = partition_find(partition, "j1");
	free(job->command);
	job->command = xcalloc(1, PARTITION_VALUE_MAX_BYTES + 1);
	memset(job->command, 'c', PARTITION_VALUE_MAX_BYTES);
	assert_int_equal(
		partition_encode_delta(partition, WRITER, at(0), &data, &len),
		ERR_TOO_LARGE);
	partition_mark_committed(partition, partition->version);
	partition_touch(partition);
	assert_int_equal(
		partition_encode_delta(partition, WRITER, at(0), &data, &len),
		0);
	assert_true(len < 100);
	free(data);
	partition_delete(partition);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_replay_matches_value),
		cmocka_unit_test(test_entry_out_of_sequence),
		cmocka_unit_test(test_corrupted_entry),
		cmocka_unit_test(test_removal_of_unknown_job),
		cmocka_unit_test(test_entry_too_large),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
