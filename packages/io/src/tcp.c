#include "tcp.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

void tcp_no_delay(int fd)
{
	int on = 1;

	if (fd >= 0)
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}
