"""Addresses on 127.0.0.1 that no other test process uses.

A free port found by binding to port 0 is ephemeral: an outgoing connection of
another process can take it between its release and the start of the daemon
that is to listen on it. Ports below the ephemeral range are safe from that; a
lock file per port keeps test processes apart until this process ends.
"""

import fcntl
import os
import random
import socket
import tempfile

# Linux takes ephemeral ports from 32768 upwards.
PORT_MIN, PORT_END = 10000, 32000
ATTEMPTS_MAX = 2000

_held_locks = []
_random = random.SystemRandom()


def _lock_port(port):
    directory = os.path.join(tempfile.gettempdir(), "catkinhill-ports")
    os.makedirs(directory, exist_ok=True)
    lock = open(os.path.join(directory, str(port)), "w")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock.close()
        return None
    return lock


def _is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_port():
    """Returns a port that is reserved until this process ends."""
    for _ in range(ATTEMPTS_MAX):
        port = _random.randrange(PORT_MIN, PORT_END)
        lock = _lock_port(port)
        if not lock:
            continue
        if _is_free(port):
            _held_locks.append(lock)
            return port
        lock.close()
    raise RuntimeError("no free port between %d and %d" % (PORT_MIN, PORT_END))


def free_address():
    return "127.0.0.1:%d" % free_port()
