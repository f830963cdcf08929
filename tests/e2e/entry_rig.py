"""Test rig: entries with fake agents and a fake store."""
import http.client
import json
import os
import re
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..",
                                "tools", "pylib"))

from cluster import http_call, spawn, wait_for  # noqa: E402
from ports import free_port  # noqa: E402

BUILD = os.path.abspath(sys.argv.pop(1))
WAIT_S = 30


class Entry:
    def __init__(self, directory, name="e1", store=None):
        self.callers, self.peers, self.admin = (free_port() for _ in "abc")
        path = os.path.join(directory, name + ".ini")
        with open(path, "w") as file:
            file.write(f"""[daemon]
role = entry
id = {name}
region = a
domain = d1
stop_ms = 20000
[listen]
callers = 127.0.0.1:{self.callers}
peers = 127.0.0.1:{self.peers}
admin = 127.0.0.1:{self.admin}
[entry]
default_service = stock
""")
            if store:
                file.write(f"""[store]
address = 127.0.0.1:{store}
timeout_ms = 500
lease_s = 5
""")
        self.log = open(os.path.join(directory, name + ".log"), "w+")
        self.process = spawn(
            [os.path.join(BUILD, "catkinhilld"), "--config", path],
            stdout=self.log,
            stderr=subprocess.STDOUT)
        wait_for("entry", self.ready)

    def stop(self):
        """Checks the exit code: sanitizers report leaks and errors by it."""
        self.process.terminate()
        code = self.process.wait(WAIT_S)
        self.log.close()
        assert code == 0, f"an entry exited with {code}"

    def ready(self):
        try:
            return self.get_admin("/ready")[0] == 200
        except OSError:
            return False

    def get_admin(self, path):
        status, _, text = http_call(f"127.0.0.1:{self.admin}", "GET", path,
                                    seconds=9)
        return status, text.decode()

    def metric(self, name):
        text = self.get_admin("/metrics")[1]
        found = re.search("^" + re.escape(name) + " (.*)$", text, re.M)
        return int(found.group(1))

    def connect(self):
        return http.client.HTTPConnection("127.0.0.1", self.callers,
                                          timeout=WAIT_S)

    def fetch(self, path, method="GET", body=None, **headers):
        conn = self.connect()
        headers = {k.replace("_", "-"): v for k, v in headers.items()}
        conn.request(method, path, body, headers)
        response = conn.getresponse()
        response.text = response.read()
        conn.close()
        response.outcome = response.getheader("Catkinhill-Outcome")
        return response


class Agent:
    def __init__(self, entry, directory, name, region="a", service="stock",
                 load=0):
        self.path = os.path.join(directory, name + ".out")
        with open(self.path, "w") as out:
            self.process = spawn(
                [os.path.join(BUILD, "fakeagent"),
                 f"127.0.0.1:{entry.peers}", name, region, service,
                 str(load)], stdout=out)

    def lines(self, prefix):
        with open(self.path) as file:
            return [line for line in file if line.startswith(prefix)]


class Store:
    def __init__(self):
        self.port, self.control = free_port(), free_port()
        self.process = spawn(
            [os.path.join(BUILD, "fakestore"), "--listen",
             f"127.0.0.1:{self.port}", "--control",
             f"127.0.0.1:{self.control}"], stdout=subprocess.PIPE)
        assert self.process.stdout.readline() == b"ready\n"

    def set(self, **faults):
        status, _, state = http_call(f"127.0.0.1:{self.control}", "POST",
                                     "/control", json.dumps(faults))
        assert status == 200, state
        return json.loads(state)

    def stop(self):
        self.process.terminate()
        self.process.wait()
        self.process.stdout.close()
