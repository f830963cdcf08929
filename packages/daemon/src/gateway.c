#include "gateway.h"

#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "gateway_internal.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

/*
 * The store answers within 100 ms, and within 500 ms when it is slow. A caller
 * that is told early can try another gateway within its deadline.
 */
#define STORE_TIMEOUT_MS 500
/* Largest body when the configuration names none. */
#define REQUEST_BODY_MAX_BYTES (1024 * 1024)
/* Of a caller that names no deadline. */
#define DEADLINE_DEFAULT_MS 3000
/*
 * The store gets so much of a caller's time, and never more than this, so that
 * the caller can still try another gateway. Two attempts fit into the longer
 * time.
 */
#define PATIENCE_PERCENT 40
#define PATIENCE_MAX_MS 1100
#define RETRY_PAUSE_MS 60
/* Without it for so long, others serve better. */
#define STORE_GONE_MS 1000
/* The platform stops sending connections after two missed probes. */
#define LAME_DUCK_MS 2500
#define STOP_POLL_MS 50
/* The store comes back within some seconds, if it is that. */
#define RETRY_AFTER_S "1"

static void job_call_free(struct job_request *call)
{
	list_del(&call->node);
	kv_forget(call->gateway->kv, call);
	loop_timer_delete(call->retry_timer);
	loop_timer_delete(call->deadline_timer);
	free(call->record);
	free(call);
}

void job_request_reply(struct job_request *call, int status, const char *body,
		       const char *detail)
{
	const struct platform_config *config =
		queues_config(call->gateway->queues);
	int64_t took_ms = mstime_diff(sysclock_now(), call->started_at);

	log_event(EV_WORKFLOW_ANSWERED,
		  "job=%s method=%s queue=%s status=%d took_ms=%lld "
		  "attempts=%d config=%lld detail=%s",
		  call->job, httpd_method(call->http), call->queue.name, status,
		  (long long)took_ms, call->attempts,
		  (long long)(config ? config->version : 0), detail);
	httpd_reply(call->http, status, body);
	job_call_free(call);
}

void job_request_refuse(struct job_request *call, int status,
			const char *detail)
{
	call->gateway->refused.value++;
	httpd_add_header(call->http, "Retry-After", RETRY_AFTER_S);
	job_request_reply(call, status, "{}", detail);
}

void job_request_retry(struct job_request *call, int err, loop_fn retry)
{
	call->last_err = err;
	loop_timer_delete(call->retry_timer);
	call->retry_timer =
		loop_timer_new(call->gateway->daemon->loop, retry, call);
	loop_timer_start(call->retry_timer, RETRY_PAUSE_MS);
}

static int64_t patience_ms(const struct httpd_request *request)
{
	const char *text = httpd_header(request, PLATFORM_DEADLINE_HEADER);
	int64_t ms = text ? strtoll(text, NULL, 10) : 0;

	if (ms <= 0)
		ms = DEADLINE_DEFAULT_MS;
	ms = ms * PATIENCE_PERCENT / 100;
	return ms < PATIENCE_MAX_MS ? ms : PATIENCE_MAX_MS;
}

static void on_give_up(void *arg)
{
	struct job_request *call = arg;

	if (!call->may_be_stored && !call->write_in_flight) {
		job_request_refuse(call, 503,
				   error_name(call->last_err ? call->last_err
							     : ERR_TIMEOUT));
		return;
	}
	call->gateway->unknown_outcomes.value++;
	job_request_reply(call, 504, "{}", "store-silent");
}

static void dispatch_request(struct job_request *call)
{
	struct httpd_request *request = call->http;
	const char *method = httpd_method(request);
	size_t len;
	const char *body = httpd_body(request, &len);

	if (!strcmp(method, "GET") && !call->job[0])
		gateway_get_pending(call);
	else if (!strcmp(method, "GET"))
		gateway_get_state(call);
	else if (!strcmp(method, "DELETE"))
		gateway_cancel(call);
	else if (!strcmp(method, "POST"))
		gateway_submit(call, body, len);
	else
		job_request_reply(call, 405, "{}", "method");
}

static void on_caller(void *arg, struct httpd_request *request)
{
	struct gateway *gateway = arg;
	struct job_request *call = xcalloc(1, sizeof(*call));
	const struct platform_config *config = queues_config(gateway->queues);
	const struct platform_queue *queue;

	call->gateway = gateway;
	call->http = request;
	call->started_at = sysclock_now();
	list_add_tail(&gateway->job_requests, &call->node);
	if (!config) {
		job_request_refuse(call, 503, "no-configuration");
		return;
	}
	queue = platform_queue_find(config, httpd_header(request, "Host"),
				    httpd_path(request));
	if (!queue) {
		job_request_reply(call, 404, "{}", "no-queue");
		return;
	}
	call->queue = queue->queue;
	if (str_copy(call->job, httpd_path(request) + strlen(queue->prefix),
		     sizeof(call->job))) {
		call->job[0] = '\0';
		job_request_reply(call, 400, "{}", "identifier");
		return;
	}
	call->deadline_timer =
		loop_timer_new(gateway->daemon->loop, on_give_up, call);
	loop_timer_start(call->deadline_timer, patience_ms(request));
	dispatch_request(call);
}

static int is_ready(const struct gateway *gateway)
{
	return queues_config(gateway->queues) && !gateway->is_stopping &&
	       queues_stale_ms(gateway->queues) < STORE_GONE_MS;
}

static void on_probe(void *arg, struct httpd_request *request)
{
	struct gateway *gateway = arg;

	httpd_reply(request, is_ready(gateway) ? 200 : 503, "{}");
}

static void add_counters(struct gateway *gateway)
{
	struct counter_set *set = &gateway->daemon->counters;

	gateway->accepted = (struct counter){
		.name = "catkinhill_gateway_accepted_total",
		.help = "Workflows that were stored and accepted.",
	};
	gateway->refused = (struct counter){
		.name = "catkinhill_gateway_refused_total",
		.help = "Requests that were refused and not carried out.",
	};
	gateway->unknown_outcomes = (struct counter){
		.name = "catkinhill_gateway_unknown_total",
		.help = "Requests whose outcome the store did not tell.",
	};
	gateway->state_requests = (struct counter){
		.name = "catkinhill_gateway_states_total",
		.help = "Requests for the state of a workflow.",
	};
	gateway->cancels = (struct counter){
		.name = "catkinhill_gateway_cancels_total",
		.help = "Cancellations that were stored.",
	};
	gateway->accept_ms = (struct histogram){
		.name = "catkinhill_gateway_accept_ms",
		.help = "Time until a workflow was accepted.",
	};
	gateway->state_ms = (struct histogram){
		.name = "catkinhill_gateway_state_ms",
		.help = "Time until a state was answered.",
	};
	counter_add(set, &gateway->accepted);
	counter_add(set, &gateway->refused);
	counter_add(set, &gateway->unknown_outcomes);
	counter_add(set, &gateway->state_requests);
	counter_add(set, &gateway->cancels);
	histogram_add(set, &gateway->accept_ms);
	histogram_add(set, &gateway->state_ms);
}

static struct gateway *failed(struct gateway *gateway, const char *key,
			      const char *address)
{
	log_event(EV_LISTEN_FAILED, "key=%s address=%s", key, address);
	gateway_delete(gateway);
	return NULL;
}

struct gateway *gateway_new(struct daemon *daemon)
{
	const struct settings *settings = daemon->settings;
	struct gateway *gateway = xcalloc(1, sizeof(*gateway));

	gateway->daemon = daemon;
	list_init(&gateway->job_requests);
	add_counters(gateway);
	gateway->kv =
		kv_new(daemon->loop, settings->store_address, STORE_TIMEOUT_MS);
	if (!gateway->kv)
		return failed(gateway, "store.address",
			      settings->store_address);
	gateway->callers =
		httpd_new(daemon->loop, settings->callers,
			  REQUEST_BODY_MAX_BYTES, on_caller, gateway);
	if (!gateway->callers)
		return failed(gateway, "listen.callers", settings->callers);
	gateway->probe = httpd_new(daemon->loop, settings->probe,
				   REQUEST_BODY_MAX_BYTES, on_probe, gateway);
	if (!gateway->probe)
		return failed(gateway, "listen.probe", settings->probe);
	gateway->queues = queues_new(daemon->loop, gateway->kv, NULL, NULL);
	return gateway;
}

void gateway_delete(struct gateway *gateway)
{
	struct list *pos, *tmp;

	if (!gateway)
		return;
	list_for_each_safe (pos, tmp, &gateway->job_requests)
		job_call_free(list_entry(pos, struct job_request, node));
	queues_delete(gateway->queues);
	httpd_delete(gateway->callers);
	httpd_delete(gateway->probe);
	loop_timer_delete(gateway->stop_timer);
	kv_delete(gateway->kv);
	free(gateway);
}

static void on_stop_timer(void *arg)
{
	struct gateway *gateway = arg;

	if (mstime_before(sysclock_now(), gateway->drain_until) ||
	    httpd_pending(gateway->callers)) {
		loop_timer_start(gateway->stop_timer, STOP_POLL_MS);
		return;
	}
	gateway->stopped(gateway->stopped_arg);
}

/* Goes on serving until the platform has noticed; then finishes. */
void gateway_stop(struct gateway *gateway, stopped_fn fn, void *arg)
{
	gateway->is_stopping = 1;
	gateway->stopped = fn;
	gateway->stopped_arg = arg;
	gateway->drain_until = mstime_add(sysclock_now(), LAME_DUCK_MS);
	httpd_close_connections(gateway->callers);
	gateway->stop_timer =
		loop_timer_new(gateway->daemon->loop, on_stop_timer, gateway);
	loop_timer_start(gateway->stop_timer, STOP_POLL_MS);
}
