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
	struct httpc_pool *control_pool;
	pid_t worker;
	int done, err;
	char checkpoint[ID_SIZE];
	struct taskapi_task first_task;
	char first_task_checkpoint[ID_SIZE];
	size_t task_count;
};

/*
 * Starts fakeworker, which is built in the directory of this program, and waits
 * until it reports that it is ready.
 */
static pid_t start_worker(const char *service, const char *tasks)
{
	char path[512], ready[8] = "";
	ssize_t len = readlink("/proc/self/exe", path, sizeof(path) - 16);
	int ready_pipe[2];
	pid_t pid;

	assert_true(len > 0);
	path[len] = '\0';
	strcat(dirname(path), "/fakeworker");
	assert_int_equal(pipe(ready_pipe), 0);
	pid = fork();
	if (!pid) {
		dup2(ready_pipe[1], STDOUT_FILENO);
		execl(path, "fakeworker", "--service", service, "--tasks",
		      tasks, (char *)NULL);
		_exit(127);
	}
	close(ready_pipe[1]);
	assert_int_equal(read(ready_pipe[0], ready, 6), 6);
	close(ready_pipe[0]);
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
	f->control_pool = httpc_pool_new(f->loop, service, 1);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	taskapi_delete(f->api);
	httpc_pool_delete(f->control_pool);
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

static void on_done(void *arg, int err)
{
	struct fixture *f = arg;

	f->done = 1;
	f->err = err;
}

static void on_checkpoint(void *arg, int err, const char *checkpoint)
{
	struct fixture *f = arg;

	snprintf(f->checkpoint, sizeof(f->checkpoint), "%s", checkpoint);
	on_done(arg, err);
}

static void on_list(void *arg, int err, const struct taskapi_task *tasks,
		    size_t count)
{
	struct fixture *f = arg;

	f->task_count = count;
	if (count) {
		f->first_task = tasks[0];
		snprintf(f->first_task_checkpoint,
			 sizeof(f->first_task_checkpoint), "%s",
			 tasks[0].status.checkpoint);
	}
	on_done(arg, err);
}

static void on_control(void *arg, int err, int status)
{
	on_done(arg, err);
}

static void send_control(struct fixture *f, const char *json)
{
	static const struct httpc_handlers handlers = { .on_end = on_control };
	struct httpc_request request = { .method = "POST",
					 .path = "/control",
					 .body = json,
					 .body_len = strlen(json) };

	assert_non_null(httpc_start(f->control_pool, &request, &handlers, f));
	assert_int_equal(wait_done(f), 0);
}

/* A lease under a grant that ends remaining_ms from now. */
static struct taskapi_lease make_lease(int64_t lease_ms, int64_t remaining_ms)
{
	struct taskapi_lease lease = { lease_ms, mstime_add(sysclock_now(),
							    remaining_ms) };

	return lease;
}

static int start_with_lease(struct fixture *f, const char *job, uint64_t run,
			    const char *command, struct taskapi_lease lease)
{
	struct taskapi_start s = {
		job, run, lease, { 100, 200, 0 }, "", command
	};

	taskapi_start(f->api, &s, on_done, f);
	return wait_done(f);
}

static int start(struct fixture *f, const char *job, uint64_t run,
		 const char *command)
{
	return start_with_lease(f, job, run, command, make_lease(10000, 20000));
}

static int renew_with_lease(struct fixture *f, const char *job, uint64_t run,
			    struct taskapi_lease lease)
{
	taskapi_renew(f->api, job, run, &lease, on_done, f);
	return wait_done(f);
}

static int renew(struct fixture *f, const char *job, uint64_t run)
{
	return renew_with_lease(f, job, run, make_lease(10000, 20000));
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

/*
 * Guards against responses that are mapped to the wrong outcome, and repeated
 * calls that take effect a second time.
 */
static void test_task_calls(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(list(f), 0);
	assert_int_equal(f->task_count, 0);
	assert_int_equal(start(f, "j", 2, "steps=100000 step_ms=5"), 0);
	assert_int_equal(start(f, "j", 2, "steps=100000 step_ms=5"), 0);
	assert_int_equal(start(f, "j", 1, "steps=1"), ERR_FENCED);
	assert_int_equal(renew(f, "j", 2), 0);
	assert_int_equal(renew(f, "j", 1), ERR_FENCED);
	assert_int_equal(renew(f, "other", 1), ERR_NOT_FOUND);
	taskapi_throttle(f->api, "j", 2, 50, on_done, f);
	assert_int_equal(wait_done(f), 0);
	taskapi_checkpoint(f->api, "j", 2, on_checkpoint, f);
	assert_int_equal(wait_done(f), 0);
	assert_string_not_equal(f->checkpoint, "");
	assert_int_equal(list(f), 0);
	assert_int_equal(f->task_count, 1);
	assert_string_equal(f->first_task.status.job, "j");
	assert_int_equal(f->first_task.status.state, TASK_RUNNING);
	assert_int_equal(f->first_task.declared.mem_mb, 200);
	assert_int_equal(f->first_task.status.used.mem_mb, 200);
	assert_int_equal(stop(f, "j", 2), 0);
	assert_int_equal(renew(f, "j", 2), ERR_CONFLICT);
	assert_int_equal(list(f), 0);
	assert_int_equal(f->first_task.status.state, TASK_STOPPED);
	assert_string_equal(f->first_task_checkpoint, f->checkpoint);
}

/* Guards against a late start that takes effect after its run was stopped. */
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
static void test_expired_grant(void **state)
{
	struct fixture *f = *state;
	const char *command = "steps=100000 step_ms=5";

	assert_int_equal(
		start_with_lease(f, "j", 1, command, make_lease(10000, 0)),
		ERR_TIMEOUT);
	assert_int_equal(list(f), 0);
	assert_int_equal(f->task_count, 0);
	assert_int_equal(start(f, "j", 1, command), 0);
	/* If it were accepted, the lease of 0 ms would end the run. */
	assert_int_equal(renew_with_lease(f, "j", 1, make_lease(0, 0)),
			 ERR_TIMEOUT);
	assert_int_equal(renew(f, "j", 1), 0);
}

/*
 * Guards against a lost response that is taken for success or for a refusal:
 * the outcome is ERR_UNKNOWN and the call can be repeated.
 */
static void test_worker_faults(void **state)
{
	struct fixture *f = *state;
	char address[ID_SIZE], first_checkpoint[ID_SIZE];
	struct taskapi *api;

	send_control(f, "{\"lose_tasks\": 1}");
	assert_int_equal(start(f, "j", 1, "steps=100000"), ERR_UNKNOWN);
	assert_int_equal(start(f, "j", 1, "steps=100000"), 0);
	send_control(f, "{\"lose_tasks\": 1}");
	assert_int_equal(stop(f, "j", 1), ERR_UNKNOWN);
	assert_int_equal(stop(f, "j", 1), 0);
	strcpy(first_checkpoint, f->checkpoint);
	assert_int_equal(stop(f, "j", 1), 0);
	assert_string_equal(f->checkpoint, first_checkpoint);
	send_control(f, "{\"slow_tasks_ms\": 2000}");
	assert_int_equal(list(f), ERR_UNKNOWN);
	assert_int_equal(start(f, "k", 1, "\xff not UTF-8"), ERR_INVALID);
	free_address(address, sizeof(address));
	api = taskapi_new(f->loop, address, 300);
	taskapi_list(api, on_list, f);
	assert_int_equal(wait_done(f), ERR_UNAVAILABLE);
	/* taskapi_delete() drops a call in progress without a callback. */
	taskapi_list(api, on_list, f);
	taskapi_delete(api);
	assert_false(loop_wait_ms(f->loop, is_done, f, 50));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_task_calls, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_stop_before_start, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_expired_grant, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_worker_faults, setup,
						teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
