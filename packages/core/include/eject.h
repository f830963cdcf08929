#ifndef CATKINHILL_EJECT_H
#define CATKINHILL_EJECT_H

#include <stdint.h>

#include "mstime.h"

/*
 * NAME
 *	eject - decides when a failing upstream is taken out of rotation
 *
 * NOTES
 *	State of one upstream at one entry. The rule that keeps at least half
 *	of a service in rotation needs the state of the whole service and is
 *	implemented in route. An ejected upstream gets no request until its
 *	ejection time has passed, then one probe per second until a probe
 *	succeeds.
 */
#define EJECT_CONSECUTIVE_FAILURES 5
#define EJECT_WINDOW 20	      /* latest results that the failure rate counts */
#define EJECT_WINDOW_MS 10000 /* older results are ignored */
#define EJECT_DURATION_MIN_MS 5000 /* first ejection; doubles each time */
/* Longest ejection. After this time in rotation, the doubling starts over. */
#define EJECT_DURATION_MAX_MS 60000
#define EJECT_PROBE_INTERVAL_MS 1000

struct eject_state {
	uint32_t consecutive_failures;
	uint32_t window_next;		    /* index in the window */
	int64_t result_at_ms[EJECT_WINDOW]; /* 0: no result */
	uint8_t failed[EJECT_WINDOW];	    /* 0: no result, or a success */
	int ejected;
	int probing;		  /* a probe is in flight */
	int64_t last_duration_ms; /* length of the last ejection; 0 for none */
	struct mstime next_probe_at; /* earliest time of the next probe */
	struct mstime returned_at;
};

void eject_init(struct eject_state *eject);

/*
 * Records the result of a request.
 *
 * RETURN VALUE
 *	1 if the upstream should be ejected by eject_start(), or else 0.
 */
int eject_result(struct eject_state *eject, int failed, struct mstime now);

void eject_start(struct eject_state *eject, struct mstime now);

/* Whether the upstream is ejected and a probe is due. */
int eject_probe_due(const struct eject_state *eject, struct mstime now);
void eject_probe_start(struct eject_state *eject, struct mstime now);

/*
 * RETURN VALUE
 *	1 if the upstream is back in rotation, or else 0.
 */
int eject_probe_result(struct eject_state *eject, int failed,
		       struct mstime now);

#endif
