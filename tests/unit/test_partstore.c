#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "fakestore/storeserver.h"
#include "mem.h"
#include "partstore.h"
#include "support.h"

#define NUMBER 1
#define TIMEOUT_MS 2000

struct fixture {
	struct loop *loop;
	char address[ID_SIZE], control[ID_SIZE];
	struct storeserver *server;
	struct store *store;
	int completions, err;
	int64_t revision;
};

/* One owner's copy of the partition, and its knowledge of the stored one. */
struct writer {
	struct fixture *f;
	char name[16];
	struct partition *partition;
	struct partstore_state stored;
	/* Results of the last read_last_write(). */
	uint64_t epoch, seq, version;
	int written_by_self;
};

static int setup(void **state)
{
	struct fixture *f = xcalloc(1, sizeof(*f));

	f->loop = loop_new();
	free_address(f->address, sizeof(f->address));
	free_address(f->control, sizeof(f->control));
	f->server = storeserver_new(f->loop, f->address, f->control);
	assert_non_null(f->server);
	f->store = store_new(f->loop, f->address, TIMEOUT_MS);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	store_delete(f->store);
	storeserver_delete(f->server);
	loop_delete(f->loop);
	free(f);
	return 0;
}

static int has_completed(void *arg)
{
	struct fixture *f = arg;

	return f->completions;
}

static int wait_result(struct fixture *f)
{
	assert_true(loop_wait(f->loop, has_completed, f));
	f->completions = 0;
	return f->err;
}

static void on_write(void *arg, int err, int64_t revision)
{
	struct fixture *f = arg;

	f->completions++;
	f->err = err;
	f->revision = revision;
}

static void on_loaded(void *arg, int err, const struct store_item *items,
		      size_t count)
{
	struct writer *w = arg;

	w->f->completions++;
	w->f->err = err ? err
			: partstore_replay(w->partition, items, count,
					   mstime_from(1000), &w->stored);
}

static int load(struct fixture *f, struct writer *w, const char *name)
{
	memset(w, 0, sizeof(*w));
	w->f = f;
	snprintf(w->name, sizeof(w->name), "%s", name);
	w->partition = partition_new(NUMBER);
	partstore_read(f->store, NUMBER, on_loaded, w);
	return wait_result(f);
}

static void on_read_last_write(void *arg, int err,
			       const struct store_item *items, size_t count)
{
	struct writer *w = arg;
	struct partstore_state stored;

	w->f->completions++;
	w->f->err = err;
	if (!err && count)
		w->written_by_self =
			partstore_written_by(items, count, w->name, &stored,
					     &w->epoch, &w->seq, &w->version);
}

static void read_last_write(struct writer *w)
{
	partstore_read(w->f->store, NUMBER, on_read_last_write, w);
	assert_int_equal(wait_result(w->f), 0);
}

static int append_log(struct writer *w)
{
	struct partition *p = w->partition;
	char *data;
	size_t len;
	int err;

	assert_int_equal(partition_encode_delta(p, w->name, mstime_from(1000),
						&data, &len),
			 0);
	partstore_append_log(w->f->store, NUMBER, &w->stored, p->log_seq, data,
			     len, on_write, w->f);
	free(data);
	err = wait_result(w->f);
	if (err)
		return err;
	p->log_seq++;
	partition_mark_committed(p, p->version);
	w->stored.log_entries++;
	w->stored.log_bytes += len;
	return 0;
}

static int write_snapshot(struct writer *w)
{
	struct partition *p = w->partition;
	char *data;
	size_t len;
	int err;

	assert_int_equal(
		partition_encode(p, w->name, mstime_from(1000), &data, &len),
		0);
	partstore_write_snapshot(w->f->store, NUMBER, &w->stored, p->log_seq,
				 data, len, on_write, w->f);
	free(data);
	err = wait_result(w->f);
	if (err)
		return err;
	partition_mark_committed(p, p->version);
	memset(&w->stored, 0, sizeof(w->stored));
	w->stored.revision = w->f->revision;
	w->stored.snapshot_bytes = len;
	return 0;
}

static int take_over(struct fixture *f, struct writer *w, const char *name)
{
	int err = load(f, w, name);

	assert_true(!err || err == ERR_NOT_FOUND);
	w->partition->epoch++;
	partition_touch(w->partition);
	return write_snapshot(w);
}

static void submit(struct writer *w, const char *id)
{
	struct job_spec spec = { .team = "t", .command = "c" };

	snprintf(spec.job, sizeof(spec.job), "%s", id);
	assert_int_equal(
		partition_submit(w->partition, &spec, mstime_from(1000)), 0);
}

static int put_if_absent(struct fixture *f, const char *key, const char *value)
{
	store_put_if(f->store, key, 0, value, strlen(value), 0, on_write, f);
	return wait_result(f);
}

/*
 * Guards against losing a commit that the former owner makes between the new
 * owner's read and its first snapshot, and against a commit of the former owner
 * that takes effect after the takeover.
 */
static void test_append_during_takeover(void **state)
{
	struct fixture *f = *state;
	struct writer former, outdated, new;

	assert_int_equal(take_over(f, &former, "e1/1"), 0);
	submit(&former, "j1");
	assert_int_equal(append_log(&former), 0);

	assert_int_equal(load(f, &outdated, "e2/1"), 0);
	submit(&former, "j2");
	assert_int_equal(append_log(&former), 0);
	outdated.partition->epoch++;
	assert_int_equal(write_snapshot(&outdated), ERR_CONFLICT);
	read_last_write(&outdated);
	assert_int_equal(outdated.written_by_self, 0);
	assert_int_equal(outdated.epoch, 1);

	assert_int_equal(take_over(f, &new, "e2/1"), 0);
	assert_non_null(partition_find(new.partition, "j1"));
	assert_non_null(partition_find(new.partition, "j2"));
	submit(&former, "j3");
	assert_int_equal(append_log(&former), ERR_CONFLICT);
	assert_int_equal(write_snapshot(&former), ERR_CONFLICT);
	read_last_write(&former);
	assert_int_equal(former.written_by_self, 0);
	assert_int_equal(former.epoch, 2);
	partition_delete(former.partition);
	partition_delete(outdated.partition);
	partition_delete(new.partition);
}

/*
 * Guards against applying a commit twice, or taking it for failed, when it took
 * effect but its response was lost.
 */
static void test_lost_response(void **state)
{
	struct fixture *f = *state;
	struct writer w, copy;
	uint64_t version;

	assert_int_equal(take_over(f, &w, "e1/1"), 0);
	submit(&w, "j1");
	version = w.partition->version;
	assert_int_equal(append_log(&w), 0);
	/* The owner does not know of the commit and makes the next one. */
	w.partition->log_seq--;
	submit(&w, "j2");
	assert_int_equal(append_log(&w), ERR_CONFLICT);
	assert_int_equal(write_snapshot(&w), ERR_CONFLICT);
	read_last_write(&w);
	assert_int_equal(w.written_by_self, 1);
	assert_int_equal(w.epoch, 1);
	assert_int_equal(w.version, version);
	assert_int_equal(w.seq, w.partition->log_seq + 1);
	w.partition->log_seq = w.seq;
	assert_int_equal(append_log(&w), 0);
	assert_int_equal(load(f, &copy, "e2/1"), 0);
	assert_non_null(partition_find(copy.partition, "j1"));
	assert_non_null(partition_find(copy.partition, "j2"));
	partition_delete(w.partition);
	partition_delete(copy.partition);
}

/*
 * Guards against a log that grows without limit, entries that are replayed on
 * top of a snapshot that includes them, and a snapshot that deletes the log of
 * another partition whose number starts with the same digit.
 */
static void test_snapshot_replaces_log(void **state)
{
	struct fixture *f = *state;
	struct writer w, copy;
	char id[16];
	int i;

	assert_int_equal(
		put_if_absent(f, "part/10/log/00000000000000000001", "x"), 0);
	assert_int_equal(take_over(f, &w, "e1/1"), 0);
	w.stored.snapshot_bytes = SIZE_MAX;
	for (i = 0; !partstore_snapshot_due(&w.stored); i++) {
		snprintf(id, sizeof(id), "j%d", i);
		submit(&w, id);
		assert_int_equal(append_log(&w), 0);
	}
	assert_int_equal(i, PARTSTORE_LOG_ENTRIES_MAX);
	assert_int_equal(load(f, &copy, "e2/1"), 0);
	assert_int_equal(copy.stored.log_entries, PARTSTORE_LOG_ENTRIES_MAX);
	assert_int_equal(copy.stored.log_bytes, w.stored.log_bytes);
	partition_delete(copy.partition);
	submit(&w, "last");
	assert_int_equal(write_snapshot(&w), 0);
	assert_int_equal(load(f, &copy, "e2/1"), 0);
	assert_int_equal(copy.stored.log_entries, 0);
	assert_int_equal(copy.stored.snapshot_bytes, w.stored.snapshot_bytes);
	assert_int_equal(copy.partition->counts[JOB_QUEUED], i + 1);
	assert_int_equal(copy.partition->log_seq, PARTSTORE_LOG_ENTRIES_MAX);
	submit(&w, "j0-again");
	assert_int_equal(append_log(&w), 0);
	partition_delete(copy.partition);
	/* The key of another partition still exists. */
	assert_int_equal(
		put_if_absent(f, "part/10/log/00000000000000000001", "x"),
		ERR_CONFLICT);
	partition_delete(w.partition);
}

/* Guards against a takeover from a log with a gap or a malformed entry. */
static void test_incomplete_log(void **state)
{
	struct fixture *f = *state;
	struct writer w, copy;

	assert_int_equal(take_over(f, &w, "e1/1"), 0);
	assert_int_equal(
		put_if_absent(f, "part/1/log/00000000000000000002", "x"), 0);
	assert_int_equal(load(f, &copy, "e2/1"), ERR_MALFORMED);
	partition_delete(copy.partition);
	submit(&w, "j1");
	assert_int_equal(append_log(&w), 0);
	assert_int_equal(load(f, &copy, "e2/1"), ERR_MALFORMED);
	partition_delete(copy.partition);
	partition_delete(w.partition);
}

static const struct {
	const char *keys[4];
	size_t group_size;
} group_cases[] = {
	{ { "part/1" }, 1 },
	{ { "part/1", "part/1/log/1", "part/1/log/2" }, 3 },
	{ { "part/1", "part/1/log/1", "part/10" }, 2 },
	{ { "part/1", "part/10", "part/10/log/1" }, 1 },
	{ { "part/10", "part/10/log/1", "part/2" }, 2 },
	{ { "part/1/log/1", "part/2" }, 1 },
};

/* Guards against replaying log entries on a partition they do not belong to. */
static void test_group_size(void **state)
{
	size_t i, n;

	for (i = 0; i < sizeof(group_cases) / sizeof(group_cases[0]); i++) {
		struct store_item items[4] = { { NULL } };

		for (n = 0; n < 4 && group_cases[i].keys[n]; n++)
			items[n].key = group_cases[i].keys[n];
		assert_int_equal(partstore_group_size(items, n),
				 group_cases[i].group_size);
	}
	assert_int_equal(partstore_group_size(NULL, 0), 0);
}

#define STORE_TEST(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		STORE_TEST(test_append_during_takeover),
		STORE_TEST(test_lost_response),
		STORE_TEST(test_snapshot_replaces_log),
		STORE_TEST(test_incomplete_log),
		cmocka_unit_test(test_group_size),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
