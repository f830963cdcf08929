#include "loop.h"

#include <signal.h>
#include <stdlib.h>

#include <event2/event.h>

#include "errors.h"
#include "mem.h"

struct signal_handler {
	struct event *event;
	loop_fn fn;
	void *arg;
};

struct loop {
	struct event_base *base;
	struct signal_handler signals[LOOP_SIGNALS_MAX];
	int signal_count;
};

struct loop_timer {
	struct event *event;
	loop_fn fn;
	void *arg;
};

/*
 * Without EVENT_BASE_FLAG_PRECISE_TIMER libevent reads a coarse clock with
 * steps of up to 4 ms, and a timer of 1 ms fires after up to 4 ms.
 */
static struct event_base *new_base(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	if (!config)
		return NULL;
	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

struct loop *loop_new(void)
{
	struct loop *loop = xcalloc(1, sizeof(*loop));

	/* Writing to a closed connection must not end the process. */
	signal(SIGPIPE, SIG_IGN);
	loop->base = new_base();
	if (!loop->base)
		abort();
	return loop;
}

void loop_delete(struct loop *loop)
{
	int i;

	if (!loop)
		return;
	for (i = 0; i < loop->signal_count; i++)
		event_free(loop->signals[i].event);
	event_base_free(loop->base);
	free(loop);
}

struct event_base *loop_base(struct loop *loop)
{
	return loop->base;
}

void loop_run(struct loop *loop)
{
	event_base_loop(loop->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void loop_break(struct loop *loop)
{
	event_base_loopbreak(loop->base);
}

static void on_signal(evutil_socket_t fd, short what, void *arg)
{
	struct signal_handler *handler = arg;

	handler->fn(handler->arg);
}

int loop_on_signal(struct loop *loop, int signum, loop_fn fn, void *arg)
{
	struct signal_handler *handler;

	if (loop->signal_count == LOOP_SIGNALS_MAX)
		return ERR_FULL;
	handler = &loop->signals[loop->signal_count];
	handler->fn = fn;
	handler->arg = arg;
	handler->event = evsignal_new(loop->base, signum, on_signal, handler);
	if (!handler->event)
		return ERR_SYSTEM;
	if (event_add(handler->event, NULL)) {
		event_free(handler->event);
		return ERR_SYSTEM;
	}
	loop->signal_count++;
	return 0;
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct loop_timer *timer = arg;

	timer->fn(timer->arg);
}

struct loop_timer *loop_timer_new(struct loop *loop, loop_fn fn, void *arg)
{
	struct loop_timer *timer = xcalloc(1, sizeof(*timer));

	timer->fn = fn;
	timer->arg = arg;
	timer->event = evtimer_new(loop->base, on_timer, timer);
	if (!timer->event)
		abort();
	return timer;
}

void loop_timer_delete(struct loop_timer *timer)
{
	if (!timer)
		return;
	event_free(timer->event);
	free(timer);
}

void loop_timer_start(struct loop_timer *timer, int64_t delay_ms)
{
	struct timeval tv;

	if (delay_ms < 0)
		delay_ms = 0;
	tv.tv_sec = delay_ms / 1000;
	tv.tv_usec = (delay_ms % 1000) * 1000;
	evtimer_add(timer->event, &tv);
}

void loop_timer_stop(struct loop_timer *timer)
{
	evtimer_del(timer->event);
}
