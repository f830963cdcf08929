#include "httplimit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "errors.h"
#include "log.h"
#include "mem.h"
#include "metrics.h"
#include "sysclock.h"

/* Read ahead from a connection whose request is being carried out. */
#define READ_AHEAD_BYTES 16384
/* Parts of buffers that stay unused, mostly of chunked bodies. */
#define RECEIVED_FACTOR 3
/* What evhttp allocates for a header, however short. */
#define LINE_BYTES 128
/* More lines than this are not in the head: evhttp takes 32 KiB of headers. */
#define LINES_MAX 8192
#define EXTENTS_MAX 64
/* Body, record, and the call of the store that writes it. */
#define REQUEST_FACTOR 6
#define SWEEP_INTERVAL_MS 1000
#define SHORTAGE_END_MS 5000
#define LABELS_SIZE 64

struct conn {
	struct list new_node;
	struct httplimit *limit;
	struct budget_member member;
	struct bufferevent *bev;
	int fd;
	int is_closing;
	size_t lines; /* of the request so far, at most LINES_MAX */
	httplimit_fn on_close;
	void *on_close_arg;
};

struct httplimit {
	struct event_base *base;
	struct budget budget;
	const char *door;
	size_t request_bytes;
	struct list new_conns; /* of conn.new_node, until on_accepted() */
	struct event *accepted;
	struct loop_timer *sweep_timer;
	struct conn **conns; /* by descriptor */
	size_t conns_size;
	struct conn *reading; /* whose input is being added to */
	int is_short;	      /* connections are being closed */
	struct mstime closed_at;
	struct metric closed, refused;
	char labels[LABELS_SIZE];
};

static struct conn *conn_find(struct httplimit *limit,
			      struct evhttp_connection *evcon)
{
	int fd = evcon ? bufferevent_getfd(
				 evhttp_connection_get_bufferevent(evcon))
		       : -1;

	return fd >= 0 && (size_t)fd < limit->conns_size ? limit->conns[fd]
							 : NULL;
}

static size_t received(const struct conn *conn)
{
	return evbuffer_get_length(bufferevent_get_input(conn->bev));
}

static void note_shortage(struct httplimit *limit, const char *reason)
{
	limit->closed_at = sysclock_now();
	if (limit->is_short)
		return;
	limit->is_short = 1;
	log_event(EV_CLIENTS_OVER,
		  "door=%s reason=%s bytes=%zu connections=%zu busy=%zu",
		  limit->door, reason, limit->budget.bytes, limit->budget.count,
		  limit->budget.busy_count);
}

/*
 * Frees what the connection holds before others read more: many connections
 * may be readable in one turn of the loop. evhttp is using the one that is
 * being read, which ends when evhttp has returned.
 */
static void close_member(struct httplimit *limit, struct budget_member *member,
			 const char *reason)
{
	struct conn *conn = list_entry(member, struct conn, member);

	note_shortage(limit, reason);
	limit->closed.value++;
	conn->is_closing = 1;
	budget_remove(&limit->budget, member);
	evbuffer_drain(bufferevent_get_input(conn->bev), received(conn));
	bufferevent_trigger_event(
		conn->bev, BEV_EVENT_READING | BEV_EVENT_EOF,
		conn == limit->reading ? BEV_TRIG_DEFER_CALLBACKS : 0);
}

static void enforce(struct httplimit *limit)
{
	while (budget_is_over(&limit->budget)) {
		struct budget_member *member =
			budget_largest(&limit->budget, sysclock_now());

		if (!member)
			return;
		close_member(limit, member, "held");
	}
}

/* Lines that end in the last len bytes; after EXTENTS_MAX parts, all of them.
 */
static size_t count_lines(struct evbuffer *buffer, size_t len)
{
	struct evbuffer_iovec extents[EXTENTS_MAX];
	struct evbuffer_ptr start;
	size_t lines = 0;
	int i, count;

	evbuffer_ptr_set(buffer, &start, evbuffer_get_length(buffer) - len,
			 EVBUFFER_PTR_SET);
	count = evbuffer_peek(buffer, -1, &start, extents, EXTENTS_MAX);
	if (count > EXTENTS_MAX)
		return len;
	for (i = 0; i < count; i++) {
		const char *at = extents[i].iov_base;
		const char *end = at + extents[i].iov_len;

		while ((at = memchr(at, '\n', (size_t)(end - at)))) {
			at++;
			lines++;
		}
	}
	return lines;
}

/* RETURN VALUE: bytes to hold for len bytes more at the end of the input. */
static size_t cost(struct conn *conn, size_t len)
{
	size_t lines = conn->lines;

	if (len && lines < LINES_MAX) {
		conn->lines +=
			count_lines(bufferevent_get_input(conn->bev), len);
		if (conn->lines > LINES_MAX)
			conn->lines = LINES_MAX;
	}
	return RECEIVED_FACTOR * len + LINE_BYTES * (conn->lines - lines);
}

static void on_input(struct evbuffer *buffer,
		     const struct evbuffer_cb_info *info, void *arg)
{
	struct conn *conn = arg;

	(void)buffer;
	if (!info->n_added || conn->is_closing || conn->member.is_busy)
		return;
	budget_hold(&conn->limit->budget, &conn->member,
		    conn->member.bytes + cost(conn, info->n_added),
		    sysclock_now());
	conn->limit->reading = conn;
	enforce(conn->limit);
	conn->limit->reading = NULL;
}

static void on_closed(struct evhttp_connection *evcon, void *arg)
{
	struct conn *conn = arg;
	struct httplimit *limit = conn->limit;

	(void)evcon;
	if (conn->on_close)
		conn->on_close(conn->on_close_arg);
	budget_remove(&limit->budget, &conn->member);
	limit->conns[conn->fd] = NULL;
	free(conn);
}

static void reserve(struct httplimit *limit, size_t fd)
{
	size_t size = limit->conns_size;

	if (fd < size)
		return;
	limit->conns_size = 2 * (fd + 1);
	limit->conns = xrealloc(limit->conns,
				limit->conns_size * sizeof(*limit->conns));
	while (size < limit->conns_size)
		limit->conns[size++] = NULL;
}

/*
 * evhttp has made a connection of each buffer event that it was given, and set
 * it as the argument of the callbacks.
 */
static void on_accepted(evutil_socket_t fd, short what, void *arg)
{
	struct httplimit *limit = arg;
	struct list *pos, *tmp;

	(void)fd;
	(void)what;
	list_for_each_safe (pos, tmp, &limit->new_conns) {
		struct conn *conn = list_entry(pos, struct conn, new_node);
		void *evcon;

		bufferevent_getcb(conn->bev, NULL, NULL, NULL, &evcon);
		conn->fd = bufferevent_getfd(conn->bev);
		list_del(&conn->new_node);
		reserve(limit, (size_t)conn->fd);
		limit->conns[conn->fd] = conn;
		bufferevent_setwatermark(conn->bev, EV_READ, 0,
					 limit->request_bytes);
		evhttp_connection_set_closecb(evcon, on_closed, conn);
		budget_add(&limit->budget, &conn->member, sysclock_now());
	}
	enforce(limit);
}

static struct bufferevent *on_new(struct event_base *base, void *arg)
{
	struct httplimit *limit = arg;
	struct conn *conn = xcalloc(1, sizeof(*conn));

	conn->limit = limit;
	list_init(&conn->member.node);
	conn->bev = bufferevent_socket_new(base, -1, 0);
	if (!conn->bev)
		abort();
	evbuffer_add_cb(bufferevent_get_input(conn->bev), on_input, conn);
	list_add_tail(&limit->new_conns, &conn->new_node);
	event_active(limit->accepted, 0, 0);
	return conn->bev;
}

static void on_sweep(void *arg)
{
	struct httplimit *limit = arg;
	struct mstime now = sysclock_now();
	struct budget_member *member;

	while ((member = budget_overdue(&limit->budget, now)))
		close_member(limit, member, "slow");
	if (limit->is_short &&
	    mstime_diff(now, limit->closed_at) > SHORTAGE_END_MS) {
		limit->is_short = 0;
		log_event(EV_CLIENTS_WITHIN,
			  "door=%s closed=%lld refused=%lld bytes=%zu "
			  "connections=%zu",
			  limit->door, (long long)limit->closed.value,
			  (long long)limit->refused.value, limit->budget.bytes,
			  limit->budget.count);
	}
	loop_timer_start(limit->sweep_timer, SWEEP_INTERVAL_MS);
}

struct httplimit *httplimit_new(struct loop *loop, struct evhttp *http,
				const char *door,
				const struct budget_limits *limits,
				size_t request_bytes, struct metric_set *set)
{
	struct httplimit *limit = xcalloc(1, sizeof(*limit));

	limit->base = loop_base(loop);
	limit->door = door;
	limit->request_bytes = request_bytes;
	snprintf(limit->labels, sizeof(limit->labels), "door=\"%s\"", door);
	limit->closed = (struct metric){
		.name = "catkinhill_clients_closed_total",
		.labels = limit->labels,
		.help = "Connections closed for holding too much for too long.",
	};
	limit->refused = (struct metric){
		.name = "catkinhill_clients_refused_total",
		.labels = limit->labels,
		.help = "Requests refused for want of room to carry them out.",
	};
	metric_register(set, &limit->closed);
	metric_register(set, &limit->refused);
	budget_init(&limit->budget, limits);
	list_init(&limit->new_conns);
	limit->accepted = event_new(limit->base, -1, 0, on_accepted, limit);
	if (!limit->accepted)
		abort();
	limit->sweep_timer = loop_timer_new(loop, on_sweep, limit);
	loop_timer_start(limit->sweep_timer, SWEEP_INTERVAL_MS);
	evhttp_set_bevcb(http, on_new, limit);
	return limit;
}

void httplimit_delete(struct httplimit *limit)
{
	struct list *pos, *tmp;

	if (!limit)
		return;
	list_for_each_safe (pos, tmp, &limit->new_conns)
		free(list_entry(pos, struct conn, new_node));
	list_del(&limit->closed.node);
	list_del(&limit->refused.node);
	event_free(limit->accepted);
	loop_timer_delete(limit->sweep_timer);
	free(limit->conns);
	free(limit);
}

int httplimit_begin(struct httplimit *limit, struct evhttp_connection *evcon,
		    size_t len)
{
	struct conn *conn = conn_find(limit, evcon);
	int err;

	if (!conn)
		return 0;
	bufferevent_setwatermark(conn->bev, EV_READ, 0, READ_AHEAD_BYTES);
	err = budget_begin(&limit->budget, &conn->member,
			   REQUEST_FACTOR * len + received(conn) +
				   LINE_BYTES * conn->lines);
	if (!err)
		return 0;
	/* The clients that send make room before a request is refused. */
	if (limit->budget.busy_count <= limit->budget.limits.busy) {
		enforce(limit);
		if (!conn->is_closing && !budget_is_over(&limit->budget))
			return 0;
	}
	limit->refused.value++;
	note_shortage(limit, "requests");
	return ERR_FULL;
}

void httplimit_on_close(struct httplimit *limit,
			struct evhttp_connection *evcon, httplimit_fn fn,
			void *arg)
{
	struct conn *conn = conn_find(limit, evcon);

	if (!conn)
		return;
	conn->on_close = fn;
	conn->on_close_arg = arg;
}

void httplimit_end(struct httplimit *limit, struct evhttp_connection *evcon)
{
	struct conn *conn = conn_find(limit, evcon);

	if (!conn)
		return;
	conn->on_close = NULL;
	bufferevent_setwatermark(conn->bev, EV_READ, 0, limit->request_bytes);
	conn->lines = 0;
	budget_release(&limit->budget, &conn->member,
		       cost(conn, received(conn)), sysclock_now());
}
