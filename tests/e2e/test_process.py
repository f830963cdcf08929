#!/usr/bin/env python3
"""The daemon process: exit codes, signals, bad HTTP at the admin address.

Guards against a daemon that starts with invalid settings, does not stop, or
exits because of what a client sends.
"""

import os
import signal
import socket
import subprocess
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(__file__),
                                "../../tools/pylib"))

from cluster import Cluster, http_call, wait_for  # noqa: E402


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def run(cluster, *args):
    result = subprocess.run([cluster.binary("catkinhilld"), *args],
                            stdin=subprocess.DEVNULL, capture_output=True,
                            text=True, timeout=60)
    return result.returncode, result.stdout + result.stderr


def test_arguments(cluster):
    entry = cluster.entries[0]
    bad = os.path.join(cluster.directory, "bad.ini")
    with open(bad, "w") as out:
        out.write("[daemon]\nrole = king\n")
    cases = [
        (["--version"], 0, "catkinhilld"),
        (["--help"], 0, "--config"),
        (["--help-settings"], 0, "agent.slots"),
        ([], 2, "--config FILE is missing"),
        (["--nonsense"], 2, "--help"),
        (["extra"], 2, "unexpected argument"),
        (["--config", "/nonexistent"], 2, "cannot be read"),
        (["--config", bad], 2, "6004 settings-invalid"),
        (["--config", bad, "--check"], 2, "bad.ini:2: daemon.role"),
        (["--config", entry.settings, "--check"], 0, "ok"),
        # The first entry already listens on these addresses.
        (["--config", entry.settings], 1, "6005 listen-failed"),
    ]
    for args, expected, part in cases:
        code, out = run(cluster, *args)
        check(code == expected and part in out, "%s: %d %s" %
              (args, code, out))


def send_raw(address, data):
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=60) as sock:
        response = b""
        try:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            while True:
                part = sock.recv(65536)
                if not part:
                    break
                response += part
        except OSError:
            pass  # the server may close before all data is sent
        return response


def test_bad_http(cluster):
    entry = cluster.entries[0]
    cases = [
        (b"\0\1\2\3\r\n\r\n", b" 400 "),
        (b"GET /health\r\n\r\n", b""),
        (b"GET /health HTTP/1.1\r\nX: " + b"x" * 100000 + b"\r\n\r\n", b""),
        (b"POST /v1/plan HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n{}", b""),
        (b"POST /v1/plan HTTP/1.1\r\nContent-Length: -1\r\n\r\n{}", b""),
        (b"POST /v1/plan HTTP/1.1\r\nContent-Length: 10\r\n\r\n{", b""),
        (b"GET /%ff%fe%00 HTTP/1.1\r\nConnection: close\r\n\r\n",
         b'"not-found"'),
        (b'POST /v1/plan HTTP/1.1\r\nConnection: close\r\n'
         b'Content-Length: 18\r\n\r\n{"intent":"\xff\xfe"}   ', b"not JSON"),
    ]
    for data, expected in cases:
        response = send_raw(entry.admin, data)
        check(expected in response, "%r: %r" % (data[:60], response[:300]))
        check(http_call(entry.admin, "GET", "/health")[0] == 200, "health")


def test_client_disconnects(cluster):
    """Responses to disconnected clients must not end the process."""
    entry = cluster.entries[0]
    cluster.control_store(delay_ms=300)
    body = b'{"intent":"undrain","domain":"zz"}'
    try:
        for _ in range(5):
            host, port = entry.admin.split(":")
            with socket.create_connection((host, int(port))) as sock:
                sock.sendall(b"POST /v1/plan HTTP/1.1\r\n"
                             b"Content-Length: %d\r\n\r\n%s" %
                             (len(body), body))
    finally:
        cluster.control_store(delay_ms=0)
    wait_for("the plans to be made",
             lambda: len(entry.lines(4101)) == 5)
    entry.check_alive()


def test_second_signal(cluster):
    """The first signal waits for requests in flight, the second does not."""
    entry, agent = cluster.entries[1], cluster.agents["w1"]
    host, port = entry.callers.split(":")
    caller = socket.create_connection((host, int(port)))
    caller.sendall(b"GET /work?ms=60000 HTTP/1.1\r\nHost: stock\r\n"
                   b"Catkinhill-Deadline-Ms: 60000\r\n\r\n")
    wait_for("a request in progress",
             lambda: agent.metric("catkinhill_agent_slots_used") == 1)
    entry.signal(signal.SIGTERM)
    wait_for("the stop to begin", lambda: entry.lines(6002))
    check(entry.popen.poll() is None, "did not wait for the request")
    check(entry.stop(seconds=20) == 1, "exit code after two signals")
    check("reason=second-signal" in entry.text(), entry.text()[-500:])
    caller.close()


def test_graceful_stop(cluster):
    """A stop succeeds while the store hangs on an operator's request."""
    entry = cluster.entries[0]
    cluster.control_store(mode="hang")
    thread = threading.Thread(
        target=lambda: send_raw(entry.admin, b"POST /v1/plan HTTP/1.1\r\n"
                                b"Content-Length: 34\r\n\r\n"
                                b'{"intent":"undrain","domain":"zz"}'),
        daemon=True)
    polls = [entry.metric("catkinhill_admin_requests_total")]
    thread.start()

    def arrived():
        # Each poll adds one to the metric itself.
        polls.append(entry.metric("catkinhill_admin_requests_total"))
        return polls[-1] - polls[0] > len(polls) - 1
    wait_for("the request to arrive", arrived)
    check(entry.stop() == 0, "exit code")
    check(entry.lines(6002) and entry.lines(6003), entry.text()[-500:])


def main(build):
    with Cluster(build) as cluster:
        cluster.start_store()
        cluster.start_entry("e1", "a", "a1", stop_ms=1000)
        cluster.start_entry("e2", "a", "a1")
        worker = cluster.start_worker("worker")
        cluster.start_agent("w1", worker, "a", "a1")
        for name, test in list(globals().items()):
            if name.startswith("test_"):
                print(name, flush=True)
                test(cluster)


main(sys.argv[1])
