"""Test rig: one agent with a fake entry and a fake worker."""

import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..",
                                "tools", "pylib"))

from cluster import http_call, spawn, store_put, wait_for  # noqa: E402
from ports import free_address  # noqa: E402

WAIT_S = 30
# Of the agent's log, without debug lines, printed after a failure.
MAIN_LINES_MAX = 400

SETTINGS = """[daemon]
role = agent
id = a1
region = A
domain = d1
log_level = debug
stop_ms = 20000

[listen]
admin = {admin}

[store]
address = {store}

[agent]
seeds = {entry}
service = stock
upstream = {service}
tasks = {tasks}
cpu_milli = 4000
mem_mb = 1000
"""


def http_text(address, path, body=None):
    method, text = ("GET", None) if body is None else ("POST",
                                                       json.dumps(body))
    status, _, response = http_call(address, method, path, text)
    assert status == 200, (path, status, response)
    return response.decode()


class Entry:
    """A fake entry process; keeps every message that it receives."""

    def __init__(self, build, address):
        self.process = spawn(
            [build + "/fakeentry", address], stdin=subprocess.PIPE,
            stdout=subprocess.PIPE, text=True, encoding="latin-1")
        assert self.process.stdout.readline() == "ready\n"
        self.messages = []
        self.message_received = threading.Condition()
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        for line in self.process.stdout:
            message = json.loads(line)
            message["at"] = time.monotonic()
            with self.message_received:
                self.messages.append(message)
                self.message_received.notify_all()

    def send(self, kind, **fields):
        fields["send"] = kind
        self.write(fields)

    def set(self, **fields):
        self.write({"set": fields})

    def write(self, fields):
        self.process.stdin.write(json.dumps(fields) + "\n")
        self.process.stdin.flush()

    def find(self, kind, since=0, **fields):
        return [m for m in self.messages[since:] if m["type"] == kind and
                all(m.get(k) == v for k, v in fields.items())]

    def wait(self, kind, since=0, count=1, **fields):
        """Waits for count messages of a kind with these field values."""
        return self.wait_for(
            lambda: (lambda found: found[:count] if len(found) >= count
                     else None)(self.find(kind, since, **fields)),
            "%d %s %s" % (count, kind, fields))

    def wait_for(self, condition, what):
        end = time.monotonic() + WAIT_S
        with self.message_received:
            while True:
                found = condition()
                if found:
                    return found
                remaining_s = end - time.monotonic()
                if remaining_s <= 0:
                    raise AssertionError("timed out waiting for " + what +
                                         "; last messages: " +
                                         str(self.messages[-5:]))
                self.message_received.wait(min(remaining_s, 0.2))

    def position(self):
        return len(self.messages)

    def wait_state(self, state, since=0):
        return self.wait("announce", since, state=state)[0]

    def wait_task(self, job, run, state, since=0):
        def found():
            for message in self.messages[since:]:
                for task in message.get("tasks", []):
                    if (task["job"], task["run"], task["state"]) == \
                            (job, run, state):
                        return dict(task, peer=message["peer"])
            return None
        return self.wait_for(found, "%s/%d %s" % (job, run, state))

    def request(self, number, path, method="GET", remaining_ms=20000,
                **fields):
        self.send("request", request=number, trace="t%d" % number,
                  method=method, path=path, remaining_ms=remaining_ms,
                  **fields)

    def end(self, number):
        return self.wait("response_end", request=number)[0]

    def body(self, number):
        parts = self.find("response_body", request=number)
        offset = 0
        for part in parts:
            assert part["offset"] == offset, part["offset"]
            offset += len(part["data"])
        return "".join(part["data"] for part in parts)

    def start_task(self, job, run, command, epoch=1, mem_mb=100,
                   checkpoint="", partition=0, urgent=0, pause_ms=0):
        self.send("task-start", partition=partition, urgent=urgent,
                  pause_ms=pause_ms, epoch=epoch, job=job, run=run,
                  cpu_milli=500, mem_mb=mem_mb, accel=0,
                  checkpoint=checkpoint, command=command)

    def stop_task(self, job, run, epoch=1, mode="evict"):
        self.send("task-stop", partition=0, epoch=epoch, job=job, run=run,
                  mode=mode)

    def config(self, version, drained=(), **limits):
        limits["partitions"] = 1
        value = {"version": version, "token": "test", "limits": limits,
                 "drained": list(drained), "quotas": {}, "changes": []}
        self.set(config_version=version)
        self.send("config", version=version, json=json.dumps(value))
        self.wait("announce", config_version=version)


class Rig:
    def __init__(self, build, worker=True):
        self.build = build
        self.directory = tempfile.mkdtemp()
        self.addresses = {name: free_address() for name in
                          ("admin", "entry", "service", "tasks", "store")}
        self.history = self.directory + "/history"
        self.processes = []
        self.entry = Entry(build, self.addresses["entry"])
        self.processes.append(self.entry.process)
        if worker:
            self.start_worker()
        with open(self.directory + "/agent.ini", "w") as settings:
            settings.write(SETTINGS.format(**self.addresses))
        self.start_agent()

    def start_worker(self):
        self.worker = spawn(
            [self.build + "/fakeworker", "--service",
             self.addresses["service"], "--tasks", self.addresses["tasks"],
             "--id", "w1", "--limits", "8,64,4000,1000,0", "--history",
             self.history], stdout=subprocess.PIPE, text=True)
        self.processes.append(self.worker)
        assert self.worker.stdout.readline() == "ready\n"

    def start_store(self, key, value):
        """Starts a fake store that holds one key."""
        self.processes.append(spawn(
            [self.build + "/fakestore", "--listen", self.addresses["store"]],
            stdout=subprocess.DEVNULL))
        def written():
            try:
                return store_put(self.addresses["store"], key, value)
            except OSError:
                return None
        self.wait_until(written, "store")

    def add_entry(self):
        """Starts another entry, which is not a seed of the agent."""
        address = free_address()
        entry = Entry(self.build, address)
        self.processes.append(entry.process)
        return entry, address

    def start_agent(self):
        with open(self.directory + "/agent.log", "a") as log:
            self.agent = spawn(
                [self.build + "/catkinhilld", "--config",
                 self.directory + "/agent.ini"], stdout=log,
                stderr=subprocess.STDOUT)
        self.processes.append(self.agent)

    def record(self):
        return json.loads(http_text(self.addresses["service"], "/record"))

    def control(self, **faults):
        http_text(self.addresses["service"], "/control", faults)

    def effects(self, job):
        return [r["step"] for r in self.record()["history"]
                if r["kind"] == "task-effect" and r["id"] == job]

    def wait_until(self, condition, what):
        wait_for(what, condition, WAIT_S)

    def metric(self, name):
        for line in http_text(self.addresses["admin"],
                              "/metrics").splitlines():
            if line.startswith(name + " "):
                return int(line.split()[-1])
        raise AssertionError("no metric " + name)

    def check_history(self):
        """Checks the worker's history, if it has any, for violations."""
        if os.path.exists(self.history) and os.path.getsize(self.history):
            with open(self.history) as history:
                subprocess.run([self.build + "/check_history"], check=True,
                               stdin=history, stdout=sys.stderr)

    def close(self):
        for process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.directory)


def run_scenarios(scenarios, build):
    for scenario in scenarios:
        started = time.monotonic()
        rig = Rig(build, worker=not getattr(scenario, "no_worker", False))
        try:
            scenario(rig)
            rig.check_history()
        except BaseException:
            with open(rig.directory + "/agent.log") as log:
                text = log.read()
            # What led to the failure, which the last lines don't reach.
            sys.stderr.writelines(
                [line for line in text.splitlines(True)
                 if " debug " not in line][-MAIN_LINES_MAX:])
            sys.stderr.write("---- last lines\n" + text[-6000:])
            sys.stderr.write("failed: %s\n" % scenario.__name__)
            raise
        finally:
            rig.close()
        print("%-40s %5.1f s" % (scenario.__name__,
                                 time.monotonic() - started), flush=True)
