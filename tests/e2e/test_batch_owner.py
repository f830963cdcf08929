#!/usr/bin/env python3
"""Owners of batch partitions that are killed or paused.

Usage: test_batch_owner.py BUILD_DIRECTORY
"""
import signal
import unittest

from batch_rig import FINAL_STATES, BatchTest, wait_for


class OwnerTest(BatchTest):
    def test_owner_dies(self):
        """Guards against runs lost or started twice at a takeover."""
        # The grant outlasts the takeover, so the run is adopted, not moved.
        self.apply_intent(intent="set-limit", limit="grant_ms", value=30000)
        self.submit("kept", "run steps=500 step_ms=50")
        owner = self.owner_of("kept")
        owner.kill()
        row = wait_for("another owner", lambda: (
            lambda r: r if r.get("owner") not in (None, "", owner.name)
            and r.get("epoch", 0) >= 2 else None)(self.explain("kept")))
        self.assertEqual(row["run"], 1)
        row = self.wait_state("kept", *FINAL_STATES)
        self.assertEqual((row["state"], row["run"]), ("done", 1))
        self.check_steps("kept", 500)

    def test_owner_pauses(self):
        """Guards against an owner that keeps acting after it was replaced."""
        self.submit("paused", "run steps=500 step_ms=50")
        owner = self.owner_of("paused")
        others = [e for e in self.cluster.entries if e is not owner]
        self.cluster.entries = others + [owner]
        owner.signal(signal.SIGSTOP)
        wait_for("a takeover",
                 lambda: self.explain("paused").get("epoch") == 2)
        owner.signal(signal.SIGCONT)
        wait_for("the former owner to be fenced", lambda: owner.metric(
            "catkinhill_batch_fenced_total") > 0)
        self.assertEqual(self.wait_state("paused", *FINAL_STATES)["state"],
                         "done")
        self.check_steps("paused", 500)


if __name__ == "__main__":
    unittest.main()
