"""A link to the store that takes its time, as between two regions."""

import socket
import threading
import time

from rig import free_address


class Link:
    """Forwards connections; each byte arrives one_way_s later, in order."""

    def __init__(self, target, one_way_s):
        self.target = target
        self.one_way_s = one_way_s
        self.address = free_address()
        host, port = self.address.split(":")
        self.listener = socket.create_server((host, int(port)), backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            inbound = self.listener.accept()[0]
            try:
                host, port = self.target.split(":")
                outbound = socket.create_connection((host, int(port)))
            except OSError:
                inbound.close()
                continue
            for end in (inbound, outbound):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.forward(inbound, outbound)
            self.forward(outbound, inbound)

    def forward(self, source, sink):
        pieces, added = [], threading.Condition()

        def receive():
            data = b" "
            while data:
                try:
                    data = source.recv(65536)
                except OSError:
                    data = b""
                with added:
                    pieces.append((time.monotonic() + self.one_way_s, data))
                    added.notify()

        def send():
            data = b" "
            while data:
                with added:
                    added.wait_for(lambda: pieces)
                    due, data = pieces.pop(0)
                time.sleep(max(0, due - time.monotonic()))
                try:
                    if data:
                        sink.sendall(data)
                    else:
                        sink.shutdown(socket.SHUT_WR)
                except OSError:
                    return

        for run in (receive, send):
            threading.Thread(target=run, daemon=True).start()
