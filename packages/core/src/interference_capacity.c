#include "interference_capacity.h"

/* A single list may include the usage of a task that has just ended. */
#define EVICT_MEMORY_TICKS 2
#define CPU_CAP_STEP_PERCENT 5

static uint64_t sum_cpu(struct interference_task **tasks, size_t count)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < count; i++)
		sum += tasks[i]->is_running ? tasks[i]->used.cpu_milli : 0;
	return sum;
}

static void cap_cpu(struct interference_task *task, struct mstime now)
{
	uint64_t percent = task->cpu_cap_percent ? task->cpu_cap_percent : 100;

	percent = percent * task->declared.cpu_milli / task->used.cpu_milli;
	if (percent < INTERFERENCE_FLOOR_PERCENT)
		percent = INTERFERENCE_FLOOR_PERCENT;
	task->cpu_cap_percent = (uint32_t)percent;
	task->cpu_cap_changed_at = now;
}

/* The usage lags, so each cap is changed only after a delay. */
void capacity_check_cpu(const struct interference_sample *sample,
			struct interference_task **tasks, size_t count,
			struct mstime now)
{
	int over = sum_cpu(tasks, count) > sample->capacity.cpu_milli;
	size_t i;

	for (i = 0; i < count; i++) {
		struct interference_task *t = tasks[i];

		if (!t->is_running || (t->cpu_cap_percent &&
				       mstime_diff(now, t->cpu_cap_changed_at) <
					       INTERFERENCE_RESTORE_DELAY_MS))
			continue;
		if (over && t->used.cpu_milli > t->declared.cpu_milli) {
			cap_cpu(t, now);
		} else if (!over && t->cpu_cap_percent) {
			t->cpu_cap_percent += CPU_CAP_STEP_PERCENT;
			t->cpu_cap_changed_at = now;
			if (t->cpu_cap_percent >= 100)
				t->cpu_cap_percent = 0;
		}
	}
}

static int64_t memory_over_declared(const struct interference_task *task)
{
	return (int64_t)task->used.mem_mb - task->declared.mem_mb;
}

static int is_better_victim(const struct interference_task *a,
			    const struct interference_task *b)
{
	if (a->is_protected != b->is_protected)
		return !a->is_protected;
	return memory_over_declared(a) > memory_over_declared(b);
}

size_t capacity_check_memory(struct interference *in,
			     const struct interference_sample *sample,
			     struct interference_task **tasks, size_t count)
{
	uint64_t sum = 0;
	size_t i, victim = count;
	int over;

	for (i = 0; i < count; i++)
		sum += tasks[i]->is_running ? tasks[i]->used.mem_mb : 0;
	over = sum > sample->capacity.mem_mb;
	in->ticks_over_memory = over ? in->ticks_over_memory + 1 : 0;
	for (i = 0; i < count; i++) {
		int is_over_declared = tasks[i]->is_running &&
				       memory_over_declared(tasks[i]) > 0;

		tasks[i]->is_memory_throttled = over && is_over_declared;
		if (is_over_declared &&
		    (victim == count ||
		     is_better_victim(tasks[i], tasks[victim])))
			victim = i;
	}
	return in->ticks_over_memory >= EVICT_MEMORY_TICKS ? victim : count;
}
