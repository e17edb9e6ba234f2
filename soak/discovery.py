"""A simulated discovery service. Each node connects to its own port, which tells the log which node was notified.
Commands are read from standard input, one JSON object per line.

usage: discovery.py FOLDER PORTS-AND-ADDRESSES-AS-JSON

Commands: {"do": "entry", "engine": NAME, "status": STATUS, "since_ms": N} | {"do": "silent", "for": SECONDS} |
{"do": "reset"} | {"do": "down", "for": SECONDS}
"""

import asyncio
import json
import sys
import time

from wire import STREAM_HEAD, EventLog, chunk, read_message

KEEPALIVE_INTERVAL = 0.5  # seconds; a keepalive is an empty line


class Discovery:
    """Serves the engine list to the nodes' watches, and logs each status that a node was notified of."""

    def __init__(self, folder, plan):
        self.log = EventLog(folder, "discovery")
        self.plan = plan  # {"nodes": {node: port}, "entries": {engine: entry}, "addresses": {node: {engine: address}}}
        self.entries = plan["entries"]
        self.index = 1
        self.watches = {}  # writer -> node
        self.pending = set()  # watches that still have to receive their first snapshot
        self.silent_until = self.down_until = 0

    def encode_engine_list(self, node, names, full):
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
            self.pending.add(writer)
            self.notify_pending()
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.watches.pop(writer, None)
            self.pending.discard(writer)
            writer.transport.abort()

    def notify_pending(self):
        if time.monotonic() < self.silent_until:
            return
        for writer in list(self.pending):
            self.notify(writer, self.watches[writer], list(self.entries), True)
        self.pending.clear()

    def notify(self, writer, node, names, full):
        names = [name for name in names if not (full and self.entries[name]["status"] == "removed")]
        writer.write(chunk(self.encode_engine_list(node, names, full)))
        for name in names:
            self.log.write("notified", node=node, engine=name, status=self.entries[name]["status"])

    def execute(self, command):
        now = time.monotonic()
        if command["do"] == "entry":
            self.index += 1
            self.entries[command["engine"]].update(status=command["status"], since_ms=command["since_ms"])
            for writer, node in list(self.watches.items()):
                if writer not in self.pending:
                    self.notify(writer, node, [command["engine"]], False)
        elif command["do"] == "silent":  # open watches get nothing any more; nodes have to open new ones
            self.watches.clear()
            self.pending.clear()
            self.silent_until = now + command["for"]
        elif command["do"] == "reset":
            for writer in list(self.watches):
                writer.transport.abort()
        elif command["do"] == "down":
            self.down_until = now + command["for"]
            for writer in list(self.watches):
                writer.transport.abort()

    async def send_keepalives(self):
        while True:
            await asyncio.sleep(KEEPALIVE_INTERVAL)
            self.notify_pending()
            for writer in list(self.watches):
                if time.monotonic() >= self.silent_until:
                    writer.write(chunk(b"\n"))


async def main(folder, plan):
    discovery = Discovery(folder, json.loads(plan))
    for node, port in discovery.plan["nodes"].items():
        await asyncio.start_server(lambda r, w, node=node: discovery.serve(node, r, w), "127.0.0.1", port)
    discovery.log.write("up")
    asyncio.create_task(discovery.send_keepalives())
    commands = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    while line := await commands.readline():
        discovery.execute(json.loads(line))


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
