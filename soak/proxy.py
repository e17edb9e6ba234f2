"""A fault proxy between nodes and engines. Each pair of node and engine has its own port, so that the log names both;
a request is logged when the node sends it, before any fault of the proxy. Commands are read from standard input, one
JSON object per line.

usage: proxy.py FOLDER NAME ROUTES-AS-JSON         routes: [[node, engine, port, engine's port], ...]

Commands: {"engine": NAME, "mode": "pass" | "hold" | "deaf" | "mute" | "reset" | "slow"}. "pass" forwards all data.
"hold" forwards nothing on open and new connections, "deaf" nothing from nodes to the engine, "mute" nothing from the
engine to nodes. "slow" delays data in both directions. "reset" resets the open connections once and keeps the mode. If
a node closes a connection while its data to the engine is held back, the engine's side is closed once the path
forwards data again.
"""

import asyncio
import json
import re
import sys

from wire import EventLog

POLL_INTERVAL = 0.02  # seconds between two checks whether the mode of a path allows data to be forwarded again
SLOW_DELAY = 0.15  # seconds by which each piece of data is delayed
REQUEST_HEAD = re.compile(rb"(POST|DELETE) \S+ HTTP/1\.1\r\n((?:[^\r]+\r\n)*)\r\n")
CALL_ID = re.compile(rb"^X-Call-Id: ([^\r]+)\r", re.IGNORECASE | re.MULTILINE)
BUDGET = re.compile(rb"^X-Budget-Ms: (\d+)\r", re.IGNORECASE | re.MULTILINE)
MAX_REQUEST_HEAD = 4096  # bytes of unparsed data that are kept in order to find the end of a request head


class Route:
    """One connection: its node and engine, and the ID of its latest request."""

    def __init__(self, pair, engine):
        self.pair, self.engine, self.request = pair, engine, None
        self.unparsed = b""  # data from the node after the last complete request head


class Proxy:
    """Forwards connections between nodes and engines in the current mode of each engine."""

    def __init__(self, folder, name):
        self.log = EventLog(folder, name)
        self.modes, self.open_connections = {}, {}

    async def serve(self, node, engine, port, reader, writer):
        route = Route(f"{node}>{engine}", engine)
        connecting = asyncio.create_task(asyncio.open_connection("127.0.0.1", port))
        to_engine = asyncio.create_task(self.copy_to_engine(reader, connecting, route))
        try:
            upstream = await connecting
        except OSError:
            to_engine.cancel()
            return writer.transport.abort()
        pair = (writer, upstream[1])
        self.open_connections.setdefault(engine, set()).add(pair)
        to_node = asyncio.create_task(self.copy_to_node(upstream[0], writer, route))
        await asyncio.wait({to_engine, to_node}, return_when=asyncio.FIRST_COMPLETED)
        while not to_engine.done() and self.is_silenced(engine, "mute"):  # the node must not see that the engine closed
            await asyncio.sleep(POLL_INTERVAL)
        if not to_engine.done():
            await asyncio.sleep(0.01)  # lets the engine's last data pass
        to_node.cancel()
        writer.close()
        while to_engine.done() and self.is_silenced(engine, "deaf"):  # the engine must not see that the node closed
            await asyncio.sleep(POLL_INTERVAL)
        to_engine.cancel()
        upstream[1].close()
        self.open_connections[engine].discard(pair)

    def is_silenced(self, engine, one_way_mode):
        return self.modes.get(engine) in ("hold", one_way_mode)

    async def copy_to_engine(self, source, connecting, route):
        """Forwards data from a node to the engine once the connection to the engine is established. This may take a
        second if the engine's process is stopped. Requests are logged when the node sends them, not on arrival."""
        try:
            while data := await source.read(1 << 16):
                self.log_requests(data, route)
                while self.is_silenced(route.engine, "deaf") or not connecting.done():
                    more = await self.read_with_timeout(source, POLL_INTERVAL)
                    if more == b"":  # the node closed the connection: the held data is dropped
                        return
                    if more:
                        self.log_requests(more, route)
                        data += more
                if self.modes.get(route.engine) == "slow":
                    await asyncio.sleep(SLOW_DELAY)
                _, engine = connecting.result()
                engine.write(data)
                await engine.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.log.write("node_closed", pair=route.pair, **({"id": route.request} if route.request else {}))

    async def copy_to_node(self, source, node, route):
        """Forwards data from the engine to the node."""
        try:
            while data := await source.read(1 << 16):
                while self.is_silenced(route.engine, "mute"):
                    await asyncio.sleep(POLL_INTERVAL)
                if self.modes.get(route.engine) == "slow":
                    await asyncio.sleep(SLOW_DELAY)
                node.write(data)
                if route.request:
                    self.log.write("passed", pair=route.pair, id=route.request)
                await node.drain()
        except (OSError, asyncio.CancelledError):
            pass

    @staticmethod
    async def read_with_timeout(source, seconds):
        """Reads data: None if none arrived within `seconds`, an empty value at the end of the connection."""
        try:
            return await asyncio.wait_for(source.read(1 << 16), seconds)
        except asyncio.TimeoutError:
            return None

    def log_requests(self, data, route):
        unparsed, seen = route.unparsed + data, 0
        for head in REQUEST_HEAD.finditer(unparsed):
            seen = head.end()
            request_id = CALL_ID.search(head.group(2))
            if request_id is None:
                continue
            route.request = request_id.group(1).decode()
            budget = BUDGET.search(head.group(2))
            self.log.write(
                "sent",
                pair=route.pair,
                id=route.request,
                method=head.group(1).decode(),
                **({"budget": int(budget.group(1))} if budget else {}),
            )
        route.unparsed = unparsed[seen:][-MAX_REQUEST_HEAD:]

    def execute(self, command):
        engine, mode = command["engine"], command["mode"]
        self.log.write("mode", engine=engine, mode=mode)
        if mode != "reset":
            self.modes[engine] = mode
            return
        for pair in list(self.open_connections.get(engine, ())):
            for end in pair:
                end.transport.abort()


async def main(folder, name, routes):
    proxy = Proxy(folder, name)
    for node, engine, port, upstream in json.loads(routes):
        handler = lambda r, w, n=node, e=engine, b=upstream: proxy.serve(n, e, b, r, w)  # noqa: E731
        await asyncio.start_server(handler, "127.0.0.1", port)
    proxy.log.write("up")
    commands = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    while line := await commands.readline():
        proxy.execute(json.loads(line))


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
