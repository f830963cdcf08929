"""Stand-in for a worker, in threads of the test."""

import http.client
import json
import threading
import time

from httpserver import JsonServer

LEASE_MAX_MS = 6000
HEARTBEAT_INTERVAL_S = 1.5
ENDS_LISTED_MAX = 500
STOP_S = 0.1
CHECKPOINT_INTERVAL_S = 1.0


class Run:
    def __init__(self, task, number, spec, now):
        self.task = task
        self.number = number
        self.began = now
        self.work_s = float(spec.split()[0])
        self.saves = "saves" in spec
        self.lasts = self.work_s == 0
        self.saved = ""
        self.stop_at = None


class Worker:
    """Runs tasks whose spec is "SECONDS [saves]"; 0 seconds: until stopped.

    record(event, **fields) is called for each start and end.
    """

    def __init__(self, worker_id, address, runner, record, service="work",
                 cpu=64000, labels=("a", "r1-1"), checkpoint_bytes=16,
                 first_heartbeat_s=0.0):
        self.id = worker_id
        self.address = address
        self.runner = runner
        self.record = record
        self.service = service
        self.cpu = cpu
        self.labels = list(labels)
        self.checkpoint_bytes = checkpoint_bytes
        self.first_heartbeat_s = first_heartbeat_s
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.fence = 0
        self.lease_end = 0
        self.runs = {}
        self.highest = {}
        self.ends = []  # [number, task, run, how, saved]
        self.end_count = 0
        self.changed = threading.Condition()
        self.state = "ready"
        self.is_up = True
        self.server = JsonServer(address, self.handle)
        for loop in (self.beat, self.work):
            threading.Thread(target=loop, daemon=True).start()

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    def describe(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address,
                "zone": "z1", "version": "v1", "slots": 8,
                "state": self.state, "coldLeftMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 250000, "gpu": 0},
                "labels": self.labels, "clockMs": self.clock_ms(),
                "sequence": self.sequence, "born": self.born}

    def crash(self):
        with self.changed:
            self.is_up = False
            for run in list(self.runs.values()):
                self.record("end", worker=self.id, task=run.task,
                            run=run.number, how="crash")
            self.runs.clear()
        self.server.close()

    def beat(self):
        time.sleep(self.first_heartbeat_s)
        while self.is_up:
            send_heartbeat(self.runner, self.id, self.describe())
            time.sleep(HEARTBEAT_INTERVAL_S)

    def work(self):
        while self.is_up:
            time.sleep(0.01)
            with self.changed:
                if not self.is_up:
                    return
                now = time.monotonic()
                for run in list(self.runs.values()):
                    self.advance(run, now)

    def advance(self, run, now):
        if run.saves:
            count = int((now - run.began) / CHECKPOINT_INTERVAL_S)
            if count:
                run.saved = ("%04x" % count).ljust(self.checkpoint_bytes, "0")
        if run.stop_at and now >= run.stop_at:
            self.end(run, "stopped")
        elif now >= self.lease_end:
            self.end(run, "lapsed")
        elif not run.lasts and now - run.began >= run.work_s:
            self.end(run, "done")

    def end(self, run, how):
        del self.runs[run.task]
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how,
                          run.saved])
        self.record("end", worker=self.id, task=run.task, run=run.number,
                    how=how)
        self.changed.notify_all()

    def extend(self, body):
        if "untilMs" not in body:
            return
        left_ms = min(body["untilMs"] - self.clock_ms(), LEASE_MAX_MS)
        self.lease_end = max(self.lease_end,
                             time.monotonic() + left_ms / 1000)

    def answer(self, status, **fields):
        return status, dict(fields, clockMs=self.clock_ms(), born=self.born)

    def handle(self, request):
        if request.headers.get("X-Expect-Instance", self.id) != self.id:
            return self.answer(421)
        name = request.path.removeprefix("/catkinhill/")
        body = request.body
        with self.changed:
            if body.get("fencingToken", 0) < self.fence:
                return self.answer(409, reason="fence")
            self.fence = body.get("fencingToken", 0)
            if name == "run-start":
                return self.start(body)
            if name == "run-stop":
                return self.stop(body)
            if name == "hold":
                return self.hold(body)
            return self.answer(200)

    def start(self, body):
        task, number = body["task"], body["runId"]
        run = self.runs.get(task)
        if run and run.number == number:
            return self.answer(200)
        if body["untilMs"] <= self.clock_ms():
            return self.answer(409, reason="late")
        self.extend(body)
        if number <= self.highest.get(task, 0) or run:
            return self.answer(409, reason="old")
        self.highest[task] = number
        self.runs[task] = Run(task, number, body["spec"], time.monotonic())
        self.record("start", worker=self.id, task=task, run=number,
                    checkpoint=body.get("checkpoint", ""))
        return self.answer(200)

    def stop(self, body):
        task, number = body["task"], body["runId"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run and run.number <= number and not run.stop_at:
            run.stop_at = time.monotonic() + STOP_S
        return self.answer(200)

    def hold(self, body):
        self.extend(body)
        seen = body["lastSeen"]
        for row in self.ends:
            if row[0] <= seen:
                self.record("noted", worker=self.id, task=row[1], run=row[2],
                            how=row[3])
        self.ends = [row for row in self.ends if row[0] > seen]
        end = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not self.ends:
            left = end - time.monotonic()
            if left <= 0:
                break
            self.changed.wait(left)
        now = time.monotonic()
        active = []
        for run in self.runs.values():
            done = 100 if run.lasts else \
                int(100 * (now - run.began) / run.work_s)
            active.append([run.task, run.number, run.saved, min(done, 100),
                           500])
        return self.answer(200, active=active,
                           ended=self.ends[:ENDS_LISTED_MAX])


def send_heartbeat(runner, worker_id, fields):
    """Returns the status, or None without a response."""
    host, port = runner.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=1)
    try:
        connection.request(
            "POST", "/catkinhill/instances/%s/heartbeat" % worker_id,
            json.dumps(fields), {"Content-Type": "application/json"})
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()
