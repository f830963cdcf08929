"""A TCP proxy on the loopback interface that injects faults."""

import asyncio
import threading

CHUNK = 65536


class Link:
    """Passes connections to listen on to target, with the faults set."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.delay_s = 0.0
        self.cut = set()  # of "up" (to the target) and "down"
        self.connections = []  # pairs of writers
        self.muted = set()  # connections that are silent for good

    async def serve(self):
        host, port = self.listen.split(":")
        await asyncio.start_server(self.accept, host, int(port))

    async def accept(self, near_reader, near_writer):
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            near_writer.transport.abort()
            return
        pair = (near_writer, far_writer)
        self.connections.append(pair)
        try:
            await asyncio.gather(
                self.pump(near_reader, far_writer, "up", pair),
                self.pump(far_reader, near_writer, "down", pair))
        finally:
            self.connections.remove(pair)
            self.muted.discard(pair)
            near_writer.transport.abort()
            far_writer.transport.abort()

    async def pump(self, reader, writer, way, pair):
        try:
            while data := await reader.read(CHUNK):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while way in self.cut:
                    await asyncio.sleep(0.02)
                if pair in self.muted:
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

    def mute(self):
        self.muted |= set(self.connections)

    def heal(self):
        self.delay_s = 0.0
        self.cut = set()


class Proxy:
    """Runs all links in one thread; calls go through do()."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.links = {}
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, name, listen, target):
        link = Link(listen, target)
        self.links[name] = link
        asyncio.run_coroutine_threadsafe(link.serve(), self.loop).result(5)

    def do(self, call, *args):
        self.loop.call_soon_threadsafe(call, *args)

    async def finish(self):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def close(self):
        asyncio.run_coroutine_threadsafe(self.finish(), self.loop).result(5)
        self.do(self.loop.stop)
