#!/usr/bin/env python3
"""Usage: test_many_ends.py BUILD [SCENARIO...]

Guards against tasks that run again after their end: a worker lists 500 ends at
a time, and those that its answer left out counted as lost runs.
"""

import os
import sys
import time

from workflow_rig import check, run_scenarios
from cluster import wait_for  # noqa: E402

JOB_TASKS = 96
SPACING_S = 0.15
ENDS_AFTER_S = 5.0  # the tasks end together, so long after the first start
OUTAGE_S = 4.2      # less than the leases of the runs


def submit_all(rig, count):
    """Submits jobs whose tasks end at about the same time."""
    end = time.monotonic() + ENDS_AFTER_S
    jobs = []
    while len(jobs) * JOB_TASKS < count:
        work_ms = int((end - time.monotonic()) * 1000)
        step = {"count": JOB_TASKS, "cpu": 10, "estimateMs": work_ms}
        jobs.append(rig.submit(rig.gateways[0], [step],
                               payload=str(work_ms))[0])
        time.sleep(SPACING_S)
    return jobs, end


def starts(rig, jobs):
    return sum(row["event"] == "start" and row["task"][:16] in jobs
               for _, row in rig.records())


def end_in_outage(rig, per_worker, during):
    rig.wait_workers()
    jobs, end = submit_all(rig, per_worker * len(rig.runners))
    count = len(jobs) * JOB_TASKS
    wait_for("all starts", lambda: starts(rig, jobs) == count)
    check(time.monotonic() < end, "all have started before the first end")
    time.sleep(max(0, end - time.monotonic() - 0.3))
    rig.control_store("mode?name=silent")
    time.sleep(OUTAGE_S / 2)
    during(rig)
    time.sleep(OUTAGE_S / 2)
    rig.control_store("mode?name=none")
    for job in jobs:
        rig.wait_state(job, "complete")
    done = {task for task in rig.check_records() if task[:16] in jobs}
    check(len(done) == count, "%d of %d tasks are done" % (len(done), count))
    check(starts(rig, jobs) == count, "each has started once")


def restart(rig, name):
    rig.kill(name)
    rig.restart(next(r for r in rig.runners if r["name"] == name))


def store_away(rig):
    """All runs end while no end can be stored."""
    end_in_outage(rig, 512, lambda rig: None)


def fewer_ends(rig):
    """As many as one answer just holds."""
    end_in_outage(rig, 480, lambda rig: None)


def scheduler_killed(rig):
    """The next scheduler knows the runs only from their records."""
    end_in_outage(rig, 512, lambda rig: restart(rig, rig.leader()))


def runner_killed(rig):
    """The next runner knows the runs only from the lists of its worker."""
    leader = rig.leader()
    end_in_outage(rig, 512, lambda rig: restart(rig, next(
        r["name"] for r in rig.runners if r["name"] != leader)))


SCENARIOS = [store_away, fewer_ends, scheduler_killed, runner_killed]


def main():
    names = sys.argv[2:]
    run_scenarios([s for s in SCENARIOS if not names or s.__name__ in names],
                  os.path.abspath(sys.argv[1]))


if __name__ == "__main__":
    main()
