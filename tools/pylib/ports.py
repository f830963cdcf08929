"""Addresses on 127.0.0.1 that no other test process uses.

A port that the system hands out for "any" can be taken by an outgoing
connection of some process between its release and the start of the daemon
that shall listen on it. Ports below the range of outgoing connections cannot;
a lock file a port keeps test processes apart, until this process ends.
"""

import fcntl
import os
import random
import socket
import tempfile

FIRST, LAST = 10000, 32000  # Linux connects from 32768 upwards
TRIES = 2000

_locks = []
_random = random.SystemRandom()


def _lock(port):
    folder = os.path.join(tempfile.gettempdir(), "catkinhill-ports")
    os.makedirs(folder, exist_ok=True)
    lock = open(os.path.join(folder, str(port)), "w")
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
    """A port that stays this process's own."""
    for _ in range(TRIES):
        port = _random.randrange(FIRST, LAST)
        lock = _lock(port)
        if not lock:
            continue
        if _is_free(port):
            _locks.append(lock)
            return port
        lock.close()
    raise RuntimeError("no free port between %d and %d" % (FIRST, LAST))


def free_address():
    return "127.0.0.1:%d" % free_port()
