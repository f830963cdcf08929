"""Faults of the soak, injected from outside the processes."""

import copy
import heapq
import random
import signal
import time

from workflow_rig import CONFIG, check

STOP_GRACE_S = 6.0  # from SIGTERM to SIGKILL
SOUND_WORKERS = 2   # not lost for good; have room for all that lasts
LISTED_S = 2.0      # until reports show a worker's lists, or none any more
# More than the 5.91 s in which a restarted runner's worker may have a lease.
RUNNER_LEASE_S = 7.0


class Faults:
    """Injects faults that may overlap; each one ends after some time."""

    planned_stops_min = 0

    def __init__(self, rig, seed, log):
        self.rig = rig
        self.rng = random.Random(seed)
        self.log = log
        self.pending = []  # (time, number, call and arguments), a heap
        self.count = 0
        self.daemons = {p["name"]: p for p in rig.gateways + rig.runners}
        self.busy = set()  # processes that are stopped, frozen or killed
        # Times of kills, freezes and resumes.
        self.abrupt_at = {name: [] for name in self.daemons}
        self.killed_workers = []  # names of killed worker processes
        self.config_version = 3
        self.lost = set()  # names of runners without a worker
        self.started_at = {name: time.monotonic() for name in self.daemons}
        self.planned_stops = 0

    def schedule(self, seconds, call, *args):
        self.count += 1
        heapq.heappush(self.pending, (time.monotonic() + seconds, self.count,
                                      call, args))

    def run_due(self, everything=False):
        while self.pending and (everything or
                                self.pending[0][0] <= time.monotonic()):
            _, _, call, args = heapq.heappop(self.pending)
            call(*args)

    def log_fault(self, text, *args):
        self.log.append("%.2f %s" % (time.monotonic(), text % args))

    def pick_undisturbed(self, names=None):
        free = [n for n in names or self.daemons if n not in self.busy]
        return self.rng.choice(free) if free else None

    def restart(self, name):
        process = self.rig.processes[name]
        if process.popen.poll() is None:
            process.signal(signal.SIGKILL)
            process.popen.wait()
        self.rig.restart(self.daemons[name])
        self.started_at[name] = time.monotonic()
        self.busy.discard(name)

    def kill(self, name):
        self.log_fault("kill %s", name)
        self.busy.add(name)
        self.abrupt_at[name].append(time.monotonic())
        self.rig.kill(name)
        self.schedule(self.rng.uniform(0.1, 2), self.restart, name)

    def kill_one(self):
        name = self.pick_undisturbed()
        if name:
            self.kill(name)

    def power_off(self):
        for name in list(self.daemons):
            if name not in self.busy:
                self.kill(name)

    def freeze(self):
        name = self.pick_undisturbed()
        if not name:
            return
        seconds = self.rng.uniform(0.5, 5)
        self.log_fault("freeze %s %.1f s", name, seconds)
        self.busy.add(name)
        self.abrupt_at[name].append(time.monotonic())
        self.rig.processes[name].signal(signal.SIGSTOP)
        self.schedule(seconds, self.resume, name)

    def resume(self, name):
        self.rig.processes[name].signal(signal.SIGCONT)
        self.abrupt_at[name].append(time.monotonic())
        self.busy.discard(name)

    def terminate_one(self):
        name = self.pick_undisturbed()
        if name:
            self.terminate(name)

    def terminate(self, name):
        # Before this line a process does not handle signals.
        if name in self.busy or not self.rig.processes[name].lines(6001):
            return
        self.log_fault("terminate %s", name)
        self.busy.add(name)
        self.rig.processes[name].signal(signal.SIGTERM)
        self.schedule(0.1, self.finish_stop, name,
                      time.monotonic() + STOP_GRACE_S)

    def finish_stop(self, name, kill_at):
        popen = self.rig.processes[name].popen
        if popen.poll() is None and time.monotonic() < kill_at:
            self.schedule(0.1, self.finish_stop, name, kill_at)
            return
        check(popen.poll() == 0, "%s must stop within the grace period with "
              "exit code 0, not %s" % (name, popen.poll()))
        self.schedule(self.rng.uniform(0.1, 1), self.restart, name)

    def reload(self):
        name = self.pick_undisturbed()
        if name:
            self.log_fault("reload %s", name)
            self.rig.processes[name].signal(signal.SIGHUP)

    def crash_worker(self):
        runner = self.rng.choice(self.rig.runners)
        name = "w-" + runner["name"]
        if name in self.busy:
            return
        self.log_fault("crash %s", name)
        self.kill_worker(runner)
        self.schedule(self.rng.uniform(0.2, 3), self.start_worker, runner)

    def kill_worker(self, runner):
        """Returns how often a worker was started at this VM."""
        name = "w-" + runner["name"]
        self.busy.add(name)
        starts = sum(n.startswith(name + "#") for n in self.rig.log_paths)
        self.killed_workers.append("%s#%d" % (name, starts - 1))
        self.rig.kill(name)
        return starts

    def start_worker(self, runner):
        self.rig.start_worker(runner)
        self.busy.discard("w-" + runner["name"])
        self.lost.discard(runner["name"])

    def store(self):
        mode = self.rng.choice(["busy", "silent", "lost", "forget"])
        seconds = self.rng.uniform(0.3, 4)
        self.log_fault("store %s %.1f s", mode, seconds)
        self.rig.control_store("mode?name=" + mode)
        self.schedule(seconds, self.rig.control_store, "mode?name=none")

    def link(self):
        name = self.rng.choice(list(self.rig.proxy.links))
        link = self.rig.proxy.links[name]
        kind = self.rng.choice(["delay", "reset", "up", "down", "both",
                                "mute"])
        seconds = self.rng.uniform(0.3, 5)
        self.log_fault("link %s %s %.1f s", name, kind, seconds)
        if kind == "delay":
            link.delay_s = self.rng.uniform(0.02, 0.5)
        elif kind in ("reset", "mute"):
            self.rig.proxy.call_soon(getattr(link, kind))
        else:
            link.blocked = {"up", "down"} if kind == "both" else {kind}
        self.schedule(seconds, self.rig.proxy.call_soon, link.heal)

    def change_config(self):
        self.config_version += self.rng.randint(1, 5)
        config = copy.deepcopy(CONFIG)
        config["version"] = self.config_version
        config["routes"].append(dict(
            CONFIG["routes"][0], name="q-%d" % self.config_version,
            host="v%d.example" % self.config_version, prefix="/new/"))
        self.log_fault("configuration %d", self.config_version)
        self.rig.put_config(config)

    def inject(self):
        """Injects a fault with some probability."""
        faults = [(self.kill_one, 4), (self.freeze, 4),
                  (self.terminate_one, 4), (self.reload, 2),
                  (self.crash_worker, 2), (self.store, 4), (self.link, 8),
                  (self.change_config, 2), (self.power_off, 0.5)]
        if self.rng.random() < 0.12:
            self.rng.choices([k[0] for k in faults],
                             [k[1] for k in faults])[0]()

    def run(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.inject()
            self.run_due()
            time.sleep(0.05)

    def stop_planned(self):
        """Continues a series of planned stops, one at a time."""
        self.run_due()

    def heal(self):
        """Ends all faults but losses for good.

        Stopping processes keep their grace period."""
        while self.pending:
            self.run_due(everything=True)
            time.sleep(0.05)
        self.rig.control_store("mode?name=none")


class LossFaults(Faults):
    """Also loses workers and VMs, and stops runners in series.

    These faults have a generator of their own, so that others stay the same.
    """

    planned_stops_min = 2

    def __init__(self, rig, seed, log):
        super().__init__(rig, seed, log)
        self.loss_rng = random.Random("losses %d" % seed)
        self.next_stop_at = 0.0
        self.scheduler_stops = seed % 2 == 1

    def lose_worker(self, names=None):
        """Kills a worker for good; another one may take its VM late."""
        free = [r for r in self.rig.runners
                if "w-" + r["name"] not in self.busy and
                (names is None or r["name"] in names)]
        if not free or len(self.lost) >= \
                len(self.rig.runners) - SOUND_WORKERS:
            return None
        runner = self.loss_rng.choice(free)
        self.log_fault("lose the worker of %s", runner["name"])
        self.lost.add(runner["name"])
        runner["worker_id"] = "w-%s-%d" % (runner["name"],
                                           self.kill_worker(runner))
        if self.loss_rng.random() < 0.4:
            self.schedule(self.loss_rng.uniform(5, 15), self.replace_worker,
                          runner)
        return runner["name"]

    def replace_worker(self, runner):
        if runner["name"] in self.lost:
            self.start_worker(runner)

    def lose_worker_and_stop(self):
        name = self.lose_worker()
        if name:
            self.schedule(self.loss_rng.uniform(0, 5), self.terminate, name)

    def lose_vm(self):
        name = self.lose_worker([r["name"] for r in self.rig.runners
                                 if r["name"] not in self.busy])
        if not name:
            return
        self.log_fault("lose the VM of %s", name)
        self.busy.add(name)
        self.abrupt_at[name].append(time.monotonic())
        self.rig.kill(name)
        self.schedule(self.loss_rng.uniform(3, 12), self.restart, name)

    def pick_runner(self):
        """The scheduler, which is stopped more often, or any runner."""
        if self.loss_rng.random() < 0.7:
            return self.rig.leader()
        return self.loss_rng.choice(self.rig.runners)["name"]

    def stop_runner(self):
        name = self.pick_runner()
        if name:
            self.terminate(name)

    def stop_runners(self):
        seconds = 0
        for _ in range(self.loss_rng.randint(2, 4)):
            self.schedule(seconds, self.stop_runner)
            seconds += self.loss_rng.uniform(1, 5)

    def stop_planned(self):
        """Stops no runner again before the lease that it assumes has expired.

        That would delay the tasks of its lost worker by design.
        """
        super().stop_planned()
        if self.pending or time.monotonic() < self.next_stop_at:
            return
        name = self.pick_runner()
        if not name or \
                name == self.rig.leader() and not self.scheduler_stops or \
                time.monotonic() < self.started_at[name] + RUNNER_LEASE_S:
            return
        self.terminate(name)
        self.planned_stops += 1
        self.next_stop_at = time.monotonic() + self.loss_rng.uniform(2, 5)

    def inject(self):
        super().inject()
        faults = [(self.lose_worker, 2), (self.lose_worker_and_stop, 2),
                  (self.lose_vm, 1), (self.stop_runners, 2)]
        if self.loss_rng.random() < 0.04:
            self.loss_rng.choices([k[0] for k in faults],
                                  [k[1] for k in faults])[0]()

    def heal(self):
        """The last fault: a scheduler sees how a worker is lost for good.

        Then its runner is stopped. The scheduler stays in every second seed.
        """
        super().heal()
        lost = [r for r in self.rig.runners if r["name"] in self.lost]
        if len(lost) >= len(self.rig.runners) - SOUND_WORKERS:
            self.replace_worker(self.loss_rng.choice(lost))
        time.sleep(LISTED_S)
        name = self.lose_worker([r["name"] for r in self.rig.runners
                                 if r["name"] != self.rig.leader()])
        time.sleep(LISTED_S)
        self.terminate(name)
        while self.daemons.keys() & self.busy:
            self.run_due()
            time.sleep(0.05)
        self.pending.clear()  # the worker that would take the VM late
