#!/usr/bin/env python3
"""Open connections that become silent for good, without a reset, while new
ones work: to workers, to the store, and between scheduler and runners.

The docstring of a scenario is the failure that it guards against.
"""

import base64
import copy
import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../soak"))

import workflow_rig  # noqa: E402
from workflow_rig import CONFIG, check  # noqa: E402
from cluster import wait_for  # noqa: E402
from ports import free_address  # noqa: E402
from proxy import Proxy  # noqa: E402

CONTACT_S = 4  # until a disturbance counts as over
IDLE_S = 3  # longest time in which an accepted job may have nothing running
CONFIG_S = 3  # from the acknowledgement of a configuration until it is in force


class Rig(workflow_rig.Rig):
    """Each daemon has links of its own to the store and to its worker."""

    def __init__(self, build):
        self.proxy = Proxy()
        super().__init__(build)

    def add_link(self, name, target):
        listen = free_address()
        self.proxy.add(name, listen, target)
        return listen

    def write_settings(self, name, text, **fields):
        store = self.store
        if "worker" in fields:
            fields["worker"] = self.add_link(name + "-worker",
                                             fields["worker"])
        self.store = self.add_link(name + "-store", store)
        try:
            return super().write_settings(name, text, **fields)
        finally:
            self.store = store

    def silence(self, suffix, directions=("up", "down")):
        for name, link in self.proxy.links.items():
            if name.endswith(suffix):
                self.proxy.call_soon(link.mute, directions)

    def close(self):
        super().close()
        self.proxy.close()


def submit_burst(rig, jobs=3):
    """Leaves idle connections to all workers, and some to the store."""
    threads = [threading.Thread(target=rig.submit, args=(
        rig.gateways[i % 2], [{"count": 16, "cpu": 100}], "300"))
        for i in range(jobs)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def started_at(rig, job):
    return [row["at"] for _, row in rig.records()
            if row["event"] == "start" and row["task"].startswith(job)]


def check_prompt_starts(rig, count):
    for _ in range(count):
        job, status = rig.submit(rig.gateways[0], [{"count": 1, "cpu": 100}],
                                 payload="100")
        check(status == 200, "accepted: %s" % status)
        accepted = time.monotonic()
        wait_for("a start", lambda: started_at(rig, job))
        check(time.monotonic() - accepted < IDLE_S, "%s started after %.1f s" %
              (job, time.monotonic() - accepted))
        time.sleep(0.5)


def to_workers(rig):
    """Guards against one time-out for each idle connection to a worker, until
    which none of its tasks starts."""
    for bursts, delay_s in ((1, 2), (3, 2), (6, 0.2)):
        submit_burst(rig, bursts)
        time.sleep(delay_s)
        rig.silence("-worker")
        time.sleep(CONTACT_S)
        check_prompt_starts(rig, 4)
    rig.check_records()


def to_store(rig):
    """Guards against the same at the store: a route of a configuration that is
    long acknowledged was refused."""
    config = copy.deepcopy(CONFIG)
    for i, jobs in enumerate((2, 24)):
        submit_burst(rig, jobs)
        time.sleep(0.5)
        rig.silence("-store")
        time.sleep(CONTACT_S)
        config["version"] += 1
        config["routes"].append(dict(config["routes"][0], name="q-new%d" % i,
                                     prefix="/new%d/" % i))
        rig.put_config(config)
        time.sleep(CONFIG_S)
        for gateway in rig.gateways:
            status = rig.call(gateway, "GET", "/new%d/" % i,
                              "fast.example")[0]
            check(status == 200, "%s: %s" % (gateway["name"], status))
        check_prompt_starts(rig, 2)
    rig.check_records()


def register_link(rig, runner):
    """Lets schedulers reach the runner through a link."""
    address = rig.add_link(runner["name"] + "-peers", runner["peers"])
    value = json.dumps({"address": address}).encode()
    wait_for("the runner's own entry",
             lambda: rig.processes[runner["name"]].lines(5004))
    rig.control_store("put?key=node/" + runner["name"],
                      base64.b64encode(value).decode())


def links_of_scheduler(rig):
    """Guards against a link between scheduler and runner that is silent, in
    both directions or only towards the runner: its runs got no lease."""
    for runner in rig.runners:
        register_link(rig, runner)
    job, _ = rig.submit_lasting()
    for directions in (("up",), ("down",), ("up", "down"), ("up",)):
        rig.silence("-peers", directions)
        time.sleep(CONTACT_S)
        check_prompt_starts(rig, 3)
    ends = [row for _, row in rig.records()
            if row["event"] == "end" and row["task"].startswith(job)]
    check(not ends, "ends: %s" % ends)
    rig.check_records()


def first_worker_is_late(rig):
    """Guards against a runner without a worker, whose reports need no answer,
    that closes its link to the scheduler as soon as it has a worker."""
    runner = rig.add_runner("r9", announce_delay_ms=4000)
    register_link(rig, runner)
    link = rig.proxy.links["r9-peers"]
    rig.proxy.call_soon(setattr, link, "delay_s", 0.15)
    process = rig.processes["r9"]
    wait_for("the worker", lambda: process.lines(2101))
    time.sleep(1)
    check(not process.lines(2109), "the link was closed")


def to_all_in_series(rig):
    """Guards against a loss of work when connections become silent again and
    again, in the middle of calls."""
    jobs = []
    for i in range(8):
        jobs.append(rig.submit(rig.gateways[i % 2],
                               [{"count": 6, "cpu": 200}], payload="400")[0])
        time.sleep(0.1 + 0.13 * i)
        rig.silence("-worker" if i % 2 else "-store")
    for job in jobs:
        rig.wait_state(job, "complete")
    rig.check_records()


def main():
    workflow_rig.Rig = Rig
    names = sys.argv[2:]
    workflow_rig.run_scenarios([
        s for s in (to_workers, to_store, links_of_scheduler,
                        first_worker_is_late, to_all_in_series)
        if not names or s.__name__ in names], os.path.abspath(sys.argv[1]))


if __name__ == "__main__":
    main()
