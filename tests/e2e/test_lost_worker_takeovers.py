#!/usr/bin/env python3
"""Usage: test_lost_worker_takeovers.py BUILD

Guards against tasks of a lost worker that no scheduler places because each
one begins to wait anew for the end of their lease.
"""

import os
import signal
import sys
import time

from workflow_rig import check, run_scenarios
from cluster import ClusterError, wait_for  # noqa: E402

# Less than the time after which a scheduler drops the runs of a worker that
# it has never heard of.
TERM_SECONDS = 6
TERMS = 5


def stop_leader(rig):
    leader = rig.leader()
    rig.processes[leader].signal(signal.SIGTERM)
    rig.processes[leader].popen.wait(timeout=10)
    rig.restart(next(r for r in rig.runners if r["name"] == leader))
    wait_for("another scheduler", lambda: rig.leader() not in (None, leader))


def wait_through_terms(rig, victim, lost):
    for _ in range(TERMS):
        time.sleep(1)
        stop_leader(rig)
        try:
            wait_for("runs at other workers", lambda: rig.run_elsewhere(lost),
                     seconds=TERM_SECONDS - 1)
            break
        except ClusterError:
            pass
    check(rig.run_elsewhere(lost), "%s run at other workers" % sorted(lost))
    rig.check_records(killed_workers=["w-%s#0" % victim["name"]])


def schedulers_stopped(rig):
    """Tasks of a lost worker that wait as long as schedulers change."""
    rig.submit_lasting()
    victim = next(r for r in rig.runners if r["name"] != rig.leader())
    wait_through_terms(rig, victim, rig.lose_worker(victim))


def vm_lost(rig):
    """The same when the runner is lost as well and tells nobody."""
    rig.submit_lasting()
    victim = next(r for r in rig.runners if r["name"] != rig.leader())
    lost = rig.lose_worker(victim)
    rig.kill(victim["name"])
    wait_through_terms(rig, victim, lost)


if __name__ == "__main__":
    run_scenarios([schedulers_stopped, vm_lost], os.path.abspath(sys.argv[1]))
