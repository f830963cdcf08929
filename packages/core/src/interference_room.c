#include "interference_room.h"

/* A single list may include the usage of a task that has just ended. */
#define EVICT_MEMORY_TICKS 2
#define CPU_CAP_STEP_PERCENT 5

static uint64_t sum_cpu(struct interference_task **tasks, size_t count)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < count; i++)
		sum += tasks[i]->running ? tasks[i]->used.cpu_milli : 0;
	return sum;
}

static void cap_cpu(struct interference_task *task, struct mstime now)
{
	uint64_t percent = task->cpu_percent ? task->cpu_percent : 100;

	percent = percent * task->declared.cpu_milli / task->used.cpu_milli;
	if (percent < INTERFERENCE_FLOOR)
		percent = INTERFERENCE_FLOOR;
	task->cpu_percent = (uint32_t)percent;
	task->cpu_cut_at = now;
}

/* The usage lags, so each cap is changed only after a delay. */
void room_check_cpu(const struct interference_sample *sample,
		    struct interference_task **tasks, size_t count,
		    struct mstime now)
{
	int over = sum_cpu(tasks, count) > sample->capacity.cpu_milli;
	size_t i;

	for (i = 0; i < count; i++) {
		struct interference_task *t = tasks[i];

		if (!t->running ||
		    (t->cpu_percent &&
		     mstime_diff(now, t->cpu_cut_at) < INTERFERENCE_RESTORE_MS))
			continue;
		if (over && t->used.cpu_milli > t->declared.cpu_milli) {
			cap_cpu(t, now);
		} else if (!over && t->cpu_percent) {
			t->cpu_percent += CPU_CAP_STEP_PERCENT;
			t->cpu_cut_at = now;
			if (t->cpu_percent >= 100)
				t->cpu_percent = 0;
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

size_t room_check_memory(struct interference *in,
			 const struct interference_sample *sample,
			 struct interference_task **tasks, size_t count)
{
	uint64_t sum = 0;
	size_t i, victim = count;
	int over;

	for (i = 0; i < count; i++)
		sum += tasks[i]->running ? tasks[i]->used.mem_mb : 0;
	over = sum > sample->capacity.mem_mb;
	in->memory_ticks = over ? in->memory_ticks + 1 : 0;
	for (i = 0; i < count; i++) {
		int is_over_declared =
			tasks[i]->running && memory_over_declared(tasks[i]) > 0;

		tasks[i]->memory_floor = over && is_over_declared;
		if (is_over_declared &&
		    (victim == count ||
		     is_better_victim(tasks[i], tasks[victim])))
			victim = i;
	}
	return in->memory_ticks >= EVICT_MEMORY_TICKS ? victim : count;
}
