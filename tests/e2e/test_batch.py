#!/usr/bin/env python3
"""Batch jobs through real entries and agents, with fake workers and store.

Usage: test_batch.py BUILD_DIRECTORY
"""
import json
import time
import unittest

from batch_rig import FINAL_STATES, VMS, BatchTest, http_call, wait_for


class JobsTest(BatchTest):
    def test_job_outcomes(self):
        """Guards against jobs that end in a wrong state, or unreported."""
        self.submit("good", "run steps=5 step_ms=20")
        self.submit("bad", "fail")
        self.submit("huge", "run", milli_cpu=9000)
        self.submit("stopped", "run steps=1000 step_ms=50")
        self.wait_state("stopped", "running")
        self.apply_intent(intent="cancel", job="stopped")
        self.assertEqual(self.wait_state("good", *FINAL_STATES)["state"],
                         "done")
        row = self.wait_state("bad", *FINAL_STATES)
        self.assertEqual((row["state"], row["tries"]), ("failed", 3))
        row = self.wait_state("huge", *FINAL_STATES)
        self.assertEqual(row["state"], "impossible")
        self.assertIn("9000 milli-cpu", row["reason"])
        row = self.wait_state("stopped", *FINAL_STATES)
        self.assertEqual(row["state"], "cancelled")
        self.check_steps("good", 5)
        self.assertEqual(http_call(self.entry().admin, "GET",
                                   "/v1/jobs/none")[0], 404)

    def test_drain_and_urgent(self):
        """Guards against steps skipped or repeated when a job moves."""
        self.submit("moved", "run steps=150 step_ms=50")
        agent = self.wait_state("moved", "running")["agent"]
        domain = dict(VMS)[agent]
        self.apply_intent(intent="drain", domain=domain)

        def moved():
            row = self.explain("moved")
            return row.get("state") == "running" and row["agent"] != agent
        wait_for("the job to move", moved)
        self.apply_intent(intent="undrain", domain=domain)
        for i in range(3):
            self.submit("big%d" % i, "run steps=100 step_ms=50",
                        milli_cpu=2000)
        for i in range(3):
            self.wait_state("big%d" % i, "running", "done")
        self.submit("now", "run steps=2", urgent=True, milli_cpu=2000)
        self.assertEqual(self.wait_state("now", *FINAL_STATES)["state"],
                         "done")
        for job, steps in (("moved", 150), ("big0", 100), ("big1", 100),
                           ("big2", 100)):
            self.assertEqual(self.wait_state(job, *FINAL_STATES)["state"],
                             "done")
            self.check_steps(job, steps)

    def test_store_outage(self):
        """Guards against running jobs that a store outage stops or repeats."""
        self.submit("short", "run steps=60 step_ms=50")
        self.submit("long", "run steps=400 step_ms=50")
        self.wait_state("short", "running")
        self.wait_state("long", "running")
        store = self.cluster.store_address
        http_call(store, "POST", "/control", json.dumps({"mode": "hang"}))
        wait_for("the short job to end at its worker", lambda: len(
            self.records("short", "task-effect")) == 60)
        # Longer than grant + 2 task leases + margin: only the holdover
        # keeps the job running.
        time.sleep(8)
        http_call(store, "POST", "/control", json.dumps({"mode": "ok"}))
        for job, steps in (("short", 60), ("long", 400)):
            row = self.wait_state(job, *FINAL_STATES)
            self.assertEqual((row["state"], row["run"]), ("done", 1))
            self.check_steps(job, steps)

    def test_broken_worker_and_lost_vm(self):
        """Guards against jobs that fail by a broken worker or a lost VM."""
        broken = self.workers["vm1"]
        http_call(broken.tasks, "POST", "/control", json.dumps({"fail": True}))
        for i in range(12):
            self.submit("j%d" % i, "run steps=20 step_ms=50")
        for i in range(12):
            self.assertEqual(
                self.wait_state("j%d" % i, *FINAL_STATES)["state"], "done")
        http_call(broken.tasks, "POST", "/control",
                  json.dumps({"fail": False}))
        self.submit("lost", "run steps=100 step_ms=50")
        agent = self.wait_state("lost", "running")["agent"]
        self.cluster.agents[agent].kill()
        self.workers[agent].kill()
        row = self.wait_state("lost", *FINAL_STATES)
        self.assertEqual((row["state"], row["run"]), ("done", 2))

    def test_wave_of_cancellations(self):
        """Guards against a cancelled job that starts."""
        jobs = ["c%d" % i for i in range(120)]
        for job in jobs:
            self.submit(job, "run steps=100000 step_ms=50", milli_cpu=3000)
        for job in jobs:
            self.apply_intent(intent="cancel", job=job)
        for job in jobs:
            self.assertEqual(self.wait_state(job, *FINAL_STATES)["state"],
                             "cancelled")
        counts = [len(self.records(job, "task-start")) for job in jobs]
        time.sleep(2)
        self.assertEqual(counts, [len(self.records(job, "task-start"))
                                  for job in jobs])


if __name__ == "__main__":
    unittest.main()
