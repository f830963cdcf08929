"""Test rig: gateways and runners with a fake store and fake workers."""

import base64
import collections
import json
import os
import signal
import shutil
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__),
                                "../../tools/pylib"))

from cluster import ClusterError, Process, http_call, wait_for  # noqa: E402
from ports import free_address  # noqa: E402

GATEWAY_SETTINGS = """[daemon]
role = gateway
id = {name}
region = r1
domain = z1
stop_ms = 5000
[listen]
callers = {callers}
probe = {probe}
admin = {admin}
[store]
address = {store}
"""

RUNNER_SETTINGS = """[daemon]
role = runner
id = {name}
region = r1
domain = {domain}
stop_ms = 2000
[listen]
peers = {peers}
admin = {admin}
announcements = {announcements}
[store]
address = {store}
[runner]
worker = {worker}
"""

CONFIG = {
    "version": 3,
    "routes": [
        {"name": "q-fast", "host": "fast.example", "prefix": "/fast/",
         "service": "work", "priority": 0, "maxAttempts": 3, "stretch": 2.0,
         "completionTargetMs": 500},
        {"name": "q-slow", "host": "slow.example", "prefix": "/slow/",
         "service": "work", "priority": 2, "maxAttempts": 3, "stretch": 2.0,
         "completionTargetMs": 500},
    ],
    "services": [{"name": "work"}],
    "limits": {"maxBodyBytes": 262144},
}


def check(condition, what):
    if not condition:
        raise AssertionError(what)


class Rig:
    def __init__(self, build, gateways=2, runners=3):
        self.build = build
        self.directory = tempfile.mkdtemp(prefix="catkinhill-workflows-")
        self.processes = {}
        self.log_paths = {}
        self.store = free_address()
        self.start("store", ["fakeplatform", "store", self.store])
        wait_for("store", lambda: self.control_store("mode?name=none") == 200)
        self.put_config(CONFIG)
        self.gateways = [self.add_gateway("g%d" % i) for i in range(gateways)]
        self.runners = [self.add_runner("r%d" % i) for i in range(runners)]
        self.job_count = 0

    def start(self, name, argv):
        argv = [os.path.join(self.build, argv[0])] + argv[1:]
        start_count = sum(n.startswith(name + "#") for n in self.log_paths)
        log_name = "%s#%d" % (name, start_count)
        process = Process(log_name, argv, self.directory)
        self.processes[name] = process
        self.log_paths[log_name] = process.log
        return process

    def write_settings(self, name, text, **fields):
        path = os.path.join(self.directory, name + ".ini")
        with open(path, "w") as out:
            out.write(text.format(name=name, store=self.store, **fields))
        return path

    def add_gateway(self, name):
        fields = {key: free_address() for key in ("callers", "probe", "admin")}
        path = self.write_settings(name, GATEWAY_SETTINGS, **fields)
        self.start(name, ["catkinhilld", "--config", path])
        return {"name": name, "path": path, **fields}

    def add_runner(self, name, announce_delay_ms=0, domain="z1",
                   service="work"):
        fields = {key: free_address() for key in
                  ("peers", "admin", "announcements", "worker")}
        fields["domain"] = domain
        path = self.write_settings(name, RUNNER_SETTINGS, **fields)
        runner = {"name": name, "path": path, "service": service, **fields}
        self.start(name, ["catkinhilld", "--config", path])
        self.start_worker(runner, announce_delay_ms)
        return runner

    def start_worker(self, runner, announce_delay_ms=0):
        name = "w-" + runner["name"]
        self.start(name, ["fakeplatform", "worker",
                          runner.get("worker_id", name),
                          runner["worker"], runner["announcements"],
                          str(announce_delay_ms), runner["service"]])

    def restart(self, daemon):
        self.start(daemon["name"], ["catkinhilld", "--config", daemon["path"]])

    def control_store(self, path, body=""):
        try:
            return http_call(self.store, "POST", "/fake/" + path, body)[0]
        except OSError:
            return 0

    def put_config(self, config):
        value = base64.b64encode(json.dumps(config).encode()).decode()
        check(self.control_store("put?key=op/config", value) == 200,
              "configuration written")

    def set_starts(self, runner, mode):
        """Sets what the worker does with starts; see workerserver.h."""
        check(http_call(runner["worker"], "POST",
                        "/fake/starts?" + mode)[0] == 200, "mode " + mode)

    def call(self, gateway, method, path, host, body=None):
        headers = {"Host": host, "X-Deadline-Ms": "3000"}
        return http_call(gateway["callers"], method, path,
                         json.dumps(body) if body is not None else None,
                         headers)

    def new_job_id(self):
        self.job_count += 1
        return "%016x" % (0xabc000 + self.job_count)

    def submit(self, gateway, steps, payload="200", queue="fast", job=None):
        job = job or self.new_job_id()
        status = self.call(gateway, "POST", "/%s/%s" % (queue, job),
                           queue + ".example",
                           {"spec": payload, "steps": steps})[0]
        return job, status

    def state(self, gateway, job, queue="fast"):
        status, _, body = self.call(gateway, "GET",
                                    "/%s/%s" % (queue, job),
                                    queue + ".example")
        return json.loads(body)["state"] if status == 200 else status

    def wait_state(self, job, state, queue="fast"):
        gateway = self.gateways[0]
        wait_for("%s of %s" % (state, job),
                 lambda: self.state(gateway, job, queue) == state)

    def wait_ready(self):
        for gateway in self.gateways:
            wait_for("probe of " + gateway["name"],
                     lambda: self.probe(gateway) == 200)
        wait_for("a scheduler", self.leader)

    def probe(self, gateway):
        try:
            return http_call(gateway["probe"], "GET",
                             "/catkinhill/readyz")[0]
        except OSError:
            return 0

    def leader(self):
        """Name of the runner that was elected last and still runs."""
        latest = (0, None)
        for name, process in self.processes.items():
            if process.popen.poll() is not None:
                continue
            for line in process.lines(3101):
                epoch = int(line.split("epoch=")[1].split()[0])
                latest = max(latest, (epoch, name))
        return latest[1]

    def kill(self, name):
        self.processes[name].signal(signal.SIGKILL)
        self.processes[name].popen.wait()

    def users_of(self, job=""):
        """Workers that have started tasks of the job, or of any."""
        return {process for process, row in self.records()
                if row["event"] == "start" and row["task"].startswith(job)}

    def wait_workers(self):
        """Waits until the scheduler uses each worker."""
        for _ in range(30):
            job, _ = self.submit(self.gateways[0],
                                 [{"count": 6, "cpu": 1000}], payload="50")
            self.wait_state(job, "complete")
            if len(self.users_of(job)) == len(self.runners):
                return
        raise AssertionError("a worker is not used")

    def submit_lasting(self):
        """Submits tasks that last, and waits until each worker runs some."""
        self.wait_workers()
        job, status = self.submit(
            self.gateways[0], [{"count": 6, "cpu": 1000, "longRunning": True}],
            payload="600000")
        wait_for("a run at each worker",
                 lambda: len(self.users_of(job)) == len(self.runners))
        return job, status

    def tasks_at(self, runner):
        """Tasks that were started at the runner's worker and have not ended."""
        rows = [row for process, row in self.records()
                if process.startswith("w-%s#" % runner["name"])]
        return ({row["task"] for row in rows if row["event"] == "start"} -
                {row["task"] for row in rows if row["event"] == "end"})

    def lose_worker(self, runner):
        """Kills the worker for good and returns the tasks that it ran."""
        self.kill("w-" + runner["name"])
        return self.tasks_at(runner)

    def announce_leaving(self, runner):
        """Announces in the worker's name, after all that it says itself."""
        bound = self.processes[runner["name"]].lines(2101)[-1]
        fields = {"service": "work", "address": runner["worker"],
                  "zone": "z1", "version": "v1", "slots": 8,
                  "state": "draining", "coldLeftMs": 0, "remainingMs": 5000,
                  "capacity": {"cpu": int(bound.split("cpu=")[1].split()[0]),
                               "memMb": 1, "gpu": 0},
                  "labels": [], "sequence": 1 << 40, "clockMs": 0,
                  "born": int(bound.split("born=")[1].split()[0])}
        path = "/catkinhill/instances/w-%s/heartbeat" % runner["name"]
        check(http_call(runner["announcements"], "POST", path,
                        json.dumps(fields))[0] == 200, "announced")

    def run_elsewhere(self, tasks):
        """Whether each of the tasks has been started a second time."""
        starts = collections.Counter(row["task"] for _, row in self.records()
                                     if row["event"] == "start")
        return all(starts[task] > 1 for task in tasks)

    def records(self):
        rows = []
        for name, log in self.log_paths.items():
            if not name.startswith("w-"):
                continue
            with open(log) as lines:
                for line in lines:
                    if line.startswith("{"):
                        rows.append((name, json.loads(line)))
        return sorted(rows, key=lambda row: row[1]["at"])

    def check_records(self, killed_workers=()):
        """Checks that no task runs twice at once, or again after it was done.

        An end that is not acknowledged when the worker's lease expires does
        not count. killed_workers: processes of workers that were killed,
        and their runs with them, and the ends that were not acknowledged."""
        running = collections.defaultdict(dict)
        done = {}  # task -> process, or None once it is acknowledged
        unacknowledged = {}  # task -> process that was killed later
        for process, row in self.records():
            task = row["task"]
            if row["event"] == "start":
                others = [p for p in running[task] if p not in killed_workers]
                check(not others, "%s runs at %s and %s" %
                      (task, others, process))
                check(task not in done, task + " starts after its end")
                running[task][process] = row["run"]
            elif row["event"] == "acknowledged":
                if process in (done.get(task), unacknowledged.get(task)):
                    done[task] = None
            elif row["event"] == "lapsed-end":
                if done.get(task) == process:
                    del done[task]
                unacknowledged.pop(task, None)
            else:
                running[task].pop(process, None)
                if row["how"] == "done" and process in killed_workers:
                    unacknowledged[task] = process
                elif row["how"] == "done":
                    done[task] = process
        return set(done)

    def close(self):
        for process in self.processes.values():
            process.signal(signal.SIGKILL)
            process.popen.wait()
        shutil.rmtree(self.directory)


def run_scenarios(scenarios, build):
    for scenario in scenarios:
        rig = Rig(build)
        try:
            rig.wait_ready()
            scenario(rig)
            print("%s: passed" % scenario.__name__, flush=True)
        except (AssertionError, ClusterError):
            for name, log in rig.log_paths.items():
                with open(log, errors="replace") as text:
                    sys.stderr.write("==== %s\n%s\n" %
                                     (name, text.read()[-3000:]))
            raise
        finally:
            rig.close()
