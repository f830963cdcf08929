#include "opapi.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "admin.h"
#include "errors.h"
#include "inbox.h"
#include "list.h"
#include "log.h"
#include "mem.h"
#include "opjobs.h"
#include "opstatus.h"
#include "plan.h"
#include "sysclock.h"

/* One POST /v1/plan or /v1/confirm in progress. */
struct opcall {
	struct list node;
	struct opapi *opapi;
	struct admin_request *request;
	struct plan plan; /* of a plan call only the intent is set at first */
	struct opjobs *jobs;
	struct inbox_call *inbox;
	int confirm;
};

struct opapi {
	struct daemon *daemon;
	struct configsync *sync;
	const struct membership *membership;
	struct list calls;
	struct metric plans;
	struct metric confirms;
	struct metric refused;
	struct metric unknown;
};

static const struct {
	int err;
	int status;
} statuses[] = {
	{ ERR_INVALID, 409 }, { ERR_NOT_FOUND, 404 }, { ERR_CONFLICT, 409 },
	{ ERR_EXISTS, 409 },  { ERR_FULL, 409 },      { ERR_UNAVAILABLE, 503 },
	{ ERR_UNKNOWN, 504 },
};

static int status_of(int err)
{
	size_t i;

	for (i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++)
		if (statuses[i].err == err)
			return statuses[i].status;
	return 500;
}

static struct opcall *opcall_new(struct opapi *opapi,
				 struct admin_request *request)
{
	struct opcall *call = xcalloc(1, sizeof(*call));

	call->opapi = opapi;
	call->request = request;
	list_add_tail(&opapi->calls, &call->node);
	return call;
}

static void opcall_free(struct opcall *call)
{
	list_del(&call->node);
	opjobs_delete(call->jobs);
	inbox_delete(call->inbox);
	free(call);
}

static const char *describe(const struct opcall *call, char *buf, size_t size)
{
	return intent_describe(&call->plan.intent, buf, size);
}

static void finish_refused(struct opcall *call, int err, const char *reason)
{
	char text[CONFIG_CHANGE_TEXT_SIZE];

	call->opapi->refused.value++;
	log_event(call->confirm ? EV_CONFIRM_REFUSED : EV_PLAN_REFUSED,
		  "intent=\"%s\" basis=%" PRIu64 " version=%" PRIu64
		  " error=%s reason=\"%s\"",
		  describe(call, text, sizeof(text)), call->plan.basis,
		  call->opapi->daemon->config.version, error_name(err), reason);
	admin_reply_error(call->request, status_of(err), err, "%s", reason);
	opcall_free(call);
}

static void finish_unknown(struct opcall *call)
{
	char text[CONFIG_CHANGE_TEXT_SIZE];

	call->opapi->unknown.value++;
	describe(call, text, sizeof(text));
	log_event(EV_CONFIRM_UNKNOWN, "intent=\"%s\" basis=%" PRIu64, text,
		  call->plan.basis);
	admin_reply_error(call->request, 504, ERR_UNKNOWN,
			  "it is not known whether '%s' took effect: the store "
			  "stayed silent after the write; run 'catkinhillctl "
			  "status', then 'catkinhillctl confirm' with the same "
			  "plan, which is never applied twice",
			  text);
	opcall_free(call);
}

static void finish_confirmed(struct opcall *call, const char *result,
			     const char *message)
{
	uint64_t version = call->opapi->daemon->config.version;
	char text[CONFIG_CHANGE_TEXT_SIZE];

	call->opapi->confirms.value++;
	describe(call, text, sizeof(text));
	log_event(EV_PLAN_CONFIRMED, "intent=\"%s\" result=%s version=%" PRIu64,
		  text, result, version);
	admin_reply(call->request, 200,
		    json_pack("{s:s, s:s, s:I, s:s}", "intent", text, "result",
			      result, "version", (json_int_t)version, "message",
			      message));
	opcall_free(call);
}

static struct plan_view view_of(const struct opcall *call)
{
	struct plan_view view = { .membership = call->opapi->membership,
				  .now = sysclock_now() };

	opjobs_fill_view(call->jobs, &view);
	return view;
}

static void make_plan(struct opcall *call)
{
	const struct config *config = &call->opapi->daemon->config;
	struct plan_view view = view_of(call);
	const struct intent intent = call->plan.intent;
	char reason[PLAN_REASON_SIZE];
	char buf[CONFIG_CHANGE_TEXT_SIZE];
	char *text;
	int err;

	err = plan_make(&call->plan, &intent, config, &view, reason,
			sizeof(reason));
	if (err) {
		finish_refused(call, err, reason);
		return;
	}
	call->opapi->plans.value++;
	log_event(EV_PLAN_MADE,
		  "intent=\"%s\" basis=%" PRIu64 " in_force=%d upstreams=%u "
		  "requests=%u streams=%u tasks=%u left=%u warnings=%#x",
		  describe(call, buf, sizeof(buf)), call->plan.basis,
		  call->plan.in_force, call->plan.effect.upstreams,
		  call->plan.effect.requests, call->plan.effect.streams,
		  call->plan.effect.tasks, call->plan.effect.upstreams_left,
		  call->plan.warnings);
	text = plan_render(&call->plan);
	admin_reply(call->request, 200, json_loads(text, 0, NULL));
	free(text);
	opcall_free(call);
}

/* A write that lost: names what won, as far as this entry has seen it. */
static void finish_lost(struct opcall *call)
{
	struct plan_view view = view_of(call);
	char reason[PLAN_REASON_SIZE] =
		"the store holds another configuration than this entry; "
		"compare 'catkinhillctl config' of several entries, then make "
		"a new plan";
	int checked = plan_check(&call->plan, &call->opapi->daemon->config,
				 &view, reason, sizeof(reason));

	if (checked == 1)
		finish_confirmed(call, "in-force",
				 "already in force by another change");
	else
		finish_refused(call, ERR_CONFLICT, reason);
}

static void on_config_written(void *arg, int err)
{
	struct opcall *call = arg;
	char text[CONFIG_CHANGE_TEXT_SIZE];
	char *message;

	if (err == ERR_CONFLICT) {
		finish_lost(call);
	} else if (err == ERR_UNKNOWN) {
		finish_unknown(call);
	} else if (err) {
		finish_refused(call, err,
			       "the store cannot be reached; nothing was "
			       "changed, confirm the same plan later");
	} else {
		message = xstrfmt("'%s' is in force as version %" PRIu64,
				  describe(call, text, sizeof(text)),
				  call->plan.basis + 1);
		finish_confirmed(call, "applied", message);
		free(message);
	}
}

static void on_inbox_written(void *arg, int err)
{
	struct opcall *call = arg;
	int submit = call->plan.intent.kind == INTENT_SUBMIT;

	if (!err)
		finish_confirmed(call, submit ? "submitted" : "cancelling",
				 submit ? "the job waits for its owner"
					: "the owner of the job will stop it");
	else if (err == ERR_EXISTS && !submit)
		finish_confirmed(call, "in-force",
				 "a cancellation of this job waits already");
	else if (err == ERR_EXISTS)
		finish_refused(call, err,
			       "a job of this id exists already; see "
			       "'catkinhillctl explain job' or choose another "
			       "id");
	else if (err == ERR_UNKNOWN)
		finish_unknown(call);
	else
		finish_refused(call, err,
			       "the store cannot be reached; nothing was "
			       "written, confirm the same plan later");
}

static void carry_out(struct opcall *call)
{
	struct daemon *daemon = call->opapi->daemon;
	struct config *next;

	if (!intent_changes_config(&call->plan.intent)) {
		call->inbox = inbox_start(daemon, &call->plan.intent,
					  on_inbox_written, call);
		return;
	}
	next = xmalloc(sizeof(*next));
	plan_apply(&call->plan, &daemon->config, next);
	configsync_write(call->opapi->sync, next, call->plan.basis,
			 on_config_written, call);
	free(next);
}

static void confirm_plan(struct opcall *call)
{
	struct plan_view view = view_of(call);
	char reason[PLAN_REASON_SIZE];
	int checked;

	if (!intent_changes_config(&call->plan.intent) && !view.jobs_known) {
		finish_refused(call, ERR_UNAVAILABLE,
			       "the store cannot be read; nothing was changed, "
			       "confirm the same plan later");
		return;
	}
	checked = plan_check(&call->plan, &call->opapi->daemon->config, &view,
			     reason, sizeof(reason));
	if (checked == 1)
		finish_confirmed(call, "in-force",
				 "already in force; nothing was changed");
	else if (checked)
		finish_refused(call, checked, reason);
	else
		carry_out(call);
}

static void on_jobs(void *arg, const struct opjobs *jobs)
{
	struct opcall *call = arg;

	if (call->confirm)
		confirm_plan(call);
	else
		make_plan(call);
}

static void load_jobs(struct opcall *call)
{
	call->jobs = opjobs_start(call->opapi->daemon, &call->plan.intent,
				  on_jobs, call);
}

static void on_refreshed(void *arg, int err)
{
	struct opcall *call = arg;

	if (err && call->confirm)
		finish_refused(
			call, ERR_UNAVAILABLE,
			"the store cannot be read, so it is not known "
			"whether the plan is stale; nothing was changed, "
			"confirm the same plan later");
	else
		load_jobs(call);
}

static void on_plan(void *arg, struct admin_request *request)
{
	struct opapi *opapi = arg;
	struct opcall *call = opcall_new(opapi, request);
	char message[PLAN_REASON_SIZE];
	size_t len;
	const char *body = admin_request_body(request, &len);
	int err = intent_parse(&call->plan.intent, body, len, message,
			       sizeof(message));

	if (err) {
		admin_reply_error(request, 400, err, "%s", message);
		opcall_free(call);
		return;
	}
	/* An entry that lags behind would make a plan that is stale at once. */
	configsync_refresh(opapi->sync, on_refreshed, call);
}

static void on_confirm(void *arg, struct admin_request *request)
{
	struct opapi *opapi = arg;
	struct opcall *call = opcall_new(opapi, request);
	char message[PLAN_REASON_SIZE];
	size_t len;
	const char *body = admin_request_body(request, &len);
	int err = plan_parse(&call->plan, body, len, message, sizeof(message));

	call->confirm = 1;
	if (err) {
		admin_reply_error(request, 400, err, "%s", message);
		opcall_free(call);
		return;
	}
	configsync_refresh(opapi->sync, on_refreshed, call);
}

static void on_status(void *arg, struct admin_request *request)
{
	struct opapi *opapi = arg;

	admin_reply(request, 200,
		    opstatus_render(opapi->daemon, opapi->membership));
}

static void on_config(void *arg, struct admin_request *request)
{
	struct opapi *opapi = arg;

	admin_reply(request, 200,
		    opstatus_render_config(&opapi->daemon->config));
}

static void init_counter(struct opapi *opapi, struct metric *counter,
			 const char *labels)
{
	*counter = (struct metric){
		.name = "catkinhill_plans_total",
		.labels = labels,
		.help = "Plans by what became of them.",
	};
	metric_register(&opapi->daemon->counters, counter);
}

struct opapi *opapi_new(struct daemon *daemon, struct configsync *sync,
			const struct membership *membership)
{
	struct opapi *opapi = xcalloc(1, sizeof(*opapi));

	opapi->daemon = daemon;
	opapi->sync = sync;
	opapi->membership = membership;
	list_init(&opapi->calls);
	init_counter(opapi, &opapi->plans, "result=\"made\"");
	init_counter(opapi, &opapi->confirms, "result=\"confirmed\"");
	init_counter(opapi, &opapi->refused, "result=\"refused\"");
	init_counter(opapi, &opapi->unknown, "result=\"unknown\"");
	admin_register(daemon->admin, "POST", "/v1/plan", on_plan, opapi);
	admin_register(daemon->admin, "POST", "/v1/confirm", on_confirm, opapi);
	admin_register(daemon->admin, "GET", "/v1/status", on_status, opapi);
	admin_register(daemon->admin, "GET", "/v1/config", on_config, opapi);
	return opapi;
}

/* Calls in progress get no answer; their connections are closed. */
void opapi_delete(struct opapi *opapi)
{
	struct list *pos, *tmp;

	if (!opapi)
		return;
	list_for_each_safe (pos, tmp, &opapi->calls)
		opcall_free(list_entry(pos, struct opcall, node));
	list_del(&opapi->plans.node);
	list_del(&opapi->confirms.node);
	list_del(&opapi->refused.node);
	list_del(&opapi->unknown.node);
	free(opapi);
}
