#!/usr/bin/env python3
"""Randomized soak: the real programs with faults injected from outside.

usage: soak.py BUILD [SEED...] [--regressions] [--seconds N]

Each seed starts a store, gateways, runners and workers, disturbs them for some
seconds while callers use them, heals everything, and checks what callers and
workers have seen. A seed fixes the faults and what callers do, not the order
in which processes run.
"""

import argparse
import copy
import heapq
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../e2e"))

from workflow_rig import CONFIG, GATEWAY, RUNNER, Rig, check  # noqa: E402
from cluster import Failed, http_call  # noqa: E402
from ports import free_address  # noqa: E402
from clients import Caller, KINDS  # noqa: E402
from proxy import Proxy  # noqa: E402

# Bounds that the platform states, in seconds.
CONTACT_S = 4.0      # after the last fault, everything is in touch
VISIBLE_S = 3.0      # an accepted job is known
CANCEL_S = 3.0       # nothing of a cancelled job starts
STOP_S = 0.9         # a stop takes at most so long
CONFIG_S = 3.0       # a configuration is in force
LOSS_SLACK_S = 0.2   # a request sent later may be cut by a stop
RECOVER_S = 12.0     # after power was lost everywhere
GRACE_S = 6.0        # from SIGTERM to SIGKILL
FINISH_S = 14.0      # then all jobs go on; the longest work is added
LONGEST_WORK_S = 5.0

# Seeds that have failed, with the cause; --regressions plays them.
REGRESSIONS = {
    39: "the check: a task ran again after an end that its worker could not "
        "report before its lease lapsed, which is allowed",
    42: "the check: the same, since the end could not be stored in time",
}


class SoakRig(Rig):
    """The rig, with a proxy on every link to the store and to workers."""

    def __init__(self, build):
        self.proxy = Proxy()
        super().__init__(build, gateways=3, runners=4)

    def settings(self, name, text, **fields):
        fields["store"] = self.store
        for key in ("store", "worker"):
            if key in fields:
                listen = free_address()
                self.proxy.add(name + "/" + key, listen, fields[key])
                fields[key] = listen
        path = os.path.join(self.folder, name + ".ini")
        with open(path, "w") as out:
            out.write(text.format(name=name, **fields))
        return path

    def close(self):
        super().close()
        self.proxy.close()


class Faults:
    """Faults in series, which overlap; each one ends by itself."""

    def __init__(self, rig, rng, log):
        self.rig = rig
        self.rng = rng
        self.log = log
        self.pending = []  # (time, number, what ends the fault)
        self.count = 0
        self.parts = {p["name"]: p for p in rig.gateways + rig.runners}
        self.busy = set()  # processes that are stopped, frozen or killed
        self.abrupt = {name: [] for name in self.parts}  # times of kills
        self.gone = []     # processes of workers that were killed
        self.versions = 3
        self.stopping = {}  # name -> when SIGKILL follows

    def later(self, seconds, call, *args):
        self.count += 1
        heapq.heappush(self.pending, (time.monotonic() + seconds, self.count,
                                      call, args))

    def run_due(self, everything=False):
        while self.pending and (everything or
                                self.pending[0][0] <= time.monotonic()):
            _, _, call, args = heapq.heappop(self.pending)
            call(*args)

    def say(self, text, *args):
        self.log.append("%.2f %s" % (time.monotonic(), text % args))

    def pick(self, names=None):
        free = [n for n in names or self.parts if n not in self.busy]
        return self.rng.choice(free) if free else None

    def restart(self, name):
        process = self.rig.processes[name]
        if process.popen.poll() is None:
            process.signal(signal.SIGKILL)
            process.popen.wait()
        self.rig.restart(self.parts[name])
        self.busy.discard(name)

    def kill(self, name):
        self.say("kill %s", name)
        self.busy.add(name)
        self.abrupt[name].append(time.monotonic())
        self.rig.kill(name)
        self.later(self.rng.uniform(0.1, 2), self.restart, name)

    def kill_one(self):
        name = self.pick()
        if name:
            self.kill(name)

    def power_off(self):
        for name in list(self.parts):
            if name not in self.busy:
                self.kill(name)

    def freeze(self):
        name = self.pick()
        if not name:
            return
        seconds = self.rng.uniform(0.5, 5)
        self.say("freeze %s %.1f s", name, seconds)
        self.busy.add(name)
        self.abrupt[name].append(time.monotonic())
        self.rig.processes[name].signal(signal.SIGSTOP)
        self.later(seconds, self.thaw, name)

    def thaw(self, name):
        self.rig.processes[name].signal(signal.SIGCONT)
        self.abrupt[name].append(time.monotonic())
        self.busy.discard(name)

    def terminate(self):
        name = self.pick()
        if not name:
            return
        self.say("terminate %s", name)
        self.busy.add(name)
        self.rig.processes[name].signal(signal.SIGTERM)
        self.later(0.1, self.finish_stop, name, time.monotonic() + GRACE_S)

    def finish_stop(self, name, kill_at):
        popen = self.rig.processes[name].popen
        if popen.poll() is None and time.monotonic() < kill_at:
            self.later(0.1, self.finish_stop, name, kill_at)
            return
        check(popen.poll() == 0, "%s ends within the grace time with 0, "
              "not %s" % (name, popen.poll()))
        self.later(self.rng.uniform(0.1, 1), self.restart, name)

    def reload(self):
        name = self.pick()
        if name:
            self.say("reload %s", name)
            self.rig.processes[name].signal(signal.SIGHUP)

    def crash_worker(self):
        runner = self.rng.choice(self.rig.runners)
        name = "w-" + runner["name"]
        if name in self.busy:
            return
        self.say("crash %s", name)
        self.busy.add(name)
        starts = sum(n.startswith(name + "#") for n in self.rig.files)
        self.gone.append("%s#%d" % (name, starts - 1))
        self.rig.kill(name)
        self.later(self.rng.uniform(0.2, 3), self.start_worker, runner)

    def start_worker(self, runner):
        self.rig.start_worker(runner)
        self.busy.discard("w-" + runner["name"])

    def store(self):
        mode = self.rng.choice(["busy", "silent", "lost", "forget"])
        seconds = self.rng.uniform(0.3, 4)
        self.say("store %s %.1f s", mode, seconds)
        self.rig.fake("mode?name=" + mode)
        self.later(seconds, self.rig.fake, "mode?name=none")

    def link(self):
        name = self.rng.choice(list(self.rig.proxy.links))
        link = self.rig.proxy.links[name]
        kind = self.rng.choice(["delay", "reset", "up", "down", "both",
                                "mute"])
        seconds = self.rng.uniform(0.3, 5)
        self.say("link %s %s %.1f s", name, kind, seconds)
        if kind == "delay":
            link.delay_s = self.rng.uniform(0.02, 0.5)
        elif kind in ("reset", "mute"):
            self.rig.proxy.do(getattr(link, kind))
        else:
            link.cut = {"up", "down"} if kind == "both" else {kind}
        self.later(seconds, self.rig.proxy.do, link.heal)

    def configure(self):
        self.versions += self.rng.randint(1, 5)
        config = copy.deepcopy(CONFIG)
        config["version"] = self.versions
        config["routes"].append(dict(
            CONFIG["routes"][0], name="q-%d" % self.versions,
            host="v%d.example" % self.versions, prefix="/new/"))
        self.say("configuration %d", self.versions)
        self.rig.put_config(config)

    def run(self, seconds):
        kinds = [(self.kill_one, 4), (self.freeze, 4), (self.terminate, 4),
                 (self.reload, 2), (self.crash_worker, 2), (self.store, 4),
                 (self.link, 8), (self.configure, 2), (self.power_off, 0.5)]
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.rng.random() < 0.12:
                self.rng.choices([k[0] for k in kinds],
                                 [k[1] for k in kinds])[0]()
            self.run_due()
            time.sleep(0.05)

    def heal(self):
        """Ends all faults; what is being stopped gets its grace time."""
        while self.pending:
            self.run_due(everything=True)
            time.sleep(0.05)
        self.rig.fake("mode?name=none")


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
    done = rig.check_records(gone=faults.gone)
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
                    if running.get(t) and running[t] not in faults.gone]
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
    except (AssertionError, Failed) as failure:
        print("seed %d: FAILED: %s" % (seed, failure), flush=True)
        keep_logs(rig, seed, log)
        return False
    finally:
        for caller in callers:
            caller.stopped.set()
        rig.close()


def keep_logs(rig, seed, log):
    folder = os.path.join(rig.build, "soak-%d-%d" % (seed, os.getpid()))
    os.makedirs(folder)
    with open(os.path.join(folder, "faults.log"), "w") as out:
        out.write("\n".join(log) + "\n")
    for name, path in rig.files.items():
        with open(path, errors="replace") as text, \
                open(os.path.join(folder, name), "w") as out:
            out.write(text.read())
    print("logs: " + folder, flush=True)


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
