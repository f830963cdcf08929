#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "log.h"
#include "mem.h"
#include "registration.h"
#include "scheduler_internal.h"
#include "sysclock.h"

/* Interval of hellos to a runner that sends no reports. */
#define HELLO_INTERVAL_MS 300
/* Four report intervals without a report. */
#define RUNNER_SILENT_MS 2000
/*
 * A connection without a report for so long is replaced: it may be silent for
 * good while a new one works.
 */
#define LINK_SILENT_MS 2500

/* Logged once until the runner is heard again: it may be gone for good. */
static void note_unreachable(struct runner_link *link, int err)
{
	if (link->is_unreachable)
		return;
	link->is_unreachable = 1;
	log_event(EV_RUNNER_UNREACHABLE, "runner=%s address=%s err=%s",
		  link->runner, link->address, error_name(err));
}

static void send_hello(struct runner_link *link, struct mstime now)
{
	struct message msg = { MSG_WORK_HELLO };
	int err;

	msg.u.work_hello.epoch = (uint64_t)link->scheduler->epoch;
	str_copy(msg.u.work_hello.scheduler, link->scheduler->id, ID_SIZE);
	link->hello_sent_at = now;
	err = msglink_client_send(link->client, &msg);
	if (err)
		note_unreachable(link, err);
}

static void on_message(void *arg, const char *peer, const struct message *msg)
{
	struct runner_link *link = arg;
	struct scheduler *scheduler = link->scheduler;
	struct mstime now = sysclock_now();

	if (msg->type != MSG_WORK_REPORT)
		return;
	if (dispatch_report(scheduler->dispatch, link->runner,
			    &msg->u.work_report, now))
		return;
	if (link->is_silent || !link->last_report_at.ms)
		log_event(EV_RUNNER_HEARD,
			  "runner=%s worker=%s state=%u list_age_ms=%u "
			  "lease_left_ms=%u",
			  link->runner, msg->u.work_report.worker,
			  msg->u.work_report.state,
			  msg->u.work_report.list_age_ms,
			  msg->u.work_report.lease_left_ms);
	link->is_silent = 0;
	link->is_unreachable = 0;
	link->last_report_at = now;
	scheduler_wake(scheduler);
}

static struct runner_link *find_link(struct scheduler *scheduler,
				     const char *runner)
{
	struct list *pos;

	list_for_each (pos, &scheduler->links) {
		struct runner_link *link =
			list_entry(pos, struct runner_link, node);

		if (!strcmp(link->runner, runner))
			return link;
	}
	return NULL;
}

static void link_connect(struct runner_link *link, const char *address)
{
	struct scheduler *scheduler = link->scheduler;
	/* The runner at the address may be another one. */
	char *id = xstrfmt("%s/%lld/%s", scheduler->id,
			   (long long)scheduler->epoch, link->runner);

	msglink_client_delete(link->client);
	str_copy(link->address, address, sizeof(link->address));
	link->is_unreachable = 0;
	link->restarted_at = sysclock_now();
	link->client = msglink_client_new(scheduler->daemon->loop, address, id,
					  on_message, link);
	free(id);
	if (link->client)
		send_hello(link, sysclock_now());
	else
		note_unreachable(link, ERR_INVALID);
}

static void update_link(struct scheduler *scheduler, const struct kv_item *item)
{
	const char *runner = jobstore_key_suffix(item->key, NODE_PREFIX);
	struct runner_link *link;
	char address[ID_SIZE];

	if (!runner)
		return;
	link = find_link(scheduler, runner);
	if (link)
		link->is_gone = !item->value;
	if (!item->value ||
	    registration_decode(item->value, item->len, address) ||
	    (link && !strcmp(link->address, address)))
		return;
	if (!link) {
		link = xcalloc(1, sizeof(*link));
		link->scheduler = scheduler;
		if (str_copy(link->runner, runner, sizeof(link->runner))) {
			free(link);
			return;
		}
		list_add_tail(&scheduler->links, &link->node);
		link->worker = dispatch_get_worker(scheduler->dispatch, runner,
						   sysclock_now());
		link->worker->link = link;
	}
	link_connect(link, address);
}

static void on_node_list(void *arg, const struct kv_item *items, size_t count)
{
	struct scheduler *scheduler = arg;
	struct list *pos;
	size_t i;

	list_for_each (pos, &scheduler->links)
		list_entry(pos, struct runner_link, node)->is_gone = 1;
	for (i = 0; i < count; i++)
		update_link(arg, &items[i]);
}

static void on_node_change(void *arg, const struct kv_item *item)
{
	update_link(arg, item);
}

void scheduler_links_start(struct scheduler *scheduler)
{
	static const struct kvwatcher_handlers handlers = {
		.on_list = on_node_list,
		.on_change = on_node_change,
	};

	scheduler->node_watcher =
		kvwatcher_new(scheduler->daemon->loop, scheduler->kv,
			      NODE_PREFIX, &handlers, scheduler);
}

static void link_delete(struct runner_link *link)
{
	msglink_client_delete(link->client);
	list_del(&link->node);
	free(link);
}

void scheduler_links_stop(struct scheduler *scheduler)
{
	struct list *pos, *tmp;

	kvwatcher_delete(scheduler->node_watcher);
	scheduler->node_watcher = NULL;
	list_for_each_safe (pos, tmp, &scheduler->links)
		link_delete(list_entry(pos, struct runner_link, node));
}

/* The clock is read here: the process may have been paused in the pass. */
static void send_orders(struct runner_link *link)
{
	struct scheduler *scheduler = link->scheduler;
	struct mstime now = sysclock_now();
	int may_extend = election_is_leader(scheduler->election, now);
	struct message msg = { MSG_WORK_ORDERS };
	int extent;

	do {
		int err;

		extent = dispatch_build_orders(scheduler->dispatch,
					       link->worker, may_extend,
					       &msg.u.work_orders, now);
		if (extent == ORDERS_NONE)
			return;
		err = msglink_client_send(link->client, &msg);
		if (err)
			note_unreachable(link, err);
	} while (extent == ORDERS_PARTIAL);
}

void scheduler_links_send(struct scheduler *scheduler)
{
	struct worker *worker;

	while ((worker = dispatch_next_with_orders(scheduler->dispatch))) {
		struct runner_link *link = worker->link;

		if (link && link->client)
			send_orders(link);
	}
}

void scheduler_links_check(struct scheduler *scheduler, struct mstime now)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &scheduler->links) {
		struct runner_link *link =
			list_entry(pos, struct runner_link, node);
		int64_t quiet_ms = mstime_diff(now, link->last_report_at);

		/* VMs are replaced all the time. */
		if (link->is_gone &&
		    dispatch_forget_worker(scheduler->dispatch, link->worker,
					   now)) {
			link_delete(link);
			continue;
		}
		if (!link->client)
			continue;
		if (quiet_ms > RUNNER_SILENT_MS && link->last_report_at.ms &&
		    !link->is_silent) {
			link->is_silent = 1;
			log_event(EV_RUNNER_SILENT, "runner=%s quiet_ms=%lld",
				  link->runner, (long long)quiet_ms);
		}
		if (quiet_ms > LINK_SILENT_MS &&
		    mstime_diff(now, link->restarted_at) > LINK_SILENT_MS) {
			link->restarted_at = now;
			msglink_client_restart(link->client);
		}
		if (quiet_ms > RUNNER_SILENT_MS / 2 &&
		    mstime_diff(now, link->hello_sent_at) >= HELLO_INTERVAL_MS)
			send_hello(link, now);
	}
}
