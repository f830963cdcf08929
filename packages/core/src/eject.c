#include "eject.h"

#include <string.h>

void eject_init(struct eject_state *eject)
{
	memset(eject, 0, sizeof(*eject));
}

static int over_half_failed(const struct eject_state *eject, struct mstime now)
{
	uint32_t i, recent = 0, failed = 0;

	for (i = 0; i < EJECT_WINDOW; i++) {
		if (!eject->result_at_ms[i] ||
		    now.ms - eject->result_at_ms[i] > EJECT_WINDOW_MS)
			continue;
		recent++;
		failed += eject->failed[i];
	}
	return recent == EJECT_WINDOW && failed * 2 > EJECT_WINDOW;
}

int eject_result(struct eject_state *eject, int failed, struct mstime now)
{
	if (eject->ejected)
		return 0;
	eject->result_at_ms[eject->window_next] = now.ms ? now.ms : 1;
	eject->failed[eject->window_next] = failed ? 1 : 0;
	eject->window_next = (eject->window_next + 1) % EJECT_WINDOW;
	if (!failed) {
		eject->consecutive_failures = 0;
		return 0;
	}
	eject->consecutive_failures++;
	return eject->consecutive_failures >= EJECT_CONSECUTIVE_FAILURES ||
	       over_half_failed(eject, now);
}

static int64_t next_duration_ms(const struct eject_state *eject,
				struct mstime now)
{
	/* After a long time in rotation, the doubling starts over. */
	if (!eject->last_duration_ms ||
	    mstime_diff(now, eject->returned_at) > EJECT_DURATION_MAX_MS)
		return EJECT_DURATION_MIN_MS;
	if (eject->last_duration_ms * 2 > EJECT_DURATION_MAX_MS)
		return EJECT_DURATION_MAX_MS;
	return eject->last_duration_ms * 2;
}

void eject_start(struct eject_state *eject, struct mstime now)
{
	eject->last_duration_ms = next_duration_ms(eject, now);
	eject->ejected = 1;
	eject->probing = 0;
	eject->next_probe_at = mstime_add(now, eject->last_duration_ms);
}

int eject_probe_due(const struct eject_state *eject, struct mstime now)
{
	return eject->ejected && !eject->probing &&
	       !mstime_before(now, eject->next_probe_at);
}

void eject_probe_start(struct eject_state *eject, struct mstime now)
{
	eject->probing = 1;
	eject->next_probe_at = mstime_add(now, EJECT_PROBE_INTERVAL_MS);
}

int eject_probe_result(struct eject_state *eject, int failed, struct mstime now)
{
	eject->probing = 0;
	if (failed)
		return 0;
	eject->ejected = 0;
	eject->consecutive_failures = 0;
	memset(eject->result_at_ms, 0, sizeof(eject->result_at_ms));
	eject->returned_at = now;
	return 1;
}
