"""A fault proxy between nodes and engines: one port for each pair, so that its log tells who sent what to whom, on
the node's side of every fault. Steered by lines on its standard input.

usage: proxy.py FOLDER NAME ROUTES-AS-JSON         routes: [[node, engine, port, engine's port], ...]

Lines: {"engine": NAME, "mode": "pass" | "hold" | "deaf" | "mute" | "reset" | "slow"}. "hold" keeps open connections
silent and lets new ones fall silent, "deaf" only what nodes send, "mute" only what the engine answers; "slow" delays
what is sent; "reset" resets what is open, once. A connection that its node closes over a silent path is closed
towards its engine when the path is back.
"""

import asyncio
import json
import re
import sys

from wire import EventLog

POLL = 0.02  # seconds between two looks at whether a path is back
SLOW = 0.15  # seconds that a piece is held up
HEAD = re.compile(rb"(POST|DELETE) \S+ HTTP/1\.1\r\n((?:[^\r]+\r\n)*)\r\n")
CALL_ID = re.compile(rb"^X-Call-Id: ([^\r]+)\r", re.IGNORECASE | re.MULTILINE)
BUDGET = re.compile(rb"^X-Budget-Ms: (\d+)\r", re.IGNORECASE | re.MULTILINE)
MOST_HEAD = 4096  # bytes in which a request's id is looked for


class Route:
    """One connection: whose it is, and the request it carried last."""

    def __init__(self, pair, engine):
        self.pair, self.engine, self.request = pair, engine, None
        self.unread = b""  # the end of what its node has sent: a head may come in pieces


class Proxy:
    def __init__(self, folder, name):
        self.log = EventLog(folder, name)
        self.modes, self.open = {}, {}

    async def serve(self, node, engine, port, reader, writer):
        route = Route(f"{node}>{engine}", engine)
        connecting = asyncio.create_task(asyncio.open_connection("127.0.0.1", port))
        there = asyncio.create_task(self.copy_to_engine(reader, connecting, route))
        try:
            behind = await connecting
        except OSError:
            there.cancel()
            return writer.transport.abort()
        pair = (writer, behind[1])
        self.open.setdefault(engine, set()).add(pair)
        back = asyncio.create_task(self.copy_to_node(behind[0], writer, route))
        await asyncio.wait({there, back}, return_when=asyncio.FIRST_COMPLETED)
        while not there.done() and self.silent(engine, "mute"):  # its engine's close does not arrive
            await asyncio.sleep(POLL)
        if not there.done():
            await asyncio.sleep(0.01)  # what the engine sent last
        back.cancel()
        writer.close()
        while there.done() and self.silent(engine, "deaf"):  # nor does the close arrive
            await asyncio.sleep(POLL)
        there.cancel()
        behind[1].close()
        self.open[engine].discard(pair)

    def silent(self, engine, one_way):
        return self.modes.get(engine) in ("hold", one_way)

    async def copy_to_engine(self, source, connecting, route):
        """Passes on what a node sends, once its engine takes connections (one that stands still may take none for a
        second). It is noted when it is sent, not when it arrives."""
        try:
            while data := await source.read(1 << 16):
                self.note(data, route)
                while self.silent(route.engine, "deaf") or not connecting.done():
                    more = await self.read_within(source, POLL)
                    if more == b"":  # its node has closed it: nothing of this arrives
                        return
                    if more:
                        self.note(more, route)
                        data += more
                if self.modes.get(route.engine) == "slow":
                    await asyncio.sleep(SLOW)
                _, engine = connecting.result()
                engine.write(data)
                await engine.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.log.write("node_closed", pair=route.pair, **({"id": route.request} if route.request else {}))

    async def copy_to_node(self, source, node, route):
        """Passes on what an engine answers."""
        try:
            while data := await source.read(1 << 16):
                while self.silent(route.engine, "mute"):
                    await asyncio.sleep(POLL)
                if self.modes.get(route.engine) == "slow":
                    await asyncio.sleep(SLOW)
                node.write(data)
                if route.request:
                    self.log.write("passed", pair=route.pair, id=route.request)
                await node.drain()
        except (OSError, asyncio.CancelledError):
            pass

    @staticmethod
    async def read_within(source, seconds):
        """What has come by then: None where nothing has, no bytes at the end."""
        try:
            return await asyncio.wait_for(source.read(1 << 16), seconds)
        except asyncio.TimeoutError:
            return None

    def note(self, data, route):
        unread, seen = route.unread + data, 0
        for head in HEAD.finditer(unread):
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
        route.unread = unread[seen:][-MOST_HEAD:]

    def do(self, order):
        engine, mode = order["engine"], order["mode"]
        self.log.write("mode", engine=engine, mode=mode)
        if mode != "reset":
            self.modes[engine] = mode
            return
        for pair in list(self.open.get(engine, ())):
            for end in pair:
                end.transport.abort()


async def main(folder, name, routes):
    proxy = Proxy(folder, name)
    for node, engine, port, behind in json.loads(routes):
        handler = lambda r, w, n=node, e=engine, b=behind: proxy.serve(n, e, b, r, w)  # noqa: E731
        await asyncio.start_server(handler, "127.0.0.1", port)
    proxy.log.write("up")
    orders = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(orders), sys.stdin)
    while line := await orders.readline():
        proxy.do(json.loads(line))


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
