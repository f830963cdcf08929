"""A heartbeat of another writer, with a service that is not configured."""

import os
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "../rig"))

from checks import overlaps  # noqa: E402
from deployment import main  # noqa: E402
from worker import send_heartbeat  # noqa: E402


def check(deployment, trouble):
    gateway = deployment.gateways[0]
    deployment.submit(gateway, "8", [
        {"count": 9, "cpu": 1000, "memMb": 100, "estimateMs": 8000}])
    time.sleep(3)
    if trouble:
        fields = {"service": "elsewhere", "address": "127.0.0.1:9",
                  "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
                  "coldLeftMs": 0, "labels": ["a", "r1-1"],
                  "capacity": {"cpu": 64000, "memMb": 250000, "gpu": 0},
                  "clockMs": 1000, "sequence": 1,
                  "born": int(time.time() * 1000)}
        status = send_heartbeat(deployment.workers[0].runner, "i-0badc0de",
                                fields)
        deployment.record("odd heartbeat", status=status, fields=fields)
    time.sleep(20)
    deployment.submit(gateway, "0.3", [
        {"count": 9, "cpu": 1000, "memMb": 100, "estimateMs": 300}])
    time.sleep(3)
    now = deployment.now()
    return ["TWICE: %s runs at %s from %.2f s on and, before that run has "
            "ended, at %s from %.2f s on" %
            (task, first[2], first[3], second[2], second[3])
            for task, first, second in overlaps(deployment.rows, now)]


main(CASE, check)
