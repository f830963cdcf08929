"""Stand-in of a worker, as the platform's pages describe it.

It runs tasks for the time that their spec gives, lists them and their ends,
and holds leases on its own clock. Options of a spec: "MS [fail]", where 0 is
a task that lasts.
"""

import http.client
import http.server
import json
import socket
import threading
import time

LEASE_MAX_MS = 6000
ENDS_LISTED_MAX = 500


def now_ms():
    return int(time.monotonic() * 1000)


class Run:
    def __init__(self, task, number, work_ms, fails):
        self.task = task
        self.number = number
        self.began_ms = now_ms()
        self.work_ms = work_ms
        self.fails = fails

    def percent(self, slowness):
        if not self.work_ms:
            return 100
        done_ms = now_ms() - self.began_ms
        return min(99, int(done_ms * 100 / (self.work_ms * slowness)))


class Worker:
    """One life of a worker. record(event, **fields) is called for each event."""

    def __init__(self, name, address, runner, record, service="work",
                 cpu=16000, labels=("a", "r1"), heartbeat_s=0.5, born_ms=None):
        self.id = name
        self.address = address
        self.runner = runner
        self.record = record
        self.service = service
        self.cpu = cpu
        self.labels = list(labels)
        self.heartbeat_s = heartbeat_s
        self.born_ms = born_ms or int(time.time() * 1000)
        self.zero_ms = now_ms() - 1000
        self.state = "ready"
        self.fence = 0
        self.lease_ends_ms = 0
        self.held = False    # the lease, at the last look
        self.runs = {}       # task -> Run
        self.highest = {}    # task -> run number
        self.ends = []       # rows of the list
        self.last_end = 0
        self.sequence = 0
        self.slowness = 1.0
        self.is_up = True
        self.changed = threading.Condition()
        self.connections = set()
        self.server = self.make_server()
        self.threads = [threading.Thread(target=f, daemon=True) for f in
                        (self.server.serve_forever, self.tick, self.beat)]
        for thread in self.threads:
            thread.start()

    # The calls of the runner.

    def make_server(self):
        worker = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = 65536

            def setup(self):
                super().setup()
                worker.connections.add(self.connection)

            def do_POST(self):
                length = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(length) or b"{}")
                status, answer = worker.call(
                    self.path, self.headers.get("X-Expect-Instance"), body)
                answer.update(clockMs=worker.clock(), born=worker.born_ms)
                text = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)
                self.wfile.flush()

            def log_message(self, *args):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, request, client_address):
                pass

        host, port = self.address.split(":")
        return Server((host, int(port)), Handler)

    def clock(self):
        return now_ms() - self.zero_ms

    def call(self, path, expected, body):
        if expected and expected != self.id:
            return 421, {}
        with self.changed:
            if not self.is_up:
                raise ConnectionError("the worker has ended")
            if body.get("fencingToken", 0) < self.fence:
                return 409, {"reason": "fence"}
            self.fence = body.get("fencingToken", 0)
            if path == "/catkinhill/hold":
                return self.hold(body)
            if path == "/catkinhill/run-start":
                return self.start(body)
            if path == "/catkinhill/run-stop":
                return self.stop(body)
            if path == "/catkinhill/pace":
                return 200, {}
        return 404, {}

    def extend(self, body):
        until = body.get("untilMs")
        if until:
            until = min(until, self.clock() + LEASE_MAX_MS)
            self.lease_ends_ms = max(self.lease_ends_ms, until)

    def hold(self, body):
        self.extend(body)
        seen = body.get("lastSeen", 0)
        for row in self.ends:
            if row[0] <= seen:
                self.record("acknowledged", task=row[1], run=row[2])
        self.ends = [row for row in self.ends if row[0] > seen]
        self.changed.wait_for(lambda: self.ends or not self.is_up,
                              min(body.get("waitMs", 0), 2000) / 1000)
        if not self.is_up:
            raise ConnectionError("the worker has ended")
        active = [[run.task, run.number, "", run.percent(self.slowness), 500]
                  for run in self.runs.values()]
        return 200, {"active": active, "ended": self.ends[:ENDS_LISTED_MAX]}

    def start(self, body):
        task, number = body["task"], body["runId"]
        run = self.runs.get(task)
        if run and run.number == number:
            return 200, {}
        if body["untilMs"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend(body)
        if number <= self.highest.get(task, 0) or run:
            return 409, {"reason": "old"}
        words = body["spec"].split()
        self.runs[task] = Run(task, number, int(words[0]), "fail" in words)
        self.highest[task] = number
        self.record("start", task=task, run=number, spec=body["spec"],
                    checkpoint=body.get("checkpoint", ""))
        return 200, {}

    def stop(self, body):
        task, number = body["task"], body["runId"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        if task in self.runs and self.runs[task].number <= number:
            self.end(self.runs[task], "stopped")
        return 200, {}

    # Its own work.

    def end(self, run, how):
        del self.runs[run.task]
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.number, how, ""])
        self.record("end", task=run.task, run=run.number, how=how)
        self.changed.notify_all()

    def tick(self):
        while self.is_up:
            time.sleep(0.01)
            with self.changed:
                if not self.is_up:
                    return
                self.note_lease()
                for run in list(self.runs.values()):
                    worked_ms = (now_ms() - run.began_ms) / self.slowness
                    if self.clock() >= self.lease_ends_ms:
                        self.end(run, "lapsed")
                    elif run.work_ms and worked_ms >= run.work_ms:
                        self.end(run, "failed" if run.fails else "done")

    def note_lease(self):
        holds = self.clock() < self.lease_ends_ms
        if self.held and not holds:
            self.record("lease-lapsed")
        self.held = holds

    def announce(self, call, body):
        host, port = self.runner.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1)
        try:
            connection.request("POST", "/catkinhill/instances/%s/%s" %
                               (self.id, call), json.dumps(body),
                               {"Content-Type": "application/json"})
            return connection.getresponse().status // 100 == 2
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def heartbeat(self):
        self.sequence += 1
        body = {"service": self.service, "address": self.address,
                "zone": "z1", "version": "v1", "slots": 8,
                "state": self.state, "coldLeftMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 32000, "gpu": 0},
                "labels": self.labels, "clockMs": self.clock(),
                "sequence": self.sequence, "born": self.born_ms}
        if self.state == "draining":
            body["remainingMs"] = 5000
        return self.announce("heartbeat", body)

    def beat(self):
        while self.is_up:
            self.heartbeat()
            time.sleep(self.heartbeat_s)

    # What happens to it.

    def leave(self, drain_s):
        """Leaves as planned: drains, deregisters and ends."""
        self.state = "draining"
        while not self.heartbeat():
            time.sleep(0.2)
        self.record("draining")
        time.sleep(drain_s)
        self.announce("deregister", {"born": self.born_ms})
        self.crash("left")

    def crash(self, event="crashed"):
        """Ends at once, with all that it runs."""
        with self.changed:
            self.is_up = False
            self.changed.notify_all()
            self.record(event, lost=sorted(self.runs))
        self.server.shutdown()
        self.server.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
