#!/usr/bin/env python3
"""Usage: test_unconfirmed_starts.py BUILD [SCENARIO...]

Guards against tasks that wait for ever for a worker that lists its runs but
doesn't start new ones, and against running them twice when it starts them late.
"""

import base64
import json
import os
import sys
import time

from relay import Relay
from workflow_rig import check, run_scenarios
from cluster import wait_for  # noqa: E402
from ports import free_address  # noqa: E402

# A start is given up after 2 s, then stopped once its call has timed out; the
# rest is the worst case of four refused runs in a row of 1.2 s each.
LIMIT_S = 10
HEARTBEAT_S = 2  # of links between scheduler and runners


def started(rig, job):
    return {row["task"] for _, row in rig.records()
            if row["event"] == "start" and row["task"].startswith(job)}


def run_beside(rig, mode):
    """Submits tasks while one worker of three treats starts in this mode."""
    rig.wait_workers()
    victim = next(r for r in rig.runners if r["name"] != rig.leader())
    rig.set_starts(victim, mode)
    lasting, _ = rig.submit(rig.gateways[0],
                            [{"count": 5, "cpu": 1000, "longRunning": True}],
                            payload="600000")
    ending, _ = rig.submit(rig.gateways[0],
                           [{"count": 5, "cpu": 1000, "estimateMs": 200}])
    begin = time.monotonic()
    wait_for("runs of all lasting tasks",
             lambda: len(started(rig, lasting)) == 5, seconds=LIMIT_S)
    print("lasting tasks run after %.1f s" % (time.monotonic() - begin))
    wait_for("the end of the other job",
             lambda: rig.state(rig.gateways[0], ending) == "complete",
             seconds=LIMIT_S)
    print("the others have ended after %.1f s" % (time.monotonic() - begin))
    # Starts that are carried out late must find their run refused.
    time.sleep(4)
    rig.check_records()
    check(any(row["run"] > 1 for _, row in rig.records()),
          "some run was moved")


def starts_refused(rig):
    """A worker that refuses starts, having done nothing."""
    run_beside(rig, "refused")


def starts_ignored(rig):
    """A worker that doesn't answer starts nor carries them out."""
    run_beside(rig, "ignored")


def starts_late(rig):
    """A worker that carries out starts late, without an answer."""
    run_beside(rig, "late")


def starts_mixed(rig):
    """A worker that ignores one start and refuses the next."""
    run_beside(rig, "mixed")


def orders_late(rig):
    """Orders that arrive when their runs are lost and run elsewhere."""
    victim = next(r for r in rig.runners if r["name"] != rig.leader())
    relay = Relay(free_address(), victim["peers"], {})
    value = json.dumps({"address": relay.address}).encode()
    rig.control_store("put?key=node/" + victim["name"],
                      base64.b64encode(value).decode())
    wait_for("a link over the relay", lambda: relay.sockets)
    linked_at = time.monotonic()
    time.sleep(1)
    rig.wait_workers()
    # A heartbeat without an answer ends the link after 5 s. The cut follows
    # one, so that the runs' lease ends first.
    time.sleep(HEARTBEAT_S + 0.1 -
               (time.monotonic() - linked_at) % HEARTBEAT_S)
    relay.set_blocked("")
    job, _ = rig.submit(rig.gateways[0],
                        [{"count": 6, "cpu": 1000, "longRunning": True}],
                        payload="600000")
    wait_for("runs of all tasks", lambda: len(started(rig, job)) == 6,
             seconds=LIMIT_S)
    relay.set_blocked()
    time.sleep(3)
    relay.close()
    rig.check_records()
    check(any(row["run"] > 1 and row["task"].startswith(job)
              for _, row in rig.records()), "some run was moved")


SCENARIOS = [starts_refused, starts_ignored, starts_late, starts_mixed,
             orders_late]


def main():
    names = sys.argv[2:]
    run_scenarios([s for s in SCENARIOS if not names or s.__name__ in names],
                  os.path.abspath(sys.argv[1]))


if __name__ == "__main__":
    main()
