#!/usr/bin/env python3
"""Batch runs at a worker that is lost while its agent and its owner restart.

Usage: test_batch_lost_worker.py BUILD_DIRECTORY
"""
import unittest

from batch_rig import VMS, BatchTest, wait_for


class LostWorkerTest(BatchTest):
    def test_owner_dies_and_agent_restarts(self):
        """Guards against a run that waits for the end of the holdover at an
        agent that answers the new owner, but has lost its worker."""
        self.submit("lost", "run steps=500 step_ms=20")
        row = self.wait_state("lost", "running")
        owner = self.owner_of("lost")
        name = row["agent"]
        self.workers[name].kill()
        self.cluster.agents[name].kill()
        owner.kill()
        self.cluster.start_agent(name, self.workers[name], "a",
                                 dict(VMS)[name], wait=False)
        row = wait_for("a second run", lambda: (
            lambda r: r if r.get("run", 0) > 1 else None)(
                self.explain("lost")))
        self.assertNotEqual(row["agent"], name)


if __name__ == "__main__":
    unittest.main()
