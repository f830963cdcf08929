"""A TCP proxy on the loopback interface that injects faults."""

import asyncio
import threading

CHUNK_BYTES = 65536


class Link:
    """Forwards connections from listen to target with the set faults."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.delay_s = 0.0
        self.blocked = set()  # of "up" (to the target) and "down"
        self.connections = []  # pairs of writers
        self.muted = set()  # (connection, direction) whose data is discarded

    async def serve(self):
        host, port = self.listen.split(":")
        await asyncio.start_server(self.accept, host, int(port))

    async def accept(self, client_reader, client_writer):
        host, port = self.target.split(":")
        try:
            target_reader, target_writer = \
                await asyncio.open_connection(host, port)
        except OSError:
            client_writer.transport.abort()
            return
        pair = (client_writer, target_writer)
        self.connections.append(pair)
        try:
            await asyncio.gather(
                self.forward(client_reader, target_writer, "up", pair),
                self.forward(target_reader, client_writer, "down", pair))
        finally:
            self.connections.remove(pair)
            self.muted -= {(pair, "up"), (pair, "down")}
            client_writer.transport.abort()
            target_writer.transport.abort()

    async def forward(self, reader, writer, direction, pair):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while direction in self.blocked:
                    await asyncio.sleep(0.02)
                if (pair, direction) in self.muted:
                    continue
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()

    def reset(self):
        for pair in self.connections:
            for writer in pair:
                writer.transport.abort()

    def mute(self, directions=("up", "down")):
        self.muted |= {(pair, direction) for pair in self.connections
                       for direction in directions}

    def heal(self):
        self.delay_s = 0.0
        self.blocked = set()


class Proxy:
    """Runs all links in one thread; other threads use call_soon()."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.links = {}
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, name, listen, target):
        link = Link(listen, target)
        self.links[name] = link
        asyncio.run_coroutine_threadsafe(link.serve(), self.loop).result(5)

    def call_soon(self, call, *args):
        self.loop.call_soon_threadsafe(call, *args)

    async def finish(self):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def close(self):
        asyncio.run_coroutine_threadsafe(self.finish(), self.loop).result(5)
        self.call_soon(self.loop.stop)
