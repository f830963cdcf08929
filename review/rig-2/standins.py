"""Stand-ins of the platform's store and of a worker, by its protocol page."""

import asyncio
import base64
import bisect
import json
import os
import socket
import struct
import time
import urllib.parse

RANGE_ITEMS = 500      # most items of one page of a range
ENDS_LISTED = 500      # most ends in one answer
HOLD_MAX_MS = 6000     # longest lease of a worker's runs
STOP_MS = 100          # a stop takes at most 400 ms
HISTORY_S = 20


class NoAnswer(Exception):
    """The request gets no answer; its connection stays silent."""


class Reset(Exception):
    """The connection is reset instead of an answer."""


class Server:
    """HTTP/1.1 with kept connections; handle() returns a status and a body."""

    most_connections = 0  # 0: any number

    async def listen(self, address):
        host, port = address.split(":")
        self.connections = set()
        self.server = await asyncio.start_server(
            self.serve, host, int(port), limit=16 << 20, backlog=1024)

    async def close(self):
        self.server.close()
        self.break_connections()

    def break_connections(self):
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.most_connections and (len(self.connections) >=
                                      self.most_connections):
            writer.transport.abort()
            return
        self.connections.add(writer)
        try:
            while await self.serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        except NoAnswer:
            await reader.read()
        except Reset:
            writer.transport.abort()
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve_request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length) if length else b""
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in
                 urllib.parse.parse_qs(url.query).items()}
        status, answer = await self.handle(method, url.path, query, headers,
                                           body)
        data = json.dumps(answer, separators=(",", ":")).encode()
        writer.write(("HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                      "Content-Length: %d\r\n\r\n" % (status, len(data))
                      ).encode() + data)
        await writer.drain()
        return headers.get("connection", "").lower() != "close"


class Store(Server):
    """The metadata store: linearizable, one counter of revisions."""

    def __init__(self):
        self.items = {}
        self.events = []      # (revision, event)
        self.revision = 1
        self.leases = {}      # id -> [ttl in s, end]
        self.last_lease = 0
        self.changed = asyncio.Condition()
        self.mode = "up"      # or "silent", "busy", "reset"
        self.delay_s = 0.004
        self.write_fault = None  # called with each transaction

    def put(self, key, value, lease=0):
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision, "lease": lease,
                "createdAt": old["createdAt"] if old
                else int(time.time() * 1000)}
        self.items[key] = item
        self.events.append((self.revision, time.monotonic(), item))

    def remove(self, key):
        if self.items.pop(key, None):
            self.events.append((self.revision, time.monotonic(),
                                {"key": key, "revision": self.revision,
                                 "tombstone": True}))

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def operator_put(self, key, value):
        self.revision += 1
        self.put(key, json.dumps(value).encode())
        await self.notify()

    def value(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    async def set_mode(self, mode):
        """While the store is down, its leases pause."""
        now = time.monotonic()
        if mode != "up" and self.mode == "up":
            self.down_at = now
        if mode == "up" and self.mode != "up":
            for lease in self.leases.values():
                lease[1] += now - self.down_at
        self.mode = mode
        await self.notify()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.mode != "up":
                continue
            for lease, (_, end) in list(self.leases.items()):
                if now >= end:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, v in self.items.items() if v["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
            await self.notify()

    def check_up(self):
        if self.mode == "silent":
            raise NoAnswer
        if self.mode == "reset":
            raise Reset
        return self.mode != "busy"

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(self.delay_s)
        if not self.check_up():
            return 503, {}
        name = path.rsplit("/", 1)
        if path == "/catkinhill/kv-key":
            item = self.items.get(query["key"])
            answer = dict(item or {}, storeRevision=self.revision)
            return (200 if item else 404), answer
        if path == "/catkinhill/kv-range":
            return 200, self.range(query["prefix"], query.get("after", ""))
        if path == "/catkinhill/kv-watch":
            return await self.watch(query)
        if path == "/catkinhill/kv-txn":
            return await self.transact(json.loads(body))
        if path == "/catkinhill/kv-lease":
            ttl = max(1000, min(600000, json.loads(body)["ttlMs"]))
            self.last_lease += 1
            self.leases[self.last_lease] = [ttl / 1000,
                                            time.monotonic() + ttl / 1000]
            return 200, {"lease": self.last_lease, "ttlMs": ttl}
        lease = int(name[1]) if name[1].isdigit() else 0
        if lease not in self.leases:
            return 404, {}
        if name[0] == "/catkinhill/kv-keep":
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
        elif name[0] == "/catkinhill/kv-lease-end":
            await self.end_lease(lease)
        else:
            return 404, {}
        return 200, {}

    def range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix))
        keys = keys[bisect.bisect_right(keys, after):] if after else keys
        size = 0
        items = []
        for key in keys:
            if len(items) == RANGE_ITEMS or size > 1000000:
                break
            items.append(self.items[key])
            size += len(self.items[key]["value"])
        return {"items": items, "truncated": len(items) < len(keys),
                "storeRevision": self.revision}

    async def watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        deadline = time.monotonic() + min(int(query["waitMs"]), 30000) / 1000
        while True:
            if not self.check_up():
                return 503, {}
            events = [e for r, _, e in self.events
                      if r > after and e["key"].startswith(prefix)]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events,
                             "storeRevision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, body):
        if self.write_fault:
            await self.write_fault(body)
        return await self.apply(body)

    async def apply(self, body):
        compares = body.get("expectedRev", [])
        failed = [c for c in compares if c["revision"] !=
                  self.items.get(c["key"], {"revision": 0})["revision"]]
        if failed:
            return 412, {"items": [self.items[c["key"]] for c in compares
                                   if c["key"] in self.items]}
        for row in body.get("puts", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in body.get("puts", []):
            self.put(row["key"], base64.b64decode(row["value"]),
                     row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        await self.notify()
        return 200, {"revision": self.revision}


class Run:
    def __init__(self, task, number, spec, begun):
        work = spec.split()[0] if spec else ""
        self.task, self.number = task, number
        self.begun = begun
        self.ends = begun + int(work) / 1000 if work.isdigit() else None
        self.how = "failed" if "fail" in spec else "done"
        self.stops = None


class Worker(Server):
    """One life of a worker. The first word of a task's spec is its time in
    ms; a word that is no number stands for a task that lasts."""

    most_connections = 64

    def __init__(self, record, name, address, runner, cpu=64000,
                 mem=256000, service="work", labels=("a", "r1"),
                 clock_ahead_ms=0):
        self.record, self.name, self.address = record, name, address
        self.runner = runner  # address for the heartbeats
        self.capacity = {"cpu": cpu, "memMb": mem, "gpu": 0}
        self.service, self.labels = service, list(labels)
        self.state, self.sequence = "ready", 0
        self.begun = time.monotonic()
        self.born = int(time.time() * 1000) + clock_ahead_ms
        self.fence, self.lease_end, self.lapsed = 0, 0.0, True
        self.runs, self.highest = {}, {}
        self.ended, self.last_end, self.noted = [], 0, 0
        self.on_start = None  # called with the body before it takes effect
        self.on_hold = None
        self.woken = asyncio.Event()
        self.is_up = True

    def clock_ms(self):
        return int((time.monotonic() - self.begun) * 1000) + 1000

    def note(self, event, task, number, how=""):
        self.record.add("worker", worker=self.name, born=self.born,
                        event=event, task=task, run=number, how=how)

    async def start(self):
        await self.listen(self.address)
        self.jobs = [asyncio.create_task(self.work()),
                     asyncio.create_task(self.announce())]

    async def crash(self):
        self.is_up = False
        for job in self.jobs:
            job.cancel()
        for run in list(self.runs.values()):
            self.note("lost", run.task, run.number)
        self.record.add("worker", worker=self.name, born=self.born,
                        event="down", task="", run=0, how="")
        await self.close()

    async def announce(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.5)

    async def beat(self):
        self.sequence += 1
        body = {"service": self.service, "address": self.address,
                "zone": "z1", "version": "v1", "slots": 8,
                "state": self.state, "coldLeftMs": 0,
                "capacity": self.capacity, "labels": self.labels,
                "clockMs": self.clock_ms(), "born": self.born,
                "sequence": self.sequence}
        if self.state == "draining":
            body["remainingMs"] = 3000
        try:
            return (await call(self.runner, "POST",
                               "/catkinhill/instances/%s/heartbeat" %
                               self.name, body, timeout=1))[0]
        except OSError:
            return 0

    def end(self, run, how):
        del self.runs[run.task]
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.number, how, ""])
        self.note("end", run.task, run.number, how)
        self.woken.set()

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if now >= self.lease_end and not self.lapsed:
                self.lapsed = True
                self.note("lapse", "", 0)
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                if run.ends and now >= run.ends:
                    self.end(run, run.how)
                elif run.stops and now >= run.stops:
                    self.end(run, "stopped")

    def extend(self, until_ms):
        if not until_ms:
            return
        left = min(until_ms - self.clock_ms(), HOLD_MAX_MS) / 1000
        end = time.monotonic() + left
        if left > 0 and end > self.lease_end:
            self.lease_end, self.lapsed = end, False

    def answer(self, status, **fields):
        return status, dict(fields, clockMs=self.clock_ms(), born=self.born)

    def lists(self, last_seen):
        ended = [e for e in self.ended if e[0] > last_seen][:ENDS_LISTED]
        active = [[r.task, r.number, "", self.percent(r), 100]
                  for r in self.runs.values()]
        return self.answer(200, active=active, ended=ended)

    @staticmethod
    def percent(run):
        if not run.ends:
            return 100
        whole = max(run.ends - run.begun, 0.001)
        return min(99, int((time.monotonic() - run.begun) / whole * 100))

    async def handle(self, method, path, query, headers, body):
        body = json.loads(body or b"{}")
        if headers.get("x-expect-instance", self.name) != self.name:
            return self.answer(421)
        if path == "/catkinhill/run-start":
            if self.on_start:
                await self.on_start(self, body)
            return self.run_start(body)
        if path == "/catkinhill/hold":
            return await self.hold(body)
        if path not in ("/catkinhill/run-stop", "/catkinhill/pace"):
            return self.answer(404)
        if body.get("fencingToken", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = body.get("fencingToken", 0)
        if path == "/catkinhill/run-stop":
            self.run_stop(body["task"], body["runId"])
        return self.answer(200)

    def run_start(self, body):
        task, number = body["task"], body["runId"]
        if body.get("fencingToken", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = body.get("fencingToken", 0)
        if body.get("untilMs", 0) <= self.clock_ms():
            return self.answer(409, reason="late")
        self.extend(body["untilMs"])
        run = self.runs.get(task)
        if run and run.number == number:
            return self.answer(200)
        if number <= self.highest.get(task, 0) or run:
            return self.answer(409, reason="old")
        self.highest[task] = number
        self.runs[task] = Run(task, number, body.get("spec", ""),
                              time.monotonic())
        self.note("start", task, number, body.get("spec", ""))
        return self.answer(200)

    def run_stop(self, task, number):
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.runs.get(task)
        if run and run.number <= number and not run.stops:
            run.stops = time.monotonic() + STOP_MS / 1000

    async def hold(self, body):
        if self.on_hold:
            await self.on_hold(self, body)
        if body.get("fencingToken", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = body.get("fencingToken", 0)
        self.extend(body.get("untilMs", 0))
        seen = min(body.get("lastSeen", 0), self.last_end)
        if seen > self.noted:
            for number, task, run, how, _ in self.ended:
                if self.noted < number <= seen:
                    self.note("noted", task, run, how)
            self.noted = seen
            self.ended = [e for e in self.ended if e[0] > seen]
        deadline = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while (not any(e[0] > body.get("lastSeen", 0) for e in self.ended) and
               time.monotonic() < deadline):
            self.woken.clear()
            try:
                await asyncio.wait_for(self.woken.wait(),
                                       deadline - time.monotonic())
            except asyncio.TimeoutError:
                pass
        return self.lists(body.get("lastSeen", 0))


class Relay:
    """Passes connections on to a target, each way after a delay."""

    def __init__(self, target, delay_s):
        self.target, self.delay_s = target, delay_s
        self.pairs = set()

    async def listen(self, address):
        host, port = address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    def reset(self, most):
        """Resets up to so many open connections, both ways."""
        pairs = list(self.pairs)[:most]
        for pair in pairs:
            self.pairs.discard(pair)
            for writer in pair:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
                writer.transport.abort()
        return len(pairs)

    async def serve(self, reader, writer):
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)
        try:
            await asyncio.gather(self.copy(reader, far_writer),
                                 self.copy(far_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        self.pairs.discard(pair)
        for end in pair:
            end.close()

    async def copy(self, reader, writer):
        loop = asyncio.get_running_loop()
        while True:
            data = await reader.read(65536)
            loop.call_later(self.delay_s, self.pass_on, writer, data)
            if not data:
                return

    @staticmethod
    def pass_on(writer, data):
        if writer.transport.is_closing():
            return
        if data:
            writer.write(data)
        else:
            writer.transport.abort()


async def call(address, method, path, body=None, headers=None, timeout=5):
    """One request on a connection of its own; OSError if it isn't answered."""
    host, port = address.split(":")
    data = json.dumps(body).encode() if body is not None else b""
    head = {"Host": address, "Connection": "close",
            "Content-Length": str(len(data)),
            "Content-Type": "application/json"}
    head.update(headers or {})
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), timeout)
        writer.write(("%s %s HTTP/1.1\r\n%s\r\n" % (method, path, "".join(
            "%s: %s\r\n" % row for row in head.items()))).encode() + data)
        raw = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), timeout)
        lines = raw.decode("latin-1").split("\r\n")
        length = 0
        for line in lines[1:]:
            if line.lower().startswith("content-length:"):
                length = int(line.split(":")[1])
        text = await asyncio.wait_for(reader.readexactly(length), timeout)
        return int(lines[0].split()[1]), json.loads(text or b"{}")
    except (asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError) as err:
        raise OSError(repr(err)) from err
    finally:
        if writer:
            writer.close()


class Record:
    """What was sent, answered and run, a line each, with times in ms."""

    def __init__(self, path):
        self.out = open(path, "w", buffering=1 << 16)
        self.begun = time.monotonic()
        self.rows = []

    def add(self, kind, **fields):
        at = int((time.monotonic() - self.begun) * 1000)
        self.rows.append((at, kind, fields))
        self.out.write("%7d %-8s %s\n" % (at, kind, " ".join(
            "%s=%s" % (k, str(v)[:80]) for k, v in fields.items()
            if v != "")))

    def close(self):
        self.out.close()


def environment():
    return {k: v for k, v in os.environ.items()
            if k in ("PATH", "HOME", "LANG")}
