"""All runs of a worker end while the store is down: more than one answer
of the worker can list."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../rig-2"))

from rig import broken_twice, main, worker_rows  # noqa: E402

WORKERS = 3
TASKS_PER_WORKER = 512
JOBS = 16
SPACING_MS = 250       # so that a worker's connections suffice for the starts
ENDS_FROM_MS = 8000    # from the first job on
ENDS_MS = 1500
OUTAGE_S = 4.5


def started(rig):
    return sum(row["event"] == "start" and row["task"][:16] in rig.jobs
               for _, row in worker_rows(rig.record))


async def scenario(rig):
    rng = random.Random(1)
    count = WORKERS * TASKS_PER_WORKER
    rig.jobs = {}
    for i in range(JOBS):
        job = rig.new_job()
        rig.jobs[job] = 0
        work_ms = ENDS_FROM_MS - i * SPACING_MS + rng.randint(0, ENDS_MS)
        await rig.submit(job, "fast", str(work_ms), [
            {"count": count // JOBS, "cpu": 100, "memMb": 100,
             "estimateMs": work_ms}])
        await asyncio.sleep(SPACING_MS / 1000)

    async def all_started():
        return started(rig) >= count
    await rig.wait("all tasks at work", all_started)
    rig.record.add("note", all_started=count)
    first = min(at for at, row in worker_rows(rig.record)
                if row["event"] == "start" and row["task"][:16] in rig.jobs)
    now = rig.record.rows[-1][0]
    await asyncio.sleep(max(0, (first + ENDS_FROM_MS - 300 - now) / 1000))
    if rig.trouble:
        rig.record.add("store", mode="silent")
        await rig.store.set_mode("silent")
        await asyncio.sleep(OUTAGE_S)
        rig.record.add("store", mode="up")
        await rig.store.set_mode("up")
    for job in rig.jobs:
        await rig.wait_state(job, "fast", "complete", 40)
    return broken_twice(rig.record)


if __name__ == "__main__":
    main(FOLDER, scenario, gateways=2, runners=WORKERS)
