"""A small deployment: daemons as processes, platform and workers beside."""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

from store import Store
from worker import Worker

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
HOST = "jobs.example"
PREFIX = "/jobs/"
DEADLINE_MS = 3000
TIME_LIMIT_S = 115
CONFIG = {
    "version": 1,
    "routes": [{"name": "jobs", "host": HOST, "prefix": PREFIX,
                "service": "work", "priority": 0, "maxAttempts": 3,
                "stretch": 2.0, "completionTargetMs": 500}],
    "services": [{"name": "work", "rejectsOverload": False}],
    "limits": {"maxBodyBytes": 262144},
}
used_ports = set()


class CannotRun(Exception):
    pass


def free_port():
    """A port below the ephemeral range that nothing listens on."""
    while True:
        port = random.SystemRandom().randrange(10000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in used_ports:
            used_ports.add(port)
            return port


def free_address():
    return "127.0.0.1:%d" % free_port()


def render(template, values):
    with open(os.path.join(ROOT, "deploy", template)) as text:
        return re.sub(r"\{\{([\w.]+)\}\}",
                      lambda match: str(values[match.group(1)]), text.read())


class Deployment:
    def __init__(self, case, gateways=1, runners=3, **worker_options):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.rows = []
        self.log = open(os.path.join(case, "record.txt"), "w")
        self.directory = tempfile.mkdtemp(prefix="catkinhill-review-")
        self.processes = {}
        self.job_count = 0
        self.store = Store(free_address())
        self.store.put("op/config", json.dumps(CONFIG))
        self.gateways = [self.add_gateway("edge-%d" % i)
                         for i in range(gateways)]
        self.runners = [self.add_runner("side-%d" % i)
                        for i in range(runners)]
        self.workers = [Worker("i-%08x" % (i + 1), runner["app"],
                               runner["listenAddrs.controlPlane"],
                               self.record, **worker_options)
                        for i, runner in enumerate(self.runners)]

    def record(self, event, **fields):
        row = dict(fields, event=event, at=self.now())
        with self.lock:
            self.rows.append(row)
            self.log.write(json.dumps(row) + "\n")
            self.log.flush()
        return row

    def events(self, event):
        with self.lock:
            return [row for row in self.rows if row["event"] == event]

    def add_daemon(self, name, template, values):
        values = dict(values, nodeName=name, region="r1", zone="z1",
                      ip="127.0.0.1", name=name)
        values["portRange.0"], values["portRange.1"] = free_port(), free_port()
        values["platform.address"] = self.store_address()
        values["path"] = os.path.join(self.directory, name + ".ini")
        with open(values["path"], "w") as out:
            out.write(render(template, values))
        self.start(values)
        return values

    def store_address(self):
        return "%s:%d" % self.store.server.http.server_address

    def add_gateway(self, name):
        return self.add_daemon(name, "gateway.ini", {
            "listenAddrs.frontend": free_address(),
            "listenAddrs.ready": free_address()})

    def add_runner(self, name):
        return self.add_daemon(name, "runner.ini", {
            "listenAddrs.controlPlane": free_address(),
            "app": free_address()})

    def start(self, daemon):
        output = open(os.path.join(self.directory, daemon["name"] + ".log"),
                      "ab")
        self.processes[daemon["name"]] = subprocess.Popen(
            [os.path.join(ROOT, "target", "catkinhilld"), "--config",
             daemon["path"]], stdout=output, stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL, process_group=0)
        output.close()
        self.record("daemon started", name=daemon["name"])

    def signal(self, daemon, number):
        self.processes[daemon["name"]].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[daemon["name"]].wait()
        self.record("signal", name=daemon["name"], number=int(number))

    def close(self):
        end_processes(self)
        for worker in self.workers:
            worker.is_up = False
        if os.environ.get("KEEP_LOGS"):
            print("logs are in " + self.directory)
        else:
            shutil.rmtree(self.directory)
        self.log.close()

    def call(self, gateway, method, path, body=None, seconds=5, **fields):
        """Returns (status, object); status is None without a response."""
        host, port = gateway["listenAddrs.frontend"].split(":")
        connection = http.client.HTTPConnection(host, int(port),
                                                timeout=seconds)
        sent = self.record("sent", method=method, path=path, **fields)["at"]
        status, value = None, None
        try:
            connection.request(
                method, path, json.dumps(body) if body else None,
                {"Host": HOST, "X-Deadline-Ms": str(DEADLINE_MS),
                 "Content-Type": "application/json"})
            response = connection.getresponse()
            text = response.read()
            status, value = response.status, json.loads(text or b"{}")
        except (OSError, http.client.HTTPException, ValueError):
            pass
        finally:
            connection.close()
        self.record("answered", method=method, path=path, sent=sent,
                    status=status, value=value, **fields)
        return status, value

    def new_job(self):
        with self.lock:
            self.job_count += 1
            return "%016x" % (0x5c0e7a21d94b0000 + self.job_count)

    def submit(self, gateway, spec, steps, job=None):
        job = job or self.new_job()
        status, _ = self.call(gateway, "POST", PREFIX + job,
                              {"spec": spec, "steps": steps})
        return job, status

    def submit_each_second(self, gateway, count):
        """Small jobs; returns the accepted ones as (job, time)."""
        accepted = []
        for _ in range(count):
            job, status = self.submit(gateway, "0.3", [
                {"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 300}])
            if status == 200:
                accepted.append((job, self.now()))
            time.sleep(1)
        return accepted

    def now(self):
        return round(time.monotonic() - self.started, 3)

    def state(self, gateway, job):
        status, value = self.call(gateway, "GET", PREFIX + job)
        return value["state"] if status == 200 else status

    def wait(self, what, condition, seconds=20):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CannotRun("timed out waiting for " + what)
            time.sleep(0.05)

    def wait_ready(self):
        """Waits until each worker has run a task."""
        def used():
            return {row["worker"] for row in self.events("start")}

        end = time.monotonic() + 30
        while len(used()) < len(self.workers):
            if time.monotonic() > end:
                raise CannotRun("a worker is not used")
            job, status = self.submit(self.gateways[0], "0.2", [
                {"count": 2 * len(self.workers), "cpu": 8000, "memMb": 10}])
            if status != 200:
                time.sleep(0.2)
                continue
            self.wait("first jobs", lambda: self.state(
                self.gateways[0], job) == "complete")


def end_processes(deployment):
    for process in deployment.processes.values():
        if process.poll() is None:
            process.kill()
        process.wait()


def overdue(deployment):
    print("the case took too long")
    end_processes(deployment)
    os._exit(2)


def interrupted(number, frame):
    raise CannotRun("signal %d" % number)


def main(case, check, **options):
    """Runs check(deployment, trouble), which returns the broken rules.

    Ends the process with 1 if there are any, 0 if not, and 2 if the case could
    not run. TROUBLE=0 in the environment leaves the disruption out."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, interrupted)
    signal.signal(signal.SIGINT, interrupted)
    deployment = None
    code = 2
    try:
        deployment = Deployment(case, **options)
        timer = threading.Timer(TIME_LIMIT_S, overdue, [deployment])
        timer.daemon = True
        timer.start()
        deployment.wait_ready()
        broken = check(deployment, trouble)
        for text in broken:
            deployment.record("broken", text=text)
            print(text)
        code = 1 if broken else 0
    except CannotRun as error:
        print("the case could not run: %s" % error)
    except Exception:
        traceback.print_exc()
    finally:
        if deployment:
            deployment.close()
    sys.exit(code)
