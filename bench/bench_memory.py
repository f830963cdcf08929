#!/usr/bin/env python3
"""Usage: bench_memory.py BUILD

Most memory of a scheduler at the limits of what it holds, against the 128 MB of
its VM. Each scenario ends with a kill of the scheduler, so that the next one
has to load all of it. Prints a JSON line for each; exit status 1 if one is over.
"""

import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../tests/e2e"))

from workflow_rig import Rig  # noqa: E402
from cluster import wait_for  # noqa: E402

MEMORY_MB = 128
SENDERS = 8
LOAD_S = 180

NO_PLACE = {"cpu": 70000, "memMb": 100, "estimateMs": 500}
DAY_S = 86400


def recurring(rig, count, steps):
    first_ms = (int(time.time()) - DAY_S) * 1000
    return [{"spec": "500", "steps": steps, "repeatCount": DAY_S,
             "firstMs": first_ms, "intervalMs": 1000} for _ in range(count)]


def plain(count, steps, payload="500"):
    return [{"spec": payload, "steps": steps}] * count


# name, bodies of the jobs
SCENARIOS = [
    ("empty", lambda rig: []),
    ("40 recurring jobs of 24 tasks without a place", lambda rig: recurring(
        rig, 40, [dict(NO_PLACE, count=24, maxPerServer=4)])),
    ("40 recurring jobs, second step without a place", lambda rig: recurring(
        rig, 40, [{"count": 1, "cpu": 1, "estimateMs": 1},
                  dict(NO_PLACE, count=24, after=[0])])),
    ("20,000 waiting jobs of 2 steps", lambda rig: plain(
        20000, [dict(NO_PLACE, count=8), dict(NO_PLACE, count=8, after=[0])])),
    # More than are taken in; the stand-in of the store is slow beyond.
    ("40,000 waiting jobs of 1 step", lambda rig: plain(
        40000, [dict(NO_PLACE, count=1)])),
    ("1,500 waiting jobs of 60 KB", lambda rig: plain(
        1500, [dict(NO_PLACE, count=1, dataRack="x" * 60000)])),
    ("400 waiting jobs of 256 steps, each after all others",
     lambda rig: plain(400, [
         dict(NO_PLACE, count=1, after=list(range(i))) for i in range(256)])),
    ("60 jobs of 20,000 tasks, each with some at work", lambda rig: plain(
        60, [{"count": 20000, "cpu": 10, "estimateMs": 100,
              "maxPerServer": 1}], "60000")),
]


def submit_all(rig, bodies):
    """Returns the accepted jobs and the number of those refused with 429."""
    lock, left, accepted, refused = threading.Lock(), list(bodies), [], [0]

    def send(gateway):
        while True:
            with lock:
                if not left:
                    return
                body = left.pop()
                job = rig.new_job_id()
            status = 0
            for _ in range(5):
                status = rig.call(gateway, "POST", "/slow/" + job,
                                  "slow.example", body)[0]
                if status in (200, 429):
                    break
            with lock:
                if status == 200:
                    accepted.append(job)
                refused[0] += status == 429
    threads = [threading.Thread(target=send, args=(rig.gateways[i % 2],))
               for i in range(SENDERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return accepted, refused[0]


def peak_mb(rig, name):
    with open("/proc/%d/status" % rig.processes[name].popen.pid) as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    return 0


def is_known(rig, job):
    try:
        return rig.state(rig.gateways[0], job, "slow") in ("queued", "running")
    except OSError:
        return False


def play(build, name, make_bodies):
    rig = Rig(build)
    try:
        rig.wait_ready()
        rig.wait_workers()
        jobs, refused = submit_all(rig, make_bodies(rig))
        time.sleep(5)
        leader = rig.leader()
        first = peak_mb(rig, leader)
        rig.kill(leader)
        rig.restart(next(r for r in rig.runners if r["name"] == leader))
        begin = time.monotonic()
        wait_for("the next scheduler", lambda: any(
            rig.processes[r["name"]].lines(3103) for r in rig.runners),
                 seconds=LOAD_S)
        loaded_s = time.monotonic() - begin
        time.sleep(10)
        peaks = [peak_mb(rig, r["name"]) for r in rig.runners]
        known = sum(is_known(rig, job) for job in jobs[:200])
        # Others still go on.
        job, _ = rig.submit(rig.gateways[0], [{"count": 1, "cpu": 1}],
                            payload="50")
        begin = time.monotonic()
        rig.wait_state(job, "complete")
        row = {"scenario": name, "jobs": len(jobs),
               "refused": refused,
               "first_mb": round(first, 1), "next_mb": round(max(peaks), 1),
               "limit_mb": MEMORY_MB, "loaded_s": round(loaded_s, 2),
               "known_of_200": known,
               "other_job_s": round(time.monotonic() - begin, 2)}
    finally:
        rig.close()
    print(json.dumps(row), flush=True)
    return max(row["first_mb"], row["next_mb"]) < MEMORY_MB


def main():
    build = os.path.abspath(sys.argv[1])
    results = [play(build, name, bodies) for name, bodies in SCENARIOS
               if len(sys.argv) < 3 or any(n in name for n in sys.argv[2:])]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
