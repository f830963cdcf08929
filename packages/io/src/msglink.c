#include "msglink.h"

#include <ctype.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/listener.h>
#include <event2/util.h>

#include "errors.h"
#include "list.h"
#include "log.h"
#include "mem.h"
#include "msglink_conn.h"

/* Connections of a server; beyond it, the oldest without an id is closed. */
#define PEERS_MAX 512
#define LISTEN_BACKLOG 1024
#define RECONNECT_MIN_MS 50
#define RECONNECT_MAX_MS 1000
#define CONNECT_TIMEOUT_MS 2000

struct msglink_server {
	struct loop *loop;
	struct evconnlistener *listener;
	struct list peers;
	size_t peer_count;
	msglink_fn fn;
	void *arg;
};

struct peer {
	struct list node;
	struct msglink_server *server;
	struct msglink_conn *conn;
	char id[MSGLINK_PEER_SIZE]; /* "" until its first frame */
};

struct msglink_client {
	struct loop *loop;
	struct sockaddr_in address;
	char address_text[MSGLINK_PEER_SIZE];
	char id[MSGLINK_PEER_SIZE];
	msglink_fn fn;
	void *arg;
	struct msglink_conn *conn; /* NULL until the next attempt */
	struct loop_timer *timer;  /* end of an attempt, or the next one */
	int64_t reconnect_ms;
};

static int parse_address(const char *text, struct sockaddr_in *address)
{
	struct sockaddr_storage any;
	int len = sizeof(any);

	if (evutil_parse_sockaddr_port(text, (struct sockaddr *)&any, &len) ||
	    any.ss_family != AF_INET)
		return ERR_INVALID;
	memcpy(address, &any, sizeof(*address));
	return address->sin_port ? 0 : ERR_INVALID;
}

static int id_is_valid(const unsigned char *id, size_t len)
{
	size_t i;

	if (!len || len >= MSGLINK_PEER_SIZE)
		return 0;
	for (i = 0; i < len; i++)
		if (!isgraph(id[i]) || id[i] == '"')
			return 0;
	return 1;
}

static int decode(struct message *msg, const char *peer,
		  const unsigned char *data, size_t len)
{
	int err = message_decode(msg, data, len);

	if (err)
		log_event(EV_FRAME_DROPPED,
			  "peer=%s reason=%s len=%zu dropped=1", peer,
			  error_name(err), len);
	return err;
}

static int send_message(struct msglink_conn *conn, const char *peer,
			const struct message *msg)
{
	unsigned char *data;
	size_t len;
	int err = message_encode(msg, &data, &len);

	if (err) {
		log_event(EV_MESSAGE_REFUSED, "peer=%s type=%s reason=%s", peer,
			  message_type_name(msg->type), error_name(err));
		return err;
	}
	err = msglink_conn_send(conn, data, len);
	free(data);
	return err;
}

static void peer_delete(struct peer *peer)
{
	msglink_conn_close(peer->conn);
	list_del(&peer->node);
	peer->server->peer_count--;
	free(peer);
}

static struct peer *find_peer(const struct msglink_server *server,
			      const char *id)
{
	const struct list *pos;

	list_for_each (pos, &server->peers) {
		struct peer *peer = list_entry(pos, struct peer, node);

		if (!strcmp(peer->id, id))
			return peer;
	}
	return NULL;
}

static void identify(struct peer *peer, const unsigned char *data, size_t len)
{
	char id[MSGLINK_PEER_SIZE];
	struct peer *former;

	if (!id_is_valid(data, len)) {
		log_event(EV_FRAME_DROPPED,
			  "peer=- reason=%s len=%zu dropped=1",
			  error_name(ERR_INVALID), len);
		peer_delete(peer);
		return;
	}
	memcpy(id, data, len);
	id[len] = '\0';
	former = find_peer(peer->server, id);
	if (former)
		peer_delete(former);
	str_copy(peer->id, id, sizeof(peer->id));
}

static void on_peer_frame(void *owner, const unsigned char *data, size_t len)
{
	struct peer *peer = owner;
	struct message msg;

	if (!peer->id[0]) {
		identify(peer, data, len);
		return;
	}
	if (decode(&msg, peer->id, data, len))
		return;
	/* May delete the server, and with it the peer. */
	peer->server->fn(peer->server->arg, peer->id, &msg);
	message_clear(&msg);
}

static void on_peer_failed(void *owner)
{
	peer_delete(owner);
}

static void drop_unidentified(struct msglink_server *server)
{
	struct peer *peer = find_peer(server, "");

	if (peer)
		peer_delete(peer);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *arg)
{
	static const struct msglink_conn_handlers handlers = {
		.on_frame = on_peer_frame,
		.on_failed = on_peer_failed,
	};
	struct msglink_server *server = arg;
	struct peer *peer;

	if (server->peer_count >= PEERS_MAX)
		drop_unidentified(server);
	if (server->peer_count >= PEERS_MAX) {
		close(fd);
		return;
	}
	peer = xcalloc(1, sizeof(*peer));
	peer->server = server;
	list_add_tail(&server->peers, &peer->node);
	server->peer_count++;
	peer->conn = msglink_conn_new(server->loop, fd, 1, &handlers, peer);
}

struct msglink_server *msglink_server_new(struct loop *loop,
					  const char *address, msglink_fn fn,
					  void *arg)
{
	struct msglink_server *server;
	struct sockaddr_in sin;

	if (parse_address(address, &sin))
		return NULL;
	server = xcalloc(1, sizeof(*server));
	server->loop = loop;
	server->fn = fn;
	server->arg = arg;
	list_init(&server->peers);
	server->listener = evconnlistener_new_bind(
		loop_base(loop), on_accept, server,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		LISTEN_BACKLOG, (struct sockaddr *)&sin, sizeof(sin));
	if (server->listener)
		return server;
	free(server);
	return NULL;
}

void msglink_server_delete(struct msglink_server *server)
{
	struct list *pos, *tmp;

	if (!server)
		return;
	evconnlistener_free(server->listener);
	list_for_each_safe (pos, tmp, &server->peers)
		peer_delete(list_entry(pos, struct peer, node));
	free(server);
}

int msglink_server_send(struct msglink_server *server, const char *peer,
			const struct message *msg)
{
	struct peer *found = *peer ? find_peer(server, peer) : NULL;

	return found ? send_message(found->conn, peer, msg) : ERR_UNAVAILABLE;
}

void msglink_server_disconnect(struct msglink_server *server, const char *peer)
{
	struct peer *found = *peer ? find_peer(server, peer) : NULL;

	if (found)
		peer_delete(found);
}

static void connect_later(struct msglink_client *client)
{
	msglink_conn_close(client->conn);
	client->conn = NULL;
	loop_timer_start(client->timer, client->reconnect_ms);
	client->reconnect_ms *= 2;
	if (client->reconnect_ms > RECONNECT_MAX_MS)
		client->reconnect_ms = RECONNECT_MAX_MS;
}

static void on_client_connected(void *owner)
{
	struct msglink_client *client = owner;

	loop_timer_stop(client->timer);
}

static void on_client_frame(void *owner, const unsigned char *data, size_t len)
{
	struct msglink_client *client = owner;
	struct message msg;

	client->reconnect_ms = RECONNECT_MIN_MS;
	if (decode(&msg, client->address_text, data, len))
		return;
	/* May delete the client. */
	client->fn(client->arg, client->address_text, &msg);
	message_clear(&msg);
}

static void on_client_failed(void *owner)
{
	connect_later(owner);
}

static int connect_socket(const struct sockaddr_in *address)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (!connect(fd, (const struct sockaddr *)address, sizeof(*address)) ||
	    errno == EINPROGRESS)
		return fd;
	close(fd);
	return -1;
}

static void start_connect(struct msglink_client *client)
{
	static const struct msglink_conn_handlers handlers = {
		.on_connected = on_client_connected,
		.on_frame = on_client_frame,
		.on_failed = on_client_failed,
	};
	int fd = connect_socket(&client->address);

	if (fd < 0) {
		connect_later(client);
		return;
	}
	client->conn = msglink_conn_new(client->loop, fd, 0, &handlers, client);
	msglink_conn_send(client->conn, client->id, strlen(client->id));
	loop_timer_start(client->timer, CONNECT_TIMEOUT_MS);
}

static void on_client_timer(void *arg)
{
	struct msglink_client *client = arg;

	if (client->conn)
		connect_later(client);
	else
		start_connect(client);
}

struct msglink_client *msglink_client_new(struct loop *loop,
					  const char *address, const char *id,
					  msglink_fn fn, void *arg)
{
	struct msglink_client *client;
	struct sockaddr_in sin;

	if (parse_address(address, &sin) ||
	    !id_is_valid((const unsigned char *)id, strlen(id)))
		return NULL;
	client = xcalloc(1, sizeof(*client));
	client->loop = loop;
	client->address = sin;
	str_copy(client->address_text, address, sizeof(client->address_text));
	str_copy(client->id, id, sizeof(client->id));
	client->fn = fn;
	client->arg = arg;
	client->reconnect_ms = RECONNECT_MIN_MS;
	client->timer = loop_timer_new(loop, on_client_timer, client);
	start_connect(client);
	return client;
}

void msglink_client_delete(struct msglink_client *client)
{
	if (!client)
		return;
	msglink_conn_close(client->conn);
	loop_timer_delete(client->timer);
	free(client);
}

void msglink_client_restart(struct msglink_client *client)
{
	if (!client->conn)
		return;
	msglink_conn_close(client->conn);
	client->conn = NULL;
	start_connect(client);
}

int msglink_client_send(struct msglink_client *client,
			const struct message *msg)
{
	return client->conn
		       ? send_message(client->conn, client->address_text, msg)
		       : ERR_UNAVAILABLE;
}
