"""A small system on 127.0.0.1 with fault injection: a test kills and freezes
processes and blocks connections.

All events seen by callers, workers and daemons form one history, which
check_history checks against the nine invariants of docs/design.md.
"""

import base64
import calendar
import hashlib
import http.client
import json
import os
import random
import re
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "tools", "pylib"))

from cluster import (Cluster, Daemon, ClusterError, Process,  # noqa: E402
                     http_call, store_call, store_put, wait_for)
from relay import Relay, StoreLink  # noqa: E402

VMS = [("vm1", "a", "a1"), ("vm2", "a", "a1"), ("vm3", "a", "a2"),
       ("vm4", "b", "b1")]
ENTRIES = [("e1", "a", "a1"), ("e2", "b", "b1")]
# Shorter than the initial values. As there, a grant outlasts the takeover of a
# partition: the store's lease of 2 s, and 3 s for an entry of second rank.
SHORT_LIMITS = {"partitions": 2, "task_lease_ms": 1000, "grant_ms": 6000,
                "holdover_ms": 4000, "evict_pause_ms": 1000}
LOG_LINE = re.compile(r"^(\S+)Z \w+ (\d+) \S+ ?(.*)$")


def now_ms():
    return int(time.monotonic() * 1000)


def digest(data):
    return hashlib.sha256(data).hexdigest()[:16]


def expect(condition, expectation):
    if not condition:
        raise ClusterError("expected: %s" % expectation)


def log_fields(text):
    return dict(re.findall(r"(\w+)=(\"[^\"]*\"|\S*)", text))


class Response:
    def __init__(self, status=0, outcome="unknown", body=b"", complete=0):
        self.status = status
        self.outcome = outcome
        self.body = body
        self.complete = complete

    def is_truncated(self):
        """Whether the caller received the response head but not the whole
        body."""
        return self.status and not self.complete


class NotSent(Exception):
    """The connection was refused; no request was sent."""


def ends_within(daemon, seconds):
    try:
        daemon.popen.wait(seconds)
    except subprocess.TimeoutExpired:
        return False
    return True


class System(Cluster):
    """A system in two regions. links: entries are reached, and reach the
    store, through proxies; ledger: workers skip repeated effects."""

    def __init__(self, build, limits=SHORT_LIMITS, vms=VMS, entries=ENTRIES,
                 links=False, ledger=False, lease_s=2, vm_limits=None):
        super().__init__(build)
        self.limits = limits
        self.vms = vms
        self.entry_locations = entries
        self.links = links
        self.lease_s = lease_s
        self.vm_limits = vm_limits
        self.records = []
        self.post_ids = set()
        self.lock = threading.Lock()
        self.serial = 0
        self.workers = {}
        self.relays = {}
        self.relay_addresses = {}
        self.store_links = {}
        self.jobs = {}
        self.started_daemons = []
        self.faults = 0
        self.wall_offset_s = time.monotonic() - time.time()
        self.ledger_directory = None
        if ledger:
            self.ledger_directory = os.path.join(self.directory, "effects")
            os.mkdir(self.ledger_directory)

    # Starting

    def start_all(self):
        self.start_store()
        self.put("cfg", json.dumps({
            "version": 1, "token": "test", "limits": self.limits,
            "drained": [], "quotas": {}, "changes": []}))
        for name, region, domain in self.entry_locations:
            self.start_entry(name, region, domain, wait=False)
        for name, region, domain in self.vms:
            self.start_vm(name, region, domain)
        for daemon in self.entries + list(self.agents.values()):
            daemon.wait_ready()
        self.wait_usable(len(self.vms))

    def start_store(self, *options):
        self.control = self.control_address = self.address()
        return super().start_store("--control", self.control, *options)

    def start_entry(self, name, region, domain, wait=True, **keys):
        keys.setdefault("log_level", "info")
        entry = super().start_entry(name, region, domain, wait=wait, **keys)
        return entry

    def start_daemon(self, name, sections, listen):
        """Inserts the proxies of an entry if links is set."""
        if "store" in sections:
            sections["store"]["lease_s"] = self.lease_s
            if self.links and sections["daemon"]["role"] == "entry":
                address = self.address()
                link = StoreLink(address, self.store_address)
                sections["store"]["address"] = address
                self.store_links[name] = link
                relay = self.address()
                self.relay_addresses[listen["peers"]] = relay
                link.relay_addresses = self.relay_addresses
                self.relays[name] = Relay(relay, listen["peers"],
                                          self.relay_addresses)
        daemon = super().start_daemon(name, sections, listen)
        daemon.who = name
        daemon.role = sections["daemon"]["role"]
        self.started_daemons.append(daemon)
        return daemon

    def seeds(self):
        return [self.relays[entry.who].address if entry.who in self.relays
                else entry.peers for entry in self.entries]

    def worker_options(self, name):
        options = ["--id", name, "--history",
                   os.path.join(self.directory, name + ".history")]
        if self.ledger_directory:
            options += ["--effects", self.ledger_directory]
        if self.vm_limits:
            options += ["--limits", ",".join(map(str, self.vm_limits))]
        return options

    def restart_worker(self, name):
        """Starts a worker without state at the same addresses."""
        old = self.workers[name]
        worker = self.start(Process, "%s-%d" % (name, len(self.processes)),
                            [self.binary("fakeworker"), "--service",
                             old.service, "--tasks", old.tasks,
                             *self.worker_options(name)])
        worker.service, worker.tasks = old.service, old.tasks
        worker.wait_text("ready")
        self.workers[name] = worker

    def start_vm(self, name, region, domain):
        keys = {}
        if self.vm_limits:
            keys = dict(zip(("slots", "connections", "cpu_milli", "mem_mb",
                             "accel"), self.vm_limits))
        self.workers[name] = self.start_worker(
            "worker-%s-%d" % (name, len(self.processes)),
            *self.worker_options(name))
        self.start_agent(name, self.workers[name], region, domain,
                         seeds=self.seeds(), wait=False, **keys)

    def restart(self, daemon, wait=True):
        """Restarts a daemon that has ended, as the same member."""
        restarted = self.start(Daemon, "%s-%d" % (daemon.who,
                                                  len(self.started_daemons)),
                               [self.binary("catkinhilld"), "--config",
                                daemon.settings])
        for name in ("who", "role", "settings", "listen", "admin", "callers",
                     "peers"):
            if hasattr(daemon, name):
                setattr(restarted, name, getattr(daemon, name))
        self.started_daemons.append(restarted)
        if daemon.role == "agent":
            self.agents[daemon.who] = restarted
        else:
            self.entries = [restarted if e.who == daemon.who else e
                            for e in self.entries]
        if wait:
            restarted.wait_ready()
        return restarted

    def wait_usable(self, count, entries=None):
        def all_usable():
            for entry in entries or self.entries:
                status = json.loads(http_call(entry.admin, "GET",
                                              "/v1/status")[2])
                if sum(m["usable"] for m in status["members"]) != count:
                    return False
            return True
        wait_for("%d usable VMs" % count, all_usable)

    def kill_all(self):
        for link in self.store_links.values():
            link.close()
        for relay in self.relays.values():
            relay.close()
        super().kill_all()

    # Faults

    def record(self, kind, **values):
        with self.lock:
            self.records.append(dict(kind=kind, t=now_ms(), **values))

    def fault(self, who):
        self.faults += 1
        self.record("fault", who=who)

    def kill_daemon(self, daemon):
        """Kills an entry or agent with SIGKILL."""
        self.fault(daemon.who)
        daemon.kill()
        self.record("process-end", who=daemon.who)

    def kill_worker(self, name):
        """Kills a worker with SIGKILL; its tasks end with it."""
        self.fault(name)
        self.workers[name].kill()
        running = {}
        for row in self.worker_records(name):
            if row["kind"] == "task-start":
                running[row["id"]] = row["run"]
            if row["kind"] == "task-stop":
                running.pop(row["id"], None)
        for job, run in running.items():
            self.record("task-stop", id=job, who=name, run=run)

    def kill_vm(self, name):
        self.kill_daemon(self.agents[name])
        self.kill_worker(name)

    def freeze(self, process):
        self.fault(getattr(process, "who", process.name))
        process.signal(signal.SIGSTOP)

    def resume(self, process):
        process.signal(signal.SIGCONT)

    def stop_gracefully(self, daemon):
        code = daemon.stop()
        self.record("process-end", who=daemon.who)
        expect(code == 0, "%s to exit with 0, not %s" % (daemon.who, code))

    def set_store_faults(self, **faults):
        self.fault("store")
        http_call(self.control, "POST", "/control", json.dumps(faults))

    def set_worker_faults(self, name, **faults):
        self.fault(name)
        http_call(self.workers[name].service, "POST", "/control",
                  json.dumps(faults))

    # Access to the store

    def put(self, key, value):
        store_put(self.store_address, key, value)

    def get(self, key):
        kvs = store_call(self.store_address, "/v3/kv/range", {
            "key": base64.b64encode(key.encode()).decode()}).get("kvs")
        return json.loads(base64.b64decode(kvs[0]["value"])) if kvs else None

    def wait_outcomes_stored(self):
        """An entry stores the outcome of a keyed request after it has sent
        the response; until then a retry gets outcome "unknown"."""
        encode = lambda text: base64.b64encode(text.encode()).decode()

        def stored():
            kvs = store_call(self.store_address, "/v3/kv/range", {
                "key": encode("idem/"), "range_end": encode("idem0")})["kvs"]
            states = [json.loads(base64.b64decode(kv["value"]))["state"]
                      for kv in kvs]
            return set(states) == {"done"}
        wait_for("stored outcomes", stored)

    # Callers

    def name(self, prefix="r"):
        with self.lock:
            self.serial += 1
            return "%s%d" % (prefix, self.serial)

    def send_request(self, entry, path, method="GET", body=None, key=None,
                     headers=None, seconds=40, prefix="r",
                     after_headers=None):
        """Sends one request and records it and its response in the
        history."""
        name = self.name(prefix)
        sent_headers = dict(headers or {}, **{"X-Request-Id": name})
        if key:
            sent_headers["Idempotency-Key"] = key
        host, port = entry.callers.split(":")
        connection = http.client.HTTPConnection(host, int(port),
                                                timeout=seconds)
        try:
            connection.connect()
        except ConnectionRefusedError:
            raise NotSent from None
        except ConnectionResetError:
            # Only of an entry that is killed while the caller connects.
            if not ends_within(entry, 1):
                raise
            raise NotSent from None
        if method == "POST":
            self.post_ids.add(name)
        self.record("invoke", id=name, key=key or "")
        response = Response()
        try:
            connection.request(method, path, body, sent_headers)
            received = connection.getresponse()
            response.status = received.status
            response.outcome = received.getheader("Catkinhill-Outcome") or \
                "unknown"
            if after_headers:
                after_headers()
            response.body = received.read()
            response.complete = 1
        except (OSError, http.client.HTTPException) as error:
            response.outcome = "unknown"
            response.error = repr(error)
        finally:
            connection.close()
        response.id, response.entry = name, entry.who
        self.record("answer", id=name, outcome=response.outcome,
                    status=response.status, complete=response.complete,
                    key=key or "",
                    digest=digest(response.body) if response.complete else "")
        return response

    # Operators

    def plan(self, entry, intent):
        status, _, text = http_call(entry.admin, "POST", "/v1/plan",
                                    json.dumps(intent))
        expect(status == 200, "a plan for %s, not %s" % (intent, text))
        return text

    def confirm(self, entry, plan):
        status, _, text = http_call(entry.admin, "POST", "/v1/confirm", plan)
        response = json.loads(text)
        if status == 200 and response.get("result") == "applied":
            self.record("config-accepted", version=response["version"])
        return status, response

    def change(self, entry, **intent):
        status, response = self.confirm(entry, self.plan(entry, intent))
        expect(status == 200, "%s to be confirmed, not %s" %
               (intent, response))
        return response

    def version(self, daemon):
        return daemon.metric("catkinhill_config_version") \
            if daemon.role == "entry" else self.applied_version(daemon)

    def applied_version(self, daemon):
        """Last version in an agent's log."""
        lines = daemon.lines(4001)
        return int(log_fields(lines[-1])["version"]) if lines else 0

    def wait_in_force(self, version, daemons=None, seconds=15):
        for daemon in daemons or self.entries + list(self.agents.values()):
            wait_for("version %d at %s" % (version, daemon.who),
                     lambda: self.version(daemon) >= version, seconds)

    # Batch

    def submit(self, job, steps, step_ms=10, entry=None, options="", **spec):
        self.jobs[job] = steps
        value = {"job": job, "team": "t", "urgent": False, "cpu_milli": 500,
                 "mem_mb": 100, "accel": 0, "command":
                 "run steps=%d step_ms=%d %s" % (steps, step_ms, options)}
        value.update(spec)
        self.change(entry or self.entries[0], intent="submit", job=value)

    def job(self, job):
        """The job's state at its owner, or None."""
        for entry in self.entries:
            if entry.popen.poll() is not None:
                continue
            try:
                status, _, text = http_call(entry.admin, "GET",
                                            "/v1/jobs/" + job, seconds=5)
            except (OSError, http.client.HTTPException):
                continue
            if status == 200:
                return json.loads(text)
        return None

    def wait_job(self, job, *states):
        def reached():
            row = self.job(job)
            return row if row and row["state"] in states else None
        row = wait_for("job %s to be %s, it is %s" %
                       (job, states, self.job(job)), reached, 50)
        if row["state"] == "done":
            self.record("job-end", id=job, outcome="done",
                        step=self.jobs[job])
        return row

    def owner_of(self, job):
        return wait_for("owner of " + job, lambda: self.find_owner(job))

    def find_owner(self, job):
        row = self.job(job)
        owner = self.get("own/%d" % row["partition"]) if row else None
        found = [e for e in self.entries if owner and
                 e.who == owner["entry"]]
        return found[0] if found else None

    def effect_steps(self, job):
        return [r["step"] for r in self.all_worker_records()
                if r["kind"] == "task-effect" and r["id"] == job]

    def wait_steps(self, job, count):
        wait_for("%d steps of %s" % (count, job),
                 lambda: len(self.effect_steps(job)) >= count)

    def skipped_steps(self):
        """Count of repeated steps that running workers skipped because of the
        ledger."""
        return sum(json.loads(http_call(w.service, "GET", "/record")[2])
                   ["skipped"] for w in self.workers.values()
                   if w.popen.poll() is None)

    # History

    def read_lines(self, path):
        with open(path, errors="replace") as lines:
            # The last line of a killed process may be incomplete.
            return [json.loads(line) for line in lines
                    if line.endswith("\n")]

    def worker_records(self, name):
        path = os.path.join(self.directory, name + ".history")
        return self.read_lines(path) if os.path.exists(path) else []

    def all_worker_records(self):
        rows = []
        for name, _, _ in self.vms:
            rows += self.worker_records(name)
        if self.ledger_directory:
            for name in os.listdir(self.ledger_directory):
                rows += self.read_lines(os.path.join(self.ledger_directory,
                                                     name))
        return rows

    def log_time_ms(self, timestamp):
        """Converts the wall-clock time of a log line to monotonic time."""
        seconds = calendar.timegm(time.strptime(timestamp[:19],
                                                "%Y-%m-%dT%H:%M:%S"))
        return int((seconds + float("0." + timestamp[20:]) +
                    self.wall_offset_s) * 1000)

    def log_records(self, daemon):
        rows = []
        for line in daemon.text().splitlines():
            found = LOG_LINE.match(line)
            if not found:
                continue
            event, text = int(found[2]), found[3]
            row = {"t": self.log_time_ms(found[1]), "who": daemon.who}
            if event == 6001:
                rows.append(dict(row, kind="process-start"))
            elif event == 4001:
                rows.append(dict(row, kind="config-seen",
                                 version=int(log_fields(text)["version"])))
            elif event == 2003:
                rows.append(dict(row, kind="leaving"))
            elif event == 4003:
                rows.append(dict(row, kind="config-accepted", who="",
                                 version=int(log_fields(text)["version"])))
        return rows

    def check_posts_ran_once(self, workers):
        """Guards against a retry of a POST without proof that the earlier
        attempt did not run."""
        seen = set()
        for row in workers:
            if row["kind"] == "execute" and row["id"] in self.post_ids:
                expect(row["id"] not in seen, "POST %s to run once; it was "
                       "retried although it had run" % row["id"])
                seen.add(row["id"])

    def history(self):
        # Callers go on meanwhile: a response that is read here must find its
        # execution in the workers' files, which are therefore read later.
        answers = list(self.records)
        workers = self.all_worker_records()
        rows = workers + answers
        for daemon in self.started_daemons:
            rows += self.log_records(daemon)
        executed_ids = {r["id"] for r in workers if r["kind"] == "execute"}
        self.check_posts_ran_once(workers)
        digests_by_key, executed_at_ms = {}, {}
        for r in workers:
            if r["kind"] == "execute" and r["key"]:
                digests_by_key.setdefault(r["key"], set()).add(r["digest"])
                executed_at_ms[r["key"]] = r["t"]
        out = []
        for row in rows:
            if row["kind"] == "answer" and row["key"] and \
                    row["id"] not in executed_ids and row["outcome"] == "done":
                # A replay: the response is that of the key's one execution.
                expect(row["status"] == 409 or
                       row["digest"] in digests_by_key.get(row["key"], ()),
                       "response %s to replay the response of its key" % row)
                row = dict(row, digest="")
            if row["kind"] == "answer" and row["key"] in executed_at_ms and \
                    row["outcome"] == "not-run":
                expect(executed_at_ms[row["key"]] >= row["t"],
                       "no attempt of %s to have run" % row)
            out.append(row)
        return out

    def check_history(self):
        """Runs the history checker; returns the count of records by kind."""
        rows = self.history()
        text = "".join(json.dumps(row) + "\n" for row in rows)
        checker = subprocess.run([self.binary("check_history")], input=text,
                                 capture_output=True, text=True, timeout=60)
        if checker.returncode:
            violations = checker.stdout[:3000] + checker.stderr[:500]
            history_path = os.environ.get("FAULTS_KEEP")
            if history_path:
                with open(history_path, "w") as out:
                    out.write(text)
            raise ClusterError("history: " + violations)
        kinds = {}
        for row in rows:
            kinds[row["kind"]] = kinds.get(row["kind"], 0) + 1
        return kinds


class Load:
    """Callers that send requests through entries until they are stopped."""

    REQUEST_MIX = [("GET", "/echo", 0), ("POST", "/echo", 0),
                   ("POST", "/echo", 70000), ("GET", "/work?ms=40", 0),
                   ("GET", "/bytes?n=300000", 0), ("POST", "/work?ms=20", 10)]

    def __init__(self, system, entries=None, callers=4, keyed=False, seed=1,
                 pause_s=0.01, requests_max=4000, request_mix=None):
        self.system = system
        self.entry_names = [e.who for e in entries or system.entries]
        self.keyed = keyed
        self.requests_max = requests_max
        self.pause_s = pause_s
        self.request_mix = request_mix or self.REQUEST_MIX
        self.stopping = threading.Event()
        self.outcomes = {}
        self.responses = []
        self.errors = []
        self.threads = [threading.Thread(target=self.run, daemon=True,
                                         args=(random.Random(seed * 100 + i),
                                               i))
                        for i in range(callers)]
        for thread in self.threads:
            thread.start()

    def entry(self, index):
        name = self.entry_names[index % len(self.entry_names)]
        return [e for e in self.system.entries if e.who == name][0]

    def run(self, rng, index):
        try:
            for i in range(self.requests_max):
                if self.stopping.is_set():
                    return
                self.send_one(rng, index + i)
                time.sleep(self.pause_s)
        except Exception as error:
            self.errors.append(repr(error))
            raise

    def send_one(self, rng, index):
        method, path, size = rng.choice(self.request_mix)
        body = rng.randbytes(size) if method == "POST" else None
        key = self.system.name("k") if self.keyed else None
        # A keyed request is sent again through the other entries; all
        # attempts together may run it at most once.
        for attempt in range(3 if self.keyed else 1):
            try:
                response = self.system.send_request(
                    self.entry(index + attempt), path, method, body, key)
            except NotSent:
                continue
            if method == "POST" and path == "/echo" and \
                    response.status == 200 and response.complete:
                expect(response.body == body, "/echo to return the body")
            with self.system.lock:
                self.responses.append(response)
                count = (response.status, "cut" if response.is_truncated() else
                         response.outcome)
                self.outcomes[count] = self.outcomes.get(count, 0) + 1

    def wait_responses(self, more):
        """Waits until so many more responses have arrived."""
        target = len(self.responses) + more
        wait_for("%d responses" % target, lambda: len(self.responses) >= target
                 or self.errors)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(60)
            expect(not thread.is_alive(), "callers to end within 60 s")
        expect(not self.errors, "no error of a caller: %s" % self.errors)
        return self.outcomes


class Watch(threading.Thread):
    """A caller that keeps an event stream open. When the entry ends it by
    notice, it continues through another entry."""

    def __init__(self, system, entry, name, start=None):
        super().__init__(daemon=True)
        self.system = system
        self.entry = entry
        self.path = "/watch?name=%s&every_ms=20" % name
        self.ids = []
        self.planned_ends = 0
        self.error = None
        self.closing = False
        self.open()
        self.start()

    def open(self):
        host, port = self.entry.callers.split(":")
        headers = {"Accept": "text/event-stream"}
        if self.ids:
            headers["Last-Event-ID"] = str(self.ids[-1])
        self.connection = http.client.HTTPConnection(host, int(port),
                                                     timeout=40)
        self.connection.request("GET", self.path, headers=headers)
        self.response = self.connection.getresponse()
        expect(self.response.status == 200, "a watch to open, not status %d" %
               self.response.status)

    def read(self):
        ended = False
        for line in self.response:
            if line.startswith(b"id: "):
                self.ids.append(int(line[4:]))
            ended = ended or line.startswith(b"event: catkinhill-end")
        return ended

    def run(self):
        try:
            while self.read():
                self.planned_ends += 1
                others = [e for e in self.system.entries
                          if e.who != self.entry.who]
                self.entry = others[0]
                self.open()
            if not self.closing:
                self.error = "the event stream ended without notice"
        except (OSError, ValueError, AttributeError, ClusterError,
                http.client.HTTPException) as error:
            if not self.closing:
                self.error = repr(error)

    def wait_events(self, count):
        target = len(self.ids) + count
        wait_for("events of a watch", lambda: len(self.ids) >= target or
                 self.error)
        expect(not self.error, "an open watch, not " + str(self.error))

    def close(self):
        """Checks that no event was lost or duplicated."""
        expect(not self.error, "an open watch, not " + str(self.error))
        self.closing = True
        expect(self.ids == list(range(self.ids[0],
                                      self.ids[0] + len(self.ids))),
               "each event exactly once")
        try:
            self.connection.sock.shutdown(2)
        except (OSError, AttributeError):
            pass


def run_all(scenarios):
    """Runs each scenario in a new system. Command line: the build directory,
    then names of scenarios to run (default: all)."""
    build, chosen = sys.argv[1], sys.argv[2:]
    for scenario in scenarios:
        if chosen and scenario.__name__ not in chosen:
            continue
        started = time.monotonic()
        options = getattr(scenario, "options", {})
        with System(build, **options) as system:
            system.start_all()
            scenario(system)
            kinds = system.check_history()
            faults = system.faults
        print("%-34s %5.1f s, %d faults, %s" % (
            scenario.__name__, time.monotonic() - started, faults,
            ", ".join("%d %s" % (kinds[k], k) for k in sorted(kinds)
                      if k in ("answer", "execute", "task-start",
                               "task-effect", "config-seen"))), flush=True)


def with_options(**options):
    def set_options(scenario):
        scenario.options = options
        return scenario
    return set_options
