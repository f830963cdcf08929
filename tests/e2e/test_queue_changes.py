#!/usr/bin/env python3
"""Usage: test_queue_changes.py BUILD [SCENARIO...]

Guards against jobs that go on at the service that their queue had when a
gateway accepted them, and find no worker there once it has none.
"""

import base64
import json
import os
import sys

from workflow_rig import CONFIG, check, run_scenarios
from cluster import http_call, wait_for  # noqa: E402

STEP_MS = 1500
STEP = {"count": 1, "cpu": 100, "estimateMs": STEP_MS}
TWO_STEPS = [STEP, dict(STEP, after=[0])]
NEW_WORKER = {"w-new#0"}


def add_new_service(rig):
    """A runner with a worker of another service than that of the queues."""
    rig.runners.append(rig.add_runner("new", service="new"))
    wait_for("its worker", lambda: any(
        "runner=new worker=w-new" in line
        for line in rig.processes[rig.leader()].lines(3112)))


def change_service(rig, version):
    """The queue goes to the new service; waits for the scheduler."""
    routes = [dict(CONFIG["routes"][0], service="new"), CONFIG["routes"][1]]
    apply_config(rig, dict(CONFIG, version=version, routes=routes))


def apply_config(rig, config):
    rig.put_config(config)
    wait_for("version %d" % config["version"], lambda: any(
        "version=%d " % config["version"] in line
        for line in rig.processes[rig.leader()].lines(4006)))


def stored(rig, key):
    """The value of a key, as the store encodes it; None without one."""
    body = http_call(rig.store, "GET",
                     "/catkinhill/kv-range?prefix=" + key)[2]
    items = json.loads(body)["items"]
    return items[0]["value"] if items else None


def submit_running(rig):
    """Submits a job of two steps and waits until the first one has begun."""
    job, status = rig.submit(rig.gateways[0], TWO_STEPS, payload=str(STEP_MS))
    check(status == 200, "accepted: %s" % status)
    wait_for("its first task", lambda: rig.users_of(job + ".0.0."))
    check(rig.users_of(job) != NEW_WORKER, "at the former service")
    return job


def take_over(rig):
    leader = rig.leader()
    rig.kill(leader)
    wait_for("another scheduler", lambda: rig.leader() not in (None, leader))
    rig.restart(next(r for r in rig.runners if r["name"] == leader))


def check_second_step(rig, job):
    wait_for("the second step", lambda: rig.users_of(job + ".0.1."))
    check(rig.users_of(job + ".0.1.") == NEW_WORKER, "at the new service")
    wait_for("its end", lambda: len(
        {task for task in rig.check_records() if task.startswith(job)}) == 2)


def accepted_before_change(rig):
    """A job that a gateway took before it knew the new service, and that
    reaches the scheduler after it has got it (review/11)."""
    add_new_service(rig)
    earlier, _ = rig.submit(rig.gateways[0], [STEP], payload="50")
    rig.wait_state(earlier, "complete")
    record = stored(rig, "submitted/job/" + earlier)
    check(json.loads(base64.b64decode(record))["config_version"] ==
          CONFIG["version"], "the version of its queue is stored")
    change_service(rig, 4)
    job = rig.new_job_id()
    rig.control_store("put?key=submitted/job/" + job, record)
    rig.wait_state(job, "complete")
    check(rig.users_of(job) == NEW_WORKER, "at the new service")


def takeover(rig):
    """A job that goes back to the former service with another scheduler
    (review/12)."""
    add_new_service(rig)
    job = submit_running(rig)
    change_service(rig, 4)
    take_over(rig)
    check_second_step(rig, job)
    rig.wait_state(job, "complete")


def withdraw_queue(rig, version):
    apply_config(rig, dict(CONFIG, version=version,
                           routes=CONFIG["routes"][1:]))


def withdrawn(rig):
    """The same when the queue was withdrawn after the change, so that only the
    former scheduler has known its last service."""
    add_new_service(rig)
    job = submit_running(rig)
    change_service(rig, 4)
    wait_for("the change is stored", lambda: b'"service":"new"' in
             base64.b64decode(stored(rig, "state/" + job) or ""))
    withdraw_queue(rig, 5)
    take_over(rig)
    check_second_step(rig, job)


SCENARIOS = [accepted_before_change, takeover, withdrawn]


def main():
    names = sys.argv[2:]
    run_scenarios([s for s in SCENARIOS if not names or s.__name__ in names],
                  os.path.abspath(sys.argv[1]))


if __name__ == "__main__":
    main()
