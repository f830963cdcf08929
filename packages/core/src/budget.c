#include "budget.h"

#include "errors.h"

/* About what an open connection takes besides the bytes that it sent. */
#define CONNECTION_BYTES 8192

void budget_init(struct budget *budget, const struct budget_limits *limits)
{
	budget->limits = *limits;
	list_init(&budget->members);
	budget->bytes = 0;
	budget->count = 0;
	budget->busy_count = 0;
}

void budget_add(struct budget *budget, struct budget_member *member,
		struct mstime now)
{
	member->since = now;
	member->bytes = 0;
	member->has_request = 0;
	member->is_busy = 0;
	list_add_tail(&budget->members, &member->node);
	budget->count++;
}

void budget_remove(struct budget *budget, struct budget_member *member)
{
	if (list_empty(&member->node))
		return;
	list_del(&member->node);
	budget->count--;
	budget->bytes -= member->bytes;
	budget->busy_count -= member->is_busy;
	member->bytes = 0;
}

static void set_bytes(struct budget *budget, struct budget_member *member,
		      size_t bytes)
{
	if (list_empty(&member->node))
		return;
	budget->bytes = budget->bytes - member->bytes + bytes;
	member->bytes = bytes;
}

void budget_hold(struct budget *budget, struct budget_member *member,
		 size_t bytes, struct mstime now)
{
	if (!member->has_request) {
		member->has_request = 1;
		member->since = now;
	}
	set_bytes(budget, member, bytes);
}

int budget_begin(struct budget *budget, struct budget_member *member,
		 size_t bytes)
{
	if (list_empty(&member->node))
		return ERR_FULL;
	member->is_busy = 1;
	budget->busy_count++;
	set_bytes(budget, member, bytes);
	return budget->bytes > budget->limits.bytes ||
			       budget->busy_count > budget->limits.busy
		       ? ERR_FULL
		       : 0;
}

void budget_release(struct budget *budget, struct budget_member *member,
		    size_t bytes, struct mstime now)
{
	if (list_empty(&member->node))
		return;
	budget->busy_count -= member->is_busy;
	member->is_busy = 0;
	member->has_request = bytes > 0;
	member->since = now;
	set_bytes(budget, member, bytes);
}

int budget_is_over(const struct budget *budget)
{
	return budget->bytes > budget->limits.bytes ||
	       budget->count > budget->limits.connections;
}

static double weight(const struct budget_member *member, struct mstime now)
{
	return (double)(member->bytes + CONNECTION_BYTES) *
	       (double)(mstime_diff(now, member->since) + 1);
}

struct budget_member *budget_largest(const struct budget *budget,
				     struct mstime now)
{
	struct budget_member *largest = NULL;
	struct list *pos;

	list_for_each (pos, &budget->members) {
		struct budget_member *member =
			list_entry(pos, struct budget_member, node);

		if (!member->is_busy &&
		    (!largest || weight(member, now) > weight(largest, now)))
			largest = member;
	}
	return largest;
}

struct budget_member *budget_overdue(const struct budget *budget,
				     struct mstime now)
{
	struct list *pos;

	list_for_each (pos, &budget->members) {
		struct budget_member *member =
			list_entry(pos, struct budget_member, node);

		if (member->has_request && !member->is_busy &&
		    mstime_diff(now, member->since) > budget->limits.arrival_ms)
			return member;
	}
	return NULL;
}
