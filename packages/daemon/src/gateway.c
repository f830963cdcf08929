#include "gateway.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clientlimits.h"
#include "errors.h"
#include "gateway_internal.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

/*
 * The store answers within 100 ms, or 500 ms when it is slow. A caller that
 * gets an error early can still try another gateway within its deadline.
 */
#define STORE_TIMEOUT_MS 500
/* Largest body of a request, also where the configuration allows more. */
#define REQUEST_BODY_MAX_BYTES (1024 * 1024)
/* A probe has no body. */
#define PROBE_BODY_MAX_BYTES 4096
/* Deadline of a caller that sends none. */
#define DEADLINE_DEFAULT_MS 3000
/*
 * Share of the caller's deadline, and upper bound, of the time spent on the
 * store, so that the caller can still try another gateway. Two attempts fit
 * into the upper bound.
 */
#define STORE_TIME_PERCENT 40
#define STORE_TIME_MAX_MS 1100
#define STORE_RETRY_MS 60
/* Not ready after this time without the store; others may reach it. */
#define STORE_LOST_MS 1000
/*
 * Time to keep serving after a stop: the platform stops sending connections
 * after two failed probes.
 */
#define STOP_SERVE_MS 2500
#define STOP_POLL_MS 50

static void job_call_free(struct job_request *req)
{
	list_del(&req->node);
	list_del(&req->count_node);
	kv_cancel(req->gateway->kv, req);
	loop_timer_delete(req->retry_timer);
	loop_timer_delete(req->deadline_timer);
	free(req->record);
	free(req);
}

void job_request_reply(struct job_request *req, int status, const char *body,
		       const char *detail)
{
	const struct platform_config *config =
		queues_config(req->gateway->queues);
	int64_t took_ms = mstime_diff(sysclock_now(), req->started_at);

	log_event(EV_WORKFLOW_ANSWERED,
		  "job=%s method=%s queue=%s status=%d took_ms=%lld "
		  "attempts=%d config=%lld detail=%s",
		  req->job, httpd_method(req->http), req->queue.name, status,
		  (long long)took_ms, req->attempts,
		  (long long)(config ? config->version : 0), detail);
	httpd_reply(req->http, status, body);
	job_call_free(req);
}

void job_request_refuse(struct job_request *req, int status, const char *detail,
			int retry_after_s)
{
	char text[16];

	snprintf(text, sizeof(text), "%d", retry_after_s);
	req->gateway->refused.value++;
	httpd_add_header(req->http, "Retry-After", text);
	job_request_reply(req, status, "{}", detail);
}

void job_request_retry(struct job_request *req, int err, loop_fn retry)
{
	req->last_err = err;
	loop_timer_delete(req->retry_timer);
	req->retry_timer =
		loop_timer_new(req->gateway->daemon->loop, retry, req);
	loop_timer_start(req->retry_timer, STORE_RETRY_MS);
}

static int64_t store_time_ms(const struct httpd_request *request)
{
	const char *text = httpd_header(request, PLATFORM_DEADLINE_HEADER);
	int64_t ms = text ? strtoll(text, NULL, 10) : 0;

	if (ms <= 0)
		ms = DEADLINE_DEFAULT_MS;
	ms = ms * STORE_TIME_PERCENT / 100;
	return ms < STORE_TIME_MAX_MS ? ms : STORE_TIME_MAX_MS;
}

void job_request_reply_unknown(struct job_request *req)
{
	req->gateway->unknown_outcomes.value++;
	job_request_reply(req, 504, "{}", "store-silent");
}

static void on_deadline(void *arg)
{
	struct job_request *req = arg;

	if (!req->may_be_stored && !req->write_in_flight) {
		job_request_refuse(
			req, 503,
			error_name(req->last_err ? req->last_err : ERR_TIMEOUT),
			gateway_store_retry_s(req));
		return;
	}
	job_request_reply_unknown(req);
}

static void dispatch_request(struct job_request *req)
{
	struct httpd_request *request = req->http;
	const char *method = httpd_method(request);
	size_t len;
	const char *body = httpd_body(request, &len);

	if (!strcmp(method, "GET") && !req->job[0])
		gateway_get_pending(req);
	else if (!strcmp(method, "GET"))
		gateway_get_state(req);
	else if (!strcmp(method, "DELETE"))
		gateway_cancel(req);
	else if (!strcmp(method, "POST"))
		gateway_submit(req, body, len);
	else
		job_request_reply(req, 405, "{}", "method");
}

/*
 * From then on the platform sends no more connections. Callers that still bring
 * requests would keep the process from its end within the grace period.
 */
static int has_drained(const struct gateway *gateway)
{
	return gateway->is_stopping &&
	       !mstime_before(sysclock_now(), gateway->drain_until);
}

static void on_request(void *arg, struct httpd_request *request)
{
	struct gateway *gateway = arg;
	struct job_request *req = xcalloc(1, sizeof(*req));
	const struct platform_config *config = queues_config(gateway->queues);
	const struct platform_queue *queue;

	req->gateway = gateway;
	list_init(&req->count_node);
	req->http = request;
	req->started_at = sysclock_now();
	list_add_tail(&gateway->job_requests, &req->node);
	if (has_drained(gateway)) {
		job_request_refuse(req, 503, "stopping", STORE_RETRY_AFTER_S);
		return;
	}
	if (!config) {
		job_request_refuse(req, 503, "no-configuration",
				   STORE_RETRY_AFTER_S);
		return;
	}
	queue = platform_queue_find(config, httpd_header(request, "Host"),
				    httpd_path(request));
	if (!queue) {
		job_request_reply(req, 404, "{}", "no-queue");
		return;
	}
	req->queue = queue->queue;
	if (str_copy(req->job, httpd_path(request) + strlen(queue->prefix),
		     sizeof(req->job))) {
		req->job[0] = '\0';
		job_request_reply(req, 400, "{}", "identifier");
		return;
	}
	req->deadline_timer =
		loop_timer_new(gateway->daemon->loop, on_deadline, req);
	loop_timer_start(req->deadline_timer, store_time_ms(request));
	dispatch_request(req);
}

static int is_ready(const struct gateway *gateway)
{
	return queues_config(gateway->queues) && !gateway->is_stopping &&
	       queues_stale_ms(gateway->queues) < STORE_LOST_MS;
}

static void on_probe(void *arg, struct httpd_request *request)
{
	struct gateway *gateway = arg;

	httpd_reply(request, is_ready(gateway) ? 200 : 503, "{}");
}

static void on_config(void *arg, const struct platform_config *config)
{
	struct gateway *gateway = arg;

	httpd_set_body_max(gateway->caller_httpd,
			   config->body_max_bytes
				   ? (size_t)config->body_max_bytes
				   : REQUEST_BODY_MAX_BYTES);
}

static void set_limits(struct gateway *gateway)
{
	const struct settings *settings = gateway->daemon->settings;
	struct loop *loop = gateway->daemon->loop;
	struct budget_limits callers = clientlimits(settings);
	struct budget_limits probe = clientlimits_probe(settings);
	struct metric_set *set = &gateway->daemon->metrics;

	httpd_set_limits(gateway->caller_httpd, loop, "callers", &callers, set);
	httpd_set_limits(gateway->probe_httpd, loop, "probe", &probe, set);
}

static void add_counters(struct gateway *gateway)
{
	struct metric_set *set = &gateway->daemon->metrics;

	gateway->accepted = (struct metric){
		.name = "catkinhill_gateway_accepted_total",
		.help = "Workflows that were stored and accepted.",
	};
	gateway->refused = (struct metric){
		.name = "catkinhill_gateway_refused_total",
		.help = "Requests that were refused and not carried out.",
	};
	gateway->unknown_outcomes = (struct metric){
		.name = "catkinhill_gateway_unknown_total",
		.help = "Requests whose outcome the store did not tell.",
	};
	gateway->state_requests = (struct metric){
		.name = "catkinhill_gateway_states_total",
		.help = "Requests for the state of a workflow.",
	};
	gateway->cancels = (struct metric){
		.name = "catkinhill_gateway_cancels_total",
		.help = "Cancellations that were stored.",
	};
	gateway->refused_for_room = (struct metric){
		.name = "catkinhill_gateway_no_room_total",
		.help = "Workflows refused as they could not end in time.",
	};
	gateway->outlook_age = (struct metric){
		.kind = METRIC_GAUGE,
		.name = "catkinhill_gateway_outlook_age_ms",
		.help = "Age of the outlook when it was last used.",
	};
	gateway->accept_ms = (struct histogram){
		.name = "catkinhill_gateway_accept_ms",
		.help = "Time until a workflow was accepted.",
	};
	gateway->state_ms = (struct histogram){
		.name = "catkinhill_gateway_state_ms",
		.help = "Time until a state was answered.",
	};
	metric_register(set, &gateway->accepted);
	metric_register(set, &gateway->refused);
	metric_register(set, &gateway->unknown_outcomes);
	metric_register(set, &gateway->state_requests);
	metric_register(set, &gateway->cancels);
	metric_register(set, &gateway->refused_for_room);
	metric_register(set, &gateway->outlook_age);
	histogram_register(set, &gateway->accept_ms);
	histogram_register(set, &gateway->state_ms);
}

static struct gateway *listen_failed(struct gateway *gateway, const char *key,
				     const char *address)
{
	log_event(EV_LISTEN_FAILED, "key=%s address=%s", key, address);
	gateway_delete(gateway);
	return NULL;
}

struct gateway *gateway_new(struct daemon *daemon)
{
	static const struct queues_handlers handlers = { .on_config =
								 on_config };
	const struct settings *settings = daemon->settings;
	struct gateway *gateway = xcalloc(1, sizeof(*gateway));

	gateway->daemon = daemon;
	list_init(&gateway->job_requests);
	list_init(&gateway->counts);
	add_counters(gateway);
	gateway->kv =
		kv_new(daemon->loop, settings->store_address, STORE_TIMEOUT_MS);
	if (!gateway->kv)
		return listen_failed(gateway, "store.address",
				     settings->store_address);
	gateway->caller_httpd =
		httpd_new(daemon->loop, settings->callers,
			  REQUEST_BODY_MAX_BYTES, on_request, gateway);
	if (!gateway->caller_httpd)
		return listen_failed(gateway, "listen.callers",
				     settings->callers);
	gateway->probe_httpd =
		httpd_new(daemon->loop, settings->probe, PROBE_BODY_MAX_BYTES,
			  on_probe, gateway);
	if (!gateway->probe_httpd)
		return listen_failed(gateway, "listen.probe", settings->probe);
	set_limits(gateway);
	gateway->queues =
		queues_new(daemon->loop, gateway->kv, &handlers, gateway);
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
	httpd_delete(gateway->caller_httpd);
	httpd_delete(gateway->probe_httpd);
	loop_timer_delete(gateway->stop_timer);
	kv_delete(gateway->kv);
	free(gateway);
}

static void on_stop_timer(void *arg)
{
	struct gateway *gateway = arg;

	if (!has_drained(gateway) ||
	    httpd_pending_count(gateway->caller_httpd)) {
		loop_timer_start(gateway->stop_timer, STOP_POLL_MS);
		return;
	}
	gateway->on_stopped(gateway->on_stopped_arg);
}

/*
 * Keeps serving, as not ready, until the platform sends no more connections,
 * then refuses new requests until all earlier ones have a response.
 */
void gateway_stop(struct gateway *gateway, stopped_fn fn, void *arg)
{
	gateway->is_stopping = 1;
	gateway->on_stopped = fn;
	gateway->on_stopped_arg = arg;
	gateway->drain_until = mstime_add(sysclock_now(), STOP_SERVE_MS);
	httpd_disable_keepalive(gateway->caller_httpd);
	gateway->stop_timer =
		loop_timer_new(gateway->daemon->loop, on_stop_timer, gateway);
	loop_timer_start(gateway->stop_timer, STOP_POLL_MS);
}
