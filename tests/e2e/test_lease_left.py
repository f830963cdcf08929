#!/usr/bin/env python3
"""Usage: test_lease_left.py BUILD

Guards against tasks that run twice after a change of the scheduler: the new
one waits as long as runners say that leases last, so a runner must not forget
a lease that a worker that it cannot reach may still have.
"""

import os
import sys
import time

from workflow_rig import RUNNER_SETTINGS, check, run_scenarios
from cluster import wait_for
from ports import free_address

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../soak"))

from proxy import Proxy  # noqa: E402

LEASE_SECONDS = 5.5
# Older lists extend no lease.
LIST_AGE_MAX_SECONDS = 1.5


def wait_seen(rig):
    wait_for("all workers seen", lambda: all(
        any("runner=%s " % runner["name"] in line for line in
            rig.processes[rig.leader()].lines(3112))
        for runner in rig.runners))


def restart_with(rig, runner, **changes):
    """Restarts the runner with changed settings beside its worker."""
    rig.kill(runner["name"])
    fields = {**runner, **changes}
    del fields["name"], fields["path"]
    rig.write_settings(runner["name"], RUNNER_SETTINGS, **fields)
    rig.restart(runner)


def replace_leader(rig, victim):
    """Kills the scheduler and waits until the victim's tasks run elsewhere."""
    leader = rig.leader()
    tasks = rig.tasks_at(victim)
    check(tasks, "tasks at the worker that is cut off")
    rig.kill(leader)
    rig.restart(next(r for r in rig.runners if r["name"] == leader))
    wait_for("runs at other workers", lambda: rig.run_elsewhere(tasks),
             seconds=15)


def lease_before_restart_forgotten(rig):
    """A restarted runner that its worker cannot announce itself to."""
    wait_seen(rig)
    rig.submit_lasting()
    victim = next(r for r in rig.runners if r["name"] != rig.leader())
    restart_with(rig, victim, announcements=free_address())
    replace_leader(rig, victim)
    rig.check_records()


def granted_lease_forgotten(rig):
    """A runner that cannot reach its worker, so that the lease is extended no
    more, when the scheduler changes."""
    proxy = Proxy()
    try:
        wait_seen(rig)
        victim = next(r for r in rig.runners if r["name"] != rig.leader())
        address = free_address()
        proxy.add(victim["name"], address, victim["worker"])
        restart_with(rig, victim, worker=address)
        # The lease that a restarted runner assumes must be over.
        time.sleep(LEASE_SECONDS + 1)
        rig.submit_lasting()
        # Long enough for some reports, and leases for them.
        time.sleep(1)
        link = proxy.links[victim["name"]]
        link.blocked = {"up", "down"}
        time.sleep(LIST_AGE_MAX_SECONDS + 0.3)
        replace_leader(rig, victim)
        link.heal()
        rig.check_records()
    finally:
        proxy.close()


if __name__ == "__main__":
    run_scenarios([lease_before_restart_forgotten, granted_lease_forgotten],
                  os.path.abspath(sys.argv[1]))
