"""Callers of the soak: submit, query and cancel jobs, record the outcomes."""

import http.client
import json
import random
import threading
import time

SUBMIT_ATTEMPTS = 5
RESPONSE_TIMEOUT_S = 10.0

STEP = {"cpu": 500, "memMb": 10, "estimateMs": 200}
# Steps of a job, its payload (milliseconds of work of a task), its frequency.
JOB_KINDS = {
    "chain": ([dict(STEP, count=3), dict(STEP, count=2, after=[0])], "200", 5),
    "wide": ([dict(STEP, count=8)], "400", 3),
    "long": ([dict(STEP, count=2, estimateMs=2500)], "2500", 2),
    "failing": ([dict(STEP, count=1)], "50 fail", 1),
    "lasting": ([dict(STEP, cpu=100, count=2, longRunning=True)], "600000",
                1),
}


class Job:
    def __init__(self, number, kind):
        self.id = "%016x" % (0x50a0000 + number)
        self.kind = kind
        self.accepted_at = None
        self.was_refused = False  # every attempt was refused by a response
        self.cancel_sent = False
        self.cancelled_at = None

    def tasks(self):
        return {"%s.0.%d.%d" % (self.id, step, index)
                for step, spec in enumerate(JOB_KINDS[self.kind][0])
                for index in range(spec["count"])}


class Caller(threading.Thread):
    """One caller; keeps its connections open as long as possible."""

    kinds = list(JOB_KINDS)
    cancel_probability = 0.1
    pause_s = (0.1, 0.5)

    def __init__(self, number, seed, gateways, host="fast.example"):
        super().__init__(daemon=True)
        self.random = random.Random(seed * 1000 + number)
        self.number = number
        self.gateways = gateways
        self.host = host
        self.jobs = []
        self.connections = {}
        self.dropped = []  # (gateway, time sent, time of the drop)
        self.violations = []  # responses that break a guarantee
        self.stop_requested = threading.Event()

    def call(self, gateway, method, path, body=None):
        """Status and body; (None, None) if the connection was dropped."""
        connection = self.connections.get(gateway["name"])
        if not connection:
            host, port = gateway["callers"].split(":")
            connection = http.client.HTTPConnection(host, int(port),
                                                    timeout=RESPONSE_TIMEOUT_S)
            self.connections[gateway["name"]] = connection
        sent_at = None
        try:
            connection.request(method, path, body and json.dumps(body),
                               {"Host": self.host, "X-Deadline-Ms": "3000"})
            sent_at = time.monotonic()
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            if sent_at:
                self.dropped.append((gateway["name"], sent_at,
                                     time.monotonic()))
            connection.close()
            del self.connections[gateway["name"]]
            return None, None

    def submit(self):
        kind = self.random.choices(self.kinds, [JOB_KINDS[k][2] for k in
                                                self.kinds])[0]
        steps, payload, _ = JOB_KINDS[kind]
        job = Job(self.number * 10000 + len(self.jobs), kind)
        self.jobs.append(job)
        job.was_refused = True
        for _ in range(SUBMIT_ATTEMPTS):
            status, _ = self.call(self.random.choice(self.gateways), "POST",
                                  "/fast/" + job.id,
                                  {"spec": payload, "steps": steps})
            if status == 200:
                job.accepted_at = time.monotonic()
                job.was_refused = False
                return
            job.was_refused &= status in (429, 503)
            time.sleep(self.random.uniform(0.05, 0.4))

    def query_state(self, job, gateway=None):
        """The state that a gateway reports, or None without a response."""
        status, body = self.call(gateway or self.random.choice(self.gateways),
                                 "GET", "/fast/" + job.id)
        if status == 200:
            return json.loads(body)["state"]
        return "unknown" if status == 410 else None

    def cancel(self, job):
        job.cancel_sent = True
        status, _ = self.call(self.random.choice(self.gateways), "DELETE",
                              "/fast/" + job.id)
        if status in (200, 410) and not job.cancelled_at:
            job.cancelled_at = time.monotonic()

    def run(self):
        while not self.stop_requested.is_set():
            self.submit()
            job = self.random.choice(self.jobs)
            if self.random.random() < self.cancel_probability:
                self.cancel(job)
            elif job.accepted_at and not job.cancel_sent:
                queried_at = time.monotonic()
                state = self.query_state(job)
                if state == "unknown" and queried_at > job.accepted_at:
                    self.violations.append((queried_at, job, state))
            time.sleep(self.random.uniform(*self.pause_s))


class LastingCaller(Caller):
    """Submits only tasks that last and cancels some of them."""

    kinds = ["lasting"]
    cancel_probability = 0.3
    pause_s = (0.5, 2)
