#!/usr/bin/env python3
"""A configuration reaches each agent in few copies, despite a frozen entry.

usage: tests/e2e/test_config_spread.py BUILD_DIRECTORY
"""

import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..",
                                "tools", "pylib"))

from capacity_series import set_retry_floor  # noqa: E402
from cluster import Cluster, ClusterError, wait_for  # noqa: E402
from measure import start_fleet, wait_agents_usable  # noqa: E402

AGENTS = 20


def wait_version(fleet, version):
    wait_for("version %d at all agents" % version,
             lambda: fleet.sample()["least_version"] >= version)


def main():
    with Cluster(sys.argv[1]) as cluster:
        cluster.start_store()
        cluster.start_entries(3)
        fleet = start_fleet(cluster, AGENTS, 0)
        wait_agents_usable(cluster.entries, AGENTS)
        wait_for("the entries to know each other", lambda: all(
            entry.lines(1011)[-1:] and
            "entries=3" in entry.lines(1011)[-1] for entry in cluster.entries))

        # Guards against a copy from every entry; a report that is in flight
        # when the configuration is sent may cause a second copy.
        version = set_retry_floor(cluster, cluster.entries[0], 20)
        wait_version(fleet, version)
        copies = fleet.sample()["configs"]
        if copies >= 3 * AGENTS:
            raise ClusterError("%d copies for %d agents" % (copies, AGENTS))

        # Guards against agents that wait for the copy of a frozen entry.
        cluster.entries[2].signal(signal.SIGSTOP)
        wait_version(fleet, set_retry_floor(cluster, cluster.entries[0], 21))
        cluster.entries[2].signal(signal.SIGCONT)
    print("ok: %d copies for %d agents" % (copies, AGENTS))


main()
