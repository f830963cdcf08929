#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "mem.h"
#include "sim.h"
#include "sysclock.h"

#define TRACE_LINES 60
#define TRACE_SIZE 200

struct sim_event {
	int64_t at;
	uint64_t sequence;
	struct sim_process *proc;
	sim_event_fn fn;
	void *arg;
};

struct loop {
	struct sim_process *proc;
};

struct loop_timer {
	loop_fn fn;
	void *arg;
	struct sim_process *proc;
	uint64_t generation;
	int references; /* queued events, plus one until deleted */
};

struct sim_world sim;

static struct sim_event *heap;
static size_t heap_count, heap_capacity;
static uint64_t next_sequence;
static char trace[TRACE_LINES][TRACE_SIZE];
static size_t trace_count;

static int comes_before(const struct sim_event *a, const struct sim_event *b)
{
	return a->at != b->at ? a->at < b->at : a->sequence < b->sequence;
}

static void heap_push(struct sim_event event)
{
	size_t i = heap_count++;

	if (heap_count > heap_capacity) {
		heap_capacity = heap_capacity * 2 + 1024;
		heap = xrealloc(heap, heap_capacity * sizeof(*heap));
	}
	while (i && comes_before(&event, &heap[(i - 1) / 2])) {
		heap[i] = heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	heap[i] = event;
}

static struct sim_event heap_pop(void)
{
	struct sim_event first = heap[0], last = heap[--heap_count];
	size_t i = 0, child;

	while ((child = 2 * i + 1) < heap_count) {
		if (child + 1 < heap_count &&
		    comes_before(&heap[child + 1], &heap[child]))
			child++;
		if (!comes_before(&heap[child], &last))
			break;
		heap[i] = heap[child];
		i = child;
	}
	heap[i] = last;
	return first;
}

void sim_add_event(int64_t at, struct sim_process *proc, sim_event_fn fn,
		   void *arg)
{
	struct sim_event event = { at, next_sequence++, proc, fn, arg };

	heap_push(event);
}

void sim_run_until(int64_t until)
{
	while (heap_count && heap[0].at <= until && !sim.failure[0]) {
		struct sim_event event = heap_pop();

		sim.now = event.at;
		if (event.proc && event.proc->frozen_until > sim.now)
			sim_add_event(event.proc->frozen_until, event.proc,
				      event.fn, event.arg);
		else
			event.fn(event.arg);
	}
	if (sim.now < until)
		sim.now = until;
}

/* With a failure set, the remaining events only free their memory. */
void sim_events_clear(void)
{
	if (!sim.failure[0])
		snprintf(sim.failure, sizeof(sim.failure), "cleared");
	while (heap_count) {
		struct sim_event event = heap_pop();

		event.fn(event.arg);
	}
	free(heap);
	heap = NULL;
	heap_capacity = 0;
	next_sequence = 0;
	trace_count = 0;
}

static void trace_add(const char *fmt, va_list args)
{
	char *line = trace[trace_count++ % TRACE_LINES];
	int len = snprintf(line, TRACE_SIZE, "%9.3f ", (double)sim.now / 1000);

	vsnprintf(line + len, TRACE_SIZE - (size_t)len, fmt, args);
}

void sim_trace(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	trace_add(fmt, args);
	va_end(args);
}

void sim_trace_print(void)
{
	size_t i = trace_count > TRACE_LINES ? trace_count - TRACE_LINES : 0;

	for (; i < trace_count; i++)
		fprintf(stderr, "%s\n", trace[i % TRACE_LINES]);
}

void sim_fail(const char *fmt, ...)
{
	va_list args;

	if (sim.failure[0])
		return;
	va_start(args, fmt);
	vsnprintf(sim.failure, sizeof(sim.failure), fmt, args);
	va_end(args);
	sim_trace("VIOLATION %s", sim.failure);
}

int sim_chance(uint32_t percent)
{
	return rng_below(&sim.rng, 100) < percent;
}

struct mstime sysclock_now(void)
{
	return mstime_from(sim.now);
}

int64_t sysclock_wall_ms(void)
{
	return sim.now;
}

void log_event(enum event_number event, const char *fmt, ...)
{
	const struct event_info *info = event_find((int)event);
	char text[TRACE_SIZE];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	sim_trace("%s %s", info->name, text);
}

struct loop *loop_new(void)
{
	return xcalloc(1, sizeof(struct loop));
}

void loop_delete(struct loop *loop)
{
	free(loop);
}

static void timer_release(struct loop_timer *timer)
{
	if (!--timer->references)
		free(timer);
}

struct timer_event {
	struct loop_timer *timer;
	uint64_t generation;
};

static void on_timer_event(void *arg)
{
	struct timer_event event = *(struct timer_event *)arg;

	free(arg);
	if (!sim.failure[0] && event.timer->fn &&
	    event.timer->generation == event.generation)
		event.timer->fn(event.timer->arg);
	timer_release(event.timer);
}

struct loop_timer *loop_timer_new(struct loop *loop, loop_fn fn, void *arg)
{
	struct loop_timer *timer = xcalloc(1, sizeof(*timer));

	timer->proc = loop->proc;
	timer->fn = fn;
	timer->arg = arg;
	timer->references = 1;
	return timer;
}

void loop_timer_delete(struct loop_timer *timer)
{
	timer->fn = NULL;
	timer_release(timer);
}

void loop_timer_start(struct loop_timer *timer, int64_t delay_ms)
{
	struct timer_event *event = xmalloc(sizeof(*event));

	event->timer = timer;
	event->generation = ++timer->generation;
	timer->references++;
	sim_add_event(sim.now + delay_ms, timer->proc, on_timer_event, event);
}

void loop_timer_stop(struct loop_timer *timer)
{
	timer->generation++;
}

struct loop *sim_loop_new(struct sim_process *proc)
{
	struct loop *loop = loop_new();

	loop->proc = proc;
	return loop;
}

void admin_register(struct admin *admin, const char *method, const char *path,
		    admin_handler_fn fn, void *arg)
{
}

const char *admin_request_subpath(const struct admin_request *request)
{
	return "";
}

void admin_reply(struct admin_request *request, int status, json_t *body)
{
	json_decref(body);
}

void admin_reply_error(struct admin_request *request, int status, int err,
		       const char *fmt, ...)
{
}
