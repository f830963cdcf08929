#include "agent_interference.h"

#include <math.h>
#include <stdlib.h>

#include "agent_task.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

static const char *const stop_reasons[] = {
	[INTERFERENCE_LATENCY] = "interference-latency",
	[INTERFERENCE_MEMORY] = "interference-memory",
};

static struct agent_task *task_of(struct interference_task *task)
{
	return list_entry(task, struct agent_task, interference);
}

static int is_protected(const struct agent_task *t, struct mstime now)
{
	const int64_t *limits = t->agent->daemon->config.limits;

	return t->grant.run > 1 &&
	       mstime_diff(now, t->accepted_at) < limits[LIMIT_EVICT_PAUSE_MS];
}

static void fill(struct agent_task *t, struct mstime now)
{
	struct interference_task *task = &t->interference;

	/* An adopted run has no command: the worker does not list it. */
	task->class_key = interference_class_key(t->command ? t->command : "");
	task->declared = t->declared;
	task->used = t->used;
	task->is_running =
		t->confirmed && !t->stop_kind && t->grant.phase != GRANT_ENDED;
	task->is_protected = is_protected(t, now);
}

/* RETURN VALUE: newly allocated; *count receives the number of tasks. */
static struct interference_task **list_tasks(struct agent *agent,
					     struct mstime now, size_t *count)
{
	struct interference_task **tasks;
	struct list *pos;
	size_t i = 0;

	*count = 0;
	list_for_each (pos, &agent->tasks)
		(*count)++;
	tasks = xcalloc(*count + 1, sizeof(struct interference_task *));
	list_for_each (pos, &agent->tasks) {
		struct agent_task *t = list_entry(pos, struct agent_task, node);

		fill(t, now);
		tasks[i++] = &t->interference;
	}
	return tasks;
}

static void take_sample(struct agent *agent, struct interference_sample *sample)
{
	const int64_t *limits = agent->daemon->config.limits;

	if (agent->latency_count)
		sample->latency_us =
			(double)agent->latency_sum_us / agent->latency_count;
	sample->requests = agent->latency_count;
	sample->in_progress = agent->gate.slots_used;
	sample->capacity = agent->gate.limits.capacity;
	sample->weight_latency = limits[LIMIT_WEIGHT_LATENCY];
	sample->weight_eviction = limits[LIMIT_WEIGHT_EVICTION];
	agent->latency_sum_us = 0;
	agent->latency_count = 0;
}

static void log_decision(enum event_number event, const struct agent_task *t,
			 const struct interference_sample *sample)
{
	const struct interference *in = &t->agent->interference;
	const struct interference_task *task = &t->interference;

	log_event(event,
		  "job=%s run=%llu reason=%s percent=%u latency_us=%.0f "
		  "requests=%u excess=%.3f tolerance=%.3f blame=%.2f "
		  "cpu_milli=%u/%u mem_mb=%u/%u",
		  t->grant.job, (unsigned long long)t->grant.run,
		  interference_reason_name(task->reason), task->level_percent,
		  sample->latency_us, sample->requests, in->excess,
		  in->tolerance, interference_blame(in, task->class_key),
		  task->used.cpu_milli, task->declared.cpu_milli,
		  task->used.mem_mb, task->declared.mem_mb);
}

static void apply(struct agent_task *t,
		  const struct interference_sample *sample, struct mstime now)
{
	struct interference_task *task = &t->interference;
	struct agent_counters *counters = &t->agent->counters;

	if (!task->is_running)
		return;
	if (task->must_evict) {
		counters->evictions[task->reason].value++;
		log_decision(EV_TASK_INTERFERES, t, sample);
		agent_task_request_stop(t, STOP_WITH_CHECKPOINT,
					stop_reasons[task->reason]);
	} else if (task->is_level_changed) {
		counters->throttles[task->reason].value++;
		log_decision(EV_TASK_THROTTLED, t, sample);
		agent_task_set_throttle(t, task->level_percent);
	}
	agent_task_step(t, now);
}

void agent_interference_tick(struct agent *agent)
{
	struct interference_sample sample = { 0 };
	struct mstime now = sysclock_now();
	struct interference_task **tasks;
	size_t count, i;

	tasks = list_tasks(agent, now, &count);
	take_sample(agent, &sample);
	interference_tick(&agent->interference, &sample, tasks, count, now);
	for (i = 0; i < count; i++)
		apply(task_of(tasks[i]), &sample, now);
	free(tasks);
	agent->counters.latency_excess_percent.value =
		(int64_t)lround(agent->interference.excess * 100);
}
