"""Test rig for batch jobs: a fake store, two entries and three VMs."""
import json
import os
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..",
                                "tools", "pylib"))

from cluster import Cluster, http_call, wait_for  # noqa: E402

BUILD = sys.argv.pop(1)
VMS = [("vm1", "a1"), ("vm2", "a2"), ("vm3", "b1")]
LIMITS = {"task_lease_ms": 1000, "grant_ms": 2000, "holdover_ms": 60000}
FINAL_STATES = ("done", "failed", "cancelled", "impossible")


def post_json(address, path, body):
    status, _, text = http_call(address, "POST", path, json.dumps(body))
    return status, json.loads(text)


class BatchTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(BUILD)
        self.addCleanup(self.cluster.kill_all)
        self.cluster.start_store()
        for name in ("e1", "e2"):
            self.cluster.start_entry(name, "a", "a1", wait=False)
        self.workers = {}
        for name, domain in VMS:
            worker = self.cluster.start_worker("w-" + name, "--id", name)
            self.workers[name] = worker
            self.cluster.start_agent(name, worker, "a", domain, wait=False,
                                     cpu_milli=8000, mem_mb=8000)
        for daemon in (self.cluster.entries +
                       list(self.cluster.agents.values())):
            daemon.wait_ready()
        for key, value in LIMITS.items():
            self.apply_intent(intent="set-limit", limit=key, value=value)

        self.addCleanup(self.print_logs_on_failure)

    def print_logs_on_failure(self):
        result = self._outcome.result
        if any(test is self for test, _ in result.errors + result.failures):
            self.cluster.print_logs()

    def entry(self):
        return next(e for e in self.cluster.entries if e.popen.poll() is None)

    def apply_intent(self, **intent):
        def confirmed():
            admin = self.entry().admin
            status, plan = post_json(admin, "/v1/plan", intent)
            if status == 503:
                return False
            self.assertEqual(status, 200, plan)
            status, response = post_json(admin, "/v1/confirm", plan)
            if status in (409, 503):
                return False
            self.assertEqual(status, 200, response)
            return True
        wait_for("confirmation of %s" % intent, confirmed)

    def submit(self, job, command, urgent=False, milli_cpu=500, memory_mb=256):
        self.apply_intent(intent="submit", job={
            "job": job, "team": "t", "urgent": urgent, "cpu_milli": milli_cpu,
            "mem_mb": memory_mb, "accel": 0, "command": command})

    def explain(self, job):
        status, _, body = http_call(self.entry().admin, "GET",
                                    "/v1/explain/job/" + job)
        return json.loads(body) if status == 200 else {}

    def wait_state(self, job, *states):
        def reached():
            row = self.explain(job)
            return row if row.get("state") in states else None
        return wait_for("%s to be %s" % (job, "/".join(states)), reached)

    def records(self, job, kind):
        rows = []
        for worker in self.workers.values():
            if worker.popen.poll() is not None:
                continue
            body = json.loads(http_call(worker.service, "GET", "/record")[2])
            for value in body.values():
                if isinstance(value, list):
                    rows += [row for row in value if row.get("id") == job
                             and row.get("kind") == kind]
        return rows

    def check_steps(self, job, steps):
        """Checks that each step ran once: none skipped, none repeated."""
        done = sorted(row["step"] for row in self.records(job, "task-effect"))
        self.assertEqual(done, list(range(steps)))

    def owner_of(self, job):
        name = self.wait_state(job, "running")["owner"]
        return next(e for e in self.cluster.entries if e.name == name)
