#include "msglink_conn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/event.h>

#include "errors.h"
#include "log.h"
#include "mem.h"
#include "message.h"
#include "tcp.h"

#define HEADER_BYTES 4
/* Read at a time; more would delay timers. */
#define READ_BYTES (16 * 1024)
#define QUEUE_MAX_BYTES (2 * 1024 * 1024)

struct msglink_conn {
	int fd;
	struct event *read_event, *write_event;
	const struct msglink_conn_handlers *handlers;
	void *owner;
	struct evbuffer *output;
	unsigned char *input; /* the start of a frame */
	size_t input_len;
	int is_connected;
	int is_receiving;
	int is_closed;
};

static void conn_free(struct msglink_conn *conn)
{
	evbuffer_free(conn->output);
	free(conn->input);
	free(conn);
}

void msglink_conn_close(struct msglink_conn *conn)
{
	if (!conn || conn->is_closed)
		return;
	if (conn->is_connected)
		evbuffer_write(conn->output, conn->fd);
	event_free(conn->read_event);
	event_free(conn->write_event);
	close(conn->fd);
	conn->is_closed = 1;
	if (!conn->is_receiving)
		conn_free(conn);
}

static int is_transient(int error)
{
	return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

static size_t frame_length(const unsigned char *data)
{
	uint32_t length;

	memcpy(&length, data, sizeof(length));
	return ntohl(length);
}

/*
 * Passes complete frames to the owner.
 *
 * RETURN VALUE
 *	0, or ERR_TOO_LARGE; *used is set to the number of bytes consumed.
 */
static int handle_frames(struct msglink_conn *conn, const unsigned char *data,
			 size_t len, size_t *used)
{
	*used = 0;
	while (!conn->is_closed && len - *used >= HEADER_BYTES) {
		size_t frame_len = frame_length(data + *used);

		if (frame_len > FRAME_MAX_BYTES) {
			log_event(EV_FRAME_DROPPED,
				  "peer=- reason=%s len=%zu dropped=1",
				  error_name(ERR_TOO_LARGE), frame_len);
			return ERR_TOO_LARGE;
		}
		if (len - *used < HEADER_BYTES + frame_len)
			break;
		conn->handlers->on_frame(
			conn->owner, data + *used + HEADER_BYTES, frame_len);
		*used += HEADER_BYTES + frame_len;
	}
	return 0;
}

/* Frames mostly arrive whole and are handled where they were read. */
static int handle_input(struct msglink_conn *conn, const unsigned char *data,
			size_t len)
{
	unsigned char *joined = NULL;
	size_t used;
	int err;

	if (conn->input_len) {
		joined = xrealloc(conn->input, conn->input_len + len);
		memcpy(joined + conn->input_len, data, len);
		data = joined;
		len += conn->input_len;
		conn->input = NULL;
		conn->input_len = 0;
	}
	err = handle_frames(conn, data, len, &used);
	if (!err && used < len) {
		conn->input_len = len - used;
		conn->input = xmemdup(data + used, conn->input_len);
	}
	free(joined);
	return err;
}

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	unsigned char data[READ_BYTES];
	struct msglink_conn *conn = arg;
	ssize_t len = recv(fd, data, sizeof(data), 0);
	int err = 0;

	if (len < 0 && is_transient(errno))
		return;
	if (len > 0) {
		conn->is_receiving = 1;
		err = handle_input(conn, data, (size_t)len);
		conn->is_receiving = 0;
		if (conn->is_closed) {
			conn_free(conn);
			return;
		}
	}
	if (len <= 0 || err)
		conn->handlers->on_failed(conn->owner);
}

static int connect_error(const struct msglink_conn *conn)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &error, &len))
		return errno;
	return error;
}

static void on_writable(evutil_socket_t fd, short what, void *arg)
{
	struct msglink_conn *conn = arg;

	if (!conn->is_connected) {
		if (connect_error(conn)) {
			conn->handlers->on_failed(conn->owner);
			return;
		}
		conn->is_connected = 1;
		event_add(conn->read_event, NULL);
		conn->handlers->on_connected(conn->owner);
	}
	if (evbuffer_get_length(conn->output) &&
	    evbuffer_write(conn->output, fd) < 0 && !is_transient(errno)) {
		conn->handlers->on_failed(conn->owner);
		return;
	}
	if (!evbuffer_get_length(conn->output))
		event_del(conn->write_event);
}

struct msglink_conn *msglink_conn_new(
	struct loop *loop, int fd, int is_connected,
	const struct msglink_conn_handlers *handlers, void *owner)
{
	struct msglink_conn *conn = xcalloc(1, sizeof(*conn));
	struct event_base *base = loop_base(loop);

	tcp_no_delay(fd);
	tcp_detect_silence(fd);
	conn->fd = fd;
	conn->handlers = handlers;
	conn->owner = owner;
	conn->is_connected = is_connected;
	conn->output = evbuffer_new();
	conn->read_event =
		event_new(base, fd, EV_READ | EV_PERSIST, on_readable, conn);
	conn->write_event =
		event_new(base, fd, EV_WRITE | EV_PERSIST, on_writable, conn);
	if (!conn->output || !conn->read_event || !conn->write_event)
		abort();
	event_add(is_connected ? conn->read_event : conn->write_event, NULL);
	return conn;
}

/* RETURN VALUE: number of bytes sent, which may be 0, or -1. */
static ssize_t send_now(struct msglink_conn *conn, struct iovec *parts,
			int count)
{
	ssize_t sent;

	if (!conn->is_connected || evbuffer_get_length(conn->output))
		return 0;
	sent = writev(conn->fd, parts, count);
	return sent < 0 && is_transient(errno) ? 0 : sent;
}

int msglink_conn_send(struct msglink_conn *conn, const void *data, size_t len)
{
	uint32_t header = htonl((uint32_t)len);
	struct iovec parts[] = { { &header, HEADER_BYTES },
				 { (void *)data, len } };
	size_t queued = evbuffer_get_length(conn->output);
	ssize_t sent;
	size_t i;

	if (queued + HEADER_BYTES + len > QUEUE_MAX_BYTES)
		return ERR_FULL;
	sent = send_now(conn, parts, 2);
	if (sent < 0)
		return ERR_UNAVAILABLE;
	if ((size_t)sent == HEADER_BYTES + len)
		return 0;
	for (i = 0; i < 2; i++) {
		size_t done = (size_t)sent < parts[i].iov_len
				      ? (size_t)sent
				      : parts[i].iov_len;

		evbuffer_add(conn->output, (char *)parts[i].iov_base + done,
			     parts[i].iov_len - done);
		sent -= (ssize_t)done;
	}
	event_add(conn->write_event, NULL);
	return 0;
}
