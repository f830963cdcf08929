#ifndef CATKINHILL_AGENT_REQUESTS_H
#define CATKINHILL_AGENT_REQUESTS_H

#include "agent_state.h"

/*
 * NAME
 *	agent_requests - passes requests of the entries through the gate to the
 *	upstream
 *
 * NOTES
 *	A request id is unique for one entry only, so a request is identified
 *	by its link and id. A request is sent to the upstream at most once. One
 *	whose caller has gone keeps its slot until the upstream has answered,
 *	at most AGENT_REQUEST_DRAIN_MAX_MS, because an upstream may continue a
 *	request after its connection is closed.
 */
#define AGENT_BODY_MAX_BYTES (16 * 1024 * 1024)
#define AGENT_BODIES_MAX_BYTES (32 * 1024 * 1024)
#define AGENT_WINDOW_MAX_BYTES (256 * 1024)
#define AGENT_REQUEST_DRAIN_MAX_MS 10000
#define AGENT_UPSTREAM_RETRY_DELAY_MS 1000
#define AGENT_SEND_RETRY_DELAY_MS 20

int agent_requests_start(struct agent *agent);
void agent_requests_stop(struct agent *agent);

void agent_requests_on_request(struct agent_link *link,
			       const struct msg_request *msg);
void agent_requests_on_body(struct agent_link *link,
			    const struct msg_request_body *msg);
void agent_requests_on_cancel(struct agent_link *link,
			      const struct msg_cancel *msg);
void agent_requests_on_credit(struct agent_link *link,
			      const struct msg_credit *msg);

/* Cancels all requests of the link's entry; reason is for the log. */
void agent_requests_cancel_link(struct agent_link *link, const char *reason);

/* Sets the timer to the next deadline. */
void agent_requests_arm_timer(struct agent *agent);

/* Starts or refuses queued requests that the gate releases. */
void agent_requests_serve_queue(struct agent *agent);

/*
 * Ends streams as moved, so that their entries continue them at another
 * upstream; the gate must be closed.
 */
void agent_requests_move_streams(struct agent *agent);

/* RETURN VALUE: number of requests whose entry waits for the response. */
uint32_t agent_requests_count_awaited(const struct agent *agent);

#endif
