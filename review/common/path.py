"""The network between a node and an engine: a proxy that can fall silent in both directions, and back."""

import asyncio

import wire


class Path:
    """Forwards every connection to the engine. While it is silent, bytes and ends wait, and nothing is reset."""

    def __init__(self, engine_address):
        self.engine_address, self.address = engine_address, None
        self.passing = asyncio.Event()
        self.passing.set()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, node_reader, node_writer):
        try:
            await self.passing.wait()
            engine_reader, engine_writer = await wire.connect(self.engine_address)
            await asyncio.gather(self.copy(node_reader, engine_writer), self.copy(engine_reader, node_writer))
        except (OSError, asyncio.CancelledError):
            pass

    async def copy(self, source, target):
        try:
            while data := await source.read(1 << 16):
                await self.passing.wait()
                target.write(data)
                await target.drain()
        except OSError:
            pass
        await self.passing.wait()
        target.close()

    async def fall_silent(self, seconds):
        self.passing.clear()
        await asyncio.sleep(seconds)
        self.passing.set()
