#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "loop.h"
#include "mem.h"
#include "sysclock.h"
#include "transport.h"

/*
 * Stand-in for an agent and its upstream, connected to one entry. The path of
 * a request selects its behaviour, including violations of the protocol. Usage:
 *	fakeagent ENTRY ID REGION SERVICE LOAD
 * On SIGUSR1 it announces that it is leaving. It prints each request it runs.
 */
#define ANNOUNCE_INTERVAL_MS 100
#define EVENT_INTERVAL_MS 20
#define SLOW_RESPONSE_TICKS 25
#define INITIAL_WINDOW_BYTES (256 * 1024)
#define OPEN_REQUESTS_MAX 256
#define BODY_MAX_BYTES (4 * 1024 * 1024)

struct open_request {
	int in_use;
	uint64_t request_id;
	char method[16];
	char path[256];
	uint64_t body_remaining_bytes;
	uint64_t body_byte_sum;
	int is_stream;
	int response_delay_ticks; /* ticks of event_timer */
	uint64_t next_event_id;
	uint64_t sent_bytes, total_bytes, window_bytes;
};

static struct transport *transport;
static struct loop *loop;
static struct loop_timer *announce_timer, *event_timer;
static struct msg_announce announcement;
static struct open_request open_requests[OPEN_REQUESTS_MAX];
static int refused_count;

static void send_message(const struct message *msg)
{
	transport_send(transport, NULL, msg);
}

static struct open_request *find_request(uint64_t request_id)
{
	size_t i;

	for (i = 0; i < OPEN_REQUESTS_MAX; i++)
		if (open_requests[i].in_use &&
		    open_requests[i].request_id == request_id)
			return &open_requests[i];
	return NULL;
}

static void on_announce_timer(void *arg)
{
	struct message msg = { .type = MSG_ANNOUNCE };

	announcement.seq++;
	msg.u.announce = announcement;
	send_message(&msg);
	loop_timer_start(announce_timer, ANNOUNCE_INTERVAL_MS);
}

static void send_response_head(uint64_t request_id, uint32_t status,
			       int is_stream, int64_t content_length)
{
	char text[32];
	struct http_header items[] = {
		{ "Content-Type",
		  is_stream ? "text/event-stream" : "text/plain" },
		{ "Connection", "X-Hop" },
		{ "X-Hop", "must not be passed on" },
		{ "X-Agent", announcement.agent },
		{ "Content-Length", text },
	};
	struct message msg = { .type = MSG_RESPONSE };

	snprintf(text, sizeof(text), "%" PRId64, content_length);
	msg.u.response.request_id = request_id;
	msg.u.response.status = status;
	msg.u.response.is_stream = (uint32_t)is_stream;
	msg.u.response.headers.items = items;
	msg.u.response.headers.count = content_length < 0 ? 4 : 5;
	send_message(&msg);
}

static void send_response_body(uint64_t request_id, uint64_t offset,
			       const void *data, size_t len)
{
	struct message msg = { .type = MSG_RESPONSE_BODY };

	msg.u.response_body.request_id = request_id;
	msg.u.response_body.offset = offset;
	msg.u.response_body.data.data = data;
	msg.u.response_body.data.len = len;
	send_message(&msg);
}

static void send_response_end(uint64_t request_id, enum outcome outcome,
			      uint64_t body_length, int upstream_leaving)
{
	struct message msg = { .type = MSG_RESPONSE_END };

	msg.u.response_end.request_id = request_id;
	msg.u.response_end.outcome = outcome;
	msg.u.response_end.upstream_leaving = (uint32_t)upstream_leaving;
	msg.u.response_end.body_length = body_length;
	send_message(&msg);
}

static void refuse(uint64_t request_id, enum refusal reason)
{
	struct message msg = { .type = MSG_REFUSED };

	refused_count++;
	msg.u.refused.request_id = request_id;
	msg.u.refused.reason = reason;
	send_message(&msg);
}

static void send_response(uint64_t request_id, uint32_t status,
			  const char *text)
{
	send_response_head(request_id, status, 0, (int64_t)strlen(text));
	send_response_body(request_id, 0, text, strlen(text));
	send_response_end(request_id, OUTCOME_DONE, strlen(text), 0);
}

static void handle_echo(struct open_request *r)
{
	char *text =
		xstrfmt("%s %s %" PRIu64, r->method, r->path, r->body_byte_sum);

	send_response(r->request_id, 200, text);
	/* The entry must discard a late second response. */
	send_response(r->request_id, 200, "stale");
	free(text);
	r->in_use = 0;
}

static void handle_status(struct open_request *r)
{
	send_response(r->request_id, (uint32_t)atoi(r->path + 8), "status");
	r->in_use = 0;
}

static void handle_refuse(struct open_request *r)
{
	refuse(r->request_id, REFUSAL_FULL);
	r->in_use = 0;
}

static void handle_refuse_once(struct open_request *r)
{
	if (refused_count)
		handle_echo(r);
	else
		handle_refuse(r);
}

static void handle_gap(struct open_request *r)
{
	send_response_head(r->request_id, 200, 0, -1);
	send_response_body(r->request_id, 0, "first", 5);
	send_response_body(r->request_id, 9, "third", 5);
	send_response_end(r->request_id, OUTCOME_DONE, 14, 0);
	r->in_use = 0;
}

static void handle_abort(struct open_request *r)
{
	send_response_head(r->request_id, 200, 0, 100);
	send_response_body(r->request_id, 0, "first", 5);
	send_response_end(r->request_id, OUTCOME_UNKNOWN, 5, 0);
	r->in_use = 0;
}

static void handle_excess_body(struct open_request *r)
{
	send_response_head(r->request_id, 200, 0, 5);
	send_response_body(r->request_id, 0, "first and more", 14);
	send_response_end(r->request_id, OUTCOME_DONE, 14, 0);
	r->in_use = 0;
}

/* /die ends any agent, /die/NAME only the agent with that name. */
static void handle_exit(struct open_request *r)
{
	if (r->path[4] == '/' && strcmp(r->path + 5, announcement.agent) != 0)
		handle_echo(r);
	else
		_exit(0);
}

static void handle_slow(struct open_request *r)
{
	r->response_delay_ticks = SLOW_RESPONSE_TICKS;
}

/* The whole response at once; its end follows after a delay. */
static void handle_late_end(struct open_request *r)
{
	r->total_bytes = strlen(r->path);
	r->sent_bytes = r->total_bytes;
	send_response_head(r->request_id, 200, 0, (int64_t)r->total_bytes);
	send_response_body(r->request_id, 0, r->path, r->total_bytes);
	r->response_delay_ticks = SLOW_RESPONSE_TICKS;
}

static void handle_silent(struct open_request *r)
{
}

/* Byte i of the body is i modulo 251. Stops when the window is empty. */
static void send_within_window(struct open_request *r)
{
	unsigned char chunk[8192];
	size_t i, len;

	while (r->sent_bytes < r->total_bytes && r->window_bytes) {
		len = sizeof(chunk);
		if (len > r->total_bytes - r->sent_bytes)
			len = (size_t)(r->total_bytes - r->sent_bytes);
		if (len > r->window_bytes)
			len = (size_t)r->window_bytes;
		for (i = 0; i < len; i++)
			chunk[i] = (unsigned char)((r->sent_bytes + i) % 251);
		send_response_body(r->request_id, r->sent_bytes, chunk, len);
		r->sent_bytes += len;
		r->window_bytes -= len;
	}
	if (r->sent_bytes < r->total_bytes)
		return;
	send_response_end(r->request_id, OUTCOME_DONE, r->total_bytes, 0);
	r->in_use = 0;
}

static void handle_bytes(struct open_request *r)
{
	r->total_bytes = strtoull(r->path + 7, NULL, 10);
	if (r->total_bytes > BODY_MAX_BYTES)
		r->total_bytes = BODY_MAX_BYTES;
	r->window_bytes = INITIAL_WINDOW_BYTES;
	send_response_head(r->request_id, 200, 0, -1);
	send_within_window(r);
}

static void handle_events(struct open_request *r)
{
	r->is_stream = 1;
	send_response_head(r->request_id, 200, 1, -1);
}

static const struct {
	const char *prefix;
	void (*run)(struct open_request *r);
} actions[] = {
	{ "/refuse-once", handle_refuse_once },
	{ "/refuse", handle_refuse },
	{ "/status/", handle_status },
	{ "/gap", handle_gap },
	{ "/cut", handle_abort },
	{ "/long", handle_excess_body },
	{ "/die", handle_exit },
	{ "/silent", handle_silent },
	{ "/slow", handle_slow },
	{ "/late-end", handle_late_end },
	{ "/bytes/", handle_bytes },
	{ "/events", handle_events },
	{ "/", handle_echo },
};

static void run_request(struct open_request *r)
{
	size_t i = 0;

	while (strncmp(r->path, actions[i].prefix, strlen(actions[i].prefix)))
		i++;
	printf("run %s %s %s\n", announcement.agent, r->method, r->path);
	actions[i].run(r);
}

static uint64_t last_event_id(const struct header_list *headers)
{
	size_t i;

	for (i = 0; i < headers->count; i++)
		if (!strcmp(headers->items[i].name, "Last-Event-ID"))
			return strtoull(headers->items[i].value, NULL, 10);
	return 0;
}

static void on_request_message(const struct msg_request *msg)
{
	struct open_request *r = open_requests;

	while (r->in_use)
		if (++r == open_requests + OPEN_REQUESTS_MAX)
			return;
	memset(r, 0, sizeof(*r));
	r->in_use = 1;
	r->request_id = msg->request_id;
	str_copy(r->method, msg->method, sizeof(r->method));
	str_copy(r->path, msg->path, sizeof(r->path));
	r->body_remaining_bytes = msg->body_length;
	r->next_event_id = last_event_id(&msg->headers) + 1;
	if (announcement.state == AGENT_LEAVING)
		refuse(r->request_id, REFUSAL_LEAVING);
	else if (!r->body_remaining_bytes)
		run_request(r);
}

static void on_request_body(const struct msg_request_body *msg)
{
	struct open_request *r = find_request(msg->request_id);
	size_t i;

	if (!r)
		return;
	for (i = 0; i < msg->data.len; i++)
		r->body_byte_sum += msg->data.data[i];
	r->body_remaining_bytes -= msg->data.len;
	if (!r->body_remaining_bytes)
		run_request(r);
}

static void on_message(void *arg, const char *peer, const struct message *msg)
{
	struct open_request *r;

	switch (msg->type) {
	case MSG_REQUEST:
		on_request_message(&msg->u.request);
		break;
	case MSG_REQUEST_BODY:
		on_request_body(&msg->u.request_body);
		break;
	case MSG_CANCEL:
		printf("cancel %s\n", announcement.agent);
		r = find_request(msg->u.cancel.request_id);
		if (r)
			r->in_use = 0;
		break;
	case MSG_CREDIT:
		r = find_request(msg->u.credit.request_id);
		if (r && r->total_bytes) {
			r->window_bytes += msg->u.credit.bytes;
			send_within_window(r);
		}
		break;
	default:
		break;
	}
}

static void end_delayed_response(struct open_request *r)
{
	if (!r->total_bytes) {
		handle_echo(r);
		return;
	}
	send_response_end(r->request_id, OUTCOME_DONE, r->total_bytes, 0);
	r->in_use = 0;
}

/* Ends chunks within an event, so that their boundaries differ. */
static void on_event_timer(void *arg)
{
	char text[64];
	size_t i;
	int len;

	for (i = 0; i < OPEN_REQUESTS_MAX; i++) {
		struct open_request *r = &open_requests[i];

		if (r->in_use && r->response_delay_ticks &&
		    !--r->response_delay_ticks)
			end_delayed_response(r);
		if (!r->in_use || !r->is_stream)
			continue;
		len = snprintf(text, sizeof(text),
			       "id: %" PRIu64 "\ndata: %" PRIu64 "\n\n: more",
			       r->next_event_id, r->next_event_id);
		send_response_body(r->request_id, r->sent_bytes, text,
				   (size_t)len);
		send_response_body(r->request_id, r->sent_bytes + (uint64_t)len,
				   "\n\n", 2);
		r->next_event_id++;
		r->sent_bytes += (uint64_t)len + 2;
	}
	loop_timer_start(event_timer, EVENT_INTERVAL_MS);
}

static void on_leave_signal(void *arg)
{
	announcement.state = AGENT_LEAVING;
	on_announce_timer(NULL);
}

static void on_stop_signal(void *arg)
{
	loop_break(loop);
}

int main(int argc, char **argv)
{
	char id[2 * ID_SIZE];

	if (argc != 6)
		return 2;
	setvbuf(stdout, NULL, _IOLBF, 0);
	loop = loop_new();
	str_copy(announcement.agent, argv[2], sizeof(announcement.agent));
	str_copy(announcement.region, argv[3], sizeof(announcement.region));
	str_copy(announcement.service, argv[4], sizeof(announcement.service));
	announcement.load.in_flight = (uint32_t)atoi(argv[5]);
	announcement.incarnation = (uint64_t)sysclock_wall_ms();
	announcement.slots = 8;
	announcement.connections = 64;
	announcement.state = AGENT_READY;
	snprintf(id, sizeof(id), "%s/%" PRIx64, announcement.agent,
		 announcement.incarnation);
	transport = transport_client_new(loop, argv[1], id, on_message, NULL);
	announce_timer = loop_timer_new(loop, on_announce_timer, NULL);
	event_timer = loop_timer_new(loop, on_event_timer, NULL);
	loop_on_signal(loop, SIGUSR1, on_leave_signal, NULL);
	loop_on_signal(loop, SIGTERM, on_stop_signal, NULL);
	loop_timer_start(announce_timer, 0);
	loop_timer_start(event_timer, EVENT_INTERVAL_MS);
	loop_run(loop);
	loop_timer_delete(announce_timer);
	loop_timer_delete(event_timer);
	transport_delete(transport);
	loop_delete(loop);
	return 0;
}
