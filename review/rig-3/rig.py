"""Starts a small deployment on loopback addresses: the stand-in of the store,
gateways and runners with the commands of the deploy file, and workers."""

import base64
import fcntl
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from worker import Worker

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../.."))
DAEMON = os.path.join(ROOT, "target/catkinhilld")
STORE = os.path.join(ROOT, "target/standins/fakeplatform")
HELD, FAILED, CANNOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_locks = []


class CannotRun(Exception):
    pass


def free_address():
    """A port below the ephemeral ones, which no other rig uses meanwhile."""
    directory = os.path.join(tempfile.gettempdir(), "catkinhill-ports")
    os.makedirs(directory, exist_ok=True)
    for _ in range(2000):
        port = random.randrange(10000, 32000)
        lock = open(os.path.join(directory, str(port)), "w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind(("127.0.0.1", port))
        except OSError:
            lock.close()
            continue
        _locks.append(lock)
        return "127.0.0.1:%d" % port
    raise CannotRun("no free port")


def call(address, method, path, body=None, headers=None, timeout=10):
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def wait_for(what, check, seconds=30):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = check()
        if value:
            return value
        time.sleep(0.05)
    raise CannotRun("timed out: " + what)


def route(name, service, **fields):
    return {"name": name, "host": name + ".example", "prefix": "/%s/" % name,
            "kind": "non_idempotent", "timeoutMs": 3000, "priority": 0,
            "completionTargetMs": 1000, "service": service, "maxAttempts": 3,
            "stretch": 2.0, **fields}


class Rig:
    def __init__(self, record_path, gateways=2):
        self.started_at = time.monotonic()
        self.out = open(record_path, "w")
        self.lock = threading.Lock()
        self.events = []
        self.directory = tempfile.mkdtemp(prefix="catkinhill-review-")
        self.processes = {}
        self.workers = {}
        self.runners = {}
        self.config_version = 0
        for path in (DAEMON, STORE):
            if not os.path.exists(path):
                raise CannotRun(path + " is not built")
        self.store = free_address()
        self.spawn("store", [STORE, "store", self.store])
        wait_for("the store", lambda: self.control("mode?name=none"))
        self.gateways = ["g%d" % i for i in range(gateways)]
        self.callers, self.probes = {}, {}
        self.store_links = {}  # process -> address at which it calls the store
        for name in self.gateways:
            self.start_gateway(name)

    def record(self, event, **fields):
        row = {"t": round(time.monotonic() - self.started_at, 3),
               "event": event, **fields}
        with self.lock:
            self.events.append(row)
            self.out.write(json.dumps(row) + "\n")
            self.out.flush()

    def spawn(self, name, argv):
        log = open(os.path.join(self.directory, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            argv, stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT,
            process_group=0)

    def log(self, name):
        path = os.path.join(self.directory, name + ".log")
        with open(path, errors="replace") as text:
            return text.read()

    def control(self, path, body=""):
        try:
            return call(self.store, "POST", "/fake/" + path, body)[0] == 200
        except OSError:
            return False

    def configure(self, *routes):
        """The operator writes the next version of the configuration."""
        self.config_version += 1
        services = sorted({row["service"] for row in routes})
        config = {"version": self.config_version, "routes": list(routes),
                  "services": [{"name": name, "rejectsOverload": False,
                                "standby": False} for name in services],
                  "limits": {"maxBodyBytes": 262144}}
        value = base64.b64encode(json.dumps(config).encode()).decode()
        if not self.control("put?key=op/config", value):
            raise CannotRun("the configuration was not stored")
        self.record("configured", version=self.config_version,
                    routes={row["name"]: row["service"] for row in routes})

    def daemon(self, name, role, listen, more=""):
        text = "[daemon]\nrole = %s\nid = %s\nregion = r1\ndomain = z1\n" \
            "log_level = info\nstop_ms = %d\n[listen]\n%s\n[store]\n" \
            "address = %s\n%s" % (
                role, name, 5000 if role == "gateway" else 2000,
                "\n".join("%s = %s" % row for row in listen.items()),
                self.store_links.get(name, self.store), more)
        path = os.path.join(self.directory, name + ".ini")
        with open(path, "w") as out:
            out.write(text)
        self.spawn(name, [DAEMON, "--config", path])

    def start_gateway(self, name):
        self.callers[name] = self.callers.get(name) or free_address()
        self.probes[name] = self.probes.get(name) or free_address()
        self.daemon(name, "gateway",
                    {"callers": self.callers[name],
                     "probe": self.probes[name], "admin": free_address()},
                    "[admission]\noutlook_age_ms = 3000\n"
                    "retry_spread_ms = 2000\n")

    def start_runner(self, name):
        row = self.runners.setdefault(name, {
            key: free_address() for key in
            ("peers", "admin", "announcements", "worker")})
        self.daemon(name, "runner",
                    {key: row[key] for key in
                     ("peers", "admin", "announcements")},
                    "[runner]\nworker = %s\n[admission]\n"
                    "outlook_age_ms = 3000\n" % row["worker"])

    def start_worker(self, runner, name=None, **options):
        name = name or "w-" + runner
        row = self.runners[runner]

        def record(event, **fields):
            self.record(event, worker=name, **fields)

        worker = Worker(name, row["worker"], row["announcements"], record,
                        **options)
        self.workers[runner] = worker
        self.record("worker-up", worker=name, service=worker.service,
                    born=worker.born_ms)
        return worker

    def add(self, runner, **options):
        self.start_runner(runner)
        return self.start_worker(runner, **options)

    def kill(self, name, number=signal.SIGKILL):
        process = self.processes[name]
        self.record("signal", process=name, signal=int(number))
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()

    def leader(self):
        """The runner that was elected last, if it is still up."""
        latest = (0, None)
        for name in self.runners:
            for line in self.log(name).splitlines():
                if " 3101 " in line:
                    epoch = int(line.split("epoch=")[1].split()[0])
                    latest = max(latest, (epoch, name))
        name = latest[1]
        return name if name and self.processes[name].poll() is None else None

    def wait_ready(self):
        for name in self.gateways:
            wait_for("gateway " + name, lambda: self.is_ready(name))
        wait_for("a scheduler", self.leader)

    def is_ready(self, gateway):
        try:
            return call(self.probes[gateway], "GET",
                        "/catkinhill/readyz")[0] == 200
        except OSError:
            return False

    # The clients.

    def request(self, method, queue, job, body=None, gateway=None):
        gateway = gateway or self.gateways[0]
        try:
            status, text = call(
                self.callers[gateway], method, "/%s/%s" % (queue, job),
                json.dumps(body) if body is not None else None,
                {"Host": queue + ".example", "X-Deadline-Ms": "3000",
                 "Content-Type": "application/json"}, timeout=3)
        except (OSError, http.client.HTTPException):
            status, text = 0, b""
        return status, text

    def submit(self, queue, job, spec, steps, gateway=None):
        status, _ = self.request("POST", queue, job,
                                 {"spec": spec, "steps": steps}, gateway)
        self.record("submitted", job=job, status=status, spec=spec,
                    steps=steps)
        return status

    def state(self, queue, job, gateway=None):
        status, text = self.request("GET", queue, job, gateway=gateway)
        return json.loads(text)["state"] if status == 200 else status

    def cancel(self, queue, job, gateway=None):
        status = self.request("DELETE", queue, job, gateway=gateway)[0]
        self.record("cancelled", job=job, status=status)
        return status

    def of(self, event, **fields):
        with self.lock:
            return [row for row in self.events if row["event"] == event and
                    all(row.get(key) == value
                        for key, value in fields.items())]

    def close(self):
        for worker in self.workers.values():
            worker.is_up = False
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        self.out.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.directory, ignore_errors=True)
        else:
            print("logs: " + self.directory, file=sys.stderr)


def run_case(folder, scenario):
    """scenario(rig) returns what was broken, or None; ends the process."""
    rig, code = None, CANNOT_RUN
    try:
        rig = Rig(os.path.join(folder, "record.txt"))
        broken = scenario(rig)
        rig.record("result", broken=broken)
        print(broken or "held")
        code = FAILED if broken else HELD
    except CannotRun as err:
        print("cannot run: %s" % err, file=sys.stderr)
    finally:
        if rig:
            rig.close()
    sys.stdout.flush()
    os._exit(code)
