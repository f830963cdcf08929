#include "httpconn.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "mem.h"
#include "sysclock.h"
#include "tcp.h"

/* evhttp's default would end streams after 50 s; each call has a timer. */
#define NO_TIMEOUT_S (365 * 24 * 3600)
#define RESPONSE_HEAD_MAX_BYTES (64 * 1024)

/* evhttp writes a request only once the connection is established. */
static void on_output(struct evbuffer *buf, const struct evbuffer_cb_info *info,
		      void *arg)
{
	struct connection *conn = arg;

	if (info->n_added)
		conn->has_sent = 1;
}

static void connection_free(struct connection *conn)
{
	list_del(&conn->node);
	evhttp_connection_set_closecb(conn->evcon, NULL, NULL);
	evbuffer_remove_cb(
		bufferevent_get_output(
			evhttp_connection_get_bufferevent(conn->evcon)),
		on_output, conn);
	evhttp_connection_free(conn->evcon);
	free(conn);
}

/* Runs from a timer: evhttp may still use a connection in its callback. */
static void free_closed(void *arg)
{
	struct httpc_pool *pool = arg;

	while (!list_empty(&pool->closed))
		connection_free(
			list_entry(pool->closed.next, struct connection, node));
}

static void connection_free_later(struct connection *conn)
{
	struct httpc_pool *pool = conn->pool;

	list_del(&conn->node);
	list_add_tail(&pool->closed, &conn->node);
	loop_timer_start(pool->free_timer, 0);
}

static void on_close(struct evhttp_connection *evcon, void *arg)
{
	struct connection *conn = arg;

	if (conn->is_closed)
		return;
	conn->is_closed = 1;
	if (conn->call)
		return;
	conn->pool->idle_count--;
	connection_free_later(conn);
}

static struct connection *connection_new(struct httpc_pool *pool)
{
	struct connection *conn;
	struct evhttp_connection *evcon;

	evcon = evhttp_connection_base_new(loop_base(pool->loop), NULL,
					   pool->host, pool->port);
	if (!evcon)
		return NULL;
	evhttp_connection_set_timeout(evcon, NO_TIMEOUT_S);
	evhttp_connection_set_max_headers_size(evcon, RESPONSE_HEAD_MAX_BYTES);
	/*
	 * EVHTTP_CON_READ_ON_WRITE_ERROR would deliver an early response, but
	 * with it libevent 2.1.12 never reports a connection that breaks
	 * inside a chunk.
	 */
	conn = xcalloc(1, sizeof(*conn));
	list_add_tail(&pool->active, &conn->node);
	conn->pool = pool;
	conn->evcon = evcon;
	evhttp_connection_set_closecb(evcon, on_close, conn);
	evbuffer_add_cb(bufferevent_get_output(
				evhttp_connection_get_bufferevent(evcon)),
			on_output, conn);
	return conn;
}

static int connection_fd(const struct connection *conn)
{
	return bufferevent_getfd(
		evhttp_connection_get_bufferevent(conn->evcon));
}

/*
 * Whether the server has closed the connection, or sent unexpected bytes, which
 * the loop has not seen yet.
 */
static int is_stale(const struct connection *conn)
{
	char byte;
	ssize_t len =
		recv(connection_fd(conn), &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return len >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

int connection_is_open(const struct connection *conn)
{
	struct sockaddr_storage peer;
	socklen_t len = sizeof(peer);
	int fd = connection_fd(conn);

	return fd >= 0 && !getpeername(fd, (struct sockaddr *)&peer, &len);
}

static int is_connected(const struct connection *conn)
{
	char byte;
	ssize_t len;

	if (conn->is_closed || !connection_is_open(conn))
		return 0;
	len = recv(connection_fd(conn), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return len > 0 ||
	       (len < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

int httpc_pool_is_connected(const struct httpc_pool *pool)
{
	const struct list *pos;

	list_for_each (pos, &pool->idle)
		if (is_connected(list_entry(pos, struct connection, node)))
			return 1;
	list_for_each (pos, &pool->active)
		if (is_connected(list_entry(pos, struct connection, node)))
			return 1;
	return 0;
}

struct connection *connection_reuse(struct httpc_pool *pool)
{
	struct connection *conn;

	while (!list_empty(&pool->idle)) {
		conn = list_entry(pool->idle.next, struct connection, node);
		list_del(&conn->node);
		pool->idle_count--;
		if (!is_stale(conn)) {
			tcp_no_delay(connection_fd(conn));
			list_add_tail(&pool->active, &conn->node);
			return conn;
		}
		conn->is_closed = 1;
		connection_free_later(conn);
	}
	return NULL;
}

struct connection *connection_acquire(struct httpc_pool *pool)
{
	struct connection *conn = connection_reuse(pool);

	return conn ? conn : connection_new(pool);
}

/* Bytes after the end of a response must not be taken for the next one. */
static int has_unread_input(const struct connection *conn)
{
	struct bufferevent *bev =
		evhttp_connection_get_bufferevent(conn->evcon);

	return evbuffer_get_length(bufferevent_get_input(bev)) > 0;
}

void connections_drop_idle(struct httpc_pool *pool, struct mstime since)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &pool->idle) {
		struct connection *conn =
			list_entry(pos, struct connection, node);

		if (!mstime_before(conn->answered_at, since))
			continue;
		pool->idle_count--;
		conn->is_closed = 1;
		connection_free_later(conn);
	}
}

void connection_release(struct connection *conn, int reusable)
{
	struct httpc_pool *pool = conn->pool;

	conn->call = NULL;
	if (!reusable || conn->is_closed || has_unread_input(conn) ||
	    pool->idle_count >= pool->max_idle) {
		conn->is_closed = 1;
		connection_free_later(conn);
		return;
	}
	if (!conn->answered_at.ms)
		tcp_detect_silence(connection_fd(conn));
	conn->answered_at = sysclock_now();
	list_del(&conn->node);
	list_add_head(&pool->idle, &conn->node);
	pool->idle_count++;
}

void connections_init(struct httpc_pool *pool)
{
	list_init(&pool->idle);
	list_init(&pool->active);
	list_init(&pool->closed);
	list_init(&pool->calls);
	pool->free_timer = loop_timer_new(pool->loop, free_closed, pool);
}

void connections_free(struct httpc_pool *pool)
{
	while (!list_empty(&pool->idle))
		connection_free(
			list_entry(pool->idle.next, struct connection, node));
	free_closed(pool);
	loop_timer_delete(pool->free_timer);
}
