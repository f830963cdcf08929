#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <libgen.h>
#include <signal.h>

#include <cmocka.h>

#include "errors.h"
#include "httpc.h"
#include "support.h"
#include "sysclock.h"
#include "taskapi.h"

struct fixture {
	struct loop *loop;
	struct taskapi *api;
	struct httpc_pool *control;
	pid_t worker;
	int done, err;
	char checkpoint[ID_SIZE];
	struct taskapi_task row;
	char row_checkpoint[ID_SIZE];
	size_t rows;
};

/* The stand-in is built beside this program. */
static pid_t start_worker(const char *service, const char *tasks)
{
	char path[512], ready[8] = "";
	ssize_t len = readlink("/proc/self/exe", path, sizeof(path) - 16);
	int out[2];
	pid_t pid;

	assert_true(len > 0);
	path[len] = '\0';
	strcat(dirname(path), "/fakeworker");
	assert_int_equal(pipe(out), 0);
	pid = fork();
	if (!pid) {
		dup2(out[1], STDOUT_FILENO);
		execl(path, "fakeworker", "--service", service, "--tasks",
		      tasks, (char *)NULL);
		_exit(127);
	}
	close(out[1]);
	assert_int_equal(read(out[0], ready, 6), 6);
	close(out[0]);
	return pid;
}

static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	char service[ID_SIZE], tasks[ID_SIZE];

	free_address(service, sizeof(service));
	free_address(tasks, sizeof(tasks));
	f->worker = start_worker(service, tasks);
	f->loop = loop_new();
	f->api = taskapi_new(f->loop, tasks, 300);
	f->control = httpc_pool_new(f->loop, service, 1);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	taskapi_delete(f->api);
	httpc_pool_delete(f->control);
	loop_delete(f->loop);
	kill(f->worker, SIGTERM);
	waitpid(f->worker, NULL, 0);
	free(f);
	return 0;
}

static int is_done(void *arg)
{
	return ((struct fixture *)arg)->done;
}

static int wait_done(struct fixture *f)
{
	assert_true(loop_wait(f->loop, is_done, f));
	f->done = 0;
	return f->err;
}

static void on_plain(void *arg, int err)
{
	struct fixture *f = arg;

	f->done = 1;
	f->err = err;
}

static void on_checkpoint(void *arg, int err, const char *checkpoint)
{
	struct fixture *f = arg;

	snprintf(f->checkpoint, sizeof(f->checkpoint), "%s", checkpoint);
	on_plain(arg, err);
}

static void on_list(void *arg, int err, const struct taskapi_task *tasks,
		    size_t count)
{
	struct fixture *f = arg;

	f->rows = count;
	if (count) {
		f->row = tasks[0];
		snprintf(f->row_checkpoint, sizeof(f->row_checkpoint), "%s",
			 tasks[0].status.checkpoint);
	}
	on_plain(arg, err);
}

static void on_control(void *arg, int err, int status)
{
	on_plain(arg, err);
}

static void control(struct fixture *f, const char *json)
{
	static const struct httpc_handlers handlers = { .on_end = on_control };
	struct httpc_request request = { .method = "POST",
					 .path = "/control",
					 .body = json,
					 .body_len = strlen(json) };

	assert_non_null(httpc_start(f->control, &request, &handlers, f));
	assert_int_equal(wait_done(f), 0);
}

/* A lease under a grant that ends left_ms from now. */
static struct taskapi_lease lease_of(int64_t lease_ms, int64_t left_ms)
{
	struct taskapi_lease lease = { lease_ms,
				       mstime_add(sysclock_now(), left_ms) };

	return lease;
}

static int start_under(struct fixture *f, const char *job, uint64_t run,
		       const char *command, struct taskapi_lease lease)
{
	struct taskapi_start s = {
		job, run, lease, { 100, 200, 0 }, "", command
	};

	taskapi_start(f->api, &s, on_plain, f);
	return wait_done(f);
}

static int start(struct fixture *f, const char *job, uint64_t run,
		 const char *command)
{
	return start_under(f, job, run, command, lease_of(10000, 20000));
}

static int renew_under(struct fixture *f, const char *job, uint64_t run,
		       struct taskapi_lease lease)
{
	taskapi_renew(f->api, job, run, &lease, on_plain, f);
	return wait_done(f);
}

static int renew(struct fixture *f, const char *job, uint64_t run)
{
	return renew_under(f, job, run, lease_of(10000, 20000));
}

static int stop(struct fixture *f, const char *job, uint64_t run)
{
	taskapi_stop(f->api, job, run, 1, on_checkpoint, f);
	return wait_done(f);
}

static int list(struct fixture *f)
{
	taskapi_list(f->api, on_list, f);
	return wait_done(f);
}

/* Guards against an answer taken for another one, and repeats that act. */
static void test_calls(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(list(f), 0);
	assert_int_equal(f->rows, 0);
	assert_int_equal(start(f, "j", 2, "steps=100000 step_ms=5"), 0);
	assert_int_equal(start(f, "j", 2, "steps=100000 step_ms=5"), 0);
	assert_int_equal(start(f, "j", 1, "steps=1"), ERR_FENCED);
	assert_int_equal(renew(f, "j", 2), 0);
	assert_int_equal(renew(f, "j", 1), ERR_FENCED);
	assert_int_equal(renew(f, "other", 1), ERR_NOT_FOUND);
	taskapi_throttle(f->api, "j", 2, 50, on_plain, f);
	assert_int_equal(wait_done(f), 0);
	taskapi_checkpoint(f->api, "j", 2, on_checkpoint, f);
	assert_int_equal(wait_done(f), 0);
	assert_string_not_equal(f->checkpoint, "");
	assert_int_equal(list(f), 0);
	assert_int_equal(f->rows, 1);
	assert_string_equal(f->row.status.job, "j");
	assert_int_equal(f->row.status.state, TASK_RUNNING);
	assert_int_equal(f->row.declared.mem_mb, 200);
	assert_int_equal(f->row.status.used.mem_mb, 200);
	assert_int_equal(stop(f, "j", 2), 0);
	assert_int_equal(renew(f, "j", 2), ERR_CONFLICT);
	assert_int_equal(list(f), 0);
	assert_int_equal(f->row.status.state, TASK_STOPPED);
	assert_string_equal(f->row_checkpoint, f->checkpoint);
}

/* Guards against a start that arrives after the stop of the same run. */
static void test_stop_before_start(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(stop(f, "j", 3), ERR_NOT_FOUND);
	assert_int_equal(start(f, "j", 3, "steps=1"), ERR_FENCED);
	assert_int_equal(start(f, "j", 4, "steps=1"), 0);
}

/*
 * Guards against a start or renewal that takes effect after the end of its
 * grant, when the owner may have moved the run.
 */
static void test_after_grant(void **state)
{
	struct fixture *f = *state;
	const char *command = "steps=100000 step_ms=5";

	assert_int_equal(start_under(f, "j", 1, command, lease_of(10000, 0)),
			 ERR_TIMEOUT);
	assert_int_equal(list(f), 0);
	assert_int_equal(f->rows, 0);
	assert_int_equal(start(f, "j", 1, command), 0);
	/* Were it taken, the lease of 0 ms would end the run. */
	assert_int_equal(renew_under(f, "j", 1, lease_of(0, 0)), ERR_TIMEOUT);
	assert_int_equal(renew(f, "j", 1), 0);
}

/* Guards against a lost answer that is taken for success or for a refusal. */
static void test_faults(void **state)
{
	struct fixture *f = *state;
	char address[ID_SIZE], first[ID_SIZE];
	struct taskapi *api;

	control(f, "{\"lose_tasks\": 1}");
	assert_int_equal(start(f, "j", 1, "steps=100000"), ERR_UNKNOWN);
	assert_int_equal(start(f, "j", 1, "steps=100000"), 0);
	control(f, "{\"lose_tasks\": 1}");
	assert_int_equal(stop(f, "j", 1), ERR_UNKNOWN);
	assert_int_equal(stop(f, "j", 1), 0);
	strcpy(first, f->checkpoint);
	assert_int_equal(stop(f, "j", 1), 0);
	assert_string_equal(f->checkpoint, first);
	control(f, "{\"slow_tasks_ms\": 2000}");
	assert_int_equal(list(f), ERR_UNKNOWN);
	assert_int_equal(start(f, "k", 1, "\xff not UTF-8"), ERR_INVALID);
	free_address(address, sizeof(address));
	api = taskapi_new(f->loop, address, 300);
	taskapi_list(api, on_list, f);
	assert_int_equal(wait_done(f), ERR_UNAVAILABLE);
	/* A call in progress must end without a callback. */
	taskapi_list(api, on_list, f);
	taskapi_delete(api);
	assert_false(loop_wait_ms(f->loop, is_done, f, 50));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_calls, setup, teardown),
		cmocka_unit_test_setup_teardown(test_stop_before_start, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_after_grant, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_faults, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
