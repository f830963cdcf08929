"""Proxies with fault injection: raw TCP to an entry, and HTTP to the store."""

import base64
import http.client
import http.server
import json
import re
import socket
import threading

IDENTITY = re.compile(rb"Identity\0\0\0(.)", re.S)
CHUNK_BYTES = 65536


class Relay:
    """TCP proxy between agents and an entry.

    A connection is identified by the ZeroMQ routing id in its first frames,
    which starts with the agent's id. Blocking a connection delays its bytes
    and drops none, so that data in flight arrives late, as it would over
    TCP. relay_addresses maps the addresses of entries, which they announce
    to agents, to those of their relays; the data to agents is rewritten.
    """

    def __init__(self, address, target, relay_addresses):
        host, port = address.split(":")
        self.address = address
        self.target = target
        self.relay_addresses = relay_addresses
        self.blocked = set()
        self.blocked_to_agents = set()
        self.changed = threading.Condition()
        self.closed = False
        self.sockets = []
        self.listener = socket.create_server((host, int(port)))
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                inbound = self.listener.accept()[0]
            except OSError:
                return
            try:
                host, port = self.target.split(":")
                outbound = socket.create_connection((host, int(port)))
            except OSError:
                inbound.close()
                continue
            link = {"peer": None}
            self.sockets += [inbound, outbound]
            for source, sink, first in ((inbound, outbound, True),
                                        (outbound, inbound, False)):
                threading.Thread(target=self.pump, daemon=True,
                                 args=(source, sink, link, first)).start()

    def pump(self, source, sink, link, is_agent):
        buffered = b""
        try:
            while True:
                data = source.recv(CHUNK_BYTES)
                if not data:
                    break
                if is_agent:
                    buffered = self.parse_peer(buffered, data, link)
                else:
                    data, buffered = self.replace(buffered + data)
                with self.changed:
                    self.changed.wait_for(
                        lambda: self.closed or not self.is_blocked(
                            link["peer"], is_agent))
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    @staticmethod
    def parse_peer(buffered, data, link):
        if link["peer"]:
            return b""
        buffered += data
        found = IDENTITY.search(buffered)
        if found:
            offset = found.end()
            link["peer"] = \
                buffered[offset:offset + found[1][0]].decode("latin-1")
        return buffered

    def replace(self, data):
        """Returns the bytes to forward and a tail that may be the start of an
        address."""
        for old, new in self.relay_addresses.items():
            if len(old) == len(new):
                data = data.replace(old.encode(), new.encode())
        partial_bytes = 0
        for old in self.relay_addresses:
            for size in range(1, len(old)):
                if size > partial_bytes and data.endswith(old[:size].encode()):
                    partial_bytes = size
        return (data[:-partial_bytes], data[-partial_bytes:]) \
            if partial_bytes else (data, b"")

    def is_blocked(self, peer, is_agent):
        names = self.blocked if is_agent else \
            self.blocked | self.blocked_to_agents
        return any(peer is None or peer.startswith(name) for name in names)

    def set_blocked(self, *names, to_agents=False):
        """Blocks the traffic of these agents, or only the direction to them;
        no names: unblocks all."""
        with self.changed:
            self.blocked = set(() if to_agents else names)
            self.blocked_to_agents = set(names if to_agents else ())
            self.changed.notify_all()

    def close(self):
        with self.changed:
            self.closed = True
            self.changed.notify_all()
        for end in [self.listener] + self.sockets:
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()


class StoreLink:
    """HTTP proxy between one entry and the store.

    down: serves no request and ends watches. lose: number of write responses
    to drop, alternately after and before the write takes effect.
    lose_matching: predicate on key and value; the response to the first write
    that matches is dropped. lost: keys of all such writes. relay_addresses:
    replaced in the registrations of entries, so that agents connect through
    relays.
    """

    def __init__(self, address, target):
        link = self
        self.target = target
        self.down = False
        self.lose = 0
        self.lose_matching = None
        self.lost = []
        self.relay_addresses = {}

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def do_POST(self):
                body = self.rfile.read(int(self.headers["Content-Length"]))
                self.close_connection = True
                try:
                    if not link.down:
                        link.serve(self, body)
                except OSError:
                    pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, request, client_address):
                pass

        host, port = address.split(":")
        self.server = Server((host, int(port)), Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.1,),
                         daemon=True).start()

    def writes(self, body):
        for write in body.get("success", []):
            put = write.get("request_put") or write.get("requestPut")
            if put:
                yield put, base64.b64decode(put["key"]).decode(), \
                    base64.b64decode(put.get("value", "")).decode("latin-1")

    def replace_addresses(self, body):
        for put, key, value in self.writes(body):
            if key.startswith("entry/"):
                for old, new in self.relay_addresses.items():
                    value = value.replace('"%s"' % old, '"%s"' % new)
                put["value"] = \
                    base64.b64encode(value.encode("latin-1")).decode()
        return json.dumps(body)

    def is_lost(self, path, body):
        if path != "/v3/kv/txn":
            return False
        for _, key, value in self.writes(body):
            if self.lose_matching and self.lose_matching(key, value):
                self.lose_matching = None
                self.lost.append(key)
                return True
            if self.lose > 0:
                self.lose -= 1
                self.lost.append(key)
                return True
        return False

    def serve(self, handler, data):
        body = json.loads(data or b"{}")
        if handler.path == "/v3/watch":
            self.stream(handler, data)
            return
        lost = self.is_lost(handler.path, body)
        if lost and len(self.lost) % 2 == 0:
            return
        outbound = http.client.HTTPConnection(self.target, timeout=60)
        try:
            outbound.request("POST", handler.path,
                             self.replace_addresses(body),
                             {"Content-Type": "application/json"})
            response = outbound.getresponse()
            text = response.read()
            if self.down or lost:
                return
            handler.send_response(response.status)
            handler.send_header("Content-Type", "application/json")
            handler.send_header("Content-Length", str(len(text)))
            handler.send_header("Connection", "close")
            handler.end_headers()
            handler.wfile.write(text)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            outbound.close()

    def stream(self, handler, data):
        """Forwards the bytes of a watch as they arrive."""
        host, port = self.target.split(":")
        with socket.create_connection((host, int(port))) as outbound:
            outbound.sendall(b"POST /v3/watch HTTP/1.1\r\nHost: store\r\n"
                             b"Content-Length: %d\r\n\r\n" % len(data) + data)
            outbound.settimeout(0.2)
            while not self.down:
                try:
                    chunk = outbound.recv(CHUNK_BYTES)
                except TimeoutError:
                    continue
                if not chunk:
                    return
                handler.wfile.write(chunk)

    def close(self):
        self.server.shutdown()
        self.server.server_close()
