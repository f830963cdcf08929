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
	int ends, err;
	int64_t revision;
};

/* One owner's copy of the partition, and what it knows of the stored one. */
struct writer {
	struct fixture *f;
	char name[16];
	struct partition *partition;
	struct partstore_state stored;
	/* Of the last read. */
	uint64_t epoch, seq, version;
	int own;
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

static int has_ended(void *arg)
{
	struct fixture *f = arg;

	return f->ends;
}

static int end_of(struct fixture *f)
{
	assert_true(loop_wait(f->loop, has_ended, f));
	f->ends = 0;
	return f->err;
}

static void on_write(void *arg, int err, int64_t revision)
{
	struct fixture *f = arg;

	f->ends++;
	f->err = err;
	f->revision = revision;
}

static void on_loaded(void *arg, int err, const struct store_item *items,
		      size_t count)
{
	struct writer *w = arg;

	w->f->ends++;
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
	return end_of(f);
}

static void on_read_back(void *arg, int err, const struct store_item *items,
			 size_t count)
{
	struct writer *w = arg;
	struct partstore_state stored;

	w->f->ends++;
	w->f->err = err;
	if (!err && count)
		w->own = partstore_written_by(items, count, w->name, &stored,
					      &w->epoch, &w->seq, &w->version);
}

static void read_back(struct writer *w)
{
	partstore_read(w->f->store, NUMBER, on_read_back, w);
	assert_int_equal(end_of(w->f), 0);
}

static int append(struct writer *w)
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
	err = end_of(w->f);
	if (err)
		return err;
	p->log_seq++;
	partition_mark_committed(p, p->version);
	w->stored.log_entries++;
	w->stored.log_bytes += len;
	return 0;
}

static int snapshot(struct writer *w)
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
	err = end_of(w->f);
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
	return snapshot(w);
}

static void submit(struct writer *w, const char *id)
{
	struct job_spec spec = { .team = "t", .command = "c" };

	snprintf(spec.job, sizeof(spec.job), "%s", id);
	assert_int_equal(
		partition_submit(w->partition, &spec, mstime_from(1000)), 0);
}

static int put(struct fixture *f, const char *key, const char *value)
{
	store_put_if(f->store, key, 0, value, strlen(value), 0, on_write, f);
	return end_of(f);
}

/*
 * Guards against a commit of the former owner that is lost because it came
 * between the new owner's read and its takeover, and against one that takes
 * effect after the takeover.
 */
static void test_append_during_takeover(void **state)
{
	struct fixture *f = *state;
	struct writer former, late, new;

	assert_int_equal(take_over(f, &former, "e1/1"), 0);
	submit(&former, "j1");
	assert_int_equal(append(&former), 0);

	assert_int_equal(load(f, &late, "e2/1"), 0);
	submit(&former, "j2");
	assert_int_equal(append(&former), 0);
	late.partition->epoch++;
	assert_int_equal(snapshot(&late), ERR_CONFLICT);
	read_back(&late);
	assert_int_equal(late.own, 0);
	assert_int_equal(late.epoch, 1);

	assert_int_equal(take_over(f, &new, "e2/1"), 0);
	assert_non_null(partition_find(new.partition, "j1"));
	assert_non_null(partition_find(new.partition, "j2"));
	submit(&former, "j3");
	assert_int_equal(append(&former), ERR_CONFLICT);
	assert_int_equal(snapshot(&former), ERR_CONFLICT);
	read_back(&former);
	assert_int_equal(former.own, 0);
	assert_int_equal(former.epoch, 2);
	partition_delete(former.partition);
	partition_delete(late.partition);
	partition_delete(new.partition);
}

/*
 * Guards against a commit that takes effect twice, or whose effect is missed,
 * when its answer is lost.
 */
static void test_lost_answer(void **state)
{
	struct fixture *f = *state;
	struct writer w, copy;
	uint64_t version;

	assert_int_equal(take_over(f, &w, "e1/1"), 0);
	submit(&w, "j1");
	version = w.partition->version;
	assert_int_equal(append(&w), 0);
	/* The owner does not know, and goes on. */
	w.partition->log_seq--;
	submit(&w, "j2");
	assert_int_equal(append(&w), ERR_CONFLICT);
	assert_int_equal(snapshot(&w), ERR_CONFLICT);
	read_back(&w);
	assert_int_equal(w.own, 1);
	assert_int_equal(w.epoch, 1);
	assert_int_equal(w.version, version);
	assert_int_equal(w.seq, w.partition->log_seq + 1);
	w.partition->log_seq = w.seq;
	assert_int_equal(append(&w), 0);
	assert_int_equal(load(f, &copy, "e2/1"), 0);
	assert_non_null(partition_find(copy.partition, "j1"));
	assert_non_null(partition_find(copy.partition, "j2"));
	partition_delete(w.partition);
	partition_delete(copy.partition);
}

/* Guards against a log that grows without a bound or is replayed twice. */
static void test_snapshot_replaces_log(void **state)
{
	struct fixture *f = *state;
	struct writer w, copy;
	char id[16];
	int i;

	assert_int_equal(put(f, "part/10/log/00000000000000000001", "x"), 0);
	assert_int_equal(take_over(f, &w, "e1/1"), 0);
	w.stored.snapshot_bytes = SIZE_MAX;
	for (i = 0; !partstore_snapshot_due(&w.stored); i++) {
		snprintf(id, sizeof(id), "j%d", i);
		submit(&w, id);
		assert_int_equal(append(&w), 0);
	}
	assert_int_equal(i, PARTSTORE_LOG_ENTRIES_MAX);
	assert_int_equal(load(f, &copy, "e2/1"), 0);
	assert_int_equal(copy.stored.log_entries, PARTSTORE_LOG_ENTRIES_MAX);
	assert_int_equal(copy.stored.log_bytes, w.stored.log_bytes);
	partition_delete(copy.partition);
	submit(&w, "last");
	assert_int_equal(snapshot(&w), 0);
	assert_int_equal(load(f, &copy, "e2/1"), 0);
	assert_int_equal(copy.stored.log_entries, 0);
	assert_int_equal(copy.stored.snapshot_bytes, w.stored.snapshot_bytes);
	assert_int_equal(copy.partition->counts[JOB_QUEUED], i + 1);
	assert_int_equal(copy.partition->log_seq, PARTSTORE_LOG_ENTRIES_MAX);
	submit(&w, "j0-again");
	assert_int_equal(append(&w), 0);
	partition_delete(copy.partition);
	/* The key of another partition is still there. */
	assert_int_equal(put(f, "part/10/log/00000000000000000001", "x"),
			 ERR_CONFLICT);
	partition_delete(w.partition);
}

/* Guards against a takeover that leaves out a part of the log. */
static void test_incomplete_log(void **state)
{
	struct fixture *f = *state;
	struct writer w, copy;

	assert_int_equal(take_over(f, &w, "e1/1"), 0);
	assert_int_equal(put(f, "part/1/log/00000000000000000002", "x"), 0);
	assert_int_equal(load(f, &copy, "e2/1"), ERR_MALFORMED);
	partition_delete(copy.partition);
	submit(&w, "j1");
	assert_int_equal(append(&w), 0);
	assert_int_equal(load(f, &copy, "e2/1"), ERR_MALFORMED);
	partition_delete(copy.partition);
	partition_delete(w.partition);
}

static const struct {
	const char *keys[4];
	size_t group;
} groups[] = {
	{ { "part/1" }, 1 },
	{ { "part/1", "part/1/log/1", "part/1/log/2" }, 3 },
	{ { "part/1", "part/1/log/1", "part/10" }, 2 },
	{ { "part/1", "part/10", "part/10/log/1" }, 1 },
	{ { "part/10", "part/10/log/1", "part/2" }, 2 },
	{ { "part/1/log/1", "part/2" }, 1 },
};

/* Guards against log entries that are replayed on another partition. */
static void test_groups(void **state)
{
	size_t i, n;

	for (i = 0; i < sizeof(groups) / sizeof(groups[0]); i++) {
		struct store_item items[4] = { { NULL } };

		for (n = 0; n < 4 && groups[i].keys[n]; n++)
			items[n].key = groups[i].keys[n];
		assert_int_equal(partstore_group_size(items, n),
				 groups[i].group);
	}
	assert_int_equal(partstore_group_size(NULL, 0), 0);
}

#define CASE(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_append_during_takeover), CASE(test_lost_answer),
		CASE(test_snapshot_replaces_log),  CASE(test_incomplete_log),
		cmocka_unit_test(test_groups),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
