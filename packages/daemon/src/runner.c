#include "runner.h"

#include <stdlib.h>
#include <string.h>

#include "clientlimits.h"
#include "dispatch.h"
#include "errors.h"
#include "log.h"
#include "mem.h"
#include "runner_internal.h"
#include "sysclock.h"

/* The store answers within 4 ms, or 64 ms from another region. */
#define STORE_TIMEOUT_MS 1000
/* The worker is on the same VM. */
#define WORKER_TIMEOUT_MS 700
#define ANNOUNCEMENT_MAX_BYTES (4 * 1024 * 1024)
#define TICK_INTERVAL_MS 50
/* Five reports without an answer. */
#define LINK_SILENT_MS 2500
/* Lets a resignation from the election reach the store. */
#define STOP_DELAY_MS 300

void local_run_delete(struct local_run *run)
{
	workercall_cancel(run->runner->calls, run);
	list_del(&run->node);
	run->runner->run_count--;
	free(run->payload);
	free(run->checkpoint);
	free(run->detail);
	free(run);
}

struct local_run *local_run_find(struct runner *runner,
				 const struct task_id *task, uint32_t run)
{
	struct list *pos;

	list_for_each (pos, &runner->runs) {
		struct local_run *local =
			list_entry(pos, struct local_run, node);

		if (local->run == run && local->task.index == task->index &&
		    local->task.step == task->step &&
		    local->task.occurrence == task->occurrence &&
		    !strcmp(local->task.job, task->job))
			return local;
	}
	return NULL;
}

struct local_run *local_run_new(struct runner *runner,
				const struct task_id *task, uint32_t run,
				enum run_phase phase)
{
	struct local_run *local = xcalloc(1, sizeof(*local));

	local->runner = runner;
	local->task = *task;
	local->run = run;
	local->phase = phase;
	local->pace_target = 100;
	local->pace_sent = 100;
	list_add_tail(&runner->runs, &local->node);
	runner->run_count++;
	return local;
}

void runner_clear_lists(struct runner *runner)
{
	struct list *pos, *tmp;
	size_t i;

	list_for_each_safe (pos, tmp, &runner->runs)
		local_run_delete(list_entry(pos, struct local_run, node));
	for (i = 0; i < runner->end_count; i++)
		free((char *)runner->ends[i].checkpoint);
	free(runner->ends);
	runner->ends = NULL;
	runner->end_count = 0;
	runner->ends_seen = 0;
	runner->listed_fence = 0;
}

static void on_request(void *arg, struct httpd_request *request)
{
	struct runner *runner = arg;
	char id[ID_SIZE];

	switch (platform_call_parse(httpd_method(request), httpd_path(request),
				    id, sizeof(id))) {
	case PLATFORM_CALL_ANNOUNCE:
		runner_handle_announcement(runner, id, request);
		return;
	case PLATFORM_CALL_DEREGISTER:
		runner_handle_deregistration(runner, id, request);
		httpd_reply(request, 200, "{}");
		return;
	case PLATFORM_CALL_PROBE:
	case PLATFORM_CALL_NONE:
		break;
	}
	httpd_reply(request, 404, "{}");
}

static void on_hello(struct runner *runner, const char *peer,
		     const struct msg_work_hello *hello)
{
	if (hello->epoch < runner->epoch)
		return;
	if (hello->epoch > runner->epoch)
		log_event(EV_SCHEDULER_FOLLOWED, "scheduler=%s epoch=%llu",
			  hello->scheduler, (unsigned long long)hello->epoch);
	runner->epoch = hello->epoch;
	str_copy(runner->scheduler_peer, peer, sizeof(runner->scheduler_peer));
	runner->heard_at = sysclock_now();
	runner_repeat_checkpoints(runner);
	runner_report_now(runner);
}

/*
 * The id of a scheduler's link is "scheduler/epoch/runner". Former releases do
 * not name the runner that the link is for.
 */
static int is_addressed(const struct runner *runner, const char *peer)
{
	const char *epoch = strchr(peer, '/');
	const char *name = epoch ? strchr(epoch + 1, '/') : NULL;

	return !name || !strcmp(name + 1, runner->daemon->settings->id);
}

static void on_message(void *arg, const char *peer, const struct message *msg)
{
	struct runner *runner = arg;

	if (!is_addressed(runner, peer))
		return;
	if (!strcmp(peer, runner->scheduler_peer))
		runner->heard_at = sysclock_now();
	if (msg->type == MSG_WORK_HELLO)
		on_hello(runner, peer, &msg->u.work_hello);
	else if (msg->type == MSG_WORK_ORDERS &&
		 msg->u.work_orders.epoch == runner->epoch)
		runner_apply_orders(runner, &msg->u.work_orders);
}

/*
 * The scheduler replaces a link on which it hears nothing. One that is silent
 * towards the runner alone brings it reports, which it answers.
 */
static void check_link(struct runner *runner)
{
	struct mstime now = sysclock_now();

	if (!runner->is_bound || !runner->scheduler_peer[0] ||
	    mstime_diff(now, runner->heard_at) <= LINK_SILENT_MS)
		return;
	runner->heard_at = now;
	log_event(EV_SCHEDULER_SILENT, "peer=%s quiet_ms=%d",
		  runner->scheduler_peer, LINK_SILENT_MS);
	msglink_server_disconnect(runner->links, runner->scheduler_peer);
}

static void on_tick(void *arg)
{
	struct runner *runner = arg;

	loop_timer_start(runner->tick_timer, TICK_INTERVAL_MS);
	check_link(runner);
	runner_send_due(runner);
}

static void on_hold_timer(void *arg)
{
	runner_hold(arg);
}

static void add_counters(struct runner *runner)
{
	static const struct {
		size_t offset;
		const char *name, *help;
	} rows[] = {
		{ offsetof(struct runner, starts),
		  "catkinhill_runner_starts_total",
		  "Starts that were ordered at the worker." },
		{ offsetof(struct runner, starts_refused),
		  "catkinhill_runner_starts_refused_total",
		  "Starts that the worker refused." },
		{ offsetof(struct runner, stops),
		  "catkinhill_runner_stops_total",
		  "Stops that were ordered at the worker." },
		{ offsetof(struct runner, holds),
		  "catkinhill_runner_lists_total",
		  "Readings of the worker's lists." },
		{ offsetof(struct runner, holds_failed),
		  "catkinhill_runner_list_failures_total",
		  "Readings that the worker did not answer." },
		{ offsetof(struct runner, reports),
		  "catkinhill_runner_reports_total",
		  "Reports to the scheduler." },
		{ offsetof(struct runner, paces),
		  "catkinhill_runner_paces_total",
		  "Changes of the pace of filling runs." },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct metric *counter =
			(void *)((char *)runner + rows[i].offset);

		counter->name = rows[i].name;
		counter->help = rows[i].help;
		metric_register(&runner->daemon->metrics, counter);
	}
	runner->start_ms.name = "catkinhill_runner_start_ms";
	runner->start_ms.help = "Time of a start at the worker.";
	histogram_register(&runner->daemon->metrics, &runner->start_ms);
}

static struct runner *listen_failed(struct runner *runner, const char *key,
				    const char *address)
{
	log_event(EV_LISTEN_FAILED, "key=%s address=%s", key, address);
	runner_delete(runner);
	return NULL;
}

struct runner *runner_new(struct daemon *daemon)
{
	const struct settings *settings = daemon->settings;
	struct runner *runner = xcalloc(1, sizeof(*runner));
	struct budget_limits limits;

	runner->daemon = daemon;
	runner->session = daemon->incarnation;
	runner->pace_percent = 100;
	list_init(&runner->runs);
	list_init(&runner->candidates);
	runner->report_timer =
		loop_timer_new(daemon->loop, runner_report_now, runner);
	runner->hold_timer =
		loop_timer_new(daemon->loop, on_hold_timer, runner);
	runner->tick_timer = loop_timer_new(daemon->loop, on_tick, runner);
	add_counters(runner);
	runner->calls = workercall_new(daemon->loop, settings->worker,
				       WORKER_TIMEOUT_MS);
	if (!runner->calls)
		return listen_failed(runner, "runner.worker", settings->worker);
	runner->kv =
		kv_new(daemon->loop, settings->store_address, STORE_TIMEOUT_MS);
	if (!runner->kv)
		return listen_failed(runner, "store.address",
				     settings->store_address);
	runner->links = msglink_server_new(daemon->loop, settings->peers,
					   on_message, runner);
	if (!runner->links)
		return listen_failed(runner, "listen.peers", settings->peers);
	runner->httpd = httpd_new(daemon->loop, settings->announcements,
				  ANNOUNCEMENT_MAX_BYTES, on_request, runner);
	if (!runner->httpd)
		return listen_failed(runner, "listen.announcements",
				     settings->announcements);
	limits = clientlimits(settings);
	httpd_set_limits(runner->httpd, daemon->loop, "announcements", &limits,
			 &daemon->metrics);
	/* The addresses are bound, so that an earlier process has ended. */
	runner->granted_until =
		mstime_add(sysclock_now(), dispatch_defaults.lease_ms);
	runner->registration = registration_new(daemon->loop, runner->kv,
						settings->id, settings->peers);
	runner->scheduler = scheduler_new(daemon, runner->kv);
	loop_timer_start(runner->tick_timer, TICK_INTERVAL_MS);
	runner_report_now(runner);
	return runner;
}

void runner_delete(struct runner *runner)
{
	if (!runner)
		return;
	scheduler_delete(runner->scheduler);
	registration_delete(runner->registration);
	httpd_delete(runner->httpd);
	msglink_server_delete(runner->links);
	runner_candidates_clear(runner);
	runner_clear_lists(runner);
	workercall_delete(runner->calls);
	kv_delete(runner->kv);
	loop_timer_delete(runner->report_timer);
	loop_timer_delete(runner->hold_timer);
	loop_timer_delete(runner->tick_timer);
	loop_timer_delete(runner->stop_timer);
	free(runner);
}

static void on_stop_timer(void *arg)
{
	struct runner *runner = arg;

	runner->on_stopped(runner->on_stopped_arg);
}

void runner_stop(struct runner *runner, stopped_fn fn, void *arg)
{
	runner->on_stopped = fn;
	runner->on_stopped_arg = arg;
	scheduler_resign(runner->scheduler);
	runner->stop_timer =
		loop_timer_new(runner->daemon->loop, on_stop_timer, runner);
	loop_timer_start(runner->stop_timer, STOP_DELAY_MS);
}
