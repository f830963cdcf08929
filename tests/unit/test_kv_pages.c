/* Lists and watches of the store that a response cannot carry at once. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "httpd.h"
#include "kv.h"
#include "mem.h"
#include "support.h"

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define KEYS 7

struct fixture {
	struct loop *loop;
	struct httpd *httpd;
	struct kv *kv;
	size_t page;	    /* items of a page */
	size_t watch_bytes; /* of a response to a watch */
	int has_keys;	    /* rows of a page have keys */
	int requests, calls, err, is_done;
	size_t items, most; /* in all, and at a time */
	int cancel_at;	    /* call */
};

/* Keys are single letters from "a" on. */
static void reply_page(struct fixture *f, struct httpd_request *request)
{
	const char *after = strstr(httpd_query(request), "after=");
	int first = after ? after[6] - 'a' + 1 : 0, i;
	char body[1024] = "{\"items\":[", row[64];

	for (i = first; i < KEYS && i - first < (int)f->page; i++) {
		snprintf(row, sizeof(row), "%s{\"%s\":\"%c\",\"revision\":%d}",
			 i > first ? "," : "", f->has_keys ? "key" : "odd",
			 'a' + i, i + 1);
		strcat(body, row);
	}
	snprintf(row, sizeof(row), "],\"truncated\":%s,\"storeRevision\":9}",
		 i < KEYS ? "true" : "false");
	strcat(body, row);
	httpd_reply(request, 200, body);
}

static void on_request(void *arg, struct httpd_request *request)
{
	struct fixture *f = arg;
	char *body;

	f->requests++;
	if (strstr(httpd_path(request), "range")) {
		reply_page(f, request);
		return;
	}
	body = xcalloc(f->watch_bytes + 64, 1);
	strcpy(body, "{\"events\":[],\"storeRevision\":9}");
	memset(body + strlen(body), ' ', f->watch_bytes);
	httpd_reply(request, 200, body);
	free(body);
}

static void on_result(void *arg, const struct kv_result *result)
{
	struct fixture *f = arg;

	f->calls++;
	f->err = result->err;
	f->items += result->count;
	if (result->count > f->most)
		f->most = result->count;
	f->is_done = !result->has_more;
	if (f->calls != f->cancel_at)
		return;
	kv_cancel(f->kv, f);
	f->is_done = 1;
}

static int is_done(void *arg)
{
	return ((struct fixture *)arg)->is_done;
}

static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	char address[64];

	free_address(address, sizeof(address));
	f->loop = loop_new();
	f->httpd = httpd_new(f->loop, address, 1024, on_request, f);
	f->kv = kv_new(f->loop, address, 1000);
	*state = f;
	return !f->httpd || !f->kv;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	kv_delete(f->kv);
	httpd_delete(f->httpd);
	loop_delete(f->loop);
	free(f);
	return 0;
}

/*
 * Guards against a list that is taken for the whole although its pages could
 * not be read, against one that never ends, and against all pages in memory at
 * the same time.
 */
static void test_pages(void **state)
{
	static const struct {
		size_t page;
		int is_paged, has_keys, cancel_at;
		int calls, err;
		size_t items, most;
	} cases[] = {
		{ 3, 0, 1, 0, 1, 0, 7, 7 },
		{ 3, 1, 1, 0, 3, 0, 7, 3 },
		{ 1, 1, 1, 0, 7, 0, 7, 1 },
		{ 7, 1, 1, 0, 1, 0, 7, 7 },
		{ 3, 1, 1, 2, 2, 0, 6, 3 }, /* cancelled in a callback */
		{ 3, 0, 0, 0, 1, ERR_MALFORMED, 0, 0 },
		{ 3, 1, 0, 0, 1, ERR_MALFORMED, 0, 0 },
	};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		f->page = cases[i].page;
		f->has_keys = cases[i].has_keys;
		f->cancel_at = cases[i].cancel_at;
		f->calls = f->err = f->is_done = 0;
		f->items = f->most = 0;
		if (cases[i].is_paged)
			kv_list_pages(f->kv, "", on_result, f);
		else
			kv_list(f->kv, "", on_result, f);
		assert_true(loop_wait(f->loop, is_done, f));
		assert_int_equal(f->calls, cases[i].calls);
		assert_int_equal(f->err, cases[i].err);
		assert_int_equal(f->items, cases[i].items);
		assert_int_equal(f->most, cases[i].most);
	}
}

/*
 * Guards against a watch that is repeated for ever because its response is too
 * large: whoever watches has to list anew.
 */
static void test_large_watch(void **state)
{
	static const struct {
		size_t bytes;
		int err;
	} cases[] = {
		{ 1000, 0 },
		{ 2 * KV_VALUE_MAX, 0 },
		{ 16 * KV_VALUE_MAX, ERR_TOO_LARGE },
	};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		f->watch_bytes = cases[i].bytes;
		f->is_done = 0;
		kv_watch(f->kv, "", 3, 100, on_result, f);
		assert_true(loop_wait(f->loop, is_done, f));
		assert_int_equal(f->err, cases[i].err);
		assert_false(kv_is_unresponsive(f->kv));
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_pages, setup, teardown),
		cmocka_unit_test_setup_teardown(test_large_watch, setup,
						teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
