"""Starts the daemons and stand-ins of a small system on 127.0.0.1.

Used by the demo and by end-to-end tests. Every process is ended by its own
process id, also when the caller fails.
"""

import base64
import http.client
import json
import os
import shutil
import signal
import subprocess
import tempfile
import time

from ports import free_address

# Generous, because it only bounds a failure: waits end on events.
WAIT_SECONDS = 60


class ClusterError(Exception):
    pass


def wait_for(what, check, seconds=WAIT_SECONDS):
    """Polls until check() is true and returns its value."""
    end = time.monotonic() + seconds
    while True:
        value = check()
        if value:
            return value
        if time.monotonic() > end:
            raise ClusterError("timed out waiting for " + what)
        time.sleep(0.05)


def http_call(address, method, path, body=None, headers=None, seconds=60):
    """Returns (status, headers, body)."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    finally:
        connection.close()


def http_status(address, path):
    """Status of a GET, or None when nobody answers."""
    try:
        return http_call(address, "GET", path, seconds=5)[0]
    except (OSError, http.client.HTTPException):
        return None


def spawn(argv, **options):
    """Starts a process in a group of its own.

    When the shell that started the tests ends first, the kernel sends SIGHUP
    to the group that it leaves behind if a process of it is stopped. This
    killed processes that a test had frozen.
    """
    return subprocess.Popen(argv, process_group=0, **options)


def store_call(address, path, body):
    """One call to the store; returns what it answered."""
    status, _, answer = http_call(address, "POST", path, json.dumps(body))
    if status != 200:
        raise ClusterError("the store answered %d to %s" % (status, body))
    return json.loads(answer)


def store_put(address, key, value):
    """Writes a key whatever its revision."""
    encode = lambda text: base64.b64encode(text.encode()).decode()
    return store_call(address, "/v3/kv/txn", {"success": [{"request_put": {
        "key": encode(key), "value": encode(value)}}]})


class Process:
    def __init__(self, name, argv, directory, env=None):
        self.name = name
        self.stopping = False  # a second signal would not be graceful
        self.log = os.path.join(directory, name + ".log")
        self.output = open(self.log, "wb")
        self.popen = spawn(argv, stdout=self.output, stderr=subprocess.STDOUT,
                           stdin=subprocess.DEVNULL, env=env)

    def text(self):
        with open(self.log, "r", errors="replace") as log:
            return log.read()

    def lines(self, event):
        """Log lines of one numbered event."""
        marker = " %d " % event
        return [line for line in self.text().splitlines() if marker in line]

    def check_alive(self):
        code = self.popen.poll()
        if code is not None:
            raise ClusterError("%s ended with %s:\n%s" %
                         (self.name, code, self.text()[-2000:]))

    def wait_text(self, text):
        def found():
            if text in self.text():
                return True
            self.check_alive()
            return False
        wait_for("'%s' from %s" % (text, self.name), found)

    def signal(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def begin_stop(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        self.stopping = True

    def stop(self, seconds=WAIT_SECONDS):
        """Ends gracefully; returns the exit code."""
        if not self.stopping:
            self.begin_stop()
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            raise ClusterError("%s did not stop" % self.name)

    def kill(self):
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()
        self.output.close()


class Daemon(Process):
    """An entry or agent; admin is its admin address."""

    def wait_ready(self):
        def ready():
            self.check_alive()
            return http_status(self.admin, "/ready") == 200
        wait_for(self.name + " to be ready", ready)

    def metric(self, name):
        """Sum of a metric over its labels."""
        text = http_call(self.admin, "GET", "/metrics")[2].decode()
        total = 0
        for line in text.splitlines():
            if line.startswith(name + "{") or line.startswith(name + " "):
                total += int(line.rsplit(" ", 1)[1])
        return total


class Cluster:
    def __init__(self, build):
        self.build = os.path.abspath(build)
        self.directory = tempfile.mkdtemp(prefix="catkinhill.")
        self.processes = []
        self.store_address = None
        self.store_process = None
        self.entries = []
        self.agents = {}

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None:
            self.print_logs()
        self.kill_all()
        shutil.rmtree(self.directory, ignore_errors=True)
        return False

    def print_logs(self):
        for process in self.processes:
            print("--- last lines of %s" % process.name)
            print("\n".join(process.text().splitlines()[-15:]))

    def kill_all(self):
        for process in reversed(self.processes):
            process.kill()

    def binary(self, name):
        return os.path.join(self.build, name)

    def address(self):
        """An address that stays this process's own."""
        return free_address()

    def start(self, kind, name, argv):
        process = kind(name, argv, self.directory)
        self.processes.append(process)
        return process

    def start_store(self, *options):
        self.store_address = self.address()
        self.store_control = self.address()
        self.store_process = self.start(
            Process, "store",
            [self.binary("fakestore"), "--listen", self.store_address,
             "--control", self.store_control, *options])
        self.store_process.wait_text("ready")
        return self.store_process

    def control_store(self, **faults):
        """Sets faults of the store; see tests/fakes/fakestore."""
        status = http_call(self.store_control, "POST", "/control",
                           json.dumps(faults))[0]
        if status != 200:
            raise ClusterError("the store refused %s" % faults)

    def store_state(self):
        return json.loads(http_call(self.store_control, "GET", "/control")[2])

    def write_settings(self, name, sections):
        path = os.path.join(self.directory, name + ".ini")
        with open(path, "w") as out:
            for section, values in sections.items():
                out.write("[%s]\n" % section)
                for key, value in values.items():
                    out.write("%s = %s\n" % (key, value))
        return path

    def start_daemon(self, name, sections, listen):
        path = self.write_settings(name, sections)
        daemon = self.start(Daemon, name, [self.binary("catkinhilld"),
                                           "--config", path])
        daemon.settings = path
        daemon.listen = listen
        daemon.admin = listen["admin"]
        return daemon

    def start_entry(self, name, region, domain, wait=True, **daemon_keys):
        listen = {key: self.address() for key in ("callers", "peers", "admin")}
        sections = {
            "daemon": {"role": "entry", "id": name, "region": region,
                       "domain": domain, **daemon_keys},
            "listen": listen,
            "entry": {"default_service": "stock"},
        }
        if self.store_address:
            sections["store"] = {"address": self.store_address}
        entry = self.start_daemon(name, sections, listen)
        entry.callers = listen["callers"]
        entry.peers = listen["peers"]
        self.entries.append(entry)
        if wait:
            entry.wait_ready()
        return entry

    def start_entries(self, count):
        for i in range(count):
            self.start_entry("entry-%d" % i, "a", "a1", wait=False)
        for entry in self.entries:
            entry.wait_ready()

    def start_worker(self, name, *options):
        service, tasks = self.address(), self.address()
        worker = self.start(
            Process, name, [self.binary("fakeworker"), "--service", service,
                            "--tasks", tasks, *options])
        worker.service, worker.tasks = service, tasks
        worker.wait_text("ready")
        return worker

    def start_agent(self, name, worker, region, domain, seeds=None, wait=True,
                    service="stock", **agent_keys):
        listen = {"admin": self.address()}
        seeds = seeds or [entry.peers for entry in self.entries]
        sections = {
            "daemon": {"role": "agent", "id": name, "region": region,
                       "domain": domain},
            "listen": listen,
            "agent": {"seeds": ", ".join(seeds), "service": service,
                      "upstream": worker.service, "tasks": worker.tasks,
                      **agent_keys},
        }
        if self.store_address:
            sections["store"] = {"address": self.store_address}
        agent = self.start_daemon(name, sections, listen)
        self.agents[name] = agent
        if wait:
            agent.wait_ready()
        return agent

    def ctl(self, *args, entry=None, seconds=WAIT_SECONDS):
        """Runs catkinhillctl; returns (exit code, stdout, stderr)."""
        entry = entry or self.entries[0]
        done = subprocess.run(
            [self.binary("catkinhillctl"), "--entry", entry.admin, *args],
            stdin=subprocess.DEVNULL, capture_output=True, text=True,
            timeout=seconds)
        return done.returncode, done.stdout, done.stderr

    def ctl_json(self, *args, entry=None):
        code, out, err = self.ctl("--json", *args, entry=entry)
        if code:
            raise ClusterError("catkinhillctl %s: %s" % (" ".join(args), err))
        return json.loads(out)
