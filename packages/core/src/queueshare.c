#include "queueshare.h"

#include <math.h>
#include <string.h>

#include "mem.h"

/* A queue of which nothing has waited for so long claims no share. */
#define CLAIM_MS 500
/* A queue may exceed its share by this part before others go first. */
#define SLACK 0.25

struct queue_share *queue_shares_get(struct queue_shares *shares,
				     const struct queue_config *queue)
{
	struct queue_share *share;
	size_t i;

	for (i = 0; i < shares->count; i++)
		if (!strcmp(shares->items[i].name, queue->name) &&
		    !strcmp(shares->items[i].service, queue->service))
			return &shares->items[i];
	if (shares->count == QUEUE_SHARES_MAX)
		return NULL;
	share = &shares->items[shares->count++];
	memset(share, 0, sizeof(*share));
	share->shares = shares;
	str_copy(share->name, queue->name, sizeof(share->name));
	str_copy(share->service, queue->service, sizeof(share->service));
	share->priority = queue->priority;
	return share;
}

static void decay(struct queue_share *share, struct mstime now)
{
	int64_t ms = mstime_diff(now, share->changed_at);

	if (ms <= 0)
		return;
	share->work *= exp2(-(double)ms / QUEUE_SHARE_HALF_MS);
	share->changed_at = now;
}

void queue_share_add(struct queue_share *share, double work, struct mstime now)
{
	decay(share, now);
	share->work += work;
}

static int claims(const struct queue_share *share, struct mstime now)
{
	return share->waited_at.ms &&
	       mstime_diff(now, share->waited_at) < CLAIM_MS;
}

static int exceeds(struct queue_share *share, struct mstime now)
{
	struct queue_shares *shares = share->shares;
	size_t i, count = 0;
	double sum = 0;

	for (i = 0; i < shares->count; i++) {
		struct queue_share *other = &shares->items[i];

		if (other->priority != share->priority ||
		    (other != share && !claims(other, now)) ||
		    strcmp(other->service, share->service) != 0)
			continue;
		decay(other, now);
		sum += other->work;
		count++;
	}
	return count > 1 && share->work * (double)count > sum * (1 + SLACK);
}

void queue_share_note_waiting(struct queue_share *share, uint32_t priority,
			      struct mstime now)
{
	share->priority = priority;
	share->waited_at = now;
}

int queue_share_is_over(struct queue_share *share, struct mstime now)
{
	if (share->checked_at.ms && !mstime_diff(now, share->checked_at))
		return share->is_over;
	share->checked_at = now;
	share->is_over = exceeds(share, now);
	return share->is_over;
}
