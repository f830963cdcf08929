#ifndef CATKINHILL_MSGLINK_H
#define CATKINHILL_MSGLINK_H

#include "loop.h"
#include "message.h"

/*
 * NAME
 *	msglink - messages over TCP in the event loop
 *
 * NOTES
 *	For processes with many links and small messages: a message costs one
 *	system call at each end, and there is no other thread. A client keeps a
 *	connection to one server and reconnects automatically; its first frame
 *	is its id, 1 to 255 printable ASCII characters. A second client with
 *	the same id replaces the first. A frame is its length in 4 bytes, in
 *	network byte order, and a message of wire. Frames that cannot be decoded
 *	are logged (EV_FRAME_DROPPED) and dropped; one that is longer than
 *	FRAME_MAX_BYTES ends its connection. Queues are bounded, and sending
 *	does not block. A message that was accepted is lost when the connection
 *	breaks before it is delivered.
 */
#define MSGLINK_PEER_SIZE 256 /* of an id or address, with its terminator */

struct msglink_server;
struct msglink_client;

/* Called for each message; the message is freed after the call. */
typedef void (*msglink_fn)(void *arg, const char *peer,
			   const struct message *msg);

/*
 * RETURN VALUE
 *	NULL when the address cannot be used; address is "ip:port".
 */
struct msglink_server *msglink_server_new(struct loop *loop,
					  const char *address, msglink_fn fn,
					  void *arg);

/* May be called in fn, as the next one. */
void msglink_server_delete(struct msglink_server *server);

/*
 * Closes the connection of the peer, which connects again if it is alive. For
 * one from which nothing arrives though it should: see
 * msglink_client_restart(). Must not be called in fn.
 */
void msglink_server_disconnect(struct msglink_server *server, const char *peer);

/* The peer passed to fn is the address given here. */
struct msglink_client *msglink_client_new(struct loop *loop,
					  const char *address, const char *id,
					  msglink_fn fn, void *arg);
void msglink_client_delete(struct msglink_client *client);

/*
 * Gives up the connection and makes a new one. For a server that is silent
 * though it should not be: an open connection may stay silent for good.
 */
void msglink_client_restart(struct msglink_client *client);

/*
 * ERRORS
 *	ERR_UNAVAILABLE	there is no connection to the peer; a client that is
 *			connecting queues the message
 *	ERR_FULL	the queue to the peer is full
 *	and those of message_encode()
 */
int msglink_server_send(struct msglink_server *server, const char *peer,
			const struct message *msg);
int msglink_client_send(struct msglink_client *client,
			const struct message *msg);

#endif
