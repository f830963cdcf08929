"""Starts the project's programs as deploy/system.toml does, on loopback."""

import asyncio
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

from standins import Record, Relay, Store, Worker, call, environment

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../.."))
HOST = "jobs.example"
MOST_S = 115  # of the 120 s that a script may take

QUEUES = [
    {"name": "q-fast", "host": HOST, "prefix": "/fast/", "service": "work",
     "priority": 0, "maxAttempts": 4, "stretch": 1.5,
     "completionTargetMs": 600},
    {"name": "q-slow", "host": HOST, "prefix": "/slow/", "service": "work",
     "priority": 2, "maxAttempts": 4, "stretch": 2.0,
     "completionTargetMs": 1000},
]
CONFIG = {"version": 3, "routes": QUEUES,
          "services": [{"name": "work", "rejectsOverload": False}],
          "limits": {"maxBodyBytes": 262144}}


class CannotRun(Exception):
    pass


def free_ports(count):
    """Ports below those that the system gives to outgoing connections."""
    ports = []
    for port in random.SystemRandom().sample(range(18000, 32000), 14000):
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun("no free ports")


def commands():
    """The words of each role's run line in the deploy file."""
    with open(os.path.join(ROOT, "deploy/system.toml")) as text:
        found = re.findall(r'\[roles\.(\w+)\]\s+run = "([^"]+)"\s+'
                           r'template = "([^"]+)"', text.read())
    return {role: (run.split(), template) for role, run, template in found}


def fill(template, fields):
    with open(os.path.join(ROOT, template)) as text:
        return re.sub(r"\{\{([\w.]+)\}\}",
                      lambda match: fields[match.group(1)], text.read())


class Daemon:
    def __init__(self, rig, role, name, addresses):
        self.rig, self.name = rig, name
        self.__dict__.update(addresses)
        run, template = commands()[role]
        path = os.path.join(rig.directory, name + ".ini")
        admin = addresses["admin"].split(":")[1]
        fields = {"nodeName": name, "region": "r1", "zone": "z1",
                  "listenAddrs.frontend": addresses.get("frontend", ""),
                  "listenAddrs.ready": addresses.get("ready", ""),
                  "listenAddrs.controlPlane": addresses.get("control", ""),
                  "ip": "127.0.0.1", "portRange.1": admin,
                  "portRange.0": addresses.get("peers", ":").split(":")[1],
                  "platform.address": addresses["store"],
                  "app": addresses.get("app", "")}
        with open(path, "w") as out:
            out.write(fill(template, fields))
        self.argv = [path if word == "/etc/catkinhill/settings.yaml" else word
                     for word in run]
        self.log = os.path.join(rig.directory, name + ".log")
        self.process = None

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(ROOT, self.argv[0])] + self.argv[1:], cwd=ROOT,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env=environment())
        self.rig.record.add("process", name=self.name, event="started",
                            pid=self.process.pid)

    def signal(self, number):
        self.rig.record.add("process", name=self.name,
                            event=signal.Signals(number).name)
        self.process.send_signal(number)

    async def restart(self, pause_s=0.5):
        self.signal(signal.SIGKILL)
        self.process.wait()
        await asyncio.sleep(pause_s)
        self.start()

    def is_running(self):
        return self.process and self.process.poll() is None


class Rig:
    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(folder, "record.txt"))
        self.directory = tempfile.mkdtemp(prefix="catkinhill-review-")
        self.daemons = []
        self.workers = []
        self.last_job = 0

    async def start(self, gateways=2, runners=3, far=(), delay_s=0.03,
                    worker_args=None, config=None):
        """far: names of daemons whose way to the store takes delay_s."""
        self.store = Store()
        ports = free_ports(1 + gateways * 3 + runners * 4 + len(far))
        addresses = ["127.0.0.1:%d" % port for port in ports]
        self.store_address = addresses.pop()
        await self.store.listen(self.store_address)
        self.expiry = asyncio.create_task(self.store.expire())
        await self.store.operator_put("op/config", config or CONFIG)
        self.relays, seen = {}, {}
        for name in far:
            self.relays[name] = Relay(self.store_address, delay_s)
            seen[name] = addresses.pop()
            await self.relays[name].listen(seen[name])
        self.gateways, self.runners = [], []
        for i in range(gateways):
            name = "edge-%d" % i
            self.gateways.append(Daemon(self, "gateway", name, {
                "frontend": addresses.pop(), "ready": addresses.pop(),
                "admin": addresses.pop(),
                "store": seen.get(name, self.store_address)}))
        for i in range(runners):
            name = "side-%d" % i
            self.runners.append(Daemon(self, "runner", name, {
                "control": addresses.pop(), "app": addresses.pop(),
                "peers": addresses.pop(), "admin": addresses.pop(),
                "store": seen.get(name, self.store_address)}))
        self.daemons = self.gateways + self.runners
        for daemon in self.daemons:
            daemon.start()
        for i, runner in enumerate(self.runners):
            worker = Worker(self.record, "i-%04d" % i, runner.app,
                            runner.control,
                            **(worker_args(i) if worker_args else {}))
            await worker.start()
            self.workers.append(worker)
        await self.wait_ready()

    async def wait_ready(self):
        for gateway in self.gateways:
            await self.wait("probe of " + gateway.name, lambda g=gateway:
                            self.status(g.ready, "/catkinhill/readyz", 200))
        await self.wait("a scheduler", self.leader)
        # One small job on each worker shows that the scheduler knows it.
        for _ in range(40):
            job = self.new_job()
            await self.submit(job, "fast", "50", [
                {"count": 3 * len(self.workers), "cpu": 900, "memMb": 64,
                 "estimateMs": 50}])
            await self.wait_state(job, "fast", "complete", 10)
            used = {fields["worker"] for _, kind, fields in self.record.rows
                    if kind == "worker" and fields["event"] == "start" and
                    fields["task"].startswith(job)}
            if len(used) == len(self.workers):
                return
        raise CannotRun("not every worker is used")

    async def leader(self):
        value = self.store.value("scheduler/leader")
        return value.decode().split("/")[0] if value else None

    async def leader_daemon(self):
        name = await self.leader()
        return next((d for d in self.runners if d.name == name), None)

    async def status(self, address, path, wanted):
        try:
            return (await call(address, "GET", path, timeout=1))[0] == wanted
        except OSError:
            return False

    async def wait(self, what, check, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            found = await check()
            if found:
                return found
            await asyncio.sleep(0.05)
        raise CannotRun("timed out: " + what)

    def new_job(self):
        self.last_job += 1
        return "%016x" % (0x5c0e7a2100000000 + self.last_job)

    async def request(self, gateway, method, path, body=None, timeout=4):
        """Status and body, or 0 without an answer."""
        sent = time.monotonic()
        try:
            status, answer = await call(
                gateway.frontend, method, path, body,
                {"Host": HOST, "X-Deadline-Ms": "3000"}, timeout)
        except OSError:
            status, answer = 0, {}
        self.record.add("client", gateway=gateway.name, method=method,
                        path=path, status=status, answer=answer,
                        took_ms=int((time.monotonic() - sent) * 1000))
        return status, answer

    async def submit(self, job, queue, spec, steps, gateway=None, tries=5):
        """Sends the same request again while its outcome is unknown."""
        for i in range(tries):
            status, _ = await self.request(
                gateway or self.gateways[i % len(self.gateways)], "POST",
                "/%s/%s" % (queue, job), {"spec": spec, "steps": steps})
            if status not in (0, 502, 504):
                return status
        return status

    async def state(self, job, queue, gateway=None):
        status, answer = await self.request(gateway or self.gateways[0],
                                            "GET", "/%s/%s" % (queue, job))
        return answer.get("state") if status == 200 else status

    async def wait_state(self, job, queue, state, seconds):
        async def reached():
            return await self.state(job, queue) == state
        await self.wait("%s of %s" % (state, job), reached, seconds)

    def close(self):
        for daemon in self.daemons:
            if daemon.is_running():
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.directory, os.environ["KEEP_LOGS"],
                            dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)
        self.record.close()


def worker_rows(record):
    return [(at, fields) for at, kind, fields in record.rows
            if kind == "worker"]


def broken_twice(record):
    """TWICE: two runs of a task at once on workers that are up, or a start
    after an end `done` that is taken note of at any time. An end whose
    worker's lease lapsed before it was taken note of doesn't count."""
    rows = worker_rows(record)
    counted = {}   # (worker, born, task, run) -> whether the end counts
    open_ends = {}
    for _, row in rows:
        life = (row["worker"], row["born"])
        key = life + (row["task"], row["run"])
        if row["event"] == "end" and row["how"] == "done":
            open_ends[key] = True
        elif row["event"] == "lapse":
            for end in [k for k in open_ends if k[:2] == life]:
                del open_ends[end]
        elif row["event"] == "noted" and open_ends.pop(key, None):
            counted[key] = True
    running, done, found = {}, {}, []
    for at, row in rows:
        task = row["task"]
        key = (row["worker"], row["born"], task, row["run"])
        if row["event"] == "start":
            others = running.setdefault(task, set())
            if others:
                found.append((at, "runs twice at once", task, row["worker"],
                              row["run"]))
            if task in done:
                found.append((at, "starts after its end", task,
                              row["worker"], row["run"]))
            others.add(key)
        elif row["event"] in ("end", "lost"):
            running.get(task, set()).discard(key)
            if row["event"] == "end" and key in counted:
                done[task] = at
    return found


def run_case(folder, scenario, **setup):
    """Ends the process with 1 if the rule was broken, 0 if it held, and 2
    without a result."""
    rig = Rig(folder)

    def finish(code, text):
        rig.close()
        print(text)
        sys.stdout.flush()
        os._exit(code)  # without waiting for what the stand-ins still do

    async def play():
        try:
            await rig.start(**setup)
            found = await scenario(rig)
        except BaseException as err:  # pylint: disable=broad-except
            traceback.print_exc()
            finish(2, "could not run: %r" % err)
        for row in found[:20]:
            print(*row)
        finish(1 if found else 0,
               "broken %d times" % len(found) if found else "held")

    overdue = threading.Timer(MOST_S, finish, (2, "could not run: overdue"))
    overdue.daemon = True
    overdue.start()
    asyncio.run(play())


def main(folder, scenario, **setup):
    run_case(folder, scenario, **setup)
