#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "fakestore/storeserver.h"
#include "mem.h"
#include "message.h"
#include "store.h"
#include "support.h"

#define TIMEOUT_MS 300

struct fixture {
	struct loop *loop;
	char address[ID_SIZE], control_address[ID_SIZE];
	struct storeserver *server;
	struct store *store;
	int completions, err;
	int64_t revision_or_lease; /* of the last response */
	char *value;		   /* value of the last item; NULL if none */
	size_t len, count;
	char keys[256];
	struct store_watch *watch;
	int event_count, wanted_count, deletions, stop_in_callback;
};

static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));

	f->loop = loop_new();
	free_address(f->address, sizeof(f->address));
	free_address(f->control_address, sizeof(f->control_address));
	f->server = storeserver_new(f->loop, f->address, f->control_address);
	assert_non_null(f->server);
	f->store = store_new(f->loop, f->address, TIMEOUT_MS);
	assert_non_null(f->store);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	store_delete(f->store);
	store_watch_stop(f->watch);
	storeserver_delete(f->server);
	loop_delete(f->loop);
	free(f->value);
	free(f);
	return 0;
}

static int has_completed(void *arg)
{
	struct fixture *f = arg;

	return f->completions;
}

/*
 * Waits for a call to complete: exactly one callback, and none inside the
 * function that started the call.
 */
static int wait_completion(struct fixture *f)
{
	assert_int_equal(f->completions, 0);
	assert_true(loop_wait(f->loop, has_completed, f));
	assert_int_equal(f->completions, 1);
	f->completions = 0;
	return f->err;
}

static void save_item(struct fixture *f, const struct store_item *item)
{
	free(f->value);
	f->value = item && item->value ? xcalloc(1, item->len + 1) : NULL;
	f->len = item ? item->len : 0;
	f->revision_or_lease = item ? item->revision : 0;
	if (f->value)
		memcpy(f->value, item->value, item->len);
}

static void on_get(void *arg, int err, const struct store_item *item)
{
	struct fixture *f = arg;

	f->completions++;
	f->err = err;
	save_item(f, item);
}

static void on_list(void *arg, int err, const struct store_item *items,
		    size_t count)
{
	struct fixture *f = arg;
	size_t i;

	f->completions++;
	f->err = err;
	f->count = count;
	f->keys[0] = '\0';
	for (i = 0; i < count; i++) {
		strcat(f->keys, items[i].key);
		strcat(f->keys, " ");
	}
}

static void on_write_or_lease(void *arg, int err, int64_t revision_or_lease)
{
	struct fixture *f = arg;

	f->completions++;
	f->err = err;
	f->revision_or_lease = revision_or_lease;
}

static int get(struct fixture *f, const char *key)
{
	store_get(f->store, key, on_get, f);
	return wait_completion(f);
}

static int put(struct fixture *f, const char *key, int64_t revision,
	       const char *value, int64_t lease)
{
	store_put_if(f->store, key, revision, value, strlen(value), lease,
		     on_write_or_lease, f);
	return wait_completion(f);
}

static int delete_key(struct fixture *f, const char *key, int64_t revision)
{
	store_delete_if(f->store, key, revision, on_write_or_lease, f);
	return wait_completion(f);
}

static int grant(struct fixture *f)
{
	store_lease_grant(f->store, 60, on_write_or_lease, f);
	return wait_completion(f);
}

static int keepalive(struct fixture *f, int64_t lease)
{
	store_lease_keepalive(f->store, lease, on_write_or_lease, f);
	return wait_completion(f);
}

static int revoke_lease(struct fixture *f, int64_t lease)
{
	store_lease_revoke(f->store, lease, on_write_or_lease, f);
	return wait_completion(f);
}

/*
 * Guards against a lost update: a write or deletion based on an outdated
 * revision must fail with ERR_CONFLICT and change nothing.
 */
static void test_compare_and_swap(void **state)
{
	struct fixture *f = *state;
	int64_t first_revision;

	assert_int_equal(get(f, "k"), ERR_NOT_FOUND);
	assert_int_equal(put(f, "k", 5, "x", 0), ERR_CONFLICT);
	assert_int_equal(put(f, "k", 0, "one", 0), 0);
	first_revision = f->revision_or_lease;
	assert_int_equal(put(f, "k", 0, "two", 0), ERR_CONFLICT);
	assert_int_equal(get(f, "k"), 0);
	assert_string_equal(f->value, "one");
	assert_int_equal(f->revision_or_lease, first_revision);
	assert_int_equal(put(f, "k", first_revision, "", 0), 0);
	assert_int_equal(put(f, "k", first_revision, "late", 0), ERR_CONFLICT);
	assert_int_equal(get(f, "k"), 0);
	assert_int_equal(f->len, 0);
	assert_int_equal(delete_key(f, "k", first_revision), ERR_CONFLICT);
	assert_int_equal(delete_key(f, "k", f->revision_or_lease + 1),
			 ERR_CONFLICT);
	assert_int_equal(get(f, "k"), 0);
	assert_int_equal(delete_key(f, "k", f->revision_or_lease), 0);
	assert_int_equal(get(f, "k"), ERR_NOT_FOUND);
	assert_int_equal(store_call_count(f->store), 13);
}

/* Guards against a prefix that matches other keys, and a limit not kept. */
static void test_list(void **state)
{
	static const char *const keys[] = { "a/2", "b",	 "a/1",	      "a",
					    "a/",  "a0", "a/\xc3\xbf" };
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < sizeof(keys) / sizeof(keys[0]); i++)
		assert_int_equal(put(f, keys[i], 0, "v", 0), 0);
	store_list(f->store, "a/", 100, on_list, f);
	assert_int_equal(wait_completion(f), 0);
	assert_string_equal(f->keys, "a/ a/1 a/2 a/\xc3\xbf ");
	store_list(f->store, "a/", 2, on_list, f);
	assert_int_equal(wait_completion(f), 0);
	assert_string_equal(f->keys, "a/ a/1 ");
	store_list(f->store, "", 100, on_list, f);
	assert_int_equal(wait_completion(f), 0);
	assert_int_equal(f->count, 7);
	store_list(f->store, "none/", 100, on_list, f);
	assert_int_equal(wait_completion(f), 0);
	assert_int_equal(f->count, 0);
}

/* Guards against a range of partition 1 that includes keys of partition 10. */
static void test_range(void **state)
{
	static const char *const keys[] = {
		"part/10/log/1", "part/1/log/2", "part/1",
		"part/10",	 "part/1/log/1", "part/2",
	};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < sizeof(keys) / sizeof(keys[0]); i++)
		assert_int_equal(put(f, keys[i], 0, "v", 0), 0);
	store_range(f->store, "part/1", "part/10", 100, on_list, f);
	assert_int_equal(wait_completion(f), 0);
	assert_string_equal(f->keys, "part/1 part/1/log/1 part/1/log/2 ");
	store_range(f->store, "part/1", "part/10", 2, on_list, f);
	assert_int_equal(wait_completion(f), 0);
	assert_string_equal(f->keys, "part/1 part/1/log/1 ");
	store_range(f->store, "part/3", "part/30", 100, on_list, f);
	assert_int_equal(wait_completion(f), 0);
	assert_int_equal(f->count, 0);
}

/* Transactions on "head" and "log/1" to "log/3", all of which exist. */
static const struct {
	int head_matches, key_is_absent; /* comparisons that hold */
	int err;
	const char *keys; /* in the store after the transaction */
} transactions[] = {
	{ 0, 0, ERR_CONFLICT, "head log/1 log/2 log/3 " },
	{ 0, 1, ERR_CONFLICT, "head log/1 log/2 log/3 " },
	{ 1, 0, ERR_CONFLICT, "head log/1 log/2 log/3 " },
	{ 1, 1, 0, "head log/3 new " },
};

/*
 * Guards against a transaction that is applied in part, or although one of
 * its comparisons failed.
 */
static void test_transaction(void **state)
{
	struct fixture *f = *state;
	const struct store_change changes[] = {
		{ STORE_PUT, "head", NULL, "two", 3 },
		{ STORE_PUT, "new", NULL, "n", 1 },
		{ STORE_DELETE_RANGE, "log/", "log/3", NULL, 0 },
	};
	int64_t head_revision;
	size_t i;

	assert_int_equal(put(f, "head", 0, "one", 0), 0);
	head_revision = f->revision_or_lease;
	assert_int_equal(put(f, "log/1", 0, "", 0), 0);
	assert_int_equal(put(f, "log/2", 0, "", 0), 0);
	assert_int_equal(put(f, "log/3", 0, "", 0), 0);
	for (i = 0; i < sizeof(transactions) / sizeof(transactions[0]); i++) {
		const struct store_compare compares[] = {
			{ "head", transactions[i].head_matches
					  ? head_revision
					  : head_revision + 1 },
			{ transactions[i].key_is_absent ? "log/4" : "log/3",
			  0 },
		};

		store_txn(f->store, compares, 2, changes, 3, on_write_or_lease,
			  f);
		assert_int_equal(wait_completion(f), transactions[i].err);
		store_list(f->store, "", 100, on_list, f);
		assert_int_equal(wait_completion(f), 0);
		assert_string_equal(f->keys, transactions[i].keys);
		assert_int_equal(get(f, "head"), 0);
		assert_string_equal(f->value,
				    transactions[i].err ? "one" : "two");
	}
	assert_true(f->revision_or_lease > head_revision);
	head_revision = f->revision_or_lease;
	assert_int_equal(get(f, "new"), 0);
	assert_int_equal(f->revision_or_lease, head_revision);
}

/*
 * Guards against a rejected transaction that writes something: two changes to
 * one key, and a value over STORE_VALUE_MAX_BYTES.
 */
static void test_transaction_rejected(void **state)
{
	struct fixture *f = *state;
	const struct store_change overlapping[] = {
		{ STORE_PUT, "log/1", NULL, "a", 1 },
		{ STORE_DELETE_RANGE, "log/", "log0", NULL, 0 },
	};
	struct store_change large = { STORE_PUT, "k", NULL, NULL,
				      STORE_VALUE_MAX_BYTES + 1 };

	store_txn(f->store, NULL, 0, overlapping, 2, on_write_or_lease, f);
	assert_int_equal(wait_completion(f), ERR_INVALID);
	large.value = xcalloc(1, large.len);
	store_txn(f->store, NULL, 0, &large, 1, on_write_or_lease, f);
	assert_int_equal(wait_completion(f), ERR_TOO_LARGE);
	free((void *)large.value);
	store_list(f->store, "", 100, on_list, f);
	assert_int_equal(wait_completion(f), 0);
	assert_int_equal(f->count, 0);
}

/*
 * Guards against values that are truncated at the size limit or altered
 * because binary data is handled as text.
 */
static void test_largest_value(void **state)
{
	struct fixture *f = *state;
	unsigned char *value = malloc(STORE_VALUE_MAX_BYTES + 1);
	size_t i;

	store_delete(f->store);
	f->store = store_new(f->loop, f->address, WAIT_MS);
	for (i = 0; i <= STORE_VALUE_MAX_BYTES; i++)
		value[i] = (unsigned char)(i * 7 + i / 256);
	store_put_if(f->store, "k", 0, value, STORE_VALUE_MAX_BYTES + 1, 0,
		     on_write_or_lease, f);
	assert_int_equal(wait_completion(f), ERR_TOO_LARGE);
	store_put_if(f->store, "k", 0, value, STORE_VALUE_MAX_BYTES, 0,
		     on_write_or_lease, f);
	assert_int_equal(wait_completion(f), 0);
	assert_int_equal(get(f, "k"), 0);
	assert_int_equal(f->len, STORE_VALUE_MAX_BYTES);
	assert_memory_equal(f->value, value, STORE_VALUE_MAX_BYTES);
	free(value);
}

/* Guards against keys that outlive their lease, and use of an ended lease. */
static void test_leases(void **state)
{
	struct fixture *f = *state;
	int64_t lease;

	assert_int_equal(grant(f), 0);
	lease = f->revision_or_lease;
	assert_int_equal(put(f, "k", 0, "v", lease), 0);
	assert_int_equal(keepalive(f, lease), 0);
	storeserver_control(f->server, "{\"expire_leases\": true}");
	assert_int_equal(get(f, "k"), ERR_NOT_FOUND);
	assert_int_equal(keepalive(f, lease), ERR_NOT_FOUND);
	assert_int_equal(put(f, "k", 0, "v", lease), ERR_NOT_FOUND);
	assert_int_equal(revoke_lease(f, lease), ERR_NOT_FOUND);
	assert_int_equal(grant(f), 0);
	lease = f->revision_or_lease;
	assert_int_equal(put(f, "k", 0, "v", lease), 0);
	assert_int_equal(revoke_lease(f, lease), 0);
	assert_int_equal(get(f, "k"), ERR_NOT_FOUND);
}

/* Reads "k" repeatedly; wanted_count is 1 while a read is in progress. */
static int key_is_gone(void *arg)
{
	struct fixture *f = arg;

	if (!f->wanted_count) {
		f->wanted_count = 1;
		store_get(f->store, "k", on_get, f);
	} else if (f->completions) {
		f->completions = f->wanted_count = 0;
		return f->err == ERR_NOT_FOUND;
	}
	return 0;
}

/* Guards against a lease that does not expire when it is not kept alive. */
static void test_lease_expires(void **state)
{
	struct fixture *f = *state;

	store_lease_grant(f->store, 1, on_write_or_lease, f);
	assert_int_equal(wait_completion(f), 0);
	assert_int_equal(put(f, "k", 0, "v", f->revision_or_lease), 0);
	assert_true(loop_wait(f->loop, key_is_gone, f));
}

/*
 * Guards against a wrong outcome, above all ERR_UNAVAILABLE ("not sent") for a
 * write that was sent and may have taken effect.
 */
static void test_store_faults(void **state)
{
	static const struct {
		const char *name;
		const char *control;
		int read_err, write_err;
		int has_effect;
	} cases[] = {
		{ "no fault", "{}", 0, 0, 1 },
		{ "connection refused", "{\"mode\": \"refuse\"}",
		  ERR_UNAVAILABLE, ERR_UNAVAILABLE, 0 },
		{ "no response", "{\"mode\": \"hang\"}", ERR_UNKNOWN,
		  ERR_UNKNOWN, 0 },
		{ "response after the timeout", "{\"delay_ms\": 60000}",
		  ERR_UNKNOWN, ERR_UNKNOWN, 1 },
		{ "response lost", "{\"lose_answers\": 1}", 0, ERR_UNKNOWN, 1 },
		{ "response delayed", "{\"delay_ms\": 20}", 0, 0, 1 },
	};
	struct fixture *f = *state;
	size_t i;

	assert_int_equal(put(f, "k", 0, "v", 0), 0);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char key[8] = { (char)('a' + i) };
		int read_err, write_err;

		storeserver_control(f->server, cases[i].control);
		read_err = get(f, "k");
		write_err = put(f, key, 0, "v", 0);
		storeserver_control(f->server,
				    "{\"mode\": \"ok\", \"delay_ms\": 0}");
		assert_int_equal(get(f, key),
				 cases[i].has_effect ? 0 : ERR_NOT_FOUND);
		if (read_err != cases[i].read_err ||
		    write_err != cases[i].write_err)
			fail_msg("%s: read %s, write %s", cases[i].name,
				 error_name(read_err), error_name(write_err));
	}
}

/*
 * Guards against a wrong store address that is taken for an empty store: a
 * read must fail with ERR_UNAVAILABLE, not ERR_NOT_FOUND.
 */
static void test_wrong_address(void **state)
{
	struct fixture *f = *state;

	storeserver_delete(f->server);
	f->server = storeserver_new(f->loop, f->control_address, NULL);
	assert_int_equal(get(f, "k"), ERR_UNAVAILABLE);
	assert_null(store_new(f->loop, "not an address", TIMEOUT_MS));
}

static void on_watch(void *arg, int err, const struct store_item *item)
{
	struct fixture *f = arg;

	if (err) {
		f->completions++;
		f->err = err;
	} else {
		f->event_count++;
		f->deletions += !item->value;
		save_item(f, item);
	}
	if (f->stop_in_callback) {
		store_watch_stop(f->watch);
		f->watch = NULL;
	}
}

static int has_wanted_events(void *arg)
{
	struct fixture *f = arg;

	return f->event_count >= f->wanted_count;
}

static int server_has_watches(void *arg)
{
	struct fixture *f = arg;

	return storeserver_watch_count(f->server) == f->wanted_count;
}

static void start_watch(struct fixture *f)
{
	f->watch = store_watch_start(f->store, "k", on_watch, f);
	f->wanted_count = 1;
	assert_true(loop_wait(f->loop, server_has_watches, f));
}

static void expect_events(struct fixture *f, int count)
{
	f->wanted_count = count;
	assert_true(loop_wait(f->loop, has_wanted_events, f));
	assert_int_equal(f->event_count, count);
}

/* Guards against a watch that misses values or reports those of other keys. */
static void test_watch(void **state)
{
	struct fixture *f = *state;
	char *large = calloc(1, 300 * 1024 + 1);

	start_watch(f);
	memset(large, 'x', 300 * 1024);
	assert_int_equal(put(f, "k", 0, "one", 0), 0);
	expect_events(f, 1);
	assert_string_equal(f->value, "one");
	assert_int_equal(put(f, "kk", 0, "other", 0), 0);
	assert_int_equal(get(f, "k"), 0);
	assert_int_equal(put(f, "k", f->revision_or_lease, large, 0), 0);
	expect_events(f, 2);
	assert_int_equal(f->len, 300 * 1024);
	assert_int_equal(delete_key(f, "k", f->revision_or_lease), 0);
	expect_events(f, 3);
	assert_int_equal(f->deletions, 1);
	store_watch_stop(f->watch);
	f->watch = NULL;
	f->wanted_count = 0;
	assert_true(loop_wait(f->loop, server_has_watches, f));
	free(large);
}

/*
 * Guards against a reader that waits forever because the watch ended without
 * an error callback: its connection broke, or the store refuses connections.
 */
static void test_watch_ended_by_fault(void **state)
{
	static const struct {
		const char *control;
		int err;
		int starts_after_control; /* of the watch */
	} cases[] = {
		{ "{\"break_watches\": true}", ERR_UNKNOWN, 0 },
		{ "{\"mode\": \"refuse\"}", ERR_UNKNOWN, 0 },
		{ "{\"mode\": \"refuse\"}", ERR_UNAVAILABLE, 1 },
	};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		if (!cases[i].starts_after_control)
			start_watch(f);
		storeserver_control(f->server, cases[i].control);
		if (cases[i].starts_after_control)
			f->watch =
				store_watch_start(f->store, "k", on_watch, f);
		f->stop_in_callback = i == 1;
		assert_int_equal(wait_completion(f), cases[i].err);
		store_watch_stop(f->watch);
		f->watch = NULL;
		f->stop_in_callback = 0;
		storeserver_control(f->server, "{\"mode\": \"ok\"}");
	}
}

/* Guards against use after free when the callback stops its own watch. */
static void test_watch_stopped_by_event(void **state)
{
	struct fixture *f = *state;

	start_watch(f);
	f->stop_in_callback = 1;
	assert_int_equal(put(f, "k", 0, "one", 0), 0);
	expect_events(f, 1);
	f->wanted_count = 0;
	assert_true(loop_wait(f->loop, server_has_watches, f));
}

/*
 * Guards against callbacks with a freed argument, after store_cancel() and
 * after store_delete() with a call in progress.
 */
static void test_cancel(void **state)
{
	struct fixture *f = *state;
	int other_arg;

	store_put_if(f->store, "k", 0, "v", 1, 0, on_write_or_lease,
		     &other_arg);
	store_get(f->store, "k", on_get, f);
	store_cancel(f->store, &other_arg);
	wait_completion(f);
	store_get(f->store, "k", on_get, f); /* ended by store_delete() */
}

#define CASE(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_compare_and_swap),
		CASE(test_list),
		CASE(test_range),
		CASE(test_transaction),
		CASE(test_transaction_rejected),
		CASE(test_largest_value),
		CASE(test_leases),
		CASE(test_lease_expires),
		CASE(test_store_faults),
		CASE(test_wrong_address),
		CASE(test_watch),
		CASE(test_watch_ended_by_fault),
		CASE(test_watch_stopped_by_event),
		CASE(test_cancel),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
