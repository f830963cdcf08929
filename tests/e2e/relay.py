"""Links between processes that a test can cut: raw TCP, and to the store."""

import base64
import http.client
import http.server
import json
import re
import socket
import threading

IDENTITY = re.compile(rb"Identity\0\0\0(.)", re.S)
CHUNK = 65536


class Relay:
    """Passes connections of agents on to an entry.

    A connection is known by the ZeroMQ routing id that its first frames
    carry, which begins with the agent's id. A cut holds all bytes back, so
    that what was on its way arrives late, as it would over TCP. moved maps
    the addresses of entries to those of their relays; entries tell agents the
    former ones, which are replaced on the way.
    """

    def __init__(self, address, target, moved):
        host, port = address.split(":")
        self.address = address
        self.target = target
        self.moved = moved
        self.cut = set()
        self.cut_to_agents = set()
        self.changed = threading.Condition()
        self.closed = False
        self.sockets = []
        self.listener = socket.create_server((host, int(port)))
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near = self.listener.accept()[0]
            except OSError:
                return
            try:
                host, port = self.target.split(":")
                far = socket.create_connection((host, int(port)))
            except OSError:
                near.close()
                continue
            link = {"peer": None}
            self.sockets += [near, far]
            for source, sink, first in ((near, far, True),
                                        (far, near, False)):
                threading.Thread(target=self.pump, daemon=True,
                                 args=(source, sink, link, first)).start()

    def pump(self, source, sink, link, is_agent):
        head = b""
        try:
            while True:
                data = source.recv(CHUNK)
                if not data:
                    break
                if is_agent:
                    head = self.find_peer(head, data, link)
                else:
                    data, head = self.replace(head + data)
                with self.changed:
                    self.changed.wait_for(
                        lambda: self.closed or not self.is_cut(
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
    def find_peer(head, data, link):
        if link["peer"]:
            return b""
        head += data
        found = IDENTITY.search(head)
        if found:
            at = found.end()
            link["peer"] = head[at:at + found[1][0]].decode("latin-1")
        return head

    def replace(self, data):
        """Returns what can be passed on and what may be half an address."""
        for old, new in self.moved.items():
            if len(old) == len(new):
                data = data.replace(old.encode(), new.encode())
        keep = 0
        for old in self.moved:
            for size in range(1, len(old)):
                if size > keep and data.endswith(old[:size].encode()):
                    keep = size
        return (data[:-keep], data[-keep:]) if keep else (data, b"")

    def is_cut(self, peer, is_agent):
        names = self.cut if is_agent else self.cut | self.cut_to_agents
        return any(peer is None or peer.startswith(name) for name in names)

    def set_cut(self, *names, to_agents=False):
        """Cuts agents with these names off, or only what is sent to them."""
        with self.changed:
            self.cut = set(() if to_agents else names)
            self.cut_to_agents = set(names if to_agents else ())
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
    """One entry's way to the store.

    down: no connection passes. lose: so many answers to writes are lost, in
    turn after and before their effect. lose_next: a predicate on the key and
    value of a write whose answer is lost; it stays until it is met. moved: addresses that are
    replaced in the registrations of entries, so that agents come through
    relays.
    """

    def __init__(self, address, target):
        link = self
        self.target = target
        self.down = False
        self.lose = 0
        self.lose_next = None
        self.lost = []
        self.moved = {}

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

    def rewrite(self, body):
        for put, key, value in self.writes(body):
            if key.startswith("entry/"):
                for old, new in self.moved.items():
                    value = value.replace('"%s"' % old, '"%s"' % new)
                put["value"] = base64.b64encode(value.encode("latin-1")).decode()
        return json.dumps(body)

    def is_lost(self, path, body):
        if path != "/v3/kv/txn":
            return False
        for _, key, value in self.writes(body):
            if self.lose_next and self.lose_next(key, value):
                self.lose_next = None
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
        far = http.client.HTTPConnection(self.target, timeout=60)
        try:
            far.request("POST", handler.path, self.rewrite(body),
                        {"Content-Type": "application/json"})
            answer = far.getresponse()
            text = answer.read()
            if self.down or lost:
                return
            handler.send_response(answer.status)
            handler.send_header("Content-Type", "application/json")
            handler.send_header("Content-Length", str(len(text)))
            handler.send_header("Connection", "close")
            handler.end_headers()
            handler.wfile.write(text)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            far.close()

    def stream(self, handler, data):
        """A watch: bytes are passed on as they come."""
        host, port = self.target.split(":")
        with socket.create_connection((host, int(port))) as far:
            far.sendall(b"POST /v3/watch HTTP/1.1\r\nHost: store\r\n"
                        b"Content-Length: %d\r\n\r\n" % len(data) + data)
            far.settimeout(0.2)
            while not self.down:
                try:
                    part = far.recv(CHUNK)
                except TimeoutError:
                    continue
                if not part:
                    return
                handler.wfile.write(part)

    def close(self):
        self.server.shutdown()
        self.server.server_close()
