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
 *	at most AGENT_DRAIN_MS, because an upstream may continue a request
 *	after its connection is closed.
 */
#define AGENT_BODY_MAX (16 * 1024 * 1024)
#define AGENT_BODIES_MAX (32 * 1024 * 1024)
#define AGENT_WINDOW (256 * 1024)
#define AGENT_DRAIN_MS 10000
#define AGENT_UPSTREAM_PAUSE_MS 1000
#define AGENT_BLOCKED_MS 20

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

/* Cancels all requests of the link's entry. */
void agent_requests_link_silent(struct agent_link *link);

/* Sets the timer to the next deadline. */
void agent_requests_arm(struct agent *agent);

/* Starts or refuses queued requests that the gate releases. */
void agent_requests_pump(struct agent *agent);

/*
 * Ends streams as moved, so that their entries continue them at another
 * upstream; the gate must be closed.
 */
void agent_requests_move(struct agent *agent);

/* RETURN VALUE: number of requests whose entry waits for the response. */
uint32_t agent_requests_open(const struct agent *agent);

#endif
