"""Open connections to the workers go silent; new ones work."""

import os
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "../rig"))

from checks import lost  # noqa: E402
from deployment import main  # noqa: E402


def submit_burst(deployment, gateway):
    """Three jobs at once, of the width that the sheet of requests names."""
    for _ in range(3):
        deployment.submit(gateway, "0.7", [
            {"count": 36, "cpu": 1000, "memMb": 100, "estimateMs": 700}])


def check(deployment, trouble):
    gateway = deployment.gateways[0]
    for _ in range(2):
        submit_burst(deployment, gateway)
        time.sleep(3)
    calm_from = deployment.now()
    if trouble:
        deployment.record("open connections to workers are silent")
        for worker in deployment.workers:
            worker.server.silence_connections()
    accepted = deployment.submit_each_second(gateway, 25)
    time.sleep(4)
    return lost(deployment, gateway, accepted, calm_from)


main(CASE, check)
