#ifndef CATKINHILL_TCP_H
#define CATKINHILL_TCP_H

/*
 * NAME
 *	tcp - options of TCP sockets
 *
 * NOTES
 *	evhttp leaves Nagle's algorithm on. The second part of a response then
 *	waits for the acknowledgement of the first, which the peer delays by
 *	40 ms.
 *
 * SOURCE
 *	RFC 9293, sections 3.7.4, 3.8.3 and 3.8.4
 */

/* Disables Nagle's algorithm (TCP_NODELAY); does nothing for fd -1. */
void tcp_no_delay(int fd);

/*
 * Lets the kernel end a connection whose peer gives nothing for about 5 s, not
 * even an acknowledgement, also when it is idle; does nothing for fd -1.
 */
void tcp_detect_silence(int fd);

#endif
