"""Simulated clients in one process. Most complete their requests; some disconnect early, write slowly, or send part
of a request and keep the connection open. Each request and its outcome are logged.

usage: client.py FOLDER NAME NODES-AS-JSON SECONDS SEED BUDGETS-MS-AS-JSON
"""

import asyncio
import json
import random
import sys
import time

from wire import DONE, EventLog

CLASSES = [("chat", 0.6), ("keyed", 0.2), ("pay", 0.2)]
CONCURRENT_REQUESTS = 8  # requests that one client process keeps in flight
WAIT_AFTER_DEADLINE = 3.0  # seconds that a client waits after its deadline, to tell a late response from a missing one


class Client:
    """Sends requests to random nodes until its end time, and logs them and their outcomes."""

    def __init__(self, folder, name, nodes, seconds, seed, budgets):
        self.log = EventLog(folder, name)
        self.name, self.nodes = name, nodes
        self.end = time.monotonic() + float(seconds)
        self.random = random.Random(int(seed))
        self.budgets = budgets
        self.count = 0

    def encode_request(self, request_id, cls, budget):
        body = b'{"messages":[]}'
        return (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Call-Id: {request_id}\r\nX-Call-Class: {cls}\r\n"
            f"X-Route-Hash: {self.random.getrandbits(64):016x}\r\nX-Budget-Ms: {budget}\r\n"
            f"X-Call-Info: prompt_len={self.random.randrange(50, 4000)},max_out=80\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    async def run(self):
        await asyncio.gather(
            *(self.send_requests() for _ in range(CONCURRENT_REQUESTS)), self.send_incomplete_requests()
        )

    async def send_requests(self):
        connection, node = None, None
        while time.monotonic() < self.end:
            await asyncio.sleep(self.random.uniform(0, 0.2))
            fresh = connection is None
            if fresh:
                node = self.random.choice(list(self.nodes))
                try:
                    connection = await asyncio.open_connection("127.0.0.1", self.nodes[node])
                except OSError:
                    connection = None
                    await asyncio.sleep(0.1)
                    continue
            if not await self.send_request(node, connection, fresh):
                connection[1].transport.abort()
                connection = None

    async def send_request(self, node, connection, fresh):
        """Sends one request. Returns True if its connection can be reused."""
        reader, writer = connection
        self.count += 1
        request_id = f"{self.name}-{self.count}"
        cls = self.random.choices([c for c, _ in CLASSES], [w for _, w in CLASSES])[0]
        budget = self.random.choice(self.budgets)
        data = self.encode_request(request_id, cls, budget)
        try:
            if self.random.random() < 0.1:  # send it in two pieces
                cut = self.random.randrange(1, len(data))
                writer.write(data[:cut])
                await asyncio.sleep(self.random.uniform(0, 0.1))
                data = data[cut:]
            writer.write(data)
            await writer.drain()
        except ConnectionError:
            return False
        sent = time.monotonic()
        self.log.write("requested", id=request_id, node=node, cls=cls, budget=budget, fresh=fresh)
        timeout = budget / 1000 + WAIT_AFTER_DEADLINE
        if self.random.random() < 0.1:
            timeout = self.random.uniform(0, 0.3)
        try:
            return await asyncio.wait_for(self.read_response(request_id, reader), timeout)
        except asyncio.TimeoutError:
            writer.transport.abort()
            self.log.write("disconnected", id=request_id, after=time.monotonic() - sent)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
            self.log.write("broken_off", id=request_id, why=type(error).__name__)
        return False

    async def read_response(self, request_id, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ", 2)[1])
        closes = "connection: close" in head.lower()
        if "chunked" not in head.lower():
            length = int(head.lower().split("content-length:")[1].split("\r\n")[0])
            await reader.readexactly(length)
            self.log.write("responded", id=request_id, status=status)
            return not closes
        self.log.write("started", id=request_id)
        body = b""
        while (size := int(await reader.readline(), 16)) > 0:
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        self.log.write("responded", id=request_id, status=status, right=self.is_complete_stream(request_id, body))
        return not closes

    @staticmethod
    def is_complete_stream(request_id, body):
        """Whether the stream contains all events of this request, from one engine, in order, and the end marker."""
        events = [e for e in body.split(b"\n\n") if e]
        if not events or events[-1] + b"\n\n" != DONE:
            return False
        events_sent = [json.loads(e[len(b"data: ") :]) for e in events[:-1]]
        return [e["index"] for e in events_sent] == list(range(len(events_sent))) and all(
            e["id"] == request_id for e in events_sent
        )

    async def send_incomplete_requests(self):
        """Sends part of a request and measures how long the node keeps the connection open, up to 6 s."""
        while time.monotonic() < self.end:
            await asyncio.sleep(self.random.uniform(0.3, 1))
            node = self.random.choice(list(self.nodes))
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.nodes[node])
            except OSError:  # the node is down: there is no connection to measure
                continue
            stopped = time.monotonic()
            try:
                data = self.encode_request("half", "chat", 1000)
                writer.write(data[: self.random.randrange(1, len(data))])
                await asyncio.wait_for(reader.read(), 6)
            except (OSError, asyncio.TimeoutError):
                pass
            self.log.write("half", node=node, took=time.monotonic() - stopped)
            writer.close()


async def main(folder, name, nodes, seconds, seed, budgets):
    client = Client(folder, name, json.loads(nodes), seconds, seed, json.loads(budgets))
    await client.run()
    client.log.write("done")


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
