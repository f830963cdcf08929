#ifndef CATKINHILL_TEST_SUPPORT_H
#define CATKINHILL_TEST_SUPPORT_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "loop.h"

/* Longest wait for a condition; a test that reaches it fails. */
#define WAIT_MS 20000

/* As in tools/pylib/ports.py, with which it shares the locks. */
#define PORT_MIN 10000
#define PORT_END 32000

/* RETURN VALUE: whether no other test process holds the port. */
static inline int lock_port(int port)
{
	const char *directory = getenv("TMPDIR");
	char path[512];
	int fd;

	if (!directory)
		directory = "/tmp";
	snprintf(path, sizeof(path), "%s/catkinhill-ports", directory);
	mkdir(path, 0777);
	snprintf(path, sizeof(path), "%s/catkinhill-ports/%d", directory, port);
	fd = open(path, O_CREAT | O_RDWR | O_CLOEXEC, 0666);
	if (fd < 0)
		return 0;
	if (!flock(fd, LOCK_EX | LOCK_NB))
		return 1; /* until this process ends */
	close(fd);
	return 0;
}

static inline int port_is_free(int port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1, err;

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons((uint16_t)port);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	err = bind(fd, (struct sockaddr *)&sin, sizeof(sin));
	close(fd);
	return !err;
}

/*
 * Writes 127.0.0.1 and a port that no other test process uses. It is below the
 * ephemeral range: one of those could be taken by an outgoing connection of
 * another process before the test listens on it.
 */
static inline void free_address(char *address, size_t size)
{
	static unsigned seed;
	int port;

	if (!seed)
		seed = (unsigned)getpid() * 2654435761u;
	do
		port = PORT_MIN + rand_r(&seed) % (PORT_END - PORT_MIN);
	while (!lock_port(port) || !port_is_free(port));
	snprintf(address, size, "127.0.0.1:%d", port);
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
