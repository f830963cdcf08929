#include "tcp.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define UNACKNOWLEDGED_MAX_MS 5000
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 3

static void set_option(int fd, int level, int name, int value)
{
	if (fd >= 0)
		setsockopt(fd, level, name, &value, sizeof(value));
}

void tcp_no_delay(int fd)
{
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
}

void tcp_detect_silence(int fd)
{
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX_MS);
}
