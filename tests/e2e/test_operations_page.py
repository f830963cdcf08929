#!/usr/bin/env python3
"""Runs the commands of docs/OPERATIONS.md on logs of the failures it covers.

Guards against commands that no longer find the cause: each has to print the
texts that the page states in the comment after it.
"""

import os
import re
import subprocess
import sys

from workflow_rig import Rig, check
from cluster import wait_for  # noqa: E402

PAGE = os.path.join(os.path.dirname(__file__), "../../docs/OPERATIONS.md")
LONG_STEP = [{"count": 2, "cpu": 1000, "memMb": 10, "estimateMs": 1000}]


def refused(rig):
    rig.control_store("mode?name=busy")
    job, status = rig.submit(rig.gateways[0], LONG_STEP)
    check(status == 503, "refused: %s" % status)
    for prefix in ("op/", "scheduler/"):
        wait_for("a reader of %s to lose the store" % prefix, lambda: any(
            "prefix=%s " % prefix in line
            for process in rig.processes.values()
            for line in process.lines(5002)))
    rig.control_store("mode?name=none")
    return job


def late(rig):
    """The worker lists a progress that never changes."""
    job, _ = rig.submit(rig.gateways[0], LONG_STEP, payload="30000 stall")
    wait_for("a moved run", lambda: any(
        process.lines(3120) for process in rig.processes.values()))
    return job


def lost(rig):
    job, _ = rig.submit(rig.gateways[0], LONG_STEP, payload="1500")
    wait_for("starts", lambda: len(rig.records()) >= 2)
    leader = rig.leader()
    rig.control_store("mode?name=silent")
    for runner in rig.runners:
        rig.kill("w-" + runner["name"])
    rig.kill(leader)
    wait_for("a reader to lose it", lambda: rig.processes["g0"].lines(5002))
    rig.control_store("mode?name=none")
    for runner in rig.runners:
        rig.start_worker(runner)
        if runner["name"] == leader:
            rig.restart(runner)
    rig.wait_state(job, "complete")
    return job


def lasting(rig):
    job, _ = rig.submit_lasting()
    victim = next(r for r in rig.runners if r["name"] != rig.leader())
    tasks = rig.lose_worker(victim)
    wait_for("runs at other workers", lambda: rig.run_elsewhere(tasks))
    return job


def commands(section):
    """Commands of the section's shell blocks and the texts they must print."""
    with open(PAGE) as page:
        text = page.read()
    begin = text.index("<!-- begin %s -->" % section)
    end = text.index("<!-- end %s -->" % section)
    for block in re.findall(r"```sh\n(.*?)```", text[begin:end], re.S):
        for line in block.strip().splitlines():
            command, _, expected_texts = line.partition("  # prints: ")
            yield command, expected_texts.split(", ")


def check_commands(rig, section, job):
    env = dict(os.environ, LOGS=rig.directory, JOB=job,
               ADMIN=rig.gateways[0]["admin"])
    for command, expected_texts in commands(section):
        result = subprocess.run(["bash", "-c", command], env=env,
                                capture_output=True, text=True, timeout=60)
        for text in expected_texts:
            check(text in result.stdout, "%s: '%s' prints\n%s%s" %
                  (section, command, result.stdout[-2000:], result.stderr))


def main():
    build = os.path.abspath(sys.argv[1])
    for scenario in (refused, late, lost, lasting):
        rig = Rig(build)
        try:
            rig.wait_ready()
            check_commands(rig, scenario.__name__, scenario(rig))
            print("%s: passed" % scenario.__name__, flush=True)
        finally:
            rig.close()


if __name__ == "__main__":
    main()
