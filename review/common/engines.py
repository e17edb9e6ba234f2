"""Sound engines of the platform in one process: readers that read prompts and keep the state, writers that fetch it and
write the answer."""

import asyncio
import time

import wire


class States:
    """The read states that the engines hold, by request. Any engine accepts the release of all that a request holds."""

    def __init__(self, record):
        self.record, self.held = record, {}

    def hold(self, request_id, engine):
        self.record.write(engine, f"holds the state of {request_id}")
        self.held[request_id] = (engine, time.monotonic())

    def take(self, request_id):
        return self.held.pop(request_id, None) is not None

    def release(self, request_id, engine):
        released = self.held.pop(request_id, None)
        self.record.write(engine, f"DELETE {request_id}: " + ("released" if released else "nothing is held"))


def call_info(request):
    """The pairs of X-Call-Info."""
    return dict(pair.split("=") for pair in request.fields["x-call-info"].split(","))


class Engine:
    """Serves one connection after another on its own port; subclasses run the attempts."""

    def __init__(self, name, record, states):
        self.name, self.record, self.states = name, record, states
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                request = await wire.read_message(reader)
                method, target, _ = request.start.split(" ", 2)
                if method == "DELETE":
                    self.states.release(target.rsplit("/", 1)[1], self.name)
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                else:
                    await self.run(request, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # cancelled at the end of the run
        finally:
            writer.close()

    async def run(self, request, reader, writer):
        raise NotImplementedError


class Reader(Engine):
    """Reads one prompt after the other, each from where the text that it has kept ends."""

    def __init__(self, name, record, states, tokens_per_s=20000.0):
        super().__init__(name, record, states)
        self.tokens_per_s, self.turn = tokens_per_s, asyncio.Lock()
        self.kept = {}  # tokens kept of each shared beginning

    async def run(self, request, reader, writer):
        request_id, info = request.fields["x-call-id"], call_info(request)
        prompt, prefix = int(info["prompt_len"]), info.get("prefix")
        self.record.write(self.name, f"attempt {request_id} arrived, {prompt} prompt tokens")
        async with self.turn:
            kept = self.kept.get(prefix, 0)
            await asyncio.sleep((prompt - kept) / self.tokens_per_s)
        if prefix:
            self.kept[prefix] = int(info["prefix_len"])
        self.states.hold(request_id, self.name)
        report = "X-Load-Report: TEXT mean_ms=300, x0=0.2, x1=1"
        writer.write(wire.answer("202 Accepted", b'{"cached_tokens":%d}' % kept, report))
        await writer.drain()


class Answer:
    """An answer that a writer writes: the connection, and how far it has come."""

    def __init__(self, request, reader, writer):
        self.reader = reader
        self.request_id, info = request.fields["x-call-id"], call_info(request)
        self.prompt, self.tokens = int(info["prompt_len"]), int(info["max_out"])
        self.writer, self.done, self.written = writer, asyncio.Event(), 0
        self.paused_at = self.last_event_at = None

    @property
    def memory(self):
        return self.prompt + self.written


class Writer(Engine):
    """Writes all its answers in steps of a token each, an event every few tokens. When its memory runs out, the newest
    answer goes back into the queue; it is read anew once there is memory for it, and goes on."""

    def __init__(self, name, record, states, memory, step_s=0.03, tokens_per_event=4, read_per_s=7000.0):
        super().__init__(name, record, states)
        self.memory, self.step_s, self.tokens_per_event, self.read_per_s = memory, step_s, tokens_per_event, read_per_s
        self.running, self.queue = [], []
        self.resumed = []  # request, seconds since its last event, whether the node has closed its connection
        self._steps = None

    async def start(self):
        await super().start()
        self._steps = asyncio.create_task(self.step())

    async def run(self, request, reader, writer):
        answer = Answer(request, reader, writer)
        self.record.write(self.name, f"attempt {answer.request_id} arrived, {answer.tokens} tokens to write")
        if not self.states.take(answer.request_id):
            writer.write(wire.answer("410 Gone", b"", "X-Rejected: 1"))
            return
        writer.write(wire.STREAM_HEAD)
        self.running.append(answer)
        await answer.done.wait()
        await writer.drain()

    async def step(self):
        due = time.monotonic()
        while True:
            due += self.step_s
            await asyncio.sleep(max(0, due - time.monotonic()))
            self.preempt()
            for answer in list(self.running):
                answer.written += 1
                if answer.written % self.tokens_per_event == 0 or answer.written >= answer.tokens:
                    self.write_event(answer)
                if answer.written >= answer.tokens and answer in self.running:
                    self.finish(answer)

    def used(self):
        return sum(answer.memory for answer in self.running)

    def preempt(self):
        while len(self.running) > 1 and self.used() > self.memory:
            newest = self.running.pop()
            newest.paused_at = time.monotonic()
            self.record.write(self.name, f"memory is full: {newest.request_id} goes back into the queue")
            self.queue.append(asyncio.create_task(self.read_anew(newest)))

    async def read_anew(self, answer):
        while self.used() + answer.memory + self.tokens_per_event > self.memory:
            await asyncio.sleep(self.step_s)
        self.record.write(self.name, f"there is memory again: {answer.request_id} is read anew")
        await asyncio.sleep(answer.memory / self.read_per_s)
        self.running.append(answer)

    def write_event(self, answer):
        if answer.paused_at is not None:
            pause, answer.paused_at = time.monotonic() - answer.last_event_at, None
            cut = answer.reader.at_eof()
            then = "the node has closed its connection" if cut else "its connection is open"
            self.record.write(self.name, f"{answer.request_id} goes on {pause:.3f} s after its last event, {then}")
            self.resumed.append((answer.request_id, pause, cut))
            if cut:  # a stream that nobody reads ends
                return self.end(answer)
        answer.last_event_at = time.monotonic()
        answer.writer.write(wire.chunk(wire.event(answer.request_id, answer.written)))

    def end(self, answer):
        self.running.remove(answer)
        answer.done.set()

    def finish(self, answer):
        end = wire.chunk(wire.usage_event(answer.prompt, answer.tokens)) + wire.chunk(wire.DONE)
        answer.writer.write(end + wire.chunk(b": X-Load-Report: TEXT mean_ms=30, x0=0.5, x1=0\n\n") + wire.LAST_CHUNK)
        self.record.write(self.name, f"{answer.request_id} written to its last chunk")
        self.end(answer)
