"""Jobs come while the service of their queue changes; the old worker leaves."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../rig-3"))

from link import Link  # noqa: E402
from rig import TROUBLE, route, run_case, wait_for  # noqa: E402

FIRST = "5c0e7a21d94b36f8"
STEP_MS = 3000
STEPS = 4
# Sent over this time, from half of it before the new version on.
JOBS = 12
SPAN_S = 0.12
# Between regions, one way; configApplyMs of the bounds is 3,000.
ONE_WAY_S = 0.03
CONFIG_APPLY_S = 3
# finish_s of the bounds is 14; a job with a task's turn must not idle for 3 s.
FINISH_S = 14
IDLE_S = 3


def job_id(i):
    return "%016x" % (int(FIRST, 16) + i)


def submit_all(rig, steps, begin):
    """One after the other, each on a connection of its own, at the gateway
    in the other region; from the time begin on."""
    statuses = {}

    def submit(i):
        time.sleep(max(0, begin + i * SPAN_S / JOBS - time.monotonic()))
        for _ in range(4):
            statuses[job_id(i)] = rig.submit("q", job_id(i), str(STEP_MS),
                                             steps, rig.gateways[2])
            if statuses[job_id(i)] == 200:
                return
            time.sleep(0.5)

    threads = [threading.Thread(target=submit, args=(i,))
               for i in range(JOBS)]
    for thread in threads:
        thread.start()
    return threads, statuses


def idle_since(rig, job, asked):
    """How long the job has had no run, if that is so now."""
    begun = {row["task"] for row in rig.of("start")
             if row["task"].startswith(job)}
    ends = [row for row in rig.of("end") if row["task"].startswith(job)]
    if len(begun) > len({row["task"] for row in ends}):
        return 0
    return asked - max([row["t"] for row in ends], default=0)


def scenario(rig):
    rig.store_links["g2"] = Link(rig.store, ONE_WAY_S).address
    rig.start_gateway("g2")
    rig.gateways.append("g2")
    rig.configure(route("q", "old"))
    rig.add("r0", service="old")
    rig.add("r1", service="new")
    rig.add("r2", service="new")
    rig.wait_ready()
    steps = [{"count": 1, "cpu": 500, "memMb": 100, "estimateMs": STEP_MS,
              **({"after": [i - 1]} if i else {})} for i in range(STEPS)]
    # Until the runners' workers are known at the gateways.
    wait_for("acceptance", lambda: rig.submit(
        "q", job_id(JOBS), "100", steps[:1], rig.gateways[2]) == 200)
    wait_for("the first job",
             lambda: rig.state("q", job_id(JOBS)) == "complete")
    if TROUBLE:
        begin = time.monotonic() + 0.2
        threads, statuses = submit_all(rig, steps, begin)
        time.sleep(max(0, begin + SPAN_S / 2 - time.monotonic()))
        rig.configure(route("q", "new"))
    else:
        rig.configure(route("q", "new"))
        time.sleep(CONFIG_APPLY_S)
        threads, statuses = submit_all(rig, steps, time.monotonic())
    for thread in threads:
        thread.join()
    rig.workers["r0"].leave(5)
    accepted = [job for job, status in sorted(statuses.items())
                if status == 200]
    end = time.monotonic() + STEPS * STEP_MS / 1000 + FINISH_S
    while time.monotonic() < end and any(
            rig.state("q", job) != "complete" for job in accepted):
        time.sleep(0.5)
    asked = time.monotonic() - rig.started_at
    lost = []
    for job in accepted:
        state, idle_s = rig.state("q", job), idle_since(rig, job, asked)
        rig.record("asked", job=job, state=state, idle_s=round(idle_s, 1))
        if state != "complete" and idle_s >= IDLE_S:
            lost.append(idle_s)
    if not lost:
        return None
    return "LOST: %d of %d accepted jobs have had no run for %.1f s or more" \
        % (len(lost), len(accepted), min(lost))


run_case(FOLDER, scenario)
