#include "transport.h"

#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <zmq.h>

#include "errors.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

/*
 * ZeroMQ closes the connection of a peer that sends more than
 * ZMQ_MAXMSGSIZE and does not report it. Frames between FRAME_MAX_BYTES and
 * this limit still arrive and are counted.
 */
#define ZMQ_FRAME_MAX_BYTES (2 * FRAME_MAX_BYTES)
/*
 * Messages per queue and peer. Bodies are limited further by the credit
 * of their requests (256 KiB each), so that 1024 small messages and the
 * bodies of 64 connections stay below 20 MB.
 */
#define QUEUE_MESSAGES_MAX 1024
/* Messages received per iteration of the loop; more would delay timers. */
#define RECEIVE_BATCH_MAX 64
#define LINGER_MS 100
/*
 * Agents must be connected to an entry within 2 s of its start, so they may
 * not wait longer than 1 s between two attempts to connect.
 */
#define RECONNECT_MIN_MS 50
#define RECONNECT_MAX_MS 1000
#define CONNECT_TIMEOUT_MS 2000
#define HANDSHAKE_TIMEOUT_MS 5000
#define HEARTBEAT_INTERVAL_MS 2000
#define HEARTBEAT_TIMEOUT_MS 5000
#define LISTEN_BACKLOG 1024
#define DROP_LOG_INTERVAL_MS 1000
#define PEER_SIZE 256 /* ZeroMQ limits routing ids to 255 bytes */

struct transport {
	void *socket;
	struct event *readable_event;
	/*
	 * Continues receiving in the next iteration. event_active() would run
	 * the callback again in this iteration, before any timer.
	 */
	struct event *next_batch_timer;
	transport_fn fn;
	void *arg;
	int is_server;
	int is_receiving;
	int is_deleted;
	int has_logged_drop;
	struct mstime drop_logged_at;
	struct transport_stats stats;
	char peer[PEER_SIZE];
};

struct socket_option {
	int name;
	int value;
};

static const struct socket_option common_options[] = {
	{ ZMQ_SNDHWM, QUEUE_MESSAGES_MAX },
	{ ZMQ_RCVHWM, QUEUE_MESSAGES_MAX },
	{ ZMQ_LINGER, LINGER_MS },
	{ ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS },
	{ ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS },
	{ ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS },
	{ ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS },
	{ ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS },
	{ ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS },
	{ ZMQ_HEARTBEAT_TTL, HEARTBEAT_TIMEOUT_MS },
	{ ZMQ_BACKLOG, LISTEN_BACKLOG },
};

static const struct socket_option server_options[] = {
	{ ZMQ_ROUTER_MANDATORY, 1 },
	{ ZMQ_ROUTER_HANDOVER, 1 },
};

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))

static void *context;
static int context_use_count;

static void *context_get(void)
{
	if (!context_use_count) {
		context = zmq_ctx_new();
		if (!context)
			abort();
		zmq_ctx_set(context, ZMQ_IO_THREADS, 1);
	}
	context_use_count++;
	return context;
}

/* The last user blocks for the linger time of the closed sockets. */
static void context_put(void)
{
	if (--context_use_count)
		return;
	while (zmq_ctx_term(context) && errno == EINTR)
		;
	context = NULL;
}

static int set_options(void *socket, const struct socket_option *options,
		       size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (zmq_setsockopt(socket, options[i].name, &options[i].value,
				   sizeof(options[i].value)))
			return ERR_SYSTEM;
	return 0;
}

static int set_all_options(const struct transport *transport,
			   const char *routing_id)
{
	int64_t max = ZMQ_FRAME_MAX_BYTES;

	if (set_options(transport->socket, common_options,
			COUNT(common_options)))
		return ERR_SYSTEM;
	if (zmq_setsockopt(transport->socket, ZMQ_MAXMSGSIZE, &max,
			   sizeof(max)))
		return ERR_SYSTEM;
	if (transport->is_server)
		return set_options(transport->socket, server_options,
				   COUNT(server_options));
	if (zmq_setsockopt(transport->socket, ZMQ_ROUTING_ID, routing_id,
			   strlen(routing_id)))
		return ERR_INVALID;
	return 0;
}

static void transport_free(struct transport *transport)
{
	if (transport->next_batch_timer)
		event_free(transport->next_batch_timer);
	if (transport->readable_event)
		event_free(transport->readable_event);
	if (transport->socket)
		zmq_close(transport->socket);
	context_put();
	free(transport);
}

static int has_input(const struct transport *transport)
{
	int events = 0;
	size_t len = sizeof(events);

	if (zmq_getsockopt(transport->socket, ZMQ_EVENTS, &events, &len))
		return 0;
	return events & ZMQ_POLLIN;
}

/*
 * ZMQ_FD is edge-triggered and every call on the socket consumes the edge, so
 * pending input must be checked for after each of them.
 */
static void schedule_receive(struct transport *transport)
{
	static const struct timeval now;

	if (!transport->is_receiving && has_input(transport))
		event_add(transport->next_batch_timer, &now);
}

static void drop_frame(struct transport *transport, int err, size_t len)
{
	struct mstime now = sysclock_now();

	transport->stats.dropped_in++;
	if (transport->has_logged_drop &&
	    mstime_diff(now, transport->drop_logged_at) < DROP_LOG_INTERVAL_MS)
		return;
	transport->has_logged_drop = 1;
	transport->drop_logged_at = now;
	log_event(EV_FRAME_DROPPED, "peer=%s reason=%s len=%zu dropped=%lld",
		  *transport->peer ? transport->peer : "-", error_name(err),
		  len, (long long)transport->stats.dropped_in);
}

/* Rejects ids that ZeroMQ generated: they start with a zero byte. */
static int read_peer(struct transport *transport, zmq_msg_t *part)
{
	const unsigned char *data = zmq_msg_data(part);
	size_t len = zmq_msg_size(part);
	size_t i;

	*transport->peer = '\0';
	if (!len || len >= PEER_SIZE)
		return ERR_INVALID;
	for (i = 0; i < len; i++)
		if (!isgraph(data[i]) || data[i] == '"')
			return ERR_INVALID;
	memcpy(transport->peer, data, len);
	transport->peer[len] = '\0';
	return 0;
}

static void handle_frame(struct transport *transport, zmq_msg_t *part)
{
	size_t len = zmq_msg_size(part);
	struct message msg;
	int err = message_decode(&msg, zmq_msg_data(part), len);

	if (err) {
		drop_frame(transport, err, len);
		return;
	}
	transport->stats.messages_in++;
	transport->fn(transport->arg, transport->peer, &msg);
	message_clear(&msg);
}

/* Drops the remaining parts of a message that has too many. */
static size_t skip_parts(struct transport *transport, zmq_msg_t *part)
{
	size_t len = 0;

	while (zmq_msg_more(part)) {
		if (zmq_msg_recv(part, transport->socket, ZMQ_DONTWAIT) < 0)
			break;
		len += zmq_msg_size(part);
	}
	transport->stats.bytes_in += (int64_t)len;
	return len;
}

/*
 * Receives one message with all its parts.
 *
 * RETURN VALUE
 *	0, or ERR_UNAVAILABLE when none is waiting.
 */
static int receive(struct transport *transport, zmq_msg_t *part)
{
	int err = 0;
	size_t len;

	if (zmq_msg_recv(part, transport->socket, ZMQ_DONTWAIT) < 0)
		return ERR_UNAVAILABLE;
	if (transport->is_server) {
		err = read_peer(transport, part);
		if (!zmq_msg_more(part)) {
			drop_frame(transport, ERR_MALFORMED, 0);
			return 0;
		}
		if (zmq_msg_recv(part, transport->socket, ZMQ_DONTWAIT) < 0)
			return ERR_UNAVAILABLE;
	}
	len = zmq_msg_size(part);
	transport->stats.bytes_in += (int64_t)len;
	if (!err && !zmq_msg_more(part)) {
		handle_frame(transport, part);
		return 0;
	}
	len += skip_parts(transport, part);
	drop_frame(transport, err ? err : ERR_MALFORMED, len);
	return 0;
}

static void receive_batch(struct transport *transport)
{
	zmq_msg_t part;
	int i;

	zmq_msg_init(&part);
	transport->is_receiving = 1;
	for (i = 0; i < RECEIVE_BATCH_MAX && !transport->is_deleted; i++)
		if (receive(transport, &part))
			break;
	transport->is_receiving = 0;
	zmq_msg_close(&part);
	if (transport->is_deleted)
		transport_free(transport);
	else
		schedule_receive(transport);
}

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	receive_batch(arg);
}

static int add_events(struct transport *transport, struct loop *loop)
{
	struct event_base *base = loop_base(loop);
	size_t len;
	int fd;

	len = sizeof(fd);
	if (zmq_getsockopt(transport->socket, ZMQ_FD, &fd, &len))
		return ERR_SYSTEM;
	transport->next_batch_timer = evtimer_new(base, on_readable, transport);
	transport->readable_event = event_new(base, fd, EV_READ | EV_PERSIST,
					      on_readable, transport);
	if (!transport->next_batch_timer || !transport->readable_event ||
	    event_add(transport->readable_event, NULL))
		return ERR_SYSTEM;
	/* The first edge may have come before the event was added. */
	schedule_receive(transport);
	return 0;
}

static struct transport *transport_new(struct loop *loop, const char *address,
				       const char *routing_id, transport_fn fn,
				       void *arg)
{
	struct transport *transport = xcalloc(1, sizeof(*transport));
	char *endpoint = xstrfmt("tcp://%s", address);
	int err = 0;

	transport->is_server = !routing_id;
	transport->fn = fn;
	transport->arg = arg;
	transport->socket = zmq_socket(
		context_get(), transport->is_server ? ZMQ_ROUTER : ZMQ_DEALER);
	if (!transport->socket || set_all_options(transport, routing_id))
		err = ERR_SYSTEM;
	else if (transport->is_server)
		err = zmq_bind(transport->socket, endpoint);
	else
		err = zmq_connect(transport->socket, endpoint);
	if (!err)
		err = add_events(transport, loop);
	free(endpoint);
	if (!err)
		return transport;
	transport_free(transport);
	return NULL;
}

struct transport *transport_server_new(struct loop *loop, const char *address,
				       transport_fn fn, void *arg)
{
	return transport_new(loop, address, NULL, fn, arg);
}

struct transport *transport_client_new(struct loop *loop, const char *address,
				       const char *routing_id, transport_fn fn,
				       void *arg)
{
	struct transport *transport;

	transport = transport_new(loop, address, routing_id, fn, arg);
	if (transport)
		str_copy(transport->peer, address, sizeof(transport->peer));
	return transport;
}

void transport_delete(struct transport *transport)
{
	if (!transport)
		return;
	if (transport->is_receiving)
		transport->is_deleted = 1;
	else
		transport_free(transport);
}

static void free_frame(void *data, void *hint)
{
	free(data);
}

static int send_error(void)
{
	return errno == EHOSTUNREACH ? ERR_UNAVAILABLE : ERR_FULL;
}

static int send_frame(struct transport *transport, const char *peer,
		      unsigned char *data, size_t len)
{
	zmq_msg_t part;
	int err;

	if (transport->is_server &&
	    zmq_send(transport->socket, peer, strlen(peer),
		     ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0) {
		err = send_error();
		free(data);
		return err;
	}
	zmq_msg_init_data(&part, data, len, free_frame, NULL);
	if (zmq_msg_send(&part, transport->socket, ZMQ_DONTWAIT) < 0) {
		err = send_error();
		zmq_msg_close(&part);
		return err;
	}
	return 0;
}

int transport_send(struct transport *transport, const char *peer,
		   const struct message *msg)
{
	unsigned char *data;
	size_t len;
	int err = message_encode(msg, &data, &len);

	if (err)
		log_event(EV_MESSAGE_REFUSED, "peer=%s type=%s reason=%s",
			  peer ? peer : "-", message_type_name(msg->type),
			  error_name(err));
	else
		err = send_frame(transport, peer, data, len);
	if (err) {
		transport->stats.refused_out++;
	} else {
		transport->stats.messages_out++;
		transport->stats.bytes_out += (int64_t)len;
	}
	schedule_receive(transport);
	return err;
}

const struct transport_stats *transport_stats(const struct transport *transport)
{
	return &transport->stats;
}
