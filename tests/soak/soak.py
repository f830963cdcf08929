#!/usr/bin/env python3
"""Randomized soak: the real programs with faults injected from outside.

usage: soak.py BUILD [SEED...] [--regressions] [--seconds N]

Each seed starts a store, gateways, runners and workers, disturbs them for some
seconds while callers use them, heals everything, and checks what callers and
workers have seen. A seed fixes the faults and what callers do, not the order
in which processes run.
"""

import argparse
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../e2e"))

from workflow_rig import CONFIG, Rig, check  # noqa: E402
from cluster import ClusterError, http_call  # noqa: E402
from ports import free_address  # noqa: E402
from clients import Caller  # noqa: E402
from injection import Faults  # noqa: E402
from proxy import Proxy  # noqa: E402

# Bounds that the platform states, in seconds.
CONTACT_S = 4.0      # after the last fault, everything is in touch
VISIBLE_S = 3.0      # an accepted job is known
CANCEL_S = 3.0       # nothing of a cancelled job starts
STOP_S = 0.9         # a stop takes at most so long
CONFIG_S = 3.0       # a configuration is in force
LOSS_SLACK_S = 0.2   # a request sent later may be cut by a stop
RECOVER_S = 12.0     # after power was lost everywhere
FINISH_S = 14.0      # then all jobs go on; the longest work is added
LONGEST_WORK_S = 5.0

# Seeds that have failed, with the cause; --regressions plays them.
REGRESSIONS = {
    39: "the check: a task ran again after an end that its worker could not "
        "report before its lease lapsed, which is allowed",
    42: "the check: the same, since the end could not be stored in time",
    324: "the scheduler ordered a stored run of a replaced worker again under "
         "its old number",
    328: "the same",
}


class SoakRig(Rig):
    """The rig, with a proxy on every link to the store and to workers."""

    def __init__(self, build):
        self.proxy = Proxy()
        super().__init__(build, gateways=3, runners=4)

    def write_settings(self, name, text, **fields):
        fields["store"] = self.store
        for key in ("store", "worker"):
            if key in fields:
                listen = free_address()
                self.proxy.add(name + "/" + key, listen, fields[key])
                fields[key] = listen
        path = os.path.join(self.directory, name + ".ini")
        with open(path, "w") as out:
            out.write(text.format(name=name, **fields))
        return path

    def close(self):
        super().close()
        self.proxy.close()


def wait_until(what, seconds, condition):
    end = time.monotonic() + seconds
    while not condition():
        check(time.monotonic() < end, "not within %.0f s: %s" %
              (seconds, what() if callable(what) else what))
        time.sleep(0.1)


def check_config(rig, faults):
    host = "v%d.example" % faults.versions
    for gateway in rig.gateways:
        if faults.versions > CONFIG["version"]:
            wait_until("%s serves version %d" % (gateway["name"],
                                                 faults.versions),
                       CONTACT_S + CONFIG_S,
                       lambda g=gateway: http_call(g["callers"], "GET",
                                                   "/new/", None,
                                                   {"Host": host})[0] == 200)


def check_broken(callers, faults):
    """A request is cut only by a kill or a freeze of its gateway."""
    for caller in callers:
        for name, sent_at, broken_at in caller.broken:
            if broken_at - sent_at <= LOSS_SLACK_S:
                continue
            near = [t for t in faults.abrupt[name]
                    if sent_at - CONTACT_S <= t <= broken_at + LOSS_SLACK_S]
            check(near, "request to %s cut at %.2f, sent at %.2f" %
                  (name, broken_at, sent_at))


def check_known(callers):
    for caller in callers:
        for asked_at, job, state in caller.wrong:
            check(asked_at - job.accepted_at < VISIBLE_S,
                  "accepted job %s is not known at %.2f" % (job.id, asked_at))


def finish(jobs, caller):
    """Waits until every accepted job has ended as it should."""
    expected = {"failing": "failed"}
    left = [j for j in jobs if j.accepted_at and not j.cancel_sent and
            j.kind != "lasting"]

    def some_left():
        left[:] = [j for j in left
                   if caller.ask(j) != expected.get(j.kind, "complete")]
        return not left

    wait_until(lambda: "end of " + ", ".join(
        "%s (%s, %s)" % (j.id, j.kind, caller.ask(j)) for j in left),
        CONTACT_S + FINISH_S + LONGEST_WORK_S, some_left)


def check_records(rig, faults, jobs, healed_at):
    done = rig.check_records(killed_workers=faults.killed_workers)
    starts = [row for _, row in rig.records() if row["event"] == "start"]
    started = {row["task"].split(".")[0] for row in starts}
    known = set().union(*(job.tasks() for job in jobs))
    for row in starts:
        check(row["task"] in known, "nobody asked for " + row["task"])
    for job in jobs:
        check(not (job.was_refused and job.id in started),
              "refused job %s runs" % job.id)
        if job.accepted_at and not job.cancel_sent and \
                job.kind not in ("failing", "lasting"):
            ends = {row["task"] for _, row in rig.records()
                    if row["event"] == "end" and row["how"] == "done"}
            check(job.tasks() <= ends, "%s is complete without %s" %
                  (job.id, job.tasks() - ends))
    running = {}
    for process, row in rig.records():
        if row["event"] in ("start", "end"):
            running[row["task"]] = process if row["event"] == "start" else None
    for job in jobs:
        bound = max(job.cancelled_at or healed_at, healed_at + CONTACT_S)
        if job.cancelled_at and \
                time.monotonic() > bound + CANCEL_S + STOP_S:
            left = [t for t in job.tasks()
                    if running.get(t) and running[t] not in faults.killed_workers]
            check(not left, "cancelled tasks run: %s" % left)
    return len(done)


def play(build, seed, seconds):
    rng = random.Random(seed)
    log = []
    rig = SoakRig(build)
    callers = []
    try:
        rig.wait_ready()
        faults = Faults(rig, rng, log)
        callers = [Caller(n, seed, rig.gateways) for n in range(4)]
        for caller in callers:
            caller.start()
        faults.run(seconds)
        faults.heal()
        healed_at = time.monotonic()
        for caller in callers:
            caller.stopped.set()
        for caller in callers:
            caller.join()
        check_config(rig, faults)
        asker = Caller(len(callers), seed, rig.gateways)
        jobs = [job for caller in callers for job in caller.jobs]
        wait_until("a new job is accepted", RECOVER_S,
                   lambda: (asker.submit(), asker.jobs[-1].accepted_at)[1])
        jobs += asker.jobs
        finish(jobs, asker)
        for job in jobs:
            if job.kind == "lasting" and job.accepted_at:
                asker.cancel(job)
        time.sleep(CANCEL_S + STOP_S)
        check_broken(callers, faults)
        check_known(callers)
        done = check_records(rig, faults, jobs, healed_at)
        print("seed %d: passed; %d faults, %d jobs, %d accepted, %d tasks "
              "done" % (seed, len(log), len(jobs),
                        sum(bool(j.accepted_at) for j in jobs), done),
              flush=True)
        return True
    except (AssertionError, ClusterError) as failure:
        print("seed %d: FAILED: %s" % (seed, failure), flush=True)
        keep_logs(rig, seed, log)
        return False
    finally:
        for caller in callers:
            caller.stopped.set()
        rig.close()


def keep_logs(rig, seed, log):
    directory = os.path.join(rig.build, "soak-%d-%d" % (seed, os.getpid()))
    os.makedirs(directory)
    with open(os.path.join(directory, "faults.log"), "w") as out:
        out.write("\n".join(log) + "\n")
    for name, path in rig.log_paths.items():
        with open(path, errors="replace") as text, \
                open(os.path.join(directory, name), "w") as out:
            out.write(text.read())
    print("logs: " + directory, flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("seed", nargs="*", type=int)
    parser.add_argument("--regressions", action="store_true")
    parser.add_argument("--seconds", type=float, default=12)
    args = parser.parse_args()
    seeds = args.seed + (list(REGRESSIONS) if args.regressions else [])
    # Ends the processes of a soak that is ended itself.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    passed = [play(os.path.abspath(args.build), seed, args.seconds)
              for seed in seeds]
    print("%d passed, %d failed" % (sum(passed), len(passed) - sum(passed)))
    sys.exit(0 if all(passed) else 1)


if __name__ == "__main__":
    main()
