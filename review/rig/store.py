"""Stand-in for the platform's metadata store, in a thread of the test."""

import base64
import threading
import time
import urllib.parse

from httpserver import JsonServer

RANGE_ITEMS_MAX = 500
LEASE_TTL_MIN_MS = 1000


class Store:
    """Keys, revisions, leases, watches and transactions in memory.

    on_write, if set, is called with the body of each transaction. It returns
    None to answer it, or a number of seconds: then the transaction gets no
    response and is carried out after that time, if its condition still holds.
    """

    def __init__(self, address):
        self.items = {}
        self.history = []  # (revision, key, item or None)
        self.leases = {}  # lease -> [end, ttl in s]
        self.revision = 100
        self.next_lease = 1
        self.changed = threading.Condition()
        self.on_write = None
        self.is_silent = False
        self.server = JsonServer(address, self.handle)
        threading.Thread(target=self.expire, daemon=True).start()

    def expire(self):
        while True:
            time.sleep(0.02)
            with self.changed:
                now = time.monotonic()
                if self.is_silent:
                    continue
                for lease in [lease for lease, row in self.leases.items()
                              if row[0] <= now]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items()
                if item["lease"] == lease]
        if keys:
            self.apply([], keys)
        return True

    def apply(self, puts, removals):
        self.revision += 1
        for put in puts:
            old = self.items.get(put["key"])
            item = {"key": put["key"], "value": put["value"],
                    "revision": self.revision, "lease": put.get("lease", 0),
                    "createdAt": old["createdAt"] if old
                    else int(time.time() * 1000)}
            self.items[put["key"]] = item
            self.history.append((self.revision, put["key"], item))
        for key in removals:
            if self.items.pop(key, None):
                self.history.append((self.revision, key, None))
        self.changed.notify_all()

    def go_silent(self, seconds):
        """Answers nothing for a time, in which leases pause."""
        self.is_silent = True
        time.sleep(seconds)
        with self.changed:
            for row in self.leases.values():
                row[0] += seconds
            self.is_silent = False

    def put(self, key, text):
        """Writes a key as the operator does."""
        value = base64.b64encode(text.encode()).decode()
        with self.changed:
            self.apply([{"key": key, "value": value}], [])

    def handle(self, request):
        url = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        name = url.path.removeprefix("/catkinhill/").split("/")[0]
        calls = {"kv-key": self.get, "kv-range": self.range,
                 "kv-watch": self.watch}
        if self.is_silent:
            return None
        if name in calls:
            return calls[name](query)
        if name == "kv-txn":
            return self.txn(request.body)
        with self.changed:
            return self.lease_call(name, url.path, request.body)

    def get(self, query):
        with self.changed:
            item = self.items.get(query["key"])
            return (200, dict(item, storeRevision=self.revision)) \
                if item else (404, {"storeRevision": self.revision})

    def range(self, query):
        with self.changed:
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and
                          key > query.get("after", ""))
            items = [self.items[key] for key in keys[:RANGE_ITEMS_MAX]]
            return 200, {"items": items, "storeRevision": self.revision,
                         "truncated": len(keys) > len(items)}

    def watch(self, query):
        end = time.monotonic() + int(query["waitMs"]) / 1000
        after = int(query["after"])
        with self.changed:
            while True:
                events = [item or {"key": key, "revision": revision,
                                   "tombstone": True}
                          for revision, key, item in self.history
                          if revision > after and
                          key.startswith(query["prefix"])]
                left = end - time.monotonic()
                if self.is_silent:
                    return None
                if events or left <= 0:
                    return 200, {"events": events,
                                 "storeRevision": self.revision}
                self.changed.wait(min(left, 0.2))

    def txn(self, body):
        delay = self.on_write(body) if self.on_write else None
        if delay is None:
            return self.carry_out(body)
        timer = threading.Timer(delay, self.carry_out, [body])
        timer.daemon = True
        timer.start()
        return None

    def carry_out(self, body):
        with self.changed:
            rows = body.get("expectedRev", [])
            current = [self.items.get(row["key"]) for row in rows]
            if any((item["revision"] if item else 0) != row["revision"]
                   for row, item in zip(rows, current)):
                return 412, {"items": [item for item in current if item],
                             "storeRevision": self.revision}
            if any(put.get("lease", 0) and put["lease"] not in self.leases
                   for put in body.get("puts", [])):
                return 404, {}
            self.apply(body.get("puts", []), body.get("remove", []))
            return 200, {"revision": self.revision}

    def lease_call(self, name, path, body):
        if name == "kv-lease":
            ttl = max(body["ttlMs"], LEASE_TTL_MIN_MS) / 1000
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = [time.monotonic() + ttl, ttl]
            return 200, {"lease": lease, "ttlMs": int(ttl * 1000)}
        lease = int(path.rsplit("/", 1)[1])
        if name == "kv-lease-end":
            return (200, {}) if self.end_lease(lease) else (404, {})
        if name != "kv-keep" or lease not in self.leases:
            return 404, {}
        self.leases[lease][0] = time.monotonic() + self.leases[lease][1]
        return 200, {"lease": lease,
                     "ttlMs": int(self.leases[lease][1] * 1000)}
