"""A simulated prefill or decode engine on one port. A share of its responses fails in the ways that the protocol
describes.

usage: engine.py FOLDER NAME ROLE PORT SEED
"""

import asyncio
import random
import sys

from wire import DONE, LAST_CHUNK, STREAM_HEAD, EventLog, chunk, event, read_message

# The shares of the attempts with each kind of fault; all others succeed.
FAULTS = [
    ("rejected", 0.03),  # 503 without having run
    ("error", 0.03),  # status 500
    ("hang", 0.02),  # no response for 60 s
    ("reset", 0.02),  # the connection is reset
    ("noise", 0.02),  # the response is not HTTP
    ("absurd", 0.02),  # prefill: implausible numbers in the response
    ("stall", 0.01),  # decode: the stream pauses for 60 s after three events
    ("second", 0.02),  # prefill: a second response follows the first
]
REJECTED = b"HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
LEASE_PATH = "/kv/leases/"
RESERVED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
RELEASED = b"HTTP/1.1 204 No Content\r\n\r\n"


class Engine:
    """Serves attempts, reservations and releases, and logs their start and end."""

    def __init__(self, folder, name, role, seed):
        self.log = EventLog(folder, name)
        self.role, self.random = role, random.Random(seed)

    def draw_fault(self):
        draw = self.random.random()
        for fault, share in FAULTS:
            if draw < share:
                return fault
            draw -= share
        return "none"

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                method, target, _ = request.start.split(" ", 2)
                if method == "DELETE":
                    self.log.write("released", id=target.rsplit("/", 1)[1])
                    writer.write(RELEASED)
                    continue
                if target.startswith(LEASE_PATH):
                    self.log.write("reserved", id=target.rsplit("/", 1)[1])
                    writer.write(RESERVED)
                    continue
                await self.run_attempt(request, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            writer.close()

    async def run_attempt(self, request, reader, writer):
        """Runs one attempt. It is cancelled if the connection is closed before the response is complete."""
        request_id = request.fields["x-call-id"]
        fault = self.draw_fault()
        self.log.write(
            "began",
            id=request_id,
            role=self.role,
            budget=int(request.fields["x-budget-ms"]),
            cls=request.fields.get("x-call-class", ""),
            fault=fault,
        )
        disconnected = asyncio.create_task(reader.read(1))
        response = asyncio.create_task(self.respond(request_id, fault, writer))
        await asyncio.wait({disconnected, response}, return_when=asyncio.FIRST_COMPLETED)
        complete = response.done() and not response.cancelled() and response.exception() is None and response.result()
        self.log.write("ended", id=request_id, role=self.role, complete=bool(complete))
        response.cancel()
        if not complete:
            disconnected.cancel()
            raise ConnectionError
        # Any byte read here would belong to a pipelined request, which the protocol does not allow.
        disconnected.cancel()
        try:
            await disconnected
        except asyncio.CancelledError:
            pass

    async def respond(self, request_id, fault, writer):
        """Writes the response. Returns True if the connection can be reused."""
        await asyncio.sleep(self.random.uniform(0.005, 0.08))
        if fault == "rejected":
            self.log.write("never_ran", id=request_id)
            writer.write(REJECTED)
            return True
        if fault == "error":
            writer.write(ERROR)
            return True
        if fault == "hang":
            await asyncio.sleep(60)
        if fault == "reset":
            writer.transport.abort()
            return False
        if fault == "noise":
            writer.write(b"\x00\x01 no HTTP at all\r\n\r\n" * 3)
            await asyncio.sleep(60)
        return await (
            self.prefill(request_id, fault, writer)
            if self.role == "prefill"
            else self.decode(request_id, fault, writer)
        )

    async def prefill(self, request_id, fault, writer):
        cached = "1e300" if fault == "absurd" else "40"
        body = f'{{"cached_tokens":{cached}}}'.encode()
        report = "x0=1e300, x1=1e300" if fault == "absurd" else "x0=0.25, x1=2"
        self.log.write("held", id=request_id)
        writer.write(
            f"HTTP/1.1 202 Accepted\r\nX-Load-Report: TEXT mean_ms=3, {report}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        if fault == "second":
            await asyncio.sleep(0.01)
            writer.write(ERROR)
        return True

    async def decode(self, request_id, fault, writer):
        self.log.write("took", id=request_id)
        writer.write(STREAM_HEAD)
        events = self.random.randrange(3, 12)
        for index in range(events):
            writer.write(chunk(event(request_id, index)))
            await asyncio.sleep(self.random.uniform(0.005, 0.06))
            if fault == "stall" and index == 2:
                await asyncio.sleep(60)
        writer.write(chunk(DONE) + LAST_CHUNK)
        return True


async def main(folder, name, role, port, seed):
    engine = Engine(folder, name, role, int(seed))
    server = await asyncio.start_server(engine.serve, "127.0.0.1", int(port), limit=1 << 20, reuse_address=True)
    engine.log.write("up")
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
