"""Engines and clients of a case. An engine reads a prompt or writes an answer as the protocol page says."""

import asyncio
import itertools
import json

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
RELEASED = b"HTTP/1.1 204 No Content\r\n\r\n"
GONE = b"HTTP/1.1 410 Gone\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
READ = b'HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n{"cached_tokens": 0}'
NO_PLACE = b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"


async def read_message(reader):
    """One message with a Content-Length: its first line, its fields by lower-case name, its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", 0))
    return head[0], fields, await reader.readexactly(length) if length else b""


class Fleet:
    """Engines on ports of their own. `read_time`: seconds of a read; `events`, `pause`: of an answer."""

    FIRST_TOKEN = 0.05  # seconds from a writer's request to its first event

    def __init__(self, record, read_time=0.05, events=5, pause=0.05):
        self.record, self.read_time, self.events, self.pause = record, read_time, events, pause
        self.roles = {}
        self.states = {}  # request: reader that holds its state
        self.attempts = []  # (time, engine, role, request, told milliseconds)
        self.servers = {}
        self.connections = {}  # engine: its open connections

    async def add(self, name, role, port):
        self.roles[name] = role
        self.connections[name] = set()
        self.servers[name] = await asyncio.start_server(lambda r, w: self.serve(name, r, w), "127.0.0.1", port)

    def end(self, name):
        """The engine's process ends: its connections are reset and new ones are refused."""
        self.servers[name].close()
        self.record.write("engine ends", engine=name, connections=len(self.connections[name]))
        for writer in self.connections[name]:
            writer.transport.abort()

    async def serve(self, name, reader, writer):
        self.connections[name].add(writer)
        try:
            while True:
                line, fields, _ = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                if target.startswith("/kv/leases/"):
                    await self.lease(name, method, target.rsplit("/", 1)[1], writer)
                    continue
                if not await self.attempt(name, fields, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections[name].discard(writer)
            writer.close()

    async def lease(self, name, method, request, writer):
        self.record.write("lease call", engine=name, method=method, request=request)
        if method == "DELETE":
            self.states.pop(request, None)
        writer.write(RELEASED if method == "DELETE" else NO_PLACE)

    async def attempt(self, name, fields, reader, writer):
        """Runs one attempt; it stops once its connection has ended. Returns whether the connection can be used on."""
        request, told = fields["x-call-id"], int(fields["x-budget-ms"])
        role = self.roles[name]
        now = self.record.write("attempt", engine=name, role=role, request=request, told_ms=told)
        self.attempts.append((now, name, role, request, told))
        ended = asyncio.create_task(reader.read(1))
        answer = asyncio.create_task(
            self.read(name, request, writer) if role == "prefill" else self.write(name, request, writer)
        )
        await asyncio.wait({ended, answer}, return_when=asyncio.FIRST_COMPLETED)
        if not answer.done():
            answer.cancel()
            await asyncio.gather(ended, answer, return_exceptions=True)
            self.record.write("given up", engine=name, request=request)
            return False
        ended.cancel()
        await asyncio.gather(ended, return_exceptions=True)
        answer.result()
        return True

    async def read(self, name, request, writer):
        await asyncio.sleep(self.read_time)
        self.states[request] = name
        writer.write(READ)
        self.record.write("read", engine=name, request=request)

    async def write(self, name, request, writer):
        if self.states.pop(request, None) is None:
            writer.write(GONE)
            return
        await asyncio.sleep(self.FIRST_TOKEN)
        writer.write(STREAM_HEAD)
        for number in range(self.events):
            self.send_event(writer, request, number)
            await asyncio.sleep(self.pause)
        self.send_end(writer)
        self.record.write("written", engine=name, request=request)

    def send_event(self, writer, request, number):
        delta = {"content": f"{request}.{number} "}
        self.send(writer, f"data: {json.dumps({'choices': [{'index': 0, 'delta': delta}]})}\n\n")

    def send_end(self, writer):
        self.send(writer, "data: [DONE]\n\n")
        writer.write(b"0\r\n\r\n")

    @staticmethod
    def send(writer, text):
        writer.write(f"{len(text):x}\r\n{text}\r\n".encode())


class Request:
    """What a client sent and got."""

    numbers = itertools.count(1)

    def __init__(self, budget_ms, kind="field-query", tokens=200):
        self.id = f"{next(self.numbers):016x}"
        self.budget_ms, self.kind, self.tokens = budget_ms, kind, tokens
        self.sent_at = self.first_byte_at = self.ended_at = self.status = None
        self.whole = self.broken = False

    def encoded(self):
        prompt = "read" * self.tokens  # a token is four characters
        message = {
            "model": "chat",
            "stream": True,
            "max_tokens": 100,
            "messages": [{"role": "user", "content": prompt}],
        }
        body = json.dumps(message).encode()
        return (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {self.id}\r\n"
            f"X-Call-Class: {self.kind}\r\nX-Route-Hash: {self.id}\r\nX-Budget-Ms: {self.budget_ms}\r\n"
            f"X-Call-Info: prompt_len={self.tokens},max_out=100\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body


class Client:
    """One connection of a client to the node."""

    def __init__(self, record, port):
        self.record, self.port = record, port
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    def send(self, *requests):
        """Sends the requests at once."""
        self.writer.write(b"".join(request.encoded() for request in requests))
        for request in requests:
            request.sent_at = self.record.write("sent", request=request.id, budget_ms=request.budget_ms)

    async def receive(self, request):
        """Reads the answer to `request`. Returns whether the connection can be used on."""
        try:
            return await self.read_answer(request)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
            request.broken = True
            self.record.write("connection ended", request=request.id, status=request.status, why=type(error).__name__)
            return False

    async def read_answer(self, request):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        request.status = int(head.split(" ", 2)[1])
        request.first_byte_at = self.record.write("answer begins", request=request.id, status=request.status)
        if "chunked" in head:
            await self.read_chunks()
        else:
            await self.reader.readexactly(int(head.split("content-length:")[1].split("\r\n")[0]))
        request.whole = True
        request.ended_at = self.record.write("answer ends", request=request.id, status=request.status)
        return "connection: close" not in head

    async def read_chunks(self):
        size = 1
        while size > 0:
            size = int(await self.reader.readuntil(b"\r\n"), 16)
            await self.reader.readexactly(size + 2)

    def port_here(self):
        return self.writer.get_extra_info("sockname")[1]

    def close(self):
        if self.writer is not None:
            self.writer.close()


async def load(record, port, per_second, budget_ms, requests=None):
    """Usual clients: a connection each, one request, until it is cancelled. `requests`: takes what they sent."""

    async def one():
        client = Client(record, port)
        try:
            await client.connect()
            request = Request(budget_ms)
            if requests is not None:
                requests.append(request)
            client.send(request)
            await client.receive(request)
        except OSError as error:
            record.write("no connection", why=repr(error))
        finally:
            client.close()

    open_requests = set()
    try:
        while True:
            task = asyncio.create_task(one())
            open_requests.add(task)
            task.add_done_callback(open_requests.discard)
            await asyncio.sleep(1 / per_second)
    finally:
        for task in open_requests:
            task.cancel()
        await asyncio.gather(*open_requests, return_exceptions=True)
