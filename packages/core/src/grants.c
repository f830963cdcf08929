#include "grants.h"

#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "mem.h"

void grants_init(struct grants *grants, int64_t grant_ms)
{
	list_init(&grants->tasks);
	list_init(&grants->partitions);
	grants->grant_ms = grant_ms;
}

void grants_clear(struct grants *grants)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &grants->partitions)
		free(list_entry(pos, struct grant_partition, node));
	list_init(&grants->partitions);
	list_init(&grants->tasks);
}

static struct grant_partition *find_partition(const struct grants *grants,
					      uint32_t partition)
{
	struct list *pos;

	list_for_each (pos, &grants->partitions) {
		struct grant_partition *p =
			list_entry(pos, struct grant_partition, node);

		if (p->partition == partition)
			return p;
	}
	return NULL;
}

uint64_t grants_epoch(const struct grants *grants, uint32_t partition)
{
	const struct grant_partition *p = find_partition(grants, partition);

	return p ? p->epoch : 0;
}

static void clear_end_acks(struct grants *grants, uint32_t partition)
{
	struct list *pos;

	list_for_each (pos, &grants->tasks) {
		struct grant_task *t = list_entry(pos, struct grant_task, node);

		if (t->partition == partition)
			t->end_acked = 0;
	}
}

int grants_advance_epoch(struct grants *grants, uint32_t partition,
			 uint64_t epoch)
{
	struct grant_partition *p = find_partition(grants, partition);

	if (p && epoch <= p->epoch)
		return epoch < p->epoch ? ERR_FENCED : 0;
	if (!p) {
		p = xcalloc(1, sizeof(*p));
		p->partition = partition;
		list_add_tail(&grants->partitions, &p->node);
	}
	p->epoch = epoch;
	clear_end_acks(grants, partition);
	return 1;
}

struct grant_task *grants_find(const struct grants *grants, const char *job)
{
	struct grant_task *found = NULL;
	struct list *pos;

	list_for_each (pos, &grants->tasks) {
		struct grant_task *t = list_entry(pos, struct grant_task, node);

		if (!strcmp(t->job, job) && (!found || t->run > found->run))
			found = t;
	}
	return found;
}

int grants_check_command(struct grants *grants, uint32_t partition,
			 uint64_t epoch, const char *job, uint64_t run,
			 struct grant_task **task)
{
	struct grant_task *t;

	*task = NULL;
	if (grants_advance_epoch(grants, partition, epoch) < 0)
		return ERR_FENCED;
	t = grants_find(grants, job);
	if (!t)
		return ERR_NOT_FOUND;
	*task = t;
	if (run < t->run)
		return ERR_FENCED;
	if (run == t->run) {
		/* The partition of an adopted run is unknown until then. */
		t->partition = partition;
		return 0;
	}
	return t->phase == GRANT_ENDED ? ERR_NOT_FOUND : ERR_CONFLICT;
}

void grants_add(struct grants *grants, struct grant_task *task,
		uint32_t partition, const char *job, uint64_t run,
		struct mstime now)
{
	memset(task, 0, sizeof(*task));
	task->partition = partition;
	str_copy(task->job, job, sizeof(task->job));
	task->run = run;
	task->phase = GRANT_PENDING;
	task->deadline =
		mstime_add(now, GRANT_PENDING_FACTOR * grants->grant_ms);
	list_add_tail(&grants->tasks, &task->node);
}

void grants_remove(struct grants *grants, struct grant_task *task)
{
	list_del(&task->node);
}

void grants_end(struct grant_task *task, struct mstime now)
{
	task->phase = GRANT_ENDED;
	task->ended_at = now;
	task->end_acked = 0;
}

int grants_reportable(const struct grant_task *task)
{
	return task->phase != GRANT_ENDED || !task->end_acked;
}

void grants_record_report(struct grant_task *task, uint64_t seq,
			  struct mstime now)
{
	struct grant_report *report =
		&task->reports[task->report_count++ % GRANT_REPORTS_KEPT];

	report->seq = seq;
	report->sent_at = now;
	report->ended = task->phase == GRANT_ENDED;
}

static const struct grant_report *find_report(const struct grant_task *task,
					      uint64_t seq)
{
	uint32_t i;

	for (i = 0; i < task->report_count && i < GRANT_REPORTS_KEPT; i++)
		if (task->reports[i].seq == seq)
			return &task->reports[i];
	return NULL;
}

static void apply_ack(const struct grants *grants, struct grant_task *task,
		      const struct grant_report *report, int recorded,
		      struct mstime now)
{
	struct mstime until = mstime_add(report->sent_at, grants->grant_ms);

	if (task->phase == GRANT_ENDED) {
		if (!report->ended || !recorded || task->end_acked)
			return;
		task->end_acked = 1;
		task->ended_at = now;
		return;
	}
	/*
	 * Before the first ack the deadline is that of the wait, which may be
	 * later than the end of the grant.
	 */
	if (!task->granted)
		task->deadline = until;
	task->granted = 1;
	task->deadline = mstime_max(task->deadline, until);
}

int grants_ack(struct grants *grants, uint32_t partition, uint64_t epoch,
	       uint64_t seq, int recorded, struct mstime now)
{
	struct list *pos;
	int count = 0;

	if (grants_advance_epoch(grants, partition, epoch) < 0)
		return ERR_FENCED;
	list_for_each (pos, &grants->tasks) {
		struct grant_task *t = list_entry(pos, struct grant_task, node);
		const struct grant_report *report = find_report(t, seq);

		if (t->partition != partition || !report)
			continue;
		apply_ack(grants, t, report, recorded, now);
		count++;
	}
	return count;
}

int grants_valid(const struct grant_task *task, struct mstime now)
{
	return task->phase != GRANT_ENDED && task->granted &&
	       mstime_before(now, task->deadline);
}

int grants_expired(const struct grant_task *task, struct mstime now)
{
	return task->phase != GRANT_ENDED &&
	       !mstime_before(now, task->deadline);
}

struct grant_task *grants_find_removable(const struct grants *grants,
					 struct mstime now)
{
	struct grant_task *oldest_acked = NULL, *oldest_ended = NULL;
	uint32_t count = 0;
	struct list *pos;

	list_for_each (pos, &grants->tasks) {
		struct grant_task *t = list_entry(pos, struct grant_task, node);

		if (t->phase != GRANT_ENDED)
			continue;
		count++;
		if (!oldest_ended ||
		    mstime_before(t->ended_at, oldest_ended->ended_at))
			oldest_ended = t;
		if (!t->end_acked)
			continue;
		if (!oldest_acked ||
		    mstime_before(t->ended_at, oldest_acked->ended_at))
			oldest_acked = t;
	}
	if (oldest_acked &&
	    mstime_diff(now, oldest_acked->ended_at) >= GRANT_ENDED_KEEP_MS)
		return oldest_acked;
	if (count <= GRANT_ENDED_MAX)
		return NULL;
	return oldest_acked ? oldest_acked : oldest_ended;
}
