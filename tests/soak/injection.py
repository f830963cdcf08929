"""Faults of the soak, injected from outside the processes."""

import copy
import heapq
import signal
import time

from workflow_rig import CONFIG, check

GRACE_S = 6.0  # from SIGTERM to SIGKILL


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
        self.killed_workers = []     # processes of workers that were killed
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
        starts = sum(n.startswith(name + "#") for n in self.rig.log_paths)
        self.killed_workers.append("%s#%d" % (name, starts - 1))
        self.rig.kill(name)
        self.later(self.rng.uniform(0.2, 3), self.start_worker, runner)

    def start_worker(self, runner):
        self.rig.start_worker(runner)
        self.busy.discard("w-" + runner["name"])

    def store(self):
        mode = self.rng.choice(["busy", "silent", "lost", "forget"])
        seconds = self.rng.uniform(0.3, 4)
        self.say("store %s %.1f s", mode, seconds)
        self.rig.control_store("mode?name=" + mode)
        self.later(seconds, self.rig.control_store, "mode?name=none")

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
        self.rig.control_store("mode?name=none")
