#include "eject.h"

#include <string.h>

void eject_init(struct eject *eject)
{
	memset(eject, 0, sizeof(*eject));
}

static int over_half_failed(const struct eject *eject, struct mstime now)
{
	uint32_t i, recent = 0, failed = 0;

	for (i = 0; i < EJECT_WINDOW; i++) {
		if (!eject->at_ms[i] ||
		    now.ms - eject->at_ms[i] > EJECT_WINDOW_MS)
			continue;
		recent++;
		failed += eject->failed[i];
	}
	return recent == EJECT_WINDOW && failed * 2 > EJECT_WINDOW;
}

int eject_result(struct eject *eject, int failed, struct mstime now)
{
	if (eject->ejected)
		return 0;
	eject->at_ms[eject->next] = now.ms ? now.ms : 1;
	eject->failed[eject->next] = failed ? 1 : 0;
	eject->next = (eject->next + 1) % EJECT_WINDOW;
	if (!failed) {
		eject->in_a_row = 0;
		return 0;
	}
	eject->in_a_row++;
	return eject->in_a_row >= EJECT_IN_A_ROW ||
	       over_half_failed(eject, now);
}

static int64_t next_duration_ms(const struct eject *eject, struct mstime now)
{
	/* After a long time in rotation, the doubling starts over. */
	if (!eject->last_ms ||
	    mstime_diff(now, eject->returned_at) > EJECT_LONGEST_MS)
		return EJECT_FIRST_MS;
	if (eject->last_ms * 2 > EJECT_LONGEST_MS)
		return EJECT_LONGEST_MS;
	return eject->last_ms * 2;
}

void eject_start(struct eject *eject, struct mstime now)
{
	eject->last_ms = next_duration_ms(eject, now);
	eject->ejected = 1;
	eject->probing = 0;
	eject->until = mstime_add(now, eject->last_ms);
}

int eject_probe_due(const struct eject *eject, struct mstime now)
{
	return eject->ejected && !eject->probing &&
	       !mstime_before(now, eject->until);
}

void eject_probe_start(struct eject *eject, struct mstime now)
{
	eject->probing = 1;
	eject->until = mstime_add(now, EJECT_PROBE_MS);
}

int eject_probe_result(struct eject *eject, int failed, struct mstime now)
{
	eject->probing = 0;
	if (failed)
		return 0;
	eject->ejected = 0;
	eject->in_a_row = 0;
	memset(eject->at_ms, 0, sizeof(eject->at_ms));
	eject->returned_at = now;
	return 1;
}
