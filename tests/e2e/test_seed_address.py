#!/usr/bin/env python3
"""An agent whose seed is a second address of an entry in the directory."""

import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..",
                                "tools", "pylib"))

from cluster import Cluster, http_call, wait_for  # noqa: E402
from ports import free_port  # noqa: E402

LINK_UP_EVENT = 2005
WATCHED_S = 8


def forward(port, target):
    """A TCP proxy in place of a load balancer in front of the entries."""
    listener = socket.create_server(("127.0.0.1", port))

    def pump(source, sink):
        try:
            while data := source.recv(65536):
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            end.close()

    def accept():
        while True:
            client = listener.accept()[0]
            host, number = target.split(":")
            server = socket.create_connection((host, int(number)))
            for pair in ((client, server), (server, client)):
                threading.Thread(target=pump, args=pair, daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return "127.0.0.1:%d" % port


def usable(cluster, entry):
    return sum(member["usable"] for member in
               cluster.ctl_json("status", entry=entry)["members"])


def main():
    """Guards against two connections to one entry that replace each other,
    because both carry the same routing id of the agent."""
    with Cluster(sys.argv[1]) as cluster:
        cluster.start_store()
        first = cluster.start_entry("e1", "a", "a1")
        second = cluster.start_entry("e2", "a", "a1")
        balancer = forward(free_port(), first.peers)
        worker = cluster.start_worker("w1")
        agent = cluster.start_agent("vm1", worker, "a", "a1",
                                    seeds=[balancer])
        for entry in (first, second):
            wait_for("the agent at " + entry.name,
                     lambda: usable(cluster, entry) == 1)
        end = time.monotonic() + WATCHED_S
        while time.monotonic() < end:
            for entry in (first, second):
                status, headers, _ = http_call(entry.callers, "POST", "/echo",
                                               "x")
                assert (status, headers["Catkinhill-Outcome"]) == \
                    (200, "done"), (entry.name, status)
            time.sleep(0.02)
        link_ups = agent.lines(LINK_UP_EVENT)
        assert len(link_ups) == 2, link_ups


main()
