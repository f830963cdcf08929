#!/usr/bin/env python3
"""Requests with an Idempotency-Key at two entries that share a store.

Usage: test_keyed.py BUILD_DIRECTORY
"""
import socket
import tempfile
import threading
import unittest

from entry_rig import WAIT_S, Agent, Entry, Store, wait_for


class KeyedTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.directory = tempfile.TemporaryDirectory()
        cls.store = Store()
        cls.entries = [Entry(cls.directory.name, name, cls.store.port)
                       for name in ("e1", "e2")]
        cls.agents = [Agent(entry, cls.directory.name, f"a{i}{j}")
                      for i, entry in enumerate(cls.entries) for j in "12"]
        for entry in cls.entries:
            wait_for("agent", lambda: entry.fetch("/").status == 200)

    @classmethod
    def tearDownClass(cls):
        for agent in cls.agents:
            agent.process.terminate()
            agent.process.wait()
        for entry in cls.entries:
            entry.stop()
        cls.store.stop()
        cls.directory.cleanup()

    def tearDown(self):
        self.store.set(mode="ok", lose_answers=0)

    def runs(self, path):
        return sum(len([1 for line in agent.lines("run")
                        if line.split()[3] == path])
                   for agent in self.agents)

    def fetch(self, entry, path, key, body=b"x", **headers):
        return self.entries[entry].fetch(path, "POST", body,
                                         Idempotency_Key=key, **headers)

    def check(self, response, status, outcome):
        self.assertEqual((response.status, response.outcome),
                         (status, outcome))

    def test_replay_at_another_entry(self):
        first = self.fetch(0, "/replay", "k1")
        self.check(first, 200, "done")

        def stored():
            replayed = self.fetch(1, "/replay", "k1")
            return replayed if replayed.status == 200 else None
        replayed = wait_for("stored outcome", stored)
        self.assertEqual(replayed.text, first.text)
        self.assertEqual(replayed.getheader("X-Agent"),
                         first.getheader("X-Agent"))
        self.assertEqual(self.runs("/replay"), 1)
        self.check(self.fetch(1, "/replay", "k1", b"y"), 422, "not-run")
        self.check(self.fetch(1, "/other", "k1"), 422, "not-run")
        self.assertEqual(self.runs("/other"), 0)

    def test_body_too_large_to_store(self):
        self.assertEqual(len(self.fetch(0, "/bytes/70000", "k2").text), 70000)
        wait_for("stored outcome",
                 lambda: self.fetch(1, "/bytes/70000", "k2").outcome == "done")
        self.check(self.fetch(0, "/bytes/70000", "k2"), 409, "done")
        self.assertEqual(self.runs("/bytes/70000"), 1)

    def test_lost_outcome_is_unknown(self):
        self.check(self.fetch(0, "/silent", "k3",
                              Catkinhill_Deadline_Ms="300"),
                   504, "unknown")
        self.check(self.fetch(1, "/silent", "k3"), 409, "unknown")
        self.assertEqual(self.runs("/silent"), 1)

    def test_key_is_free_after_not_run(self):
        self.check(self.fetch(0, "/refuse", "k4"), 503, "not-run")
        response = self.fetch(1, "/refuse", "k4")
        self.check(response, 503, "not-run")

    def test_race(self):
        responses = []

        def fetch(i):
            responses.append(self.fetch(i % 2, "/slow", "k5"))
        threads = [threading.Thread(target=fetch, args=(i,))
                   for i in range(16)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(self.runs("/slow"), 1)
        outcomes = sorted((a.status, a.outcome) for a in responses)
        self.assertEqual(outcomes[0], (200, "done"))
        self.assertEqual(set(outcomes[1:]) - {(409, "unknown"), (200, "done")},
                         set())

    def test_caller_that_leaves(self):
        """The run continues, so that a retry finds its outcome."""
        with socket.create_connection(
                ("127.0.0.1", self.entries[0].callers)) as sock:
            sock.sendall(b"POST /slow?left HTTP/1.1\r\nHost: localhost\r\n"
                         b"Idempotency-Key: k6\r\nContent-Length: 1\r\n\r\nx")
            wait_for("run", lambda: self.runs("/slow?left"))
        response = wait_for(
            "outcome", lambda: (lambda a: a if a.status == 200 else None)
            (self.fetch(1, "/slow?left", "k6")))
        self.assertIn(b"POST /slow?left", response.text)
        self.assertEqual(self.runs("/slow?left"), 1)

    def test_loses_store_responses(self):
        for i in range(6):
            path, key = f"/lost/{i}", f"lost{i}"
            # Loses the responses to the claim, its retry and the outcome.
            self.store.set(lose_answers=1 + i % 3)
            self.check(self.fetch(0, path, key), 200, "done")
            wait_for("outcome", lambda: self.fetch(1, path, key).outcome ==
                     "done")
            self.assertEqual(self.runs(path), 1)
            self.store.set(lose_answers=0)

    def test_store_that_is_down(self):
        for mode in ("refuse", "hang"):
            with self.subTest(mode):
                self.store.set(mode=mode)
                self.check(self.fetch(0, "/down", "k7"), 503, "unknown")
                self.check(self.entries[0].fetch("/up"), 200, "done")
                self.assertEqual(self.runs("/down"), 0)
                self.store.set(mode="ok")

    def test_entries_register(self):
        def known(entry):
            with open(entry.log.name) as log:
                return "entries=2" in log.read()
        wait_for("directory", lambda: all(map(known, self.entries)))


if __name__ == "__main__":
    unittest.main(verbosity=2)
