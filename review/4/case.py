"""A gateway is frozen while a client hands in a job, leaves and cancels it."""

import os
import sys
import signal
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "../rig"))

from deployment import PREFIX, main  # noqa: E402

FREEZE_S = 4.0
LEAVE_S = 0.5
CANCEL_S = 3.0  # cancel_ms
STEPS = [{"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 5000}]


def check(deployment, trouble):
    frozen, other = deployment.gateways
    job = deployment.new_job()
    time.sleep(5)
    begin = deployment.now()
    if trouble:
        deployment.signal(frozen, signal.SIGSTOP)
    deployment.call(frozen, "POST", PREFIX + job,
                    {"spec": "5", "steps": STEPS}, seconds=LEAVE_S)
    status, _ = deployment.call(other, "DELETE", PREFIX + job)
    cancelled = deployment.now()
    time.sleep(max(0, begin + FREEZE_S - deployment.now()))
    if trouble:
        deployment.signal(frozen, signal.SIGCONT)
    time.sleep(10)
    deployment.call(other, "GET", PREFIX + job)
    if status not in (200, 410):
        return []
    return ["UNASKED: %s is started %.2f s after the DELETE was answered "
            "with %d" % (row["task"], row["at"] - cancelled, status)
            for row in deployment.events("start")
            if row["task"].startswith(job + ".") and
            row["at"] > cancelled + CANCEL_S]


main(CASE, check, gateways=2)
