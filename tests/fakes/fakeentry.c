#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <event2/event.h>
#include <glib.h>
#include <jansson.h>

#include "loop.h"
#include "mem.h"
#include "transport.h"

/*
 * NAME
 *	fakeentry - stand-in for an entry, controlled through standard input
 *
 * NOTES
 *	Each line on standard input is a JSON object: {"send": TYPE, fields}
 *	sends a message to the agent that sent the last message; {"set":
 *	{...}} changes the automatic responses. Each message received is
 *	printed as one JSON line on standard output. Exits at end of file.
 */
struct fakeentry {
	struct loop *loop;
	struct transport *transport;
	struct event *input_event;
	char input_buffer[512 * 1024];
	size_t input_len;
	char peer[2 * ID_SIZE];
	int ack_announces;
	int ack_reports;  /* with OWNER, both under owner_epoch */
	int grant_credit; /* for each chunk of a response body */
	int64_t owner_epoch;
	int64_t config_version;
	int64_t directory_hash; /* 0: the directory has no other entry */
	struct entry_address other_entry;
};

static const char *get_text(const json_t *root, const char *key)
{
	const char *value = json_string_value(json_object_get(root, key));

	return value ? value : "";
}

static int64_t get_integer(const json_t *root, const char *key)
{
	return json_integer_value(json_object_get(root, key));
}

static void send_message(struct fakeentry *entry, struct message *msg)
{
	int err = transport_send(entry->transport, entry->peer, msg);

	if (err)
		fprintf(stderr, "fakeentry: sending %s failed: error %d\n",
			message_type_name(msg->type), err);
}

static void send_body(struct fakeentry *entry, const json_t *root)
{
	const char *body = get_text(root, "body");
	size_t len = strlen(body), offset;

	for (offset = 0; offset < len; offset += BODY_CHUNK_MAX_BYTES) {
		struct message msg = { .type = MSG_REQUEST_BODY };
		size_t chunk_len = len - offset;

		if (chunk_len > BODY_CHUNK_MAX_BYTES)
			chunk_len = BODY_CHUNK_MAX_BYTES;
		msg.u.request_body.request_id =
			(uint64_t)get_integer(root, "request");
		msg.u.request_body.offset = offset;
		msg.u.request_body.data.data =
			(const unsigned char *)body + offset;
		msg.u.request_body.data.len = chunk_len;
		msg.u.request_body.is_last = offset + chunk_len == len;
		send_message(entry, &msg);
	}
}

static void send_request(struct fakeentry *entry, const json_t *root)
{
	struct http_header items[HEADERS_MAX];
	struct message msg = { .type = MSG_REQUEST };
	struct msg_request *m = &msg.u.request;
	json_t *headers = json_object_get(root, "headers");
	const char *key;
	json_t *value;

	m->request_id = (uint64_t)get_integer(root, "request");
	str_copy(m->trace_id, get_text(root, "trace"), sizeof(m->trace_id));
	m->attempt = 1;
	m->remaining_ms = (uint32_t)get_integer(root, "remaining_ms");
	m->method = get_text(root, "method");
	m->path = get_text(root, "path");
	m->body_length = strlen(get_text(root, "body"));
	m->headers.items = items;
	json_object_foreach(headers, key, value)
	{
		items[m->headers.count].name = key;
		items[m->headers.count++].value = json_string_value(value);
	}
	send_message(entry, &msg);
	if (!json_is_false(json_object_get(root, "with_body")))
		send_body(entry, root);
}

static void send_cancel(struct fakeentry *entry, const json_t *root)
{
	struct message msg = { .type = MSG_CANCEL };

	msg.u.cancel.request_id = (uint64_t)get_integer(root, "request");
	send_message(entry, &msg);
}

static void send_credit(struct fakeentry *entry, const json_t *root)
{
	struct message msg = { .type = MSG_CREDIT };

	msg.u.credit.request_id = (uint64_t)get_integer(root, "request");
	msg.u.credit.bytes = (uint32_t)get_integer(root, "bytes");
	send_message(entry, &msg);
}

static void send_config(struct fakeentry *entry, const json_t *root)
{
	struct message msg = { .type = MSG_CONFIG };

	msg.u.config.version = (uint64_t)get_integer(root, "version");
	msg.u.config.json = get_text(root, "json");
	send_message(entry, &msg);
}

static void send_task_start(struct fakeentry *entry, const json_t *root)
{
	struct message msg = { .type = MSG_TASK_START };
	struct msg_task_start *m = &msg.u.task_start;

	m->partition = (uint32_t)get_integer(root, "partition");
	m->epoch = (uint64_t)get_integer(root, "epoch");
	str_copy(m->job, get_text(root, "job"), sizeof(m->job));
	m->run = (uint64_t)get_integer(root, "run");
	m->reserved.cpu_milli = (uint32_t)get_integer(root, "cpu_milli");
	m->reserved.mem_mb = (uint32_t)get_integer(root, "mem_mb");
	m->reserved.accel = (uint32_t)get_integer(root, "accel");
	m->checkpoint = get_text(root, "checkpoint");
	m->command = get_text(root, "command");
	m->urgent = (uint32_t)get_integer(root, "urgent");
	m->eviction_pause_ms = (uint32_t)get_integer(root, "pause_ms");
	send_message(entry, &msg);
}

static void send_task_stop(struct fakeentry *entry, const json_t *root)
{
	struct message msg = { .type = MSG_TASK_STOP };
	struct msg_task_stop *m = &msg.u.task_stop;

	m->partition = (uint32_t)get_integer(root, "partition");
	m->epoch = (uint64_t)get_integer(root, "epoch");
	str_copy(m->job, get_text(root, "job"), sizeof(m->job));
	m->run = (uint64_t)get_integer(root, "run");
	m->mode = strcmp(get_text(root, "mode"), "cancel") ? STOP_EVICT
							   : STOP_CANCEL;
	send_message(entry, &msg);
}

static void send_owner(struct fakeentry *entry, const json_t *root)
{
	struct message msg = { .type = MSG_OWNER };

	msg.u.owner.partition = (uint32_t)get_integer(root, "partition");
	msg.u.owner.epoch = (uint64_t)get_integer(root, "epoch");
	str_copy(msg.u.owner.entry, "fakeentry", ID_SIZE);
	send_message(entry, &msg);
}

static const struct {
	const char *type;
	void (*send)(struct fakeentry *entry, const json_t *root);
} senders[] = {
	{ "request", send_request },	   { "cancel", send_cancel },
	{ "credit", send_credit },	   { "config", send_config },
	{ "task-start", send_task_start }, { "task-stop", send_task_stop },
	{ "owner", send_owner },
};

static void set_flag(const json_t *set, const char *key, int *flag)
{
	const json_t *value = json_object_get(set, key);

	if (value)
		*flag = json_is_true(value);
}

static void handle_line(struct fakeentry *entry, const char *line, size_t len)
{
	json_t *root = json_loadb(line, len, 0, NULL);
	const json_t *set = json_object_get(root, "set");
	size_t i;

	set_flag(set, "ack_announces", &entry->ack_announces);
	set_flag(set, "ack_reports", &entry->ack_reports);
	set_flag(set, "credit", &entry->grant_credit);
	if (json_object_get(set, "epoch"))
		entry->owner_epoch = get_integer(set, "epoch");
	if (json_object_get(set, "config_version"))
		entry->config_version = get_integer(set, "config_version");
	if (json_object_get(set, "other")) {
		entry->directory_hash++;
		str_copy(entry->other_entry.id, "other", ID_SIZE);
		str_copy(entry->other_entry.address, get_text(set, "other"),
			 ID_SIZE);
	}
	for (i = 0; i < sizeof(senders) / sizeof(senders[0]); i++)
		if (!strcmp(senders[i].type, get_text(root, "send")))
			senders[i].send(entry, root);
	json_decref(root);
}

static void on_input(evutil_socket_t fd, short what, void *arg)
{
	struct fakeentry *entry = arg;
	ssize_t read_len = read(fd, entry->input_buffer + entry->input_len,
				sizeof(entry->input_buffer) - entry->input_len);
	char *end;

	if (read_len <= 0) {
		if (read_len == 0 || errno != EINTR)
			loop_break(entry->loop);
		return;
	}
	entry->input_len += (size_t)read_len;
	while ((end = memchr(entry->input_buffer, '\n', entry->input_len))) {
		size_t len = (size_t)(end - entry->input_buffer) + 1;

		handle_line(entry, entry->input_buffer, len);
		entry->input_len -= len;
		memmove(entry->input_buffer, entry->input_buffer + len,
			entry->input_len);
	}
}

static void print_message(json_t *root, const char *peer,
			  enum message_type type)
{
	json_object_set_new(root, "type", json_string(message_type_name(type)));
	json_object_set_new(root, "peer", json_string(peer));
	json_dumpf(root, stdout, JSON_COMPACT);
	fputc('\n', stdout);
	fflush(stdout);
	json_decref(root);
}

static json_t *on_announce(struct fakeentry *entry,
			   const struct msg_announce *m)
{
	struct message ack = { .type = MSG_ANNOUNCE_ACK };

	str_copy(ack.u.announce_ack.entry, "fake",
		 sizeof(ack.u.announce_ack.entry));
	ack.u.announce_ack.incarnation = (uint64_t)getpid();
	ack.u.announce_ack.seq = m->seq;
	ack.u.announce_ack.config_version = (uint64_t)entry->config_version;
	ack.u.announce_ack.directory_hash = (uint64_t)entry->directory_hash;
	if (m->directory_hash != (uint64_t)entry->directory_hash) {
		ack.u.announce_ack.entries.items = &entry->other_entry;
		ack.u.announce_ack.entries.count = 1;
	}
	if (entry->ack_announces)
		send_message(entry, &ack);
	return json_pack("{s:s, s:I, s:s, s:i, s:i, s:i}", "agent", m->agent,
			 "config_version", (json_int_t)m->config_version,
			 "state", agent_state_name(m->state), "in_flight",
			 (int)m->load.in_flight, "connections",
			 (int)m->load.connections, "mem_mb",
			 (int)m->load.used.mem_mb);
}

static json_t *on_task_report(struct fakeentry *entry,
			      const struct msg_task_report *m)
{
	struct message owner = { .type = MSG_OWNER };
	struct message ack = { .type = MSG_TASK_REPORT_ACK };
	json_t *tasks = json_array();
	size_t i;

	owner.u.owner.partition = m->partition;
	owner.u.owner.epoch = (uint64_t)entry->owner_epoch;
	ack.u.task_report_ack.seq = m->seq;
	ack.u.task_report_ack.partition = m->partition;
	ack.u.task_report_ack.epoch = (uint64_t)entry->owner_epoch;
	ack.u.task_report_ack.ends_recorded = 1;
	if (entry->ack_reports) {
		send_message(entry, &owner);
		send_message(entry, &ack);
	}
	for (i = 0; i < m->tasks.count; i++) {
		const struct task_status *t = &m->tasks.items[i];

		json_array_append_new(
			tasks,
			json_pack("{s:s, s:I, s:s, s:s, s:s}", "job", t->job,
				  "run", (json_int_t)t->run, "state",
				  task_state_name(t->state), "checkpoint",
				  t->checkpoint, "detail", t->detail));
	}
	return json_pack("{s:I, s:i, s:I, s:o}", "seq", (json_int_t)m->seq,
			 "partition", (int)m->partition, "epoch",
			 (json_int_t)m->epoch, "tasks", tasks);
}

static json_t *on_response_body(struct fakeentry *entry,
				const struct msg_response_body *m)
{
	struct message credit = { .type = MSG_CREDIT };

	credit.u.credit.request_id = m->request_id;
	credit.u.credit.bytes = (uint32_t)m->data.len;
	if (entry->grant_credit)
		send_message(entry, &credit);
	return json_pack("{s:I, s:I, s:s%}", "request",
			 (json_int_t)m->request_id, "offset",
			 (json_int_t)m->offset, "data",
			 (const char *)m->data.data, m->data.len);
}

static void on_message(void *arg, const char *peer, const struct message *msg)
{
	struct fakeentry *entry = arg;
	json_t *root = NULL;

	str_copy(entry->peer, peer, sizeof(entry->peer));
	switch (msg->type) {
	case MSG_ANNOUNCE:
		root = on_announce(entry, &msg->u.announce);
		break;
	case MSG_TASK_REPORT:
		root = on_task_report(entry, &msg->u.task_report);
		break;
	case MSG_RESPONSE_BODY:
		root = on_response_body(entry, &msg->u.response_body);
		break;
	case MSG_REFUSED:
		root = json_pack("{s:I, s:s}", "request",
				 (json_int_t)msg->u.refused.request_id,
				 "reason", refusal_name(msg->u.refused.reason));
		break;
	case MSG_RESPONSE:
		root = json_pack("{s:I, s:i, s:i}", "request",
				 (json_int_t)msg->u.response.request_id,
				 "status", (int)msg->u.response.status,
				 "stream", (int)msg->u.response.is_stream);
		break;
	case MSG_RESPONSE_END:
		root = json_pack(
			"{s:I, s:s, s:i, s:I}", "request",
			(json_int_t)msg->u.response_end.request_id, "outcome",
			outcome_name(msg->u.response_end.outcome), "moved",
			(int)msg->u.response_end.upstream_leaving, "total",
			(json_int_t)msg->u.response_end.body_length);
		break;
	case MSG_CONFIG:
		root = json_pack("{s:I}", "version",
				 (json_int_t)msg->u.config.version);
		break;
	default:
		root = json_object();
	}
	print_message(root, peer, msg->type);
}

int main(int argc, char **argv)
{
	struct fakeentry *entry = xcalloc(1, sizeof(*entry));

	if (argc != 2) {
		fprintf(stderr, "usage: fakeentry IP:PORT\n");
		return 2;
	}
	entry->loop = loop_new();
	entry->ack_announces = 1;
	entry->ack_reports = 1;
	entry->grant_credit = 1;
	entry->owner_epoch = 1;
	entry->transport =
		transport_server_new(entry->loop, argv[1], on_message, entry);
	if (!entry->transport)
		return 1;
	entry->input_event = event_new(loop_base(entry->loop), STDIN_FILENO,
				       EV_READ | EV_PERSIST, on_input, entry);
	event_add(entry->input_event, NULL);
	printf("ready\n");
	fflush(stdout);
	loop_run(entry->loop);
	transport_delete(entry->transport);
	event_free(entry->input_event);
	loop_delete(entry->loop);
	free(entry);
	return 0;
}
