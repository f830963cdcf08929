"""A task whose checkpoints are longer than 256 bytes."""

import os
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "../rig"))

from checks import lost  # noqa: E402
from deployment import main  # noqa: E402

CHECKPOINT_BYTES = 320
USUAL_BYTES = 16


def check(deployment, trouble):
    gateway = deployment.gateways[0]
    for worker in deployment.workers:
        worker.checkpoint_bytes = CHECKPOINT_BYTES if trouble else USUAL_BYTES
    calm_from = deployment.now()
    job, status = deployment.submit(gateway, "9 saves", [
        {"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 9000,
         "checkpointing": True}])
    accepted = [(job, deployment.now())] if status == 200 else []
    accepted += deployment.submit_each_second(gateway, 45)
    time.sleep(4)
    return lost(deployment, gateway, accepted, calm_from)


main(CASE, check)
