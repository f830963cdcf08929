#!/usr/bin/env python3
"""Usage: test_backlog.py BUILD [SCENARIO...]

Guards against a scheduler that exceeds its memory by the jobs that it has
accepted, against jobs that are lost as there was none for them, and against
jobs without a place that keep others out.
"""

import base64
import json
import os
import sys
import time

from workflow_rig import CONFIG, check, run_scenarios
from cluster import wait_for  # noqa: E402

TEXT_BYTES = 60000
LARGE_JOBS = 700  # 42 MB of specifications; 24 MB are taken in
FILLING_JOBS = 450  # 27 MB
MEMORY_MB = 128   # of the VMs


def large_step(**fields):
    """A step of one task whose specification takes much memory."""
    return dict({"count": 1, "cpu": 100, "estimateMs": 50,
                 "dataRack": "x" * TEXT_BYTES}, **fields)


def submit_large(rig, count, queue, **fields):
    jobs = []
    for i in range(count):
        job, status = rig.submit(rig.gateways[i % 2], [large_step(**fields)],
                                 payload="50", queue=queue)
        check(status == 200, "accepted: %s" % status)
        jobs.append(job)
    return jobs


def peak_mb(rig, name):
    with open("/proc/%d/status" % rig.processes[name].popen.pid) as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    return 0


def check_memory(rig):
    for runner in rig.runners:
        peak = peak_mb(rig, runner["name"])
        print("%s: at most %.0f MB" % (runner["name"], peak))
        check(peak < MEMORY_MB, "memory of " + runner["name"])


def restart_scheduler(rig):
    leader = rig.leader()
    rig.kill(leader)
    rig.restart(next(r for r in rig.runners if r["name"] == leader))
    wait_for("another scheduler", lambda: rig.leader() not in (None, leader) or
             len(rig.processes[leader].lines(3103)))


def wait_pending(rig, queue, count):
    def pending():
        body = rig.call(rig.gateways[0], "GET", "/%s/" % queue,
                        queue + ".example")[2]
        return json.loads(body).get("pending") == count
    wait_for("%d pending jobs" % count, pending)


def no_place(rig):
    """Jobs that find no place, of an earlier priority than the others."""
    rig.wait_workers()
    poison = submit_large(rig, LARGE_JOBS, "fast", cpu=70000)
    wait_pending(rig, "fast", LARGE_JOBS)
    check(rig.state(rig.gateways[0], poison[0]) == "queued", "the first waits")
    check(rig.state(rig.gateways[0], poison[-1]) == "queued", "the last waits")
    for job in submit_large(rig, 20, "slow"):
        rig.wait_state(job, "complete", queue="slow")
    for job in poison[:5] + poison[-5:]:
        status = rig.call(rig.gateways[1], "DELETE", "/fast/" + job,
                          "fast.example")[0]
        check(status == 200, "cancelled: %s" % status)
        rig.wait_state(job, "cancelled")
    wait_pending(rig, "fast", LARGE_JOBS - 10)
    restart_scheduler(rig)
    for job in submit_large(rig, 20, "slow"):
        rig.wait_state(job, "complete", queue="slow")
    wait_pending(rig, "fast", LARGE_JOBS - 10)
    check(rig.state(rig.gateways[0], poison[7]) == "queued", "one waits still")
    check(rig.state(rig.gateways[0], poison[-1]) == "cancelled", "one is not")
    check_memory(rig)


def all_end(rig):
    """Jobs beyond the memory that end once there is room for them."""
    rig.wait_workers()
    blocker, _ = rig.submit(rig.gateways[0], [
        {"count": 3, "cpu": 8000, "maxPerServer": 1, "longRunning": True}],
        payload="600000")
    wait_for("no room", lambda: len(rig.users_of(blocker)) == 3)
    jobs = submit_large(rig, LARGE_JOBS, "slow")
    wait_pending(rig, "slow", LARGE_JOBS)
    restart_scheduler(rig)
    wait_pending(rig, "slow", LARGE_JOBS)
    rig.call(rig.gateways[0], "DELETE", "/fast/" + blocker, "fast.example")
    begin = time.monotonic()
    for job in jobs:
        rig.wait_state(job, "complete", queue="slow")
    print("all have ended after %.1f s" % (time.monotonic() - begin))
    done = {task[:16] for task in rig.check_records()}
    check(done >= set(jobs), "each has run")
    check_memory(rig)


def full(rig):
    """Too many jobs wait: others are refused at once, known ones are not, and
    a new scheduler with room accepts them again."""
    step = [{"count": 1, "cpu": 1}]
    job, _ = rig.submit(rig.gateways[0], step, payload="50")
    rig.wait_state(job, "complete")
    rig.control_store("put?key=full", base64.b64encode(b"{}").decode())
    status, headers, _ = rig.call(
        rig.gateways[0], "POST", "/fast/" + rig.new_job_id(), "fast.example",
        {"spec": "50", "steps": step})
    check(status == 429, "refused: %s" % status)
    check(int(headers["Retry-After"]) > 1, "not at once again")
    check(rig.submit(rig.gateways[1], step, job=job)[1] == 200, "known")
    restart_scheduler(rig)
    wait_for("room", lambda: rig.submit(rig.gateways[0], step,
                                        payload="50")[1] == 200)
    other, _ = rig.submit(rig.gateways[1], step, payload="50")
    rig.wait_state(other, "complete")


def priority_changes(rig):
    """A scheduler that takes in what waits by the priorities that were in
    force when the jobs were accepted."""
    rig.wait_workers()
    submit_large(rig, FILLING_JOBS, "fast", cpu=70000)
    later = {"fast": [], "slow": []}
    for _ in range(10):
        for queue, jobs in later.items():
            jobs += submit_large(rig, 1, queue, cpu=70000)
    wait_pending(rig, "slow", len(later["slow"]))
    fast, slow = CONFIG["routes"]
    rig.put_config(dict(CONFIG, version=4, routes=[
        dict(fast, priority=slow["priority"]),
        dict(slow, priority=fast["priority"])]))
    restart_scheduler(rig)
    leader = rig.processes[rig.leader()]

    def taken_in():
        """Jobs that were taken in after the first reading, in their order."""
        text = leader.text().partition(" scheduler-loaded ")[2]
        return [line.split("job=")[1].split()[0]
                for line in text.splitlines() if " workflow-taken " in line]
    wait_for("those that go first", lambda:
             set(later["slow"]) <= set(taken_in()))
    jobs = taken_in()
    last = max(jobs.index(job) for job in later["slow"])
    check(not set(later["fast"]) & set(jobs[:last]), "the others come later")


SCENARIOS = [no_place, all_end, full, priority_changes]


def main():
    # With AddressSanitizer, up to 256 MB of freed memory would count besides.
    os.environ.setdefault("ASAN_OPTIONS", "quarantine_size_mb=16")
    names = sys.argv[2:]
    run_scenarios([s for s in SCENARIOS if not names or s.__name__ in names],
                  os.path.abspath(sys.argv[1]))


if __name__ == "__main__":
    main()
