#ifndef CATKINHILL_TEST_SUPPORT_H
#define CATKINHILL_TEST_SUPPORT_H

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loop.h"

/* Longest wait for a condition; a test that reaches it fails. */
#define WAIT_MS 20000

/* Writes 127.0.0.1 and a port that the kernel reported as free. */
static inline void free_address(char *address, size_t size)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bind(fd, (struct sockaddr *)&sin, sizeof(sin));
	getsockname(fd, (struct sockaddr *)&sin, &len);
	close(fd);
	snprintf(address, size, "127.0.0.1:%d", ntohs(sin.sin_port));
}

struct wait {
	struct loop *loop;
	int (*done)(void *arg);
	void *arg;
	struct loop_timer *tick;
	int ticks;
	int max_ticks;
	int result;
};

static inline void wait_tick(void *arg)
{
	struct wait *wait = arg;

	wait->result = wait->done(wait->arg);
	if (wait->result || ++wait->ticks >= wait->max_ticks)
		loop_break(wait->loop);
	else
		loop_timer_start(wait->tick, 5);
}

/*
 * Runs the loop until done() returns nonzero, or for about max_ms.
 *
 * RETURN VALUE
 *	The last result of done(): 0 if the time ran out.
 */
static inline int loop_wait_ms(struct loop *loop, int (*done)(void *arg),
			       void *arg, int max_ms)
{
	struct wait wait = { loop, done, arg };

	wait.max_ticks = max_ms / 5;
	wait.tick = loop_timer_new(loop, wait_tick, &wait);
	loop_timer_start(wait.tick, 0);
	loop_run(loop);
	loop_timer_delete(wait.tick);
	return wait.result;
}

static inline int loop_wait(struct loop *loop, int (*done)(void *arg),
			    void *arg)
{
	return loop_wait_ms(loop, done, arg, WAIT_MS);
}

#endif
