/*
 * The scheduler's orders to runners, with stubs for the election and for the
 * connections.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "errors.h"
#include "mem.h"
#include "registration.h"
#include "scheduler_internal.h"
#include "sysclock.h"

#define EPOCH 7

static struct mstime valid_until; /* of the scheduler's own lease */
static int sent;
static size_t sent_starts;
static uint32_t sent_lease_ms;

int election_is_leader(const struct election *election, struct mstime now)
{
	return mstime_before(now, valid_until);
}

int msglink_client_send(struct msglink_client *client,
			const struct message *msg)
{
	sent++;
	sent_starts = msg->u.work_orders.starts.count;
	sent_lease_ms = msg->u.work_orders.lease_ms;
	return 0;
}

struct msglink_client *msglink_client_new(struct loop *loop,
					  const char *address, const char *id,
					  msglink_fn fn, void *arg)
{
	return NULL;
}

void msglink_client_delete(struct msglink_client *client)
{
}

void msglink_client_restart(struct msglink_client *client)
{
}

struct kvwatcher *kvwatcher_new(struct loop *loop, struct kv *kv,
				const char *prefix,
				const struct kvwatcher_handlers *handlers,
				void *arg)
{
	return NULL;
}

void kvwatcher_delete(struct kvwatcher *watcher)
{
}

const char *jobstore_key_suffix(const char *key, const char *prefix)
{
	return NULL;
}

int registration_decode(const char *value, size_t len, char *address)
{
	return ERR_MALFORMED;
}

void scheduler_wake(struct scheduler *scheduler)
{
}

static void report(struct dispatch *dispatch, struct worker *worker)
{
	struct msg_work_report msg = { .epoch = EPOCH,
				       .seq = worker->report_seq + 1,
				       .session = 1,
				       .worker = "w",
				       .worker_start_ms = 5,
				       .state = WORKER_READY,
				       .service = "s",
				       .fence = worker->fence,
				       .capacity = { .cpu_milli = 1000 } };

	assert_int_equal(dispatch_report(dispatch, "r", &msg, sysclock_now()),
			 0);
}

/* One worker, with a task that is stored and can be started. */
static struct dispatch *start(struct worker **worker)
{
	struct dispatch *dispatch = dispatch_new(&dispatch_defaults, EPOCH,
						 sysclock_now(), NULL, NULL);
	struct queue_config queue = { .name = "q", .service = "s" };
	struct workflow_spec spec = { .id = "job", .step_count = 1 };
	struct workflow *workflow;
	const char *reason;

	*worker = dispatch_get_worker(dispatch, "r", sysclock_now());
	report(dispatch, *worker);
	report(dispatch, *worker);
	spec.payload = xstrdup("p");
	spec.steps = xcalloc(1, sizeof(*spec.steps));
	spec.steps[0].task_count = 1;
	spec.steps[0].need.cpu_milli = 10;
	assert_int_equal(workflow_spec_check(&spec, &reason), 0);
	workflow = workflow_new(&spec, &queue, 0);
	assert_int_equal(dispatch_add(dispatch, workflow, sysclock_now()), 0);
	assert_int_equal(dispatch_assign(dispatch, sysclock_now()), 1);
	dispatch_mark_saved(dispatch, workflow, workflow->version);
	return dispatch;
}

/*
 * Guards against orders that a scheduler sends after its own lease has run out,
 * because it was paused between the look at the clock and the sending.
 */
static void test_paused(void **state)
{
	static const struct {
		int64_t left_ms; /* of the lease, when the wake begins */
		int pause_ms;
		size_t starts;
		int extends;
	} cases[] = {
		{ 5000, 0, 1, 1 },
		{ 5000, 40, 1, 1 },
		{ 20, 40, 0, 0 },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct scheduler scheduler = { .epoch = EPOCH };
		struct runner_link link = { .scheduler = &scheduler };
		struct worker *worker;

		scheduler.dispatch = start(&worker);
		list_init(&scheduler.links);
		link.client = (struct msglink_client *)&link;
		link.worker = worker;
		worker->link = &link;
		valid_until = mstime_add(sysclock_now(), cases[i].left_ms);
		sent = 0;
		usleep((useconds_t)cases[i].pause_ms * 1000);
		scheduler_links_send(&scheduler);
		assert_int_equal(sent, 1);
		assert_int_equal(sent_starts, cases[i].starts);
		assert_int_equal(sent_lease_ms != 0, cases[i].extends);
		dispatch_delete(scheduler.dispatch);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_paused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
