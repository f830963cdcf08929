#ifndef CATKINHILL_AGENT_REQUEST_H
#define CATKINHILL_AGENT_REQUEST_H

#include <event2/buffer.h>

#include "agent_state.h"

/*
 * NAME
 *	agent_request - one request, from its arrival to the end of its response
 */
enum request_stage {
	REQUEST_RECEIVING_BODY, /* the rest of its body is still to come */
	REQUEST_QUEUED,		/* in the gate's queue */
	REQUEST_RUNNING,	/* sent to the upstream */
	REQUEST_FLUSHING	/* upstream finished, response not all sent */
};

struct agent_request {
	struct list node;
	struct agent *agent;
	struct agent_link *link; /* NULL when no entry waits for the response */
	struct gate_request gate_request;
	enum request_stage stage;
	uint64_t request_id;
	char trace[ID_SIZE];
	struct mstime deadline;
	struct mstime started_at;

	char *method, *path;
	struct header_list headers;
	unsigned char *body;
	size_t body_len, body_received;

	struct httpc_call *call;
	int head_sent;
	int is_stream;
	int paused;
	int send_blocked;     /* the link's send queue was full */
	int64_t window_bytes; /* that may be sent before the next credit */
	uint64_t response_bytes_sent; /* of its body */
	struct evbuffer *unsent_body;
	enum outcome outcome; /* in REQUEST_FLUSHING */
	struct mstime drain_until;
};

struct agent_request *agent_request_new(struct agent_link *link,
					const struct msg_request *msg);

/* Releases all that the request holds; cancels its call. */
void agent_request_delete(struct agent_request *request);

/* Sends the request, which holds a slot, to the upstream. */
void agent_request_run(struct agent_request *request);

/*
 * Tells the entry that the request was not and will not be run, and deletes
 * the request.
 */
void agent_request_refuse(struct agent_request *request, enum refusal reason);

/*
 * Ends the response with an unknown outcome before it is complete. The request
 * is deleted, or kept without a link until the upstream has answered.
 */
void agent_request_abort(struct agent_request *request, int moved,
			 const char *reason);

/* Sends what the window and the send queue allow; may delete the request. */
void agent_request_flush(struct agent_request *request);

#endif
