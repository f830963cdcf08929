#include "agent_evict.h"

#include <stdlib.h>

#include "agent_links.h"
#include "agent_task.h"
#include "errors.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

static int may_stop(const struct agent_task *t, struct mstime now)
{
	return t->evictable && !t->stop_kind && t->gate.reserved &&
	       t->grant.phase != GRANT_ENDED &&
	       !mstime_before(now, t->protected_until);
}

struct resources agent_evict_available(const struct agent *agent)
{
	struct resources sum = { 0, 0, 0 };
	struct mstime now = sysclock_now();
	const struct list *pos;

	if (!evict_window_remaining(&agent->eviction_window, now))
		return sum;
	list_for_each (pos, &agent->tasks) {
		const struct agent_task *t =
			list_entry(pos, struct agent_task, node);
		struct resources amount = gate_task_amount(&t->gate);

		if (!may_stop(t, now))
			continue;
		sum.cpu_milli += amount.cpu_milli;
		sum.mem_mb += amount.mem_mb;
		sum.accel += amount.accel;
	}
	return sum;
}

struct victims {
	struct evict_candidate *candidates;
	struct agent_task **tasks; /* of each candidate */
	size_t count;
};

static void find_victims(const struct agent *agent, struct victims *victims,
			 struct mstime now)
{
	struct list *pos;
	size_t count = 0;

	list_for_each (pos, &agent->tasks)
		count++;
	victims->count = 0;
	victims->candidates = xcalloc(count + 1, sizeof(*victims->candidates));
	victims->tasks = xcalloc(count + 1, sizeof(struct agent_task *));
	list_for_each (pos, &agent->tasks) {
		struct agent_task *t = list_entry(pos, struct agent_task, node);
		struct evict_candidate *c =
			&victims->candidates[victims->count];

		if (!may_stop(t, now))
			continue;
		c->reserved = gate_task_amount(&t->gate);
		c->checkpointed_at = t->checkpointed_at;
		victims->tasks[victims->count++] = t;
	}
}

static void stop_victim(struct agent_task *t, const struct agent_task *urgent,
			struct mstime now)
{
	log_event(EV_TASK_MAKES_ROOM,
		  "job=%s run=%llu partition=%u mem_mb=%u cpu_milli=%u "
		  "unsaved_ms=%lld for=%s for_partition=%u",
		  t->grant.job, (unsigned long long)t->grant.run,
		  t->grant.partition, t->declared.mem_mb, t->declared.cpu_milli,
		  (long long)mstime_diff(now, t->checkpointed_at),
		  urgent->grant.job, urgent->grant.partition);
	evict_window_add(&t->agent->eviction_window, now);
	agent_task_request_stop(t, STOP_WITH_CHECKPOINT,
				DETAIL_EVICTED_FOR_URGENT);
	agent_task_step(t, now);
}

int agent_evict_for(struct agent_task *task)
{
	struct agent *agent = task->agent;
	struct mstime now = sysclock_now();
	const struct evict_worker worker = { agent->gate.limits.capacity,
					     gate_projected(&agent->gate), 1 };
	struct evict_choice choice;
	struct victims victims;
	uint32_t i;
	int err;

	/* Runs that are being stopped already may be enough. */
	if (!gate_task_reserve_pending(&agent->gate, &task->gate,
				       &task->declared))
		return 0;
	find_victims(agent, &victims, now);
	evict_choose(&choice, &task->declared, victims.candidates,
		     victims.count, &worker, 1, 0,
		     evict_window_remaining(&agent->eviction_window, now), now);
	for (i = 0; i < choice.count; i++)
		stop_victim(victims.tasks[choice.victims[i]], task, now);
	free(victims.candidates);
	free(victims.tasks);
	err = gate_task_reserve_pending(&agent->gate, &task->gate,
					&task->declared);
	/* Until the next announcement, owners would try this VM in vain. */
	agent_links_announce(agent);
	return err;
}

int agent_evict_await_capacity(struct agent_task *task, struct mstime now)
{
	if (!gate_task_commit_pending(&task->agent->gate, &task->gate)) {
		/* The time for the worker to answer the start begins now. */
		task->accepted_at = now;
		return 0;
	}
	if (mstime_diff(now, task->accepted_at) >= AGENT_EVICT_WAIT_MAX_MS)
		agent_task_end(task, TASK_REFUSED, "no-room");
	return 1;
}
