#include "agent_request.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "agent_links.h"
#include "agent_requests.h"
#include "errors.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

/* Belong to one connection, or are set by the HTTP client itself. */
static const char *const hop_headers[] = {
	"connection", "keep-alive", "proxy-connection",
	"te",	      "trailer",    "transfer-encoding",
	"upgrade",    "expect",	    "content-length",
};

static int is_hop_header(const char *name, int answer)
{
	size_t i;

	/* An answer to HEAD has a length and no body. */
	if (answer && !strcasecmp(name, "content-length"))
		return 0;
	for (i = 0; i < sizeof(hop_headers) / sizeof(hop_headers[0]); i++)
		if (!strcasecmp(name, hop_headers[i]))
			return 1;
	return 0;
}

static struct header_list copy_headers(const struct header_list *from)
{
	struct header_list to = { NULL, 0 };
	size_t i;

	to.items = xcalloc(from->count + 1, sizeof(*to.items));
	for (i = 0; i < from->count; i++) {
		if (is_hop_header(from->items[i].name, 0))
			continue;
		to.items[to.count].name = xstrdup(from->items[i].name);
		to.items[to.count++].value = xstrdup(from->items[i].value);
	}
	return to;
}

static void free_headers(struct header_list *headers)
{
	size_t i;

	for (i = 0; i < headers->count; i++) {
		free((char *)headers->items[i].name);
		free((char *)headers->items[i].value);
	}
	free(headers->items);
}

struct agent_request *agent_request_new(struct agent_link *link,
					const struct msg_request *msg)
{
	struct agent_request *r = xcalloc(1, sizeof(*r));

	r->agent = link->agent;
	r->link = link;
	r->request_id = msg->request_id;
	str_copy(r->trace, msg->trace_id, sizeof(r->trace));
	r->deadline = mstime_add(sysclock_now(), msg->remaining_ms);
	r->method = xstrdup(msg->method);
	r->path = xstrdup(msg->path);
	r->headers = copy_headers(&msg->headers);
	r->body_len = msg->body_length;
	r->body = r->body_len ? xmalloc(r->body_len) : NULL;
	r->window_bytes = AGENT_WINDOW_MAX_BYTES;
	r->unsent_body = evbuffer_new();
	if (!r->unsent_body)
		abort();
	r->agent->request_body_bytes += r->body_len;
	list_add_tail(&r->agent->requests, &r->node);
	return r;
}

static void release_body(struct agent_request *r)
{
	free(r->body);
	r->body = NULL;
	r->agent->request_body_bytes -= r->body_len;
	r->body_len = 0;
}

void agent_request_delete(struct agent_request *r)
{
	if (r->call)
		httpc_cancel(r->call);
	gate_release(&r->agent->gate, &r->gate_request);
	release_body(r);
	free_headers(&r->headers);
	evbuffer_free(r->unsent_body);
	list_del(&r->node);
	free(r->method);
	free(r->path);
	free(r);
}

void agent_request_refuse(struct agent_request *r, enum refusal reason)
{
	struct message msg = { .type = MSG_REFUSED };

	r->agent->counters.refusals[reason].value++;
	log_event(EV_AGENT_REQUEST_REFUSED,
		  "trace=%s reason=%s in_flight=%u queued=%u", r->trace,
		  refusal_name(reason), r->agent->gate.slots_used,
		  r->agent->gate.queued);
	msg.u.refused.request_id = r->request_id;
	msg.u.refused.reason = reason;
	gate_fill_load(&r->agent->gate, &msg.u.refused.load);
	if (r->link)
		agent_link_send(r->link, &msg);
	agent_request_delete(r);
}

static int send_end(struct agent_request *r, enum outcome outcome, int moved)
{
	struct message msg = { .type = MSG_RESPONSE_END };
	struct msg_response_end *end = &msg.u.response_end;

	end->request_id = r->request_id;
	end->outcome = outcome;
	end->upstream_leaving = moved;
	end->body_length = r->response_bytes_sent;
	gate_fill_load(&r->agent->gate, &end->load);
	end->load.latency_ms = (uint32_t)(r->agent->latency_ewma_us / 1000);
	return agent_link_send(r->link, &msg);
}

/* Nobody waits for the answer any more; the timer ends what drains. */
static void detach(struct agent_request *r, int moved, const char *reason)
{
	log_event(EV_AGENT_REQUEST_CUT, "trace=%s reason=%s sent=%llu",
		  r->trace, reason, (unsigned long long)r->response_bytes_sent);
	r->agent->counters.requests[OUTCOME_UNKNOWN].value++;
	if (r->link)
		send_end(r, OUTCOME_UNKNOWN, moved);
	r->link = NULL;
	r->drain_until = mstime_add(
		sysclock_now(), r->is_stream ? 0 : AGENT_REQUEST_DRAIN_MAX_MS);
	evbuffer_drain(r->unsent_body, evbuffer_get_length(r->unsent_body));
}

void agent_request_abort(struct agent_request *r, int moved, const char *reason)
{
	detach(r, moved, reason);
	if (r->stage != REQUEST_RUNNING || r->is_stream) {
		agent_request_delete(r);
		return;
	}
	if (r->paused)
		httpc_resume(r->call);
	r->paused = 0;
}

static int send_part(struct agent_request *r)
{
	struct message msg = { .type = MSG_RESPONSE_BODY };
	size_t len = evbuffer_get_length(r->unsent_body);
	int err;

	if (len > BODY_CHUNK_MAX_BYTES)
		len = BODY_CHUNK_MAX_BYTES;
	if ((int64_t)len > r->window_bytes)
		len = (size_t)r->window_bytes;
	msg.u.response_body.request_id = r->request_id;
	msg.u.response_body.offset = r->response_bytes_sent;
	msg.u.response_body.data.data = evbuffer_pullup(r->unsent_body, len);
	msg.u.response_body.data.len = len;
	err = agent_link_send(r->link, &msg);
	if (err)
		return err;
	evbuffer_drain(r->unsent_body, len);
	r->window_bytes -= (int64_t)len;
	r->response_bytes_sent += len;
	return 0;
}

static void set_paused(struct agent_request *r, int paused)
{
	if (r->stage != REQUEST_RUNNING || r->paused == paused)
		return;
	r->paused = paused;
	if (paused)
		httpc_pause(r->call);
	else
		httpc_resume(r->call);
}

void agent_request_flush(struct agent_request *r)
{
	r->send_blocked = 0;
	if (!r->link)
		return;
	while (evbuffer_get_length(r->unsent_body) && r->window_bytes > 0) {
		if (!send_part(r))
			continue;
		r->send_blocked = 1;
		agent_requests_arm_timer(r->agent);
		break;
	}
	set_paused(r, evbuffer_get_length(r->unsent_body) > 0);
	if (r->stage != REQUEST_FLUSHING || evbuffer_get_length(r->unsent_body))
		return;
	if (send_end(r, r->outcome, 0)) {
		r->send_blocked = 1;
		agent_requests_arm_timer(r->agent);
		return;
	}
	r->agent->counters.requests[r->outcome].value++;
	log_event(r->outcome == OUTCOME_DONE ? EV_AGENT_REQUEST_ENDED
					     : EV_AGENT_REQUEST_CUT,
		  "trace=%s outcome=%s sent=%llu", r->trace,
		  outcome_name(r->outcome),
		  (unsigned long long)r->response_bytes_sent);
	agent_request_delete(r);
}

static int is_stream(const struct header_list *headers)
{
	static const char type[] = "text/event-stream";
	size_t i;

	for (i = 0; i < headers->count; i++)
		if (!strcasecmp(headers->items[i].name, "content-type"))
			return !strncasecmp(headers->items[i].value, type,
					    sizeof(type) - 1);
	return 0;
}

static void observe_latency(struct agent_request *r)
{
	int64_t us = mstime_diff(sysclock_now(), r->started_at) * 1000;

	r->agent->latency_ewma_us += (us - r->agent->latency_ewma_us) / 8;
	r->agent->latency_sum_us += us;
	r->agent->latency_count++;
}

static void on_head(void *arg, int status, const struct header_list *headers)
{
	struct agent_request *r = arg;
	struct http_header items[HEADERS_MAX];
	struct message msg = { .type = MSG_RESPONSE };
	size_t i, count = 0;

	observe_latency(r);
	r->is_stream = is_stream(headers);
	for (i = 0; i < headers->count && count < HEADERS_MAX; i++)
		if (!is_hop_header(headers->items[i].name, 1))
			items[count++] = headers->items[i];
	if (r->is_stream) {
		gate_release_slot(&r->agent->gate, &r->gate_request);
		agent_requests_serve_queue(r->agent);
	}
	if (!r->link) {
		r->drain_until = r->is_stream ? sysclock_now() : r->drain_until;
		agent_requests_arm_timer(r->agent);
		return;
	}
	msg.u.response.request_id = r->request_id;
	msg.u.response.status = (uint32_t)status;
	msg.u.response.is_stream = (uint32_t)r->is_stream;
	msg.u.response.headers.items = items;
	msg.u.response.headers.count = count;
	r->head_sent = 1;
	if (agent_link_send(r->link, &msg))
		detach(r, 0, "head-not-sent");
	agent_requests_arm_timer(r->agent);
}

static void on_data(void *arg, const void *data, size_t len)
{
	struct agent_request *r = arg;

	if (!r->link)
		return;
	evbuffer_add(r->unsent_body, data, len);
	agent_request_flush(r);
}

static void on_unavailable(struct agent_request *r)
{
	struct agent *agent = r->agent;

	if (!agent->upstream_down) {
		agent->upstream_down = 1;
		loop_timer_start(agent->upstream_retry_timer,
				 AGENT_UPSTREAM_RETRY_DELAY_MS);
	}
	agent_request_refuse(r, REFUSAL_NOT_READY);
	agent_update_state(agent);
}

static void finish(struct agent_request *r, int err)
{
	struct agent *agent = r->agent;

	r->call = NULL;
	r->stage = REQUEST_FLUSHING;
	gate_release(&agent->gate, &r->gate_request);
	if (!r->link) {
		agent_request_delete(r);
	} else if (err == ERR_UNAVAILABLE && !r->head_sent) {
		on_unavailable(r);
	} else {
		r->outcome = err ? OUTCOME_UNKNOWN : OUTCOME_DONE;
		agent_request_flush(r);
	}
	agent_requests_serve_queue(agent);
	agent_check_stopped(agent);
}

static void on_end(void *arg, int err, int status)
{
	struct agent_request *r = arg;

	finish(r, err);
}

/*
 * A reused connection may be closed by the upstream while a request is sent,
 * which leaves the outcome unknown; only methods that can be repeated use
 * one.
 */
static struct httpc_pool *choose_pool(const struct agent_request *r)
{
	int safe = !strcmp(r->method, "GET") || !strcmp(r->method, "HEAD") ||
		   !strcmp(r->method, "OPTIONS");

	return safe ? r->agent->upstream_pool : r->agent->upstream_fresh_pool;
}

void agent_request_run(struct agent_request *r)
{
	static const struct httpc_handlers handlers = { on_head, on_data,
							on_end };
	struct httpc_request request = { .method = r->method,
					 .path = r->path,
					 .headers = &r->headers,
					 .body = r->body,
					 .body_len = r->body_len };

	r->stage = REQUEST_RUNNING;
	r->started_at = sysclock_now();
	r->call = httpc_start(choose_pool(r), &request, &handlers, r);
	if (!r->call) {
		agent_request_refuse(r, REFUSAL_MALFORMED);
		return;
	}
	release_body(r);
}
