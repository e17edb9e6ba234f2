"""A stand-in discovery: one port a node, so that it knows whom it tells; steered by lines on its standard input.

usage: discovery.py FOLDER PORTS-AND-ADDRESSES-AS-JSON

Lines: {"do": "entry", "engine": NAME, "status": STATUS, "since_ms": N} | {"do": "silent", "for": SECONDS} |
{"do": "reset"} | {"do": "down", "for": SECONDS}
"""

import asyncio
import json
import sys
import time

from wire import STREAM_HEAD, EventLog, chunk, read_message

LIFE_EVERY = 0.5  # seconds between two empty lines


class Discovery:
    def __init__(self, folder, plan):
        self.log = EventLog(folder, "discovery")
        self.plan = plan  # {"nodes": {node: port}, "entries": {engine: entry}, "addresses": {node: {engine: address}}}
        self.entries = plan["entries"]
        self.index = 1
        self.watches = {}  # writer -> node
        self.untold = set()  # watches that were opened while discovery was silent
        self.silent_until = self.down_until = 0

    def list_for(self, node, names, full):
        addresses = self.plan["addresses"][node]
        endpoints = [{**self.entries[name], "name": name, "address": addresses[name]} for name in names]
        return json.dumps({"index": self.index, "snapshot": full, "endpoints": endpoints}).encode() + b"\n"

    async def serve(self, node, reader, writer):
        try:
            if time.monotonic() < self.down_until:
                raise ConnectionError
            await read_message(reader)
            writer.write(STREAM_HEAD)
            self.watches[writer] = node
            self.untold.add(writer)
            self.tell_untold()
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.watches.pop(writer, None)
            self.untold.discard(writer)
            writer.transport.abort()

    def tell_untold(self):
        if time.monotonic() < self.silent_until:
            return
        for writer in list(self.untold):
            self.tell(writer, self.watches[writer], list(self.entries), True)
        self.untold.clear()

    def tell(self, writer, node, names, full):
        names = [name for name in names if not (full and self.entries[name]["status"] == "removed")]
        writer.write(chunk(self.list_for(node, names, full)))
        for name in names:
            self.log.write("told", node=node, engine=name, status=self.entries[name]["status"])

    def do(self, order):
        now = time.monotonic()
        if order["do"] == "entry":
            self.index += 1
            self.entries[order["engine"]].update(status=order["status"], since_ms=order["since_ms"])
            for writer, node in list(self.watches.items()):
                if writer not in self.untold:
                    self.tell(writer, node, [order["engine"]], False)
        elif order["do"] == "silent":  # the open ones stay silent for good: they have to be opened anew
            self.watches.clear()
            self.untold.clear()
            self.silent_until = now + order["for"]
        elif order["do"] == "reset":
            for writer in list(self.watches):
                writer.transport.abort()
        elif order["do"] == "down":
            self.down_until = now + order["for"]
            for writer in list(self.watches):
                writer.transport.abort()

    async def life(self):
        while True:
            await asyncio.sleep(LIFE_EVERY)
            self.tell_untold()
            for writer in list(self.watches):
                if time.monotonic() >= self.silent_until:
                    writer.write(chunk(b"\n"))


async def main(folder, plan):
    discovery = Discovery(folder, json.loads(plan))
    for node, port in discovery.plan["nodes"].items():
        await asyncio.start_server(lambda r, w, node=node: discovery.serve(node, r, w), "127.0.0.1", port)
    discovery.log.write("up")
    asyncio.create_task(discovery.life())
    orders = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(orders), sys.stdin)
    while line := await orders.readline():
        discovery.do(json.loads(line))


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
