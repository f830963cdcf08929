#ifndef CATKINHILL_LOOP_H
#define CATKINHILL_LOOP_H

#include <stdint.h>

struct event_base;

/*
 * NAME
 *	loop - the event loop of the process, with signals and timers
 *
 * NOTES
 *	loop_new() makes the process ignore SIGPIPE.
 */
struct loop;
struct loop_timer;

typedef void (*loop_fn)(void *arg);

struct loop *loop_new(void);
void loop_delete(struct loop *loop);

/* The libevent base, for evhttp and the transport. Owned by the loop. */
struct event_base *loop_base(struct loop *loop);

/* Runs until loop_break(). */
void loop_run(struct loop *loop);
void loop_break(struct loop *loop);

/*
 * Calls fn(arg) on each delivery of a signal, on the loop's thread. At most
 * LOOP_SIGNALS_MAX signals can be handled.
 */
#define LOOP_SIGNALS_MAX 4
int loop_on_signal(struct loop *loop, int signum, loop_fn fn, void *arg);

/*
 * A timer calls fn(arg) once, delay_ms after loop_timer_start(); starting it
 * again replaces the earlier time. fn may start or delete its own timer.
 */
struct loop_timer *loop_timer_new(struct loop *loop, loop_fn fn, void *arg);
void loop_timer_delete(struct loop_timer *timer);
void loop_timer_start(struct loop_timer *timer, int64_t delay_ms);
void loop_timer_stop(struct loop_timer *timer);

#endif
