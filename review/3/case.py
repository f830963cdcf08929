"""A worker crashes and starts again under its id while short tasks run."""

import os
import sys
import threading
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "../rig"))

from checks import started_again  # noqa: E402
from deployment import main  # noqa: E402
from worker import Worker  # noqa: E402

DOWN_S = 0.1
FIRST_HEARTBEAT_S = 1.0  # heartbeatIntervalMs is 1,500


def submit_until(deployment, stopped):
    while not stopped.is_set():
        deployment.submit(deployment.gateways[0], "0.15", [
            {"count": 3, "cpu": 1000, "memMb": 100, "estimateMs": 150}])
        time.sleep(0.05)


def restart(deployment, worker):
    worker.crash()
    time.sleep(DOWN_S)
    deployment.workers[0] = Worker(worker.id, worker.address, worker.runner,
                                   deployment.record,
                                   first_heartbeat_s=FIRST_HEARTBEAT_S)
    deployment.record("worker restarted", worker=worker.id)


def check(deployment, trouble):
    stopped = threading.Event()
    client = threading.Thread(target=submit_until,
                              args=(deployment, stopped))
    client.start()
    time.sleep(5)
    if trouble:
        restart(deployment, deployment.workers[0])
    time.sleep(8)
    stopped.set()
    client.join()
    time.sleep(3)
    return ["TWICE: run %d of %s has ended as done, which was noted at "
            "%.2f s; run %d is started at %s at %.2f s" %
            (end["run"], end["task"], end["at"], start["run"],
             start["worker"], start["at"])
            for end, start in started_again(deployment.rows)]


main(CASE, check, runners=2)
