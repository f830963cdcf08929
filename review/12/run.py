"""A job goes on at the new service of its queue; then the scheduler is killed."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../rig-3"))

from rig import TROUBLE, route, run_case, wait_for  # noqa: E402

JOB = "5c0e7a21d94b36f8"
STEP_MS = 3000
STEPS = 4
# finish_s of the bounds is 14; a job with a task's turn must not idle for 3 s.
FINISH_S = 14
IDLE_S = 3


def starts(rig):
    return rig.of("start")


def longest_idle(rig, until):
    """Longest time without a run of the job, and the time when it began."""
    running, since, worst = set(), None, (0, 0)
    for row in rig.events:
        if row["event"] == "start":
            running.add(row["task"])
            if since is not None:
                worst = max(worst, (row["t"] - since, since))
            since = None
        elif row["event"] == "end":
            running.discard(row["task"])
            if not running:
                since = row["t"]
    if since is not None:
        worst = max(worst, (until - since, since))
    return worst


def scenario(rig):
    rig.configure(route("q", "old"))
    rig.add("r0", service="old")
    rig.add("r1", service="new")
    rig.add("r2", service="new")
    rig.wait_ready()
    steps = [{"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": STEP_MS,
              **({"after": [i - 1]} if i else {})} for i in range(STEPS)]
    # Retried until the runners' workers are known.
    wait_for("acceptance", lambda: rig.submit("q", JOB, str(STEP_MS), steps)
             == 200)
    wait_for("a start at the old service",
             lambda: rig.of("start", worker="w-r0"))
    # The queue moves to the new service, and the old one's worker leaves.
    rig.configure(route("q", "new"))
    rig.workers["r0"].leave(5)
    wait_for("a start at the new service",
             lambda: rig.of("start", worker="w-r1") or
             rig.of("start", worker="w-r2"))
    leader = rig.leader()
    if TROUBLE:
        rig.kill(leader)
        time.sleep(1)
        rig.start_runner(leader)
    end = time.monotonic() + 8 + STEPS * STEP_MS / 1000 + FINISH_S
    while time.monotonic() < end and rig.state("q", JOB) != "complete":
        time.sleep(0.25)
    state = rig.state("q", JOB, rig.gateways[1])
    idle_s, since = longest_idle(rig, time.monotonic() - rig.started_at)
    rig.record("asked", job=JOB, state=state, idle_s=round(idle_s, 1),
               idle_since=since)
    if state == "complete":
        return None
    if idle_s < IDLE_S:
        return None
    return "LOST: job is %s and has had no run for %.1f s" % (state, idle_s)


run_case(FOLDER, scenario)
