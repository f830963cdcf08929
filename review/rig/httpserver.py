"""HTTP/1.1 server with JSON bodies, a thread for each connection."""

import collections
import http.server
import json
import socket
import threading

Request = collections.namedtuple("Request", "method path headers body")


class JsonServer:
    """Answers with what handle(Request) returns: (status, object), or None
    for no response: then the connection returns nothing further."""

    def __init__(self, address, handle):
        host, port = address.split(":")
        server = self
        self.generation = 0
        self.connections = set()

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def setup(self):
                super().setup()
                self.generation = server.generation
                server.connections.add(self.connection)

            def finish(self):
                server.connections.discard(self.connection)
                super().finish()

            def answer(self):
                length = int(self.headers.get("Content-Length", 0))
                text = self.rfile.read(length)
                body = json.loads(text) if text else None
                result = None
                if self.generation == server.generation:
                    result = handle(Request(self.command, self.path,
                                            self.headers, body))
                if result is None or self.generation != server.generation:
                    self.wait_for_close()
                    return
                status, value = result
                data = json.dumps(value).encode()
                self.wfile.write(
                    b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(data)) +
                    data)

            def wait_for_close(self):
                self.close_connection = True
                try:
                    while self.connection.recv(4096):
                        pass
                except OSError:
                    pass

            do_GET = do_POST = do_DELETE = answer

            def log_message(self, *args):
                pass

        class Server(http.server.ThreadingHTTPServer):
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass  # peers may reset their connections

        server.http = Server((host, int(port)), Handler)
        threading.Thread(target=server.http.serve_forever,
                         daemon=True).start()

    def silence_connections(self):
        """Open connections return nothing further and are not closed."""
        self.generation += 1

    def close(self):
        """Stops listening and closes all connections."""
        self.silence_connections()
        self.http.shutdown()
        self.http.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # the peer has closed it
