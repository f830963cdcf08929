"""A small system on 127.0.0.1 whose parts a test kills, freezes and cuts.

Everything that callers, workers and daemons saw goes into one history, which
check_history judges by the nine invariants of docs/design.md.
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
# Short enough for a test. As with the initial values, a grant outlasts the
# takeover of a partition: the store's lease of 2 s, and 3 s for a second rank.
FAST = {"partitions": 2, "task_lease_ms": 1000, "grant_ms": 6000,
        "holdover_ms": 4000, "evict_pause_ms": 1000}
LINE = re.compile(r"^(\S+)Z \w+ (\d+) \S+ ?(.*)$")


def now():
    return int(time.monotonic() * 1000)


def digest(data):
    return hashlib.sha256(data).hexdigest()[:16]


def expect(condition, what):
    if not condition:
        raise ClusterError("expected: %s" % what)


def fields(text):
    return dict(re.findall(r"(\w+)=(\"[^\"]*\"|\S*)", text))


class Answer:
    def __init__(self, status=0, outcome="unknown", body=b"", complete=0):
        self.status = status
        self.outcome = outcome
        self.body = body
        self.complete = complete

    def is_cut(self):
        """Whether the caller saw the head of an answer and that its body
        is not whole."""
        return self.status and not self.complete


class NotSent(Exception):
    """Nobody listens: nothing was sent."""


class System(Cluster):
    """Two regions; options choose links that can be cut, and the ledger."""

    def __init__(self, build, limits=FAST, vms=VMS, entries=ENTRIES,
                 links=False, ledger=False, lease_s=2, vm_limits=None):
        super().__init__(build)
        self.limits = limits
        self.vms = vms
        self.entry_places = entries
        self.links = links
        self.lease_s = lease_s
        self.vm_limits = vm_limits
        self.records = []
        self.posts = set()
        self.lock = threading.Lock()
        self.serial = 0
        self.workers = {}
        self.relays = {}
        self.moved = {}
        self.store_links = {}
        self.jobs = {}
        self.lives = []
        self.faults = 0
        self.wall_offset = time.monotonic() - time.time()
        self.effects = None
        if ledger:
            self.effects = os.path.join(self.directory, "effects")
            os.mkdir(self.effects)

    # Starting

    def start_all(self):
        self.start_store()
        self.put("cfg", json.dumps({
            "version": 1, "token": "test", "limits": self.limits,
            "drained": [], "quotas": {}, "changes": []}))
        for name, region, domain in self.entry_places:
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
        """Puts the links between, if there are any."""
        if "store" in sections:
            sections["store"]["lease_s"] = self.lease_s
            if self.links and sections["daemon"]["role"] == "entry":
                address = self.address()
                link = StoreLink(address, self.store_address)
                sections["store"]["address"] = address
                self.store_links[name] = link
                relay = self.address()
                self.moved[listen["peers"]] = relay
                link.moved = self.moved
                self.relays[name] = Relay(relay, listen["peers"], self.moved)
        daemon = super().start_daemon(name, sections, listen)
        daemon.who = name
        daemon.role = sections["daemon"]["role"]
        self.lives.append(daemon)
        return daemon

    def seeds(self):
        return [self.relays[entry.who].address if entry.who in self.relays
                else entry.peers for entry in self.entries]

    def worker_options(self, name):
        options = ["--id", name, "--history",
                   os.path.join(self.directory, name + ".history")]
        if self.effects:
            options += ["--effects", self.effects]
        if self.vm_limits:
            options += ["--limits", ",".join(map(str, self.vm_limits))]
        return options

    def restart_worker(self, name):
        """An empty worker at the same addresses."""
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
        """Starts a daemon that has ended again, as the same member."""
        again = self.start(Daemon, "%s-%d" % (daemon.who, len(self.lives)),
                           [self.binary("catkinhilld"), "--config",
                            daemon.settings])
        for name in ("who", "role", "settings", "listen", "admin", "callers",
                     "peers"):
            if hasattr(daemon, name):
                setattr(again, name, getattr(daemon, name))
        self.lives.append(again)
        if daemon.role == "agent":
            self.agents[daemon.who] = again
        else:
            self.entries = [again if e.who == daemon.who else e
                            for e in self.entries]
        if wait:
            again.wait_ready()
        return again

    def wait_usable(self, count, entries=None):
        def known():
            for entry in entries or self.entries:
                status = json.loads(http_call(entry.admin, "GET",
                                              "/v1/status")[2])
                if sum(m["usable"] for m in status["members"]) != count:
                    return False
            return True
        wait_for("%d usable VMs" % count, known)

    def kill_all(self):
        for link in self.store_links.values():
            link.close()
        for relay in self.relays.values():
            relay.close()
        super().kill_all()

    # Faults

    def record(self, kind, **values):
        with self.lock:
            self.records.append(dict(kind=kind, t=now(), **values))

    def fault(self, who):
        self.faults += 1
        self.record("fault", who=who)

    def die(self, daemon):
        """SIGKILL of an entry or agent."""
        self.fault(daemon.who)
        daemon.kill()
        self.record("process-end", who=daemon.who)

    def die_worker(self, name):
        """SIGKILL of a worker: its tasks end with it."""
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

    def die_vm(self, name):
        self.die(self.agents[name])
        self.die_worker(name)

    def freeze(self, process):
        self.fault(getattr(process, "who", process.name))
        process.signal(signal.SIGSTOP)

    def thaw(self, process):
        process.signal(signal.SIGCONT)

    def stop_planned(self, daemon):
        code = daemon.stop()
        self.record("process-end", who=daemon.who)
        expect(code == 0, "%s ends with 0, not %s" % (daemon.who, code))

    def store(self, **faults):
        self.fault("store")
        http_call(self.control, "POST", "/control", json.dumps(faults))

    def control_worker(self, name, **faults):
        self.fault(name)
        http_call(self.workers[name].service, "POST", "/control",
                  json.dumps(faults))

    # The store, as a test sees it

    def put(self, key, value):
        store_put(self.store_address, key, value)

    def get(self, key):
        kvs = store_call(self.store_address, "/v3/kv/range", {
            "key": base64.b64encode(key.encode()).decode()}).get("kvs")
        return json.loads(base64.b64decode(kvs[0]["value"])) if kvs else None

    def wait_outcomes_stored(self):
        """An entry stores the outcome of a keyed request after it has sent
        the answer; until then a retry is told "unknown"."""
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

    def ask(self, entry, path, method="GET", body=None, key=None,
            headers=None, seconds=40, prefix="r", after_head=None):
        """One request; what it saw goes into the history."""
        name = self.name(prefix)
        head = dict(headers or {}, **{"X-Request-Id": name})
        if key:
            head["Idempotency-Key"] = key
        host, port = entry.callers.split(":")
        connection = http.client.HTTPConnection(host, int(port),
                                                timeout=seconds)
        try:
            connection.connect()
        except ConnectionRefusedError:
            raise NotSent from None
        if method == "POST":
            self.posts.add(name)
        self.record("invoke", id=name, key=key or "")
        answer = Answer()
        try:
            connection.request(method, path, body, head)
            got = connection.getresponse()
            answer.status = got.status
            answer.outcome = got.getheader("Catkinhill-Outcome") or "unknown"
            if after_head:
                after_head()
            answer.body = got.read()
            answer.complete = 1
        except (OSError, http.client.HTTPException) as error:
            answer.outcome = "unknown"
            answer.error = repr(error)
        finally:
            connection.close()
        answer.id, answer.entry = name, entry.who
        self.record("answer", id=name, outcome=answer.outcome,
                    status=answer.status, complete=answer.complete,
                    key=key or "",
                    digest=digest(answer.body) if answer.complete else "")
        return answer

    # Operators

    def plan(self, entry, intent):
        status, _, text = http_call(entry.admin, "POST", "/v1/plan",
                                    json.dumps(intent))
        expect(status == 200, "a plan for %s, not %s" % (intent, text))
        return text

    def confirm(self, entry, plan):
        status, _, text = http_call(entry.admin, "POST", "/v1/confirm", plan)
        answer = json.loads(text)
        if status == 200 and answer.get("result") == "applied":
            self.record("config-accepted", version=answer["version"])
        return status, answer

    def change(self, entry, **intent):
        status, answer = self.confirm(entry, self.plan(entry, intent))
        expect(status == 200, "%s is confirmed, not %s" % (intent, answer))
        return answer

    def version(self, daemon):
        return daemon.metric("catkinhill_config_version") \
            if daemon.role == "entry" else self.applied(daemon)

    def applied(self, daemon):
        """Version that an agent's log shows last."""
        lines = daemon.lines(4001)
        return int(fields(lines[-1])["version"]) if lines else 0

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
        """The job as its owner shows it, or None."""
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

    def effects_of(self, job):
        return [r["step"] for r in self.all_worker_records()
                if r["kind"] == "task-effect" and r["id"] == job]

    def wait_steps(self, job, count):
        wait_for("%d steps of %s" % (count, job),
                 lambda: len(self.effects_of(job)) >= count)

    def skipped(self):
        """Repeated steps that the ledger refused, at workers that live."""
        return sum(json.loads(http_call(w.service, "GET", "/record")[2])
                   ["skipped"] for w in self.workers.values()
                   if w.popen.poll() is None)

    # History

    def read_lines(self, path):
        with open(path, errors="replace") as lines:
            # The last line of a process that was killed may be half.
            return [json.loads(line) for line in lines
                    if line.endswith("\n")]

    def worker_records(self, name):
        path = os.path.join(self.directory, name + ".history")
        return self.read_lines(path) if os.path.exists(path) else []

    def all_worker_records(self):
        rows = []
        for name, _, _ in self.vms:
            rows += self.worker_records(name)
        if self.effects:
            for name in os.listdir(self.effects):
                rows += self.read_lines(os.path.join(self.effects, name))
        return rows

    def line_time(self, stamp):
        """Monotonic time of a log line, which bears the wall clock's."""
        seconds = calendar.timegm(time.strptime(stamp[:19],
                                                "%Y-%m-%dT%H:%M:%S"))
        return int((seconds + float("0." + stamp[20:]) + self.wall_offset)
                   * 1000)

    def log_records(self, daemon):
        rows = []
        for line in daemon.text().splitlines():
            found = LINE.match(line)
            if not found:
                continue
            event, text = int(found[2]), found[3]
            row = {"t": self.line_time(found[1]), "who": daemon.who}
            if event == 6001:
                rows.append(dict(row, kind="process-start"))
            elif event == 4001:
                rows.append(dict(row, kind="config-seen",
                                 version=int(fields(text)["version"])))
            elif event == 2003:
                rows.append(dict(row, kind="leaving"))
            elif event == 4003:
                rows.append(dict(row, kind="config-accepted", who="",
                                 version=int(fields(text)["version"])))
        return rows

    def check_posts(self, workers):
        """Guards against a retry whose proof of "not run" was none."""
        seen = set()
        for row in workers:
            if row["kind"] == "execute" and row["id"] in self.posts:
                expect(row["id"] not in seen, "one run of POST %s without a "
                       "proof that the first did not run" % row["id"])
                seen.add(row["id"])

    def history(self):
        workers = self.all_worker_records()
        rows = workers + list(self.records)
        for daemon in self.lives:
            rows += self.log_records(daemon)
        ran = {r["id"] for r in workers if r["kind"] == "execute"}
        self.check_posts(workers)
        by_key, first = {}, {}
        for r in workers:
            if r["kind"] == "execute" and r["key"]:
                by_key.setdefault(r["key"], set()).add(r["digest"])
                first[r["key"]] = r["t"]
        out = []
        for row in rows:
            if row["kind"] == "answer" and row["key"] and \
                    row["id"] not in ran and row["outcome"] == "done":
                # A replay: the answer belongs to the key's one execution.
                expect(row["status"] == 409 or
                       row["digest"] in by_key.get(row["key"], ()),
                       "answer %s replays what its key gave" % row)
                row = dict(row, digest="")
            if row["kind"] == "answer" and row["key"] in first and \
                    row["outcome"] == "not-run":
                expect(first[row["key"]] >= row["t"],
                       "%s is not run by any attempt" % row)
            out.append(row)
        return out

    def judge(self):
        """Feeds the history to the checker."""
        rows = self.history()
        text = "".join(json.dumps(row) + "\n" for row in rows)
        done = subprocess.run([self.binary("check_history")], input=text,
                              capture_output=True, text=True, timeout=60)
        if done.returncode:
            bad = done.stdout[:3000] + done.stderr[:500]
            keep = os.environ.get("FAULTS_KEEP")
            if keep:
                with open(keep, "w") as out:
                    out.write(text)
            raise ClusterError("history: " + bad)
        kinds = {}
        for row in rows:
            kinds[row["kind"]] = kinds.get(row["kind"], 0) + 1
        return kinds


class Load:
    """Callers that send requests through entries until they are stopped."""

    PATHS = [("GET", "/echo", 0), ("POST", "/echo", 0),
             ("POST", "/echo", 70000), ("GET", "/work?ms=40", 0),
             ("GET", "/bytes?n=300000", 0), ("POST", "/work?ms=20", 10)]

    def __init__(self, system, entries=None, callers=4, keyed=False, seed=1,
                 pause=0.01, limit=4000, paths=None):
        self.system = system
        self.names = [e.who for e in entries or system.entries]
        self.keyed = keyed
        self.limit = limit
        self.pause = pause
        self.paths = paths or self.PATHS
        self.stopping = threading.Event()
        self.outcomes = {}
        self.answers = []
        self.errors = []
        self.threads = [threading.Thread(target=self.run, daemon=True,
                                         args=(random.Random(seed * 100 + i),
                                               i))
                        for i in range(callers)]
        for thread in self.threads:
            thread.start()

    def entry(self, index):
        name = self.names[index % len(self.names)]
        return [e for e in self.system.entries if e.who == name][0]

    def run(self, rng, index):
        try:
            for i in range(self.limit):
                if self.stopping.is_set():
                    return
                self.one(rng, index + i)
                time.sleep(self.pause)
        except Exception as error:
            self.errors.append(repr(error))
            raise

    def one(self, rng, index):
        method, path, size = rng.choice(self.paths)
        body = rng.randbytes(size) if method == "POST" else None
        key = self.system.name("k") if self.keyed else None
        # The same request through the other entries: all attempts of a key
        # together may run it once.
        for turn in range(3 if self.keyed else 1):
            try:
                answer = self.system.ask(self.entry(index + turn), path,
                                         method, body, key)
            except NotSent:
                continue
            if method == "POST" and path == "/echo" and \
                    answer.status == 200 and answer.complete:
                expect(answer.body == body, "the body that was sent")
            with self.system.lock:
                self.answers.append(answer)
                count = (answer.status, "cut" if answer.is_cut() else
                         answer.outcome)
                self.outcomes[count] = self.outcomes.get(count, 0) + 1

    def wait_count(self, more):
        """Waits until so many more answers have come."""
        target = len(self.answers) + more
        wait_for("%d answers" % target, lambda: len(self.answers) >= target
                 or self.errors)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(60)
            expect(not thread.is_alive(), "callers to come back")
        expect(not self.errors, "no error of a caller: %s" % self.errors)
        return self.outcomes


class Watch(threading.Thread):
    """A caller that keeps a watch open and goes on after a planned end."""

    def __init__(self, system, entry, name, start=None):
        super().__init__(daemon=True)
        self.system = system
        self.entry = entry
        self.path = "/watch?name=%s&every_ms=20" % name
        self.ids = []
        self.ends = 0
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
        self.answer = self.connection.getresponse()
        expect(self.answer.status == 200, "a watch, not %d" %
               self.answer.status)

    def read(self):
        ended = False
        for line in self.answer:
            if line.startswith(b"id: "):
                self.ids.append(int(line[4:]))
            ended = ended or line.startswith(b"event: catkinhill-end")
        return ended

    def run(self):
        try:
            while self.read():
                self.ends += 1
                others = [e for e in self.system.entries
                          if e.who != self.entry.who]
                self.entry = others[0]
                self.open()
            if not self.closing:
                self.error = "the watch ended without notice"
        except (OSError, ValueError, AttributeError, ClusterError,
                http.client.HTTPException) as error:
            if not self.closing:
                self.error = repr(error)

    def wait_more(self, count):
        target = len(self.ids) + count
        wait_for("events of a watch", lambda: len(self.ids) >= target or
                 self.error)
        expect(not self.error, "an open watch, not " + str(self.error))

    def close(self):
        """No event may be lost or doubled."""
        expect(not self.error, "an open watch, not " + str(self.error))
        self.closing = True
        expect(self.ids == list(range(self.ids[0],
                                      self.ids[0] + len(self.ids))),
               "all events once")
        try:
            self.connection.sock.shutdown(2)
        except (OSError, AttributeError):
            pass


def run_all(scenarios):
    """Runs each scenario in a system of its own; argument 1 is the build
    directory, further ones choose scenarios."""
    build, chosen = sys.argv[1], sys.argv[2:]
    for scenario in scenarios:
        if chosen and scenario.__name__ not in chosen:
            continue
        started = time.monotonic()
        options = getattr(scenario, "options", {})
        with System(build, **options) as system:
            system.start_all()
            scenario(system)
            kinds = system.judge()
            faults = system.faults
        print("%-34s %5.1f s, %d faults, %s" % (
            scenario.__name__, time.monotonic() - started, faults,
            ", ".join("%d %s" % (kinds[k], k) for k in sorted(kinds)
                      if k in ("answer", "execute", "task-start",
                               "task-effect", "config-seen"))), flush=True)


def with_options(**options):
    def mark(scenario):
        scenario.options = options
        return scenario
    return mark
