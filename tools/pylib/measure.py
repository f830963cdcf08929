"""Counts messages, bytes, processor time and memory of processes.

Used by tools/capacity. Rates are differences of two samples divided by the
time between them.
"""

import asyncio
import base64
import glob
import http.client
import json
import os
import re
import signal
import subprocess
import threading
import time

from cluster import Process, http_call, wait_for

MASK = (1 << 64) - 1


def cpu_seconds(pid):
    """Processor time of all threads; /proc/PID/stat has steps of 10 ms."""
    total = 0
    for path in glob.glob("/proc/%d/task/*/schedstat" % pid):
        with open(path) as file:
            total += int(file.read().split()[0])
    return total / 1e9


def cpu_seconds_stat(pid):
    """The same in clock ticks, as a check."""
    with open("/proc/%d/stat" % pid) as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_kb(pid):
    with open("/proc/%d/statm" % pid) as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1024


def kernel_bytes(condition):
    """(sent, received) over the live TCP connections, from TCP_INFO."""
    text = subprocess.run(["ss", "-tinH", condition], capture_output=True,
                          text=True, stdin=subprocess.DEVNULL).stdout
    return (sum(map(int, re.findall(r"bytes_sent:(\d+)", text))),
            sum(map(int, re.findall(r"bytes_received:(\d+)", text))))


def port(address):
    return int(address.rsplit(":", 1)[1])


def fit(points):
    """Least squares; returns base, slope and the largest residual."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    var = sum((x - mean_x) ** 2 for x, _ in points)
    slope = (sum((x - mean_x) * (y - mean_y) for x, y in points) / var
             if var else 0)
    base = mean_y - slope * mean_x
    return base, slope, max(abs(y - base - slope * x) for x, y in points)


class Fleet(Process):
    """bench_fleet: many agents in one process."""

    def sample(self):
        """The latest complete line; None before the first."""
        size = os.path.getsize(self.log)
        with open(self.log, "rb") as log:
            log.seek(max(0, size - 2000))
            lines = log.read().split(b"\n")[:-1]
        self.check_alive()
        return json.loads(lines[-1]) if lines else None

    def samples(self):
        return [json.loads(line) for line in self.text().splitlines()
                if line.endswith("}")]

    def restart_agents(self):
        self.signal(signal.SIGUSR1)


def start_fleet(cluster, agents, task_ms, entries=None):
    entries = entries or cluster.entries
    fleet = cluster.start(
        Fleet, "fleet", [cluster.binary("bench_fleet"), str(agents),
                         str(task_ms), *[entry.peers for entry in entries]])
    wait_for("the fleet", fleet.sample)
    return fleet


def usable(entry):
    body = http_call(entry.admin, "GET", "/v1/status")[2]
    return sum(member["usable"] for member in json.loads(body)["members"])


def wait_agents_usable(entries, agents):
    wait_for("all agents at all entries",
             lambda: all(usable(entry) == agents for entry in entries))


class Relay(threading.Thread):
    """Passes connections on to the store and counts their bytes."""

    def __init__(self, target):
        super().__init__(daemon=True)
        self.host, number = target.split(":")
        self.number = int(number)
        self.to_store = self.from_store = 0
        self.loop = asyncio.new_event_loop()
        self.server = self.loop.run_until_complete(
            asyncio.start_server(self.serve, "127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % (
            self.server.sockets[0].getsockname()[1])
        self.start()

    def run(self):
        self.loop.run_forever()
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*tasks, return_exceptions=True))
        self.loop.close()

    async def copy(self, reader, writer, name):
        try:
            while data := await reader.read(65536):
                setattr(self, name, getattr(self, name) + len(data))
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    async def serve(self, reader, writer):
        try:
            store_reader, store_writer = await asyncio.open_connection(
                self.host, self.number)
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(
                self.copy(reader, store_writer, "to_store"),
                self.copy(store_reader, writer, "from_store"))
        except asyncio.CancelledError:
            pass  # by close()

    def close(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.join()


class Store:
    """The stand-in's own interface: submissions and counts of calls."""

    def __init__(self, cluster, partitions=4):
        self.control = cluster.address()
        cluster.start_store("--control", self.control)
        self.address = cluster.store_address
        self.relay = Relay(self.address)
        cluster.store_address = self.relay.address
        self.partitions = partitions
        self.own_calls = 0
        self.lock = threading.Lock()
        config = {"version": 1, "token": "setup/1",
                  "limits": {"partitions": partitions}, "drained": [],
                  "quotas": {}, "changes": []}
        self.put(self.connect(), "cfg", config)

    def connect(self):
        host, number = self.address.split(":")
        return http.client.HTTPConnection(host, int(number), timeout=30)

    def put(self, connection, key, value):
        def b64(data):
            return base64.b64encode(data).decode()
        request = {"success": [{"request_put": {
            "key": b64(key.encode()),
            "value": b64(json.dumps(value).encode())}}]}
        connection.request("POST", "/v3/kv/txn", json.dumps(request))
        answer = connection.getresponse()
        body = answer.read()
        if answer.status != 200:
            raise OSError("the store answered %d %s" % (answer.status, body))
        with self.lock:
            self.own_calls += 1

    def inbox_key(self, job):
        return "inbox/%d/%s" % (hash_str(job) % self.partitions, job)

    def submit(self, connection, job, cpu_milli=10):
        self.put(connection, self.inbox_key(job), {
            "job": job, "team": "returns", "urgent": False,
            "cpu_milli": cpu_milli, "mem_mb": 10, "accel": 0,
            "command": "reconcile steps=1000 step_ms=100000"})

    def cancel(self, connection, job):
        self.put(connection, self.inbox_key(job) + ".cancel",
                 {"intent": "cancel", "job": job})

    def faults(self, **fields):
        http_call(self.control, "POST", "/control", json.dumps(fields))

    def sample(self):
        """Calls by kind without this program's own, and bytes relayed."""
        body = json.loads(http_call(self.control, "GET", "/control")[2])
        calls = body["calls"]
        with self.lock:
            calls["txn"] -= self.own_calls
        writes = calls["txn"] + calls["grant"] + calls["revoke"]
        return {"store_reads": calls["range"], "store_writes": writes,
                "store_keepalives": calls["keepalive"],
                "store_to_bytes": self.relay.to_store,
                "store_from_bytes": self.relay.from_store,
                "watches": body["watches"]}


def hash_str(text):
    """hash_str() of packages/base."""
    value = 14695981039346656037
    for byte in text.encode():
        value = ((value ^ byte) * 1099511628211) & MASK
    value ^= value >> 30
    value = (value * 0xbf58476d1ce4e5b9) & MASK
    value ^= value >> 27
    value = (value * 0x94d049bb133111eb) & MASK
    return value ^ (value >> 31)


class Window:
    """Rates of one process, and of the fleet and store beside it."""

    def __init__(self, process, fleet=None, store=None, condition=None):
        self.process, self.fleet = process, fleet
        self.store, self.condition = store, condition

    def take(self):
        sample = {"at": time.monotonic(),
                  "cpu": cpu_seconds(self.process.popen.pid),
                  "cpu_stat": cpu_seconds_stat(self.process.popen.pid)}
        if self.fleet:
            sample["fleet"] = self.fleet.sample()
        if self.store:
            sample["store"] = self.store.sample()
        if self.condition:
            sample["kernel"] = kernel_bytes(self.condition)
        return sample

    def measure(self, seconds):
        first = self.take()
        time.sleep(seconds)
        last = self.take()
        took = last["at"] - first["at"]
        row = {
            "cpu_percent": 100 * (last["cpu"] - first["cpu"]) / took,
            "cpu_percent_stat":
                100 * (last["cpu_stat"] - first["cpu_stat"]) / took,
            "rss_kb": rss_kb(self.process.popen.pid),
        }
        if self.fleet:
            self.add_fleet(row, first["fleet"], last["fleet"])
        if self.store:
            for key, value in last["store"].items():
                row[key + "_per_s"] = (value - first["store"][key]) / took
            row["watches"] = last["store"]["watches"]
            del row["watches_per_s"]
        if self.condition:
            row["kernel_out_per_s"], row["kernel_in_per_s"] = [
                (last["kernel"][i] - first["kernel"][i]) / took
                for i in (0, 1)]
        return {key: round(value, 3) for key, value in row.items()}

    @staticmethod
    def add_fleet(row, first, last):
        took = (last["ms"] - first["ms"]) / 1000
        for key in ("messages_in", "messages_out", "bytes_in", "bytes_out",
                    "announces", "acks", "reports", "report_acks", "starts"):
            row["fleet_%s_per_s" % key] = (last[key] - first[key]) / took
        row["fleet_running"] = last["running"]
