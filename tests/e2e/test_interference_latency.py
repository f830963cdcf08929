#!/usr/bin/env python3
"""Throttle and eviction of a task that slows the service, at one agent."""

import sys
import threading
import time

import agent_rig

LONG_RUN = "steps=100000 step_ms=50"
REQUEST_MS = 20


class Traffic:
    """Sends a few requests at a time until closed."""

    def __init__(self, entry):
        self.entry, self.stopped = entry, False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        end = time.monotonic() + 150
        number = 0
        while not self.stopped and time.monotonic() < end:
            for _ in range(4):
                number += 1
                self.entry.request(number, "/work?ms=%d" % REQUEST_MS)
            time.sleep(0.04)

    def close(self):
        self.stopped = True
        self.thread.join()


def metric(rig, name, reason):
    return rig.metric('catkinhill_agent_%s_total{reason="%s"}' %
                      (name, reason))


def excess_percent(rig):
    return rig.metric("catkinhill_agent_latency_excess_percent")


def slow_task(rig):
    """Guards against a task that keeps slowing the service, and against an
    evicted job that loses its progress or is evicted again at once."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.config(1, weight_latency=100, weight_eviction=0)
    traffic = Traffic(entry)
    # The baseline needs some seconds without a task.
    rig.wait_until(lambda: len(entry.find("response_end")) > 400, "requests")
    entry.start_task("j", 1, "noisy " + LONG_RUN + " slow_ms=200")
    entry.wait_task("j", 1, "running")
    rig.wait_until(lambda: metric(rig, "throttles", "latency") > 0, "throttle")
    # Only a throttle that has reached the worker can do this.
    rig.wait_until(lambda: 0 < excess_percent(rig) < 250,
                   "effect of the throttle")
    stopped = entry.wait_task("j", 1, "stopped")
    assert stopped["detail"] == "interference-latency", stopped
    assert stopped["checkpoint"] == "step-%d" % len(rig.effects("j"))
    rig.wait_until(lambda: excess_percent(rig) < 20, "normal latency")
    entry.start_task("j", 2, "noisy " + LONG_RUN + " slow_ms=200",
                     checkpoint=stopped["checkpoint"])
    entry.wait_task("j", 2, "running")
    time.sleep(20)
    assert not [m for m in entry.messages for t in m.get("tasks", [])
                if t["run"] == 2 and t["state"] in ("stopping", "stopped")]
    traffic.close()
    steps = rig.effects("j")
    assert steps == list(range(len(steps)))


agent_rig.run_scenarios([slow_task], sys.argv[1])
