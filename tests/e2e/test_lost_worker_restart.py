#!/usr/bin/env python3
"""Usage: test_lost_worker_restart.py BUILD

Guards against tasks that wait for ever for a lost worker whose runner has
restarted: a report without a worker extended the lease of the worker's runs.
"""

import os
import sys
import time

from workflow_rig import run_scenarios
from cluster import wait_for  # noqa: E402


def runner_restarted(rig):
    """Tasks of a lost worker that wait as long as the scheduler leads."""
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


if __name__ == "__main__":
    run_scenarios([runner_restarted], os.path.abspath(sys.argv[1]))
