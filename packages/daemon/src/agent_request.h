#ifndef CATKINHILL_AGENT_REQUEST_H
#define CATKINHILL_AGENT_REQUEST_H

#include <event2/buffer.h>

#include "agent_state.h"

/*
 * NAME
 *	agent_request - one request: its copy, its answer, its end
 */
enum request_stage {
	REQUEST_RECEIVING_BODY, /* waits for the rest of its body */
	REQUEST_QUEUED,		/* in the gate's queue */
	REQUEST_RUNNING,	/* sent to the upstream */
	REQUEST_FLUSHING	/* the upstream is done, the entry is not */
};

struct agent_request {
	struct list node;
	struct agent *agent;
	struct agent_link *link; /* NULL when nobody waits any more */
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
	int send_blocked;	      /* the link's queue was full */
	int64_t window_bytes;	      /* bytes that the entry accepts */
	uint64_t response_bytes_sent; /* bytes of the answer */
	struct evbuffer *unsent_body;
	enum outcome outcome; /* in REQUEST_FLUSHING */
	struct mstime drain_until;
};

struct agent_request *agent_request_new(struct agent_link *link,
					const struct msg_request *msg);

/* Gives back all that the request holds; ends its call. */
void agent_request_delete(struct agent_request *request);

/* Sends the request, which holds a slot, to the upstream. */
void agent_request_run(struct agent_request *request);

/* Proves to the entry that the request did not run, and deletes it. */
void agent_request_refuse(struct agent_request *request, enum refusal reason);

/*
 * Ends the request towards the entry without a whole answer. The request is
 * deleted, or drains without an entry.
 */
void agent_request_abort(struct agent_request *request, int moved,
			 const char *reason);

/* Sends what the window and the link allow; may delete the request. */
void agent_request_flush(struct agent_request *request);

#endif
