#ifndef CATKINHILL_TRANSPORT_H
#define CATKINHILL_TRANSPORT_H

#include <stdint.h>

#include "metrics.h"
#include "loop.h"
#include "message.h"

/*
 * NAME
 *	transport - messages over ZeroMQ in the event loop
 *
 * NOTES
 *	A server (ROUTER) is bound by an entry; a client (DEALER) connects an
 *	agent to one entry and reconnects automatically. A server identifies
 *	its peers by the routing id that the client chose: "AGENT/INCARNATION".
 *	Frames that cannot be decoded, are too large or of unknown type are
 *	counted, logged (EV_FRAME_DROPPED) and dropped. Queues are bounded;
 *	sending to a full queue fails at once and does not block.
 *	A client queues messages while it is not connected; a server knows no
 *	peer that is not connected. A message that was accepted is lost when
 *	the connection breaks before it is delivered. A second client with the
 *	same routing id replaces the first. Routing ids are 1 to
 *	255 printable ASCII characters without spaces and double quotes;
 *	messages of other peers are dropped. A frame of more than twice
 *	FRAME_MAX_BYTES makes ZeroMQ close the connection, which is not counted.
 *	At most one dropped frame a second is logged.
 */
struct transport;

/* Called for each message; the message is freed after the call. */
typedef void (*transport_fn)(void *arg, const char *peer,
			     const struct message *msg);

struct transport_stats {
	int64_t bytes_in, bytes_out; /* of frames, without ZeroMQ's framing */
	int64_t messages_in, messages_out;
	int64_t dropped_in;  /* frames that could not be decoded */
	int64_t refused_out; /* sends that returned an error */
};

/*
 * RETURN VALUE
 *	NULL when the address cannot be used; address is "ip:port".
 */
struct transport *transport_server_new(struct loop *loop, const char *address,
				       transport_fn fn, void *arg);

/* The peer passed to fn is the address given here. */
struct transport *transport_client_new(struct loop *loop, const char *address,
				       const char *routing_id, transport_fn fn,
				       void *arg);

/*
 * Unsent messages linger for up to 100 ms; the deletion of the last transport
 * of the process blocks until then. May be called in fn.
 */
void transport_delete(struct transport *transport);

/*
 * Queues a message. A server sends it to peer; a client ignores peer.
 *
 * ERRORS
 *	ERR_UNAVAILABLE	a server has no such peer
 *	ERR_FULL	the queue to the peer is full
 *	and those of message_encode()
 */
int transport_send(struct transport *transport, const char *peer,
		   const struct message *msg);

const struct transport_stats *transport_stats(
	const struct transport *transport);

#endif
