#!/usr/bin/env python3
"""What callers get from an entry with fake agents.

Usage: test_entry.py BUILD_DIRECTORY
"""
import http.client
import json
import re
import signal
import socket
import tempfile
import time
import unittest

from entry_rig import WAIT_S, Agent, Entry, wait_for

class EntryTestCase(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.directory = tempfile.TemporaryDirectory()
        cls.entry = Entry(cls.directory.name)
        cls.agents = {}
        for name, region, service in (("a1", "a", "stock"),
                                      ("a2", "a", "stock"),
                                      ("far", "b", "stock"),
                                      ("f1", "a", "fragile"),
                                      ("g1", "a", "pair"),
                                      ("g2", "a", "pair"),
                                      ("w1", "a", "watch"),
                                      ("w2", "a", "watch")):
            cls.agents[name] = Agent(cls.entry, cls.directory.name, name,
                                     region, service)
        for host in ("stock", "fragile", "pair", "watch"):
            wait_for(host, lambda: cls.entry.fetch("/",
                                                   Host=host).status == 200)
        wait_for("agents", cls.all_known)

    @classmethod
    def all_known(cls):
        with open(cls.entry.log.name) as log:
            return len(set(re.findall(r"agent=(\w+) state=ready",
                                      log.read()))) == len(cls.agents)

    @classmethod
    def tearDownClass(cls):
        for agent in cls.agents.values():
            agent.process.terminate()
            agent.process.wait()
        cls.entry.stop()
        cls.directory.cleanup()

    def runs(self, path):
        return sum(len([1 for line in agent.lines("run")
                        if line.split()[3] == path])
                   for agent in self.agents.values())

    def explain(self, response):
        trace = response.getheader("Catkinhill-Trace")
        status, text = self.entry.get_admin("/v1/explain/request/" + trace)
        self.assertEqual(status, 200)
        return json.loads(text)

    def explain_end(self, response):
        """The record of the request once it has ended, else None."""
        record = self.explain(response)
        return None if record["outcome"] == "in-progress" else record


class ResponseTest(EntryTestCase):
    def test_basic_response_and_explanation(self):
        body = bytes(i % 256 for i in range(300001))
        response = self.entry.fetch("/sum", "POST", body)
        self.assertEqual(response.status, 200)
        self.assertEqual(response.outcome, "done")
        self.assertEqual(response.text.decode(), f"POST /sum {sum(body)}")
        self.assertIsNone(response.getheader("X-Hop"))
        self.assertRegex(response.getheader("X-Agent"), "^a[12]$")
        steps = self.explain(response)["steps"]
        self.assertRegex(steps[0], "reason=local agent=a[12].* over=a[12]")
        self.assertEqual(self.entry.get_admin("/v1/explain/request/x")[0], 404)

    def test_head_has_no_body(self):
        conn = self.entry.connect()
        for _ in range(2):
            conn.request("HEAD", "/h")
            response = conn.getresponse()
            self.assertEqual(response.read(), b"")
            self.assertEqual(response.status, 200)
        conn.close()

    def test_flow_control_keeps_every_byte(self):
        conn = self.entry.connect()
        for size in (0, 1, 262144, 1000003):
            conn.request("GET", f"/bytes/{size}")
            response = conn.getresponse()
            self.assertEqual(response.read(),
                             bytes(i % 251 for i in range(size)))
        conn.close()

    def test_outcomes(self):
        cases = (
            # path, method, headers, status, outcome, runs
            ("/refuse", "POST", {}, 503, "not-run", None),
            ("/status/404", "GET", {}, 404, "done", 1),
            ("/status/500", "POST", {}, 500, "done", 1),
            ("/status/503", "GET", {}, 503, "done", 2),
            ("/silent", "GET", {"Catkinhill_Deadline_Ms": "200"}, 504,
             "unknown", None),
            ("/zero", "GET", {"Catkinhill_Deadline_Ms": "0"}, 504,
             "not-run", 0),
            ("/bad", "GET", {"Catkinhill_Deadline_Ms": "1s"}, 400,
             "not-run", 0),
            ("/nobody", "GET", {"Host": "nobody"}, 503, "not-run", 0),
            ("/keyed", "POST", {"Idempotency_Key": "k"}, 503, "unknown", 0),
        )
        for path, method, headers, status, outcome, runs in cases:
            with self.subTest(path):
                response = self.entry.fetch(path, method, **headers)
                self.assertEqual((response.status, response.outcome),
                                 (status, outcome))
                if runs is not None:
                    self.assertEqual(min(self.runs(path), 2), runs)

    def test_refused_attempt_goes_elsewhere(self):
        response = self.entry.fetch("/refuse-once", "POST", b"x")
        self.assertEqual((response.status, response.outcome), (200, "done"))

    def test_damaged_response_is_visible(self):
        for path in ("/gap", "/cut", "/long"):
            with self.subTest(path):
                conn = self.entry.connect()
                conn.request("GET", path)
                response = conn.getresponse()
                with self.assertRaises((http.client.IncompleteRead,
                                        ConnectionError)):
                    response.read()
                conn.close()

    def test_too_large(self):
        with socket.create_connection(("127.0.0.1", self.entry.callers)) as s:
            s.settimeout(WAIT_S)
            size = 16 * 1024 * 1024 + 1
            s.sendall(b"POST /big HTTP/1.1\r\nHost: x\r\n"
                      b"Content-Length: %d\r\n\r\n" % size)
            try:
                s.sendall(b"x" * size)
            except OSError:
                pass
            self.assertIn(b" 413 ", s.recv(100))

    def test_pipelined_requests(self):
        """evhttp aborts the process on input in an unexpected state."""
        with socket.create_connection(("127.0.0.1", self.entry.callers)) as s:
            s.settimeout(WAIT_S)
            raw_request = b"GET /p HTTP/1.1\r\nHost: localhost\r\n\r\n"
            s.sendall(raw_request)
            s.sendall(raw_request * 9)
            received = b""
            while received.count(b"GET /p 0") < 10:
                part = s.recv(65536)
                self.assertTrue(part)
                received += part

    def test_caller_that_leaves(self):
        before = sum(len(a.lines("cancel")) for a in self.agents.values())
        sock = socket.create_connection(("127.0.0.1", self.entry.callers))
        sock.sendall(b"GET /silent HTTP/1.1\r\nHost: localhost\r\n\r\n")
        runs = self.runs("/silent")
        wait_for("run", lambda: self.runs("/silent") >= max(runs, 1))
        sock.close()
        wait_for("cancel", lambda: sum(len(a.lines("cancel")) for a in
                                       self.agents.values()) > before)

    def test_caller_that_leaves_after_the_response(self):
        """Guards against the record of a cut response for a whole one: the
        caller closes before the entry knows that the response has ended."""
        response = self.entry.fetch("/late-end")
        self.assertEqual((response.status, response.text),
                         (200, b"/late-end"))
        record = wait_for("end", lambda: self.explain_end(response))
        self.assertEqual(record["outcome"], "done")
        self.assertEqual(len(record["steps"]), 1, record)

    def test_dead_agent_is_retried_elsewhere(self):
        """Only repeatable requests, and before the default deadline."""
        def kill_serving_agent():
            name = self.entry.fetch("/", Host="pair").getheader("X-Agent")
            response = self.entry.fetch("/die/" + name, Host="pair")
            self.assertEqual((response.status, response.outcome),
                             (200, "done"))
            return response if len(
                self.explain(response)["steps"]) > 1 else None
        response = wait_for("retry", kill_serving_agent)
        self.assertEqual(len(self.explain(response)["steps"]), 3)

    def test_dead_agent_is_unknown(self):
        response = self.entry.fetch("/die", "POST", Host="fragile")
        self.assertEqual((response.status, response.outcome), (502, "unknown"))


class StreamTest(EntryTestCase):
    def open_events(self):
        sock = socket.create_connection(("127.0.0.1", self.entry.callers))
        sock.settimeout(WAIT_S)
        sock.sendall(b"GET /events HTTP/1.1\r\nHost: watch\r\n"
                     b"Accept: text/event-stream\r\n\r\n")
        return sock, bytearray()

    def read_ids(self, sock, received, count):
        while len(re.findall(rb"id: \d+\n", received)) < count:
            part = sock.recv(4096)
            self.assertTrue(part)
            received += part
        return [int(i) for i in re.findall(rb"id: (\d+)\n", received)]

    def test_streams_join_move_and_end(self):
        callers = [self.open_events()]
        self.read_ids(*callers[0], 3)
        # An entry that resumes must not treat its agents as silent.
        self.entry.process.send_signal(signal.SIGSTOP)
        time.sleep(3.5)
        self.entry.process.send_signal(signal.SIGCONT)
        self.read_ids(*callers[0], 100)
        callers += [self.open_events() for _ in range(5)]
        for caller in callers:
            self.read_ids(*caller, 120)
        self.assertEqual(self.runs("/events"), 1)
        source = [a for a in ("w1", "w2")
                  if self.agents[a].lines("run " + a + " GET /events")][0]
        self.agents[source].process.send_signal(signal.SIGUSR1)
        wait_for("move", lambda: self.runs("/events") == 2)
        for caller in callers:
            ids = self.read_ids(*caller, 300)
            self.assertEqual(ids, list(range(ids[0], ids[0] + len(ids))))
        self.assertEqual(
            self.entry.metric("catkinhill_streams_moved_total"), 1)
        self.stop_gracefully(callers)

    def stop_gracefully(self, streams):
        in_flight = self.entry.connect()
        in_flight.request("GET", "/silent",
                          headers={"Catkinhill-Deadline-Ms": "1500"})
        time.sleep(0.2)
        self.entry.process.terminate()
        for sock, received in streams:
            while not received.endswith(b"\r\n0\r\n\r\n"):
                part = sock.recv(4096)
                self.assertTrue(part)
                received += part
            self.assertIn(b"event: catkinhill-end", received)
            sock.close()
        response = self.entry.fetch("/new")
        self.assertEqual((response.status, response.outcome), (503, "not-run"))
        self.assertEqual(response.getheader("Connection"), "close")
        self.assertEqual(in_flight.getresponse().status, 504)
        self.assertEqual(self.entry.process.wait(WAIT_S), 0)


if __name__ == "__main__":
    unittest.main(verbosity=2)
