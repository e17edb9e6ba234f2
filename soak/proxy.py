"""A fault proxy between nodes and engines: one port for each pair, so that its log tells who sent what to whom, on
the node's side of every fault. Steered by lines on its standard input.

usage: proxy.py FOLDER NAME ROUTES-AS-JSON         routes: [[node, engine, port, engine's port], ...]

Lines: {"engine": NAME, "mode": "pass" | "hold" | "reset" | "slow"}. "hold" keeps open connections silent and lets
new ones fall silent; "slow" delays what is sent; "reset" resets what is open, once.
"""

import asyncio
import json
import re
import sys

from wire import EventLog

SLOW = 0.15  # seconds that a piece is held up
REQUEST = re.compile(rb"(POST|DELETE) (\S+) HTTP/1\.1\r\n(?:[^\r]*\r\n)*?X-Call-Id: ([^\r]+)", re.IGNORECASE)


class Proxy:
    def __init__(self, folder, name):
        self.log = EventLog(folder, name)
        self.modes, self.open = {}, {}

    async def serve(self, node, engine, port, reader, writer):
        try:
            behind = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            return writer.transport.abort()
        pair = (writer, behind[1])
        self.open.setdefault(engine, set()).add(pair)
        here = f"{node}>{engine}"
        there = asyncio.create_task(self.copy(engine, reader, behind[1], here))
        back = asyncio.create_task(self.copy(engine, behind[0], writer, None))
        await asyncio.wait({there, back}, return_when=asyncio.FIRST_COMPLETED)
        if there.done():
            self.log.write("node_closed", pair=here, port=id(writer))
        else:
            await asyncio.sleep(0.01)  # what the engine sent last
        there.cancel()
        back.cancel()
        for end in pair:
            end.close()
        self.open[engine].discard(pair)

    async def copy(self, engine, source, target, here):
        try:
            while data := await source.read(1 << 16):
                if here is not None:
                    for method, _, request_id in REQUEST.findall(data):
                        self.log.write("sent", pair=here, id=request_id.decode(), method=method.decode())
                while self.modes.get(engine) == "hold":
                    await asyncio.sleep(0.02)
                    if source.at_eof():  # given up meanwhile: a connection over a cut link is reset at its return
                        return
                if self.modes.get(engine) == "slow":
                    await asyncio.sleep(SLOW)
                target.write(data)
                await target.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass

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
