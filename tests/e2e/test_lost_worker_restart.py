#!/usr/bin/env python3
"""Usage: test_lost_worker_restart.py BUILD

Lost workers and runners: what waits for them, and what is logged of them.
"""

import os
import sys
import time

from workflow_rig import check, run_scenarios
from cluster import wait_for  # noqa: E402


def runner_restarted(rig):
    """Guards against tasks that wait for a lost worker as long as the scheduler
    leads: a report of its restarted runner, without a worker, extended the
    lease of the worker's runs."""
    rig.submit_lasting()
    victim = next(r for r in rig.runners if r["name"] != rig.leader())
    lost = rig.lose_worker(victim)
    # The scheduler must first see lists that are too old.
    time.sleep(2)
    rig.kill(victim["name"])
    rig.restart(victim)
    wait_for("runs at other workers", lambda: rig.run_elsewhere(lost),
             seconds=20)
    rig.check_records(killed_workers=["w-%s#0" % victim["name"]])


def runner_lost_for_good(rig):
    """Guards against a line for each message to a runner that is gone, which
    take the place of others in a log of limited rate."""
    def lines():
        return [line for line in rig.processes[rig.leader()].lines(3118)
                if "runner=%s " % victim["name"] in line]

    rig.wait_workers()
    victim = next(r for r in rig.runners if r["name"] != rig.leader())
    for losses in (1, 2):
        rig.kill(victim["name"])
        wait_for("the loss in the log", lambda: len(lines()) == losses)
        time.sleep(3)
        check(len(lines()) == losses, "%d lines for %d losses" %
              (len(lines()), losses))
        rig.restart(victim)
        rig.wait_workers()


if __name__ == "__main__":
    run_scenarios([runner_restarted, runner_lost_for_good], os.path.abspath(sys.argv[1]))
