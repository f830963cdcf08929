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
 * Stands in for an agent and its upstream towards one entry. What it does
 * with a request is named by the path, so that a test can make it break the
 * protocol. Usage:
 *	fakeagent ENTRY ID REGION SERVICE LOAD
 * USR1 announces that it is leaving. Each request that it runs is printed.
 */
#define ANNOUNCE_MS 100
#define EVENT_MS 20
#define SLOW_TICKS 25
#define WINDOW (256 * 1024)
#define OPEN_MAX 256
#define SIZE_MAX_SENT (4 * 1024 * 1024)

struct open_request {
	int used;
	uint64_t number;
	char method[16];
	char path[256];
	uint64_t body_left;
	uint64_t body_sum;
	int stream;
	int slow_ticks; /* until the answer */
	uint64_t next_event;
	uint64_t sent, total, window;
};

static struct transport *transport;
static struct loop *loop;
static struct loop_timer *announce_timer, *event_timer;
static struct msg_announce self;
static struct open_request table[OPEN_MAX];
static int refused;

static void send_message(const struct message *msg)
{
	transport_send(transport, NULL, msg);
}

static struct open_request *find(uint64_t number)
{
	size_t i;

	for (i = 0; i < OPEN_MAX; i++)
		if (table[i].used && table[i].number == number)
			return &table[i];
	return NULL;
}

static void on_announce(void *arg)
{
	struct message msg = { .type = MSG_ANNOUNCE };

	self.seq++;
	msg.u.announce = self;
	send_message(&msg);
	loop_timer_start(announce_timer, ANNOUNCE_MS);
}

static void send_head(uint64_t number, uint32_t status, int stream,
		      int64_t length)
{
	char text[32];
	struct http_header items[] = {
		{ "Content-Type", stream ? "text/event-stream" : "text/plain" },
		{ "Connection", "X-Hop" },
		{ "X-Hop", "must not be passed on" },
		{ "X-Agent", self.agent },
		{ "Content-Length", text },
	};
	struct message msg = { .type = MSG_RESPONSE };

	snprintf(text, sizeof(text), "%" PRId64, length);
	msg.u.response.request_id = number;
	msg.u.response.status = status;
	msg.u.response.is_stream = (uint32_t)stream;
	msg.u.response.headers.items = items;
	msg.u.response.headers.count = length < 0 ? 4 : 5;
	send_message(&msg);
}

static void send_body(uint64_t number, uint64_t offset, const void *data,
		      size_t len)
{
	struct message msg = { .type = MSG_RESPONSE_BODY };

	msg.u.response_body.request_id = number;
	msg.u.response_body.offset = offset;
	msg.u.response_body.data.data = data;
	msg.u.response_body.data.len = len;
	send_message(&msg);
}

static void send_end(uint64_t number, enum outcome outcome, uint64_t total,
		     int moved)
{
	struct message msg = { .type = MSG_RESPONSE_END };

	msg.u.response_end.request_id = number;
	msg.u.response_end.outcome = outcome;
	msg.u.response_end.upstream_leaving = (uint32_t)moved;
	msg.u.response_end.body_length = total;
	send_message(&msg);
}

static void refuse(uint64_t number, enum refusal reason)
{
	struct message msg = { .type = MSG_REFUSED };

	refused++;
	msg.u.refused.request_id = number;
	msg.u.refused.reason = reason;
	send_message(&msg);
}

static void send_whole(uint64_t number, uint32_t status, const char *text)
{
	send_head(number, status, 0, (int64_t)strlen(text));
	send_body(number, 0, text, strlen(text));
	send_end(number, OUTCOME_DONE, strlen(text), 0);
}

static void on_echo(struct open_request *r)
{
	char *text = xstrfmt("%s %s %" PRIu64, r->method, r->path, r->body_sum);

	send_whole(r->number, 200, text);
	/* A late second answer must reach nobody. */
	send_whole(r->number, 200, "stale");
	free(text);
	r->used = 0;
}

static void on_status(struct open_request *r)
{
	send_whole(r->number, (uint32_t)atoi(r->path + 8), "status");
	r->used = 0;
}

static void on_refuse(struct open_request *r)
{
	refuse(r->number, REFUSAL_FULL);
	r->used = 0;
}

static void on_refuse_once(struct open_request *r)
{
	if (refused)
		on_echo(r);
	else
		on_refuse(r);
}

static void on_gap(struct open_request *r)
{
	send_head(r->number, 200, 0, -1);
	send_body(r->number, 0, "first", 5);
	send_body(r->number, 9, "third", 5);
	send_end(r->number, OUTCOME_DONE, 14, 0);
	r->used = 0;
}

static void on_cut(struct open_request *r)
{
	send_head(r->number, 200, 0, 100);
	send_body(r->number, 0, "first", 5);
	send_end(r->number, OUTCOME_UNKNOWN, 5, 0);
	r->used = 0;
}

static void on_long(struct open_request *r)
{
	send_head(r->number, 200, 0, 5);
	send_body(r->number, 0, "first and more", 14);
	send_end(r->number, OUTCOME_DONE, 14, 0);
	r->used = 0;
}

/* /die/NAME ends only the agent of that name. */
static void on_die(struct open_request *r)
{
	if (r->path[4] == '/' && strcmp(r->path + 5, self.agent) != 0)
		on_echo(r);
	else
		_exit(0);
}

static void on_slow(struct open_request *r)
{
	r->slow_ticks = SLOW_TICKS;
}

static void on_silent(struct open_request *r)
{
}

/* Byte i of the body is i modulo 251, within the window of the credits. */
static void pump(struct open_request *r)
{
	unsigned char part[8192];
	size_t i, len;

	while (r->sent < r->total && r->window) {
		len = sizeof(part);
		if (len > r->total - r->sent)
			len = (size_t)(r->total - r->sent);
		if (len > r->window)
			len = (size_t)r->window;
		for (i = 0; i < len; i++)
			part[i] = (unsigned char)((r->sent + i) % 251);
		send_body(r->number, r->sent, part, len);
		r->sent += len;
		r->window -= len;
	}
	if (r->sent < r->total)
		return;
	send_end(r->number, OUTCOME_DONE, r->total, 0);
	r->used = 0;
}

static void on_bytes(struct open_request *r)
{
	r->total = strtoull(r->path + 7, NULL, 10);
	if (r->total > SIZE_MAX_SENT)
		r->total = SIZE_MAX_SENT;
	r->window = WINDOW;
	send_head(r->number, 200, 0, -1);
	pump(r);
}

static void on_events(struct open_request *r)
{
	r->stream = 1;
	send_head(r->number, 200, 1, -1);
}

static const struct {
	const char *prefix;
	void (*run)(struct open_request *r);
} actions[] = {
	{ "/refuse-once", on_refuse_once },
	{ "/refuse", on_refuse },
	{ "/status/", on_status },
	{ "/gap", on_gap },
	{ "/cut", on_cut },
	{ "/long", on_long },
	{ "/die", on_die },
	{ "/silent", on_silent },
	{ "/slow", on_slow },
	{ "/bytes/", on_bytes },
	{ "/events", on_events },
	{ "/", on_echo },
};

static void run(struct open_request *r)
{
	size_t i = 0;

	while (strncmp(r->path, actions[i].prefix, strlen(actions[i].prefix)))
		i++;
	printf("run %s %s %s\n", self.agent, r->method, r->path);
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

static void on_request(const struct msg_request *msg)
{
	struct open_request *r = table;

	while (r->used)
		if (++r == table + OPEN_MAX)
			return;
	memset(r, 0, sizeof(*r));
	r->used = 1;
	r->number = msg->request_id;
	str_copy(r->method, msg->method, sizeof(r->method));
	str_copy(r->path, msg->path, sizeof(r->path));
	r->body_left = msg->body_length;
	r->next_event = last_event_id(&msg->headers) + 1;
	if (self.state == AGENT_LEAVING)
		refuse(r->number, REFUSAL_LEAVING);
	else if (!r->body_left)
		run(r);
}

static void on_body(const struct msg_request_body *msg)
{
	struct open_request *r = find(msg->request_id);
	size_t i;

	if (!r)
		return;
	for (i = 0; i < msg->data.len; i++)
		r->body_sum += msg->data.data[i];
	r->body_left -= msg->data.len;
	if (!r->body_left)
		run(r);
}

static void on_message(void *arg, const char *peer, const struct message *msg)
{
	struct open_request *r;

	switch (msg->type) {
	case MSG_REQUEST:
		on_request(&msg->u.request);
		break;
	case MSG_REQUEST_BODY:
		on_body(&msg->u.request_body);
		break;
	case MSG_CANCEL:
		printf("cancel %s\n", self.agent);
		r = find(msg->u.cancel.request_id);
		if (r)
			r->used = 0;
		break;
	case MSG_CREDIT:
		r = find(msg->u.credit.request_id);
		if (r && r->total) {
			r->window += msg->u.credit.bytes;
			pump(r);
		}
		break;
	default:
		break;
	}
}

/* Events end in the middle of a part, so that parts and events differ. */
static void on_event(void *arg)
{
	char text[64];
	size_t i;
	int len;

	for (i = 0; i < OPEN_MAX; i++) {
		struct open_request *r = &table[i];

		if (r->used && r->slow_ticks && !--r->slow_ticks)
			on_echo(r);
		if (!r->used || !r->stream)
			continue;
		len = snprintf(text, sizeof(text),
			       "id: %" PRIu64 "\ndata: %" PRIu64 "\n\n: more",
			       r->next_event, r->next_event);
		send_body(r->number, r->sent, text, (size_t)len);
		send_body(r->number, r->sent + (uint64_t)len, "\n\n", 2);
		r->next_event++;
		r->sent += (uint64_t)len + 2;
	}
	loop_timer_start(event_timer, EVENT_MS);
}

static void on_leave(void *arg)
{
	self.state = AGENT_LEAVING;
	on_announce(NULL);
}

static void on_stop(void *arg)
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
	str_copy(self.agent, argv[2], sizeof(self.agent));
	str_copy(self.region, argv[3], sizeof(self.region));
	str_copy(self.service, argv[4], sizeof(self.service));
	self.load.in_flight = (uint32_t)atoi(argv[5]);
	self.incarnation = (uint64_t)sysclock_wall_ms();
	self.slots = 8;
	self.connections = 64;
	self.state = AGENT_READY;
	snprintf(id, sizeof(id), "%s/%" PRIx64, self.agent, self.incarnation);
	transport = transport_client_new(loop, argv[1], id, on_message, NULL);
	announce_timer = loop_timer_new(loop, on_announce, NULL);
	event_timer = loop_timer_new(loop, on_event, NULL);
	loop_on_signal(loop, SIGUSR1, on_leave, NULL);
	loop_on_signal(loop, SIGTERM, on_stop, NULL);
	loop_timer_start(announce_timer, 0);
	loop_timer_start(event_timer, EVENT_MS);
	loop_run(loop);
	loop_timer_delete(announce_timer);
	loop_timer_delete(event_timer);
	transport_delete(transport);
	loop_delete(loop);
	return 0;
}
