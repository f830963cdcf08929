/* Calls to a worker, with a stand-in that answers from a table. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <jansson.h>

#include "errors.h"
#include "httpd.h"
#include "support.h"
#include "workercall.h"

struct fixture {
	struct loop *loop;
	struct httpd *httpd;
	struct workercall *calls;
	const char *body; /* of each response */
	int is_done, err;
	int64_t clock_ms;
	uint64_t worker_start_ms, end_number;
	size_t run_count, end_count;
	int has_more_ends;
	struct run_status run; /* the first */
};

static void on_request(void *arg, struct httpd_request *request)
{
	struct fixture *f = arg;

	httpd_reply(request, 200, f->body);
}

static void on_response(void *arg, const struct worker_response *response)
{
	struct fixture *f = arg;

	f->is_done = 1;
	f->err = response->err;
	f->clock_ms = response->clock_ms;
	f->worker_start_ms = response->worker_start_ms;
	f->run_count = response->run_count;
	f->end_count = response->end_count;
	f->has_more_ends = response->has_more_ends;
	if (response->run_count)
		f->run = response->runs[0];
	if (response->end_count)
		f->end_number = response->ends[0].number;
}

static int is_done(void *arg)
{
	return ((struct fixture *)arg)->is_done;
}

static void poll_worker(struct fixture *f)
{
	static const struct worker_target target = { "w1", 1 };

	f->is_done = 0;
	workercall_identify(f->calls, &target, on_response, f);
	assert_true(loop_wait(f->loop, is_done, f));
}

static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	char address[64];

	free_address(address, sizeof(address));
	f->loop = loop_new();
	f->httpd = httpd_new(f->loop, address, 1024, on_request, f);
	f->calls = workercall_new(f->loop, address, 1000);
	*state = f;
	return !f->httpd || !f->calls;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	workercall_delete(f->calls);
	httpd_delete(f->httpd);
	loop_delete(f->loop);
	free(f);
	return 0;
}

#define TASK "\"0123456789abcdef.0.0.1\""

/*
 * Guards against an odd number in a list that stands for another one: the
 * number of an end that is negative would hide all later ends.
 */
static void test_odd_numbers(void **state)
{
	static const struct {
		const char *body;
		size_t run_count, end_count;
		uint32_t progress, latency_or_cpu;
	} cases[] = {
		{ "{\"active\":[[" TASK ",1,\"\",41,500]]}", 1, 0, 41, 500 },
		{ "{\"active\":[[" TASK ",1,\"\",41.5,0.25]]}", 1, 0, 41, 0 },
		{ "{\"active\":[[" TASK ",1,\"\",-1,-7]]}", 1, 0, 0, 0 },
		{ "{\"active\":[[" TASK ",1,\"\",1e300,5000000000]]}", 1, 0,
		  UINT32_MAX, UINT32_MAX },
		{ "{\"active\":[[" TASK ",1,\"\",\"41\",null]]}", 1, 0, 0, 0 },
		{ "{\"active\":[[" TASK ",1]]}", 1, 0, 0, 0 },
		{ "{\"active\":[[" TASK ",-1,\"\",41,500]]}", 0, 0, 0, 0 },
		{ "{\"active\":[[" TASK ",4294967297,\"\",41,500]]}", 0, 0, 0,
		  0 },
		{ "{\"active\":[[" TASK ",\"1\",\"\",41,500]]}", 0, 0, 0, 0 },
		{ "{\"active\":[7,[],{},[" TASK ",1,\"\",2,3]]}", 1, 0, 2, 3 },
		{ "{\"active\":{},\"ended\":7}", 0, 0, 0, 0 },
		{ "{\"ended\":[[1," TASK ",1,\"done\",\"\"]]}", 0, 1, 0, 0 },
		{ "{\"ended\":[[1," TASK ",1,\"done\"]]}", 0, 1, 0, 0 },
		{ "{\"ended\":[[0," TASK ",1,\"done\",\"\"]]}", 0, 0, 0, 0 },
		{ "{\"ended\":[[-1," TASK ",1,\"done\",\"\"]]}", 0, 0, 0, 0 },
		{ "{\"ended\":[[\"1\"," TASK ",1,\"done\",\"\"]]}", 0, 0, 0,
		  0 },
		{ "{\"ended\":[[1," TASK ",-1,\"done\",\"\"]]}", 0, 0, 0, 0 },
		{ "{\"ended\":[[1," TASK ",1,\"lost\",\"\"]]}", 0, 0, 0, 0 },
	};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&f->run, 0, sizeof(f->run));
		f->body = cases[i].body;
		poll_worker(f);
		assert_int_equal(f->err, 0);
		assert_int_equal(f->run_count, cases[i].run_count);
		assert_int_equal(f->end_count, cases[i].end_count);
		assert_int_equal(f->run.progress_percent, cases[i].progress);
		assert_int_equal(f->run.latency_or_cpu,
				 cases[i].latency_or_cpu);
	}
}

/* A list of ends as a worker with so many of them answers. */
static char *list_ends(size_t count)
{
	json_t *ends = json_array(), *root = json_pack("{s:o}", "ended", ends);
	char *text;
	size_t i;

	for (i = 1; i <= count; i++)
		json_array_append_new(ends,
				      json_pack("[I,s,i,s,s]", (json_int_t)i,
						"0123456789abcdef.0.0.1", 1,
						"done", ""));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

/*
 * Guards against tasks that run twice: of more than 500 ends an answer lists
 * 500, and the runs of the others counted as gone.
 */
static void test_list_of_ends_that_is_cut(void **state)
{
	static const struct {
		size_t count;
		int has_more_ends;
	} cases[] = { { 0, 0 }, { 1, 0 }, { 499, 0 }, { 500, 1 } };
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char *body = list_ends(cases[i].count);

		f->body = body;
		poll_worker(f);
		assert_int_equal(f->end_count, cases[i].count);
		assert_int_equal(f->has_more_ends, cases[i].has_more_ends);
		free(body);
	}
}

/* Guards against a lease that is reckoned from a clock that can't be true. */
static void test_odd_clocks(void **state)
{
	static const struct {
		const char *body;
		int64_t clock_ms;
		uint64_t start_ms;
	} cases[] = {
		{ "{\"clockMs\":482113,\"born\":7}", 482113, 7 },
		{ "{\"clockMs\":482113.5,\"born\":7.0}", 482113, 0 },
		{ "{\"clockMs\":1e300,\"born\":1e300}", -1, 0 },
		{ "{\"clockMs\":-5,\"born\":-7}", -1, 0 },
		{ "{\"clockMs\":\"482113\",\"born\":\"7\"}", -1, 0 },
		{ "{}", -1, 0 },
	};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		f->body = cases[i].body;
		poll_worker(f);
		assert_int_equal(f->clock_ms, cases[i].clock_ms);
		assert_int_equal(f->worker_start_ms, cases[i].start_ms);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_odd_numbers, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_list_of_ends_that_is_cut,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_odd_clocks, setup,
						teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
